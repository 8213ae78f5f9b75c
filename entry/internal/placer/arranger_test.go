package placer_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
)

const layers = 40

func engine() *describer.Engine {
	return &describer.Engine{
		Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, UsualTokens: 900,
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

// after returns the targets as they are once all assignments are carried out.
func after(targets []registrar.Target, assignments []placer.Assignment) []registrar.Target {
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

// holes counts the layers that no target of a data centre holds that is staying.
func holes(targets []registrar.Target, dc identifier.DataCentre) int {
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

// TestNoOrderExceedsMemory arranges any targets: no range exceeds the memory of its target
// or the model, each target gets one at most, and none that is leaving or pending gets any.
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
		checkOrders(t, e, placer.Arrange(e, targets, pending), pending)
	})
}

// drawTarget returns any target, which holds no more than its memory allows.
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

func checkOrders(t *rapid.T, e *describer.Engine, orders []placer.Assignment, pending map[identifier.TargetID]identifier.LayerRange) {
	seen := map[identifier.TargetID]bool{}
	for _, a := range orders {
		_, isPending := pending[a.Target.ID]
		if isPending || a.Target.IsLeaving || seen[a.Target.ID] {
			t.Fatalf("an order to %v", a.Target)
		}
		seen[a.Target.ID] = true
		if a.Layers.From < 0 || a.Layers.To > layers || a.Layers.Len() <= 0 {
			t.Fatalf("range %v", a.Layers)
		}
		if float64(a.Layers.Len())*e.LayerMegabytes > e.Kinds[a.Target.Kind].Megabytes {
			t.Fatalf("%v exceeds the memory of %v", a.Layers, a.Target.Kind)
		}
	}
}

// TestFirstPlacementCoversEachDataCentre places empty targets so that each data centre that
// has the memory holds every layer by itself, with room for many requests.
func TestFirstPlacementCoversEachDataCentre(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 3 {
		targets = append(targets, target(fmt.Sprintf("a%d", i), "a", "big"))
	}
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("b%d", i), "b", "small"))
	}
	placed := after(targets, placer.Arrange(engine(), targets, nil))
	c.Assert(holes(placed, "a"), qt.Equals, 0)
	c.Assert(holes(placed, "b"), qt.Equals, 0)
	for _, x := range placed {
		c.Check(x.Layers.Len() <= int(placer.RangeLength(engine(), x.Kind, 50)), qt.IsTrue, qt.Commentf("%v", x))
	}
}

// TestReplacementOneByOne plays the pattern of a release: each successor comes empty while
// its predecessor still holds its layers, which then leaves. No hole stays.
func TestReplacementOneByOne(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("old%d", i), "b", "small"))
	}
	targets = after(targets, placer.Arrange(engine(), targets, nil))
	for i := range 8 {
		targets = append(targets, target(fmt.Sprintf("new%d", i), "b", "small"))
		targets = after(targets, placer.Arrange(engine(), targets, nil))
		targets[i].IsLeaving = true
		targets = after(targets, placer.Arrange(engine(), targets, nil))
		c.Assert(holes(targets, "b"), qt.Equals, 0, qt.Commentf("after replacement %d", i))
	}
}

// TestLossForGoodIsShared plays the pattern of a target that never comes back: the targets
// around its layers share them, and none is left with hardly any room.
func TestLossForGoodIsShared(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 8 {
		from := identifier.Layer(i * 5)
		targets = append(targets, target(fmt.Sprintf("t%d", i), "b", "small", from, from+5))
	}
	left := append(append([]registrar.Target(nil), targets[:3]...), targets[4:]...)
	left = after(left, placer.Arrange(engine(), left, nil))
	c.Assert(holes(left, "b"), qt.Equals, 0)
	for _, x := range left {
		c.Check(x.Layers.Len() <= 6, qt.IsTrue, qt.Commentf("%v", x))
	}
}

// TestWholeFleetMovesNoHolder leaves targets alone that hold their part where every layer is held.
func TestWholeFleetMovesNoHolder(t *testing.T) {
	c := qt.New(t)
	targets := []registrar.Target{target("a0", "a", "big", 0, 20), target("a1", "a", "big", 20, 40), target("a2", "a", "small")}
	for _, a := range placer.Arrange(engine(), targets, nil) {
		c.Check(a.Target.ID, qt.Equals, identifier.TargetID("a2"))
	}
	c.Assert(placer.Arrange(engine(), targets[:2], nil), qt.HasLen, 0)
}

// holders returns how many staying targets of a data centre hold the layer that fewest hold.
func holders(targets []registrar.Target, dc identifier.DataCentre) int {
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

// TestLostCopiesAreRebuilt plays the pattern of a day of losses: of targets that hold every
// layer twice, some crash and come back empty. Copies are rebuilt a few at a time until the
// layers are held twice again, not only until no layer is missing.
func TestLostCopiesAreRebuilt(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for i := range 32 {
		targets = append(targets, target(fmt.Sprintf("t%02d", i), "b", "small"))
	}
	targets = after(targets, placer.Arrange(engine(), targets, nil))
	c.Assert(holders(targets, "b") >= 2, qt.IsTrue)
	for _, i := range []int{0, 1, 2, 8, 9} {
		targets[i].Layers = identifier.LayerRange{}
	}
	for range 8 {
		orders := placer.Arrange(engine(), targets, nil)
		c.Assert(len(orders) <= 3, qt.IsTrue, qt.Commentf("%d orders at once", len(orders)))
		targets = after(targets, orders)
	}
	c.Assert(holders(targets, "b") >= 2, qt.IsTrue)
	c.Assert(placer.Arrange(engine(), targets, nil), qt.HasLen, 0)
}

// TestThinHolderGrows lets a target that closed a small hole hold as much as it can, once
// nothing is missing, without giving up what it holds.
func TestThinHolderGrows(t *testing.T) {
	c := qt.New(t)
	targets := []registrar.Target{
		target("a0", "a", "big", 0, 20), target("a1", "a", "big", 21, 40), target("a2", "a", "small", 20, 21),
	}
	targets = after(targets, placer.Arrange(engine(), targets, nil))
	grown := targets[2].Layers
	c.Assert(grown.From <= 20 && grown.To >= 21 && grown.Len() > 2, qt.IsTrue, qt.Commentf("%v", grown))
	c.Assert(placer.Arrange(engine(), targets, nil), qt.HasLen, 0)
}
