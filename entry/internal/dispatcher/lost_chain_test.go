package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

// chains is the number of chains of four stages that manyChains returns.
const chains = 8

// manyChains returns the targets of chains, which can replace each other.
func manyChains() []registrar.Target {
	var out []registrar.Target
	for chain := range chains {
		for stage := range 4 {
			id := fmt.Sprintf("t%d-%d", stage, chain)
			out = append(out, registrar.Target{Target: describer.Target{
				ID: identifier.TargetID(id), Address: id, Service: "draft", DataCentre: "a", Slots: 100, Kind: "big",
				Layers: identifier.LayerRange{From: identifier.Layer(stage * layers / 4), To: identifier.Layer((stage + 1) * layers / 4)},
			}})
		}
	}
	return out
}

// chainsHarness returns a node before eight chains that may make some retries, whose resumable streams have a gap objective, with recent
// reports of load.
func chainsHarness(retries int) *harness {
	d := newHarnessWithRatio(0)
	d.apply(-2*retryWindow, dispatcher.RetryQuotaChanged{Retries: retries})
	cfg := configuration(1, "key")
	cfg.Routes[2].GapObjective = 250 * time.Millisecond
	d.apply(0, dispatcher.ConfigurationRead{Table: router.NewTable(cfg)})
	d.apply(0, dispatcher.ConfigurationConfirmed{AsOf: start})
	d.apply(0, registrar.TargetsChanged{Targets: manyChains()})
	d.learnLoads(0)
	return d
}

func (d *harness) learnLoads(at time.Duration) {
	var reports []loadtracker.Report
	for chain := range chains {
		reports = append(reports, loadtracker.Report{Target: identifier.TargetID(fmt.Sprintf("t0-%d", chain)), Running: 1})
	}
	d.apply(at, dispatcher.LoadsLearned{Reports: reports})
}

// stall reports that a stream which has had three events receives none.
func (d *harness) stall(at time.Duration, call identifier.CallID, silence time.Duration) messenger.Effect {
	return d.apply(at, dispatcher.AttemptReported{
		Call: call, Outcome: dispatcher.Stalled, Events: 3, ChainIdleTime: silence, ChainTypicalGap: 20 * time.Millisecond, ChainLongestGap: 50 * time.Millisecond, Seed: uint64(call),
	})
}

// fleet is a number of nodes and the room of the targets that replace one that has failed.
type fleet struct {
	nodes []*harness
	// room is how many streams each replacement takes, taken how many it has. isNamed says that one without room names itself.
	room    int
	isNamed bool
	taken   map[string]int
	// orders counts the reroutes asked for, refused those refused, sent and waiting the streams sent again and those that wait.
	streams, orders, refused, sent, waiting int
	mostOrders                              int
}

// loseStage lets the given stage of a chain fail under streams of all nodes, each of which has some of them. Each node gets other seeds.
func (f *fleet) loseStage(lost identifier.TargetID, streams int, path string) {
	for n := 0; f.streams < streams && n < 100*streams; n++ {
		d := f.nodes[n%len(f.nodes)]
		d.next += identifier.CallID(n)
		call, e := d.sendRequest(0, path, "key")
		sent, ok := e.(dispatcher.Send)
		if !ok || !usesTarget(sent.Chain, lost) {
			continue
		}
		f.streams++
		left := manyChains()
		for i := range left {
			left[i].IsEjected = left[i].ID == lost
		}
		d.apply(100*time.Millisecond, registrar.TargetsChanged{Targets: left})
		f.play(d, call, sent.Chain)
		d.apply(100*time.Millisecond, registrar.TargetsChanged{Targets: manyChains()})
		if f.sent > 0 {
			// A node that has sent a stream again has planned its chains without the target.
			f.nodes[n%len(f.nodes)] = chainsHarness(1)
		}
	}
}

// play answers the orders of a stream until one is accepted, or it is sent again or waits.
func (f *fleet) play(d *harness, call identifier.CallID, former []describer.Stage) {
	e := d.stall(200*time.Millisecond, call, 90*time.Millisecond)
	orders := 0
	for {
		asked, ok := e.(dispatcher.Reroute)
		if !ok {
			break
		}
		orders++
		full := f.take(asked.Chain, former)
		rerouted := dispatcher.Rerouted{Call: call, Chain: asked.Chain, IsAccepted: full == "", Seed: uint64(f.orders + orders)}
		if f.isNamed {
			rerouted.FaultAddress = full
		}
		e = d.apply(200*time.Millisecond, rerouted)
		if full == "" {
			f.orders, f.mostOrders = f.orders+orders, max(f.mostOrders, orders)
			return
		}
		f.refused++
	}
	f.orders, f.mostOrders = f.orders+orders, max(f.mostOrders, orders)
	switch e.(type) {
	case dispatcher.Send:
		f.sent++
	case dispatcher.Wait:
		f.waiting++
	}
}

