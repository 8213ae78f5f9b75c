package chooser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/registrar"
)

const layers = 40

var now = time.Unix(1_000_000, 0)

func services() map[identifier.ServiceID]describer.Service {
	return map[identifier.ServiceID]describer.Service{
		"ledger": {ID: "ledger"},
		"draft": {ID: "draft", Engine: &describer.Engine{
			Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, UsualTokens: 900, StepTime: time.Millisecond,
			Kinds: map[identifier.AcceleratorKind]describer.Accelerator{
				"fast": {Megabytes: 60_000, StepFactor: 1}, "slow": {Megabytes: 60_000, StepFactor: 4},
				// Beside the weights there is room for some 90 and 180 usual requests.
				"tight": {Megabytes: 72_400, StepFactor: 1}, "roomy": {Megabytes: 104_800, StepFactor: 1},
			},
		}},
	}
}

func chained(id string, dc identifier.DataCentre, kind identifier.AcceleratorKind) registrar.Target {
	return registrar.Target{Target: describer.Target{
		ID: identifier.TargetID(id), Address: id, Service: "draft", DataCentre: dc, Kind: kind, Layers: identifier.LayerRange{From: 0, To: layers},
	}}
}

func newChooser(targets ...registrar.Target) *chooser.Chooser {
	c := chooser.NewChooser("a")
	c.SetServices(services())
	c.SetTargets(targets)
	c.Refresh(now, "draft")
	return c
}

// TestManyNodesLoadChainsByWeight plays the pattern of many nodes that each see one request:
// none has requests of its own to go by, and together they load the slow chains too, each
// by its weight, and not only the fastest.
func TestManyNodesLoadChainsByWeight(t *testing.T) {
	c := qt.New(t)
	const nodes = 4000
	taken := map[identifier.TargetID]int{}
	for node := range uint64(nodes) {
		x := newChooser(chained("fast", "b", "fast"), chained("slow1", "c", "slow"), chained("slow2", "d", "slow"))
		taken[x.Chain(now, "draft", node, nil).Parts[0].Target]++
	}
	for _, id := range []identifier.TargetID{"slow1", "slow2"} {
		share := float64(taken[id]) / nodes
		c.Check(share > 0.10 && share < 0.25, qt.IsTrue, qt.Commentf("%s takes %.2f; by its weight a sixth", id, share))
	}
}

// TestOpenRequestsSpreadTheNext gives a node's next requests to the chains that have fewest.
func TestOpenRequestsSpreadTheNext(t *testing.T) {
	c := qt.New(t)
	x := newChooser(chained("b1", "b", "fast"), chained("c1", "c", "fast"))
	taken := map[identifier.TargetID]int{}
	for i := range uint64(100) {
		id := x.Chain(now, "draft", i, nil).Parts[0].Target
		x.Occupy([]identifier.TargetID{id})
		taken[id]++
	}
	c.Assert(taken["b1"] > 40 && taken["c1"] > 40, qt.IsTrue, qt.Commentf("%v", taken))
}

// TestLastResort takes chains over targets without room, and in doubt, only where no other is left.
func TestLastResort(t *testing.T) {
	c := qt.New(t)
	x := newChooser(chained("b1", "b", "fast"), chained("c1", "c", "fast"))
	x.Avoid("b1", now.Add(time.Second))
	for i := range uint64(50) {
		c.Assert(x.Chain(now, "draft", i, nil).Parts[0].Target, qt.Equals, identifier.TargetID("c1"))
	}
	x.Doubt(now, "c1")
	c.Assert(x.Chain(now, "draft", 1, nil).Parts[0].Target, qt.Equals, identifier.TargetID("b1"))
	x.Doubt(now, "b1")
	c.Assert(x.Chain(now, "draft", 1, nil), qt.IsNotNil)
}

// TestSlowAndFailingTargetsLoseShare sends plain requests where they are answered soonest, and
// now and then to the others, so that these can win their share back.
func TestSlowAndFailingTargetsLoseShare(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for _, id := range []identifier.TargetID{"good", "slow", "failing"} {
		targets = append(targets, registrar.Target{Target: describer.Target{ID: id, Address: string(id), Service: "ledger", DataCentre: "a", Slots: 6}})
	}
	x := newChooser(targets...)
	for range 20 {
		x.Learn("good", 15*time.Millisecond, false)
		x.Learn("slow", 150*time.Millisecond, false)
		x.Learn("failing", 5*time.Millisecond, true)
	}
	taken := map[identifier.TargetID]int{}
	for i := range uint64(1000) {
		taken[x.Target("ledger", nil, i).ID]++
	}
	c.Assert(taken["good"] > 900, qt.IsTrue, qt.Commentf("%v", taken))
	c.Assert(taken["slow"] > 0 && taken["failing"] > 0, qt.IsTrue, qt.Commentf("%v", taken))
	c.Assert(x.Target("ledger", []identifier.TargetID{"good"}, 1).ID, qt.Not(qt.Equals), identifier.TargetID("good"))
	c.Assert(fmt.Sprint(x.Target("none", nil, 1)), qt.Equals, "<nil>")
}

// TestChainsFillEvenly plays the pattern of a fleet at its limit: of two chains that are
// equally fast, the one with twice the room gets twice the requests, so that none is full
// while another has room.
func TestChainsFillEvenly(t *testing.T) {
	c := qt.New(t)
	x := newChooser(chained("tight", "a", "tight"), chained("roomy", "a", "roomy"))
	taken := map[identifier.TargetID]int{}
	const requests = 240
	for seed := range uint64(requests) {
		id := x.Chain(now, "draft", seed, nil).Parts[0].Target
		taken[id]++
		x.Occupy([]identifier.TargetID{id})
	}
	share := float64(taken["roomy"]) / requests
	c.Assert(share > 0.6 && share < 0.73, qt.IsTrue, qt.Commentf("the roomy chain takes %.2f; by its room two thirds", share))
}
