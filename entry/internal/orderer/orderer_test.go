package orderer_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/leaser"
	"fuchsiabridge.example/entry/internal/orderer"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	layersPerSecond = 100
	until           = time.Hour
)

var (
	start   = time.Unix(1_000_000, 0)
	lower   = identifier.LayerRange{From: 0, To: 8}
	upper   = identifier.LayerRange{From: 8, To: 16}
	nothing = identifier.LayerRange{}
)

// shell applies events to one orderer; its log takes every record at once.
type shell struct {
	orderer *orderer.Orderer
	now     time.Time
	engines []watcher.Target
	log     identifier.Offset
	orders  []orderer.SendOrder
}

func newShell(layers ...identifier.LayerRange) *shell {
	s := &shell{orderer: orderer.NewOrderer("self", 1, layersPerSecond), now: start}
	for i, l := range layers {
		id := identifier.TargetID(fmt.Sprint("engine-", i))
		s.engines = append(s.engines, watcher.Target{
			ID: id, Role: platformcaller.RoleEngine, State: watcher.StateUp,
			Status: enginecaller.Status{Target: id, Model: "atlas", Layers: l},
		})
	}
	s.append("grant", leaser.Stream, leaser.Grant{Node: "self", Incarnation: 1})
	s.apply(leaser.Changed{Mine: true, Fence: 1, Until: start.Add(until)})
	return s
}

func (s *shell) append(id, stream string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.log++
	s.apply(tailer.RecordSeen{Record: platformcaller.Record{Offset: s.log, ID: id, Stream: stream, Body: raw}})
}

func (s *shell) apply(event messenger.Event) {
	for _, effect := range s.orderer.Apply(s.now, event) {
		switch e := effect.(type) {
		case messenger.Raise:
			if a, ok := e.Event.(committer.Append); ok {
				s.log++
				a.Record.Offset = s.log
				s.apply(tailer.RecordSeen{Record: a.Record})
			}
		case orderer.SendOrder:
			s.orders = append(s.orders, e)
		}
	}
}

// run lets time pass with the engines as they are.
func (s *shell) run(d time.Duration) {
	s.apply(watcher.TargetsChanged{Targets: append([]watcher.Target(nil), s.engines...)})
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		s.apply(messenger.Tick{})
	}
}

// TestLastButOneGetsASpare takes a replica away and looks at the order.
func TestLastButOneGetsASpare(t *testing.T) {
	c := qt.New(t)
	s := newShell(lower, lower, upper, nothing)
	s.run(2 * time.Second)
	c.Assert(s.orders, qt.HasLen, 0, qt.Commentf("the upper range never had two replicas"))
	s.engines[0].State = watcher.StateDown
	s.run(2 * time.Second)
	c.Assert(s.orders, qt.HasLen, 1)
	c.Assert(s.orders[0].Target, qt.Equals, identifier.TargetID("engine-3"))
	c.Assert(s.orders[0].Order.Layers, qt.Equals, lower)
	c.Assert(s.orders[0].Until, qt.Equals, start.Add(until))
}

// TestOnlyTheHolderOrders checks that neither a lapsed lease nor another's leads to an
// order, and that an assignment by a node without the lease counts for nothing.
func TestOnlyTheHolderOrders(t *testing.T) {
	for _, lease := range []leaser.Changed{{Fence: 2}, {Mine: true, Fence: 2, Until: start}} {
		c := qt.New(t)
		s := newShell(lower, lower, nothing)
		s.run(time.Second)
		s.apply(lease)
		s.engines[0].State = watcher.StateDown
		s.run(5 * time.Second)
		c.Assert(s.orders, qt.HasLen, 0)
	}
	c := qt.New(t)
	s := newShell(lower, lower, nothing)
	s.append("stale", orderer.Stream, orderer.Assignment{Target: "engine-2", Model: "atlas", Layers: upper, Node: "other", Incarnation: 1})
	s.run(5 * time.Second)
	c.Assert(s.orders, qt.HasLen, 0)
}

// TestOrdersTakeNoLastReplica draws states of engines; an order only goes to an engine
// that is up, and never takes the last replica of a range.
func TestOrdersTakeNoLastReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranges := []identifier.LayerRange{lower, upper, nothing}
		s := newShell(lower, lower, upper, upper, nothing, nothing)
		s.run(time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			e := &s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "engine")]
			if rapid.Bool().Draw(t, "state") {
				e.State = rapid.SampledFrom([]watcher.State{watcher.StateUp, watcher.StateDown, watcher.StateLeaving}).Draw(t, "to")
			} else {
				e.Status.Layers = rapid.SampledFrom(ranges).Draw(t, "layers")
			}
			s.orders = nil
			s.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths")) * 100 * time.Millisecond)
			for _, o := range s.orders {
				s.check(t, o)
			}
		}
	})
}

func (s *shell) check(t *rapid.T, o orderer.SendOrder) {
	var ordered watcher.Target
	others := 0
	for _, e := range s.engines {
		if e.ID == o.Target {
			ordered = e
		}
	}
	for _, e := range s.engines {
		if e.ID != o.Target && e.State == watcher.StateUp && e.Status.Layers == ordered.Status.Layers {
			others++
		}
	}
	if ordered.State != watcher.StateUp {
		t.Fatalf("order to %s, which is %s", o.Target, ordered.State)
	}
	if ordered.Status.Layers != nothing && others == 0 {
		t.Fatalf("order to %s, the last replica of %v", o.Target, ordered.Status.Layers)
	}
}
