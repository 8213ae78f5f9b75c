package planner_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/watcher"
)

// TestSampleFindsAPipelineWhereOneExists compares the choice among a sample with the choice
// among all targets: one finds a pipeline exactly when the other does.
func TestSampleFindsAPipelineWhereOneExists(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var targets []watcher.Target
		avoid := map[identifier.TargetID]bool{}
		for i := range rapid.IntRange(0, 200).Draw(rt, "targets") {
			from := identifier.Layer(rapid.IntRange(0, 2).Draw(rt, "range") * 8)
			id := identifier.TargetID(fmt.Sprintf("engine-%03d", i))
			state := rapid.SampledFrom([]watcher.State{watcher.StateUp, watcher.StateDown, watcher.StateLeaving}).Draw(rt, "state")
			avoid[id] = rapid.Bool().Draw(rt, "avoid")
			targets = append(targets, watcher.Target{
				ID: id, Role: platformcaller.RoleEngine, State: state,
				Status: enginecaller.Status{Model: "atlas", Layers: identifier.LayerRange{From: from, To: from + 8}, LayerMicros: 100, BatchLimit: 8},
			})
		}
		r := planner.Request{Model: "atlas", Layers: identifier.LayerRange{To: 24}, Avoid: avoid, Seed: rapid.Uint64().Draw(rt, "seed")}
		_, whole := planner.Choose(targets, r)
		stages, sampled := planner.Choose(planner.NewIndex(targets).Sample(r), r)
		if sampled != whole {
			rt.Fatalf("a pipeline found among all: %v, among the sample: %v", whole, sampled)
		}
		for _, s := range stages {
			if avoid[s.Target] {
				rt.Fatalf("%s was to be avoided", s.Target)
			}
		}
	})
}