// take takes room at the new targets of a chain, and returns the address of one that has none.
func (f *fleet) take(chain, former []describer.Stage) string {
	for _, stage := range chain {
		if usesTarget(former, stage.Target) {
			continue
		}
		if f.taken[stage.Address] >= f.room {
			return stage.Address
		}
		f.taken[stage.Address]++
	}
	return ""
}

func usesTarget(chain []describer.Stage, id identifier.TargetID) bool {
	for _, stage := range chain {
		if stage.Target == id {
			return true
		}
	}
	return false
}

// TestMiddleStageFailsUnderManyStreams guards against nodes that all choose the same replacement, against orders that most targets refuse,
// and against streams that are sent again though a replacement has room: 100 streams of 80 nodes lose a middle stage of one of eight chains.
// With room for all, at most 5 of 100 orders are refused; where nothing has room, no stream asks more than twice, and it is sent again only
// if it may be and the budget allows. None ends.
func TestMiddleStageFailsUnderManyStreams(t *testing.T) {
	for _, row := range []struct {
		name                 string
		path                 string
		room                 int
		isNamed              bool
		retries              int
		maxRefusedShare      float64
		moved, sent, waiting int
	}{
		{"room for all at each", "/draft/", 40, true, 9, 0, 100, 0, 0},
		{"room for a third more, refusals with address", "/draft/", 19, true, 9, 0.05, 100, 0, 0},
		{"room for a third more, refusals without address", "/draft/", 19, false, 9, 0.05, 100, 0, 0},
		{"no room", "/draft/", 0, true, 9, 1, 0, 100, 0},
		{"no room, must not be sent again", "/once/", 0, true, 9, 1, 0, 0, 100},
		{"no room, budget spent", "/draft/", 0, true, 0, 1, 0, 0, 100},
		{"no room, no address, budget spent", "/draft/", 0, false, 0, 1, 0, 0, 100},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			f := fleet{room: row.room, isNamed: row.isNamed, taken: map[string]int{}}
			for range 80 {
				f.nodes = append(f.nodes, chainsHarness(row.retries))
			}
			f.loseStage("t2-3", 100, row.path)
			c.Check([]int{f.orders - f.refused, f.sent, f.waiting}, qt.DeepEquals, []int{row.moved, row.sent, row.waiting}, qt.Commentf("%+v", f.taken))
			c.Check(float64(f.refused) <= row.maxRefusedShare*float64(f.orders), qt.IsTrue, qt.Commentf("%d of %d orders refused", f.refused, f.orders))
			c.Check(f.mostOrders <= 2, qt.IsTrue, qt.Commentf("%d orders for one stream", f.mostOrders))
		})
	}
}

// startStreams sends streams until there are some at one chain, and returns those of it with the chain.
func (d *harness) startStreams(n int, path string) ([]identifier.CallID, []describer.Stage) {
	calls := map[identifier.TargetID][]identifier.CallID{}
	for {
		call, e := d.sendRequest(0, path, "key")
		chain := e.(dispatcher.Send).Chain
		first := chain[0].Target
		calls[first] = append(calls[first], call)
		if len(calls[first]) == n {
			return calls[first], chain
		}
	}
}

// TestSlowSecondMovesTwoStreams guards against a slow second of a whole chain that moves all of its streams: of 30 streams of a node at
// one first target, two leave it in that second, along targets that are all others than before, and no target is ejected.
func TestSlowSecondMovesTwoStreams(t *testing.T) {
	c := qt.New(t)
	d := chainsHarness(9)
	calls, former := d.startStreams(30, "/draft/")
	moved := 0
	for at := 100 * time.Millisecond; at < time.Second; at += 100 * time.Millisecond {
		for _, call := range calls {
			e := d.stall(at, call, 90*time.Millisecond)
			asked, ok := e.(dispatcher.Reroute)
			if !ok {
				_, isWait := e.(dispatcher.Wait)
				c.Assert(isWait, qt.IsTrue, qt.Commentf("%T", e))
				continue
			}
			moved++
			c.Assert(asked.Chain[0].Target, qt.Equals, former[0].Target)
			for _, stage := range asked.Chain[1:] {
				c.Assert(usesTarget(former, stage.Target), qt.IsFalse)
			}
			d.apply(at, dispatcher.Rerouted{Call: call, Chain: asked.Chain, IsAccepted: true})
		}
	}
	c.Assert(moved, qt.Equals, 2)
	c.Assert(d.ejections, qt.HasLen, 0)
	c.Assert(d.countLogs(eventlogger.SilentChainLeft), qt.Equals, 2)
}

