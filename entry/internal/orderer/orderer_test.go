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
	leaseDuration   = time.Hour
)

var (
	start    = time.Unix(1_000_000, 0)
	lower    = identifier.LayerRange{From: 0, To: 8}
	upper    = identifier.LayerRange{From: 8, To: 16}
	noLayers = identifier.LayerRange{}
)

// harness applies events to one orderer. Its log accepts every record at once.
type harness struct {
	orderer    *orderer.Orderer
	now        time.Time
	engines    []watcher.Target
	lastOffset identifier.Offset
	orders     []orderer.SendOrder
}

func newHarness(layers ...identifier.LayerRange) *harness {
	h := &harness{orderer: orderer.NewOrderer("self", 1, layersPerSecond), now: start}
	for i, l := range layers {
		id := identifier.TargetID(fmt.Sprint("engine-", i))
		h.engines = append(h.engines, watcher.Target{
			ID: id, Role: platformcaller.RoleEngine, State: watcher.StateUp,
			Status: enginecaller.Status{Target: id, Model: "atlas", Layers: l},
		})
	}
	h.append("grant", leaser.Stream, leaser.Grant{Node: "self", Incarnation: 1})
	h.apply(leaser.Changed{IsHolder: true, Fence: 1, Until: start.Add(leaseDuration)})
	return h
}

func (h *harness) append(id, stream string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	h.lastOffset++
	h.apply(tailer.RecordSeen{Record: platformcaller.Record{Offset: h.lastOffset, ID: id, Stream: stream, Body: raw}})
}

func (h *harness) apply(event messenger.Event) {
	for _, effect := range h.orderer.Apply(h.now, event) {
		switch e := effect.(type) {
		case messenger.Raise:
			if a, ok := e.Event.(committer.Append); ok {
				h.lastOffset++
				a.Record.Offset = h.lastOffset
				h.apply(tailer.RecordSeen{Record: a.Record})
			}
		case orderer.SendOrder:
			h.orders = append(h.orders, e)
		}
	}
}

// advance moves the clock by d while the engines stay as they are.
func (h *harness) advance(d time.Duration) {
	h.apply(watcher.TargetsChanged{Targets: append([]watcher.Target(nil), h.engines...)})
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.apply(messenger.Tick{})
	}
}

// TestLostReplicaIsReplacedBySpare takes one of two replicas down. A spare must be ordered to load the range.
func TestLostReplicaIsReplacedBySpare(t *testing.T) {
	c := qt.New(t)
	h := newHarness(lower, lower, upper, noLayers)
	h.advance(2 * time.Second)
	c.Assert(h.orders, qt.HasLen, 0, qt.Commentf("the upper range never had two replicas"))
	h.engines[0].State = watcher.StateDown
	h.advance(2 * time.Second)
	c.Assert(h.orders, qt.HasLen, 1)
	c.Assert(h.orders[0].Target, qt.Equals, identifier.TargetID("engine-3"))
	c.Assert(h.orders[0].Order.Layers, qt.Equals, lower)
	c.Assert(h.orders[0].Until, qt.Equals, start.Add(leaseDuration))
}

// TestOnlyLeaseHolderOrders checks that no order is sent under an expired lease or another node's
// lease, and that an assignment by a node without the lease is ignored.
func TestOnlyLeaseHolderOrders(t *testing.T) {
	for _, lease := range []leaser.Changed{{Fence: 2}, {IsHolder: true, Fence: 2, Until: start}} {
		c := qt.New(t)
		h := newHarness(lower, lower, noLayers)
		h.advance(time.Second)
		h.apply(lease)
		h.engines[0].State = watcher.StateDown
		h.advance(5 * time.Second)
		c.Assert(h.orders, qt.HasLen, 0)
	}
	c := qt.New(t)
	h := newHarness(lower, lower, noLayers)
	h.append("stale", orderer.Stream, orderer.Assignment{Target: "engine-2", Model: "atlas", Layers: upper, Node: "other", Incarnation: 1})
	h.advance(5 * time.Second)
	c.Assert(h.orders, qt.HasLen, 0)
}

// TestOrdersKeepLastReplica draws random engine states. Orders must go only to engines that are
// up, and must never replace the last replica of a range.
func TestOrdersKeepLastReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranges := []identifier.LayerRange{lower, upper, noLayers}
		h := newHarness(lower, lower, upper, upper, noLayers, noLayers)
		h.advance(time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			e := &h.engines[rapid.IntRange(0, len(h.engines)-1).Draw(t, "engine")]
			if rapid.Bool().Draw(t, "state") {
				e.State = rapid.SampledFrom([]watcher.State{watcher.StateUp, watcher.StateDown, watcher.StateLeaving}).Draw(t, "to")
			} else {
				e.Status.Layers = rapid.SampledFrom(ranges).Draw(t, "layers")
			}
			h.orders = nil
			h.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "tenths")) * 100 * time.Millisecond)
			for _, o := range h.orders {
				h.check(t, o)
			}
		}
	})
}

func (h *harness) check(t *rapid.T, o orderer.SendOrder) {
	var ordered watcher.Target
	others := 0
	for _, e := range h.engines {
		if e.ID == o.Target {
			ordered = e
		}
	}
	for _, e := range h.engines {
		if e.ID != o.Target && e.State == watcher.StateUp && e.Status.Layers == ordered.Status.Layers {
			others++
		}
	}
	if ordered.State != watcher.StateUp {
		t.Fatalf("order to %s, which is %s", o.Target, ordered.State)
	}
	if ordered.Status.Layers != noLayers && others == 0 {
		t.Fatalf("order to %s, the last replica of %v", o.Target, ordered.Status.Layers)
	}
}
