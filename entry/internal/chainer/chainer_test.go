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
	return &describer.Engine{Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, UsualTokens: 900}
}

func holder(id string, dc identifier.DataCentre, from, to identifier.Layer) chainer.Holder {
	return chainer.Holder{
		Target: identifier.TargetID(id), Address: id + ":1", DataCentre: dc,
		Layers: identifier.LayerRange{From: from, To: to}, LayerCost: 0.2, FreeMegabytes: 5000,
	}
}

// TestChainsRunEveryLayerOnceInOrder plans over any holders: each chain's parts follow each
// other without gap or overlap, within what their targets hold, and no target comes twice.
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
			if fault := faultOf(chain, held); fault != "" {
				t.Fatalf("%s in %v", fault, chain.Parts)
			}
		}
	})
}

// faultOf says what is wrong with a chain, nothing when it runs every layer once and in order.
func faultOf(chain chainer.Chain, held map[identifier.TargetID]identifier.LayerRange) string {
	next := identifier.Layer(0)
	seen := map[identifier.TargetID]bool{}
	for _, p := range chain.Parts {
		if p.Layers.From != next || p.Layers.Len() <= 0 {
			return "a gap or an overlap"
		}
		if !held[p.Target].Contains(p.Layers) {
			return "a part that its target does not hold"
		}
		if seen[p.Target] {
			return "a target that comes twice"
		}
		seen[p.Target] = true
		next = p.Layers.To
	}
	if next != layers || len(chain.Parts) > 32 {
		return "a wrong end, or too many parts"
	}
	return ""
}

// TestEachDataCentreHasItsChain finds a chain without crossings wherever one is possible.
func TestEachDataCentreHasItsChain(t *testing.T) {
	c := qt.New(t)
	chains := chainer.NewPlanner(engine(), []chainer.Holder{
		holder("a1", "a", 0, 20), holder("a2", "a", 20, 40), holder("b1", "b", 0, 40),
	}).Plan(1)
	c.Assert(chains, qt.HasLen, 2)
	for _, chain := range chains {
		c.Check(chain.Crossings, qt.Equals, 0)
	}
}

// TestLackIsFilledFromAnotherDataCentre leads a data centre that lost a part over another
// one's holder of it, and does not leave its own targets idle.
func TestLackIsFilledFromAnotherDataCentre(t *testing.T) {
	c := qt.New(t)
	chains := chainer.NewPlanner(engine(), []chainer.Holder{
		holder("a1", "a", 0, 15), holder("a3", "a", 25, 40),
		holder("b1", "b", 0, 15), holder("b2", "b", 15, 25), holder("b3", "b", 25, 40),
	}).Plan(1)
	c.Assert(chains, qt.HasLen, 2)
	c.Assert(chains[0].Crossings, qt.Equals, 0)
	mixed := chains[1]
	c.Assert(mixed.Crossings > 0, qt.IsTrue)
	c.Assert(mixed.Parts[0].Target, qt.Equals, identifier.TargetID("a1"))
}