func (d *harness) countLogs(event eventlogger.Event) int {
	n := 0
	for _, l := range d.logs {
		if l.Event == event {
			n++
		}
	}
	return n
}

// TestSilenceNeedsRecentReports guards against new behaviour where nothing requires it: without recent reports of load, and on a route
// that is not resumable or has no gap objective, a stream waits until its chain is probed.
func TestSilenceNeedsRecentReports(t *testing.T) {
	for path, at := range map[string]time.Duration{"/draft/": 3 * time.Second, "/once/": 100 * time.Millisecond} {
		c := qt.New(t)
		d := chainsHarness(9)
		calls, _ := d.startStreams(1, path)
		_, isWait := d.stall(at, calls[0], 90*time.Millisecond).(dispatcher.Wait)
		c.Check(isWait, qt.IsTrue, qt.Commentf("%s", path))
		_, isProbe := d.stall(at, calls[0], 260*time.Millisecond).(dispatcher.Probe)
		c.Check(isProbe, qt.IsTrue, qt.Commentf("%s", path))
	}
}

// TestFirstTargetFails guards against orders to a first target that has failed, and against streams that get lost with it: one that may
// run again is sent along another chain beside the stalled attempt, and one that may not, or whose budget is spent, waits.
func TestFirstTargetFails(t *testing.T) {
	for _, row := range []struct {
		path  string
		ratio float64
		sends bool
	}{{"/draft/", 1, true}, {"/draft/", 0, false}, {"/once/", 1, false}} {
		c := qt.New(t)
		d := makeReady(newHarnessWithRatio(row.ratio))
		d.apply(-2*retryWindow, dispatcher.RetryQuotaChanged{Retries: int(100 * row.ratio)})
		d.apply(0, registrar.TargetsChanged{Targets: manyChains()})
		calls, former := d.startStreams(1, row.path)
		left := manyChains()
		for i := range left {
			left[i].IsEjected = left[i].ID == former[0].Target
		}
		d.apply(0, registrar.TargetsChanged{Targets: left})
		e := d.stall(100*time.Millisecond, calls[0], 90*time.Millisecond)
		sent, ok := e.(dispatcher.Send)
		c.Check(ok, qt.Equals, row.sends, qt.Commentf("%s: %T", row.path, e))
		if !row.sends {
			c.Check(d.countLogs(eventlogger.StreamNotContinued), qt.Equals, 1)
			continue
		}
		c.Check(sent.KeepsStalled, qt.IsTrue)
		c.Check(sent.Chain[0].Target, qt.Not(qt.Equals), former[0].Target)
		_, isResumed := d.apply(150*time.Millisecond, dispatcher.AttemptReported{Call: calls[0], Outcome: dispatcher.Broken, Events: 3}).(dispatcher.ResumeStalled)
		c.Check(isResumed, qt.IsTrue)
	}
}

// TestRefusalWithoutAddressIsAvoided guards against the next order of a stream that goes to the same targets as the one just refused,
// where the refusal names none: with the same random number, only what was refused makes the difference.
func TestRefusalWithoutAddressIsAvoided(t *testing.T) {
	c := qt.New(t)
	d := chainsHarness(0)
	calls, former := d.startStreams(1, "/draft/")
	left := manyChains()
	for i := range left {
		left[i].IsEjected = left[i].ID == former[2].Target
	}
	d.apply(0, registrar.TargetsChanged{Targets: left})
	first, ok := d.stall(100*time.Millisecond, calls[0], 90*time.Millisecond).(dispatcher.Reroute)
	c.Assert(ok, qt.IsTrue)
	e := d.apply(100*time.Millisecond, dispatcher.Rerouted{Call: calls[0], Chain: first.Chain, Seed: uint64(calls[0])})
	second, ok := e.(dispatcher.Reroute)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	c.Assert(second.Chain[2].Target, qt.Not(qt.Equals), first.Chain[2].Target)
}
