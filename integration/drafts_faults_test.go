package integration_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// takeoverBound is the stated bound on the time from a node's death to the next token of its draft.
const takeoverBound = 2 * time.Second

// inFlight is how long a caller still reads from a node that failed.
const inFlight = 50 * time.Millisecond

// faultAt is the token after which the tests of one fault bring it about.
const faultAt = 20

type proxyFault struct {
	DelayMillis int  `json:"delay_ms"`
	SilenceOpen bool `json:"silence_open"`
	SilenceAll  bool `json:"silence_all"`
}

// nothing is a range of no layers.
var nothing identifier.LayerRange

// streamThrough streams a draft, brings the fault about after a token, and returns the
// longest gap between two tokens from then on. The answer must be whole.
func streamThrough(c *qt.C, d requester.Draft, fault func()) time.Duration {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		if n == faultAt {
			fault()
		}
	})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.Whole, qt.IsTrue)
	c.Assert(result.Tokens, qt.DeepEquals, answerTo(d))
	return longestGap(result.TokenAt, faultAt)
}

func answerTo(d requester.Draft) []string {
	return layerhasher.Answer(draftLayers, requester.Prompt(d.Prompt), d.MaxTokens)
}

// TestTwoStagesDieAtOnce kills the middle and the last stage together.
func TestTwoStagesDieAtOnce(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 1)
	d := draftOf(f, "draft-1", "a quote")
	took := streamThrough(c, d, func() {
		middle, last := stageAt(f, d.ID, 8), stageAt(f, d.ID, 16)
		f.Engines[string(middle)].Kill()
		f.Engines[string(last)].Kill()
	})
	t.Logf("next token after %v", took)
	c.Assert(took < recoveryBound, qt.IsTrue, qt.Commentf("next token after %v", took))
	checkLineage(c, runsOf(f, d.ID), draftTokens, identifier.LayerRange{From: 8, To: 24})
}

// TestTargetReloadsInMidDraft gives the middle stage's engine another range in mid-draft.
func TestTargetReloadsInMidDraft(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 1)
	d := draftOf(f, "draft-1", "a quote")
	engine := enginecaller.NewCaller(httpcaller.NewCaller())
	took := streamThrough(c, d, func() {
		address := f.Engines[string(stageAt(f, d.ID, 8))].Address
		order := enginecaller.Order{ID: "order-1", Kind: "load", Model: launcher.Model, Layers: identifier.LayerRange{To: 8}, Fence: 1}
		_, err := engine.Order(context.Background(), address, order)
		c.Check(err, qt.IsNil)
	})
	t.Logf("next token after %v", took)
	c.Assert(took < recoveryBound, qt.IsTrue, qt.Commentf("next token after %v", took))
	checkLineage(c, runsOf(f, d.ID), draftTokens, identifier.LayerRange{From: 8, To: 16})
}

// TestLeavingTargetHandsOver marks the middle stage's VM as leaving: its stage moves with
// its KV cache, no layer runs again, and no later draft comes to it.
func TestLeavingTargetHandsOver(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 1)
	d := draftOf(f, "draft-1", "a quote")
	d.MaxTokens = 120
	var leaving identifier.TargetID
	took := streamThrough(c, d, func() {
		leaving = stageAt(f, d.ID, 8)
		f.ListVM(platformcaller.VM{
			ID: string(leaving), Role: platformcaller.RoleEngine, Address: f.Engines[string(leaving)].Address,
			DataCentre: "plateau", Leaving: true,
		})
	})
	t.Logf("longest gap %v", took)
	c.Assert(stageAt(f, d.ID, 8), qt.Not(qt.Equals), leaving)
	checkLineage(c, runsOf(f, d.ID), d.MaxTokens, nothing)
	second := draftOf(f, "draft-2", "another quote")
	streamThrough(c, second, func() {})
	c.Assert(stageAt(f, second.ID, 8), qt.Not(qt.Equals), leaving)
}

