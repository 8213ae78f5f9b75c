package placer_test

import (
	"fmt"
	"maps"
	"slices"
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

const (
	// callWorkers is how many calls to targets the node makes at once, and callTime how long each takes.
	callWorkers = 64
	callTime    = 8 * time.Millisecond
	// placementLimit is the time from the first sight of the targets until all have their orders: requests come after that.
	placementLimit = 12 * time.Second
	// readInterval is the time between two reads of the targets' entries.
	readInterval = time.Second
	fleetDCs     = 5
)

// timedCall is a call to a target that ends at a time.
type timedCall struct {
	endsAt time.Duration
	query  *placer.QueryState
	order  *placer.SendOrder
}

// largeFleet drives a placer whose calls to targets take their time, a limited number of them at once.
type largeFleet struct {
	placer  *placer.Placer
	workers []time.Duration
	calls   []timedCall
	targets map[identifier.TargetID]registrar.Target
	ordered map[identifier.TargetID]identifier.LayerRange
	queries int
}

func newLargeFleet(size int) *largeFleet {
	f := &largeFleet{
		placer: placer.NewPlacer(), workers: make([]time.Duration, callWorkers),
		targets: map[identifier.TargetID]registrar.Target{}, ordered: map[identifier.TargetID]identifier.LayerRange{},
	}
	for i := range size {
		t := target(identifier.TargetID(fmt.Sprintf("t%05d", i)), identifier.DataCentre(fmt.Sprint("dc", i%fleetDCs)))
		f.targets[t.ID] = t
	}
	f.apply(0, placer.ConfigurationChanged{Table: router.NewTable(&describer.Configuration{
		Services: map[identifier.ServiceID]describer.Service{"draft": {ID: "draft", Engine: engine()}},
	})})
	f.apply(0, placer.LeaseChanged{IsHeld: true, Fence: 9, Until: start.Add(time.Hour)})
	return f
}

// begin starts a call as soon as a worker is free.
func (f *largeFleet) begin(now time.Duration, c timedCall) {
	first := 0
	for i, until := range f.workers {
		if until < f.workers[first] {
			first = i
		}
	}
	c.endsAt = max(now, f.workers[first]) + callTime
	f.workers[first] = c.endsAt
	f.calls = append(f.calls, c)
}

func (f *largeFleet) apply(now time.Duration, event messenger.Event) {
	for _, effect := range f.placer.Apply(start.Add(now), event) {
		switch e := effect.(type) {
		case placer.QueryState:
			f.queries++
			f.begin(now, timedCall{query: &e})
		case placer.SendOrder:
			f.begin(now, timedCall{order: &e})
		}
	}
}

// run plays the time until a limit.
func (f *largeFleet) run(limit time.Duration) {
	const step = 2 * time.Millisecond
	for now := time.Duration(0); now < limit; now += step {
		for len(f.calls) > 0 && f.calls[0].endsAt <= now {
			c := f.calls[0]
			f.calls = f.calls[1:]
			f.finish(now, c)
		}
		if now%readInterval == 0 {
			f.readEntries(now)
		}
		if now%(50*time.Millisecond) == 0 {
			f.apply(now, messenger.Tick{})
		}
	}
}

// readEntries tells the placer what the targets hold.
func (f *largeFleet) readEntries(now time.Duration) {
	var targets []registrar.Target
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		t := f.targets[id]
		t.Layers = f.ordered[id]
		targets = append(targets, t)
	}
	f.apply(now, registrar.TargetsChanged{Targets: targets})
}

func (f *largeFleet) finish(now time.Duration, c timedCall) {
	if c.query != nil {
		f.apply(now, placer.StateReported{Target: c.query.Target, Report: describer.Report{Kind: "big", Layers: f.ordered[c.query.Target]}})
		return
	}
	f.ordered[c.order.Target] = c.order.Layers
	f.apply(now, placer.OrderAnswered{Target: c.order.Target, Result: placer.Accepted})
}

// countHolders returns the fewest targets of a data centre that were ordered to hold one of the layers.
func (f *largeFleet) countHolders() int {
	fewest := len(f.targets)
	for dc := range fleetDCs {
		counts := make([]int, engine().Layers)
		for id, r := range f.ordered {
			if f.targets[id].DataCentre == identifier.DataCentre(fmt.Sprint("dc", dc)) {
				for l := r.From; l < r.To; l++ {
					counts[l]++
				}
			}
		}
		for _, n := range counts {
			fewest = min(fewest, n)
		}
	}
	return fewest
}

// TestLargeFleetIsPlacedBeforeRequestsCome guards against a first placement of many targets that stops after the first answers,
// and asks targets again and again whose answers wait for a free worker.
func TestLargeFleetIsPlacedBeforeRequestsCome(t *testing.T) {
	for _, size := range []int{30, 300, 3000, 12000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			f := newLargeFleet(size)
			f.run(placementLimit)
			c.Check(len(f.ordered), qt.Equals, size)
			c.Check(f.countHolders() > 0, qt.IsTrue)
			c.Check(f.queries <= size+size/10, qt.IsTrue, qt.Commentf("%d queries", f.queries))
		})
	}
}
