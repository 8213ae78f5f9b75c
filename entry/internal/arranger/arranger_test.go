package arranger_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/arranger"
	"fuchsiabridge.example/entry/internal/registrar"
)

const layers = 40

func engine() *describer.Engine {
	return &describer.Engine{
		Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, TypicalTokens: 900,
		Kinds: map[identifier.AcceleratorKind]describer.Accelerator{
			"big":   {Megabytes: 30_000, StepFactor: 1},
			"small": {Megabytes: 9_000, StepFactor: 10},
		},
	}
}

func target(id string, dc identifier.DataCentre, kind identifier.AcceleratorKind, held ...identifier.Layer) registrar.Target {
	t := registrar.Target{Target: describer.Target{ID: identifier.TargetID(id), Address: id + ":1", Service: "draft", DataCentre: dc, Kind: kind}}
	if len(held) == 2 {
		t.Layers = identifier.LayerRange{From: held[0], To: held[1]}
	}
	return t
}

// applyAssignments returns the targets as they are after all assignments are executed.
func applyAssignments(targets []registrar.Target, assignments []arranger.Assignment) []registrar.Target {
	out := append([]registrar.Target(nil), targets...)
	for _, a := range assignments {
		for i := range out {
			if out[i].ID == a.Target.ID {
				out[i].Layers = a.Layers
			}
		}
	}
	return out
}

// missingLayers counts the layers without a holder in a data centre; leaving targets don't count.
func missingLayers(targets []registrar.Target, dc identifier.DataCentre) int {
	held := map[identifier.Layer]bool{}
	for _, t := range targets {
		if t.DataCentre != dc || t.IsLeaving {
			continue
		}
		for l := t.Layers.From; l < t.Layers.To; l++ {
			held[l] = true
		}
	}
	return layers - len(held)
}

// TestNoOrderExceedsMemory checks for random targets that no range exceeds the model or the
// memory of its target, that each target gets at most one order, and leaving or pending targets none.
func TestNoOrderExceedsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := engine()
		pending := map[identifier.TargetID]identifier.LayerRange{}
		var targets []registrar.Target
		for i := range rapid.IntRange(0, 30).Draw(t, "targets") {
			x := drawTarget(t, e, i)
			if rapid.IntRange(0, 5).Draw(t, "pending") == 0 {
				pending[x.ID] = identifier.LayerRange{From: 0, To: 4}
			}
			targets = append(targets, x)
		}
		checkAssignments(t, e, arranger.Arrange(e, targets, pending), pending)
	})
}

// drawTarget draws a target that holds no more layers than fit into its memory.
func drawTarget(t *rapid.T, e *describer.Engine, i int) registrar.Target {
	kind := identifier.AcceleratorKind(rapid.SampledFrom([]string{"big", "small", "unknown"}).Draw(t, "kind"))
	dc := identifier.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"))
	x := target(fmt.Sprintf("t%d", i), dc, kind)
	if n := int(e.Kinds[kind].Megabytes / e.LayerMegabytes); n > 0 && rapid.Bool().Draw(t, "holds") {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		x.Layers = identifier.LayerRange{From: identifier.Layer(from), To: identifier.Layer(min(layers, from+rapid.IntRange(1, n).Draw(t, "len")))}
	}
	x.IsLeaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	return x
}

func checkAssignments(t *rapid.T, e *describer.Engine, orders []arranger.Assignment, pending map[identifier.TargetID]identifier.LayerRange) {
	seen := map[identifier.TargetID]bool{}
	for _, a := range orders {
		_, isPending := pending[a.Target.ID]
		if isPending || a.Target.IsLeaving || seen[a.Target.ID] {
			t.Fatalf("order to a target that must not get one: %v", a.Target)
		}
		seen[a.Target.ID] = true
		if a.Layers.From < 0 || a.Layers.To > layers || a.Layers.Len() <= 0 {
			t.Fatalf("range outside the model: %v", a.Layers)
		}
		if float64(a.Layers.Len())*e.LayerMegabytes > e.Kinds[a.Target.Kind].Megabytes {
			t.Fatalf("%v exceeds the memory of %v", a.Layers, a.Target.Kind)
		}
	}
}

// TestFirstPlacementCoversEachDataCentre checks that empty targets are placed so that each data
// centre with enough memory holds every layer itself, with capacity for many requests.
func TestFirstPlacementCoversEachDataCentre(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 3 {
		targets = append(targets, target(fmt.Sprintf("a%d", i), "a", "big"))
	}
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("b%d", i), "b", "small"))
	}
	placed := applyAssignments(targets, arranger.Arrange(engine(), targets, nil))
	c.Assert(missingLayers(placed, "a"), qt.Equals, 0)
	c.Assert(missingLayers(placed, "b"), qt.Equals, 0)
	for _, x := range placed {
		c.Check(x.Layers.Len() <= int(arranger.RangeLength(engine(), x.Kind, 50)), qt.IsTrue, qt.Commentf("%v", x))
	}
}

