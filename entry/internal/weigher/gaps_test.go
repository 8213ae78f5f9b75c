package weigher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/weigher"
)

// TestChainsThatMissTheGapObjectiveGetLittle guards against streams whose every gap is late, while 40 of 100 targets are many times slower: a
// chain through such targets is much slower than others, and gets less than by its speed alone.
func TestChainsThatMissTheGapObjectiveGetLittle(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	tracker := loadtracker.NewTracker()
	var chains []chainer.Chain
	for id, step := range map[identifier.TargetID]float64{"fast": 10, "slow": 60, "late": 90} {
		chains = append(chains, chainer.Chain{Stages: []describer.Stage{{Target: id}}, DataCentre: "a", StepCost: step, Capacity: 100})
		tracker.Learn(now, []loadtracker.Report{{Target: id, Running: 10}})
	}
	weights := func(objective time.Duration) map[identifier.TargetID]float64 {
		e := describer.Engine{Slots: 100, TypicalAnswer: 100, Stride: 3, GapObjective: objective}
		plan := weigher.NewPlan("a", &e, chains, func(identifier.TargetID) weigher.Place { return weigher.Place{DataCentre: "a"} })
		out := map[identifier.TargetID]float64{}
		for i, weight := range weigher.NewWeigher(tracker).Weights(now, plan) {
			out[chains[i].Stages[0].Target] = weight
		}
		return out
	}
	without, with := weights(0), weights(250*time.Millisecond)
	c.Check(with["fast"], qt.Equals, without["fast"])
	c.Check(with["slow"] < without["slow"], qt.IsTrue)
	c.Check(with["slow"] > with["late"], qt.IsTrue)
	ratio := with["late"] / without["late"]
	c.Check(ratio > 0.099 && ratio < 0.101, qt.IsTrue, qt.Commentf("%.3f", ratio))
}
