package planner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/watcher"
)

func holder(id identifier.TargetID, from, to identifier.Layer, micros int, state watcher.State) watcher.Target {
	return watcher.Target{ID: id, Role: platformcaller.RoleEngine, State: state, Status: enginecaller.Status{
		Target: id, Model: "atlas", Layers: identifier.LayerRange{From: from, To: to}, LayerMicros: micros, BatchLimit: 32, Generation: 3,
	}}
}

var holders = []watcher.Target{
	holder("a-slow", 8, 16, 900, watcher.StateUp),
	holder("b-part", 8, 12, 100, watcher.StateUp),
	holder("c-fast", 0, 24, 200, watcher.StateUp),
	holder("d-leaving", 8, 16, 100, watcher.StateLeaving),
	holder("e-avoided", 8, 16, 100, watcher.StateUp),
}

var request = planner.Request{
	Model: "atlas", Layers: identifier.LayerRange{From: 8, To: 16}, Avoid: map[identifier.TargetID]bool{"e-avoided": true},
}

// TestCandidatesHoldTheWholeRange checks that targets are left out that hold only a part of the
// range, are leaving or are to be avoided.
func TestCandidatesHoldTheWholeRange(t *testing.T) {
	c := qt.New(t)
	c.Assert(planner.Candidates(holders, request), qt.DeepEquals, []identifier.TargetID{"c-fast", "a-slow"})
}

// TestChooseAtUsesOnlyTheTarget checks that the range of a suitable target is clipped and that
// other targets are refused.
func TestChooseAtUsesOnlyTheTarget(t *testing.T) {
	c := qt.New(t)
	stages, ok := planner.ChooseAt(holders, "c-fast", request)
	c.Assert(ok, qt.IsTrue)
	c.Assert(stages, qt.HasLen, 1)
	c.Assert(stages[0].Target, qt.Equals, identifier.TargetID("c-fast"))
	c.Assert(stages[0].Layers, qt.Equals, request.Layers)
	c.Assert(stages[0].Generation, qt.Equals, identifier.Generation(3))
	for _, id := range []identifier.TargetID{"b-part", "d-leaving", "e-avoided", "none"} {
		_, ok := planner.ChooseAt(holders, id, request)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%s", id))
	}
}