// proxiedFleet is a fleet of one node whose middle stage's engine stands behind a proxy, with a spare.
func proxiedFleet(t *testing.T) (f *launcher.Fleet, proxy *launcher.Process) {
	t.Helper()
	f = launcher.NewFleet(t)
	f.AddEngine("engine-0-a", 0, 8, "--layer-micros", layerMicros)
	f.AddEngine("engine-2-a", 16, 24, "--layer-micros", layerMicros)
	address := launcher.FreeAddress(t)
	f.StartEngine("engine-1-a", address, 8, 16, "--layer-micros", layerMicros)
	proxy = f.AddProxy("proxy-1", address)
	f.ListVM(platformcaller.VM{ID: "engine-1-a", Role: platformcaller.RoleEngine, Address: proxy.Address, DataCentre: "plateau"})
	f.AddEngine("engine-1-b", 8, 16, "--layer-micros", "700")
	f.AddNode("node-1", "")
	f.Configure(draftLayers)
	return f, proxy
}

// TestOpenConnectionsGoSilent silences the open connections to the middle stage: its steps
// are resumed on new ones, and nothing runs again.
func TestOpenConnectionsGoSilent(t *testing.T) {
	c := qt.New(t)
	f, proxy := proxiedFleet(t)
	d := draftOf(f, "draft-1", "a quote")
	d.MaxTokens = 60
	took := streamThrough(c, d, func() { f.SetFault(proxy, proxyFault{SilenceOpen: true}) })
	t.Logf("longest gap %v", took)
	c.Assert(took < recoveryBound, qt.IsTrue, qt.Commentf("longest gap %v", took))
	c.Assert(stageAt(f, d.ID, 8), qt.Equals, identifier.TargetID("engine-1-a"))
	checkLineage(c, runsOf(f, d.ID), d.MaxTokens, nothing)
}

// TestLinkGoesSilent silences every connection to the middle stage: its stage is replaced.
func TestLinkGoesSilent(t *testing.T) {
	c := qt.New(t)
	f, proxy := proxiedFleet(t)
	d := draftOf(f, "draft-1", "a quote")
	took := streamThrough(c, d, func() { f.SetFault(proxy, proxyFault{SilenceAll: true}) })
	t.Logf("longest gap %v", took)
	c.Assert(took < recoveryBound, qt.IsTrue, qt.Commentf("longest gap %v", took))
	c.Assert(stageAt(f, d.ID, 8), qt.Equals, identifier.TargetID("engine-1-b"))
	checkLineage(c, runsOf(f, d.ID), draftTokens, identifier.LayerRange{From: 8, To: 16})
}

// TestLinkGetsSlow delays the link to the middle stage beyond its steps' first deadline: they
// are resumed and their answers come late, and the stage stays, as its target is alive.
func TestLinkGetsSlow(t *testing.T) {
	c := qt.New(t)
	f, proxy := proxiedFleet(t)
	d := draftOf(f, "draft-1", "a quote")
	d.MaxTokens = faultAt + 10
	took := streamThrough(c, d, func() { f.SetFault(proxy, proxyFault{DelayMillis: 100}) })
	t.Logf("longest gap %v", took)
	c.Assert(took < recoveryBound, qt.IsTrue, qt.Commentf("longest gap %v", took))
	checkLineage(c, runsOf(f, d.ID), d.MaxTokens, nothing)
	checkNoneDown(c, f, "")
}

// cutAt streams a draft until the token after which its node fails, and returns the tokens
// that came and the instant of the failure.
func cutAt(c *qt.C, d requester.Draft, fail func()) ([]string, time.Time) {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var failed time.Time
	result, _ := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		if n == faultAt {
			fail()
			failed = time.Now()
			go func() {
				time.Sleep(inFlight)
				cancel()
			}()
		}
	})
	c.Assert(failed.IsZero(), qt.IsFalse)
	return result.Tokens, failed
}

// goOn asks another node to go on after the tokens that came.
func goOn(c *qt.C, d requester.Draft, node string, tokens []string) requester.Result {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d.Node, d.LastToken = node, len(tokens)
	result, err := requester.NewRequester().Stream(ctx, d, nil)
	c.Assert(err, qt.IsNil)
	return result
}

// takeOver lets the draft's node fail in mid-draft and another go on; no layer may run twice.
func takeOver(c *qt.C, f *launcher.Fleet, fail func()) {
	c.Helper()
	d := draftOf(f, "draft-1", "a quote")
	d.MaxTokens = 60
	tokens, failed := cutAt(c, d, fail)
	result := goOn(c, d, f.Nodes[1].Address, tokens)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.Whole, qt.IsTrue)
	c.Assert(append(tokens, result.Tokens...), qt.DeepEquals, answerTo(d))
	took := result.FirstToken.Sub(failed)
	c.Logf("next token %v after the node's failure", took)
	c.Assert(took < takeoverBound, qt.IsTrue, qt.Commentf("next token after %v", took))
	checkLineage(c, runsOf(f, d.ID), d.MaxTokens, nothing)
}

