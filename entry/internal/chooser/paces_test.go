package chooser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/weigher"
)

func stageTarget(id string, from, to identifier.Layer) registrar.Target {
	t := chainTarget(id, "a", "fast")
	t.Layers = identifier.LayerRange{From: from, To: to}
	return t
}

// lastStages returns which share of requests gets a chain with each of the last targets.
func lastStages(x *chooser.Chooser, at time.Time) map[identifier.TargetID]float64 {
	const requests = 1000
	x.Replan(at, "draft")
	out := map[identifier.TargetID]float64{}
	for seed := range uint64(requests) {
		chain := x.Chain(at, "draft", seed, nil, weigher.Prompt{})
		out[chain.Stages[len(chain.Stages)-1].Target] += 1.0 / requests
	}
	return out
}

// slowShare bounds the share of a chain whose step takes 7.5 ms beside one of 2 ms: its weight is 0.21 of both.
const slowShare = 0.26

// TestChainsGoAroundSlowTargets guards against requests along chains through targets that say that they are many times slower, while others hold
// the same layers: a target that turns slow gets few, until it is sound again or says no more.
func TestChainsGoAroundSlowTargets(t *testing.T) {
	c := qt.New(t)
	x := newChooser(stageTarget("first", 0, 20), stageTarget("x", 20, layers), stageTarget("y", 20, layers))
	later := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	x.SetPace(later(0), "x", 12)
	c.Check(lastStages(x, later(200))["x"] < slowShare, qt.IsTrue)
	x.SetPace(later(400), "x", 1)
	x.SetPace(later(400), "y", 12)
	c.Check(lastStages(x, later(600))["y"] < slowShare, qt.IsTrue)
	x.SetPace(later(800), "y", 1)
	x.SetPace(later(800), "x", 12)
	c.Check(lastStages(x, later(1000))["x"] < slowShare, qt.IsTrue)
	x.Tick(later(6000))
	c.Check(lastStages(x, later(6200))["x"] > slowShare, qt.IsTrue, qt.Commentf("a pace that is not reported again still counts"))
}

// TestSlowTargetsServeIfNoOthersDo guards against a service without chains since all holders of some layers are slow.
func TestSlowTargetsServeIfNoOthersDo(t *testing.T) {
	c := qt.New(t)
	x := newChooser(stageTarget("first", 0, 20), stageTarget("x", 20, layers))
	x.SetPace(now, "x", 12)
	c.Check(lastStages(x, now.Add(time.Second)), qt.HasLen, 1)
}
