package chooser_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/weigher"
)

// stagedTargets returns six targets for each of four stages.
func stagedTargets() []registrar.Target {
	var out []registrar.Target
	for n := range 24 {
		t := chainTarget(fmt.Sprintf("t%d-%d", n%4, n/4), "a", "fast")
		t.Layers = identifier.LayerRange{From: identifier.Layer(n % 4 * layers / 4), To: identifier.Layer((n%4 + 1) * layers / 4)}
		out = append(out, t)
	}
	return out
}

// loseStage returns a chooser with a chain whose third target has failed.
func loseStage() (*chooser.Chooser, []describer.Stage) {
	x := newChooser(stagedTargets()...)
	chain := x.Chain(now, "draft", 1, nil, weigher.Prompt{}).Stages
	x.Eject(now, chain[2].Address)
	return x, chain
}

// TestContinuationReplacesOnlyLostStage guards against prompts that sound stages read again, and against requests that all go to one
// replacement: with 100 requests, each of the five replacements gets a tenth at least.
func TestContinuationReplacesOnlyLostStage(t *testing.T) {
	c := qt.New(t)
	x, chain := loseStage()
	chosen := map[identifier.TargetID]int{}
	for seed := range uint64(100) {
		found, ok := x.ContinueFrom(now, "draft", chain, seed)
		c.Assert(ok, qt.IsTrue)
		c.Assert([]describer.Stage{found.Stages[0], found.Stages[1], found.Stages[3]}, qt.DeepEquals, []describer.Stage{chain[0], chain[1], chain[3]})
		chosen[found.Stages[2].Target]++
	}
	c.Assert(chosen, qt.HasLen, 5)
	for id, n := range chosen {
		c.Check(n >= 10, qt.IsTrue, qt.Commentf("%s: %d", id, n))
	}
}

// TestRefusedGroupIsNotAskedAgain guards against reroutes that are refused again and again without an address: none is asked of the same
// targets while they are avoided, and when all are, there is no continuation.
func TestRefusedGroupIsNotAskedAgain(t *testing.T) {
	c := qt.New(t)
	x, chain := loseStage()
	var refused []identifier.TargetID
	for seed := range uint64(5) {
		found, ok := x.ContinueFrom(now, "draft", chain, seed)
		c.Assert(ok, qt.IsTrue)
		c.Assert(slices.Contains(refused, found.Stages[2].Target), qt.IsFalse)
		refused = append(refused, found.Stages[2].Target)
		x.AvoidGroup(found.Stages, chain, now.Add(time.Second))
	}
	_, ok := x.ContinueFrom(now, "draft", chain, 1)
	c.Assert(ok, qt.IsFalse)
	_, ok = x.ContinueFrom(now.Add(time.Second), "draft", chain, 1)
	c.Assert(ok, qt.IsTrue)
}
