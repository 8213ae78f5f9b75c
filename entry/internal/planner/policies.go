package planner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

// Policy is a load-balancing policy for targets that hold the same layers.
type Policy string

// Policies. All but ExpectedTime are baselines for comparison.
const (
	ExpectedTime       Policy = "expected"
	Random             Policy = "random"
	RoundRobin         Policy = "round_robin"
	LeastReportedQueue Policy = "least_reported"
)

// maxJitter is the largest fraction by which a random value lengthens an expected time. It keeps
// nodes that see the same outdated reports from all choosing the same target.
const maxJitter = 0.5

// jitteredTime returns the expected time of the stage, the hop to it included, plus the request's
// jitter for the target.
func (r Request) jitteredTime(t watcher.Target, layers identifier.LayerRange) time.Duration {
	t.Status.Queued = int((1 - r.LowerPriorityShare) * float64(t.Status.Queued))
	load := int((1 - r.LowerPriorityShare) * float64(r.Load[t.ID]))
	expected := hopCost + stageTime(t, layers, load)
	return expected + time.Duration(maxJitter*r.random(t.ID)*float64(expected))
}

// random returns a number in [0, 1) that depends only on the request's seed and the target.
func (r Request) random(id identifier.TargetID) float64 {
	seed := binary.BigEndian.AppendUint64(nil, r.Seed)
	return float64(xxhash.Sum64(append(seed, id...))>>11) / (1 << 53)
}

// chooseGreedy implements the baseline policies. Stage by stage, it picks one of the targets that
// hold the next layer. It finds a pipeline whenever every layer is held by some target.
func chooseGreedy(usable []watcher.Target, r Request) ([]Stage, bool) {
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

// holdersOf returns the targets whose range begins with the layer or, if there are none, all
// targets that hold it.
func holdersOf(targets []watcher.Target, layer identifier.Layer) []watcher.Target {
	var starting, holders []watcher.Target
	for _, t := range targets {
		if t.Status.Layers.From > layer || t.Status.Layers.To <= layer {
			continue
		}
		holders = append(holders, t)
		if t.Status.Layers.From == layer {
			starting = append(starting, t)
		}
	}
	if len(starting) > 0 {
		return starting
	}
	return holders
}

// pick chooses one of the targets by the request's baseline policy.
func (r Request) pick(targets []watcher.Target) watcher.Target {
	if r.Policy == RoundRobin {
		return targets[r.Sequence%uint64(len(targets))]
	}
	best := targets[0]
	for _, t := range targets[1:] {
		switch {
		case r.Policy == LeastReportedQueue && t.Status.Queued < best.Status.Queued:
			best = t
		case r.Policy == Random && r.random(t.ID) < r.random(best.ID):
			best = t
		}
	}
	return best
}