// draftsOfNode is how many drafts run at a node when it dies.
const draftsOfNode = 20

// TestNodeDies kills a node that drives several drafts; each caller goes on through another
// node, and no layer runs twice.
func TestNodeDies(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 3)
	var kill sync.Once
	var wg sync.WaitGroup
	took := make([]time.Duration, draftsOfNode)
	for n := range draftsOfNode {
		wg.Add(1)
		go func() {
			defer wg.Done()
			took[n] = goOnAfterDeath(c, f, n, &kill)
		}()
	}
	wg.Wait()
	slices.Sort(took)
	t.Logf("next token after the node's death: median %v, most %v", took[draftsOfNode/2], took[draftsOfNode-1])
	c.Assert(took[draftsOfNode*95/100] < takeoverBound, qt.IsTrue, qt.Commentf("%v", took))
	for n := range draftsOfNode {
		checkLineage(c, runsOf(f, fmt.Sprintf("draft-%d", n)), 60, nothing)
	}
}

// goOnAfterDeath streams draft n through the first node until it is dead, goes on through
// another, and returns the time between the last token before and the first one after.
func goOnAfterDeath(c *qt.C, f *launcher.Fleet, n int, kill *sync.Once) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d := draftOf(f, fmt.Sprintf("draft-%d", n), fmt.Sprintf("quote number %d", n))
	d.MaxTokens = 60
	first, _ := requester.NewRequester().Stream(ctx, d, func(number int, _ string) {
		if number == faultAt {
			kill.Do(f.Nodes[0].Kill)
		}
	})
	c.Check(first.Whole, qt.IsFalse)
	cut := time.Now()
	d.Node, d.LastToken = f.Nodes[1+n%2].Address, len(first.Tokens)
	rest, err := requester.NewRequester().Stream(ctx, d, nil)
	c.Check(err, qt.IsNil)
	c.Check(rest.Problem, qt.Equals, responder.Problem{})
	c.Check(rest.Whole, qt.IsTrue)
	c.Check(append(first.Tokens, rest.Tokens...), qt.DeepEquals, answerTo(d))
	return rest.FirstToken.Sub(cut)
}

// TestFrozenNodeGivesWay pauses the driving node; the caller goes on through another, and
// the first one, awake again, runs nothing more.
func TestFrozenNodeGivesWay(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 3)
	takeOver(c, f, f.Nodes[0].Freeze)
	f.Nodes[0].Thaw()
	launcher.Await(t, 5*time.Second, "the first driver ended its draft", func() bool {
		out, _ := f.CtlAt(f.Nodes[0], "explain", "request/"+launcher.Team+"/studio/draft-1")
		return strings.Contains(out, "superseded")
	})
	checkLineage(c, runsOf(f, "draft-1"), 60, nothing)
}

// nodeAndStageDie kills the driving node and one stage together and goes on through another node.
func nodeAndStageDie(c *qt.C, f *launcher.Fleet, d requester.Draft, from identifier.Layer) ([]string, requester.Result) {
	c.Helper()
	tokens, _ := cutAt(c, d, func() {
		f.Engines[string(stageAt(f, d.ID, from))].Kill()
		f.Nodes[0].Kill()
	})
	return tokens, goOn(c, d, f.Nodes[1].Address, tokens)
}

// TestNodeAndStageDie kills the driving node and the middle stage together: the last stage
// tells the tokens that the checkpoint lacks, and the caller gets the rest of its answer.
func TestNodeAndStageDie(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 3)
	d := draftOf(f, "draft-1", "a quote")
	tokens, result := nodeAndStageDie(c, f, d, 8)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.Whole, qt.IsTrue)
	c.Assert(append(tokens, result.Tokens...), qt.DeepEquals, answerTo(d))
}

// TestNodeAndLastStageDie kills the driving node and the last stage together: the caller is
// told that tokens are lost, unless the checkpoint has them, and gets the whole answer anew.
func TestNodeAndLastStageDie(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 3)
	d := draftOf(f, "draft-1", "a quote")
	tokens, result := nodeAndStageDie(c, f, d, 16)
	t.Logf("went on with outcome %s %s", result.Outcome, result.Problem.Code)
	if result.Outcome != responder.Delivered {
		c.Assert(result.Problem.Code, qt.Equals, "tokens_lost")
		tokens, result = nil, goOn(c, d, f.Nodes[1].Address, nil)
	}
	c.Assert(result.Whole, qt.IsTrue)
	c.Assert(append(tokens, result.Tokens...), qt.DeepEquals, answerTo(d))
}

