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

// TestSampleFindsAPipelineWhereOneExists checks that choosing from a sample finds a pipeline
// exactly when choosing from all targets does.
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
		_, foundInAll := planner.Choose(targets, r)
		stages, foundInSample := planner.Choose(planner.NewIndex(targets).Sample(r), r)
		if foundInSample != foundInAll {
			rt.Fatalf("found a pipeline among all targets: %v, among the sample: %v", foundInAll, foundInSample)
		}
		for _, s := range stages {
			if avoid[s.Target] {
				rt.Fatalf("stage uses target %s, which must be avoided", s.Target)
			}
		}
	})
}