// TestRollingReplacementLeavesNoGap guards against missing layers during a release, in which
// each new target starts empty while the old one still holds its layers and then leaves.
func TestRollingReplacementLeavesNoGap(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("old%d", i), "b", "small"))
	}
	targets = applyAssignments(targets, arranger.Arrange(engine(), targets, nil))
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("new%d", i), "b", "small"))
		targets = applyAssignments(targets, arranger.Arrange(engine(), targets, nil))
		targets[i].IsLeaving = true
		targets = applyAssignments(targets, arranger.Arrange(engine(), targets, nil))
		c.Assert(missingLayers(targets, "b"), qt.Equals, 0, qt.Commentf("after replacement %d", i))
	}
}

// TestLayersOfLostTargetAreDivided guards against a single overloaded target after another one
// is lost for good: the neighbours divide its layers, and all keep capacity.
func TestLayersOfLostTargetAreDivided(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 8 {
		from := identifier.Layer(i * 5)
		targets = append(targets, target(fmt.Sprintf("t%d", i), "b", "small", from, from+5))
	}
	left := append(append([]registrar.Target(nil), targets[:3]...), targets[4:]...)
	left = applyAssignments(left, arranger.Arrange(engine(), left, nil))
	c.Assert(missingLayers(left, "b"), qt.Equals, 0)
	for _, x := range left {
		c.Check(x.Layers.Len() <= 6, qt.IsTrue, qt.Commentf("%v", x))
	}
}

// TestCompleteFleetMovesNoHolder checks that holders keep their layers while every layer has a holder.
func TestCompleteFleetMovesNoHolder(t *testing.T) {
	c := qt.New(t)
	targets := []registrar.Target{target("a0", "a", "big", 0, 20), target("a1", "a", "big", 20, 40), target("a2", "a", "small")}
	for _, a := range arranger.Arrange(engine(), targets, nil) {
		c.Check(a.Target.ID, qt.Equals, identifier.TargetID("a2"))
	}
	c.Assert(arranger.Arrange(engine(), targets[:2], nil), qt.HasLen, 0)
}

// minHolders returns the smallest number of holders of any layer in a data centre; leaving targets don't count.
func minHolders(targets []registrar.Target, dc identifier.DataCentre) int {
	counts := make([]int, layers)
	for _, t := range targets {
		if t.DataCentre != dc || t.IsLeaving {
			continue
		}
		for l := t.Layers.From; l < t.Layers.To; l++ {
			counts[l]++
		}
	}
	return slices.Min(counts)
}

// TestLostCopiesAreRebuilt guards against a fleet that repairs missing layers only: some of the
// targets that hold every layer twice crash and return empty. Copies are rebuilt a few at a
// time until every layer has two holders again.
func TestLostCopiesAreRebuilt(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 32 {
		targets = append(targets, target(fmt.Sprintf("t%02d", i), "b", "small"))
	}
	targets = applyAssignments(targets, arranger.Arrange(engine(), targets, nil))
	c.Assert(minHolders(targets, "b") >= 2, qt.IsTrue)
	for _, i := range []int{0, 1, 2, 8, 9} {
		targets[i].Layers = identifier.LayerRange{}
	}
	for range 8 {
		orders := arranger.Arrange(engine(), targets, nil)
		c.Assert(len(orders) <= 3, qt.IsTrue, qt.Commentf("%d orders at once", len(orders)))
		targets = applyAssignments(targets, orders)
	}
	c.Assert(minHolders(targets, "b") >= 2, qt.IsTrue)
	c.Assert(arranger.Arrange(engine(), targets, nil), qt.HasLen, 0)
}

// TestUnderusedHolderGrows checks that a target that closed a small gap is given as many layers
// as it can hold once nothing is missing, and keeps those that it holds.
func TestUnderusedHolderGrows(t *testing.T) {
	c := qt.New(t)
	targets := []registrar.Target{
		target("a0", "a", "big", 0, 20), target("a1", "a", "big", 21, 40), target("a2", "a", "small", 20, 21),
	}
	targets = applyAssignments(targets, arranger.Arrange(engine(), targets, nil))
	grown := targets[2].Layers
	c.Assert(grown.From <= 20 && grown.To >= 21 && grown.Len() > 2, qt.IsTrue, qt.Commentf("%v", grown))
	c.Assert(arranger.Arrange(engine(), targets, nil), qt.HasLen, 0)
}