// TestCallerGoesAway cuts the caller off for good: the draft is cancelled after the time for reconnection.
func TestCallerGoesAway(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 1)
	d := draftOf(f, "draft-1", "a quote")
	d.MaxTokens = 4000
	tokens, _ := cutAt(c, d, func() {})
	c.Assert(tokens, qt.DeepEquals, answerTo(d)[:len(tokens)])
	launcher.Await(t, 10*time.Second, "the draft was cancelled", func() bool {
		out, _ := f.Ctl("explain", "request/"+launcher.Team+"/studio/draft-1")
		return strings.Contains(out, "reason=caller_gone")
	})
	ran := len(runsOf(f, d.ID))
	time.Sleep(300 * time.Millisecond)
	c.Assert(len(runsOf(f, d.ID)), qt.Equals, ran)
}

const manyDrafts = 200

// TestManyDraftsAtOnce runs 200 drafts over two nodes and kills a middle stage among them.
func TestManyDraftsAtOnce(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r := requester.NewRequester()
	results := make([]requester.Result, manyDrafts)
	drafts := make([]requester.Draft, manyDrafts)
	var kill sync.Once
	var wg sync.WaitGroup
	for n := range manyDrafts {
		drafts[n] = draftOf(f, fmt.Sprintf("draft-%d", n), fmt.Sprintf("quote number %d", n))
		drafts[n].Node = f.Nodes[n%2].Address
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[n], _ = r.Stream(ctx, drafts[n], func(number int, _ string) {
				if number == faultAt {
					kill.Do(f.Engines["engine-1-a"].Kill)
				}
			})
		}()
	}
	wg.Wait()
	for n, result := range results {
		c.Assert(result.Problem, qt.Equals, responder.Problem{})
		c.Assert(result.Whole, qt.IsTrue, qt.Commentf("draft %d", n))
		c.Assert(result.Tokens, qt.DeepEquals, answerTo(drafts[n]))
	}
	runs := map[string][]run{}
	for name := range f.Engines {
		for _, line := range launcher.Ledger[run](f, name) {
			if line.Event == "" {
				id := string(line.Draft[strings.LastIndex(string(line.Draft), "/")+1:])
				runs[id] = append(runs[id], line)
			}
		}
	}
	for _, d := range drafts {
		checkLineage(c, runs[d.ID], draftTokens, identifier.LayerRange{From: 8, To: 16})
	}
	checkNoneDown(c, f, "engine-1-a")
}

// checkNoneDown checks that no node ever called an engine down but the one that died.
func checkNoneDown(c *qt.C, f *launcher.Fleet, dead string) {
	c.Helper()
	for name := range f.Engines {
		for _, n := range f.Nodes {
			out, _ := f.CtlAt(n, "explain", "target/"+name)
			c.Assert(strings.Contains(out, "state=down") && name != dead, qt.IsFalse, qt.Commentf("%s of %s", out, n.Name))
		}
	}
}

const (
	longPrompts  = 12
	longWords    = 800
	shortPrompts = 40
)

// TestLongPromptsAreNoDeaths runs short drafts at one node while another's long prompts hold
// up the engines' batches: none of them is called dead.
func TestLongPromptsAreNoDeaths(t *testing.T) {
	c := qt.New(t)
	f := draftFleet(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r := requester.NewRequester()
	var wg sync.WaitGroup
	for n := range longPrompts + shortPrompts {
		d := draftOf(f, fmt.Sprintf("draft-%d", n), fmt.Sprintf("quote number %d", n))
		if n < longPrompts {
			d.Node, d.Prompt, d.MaxTokens = f.Nodes[1].Address, strings.Repeat(fmt.Sprintf("word-%d ", n), longWords), 4
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			result, err := r.Stream(ctx, d, nil)
			c.Check(err, qt.IsNil)
			c.Check(result.Problem, qt.Equals, responder.Problem{})
			c.Check(result.Tokens, qt.DeepEquals, answerTo(d))
		}()
	}
	wg.Wait()
	checkNoneDown(c, f, "")
}
