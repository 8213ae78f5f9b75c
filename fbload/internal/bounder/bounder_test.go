package bounder_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/fbload/internal/bounder"
)

var draft = bounder.Draft{Tokens: 10, UncachedPromptTokens: 5}

func engine(from, to identifier.Layer, micros int) enginecaller.Status {
	return enginecaller.Status{Layers: identifier.LayerRange{From: from, To: to}, LayerMicros: micros, BatchLimit: 4}
}

// TestBoundOfDisjointRanges checks that with disjoint layer ranges the bound is the capacity of the
// range with the least capacity.
func TestBoundOfDisjointRanges(t *testing.T) {
	c := qt.New(t)
	fast, slow := engine(0, 8, 1000), engine(8, 16, 4000)
	got, err := bounder.Bound([]enginecaller.Status{fast, slow, slow}, 16, draft)
	c.Assert(err, qt.IsNil)
	c.Assert(math.Abs(got-2*bounder.Capacity(slow, draft)) < 1e-6, qt.IsTrue, qt.Commentf("bound %v", got))
}

// TestBoundOfAGap checks that the bound is zero if no engine holds one of the layers.
func TestBoundOfAGap(t *testing.T) {
	c := qt.New(t)
	got, err := bounder.Bound([]enginecaller.Status{engine(0, 7, 1000), engine(8, 16, 1000)}, 16, draft)
	c.Assert(err, qt.IsNil)
	c.Assert(math.Abs(got) < 1e-9, qt.IsTrue)
}

// TestBoundIsBelowEveryCut checks weak duality on random fleets: all flow passes through each layer, so
// the bound must not exceed the total capacity of the engines that hold any one layer.
func TestBoundIsBelowEveryCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := identifier.Layer(12)
		var engines []enginecaller.Status
		for range rapid.IntRange(1, 12).Draw(t, "engines") {
			from := identifier.Layer(rapid.IntRange(0, 11).Draw(t, "from"))
			to := identifier.Layer(rapid.IntRange(int(from)+1, 12).Draw(t, "to"))
			engines = append(engines, engine(from, to, rapid.IntRange(500, 8000).Draw(t, "micros")))
		}
		bound, err := bounder.Bound(engines, layers, draft)
		if err != nil {
			t.Fatal(err)
		}
		for l := range layers {
			cut := 0.0
			for _, e := range engines {
				if e.Layers.From <= l && l < e.Layers.To {
					cut += bounder.Capacity(e, draft)
				}
			}
			if bound > cut+1e-6 {
				t.Fatalf("bound %v exceeds layer %d's capacity %v", bound, l, cut)
			}
		}
	})
}
