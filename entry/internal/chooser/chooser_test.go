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
	"fuchsiabridge.example/entry/internal/weigher"
)

const layers = 40

var now = time.Unix(1_000_000, 0)

func services() map[identifier.ServiceID]describer.Service {
	return map[identifier.ServiceID]describer.Service{
		"ledger": {ID: "ledger"},
		"draft": {ID: "draft", Engine: &describer.Engine{
			Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, TypicalTokens: 900, StepTime: time.Millisecond,
			Kinds: map[identifier.AcceleratorKind]describer.Accelerator{
				"fast": {Megabytes: 60_000, StepFactor: 1}, "slow": {Megabytes: 60_000, StepFactor: 4},
				// The memory left by the weights is enough for about 90 and 180 typical requests.
				"tight": {Megabytes: 72_400, StepFactor: 1}, "roomy": {Megabytes: 104_800, StepFactor: 1},
			},
		}},
	}
}

func chainTarget(id string, dc identifier.DataCentre, kind identifier.AcceleratorKind) registrar.Target {
	return registrar.Target{Target: describer.Target{
		ID: identifier.TargetID(id), Address: id, Service: "draft", DataCentre: dc, Kind: kind, Layers: identifier.LayerRange{From: 0, To: layers},
	}}
}

func newChooser(targets ...registrar.Target) *chooser.Chooser {
	c := chooser.NewChooser("a")
	c.SetServices(services())
	c.SetTargets(targets)
	c.Replan(now, "draft")
	return c
}

// TestManyNodesLoadChainsByWeight guards against many nodes that all choose the fastest chain
// because each of them sees one request only and has no load of its own to compare. Together
// they must load the slow chains too, each by its weight.
func TestManyNodesLoadChainsByWeight(t *testing.T) {
	c := qt.New(t)
	const nodes = 4000
	chosen := map[identifier.TargetID]int{}
	for node := range uint64(nodes) {
		x := newChooser(chainTarget("fast", "b", "fast"), chainTarget("slow1", "c", "slow"), chainTarget("slow2", "d", "slow"))
		chosen[x.Chain(now, "draft", node, nil, weigher.Prompt{}).Stages[0].Target]++
	}
	for _, id := range []identifier.TargetID{"slow1", "slow2"} {
		share := float64(chosen[id]) / nodes
		c.Check(share > 0.10 && share < 0.25, qt.IsTrue, qt.Commentf("%s gets a share of %.2f; its weight is a sixth", id, share))
	}
}

// TestEntryBeyondModelLeavesOtherChains guards against a service without chains since one entry, left by another writer, names layers
// that the model does not have.
func TestEntryBeyondModelLeavesOtherChains(t *testing.T) {
	c := qt.New(t)
	for _, odd := range []identifier.LayerRange{{From: 0, To: layers + 1}, {From: layers, To: layers + 5}, {From: -1, To: layers}, {From: 0, To: 1 << 20}} {
		strange := chainTarget("odd", "b", "fast")
		strange.Layers = odd
		x := newChooser(strange, chainTarget("a1", "a", "slow"))
		chain := x.Chain(now, "draft", 1, nil, weigher.Prompt{})
		c.Assert(chain, qt.IsNotNil, qt.Commentf("%v", odd))
		c.Check(chain.Stages[0].Target, qt.Equals, identifier.TargetID("a1"))
		c.Check(chain.Stages[len(chain.Stages)-1].Layers.To, qt.Equals, identifier.Layer(layers))
	}
}

// TestRequestsGoToLeastLoadedChain checks that a node spreads its requests over equal chains.
func TestRequestsGoToLeastLoadedChain(t *testing.T) {
	c := qt.New(t)
	x := newChooser(chainTarget("b1", "b", "fast"), chainTarget("c1", "c", "fast"))
	chosen := map[identifier.TargetID]int{}
	for i := range uint64(100) {
		id := x.Chain(now, "draft", i, nil, weigher.Prompt{}).Stages[0].Target
		x.Acquire([]identifier.TargetID{id})
		chosen[id]++
	}
	c.Assert(chosen["b1"] > 40 && chosen["c1"] > 40, qt.IsTrue, qt.Commentf("%v", chosen))
}

// TestAvoidedAndEjectedTargetsAreLastResort checks that chains with avoided or ejected targets
// are chosen only if no other chain is left.
func TestAvoidedAndEjectedTargetsAreLastResort(t *testing.T) {
	c := qt.New(t)
	x := newChooser(chainTarget("b1", "b", "fast"), chainTarget("c1", "c", "fast"))
	x.Avoid("b1", now.Add(time.Second))
	for i := range uint64(50) {
		c.Assert(x.Chain(now, "draft", i, nil, weigher.Prompt{}).Stages[0].Target, qt.Equals, identifier.TargetID("c1"))
	}
	x.Eject(now, "c1")
	c.Assert(x.Chain(now, "draft", 1, nil, weigher.Prompt{}).Stages[0].Target, qt.Equals, identifier.TargetID("b1"))
	x.Eject(now, "b1")
	c.Assert(x.Chain(now, "draft", 1, nil, weigher.Prompt{}), qt.IsNotNil)
}

