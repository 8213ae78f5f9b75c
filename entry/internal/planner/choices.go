package planner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

// Choice names a way to choose among targets that hold the same layers.
type Choice string

// Choices; all but Expected are baselines that it is measured against.
const (
	Expected      Choice = "expected"
	Random        Choice = "random"
	RoundRobin    Choice = "round_robin"
	LeastReported Choice = "least_reported"
)

// expectedSpread is the greatest part by which a draw lengthens an expected time, so that
// nodes which see the same late reports don't all choose the same target.
const expectedSpread = 0.5

// expected is the stage's expected time, lengthened by the request's draw for the target.
func (r Request) expected(t watcher.Target, layers identifier.LayerRange) time.Duration {
	t.Status.Queued = int((1 - r.Overtaken) * float64(t.Status.Queued))
	load := int((1 - r.Overtaken) * float64(r.Load[t.ID]))
	expected := hopCost + stageTime(t, layers, load)
	return expected + time.Duration(expectedSpread*r.draw(t.ID)*float64(expected))
}

// draw returns a number in [0, 1) that depends on the request's seed and the target alone.
func (r Request) draw(id identifier.TargetID) float64 {
	seed := binary.BigEndian.AppendUint64(nil, r.Seed)
	return float64(xxhash.Sum64(append(seed, id...))>>11) / (1 << 53)
}

// chain is the way of the baselines: stage by stage, each picked among the targets that hold
// the next layer. It finds a pipeline whenever each layer is held by some target.
func chain(usable []watcher.Target, r Request) ([]Stage, bool) {
	var stages []Stage
	for from := r.Layers.From; from < r.Layers.To; {
		holders := holdersOf(usable, from)
		if len(holders) == 0 {
			return nil, false
		}
		t := r.pick(holders)
		layers := identifier.LayerRange{From: from, To: min(t.Status.Layers.To, r.Layers.To)}
		stages = append(stages, newStage(t, layers))
		from = layers.To
	}
	return stages, len(stages) > 0
}

// holdersOf returns the targets whose range begins with the layer or, if there are none, all that hold it.
func holdersOf(targets []watcher.Target, layer identifier.Layer) []watcher.Target {
	var beginning, holding []watcher.Target
	for _, t := range targets {
		if t.Status.Layers.From > layer || t.Status.Layers.To <= layer {
			continue
		}
		holding = append(holding, t)
		if t.Status.Layers.From == layer {
			beginning = append(beginning, t)
		}
	}
	if len(beginning) > 0 {
		return beginning
	}
	return holding
}

// pick chooses one of the targets as the request's baseline does.
func (r Request) pick(targets []watcher.Target) watcher.Target {
	if r.Choice == RoundRobin {
		return targets[r.Turn%uint64(len(targets))]
	}
	best := targets[0]
	for _, t := range targets[1:] {
		switch {
		case r.Choice == LeastReported && t.Status.Queued < best.Status.Queued:
			best = t
		case r.Choice == Random && r.draw(t.ID) < r.draw(best.ID):
			best = t
		}
	}
	return best
}
