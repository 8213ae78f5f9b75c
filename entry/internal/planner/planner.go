// Package planner chooses pipelines: chains of targets whose layer ranges, clipped,
// cover a model's layers with no gap and no overlap.
package planner

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

// hopCost is the assumed time from one stage to the next.
const hopCost = time.Millisecond

// Stage is one target's part of a pipeline.
type Stage struct {
	Target     identifier.TargetID
	Address    string
	Generation identifier.Generation
	Layers     identifier.LayerRange
	// LayerTime is the time of one layer on the target's accelerator.
	LayerTime time.Duration
}

// Request says what a pipeline is wanted for.
type Request struct {
	Model  identifier.ModelID
	Layers identifier.LayerRange
	// Load counts the node's own drafts on each target.
	Load map[identifier.TargetID]int
	// Avoid holds targets that must not be used.
	Avoid map[identifier.TargetID]bool
	// Choice is how to choose; the zero Choice is Expected.
	Choice Choice
	// Seed decides between targets of about equal cost; give each draft its own.
	Seed uint64
	// Overtaken is the part of the waiting steps that the request's steps will overtake, as
	// they have a higher priority.
	Overtaken float64
	// Turn counts the requests before this one, for RoundRobin.
	Turn uint64
}

type edge struct {
	cost   time.Duration
	stages []Stage
}

// Choose returns the pipeline of least cost by the request's choice, and false when
// the targets that are up do not cover the layers.
func Choose(targets []watcher.Target, r Request) ([]Stage, bool) {
	usable := usableTargets(targets, r)
	if r.Choice != Expected && r.Choice != "" {
		return chain(usable, r)
	}
	best := map[identifier.Layer]edge{r.Layers.From: {}}
	for _, from := range bounds(usable, r.Layers) {
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

// extend enters what is reached when target t runs from layer from to each bound within its range.
func extend(best map[identifier.Layer]edge, reached edge, from identifier.Layer, t watcher.Target, r Request) {
	if t.Status.Layers.From > from || t.Status.Layers.To <= from {
		return
	}
	layers := identifier.LayerRange{From: from, To: min(t.Status.Layers.To, r.Layers.To)}
	cost := reached.cost + r.expected(t, layers)
	if known, ok := best[layers.To]; ok && known.cost <= cost {
		return
	}
	best[layers.To] = edge{cost: cost, stages: append(append([]Stage(nil), reached.stages...), newStage(t, layers))}
}

func newStage(t watcher.Target, layers identifier.LayerRange) Stage {
	return Stage{
		Target: t.ID, Address: t.Address, Generation: t.Status.Generation, Layers: layers,
		LayerTime: time.Duration(t.Status.LayerMicros) * time.Microsecond,
	}
}

// stageTime is the expected time of one step: the batch before it, shared by the batch limit, and
// its own. A step of fewer layers than the target holds shares its batch with steps of all of them,
// so that the whole range counts.
func stageTime(t watcher.Target, _ identifier.LayerRange, load int) time.Duration {
	own := time.Duration(t.Status.Layers.Len()*t.Status.LayerMicros) * time.Microsecond
	waiting := t.Status.Queued + load
	return own + own*time.Duration(waiting)/time.Duration(max(1, t.Status.BatchLimit))
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

// bounds returns the layers at which a stage may begin, in order.
func bounds(targets []watcher.Target, whole identifier.LayerRange) []identifier.Layer {
	seen := map[identifier.Layer]bool{whole.From: true}
	for _, t := range targets {
		seen[t.Status.Layers.To] = true
	}
	var layers []identifier.Layer
	for l := range seen {
		if l >= whole.From && l < whole.To {
			layers = append(layers, l)
		}
	}
	sort.Slice(layers, func(i, j int) bool { return layers[i] < layers[j] })
	return layers
}
