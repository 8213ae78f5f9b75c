package planner_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/watcher"
)

const model = "atlas"

func engine(id string, from, to identifier.Layer, micros, queued int) watcher.Target {
	return watcher.Target{
		ID: identifier.TargetID(id), Role: platformcaller.RoleEngine, State: watcher.StateUp,
		Status: enginecaller.Status{
			Model: model, Layers: identifier.LayerRange{From: from, To: to}, LayerMicros: micros, Queued: queued, BatchLimit: 4,
		},
	}
}

// TestPipelineCoversEveryLayerOnce checks, for every policy and random fleets, that a pipeline has
// no gaps or overlaps, and that one is found whenever the targets cover the layers.
func TestPipelineCoversEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []watcher.Target
		covered := map[identifier.Layer]bool{}
		for i := range rapid.IntRange(1, 14).Draw(t, "targets") {
			from := rapid.IntRange(0, 11).Draw(t, "from")
			to := rapid.IntRange(from+1, 12).Draw(t, "to")
			targets = append(targets, engine(fmt.Sprint("e", i), identifier.Layer(from), identifier.Layer(to),
				rapid.IntRange(100, 900).Draw(t, "micros"), rapid.IntRange(0, 50).Draw(t, "queued")))
			for l := from; l < to; l++ {
				covered[identifier.Layer(l)] = true
			}
		}
		r := planner.Request{
			Model: model, Layers: identifier.LayerRange{To: 12}, Seed: rapid.Uint64().Draw(t, "seed"), Sequence: rapid.Uint64().Draw(t, "turn"),
			Policy: rapid.SampledFrom([]planner.Policy{"", planner.ExpectedTime, planner.Random, planner.RoundRobin, planner.LeastReportedQueue}).Draw(t, "choice"),
		}
		stages, ok := planner.Choose(targets, r)
		if ok != (len(covered) == 12) {
			t.Fatalf("found a pipeline: %t, but the targets cover %d of 12 layers", ok, len(covered))
		}
		next := identifier.Layer(0)
		for _, s := range stages {
			if s.Layers.From != next || s.Layers.To <= s.Layers.From {
				t.Fatalf("the stages leave a gap or overlap: %v", stages)
			}
			next = s.Layers.To
		}
		if ok && next != 12 {
			t.Fatalf("the stages end at layer %d, want 12: %v", next, stages)
		}
	})
}

// countChoices counts how often each of two targets is chosen over many drafts.
func countChoices(policy planner.Policy, a, b watcher.Target) map[identifier.TargetID]int {
	chosen := map[identifier.TargetID]int{}
	for n := range uint64(1000) {
		r := planner.Request{Model: model, Layers: identifier.LayerRange{To: 8}, Policy: policy, Seed: n, Sequence: n}
		stages, _ := planner.Choose([]watcher.Target{a, b}, r)
		chosen[stages[0].Target]++
	}
	return chosen
}

// TestEqualTargetsShareDrafts checks that outdated reports of equal loads do not send every draft
// to one target.
func TestEqualTargetsShareDrafts(t *testing.T) {
	c := qt.New(t)
	a, b := engine("a", 0, 8, 200, 3), engine("b", 0, 8, 200, 3)
	for _, policy := range []planner.Policy{planner.ExpectedTime, planner.Random, planner.RoundRobin} {
		chosen := countChoices(policy, a, b)
		c.Check(chosen["a"] > 400 && chosen["b"] > 400, qt.IsTrue, qt.Commentf("%s: %v", policy, chosen))
	}
}

// TestExpectedTimePrefersFastAndIdleTargets checks that a target with half the speed, or with a
// long queue, gets no drafts.
func TestExpectedTimePrefersFastAndIdleTargets(t *testing.T) {
	c := qt.New(t)
	fast := engine("fast", 0, 8, 200, 0)
	c.Assert(countChoices(planner.ExpectedTime, fast, engine("slow", 0, 8, 400, 0))["slow"], qt.Equals, 0)
	c.Assert(countChoices(planner.ExpectedTime, fast, engine("busy", 0, 8, 200, 16))["busy"], qt.Equals, 0)
}
