// Package planner chooses pipelines: sequences of targets whose layer ranges, clipped, cover a
// model's layers without gaps or overlaps.
package planner

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

// hopCost is the assumed latency between two stages.
const hopCost = time.Millisecond

// Stage is the part of a pipeline that runs on one target.
type Stage struct {
	Target     identifier.TargetID
	Address    string
	Generation identifier.Generation
	Layers     identifier.LayerRange
	// LayerTime is the time of one layer on the target's accelerator.
	LayerTime time.Duration
}

// Request describes the pipeline to choose.
type Request struct {
	Model  identifier.ModelID
	Layers identifier.LayerRange
	// Load counts the node's own drafts on each target.
	Load map[identifier.TargetID]int
	// Avoid holds targets that must not be used.
	Avoid map[identifier.TargetID]bool
	// Policy is the load-balancing policy. The zero value means ExpectedTime.
	Policy Policy
	// Seed varies the sample and the choice between targets of similar cost. Each draft should have
	// its own.
	Seed uint64
	// LowerPriorityShare is the estimated share of the queued steps that have a lower priority.
	// Engines run them after the request's steps.
	LowerPriorityShare float64
	// Sequence numbers the requests consecutively, for RoundRobin.
	Sequence uint64
}

// path is the cheapest known sequence of stages up to a layer.
type path struct {
	cost   time.Duration
	stages []Stage
}

// Choose returns a pipeline by the request's policy; with ExpectedTime, the one of least expected
// time. It returns false if the targets that are up and not to be avoided do not cover the layers.
func Choose(targets []watcher.Target, r Request) ([]Stage, bool) {
	usable := usableTargets(targets, r)
	if r.Policy != ExpectedTime && r.Policy != "" {
		return chooseGreedy(usable, r)
	}
	best := map[identifier.Layer]path{r.Layers.From: {}}
	for _, from := range stageBoundaries(usable, r.Layers) {
		reached, ok := best[from]
		if !ok {
			continue
		}
		for _, t := range usable {
			extend(best, reached, from, t, r)
		}
	}
	end, ok := best[r.Layers.To]
	return end.stages, ok && len(end.stages) > 0
}

// extend adds target t to the path that ends at layer from, if that is the cheapest known way to
// the end of t's range.
func extend(best map[identifier.Layer]path, reached path, from identifier.Layer, t watcher.Target, r Request) {
	if t.Status.Layers.From > from || t.Status.Layers.To <= from {
		return
	}
	layers := identifier.LayerRange{From: from, To: min(t.Status.Layers.To, r.Layers.To)}
	cost := reached.cost + r.jitteredTime(t, layers)
	if known, ok := best[layers.To]; ok && known.cost <= cost {
		return
	}
	best[layers.To] = path{cost: cost, stages: append(append([]Stage(nil), reached.stages...), newStage(t, layers))}
}

func newStage(t watcher.Target, layers identifier.LayerRange) Stage {
	return Stage{
		Target: t.ID, Address: t.Address, Generation: t.Status.Generation, Layers: layers,
		LayerTime: time.Duration(t.Status.LayerMicros) * time.Microsecond,
	}
}

// stageTime returns the expected time of one step: the wait for the queued steps, which run in
// batches, plus its own run. A step of fewer layers than the target holds is batched with steps of
// all its layers, so the whole range counts.
func stageTime(t watcher.Target, _ identifier.LayerRange, load int) time.Duration {
	runTime := time.Duration(t.Status.Layers.Len()*t.Status.LayerMicros) * time.Microsecond
	waiting := t.Status.Queued + load
	return runTime + runTime*time.Duration(waiting)/time.Duration(max(1, t.Status.BatchLimit))
}

func usableTargets(targets []watcher.Target, r Request) []watcher.Target {
	var usable []watcher.Target
	for _, t := range targets {
		if t.Role == platformcaller.RoleEngine && t.State == watcher.StateUp && t.Status.Model == r.Model && !r.Avoid[t.ID] {
			usable = append(usable, t)
		}
	}
	return usable
}

// stageBoundaries returns the layers at which a stage may begin, in order.
func stageBoundaries(targets []watcher.Target, whole identifier.LayerRange) []identifier.Layer {
	boundaries := map[identifier.Layer]bool{whole.From: true}
	for _, t := range targets {
		boundaries[t.Status.Layers.To] = true
	}
	var layers []identifier.Layer
	for l := range boundaries {
		if l >= whole.From && l < whole.To {
			layers = append(layers, l)
		}
	}
	sort.Slice(layers, func(i, j int) bool { return layers[i] < layers[j] })
	return layers
}
