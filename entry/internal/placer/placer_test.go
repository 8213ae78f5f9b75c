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

// engine returns an engine of which a target holds three quarters.
func engine() *describer.Engine {
	return &describer.Engine{
		Layers: 40, LayerMegabytes: 1000, TokenBytes: 400_000, TypicalTokens: 900,
		Kinds: map[identifier.AcceleratorKind]describer.Accelerator{"big": {Megabytes: 30_000, StepFactor: 1}},
	}
}

// target returns an empty target.
func target(id identifier.TargetID, dc identifier.DataCentre) registrar.Target {
	return registrar.Target{Target: describer.Target{ID: id, Address: string(id) + ":1", Service: "draft", DataCentre: dc, Kind: "big"}}
}

// harness drives one placer with two empty targets that answer state queries.
type harness struct {
	placer *placer.Placer
	orders []placer.SendOrder
	// others holds the reports of other targets at the addresses of known ones.
	others map[identifier.TargetID]describer.Report
}

func newHarness() *harness {
	s := &harness{placer: placer.NewPlacer()}
	s.apply(0, placer.ConfigurationChanged{Table: router.NewTable(&describer.Configuration{
		Services: map[identifier.ServiceID]describer.Service{"draft": {ID: "draft", Engine: engine()}},
	})})
	s.apply(0, registrar.TargetsChanged{Targets: []registrar.Target{target("a0", "a"), target("a1", "a")}})
	return s
}

func (s *harness) apply(elapsed time.Duration, event messenger.Event) {
	for _, effect := range s.placer.Apply(start.Add(elapsed), event) {
		switch e := effect.(type) {
		case placer.QueryState:
			report, isOther := s.others[e.Target]
			if !isOther {
				report = describer.Report{Kind: "big", Orders: 7}
			}
			s.apply(elapsed, placer.StateReported{Target: e.Target, Report: report})
		case placer.SendOrder:
			s.orders = append(s.orders, e)
		}
	}
}

func (s *harness) tick(from, to time.Duration) {
	for at := from; at < to; at += 50 * time.Millisecond {
		s.apply(at, messenger.Tick{})
	}
}

func (s *harness) setLease(until time.Duration) {
	s.apply(0, placer.LeaseChanged{IsHeld: true, Fence: 9, Until: start.Add(until)})
}

// TestOrdersNeedTheLease checks that no order is given without the lease or after it has ended.
func TestOrdersNeedTheLease(t *testing.T) {
	c := qt.New(t)
	s := newHarness()
	s.tick(0, 5*time.Second)
	c.Assert(s.orders, qt.HasLen, 0)
	s.setLease(4 * time.Second)
	s.tick(5*time.Second, 8*time.Second)
	c.Assert(s.orders, qt.HasLen, 0)
	s.setLease(20 * time.Second)
	s.tick(8*time.Second, 12*time.Second)
	c.Assert(s.orders, qt.HasLen, 2)
	for _, o := range s.orders {
		c.Check(o.Fence, qt.Equals, identifier.FencingToken(9))
		c.Check(o.Orders, qt.Equals, int64(7))
	}
}

// TestEntryBeyondModelChangesNoOrder guards against orders for layers that the model does not have, or none at all, since one entry,
// left by another writer, names such layers.
func TestEntryBeyondModelChangesNoOrder(t *testing.T) {
	c := qt.New(t)
	for _, layers := range []identifier.LayerRange{{From: 0, To: 41}, {From: 20, To: 1 << 20}, {From: -1, To: 40}} {
		odd := target("odd", "a")
		odd.Layers = layers
		s := newHarness()
		s.setLease(time.Minute)
		s.apply(0, registrar.TargetsChanged{Targets: []registrar.Target{target("a0", "a"), target("a1", "a"), odd}})
		s.tick(0, 8*time.Second)
		held := map[identifier.Layer]bool{}
		for _, o := range s.orders {
			c.Check(o.Target, qt.Not(qt.Equals), odd.ID)
			c.Check(engine().Includes(o.Layers), qt.IsTrue, qt.Commentf("%v", o.Layers))
			for l := o.Layers.From; l < o.Layers.To; l++ {
				held[l] = true
			}
		}
		c.Check(held, qt.HasLen, 40, qt.Commentf("beside an entry with %v", layers))
	}
}

// TestReportOfAnotherTargetGivesNoOrder guards against an order that fits the state of another target, which has taken over the address
// of one that crashed, and overloads its memory.
func TestReportOfAnotherTargetGivesNoOrder(t *testing.T) {
	c := qt.New(t)
	for _, other := range []describer.Report{{Kind: "small", Orders: 7}, {Kind: "big", Incarnation: 9, Orders: 7}} {
		s := newHarness()
		s.others = map[identifier.TargetID]describer.Report{"a0": other}
		s.setLease(time.Minute)
		s.tick(0, 8*time.Second)
		c.Assert(len(s.orders) > 0, qt.IsTrue)
		for _, o := range s.orders {
			c.Check(o.Target, qt.Not(qt.Equals), identifier.TargetID("a0"), qt.Commentf("%+v", other))
		}
	}
}

// TestUnansweredOrderIsNotRetriedWhileItMayRun checks that a target whose order was not
// answered gets no other order while the first may still be executed.
func TestUnansweredOrderIsNotRetriedWhileItMayRun(t *testing.T) {
	c := qt.New(t)
	s := newHarness()
	s.setLease(time.Minute)
	s.tick(0, 3*time.Second)
	c.Assert(s.orders, qt.HasLen, 2)
	for _, o := range s.orders {
		s.apply(3*time.Second, placer.OrderAnswered{Target: o.Target, Result: placer.Unknown})
	}
	s.tick(3*time.Second, 15*time.Second)
	c.Assert(s.orders, qt.HasLen, 2)
	s.tick(15*time.Second, 20*time.Second)
	c.Assert(s.orders, qt.HasLen, 4)
}

// TestFencedLeaseHolderStops checks that no more orders are given once a target has seen a higher fencing token.
func TestFencedLeaseHolderStops(t *testing.T) {
	c := qt.New(t)
	s := newHarness()
	s.setLease(time.Minute)
	s.tick(0, 3*time.Second)
	s.apply(3*time.Second, placer.OrderAnswered{Target: s.orders[0].Target, Result: placer.Fenced})
	n := len(s.orders)
	s.tick(3*time.Second, 30*time.Second)
	c.Assert(len(s.orders), qt.Equals, n)
}