// TestSlowAndFailingTargetsGetFewRequests checks that plain requests go to the target with the
// shortest expected time, and now and then to the others, so that these can recover.
func TestSlowAndFailingTargetsGetFewRequests(t *testing.T) {
	c := qt.New(t)
	var targets []registrar.Target
	for _, id := range []identifier.TargetID{"good", "slow", "failing"} {
		targets = append(targets, registrar.Target{Target: describer.Target{ID: id, Address: string(id), Service: "ledger", DataCentre: "a", Slots: 6}})
	}
	x := newChooser(targets...)
	for range 20 {
		x.RecordResult("good", 15*time.Millisecond, false)
		x.RecordResult("slow", 150*time.Millisecond, false)
		x.RecordResult("failing", 5*time.Millisecond, true)
	}
	chosen := map[identifier.TargetID]int{}
	for i := range uint64(1000) {
		chosen[x.Target(now, "ledger", nil, i).ID]++
	}
	c.Assert(chosen["good"] > 900, qt.IsTrue, qt.Commentf("%v", chosen))
	c.Assert(chosen["slow"] > 0 && chosen["failing"] > 0, qt.IsTrue, qt.Commentf("%v", chosen))
	c.Assert(x.Target(now, "ledger", []identifier.TargetID{"good"}, 1).ID, qt.Not(qt.Equals), identifier.TargetID("good"))
	c.Assert(fmt.Sprint(x.Target(now, "none", nil, 1)), qt.Equals, "<nil>")
}

// TestChainsAreLoadedByCapacity guards against a fleet near its limit in which one chain is
// full while another has free capacity: of two equally fast chains, the one with twice the
// capacity gets twice the requests.
func TestChainsAreLoadedByCapacity(t *testing.T) {
	c := qt.New(t)
	x := newChooser(chainTarget("tight", "a", "tight"), chainTarget("roomy", "a", "roomy"))
	chosen := map[identifier.TargetID]int{}
	const requests = 240
	for seed := range uint64(requests) {
		id := x.Chain(now, "draft", seed, nil, weigher.Prompt{}).Stages[0].Target
		chosen[id]++
		x.Acquire([]identifier.TargetID{id})
	}
	share := float64(chosen["roomy"]) / requests
	c.Assert(share > 0.6 && share < 0.73, qt.IsTrue, qt.Commentf("the chain with more capacity gets a share of %.2f; it has two thirds of the capacity", share))
}

// TestShutTargetGetsNothing guards against requests to a target that is at its request limit, even as a last resort.
func TestShutTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	plain := registrar.Target{Target: describer.Target{ID: "plain", Address: "plain", Service: "ledger", DataCentre: "a", Slots: 6}}
	x := newChooser(chainTarget("b1", "b", "fast"), chainTarget("c1", "c", "fast"), plain)
	c.Assert(x.ReopensAt(now, "draft").IsZero(), qt.IsTrue)
	x.Shut("b1", now.Add(2*time.Second))
	for i := range uint64(50) {
		c.Assert(x.Chain(now, "draft", i, nil, weigher.Prompt{}).Stages[0].Target, qt.Equals, identifier.TargetID("c1"))
	}
	x.Shut("c1", now.Add(time.Second))
	x.Shut("plain", now.Add(time.Second))
	c.Assert(x.Chain(now, "draft", 1, nil, weigher.Prompt{}), qt.IsNil)
	c.Assert(x.HasOtherChain(now, "draft"), qt.IsFalse)
	c.Assert(x.Target(now, "ledger", nil, 1), qt.IsNil)
	c.Assert(x.ReopensAt(now, "draft"), qt.Equals, now.Add(time.Second))
	c.Assert(x.Chain(now.Add(time.Second), "draft", 1, nil, weigher.Prompt{}).Stages[0].Target, qt.Equals, identifier.TargetID("c1"))
	x.Reopen("b1")
	c.Assert(x.Chain(now, "draft", 1, nil, weigher.Prompt{}).Stages[0].Target, qt.Equals, identifier.TargetID("b1"))
	x.Tick(now.Add(time.Second))
	c.Assert(x.Target(now.Add(time.Second), "ledger", nil, 1), qt.IsNotNil)
}
