package chainer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
)

const layers = 40

func engine() *describer.Engine {
	return &describer.Engine{Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, TypicalTokens: 900}
}

func holder(id string, dc identifier.DataCentre, from, to identifier.Layer) chainer.Holder {
	return chainer.Holder{
		Target: identifier.TargetID(id), Address: id + ":1", DataCentre: dc,
		Layers: identifier.LayerRange{From: from, To: to}, LayerCost: 0.2, FreeMegabytes: 5000,
	}
}

// TestChainsRunEveryLayerOnceInOrder checks for random holders that the stages of each chain
// follow each other without gap or overlap, stay within what their targets hold, and use no
// target twice.
func TestChainsRunEveryLayerOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := map[identifier.TargetID]identifier.LayerRange{}
		var holders []chainer.Holder
		for i := range rapid.IntRange(0, 40).Draw(t, "targets") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			dc := identifier.DataCentre(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc"))
			h := holder(fmt.Sprintf("t%d", i), dc, identifier.Layer(from), identifier.Layer(to))
			h.LayerCost = rapid.Float64Range(0.01, 5).Draw(t, "cost")
			held[h.Target] = h.Layers
			holders = append(holders, h)
		}
		for _, chain := range chainer.NewPlanner(engine(), holders).Plan(2) {
			if defect := defectOf(chain, held); defect != "" {
				t.Fatalf("%s in %v", defect, chain.Stages)
			}
		}
	})
}

// defectOf describes what is wrong with a chain; it is empty if the chain runs every layer once and in order.
func defectOf(chain chainer.Chain, held map[identifier.TargetID]identifier.LayerRange) string {
	next := identifier.Layer(0)
	seen := map[identifier.TargetID]bool{}
	for _, p := range chain.Stages {
		if p.Layers.From != next || p.Layers.Len() <= 0 {
			return "gap or overlap between stages"
		}
		if !held[p.Target].Contains(p.Layers) {
			return "stage with layers that its target does not hold"
		}
		if seen[p.Target] {
			return "target used twice"
		}
		seen[p.Target] = true
		next = p.Layers.To
	}
	if next != layers || len(chain.Stages) > 32 {
		return "chain does not end at the last layer, or has too many stages"
	}
	return ""
}

// TestDataCentreWithAllLayersGetsLocalChain checks that a data centre that holds all layers
// gets a chain without hops to other data centres.
func TestDataCentreWithAllLayersGetsLocalChain(t *testing.T) {
	c := qt.New(t)
	chains := chainer.NewPlanner(engine(), []chainer.Holder{
		holder("a1", "a", 0, 20), holder("a2", "a", 20, 40), holder("b1", "b", 0, 40),
	}).Plan(1)
	c.Assert(chains, qt.HasLen, 2)
	for _, chain := range chains {
		c.Check(chain.Hops, qt.Equals, 0)
	}
}

// TestMissingLayersAreFilledFromAnotherDataCentre guards against idle targets in a data centre
// that lost some of its layers: it gets a chain that uses another data centre's holder for these.
func TestMissingLayersAreFilledFromAnotherDataCentre(t *testing.T) {
	c := qt.New(t)
	chains := chainer.NewPlanner(engine(), []chainer.Holder{
		holder("a1", "a", 0, 15), holder("a3", "a", 25, 40),
		holder("b1", "b", 0, 15), holder("b2", "b", 15, 25), holder("b3", "b", 25, 40),
	}).Plan(1)
	c.Assert(chains, qt.HasLen, 2)
	c.Assert(chains[0].Hops, qt.Equals, 0)
	mixed := chains[1]
	c.Assert(mixed.Hops > 0, qt.IsTrue)
	c.Assert(mixed.Stages[0].Target, qt.Equals, identifier.TargetID("a1"))
}
