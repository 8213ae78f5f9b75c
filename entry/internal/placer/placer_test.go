package placer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

var start = time.Unix(1_000_000, 0)

// site drives one placer over two empty targets that answer for their state.
type site struct {
	placer *placer.Placer
	orders []placer.Place
}

func newSite() *site {
	s := &site{placer: placer.NewPlacer()}
	s.apply(0, placer.TableChanged{Table: router.NewTable(&describer.Configuration{
		Services: map[identifier.ServiceID]describer.Service{"draft": {ID: "draft", Engine: engine()}},
	})})
	s.apply(0, registrar.TargetsChanged{Targets: []registrar.Target{target("a0", "a", "big"), target("a1", "a", "big")}})
	return s
}

func (s *site) apply(after time.Duration, event messenger.Event) {
	for _, effect := range s.placer.Apply(start.Add(after), event) {
		switch e := effect.(type) {
		case placer.AskState:
			s.apply(after, placer.StateTold{Target: e.Target, Report: describer.Report{Kind: "big", Orders: 7}})
		case placer.Place:
			s.orders = append(s.orders, e)
		}
	}
}

func (s *site) run(from, to time.Duration) {
	for at := from; at < to; at += 50 * time.Millisecond {
		s.apply(at, messenger.Tick{})
	}
}

func (s *site) hold(until time.Duration) {
	s.apply(0, placer.LeaseChanged{IsHeld: true, Fence: 9, Until: start.Add(until)})
}

// TestOnlyTheHolderOrders gives no order without the lease, nor after it has ended.
func TestOnlyTheHolderOrders(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.run(0, 5*time.Second)
	c.Assert(s.orders, qt.HasLen, 0)
	s.hold(4 * time.Second)
	s.run(5*time.Second, 8*time.Second)
	c.Assert(s.orders, qt.HasLen, 0)
	s.hold(20 * time.Second)
	s.run(8*time.Second, 12*time.Second)
	c.Assert(s.orders, qt.HasLen, 2)
	for _, o := range s.orders {
		c.Check(o.Fence, qt.Equals, identifier.FencingNumber(9))
		c.Check(o.Orders, qt.Equals, int64(7))
	}
}

// TestUnansweredOrderIsNotRepeatedSoon gives a target whose order got no answer nothing
// new while that may still be carried out.
func TestUnansweredOrderIsNotRepeatedSoon(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.hold(time.Minute)
	s.run(0, 3*time.Second)
	c.Assert(s.orders, qt.HasLen, 2)
	for _, o := range s.orders {
		s.apply(3*time.Second, placer.Placed{Target: o.Target, Answer: placer.Unknown})
	}
	s.run(3*time.Second, 15*time.Second)
	c.Assert(s.orders, qt.HasLen, 2)
	s.run(15*time.Second, 20*time.Second)
	c.Assert(s.orders, qt.HasLen, 4)
}

// TestFencedHolderStops gives no more orders once a target has seen a higher fencing number.
func TestFencedHolderStops(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.hold(time.Minute)
	s.run(0, 3*time.Second)
	s.apply(3*time.Second, placer.Placed{Target: s.orders[0].Target, Answer: placer.Fenced})
	n := len(s.orders)
	s.run(3*time.Second, 30*time.Second)
	c.Assert(len(s.orders), qt.Equals, n)
}
