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

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// maxTakeoverTime is the documented limit from the death of a node to the next token of its draft.
const maxTakeoverTime = 2 * time.Second

// readAfterFailure is how long a caller still reads tokens in flight after its node has failed.
const readAfterFailure = 50 * time.Millisecond

// faultAfterToken is the token after which tests with a single fault inject it.
const faultAfterToken = 20

// proxyFault holds those of a proxy's faults that the tests of drafts inject: a delay in each direction, and
// stalling the open or all connections without closing them.
type proxyFault struct {
	DelayMillis int  `json:"delay_ms"`
	StallOpen   bool `json:"silence_open"`
	StallAll    bool `json:"silence_all"`
}

// noLayers is the empty layer range.
var noLayers identifier.LayerRange

// streamWithFault streams a draft, injects the fault after token faultAfterToken, and returns the
// longest gap between two tokens from that one on. The answer must be complete and correct.
func streamWithFault(c *qt.C, d requester.DraftRequest, fault func()) time.Duration {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		if n == faultAfterToken {
			fault()
		}
	})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.IsComplete, qt.IsTrue)
	c.Assert(result.Tokens, qt.DeepEquals, expectedTokens(d))
	return longestGap(result.TokenAt, faultAfterToken)
}

func expectedTokens(d requester.DraftRequest) []string {
	return layerhasher.Answer(draftLayers, requester.ModelPrompt(d.Prompt), d.MaxTokens)
}

// TestTwoStagesDieTogether kills the engines of the middle and the last stage during a draft:
// both stages must be replaced within maxRecoveryTime, and only their layers run again.
func TestTwoStagesDieTogether(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 1)
	d := newDraft(f, "draft-1", "a quote")
	took := streamWithFault(c, d, func() {
		middle, last := stageTarget(f, d.ID, 8), stageTarget(f, d.ID, 16)
		f.Engines[string(middle)].Kill()
		f.Engines[string(last)].Kill()
	})
	t.Logf("next token after %v", took)
	c.Assert(took < maxRecoveryTime, qt.IsTrue, qt.Commentf("next token after %v", took))
	checkLayerRuns(c, draftRuns(f, d.ID), draftTokens, identifier.LayerRange{From: 8, To: 24})
}

// TestStageEngineReloadsDuringDraft orders the engine of the middle stage to load another layer
// range during a draft: the stage must be replaced as if the engine had died.
func TestStageEngineReloadsDuringDraft(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 1)
	d := newDraft(f, "draft-1", "a quote")
	engine := enginecaller.NewCaller(httpcaller.NewCaller(answerlimiter.NewDefault()))
	took := streamWithFault(c, d, func() {
		address := f.Engines[string(stageTarget(f, d.ID, 8))].Address
		order := enginecaller.Order{ID: "order-1", Kind: "load", Model: launcher.Model, Layers: identifier.LayerRange{To: 8}, Fence: 1}
		_, err := engine.Order(context.Background(), address, order)
		c.Check(err, qt.IsNil)
	})
	t.Logf("next token after %v", took)
	c.Assert(took < maxRecoveryTime, qt.IsTrue, qt.Commentf("next token after %v", took))
	checkLayerRuns(c, draftRuns(f, d.ID), draftTokens, identifier.LayerRange{From: 8, To: 16})
}

// TestLeavingTargetHandsOverKVCache marks the VM of the middle stage as leaving: the stage must move
// to another engine with its KV cache, so that no layer runs again, and no later draft may use the VM.
func TestLeavingTargetHandsOverKVCache(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 1)
	d := newDraft(f, "draft-1", "a quote")
	d.MaxTokens = 120
	var leaving identifier.TargetID
	took := streamWithFault(c, d, func() {
		leaving = stageTarget(f, d.ID, 8)
		f.ListVM(platformcaller.VM{
			ID: string(leaving), Role: platformcaller.RoleEngine, Address: f.Engines[string(leaving)].Address,
			DataCentre: "plateau", Leaving: true,
		})
	})
	t.Logf("longest gap %v", took)
	c.Assert(stageTarget(f, d.ID, 8), qt.Not(qt.Equals), leaving)
	checkLayerRuns(c, draftRuns(f, d.ID), d.MaxTokens, noLayers)
	second := newDraft(f, "draft-2", "another quote")
	streamWithFault(c, second, func() {})
	c.Assert(stageTarget(f, second.ID, 8), qt.Not(qt.Equals), leaving)
}

// newProxiedFleet starts a fleet of one node in which the engine of the middle stage is reached
// through a proxy and has a slower spare.
func newProxiedFleet(t *testing.T) (f *launcher.Fleet, proxy *launcher.Process) {
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

// TestOpenConnectionsToStageStall stalls the open connections to the middle stage while new ones
// still work: its steps must be resumed on new connections, and no layer runs again.
func TestOpenConnectionsToStageStall(t *testing.T) {
	c := qt.New(t)
	f, proxy := newProxiedFleet(t)
	d := newDraft(f, "draft-1", "a quote")
	d.MaxTokens = 60
	took := streamWithFault(c, d, func() { f.SetFault(proxy, proxyFault{StallOpen: true}) })
	t.Logf("longest gap %v", took)
	c.Assert(took < maxRecoveryTime, qt.IsTrue, qt.Commentf("longest gap %v", took))
	c.Assert(stageTarget(f, d.ID, 8), qt.Equals, identifier.TargetID("engine-1-a"))
	checkLayerRuns(c, draftRuns(f, d.ID), d.MaxTokens, noLayers)
}

// TestLinkToStageStalls stalls every connection to the middle stage: the stage must be replaced by
// the spare engine.
func TestLinkToStageStalls(t *testing.T) {
	c := qt.New(t)
	f, proxy := newProxiedFleet(t)
	d := newDraft(f, "draft-1", "a quote")
	took := streamWithFault(c, d, func() { f.SetFault(proxy, proxyFault{StallAll: true}) })
	t.Logf("longest gap %v", took)
	c.Assert(took < maxRecoveryTime, qt.IsTrue, qt.Commentf("longest gap %v", took))
	c.Assert(stageTarget(f, d.ID, 8), qt.Equals, identifier.TargetID("engine-1-b"))
	checkLayerRuns(c, draftRuns(f, d.ID), draftTokens, identifier.LayerRange{From: 8, To: 16})
}

// TestLinkToStageIsSlow delays the link to the middle stage beyond the first timeout of a step.
// The steps are resumed and answered late; the stage must not be replaced, since its target is alive.
func TestLinkToStageIsSlow(t *testing.T) {
	c := qt.New(t)
	f, proxy := newProxiedFleet(t)
	d := newDraft(f, "draft-1", "a quote")
	d.MaxTokens = faultAfterToken + 10
	took := streamWithFault(c, d, func() { f.SetFault(proxy, proxyFault{DelayMillis: 100}) })
	t.Logf("longest gap %v", took)
	c.Assert(took < maxRecoveryTime, qt.IsTrue, qt.Commentf("longest gap %v", took))
	checkLayerRuns(c, draftRuns(f, d.ID), d.MaxTokens, noLayers)
	checkNoneReportedDown(c, f, "")
}

// streamUntilNodeFails streams a draft, fails its node after token faultAfterToken, and returns the
// tokens received and the time of the failure.
func streamUntilNodeFails(c *qt.C, d requester.DraftRequest, fail func()) ([]string, time.Time) {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var failedAt time.Time
	result, _ := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		if n == faultAfterToken {
			fail()
			failedAt = time.Now()
			go func() {
				time.Sleep(readAfterFailure)
				cancel()
			}()
		}
	})
	c.Assert(failedAt.IsZero(), qt.IsFalse)
	return result.Tokens, failedAt
}

// resumeAt resumes the draft at another node after the tokens already received.
func resumeAt(c *qt.C, d requester.DraftRequest, node string, tokens []string) requester.Result {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d.Node, d.LastToken = node, len(tokens)
	result, err := requester.NewRequester().Stream(ctx, d, nil)
	c.Assert(err, qt.IsNil)
	return result
}

// checkTakeover fails the node of a draft and resumes the draft at another node, which must go on
// within maxTakeoverTime. No layer may run twice.
func checkTakeover(c *qt.C, f *launcher.Fleet, fail func()) {
	c.Helper()
	d := newDraft(f, "draft-1", "a quote")
	d.MaxTokens = 60
	tokens, failedAt := streamUntilNodeFails(c, d, fail)
	result := resumeAt(c, d, f.Nodes[1].Address, tokens)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.IsComplete, qt.IsTrue)
	c.Assert(append(tokens, result.Tokens...), qt.DeepEquals, expectedTokens(d))
	took := result.FirstToken.Sub(failedAt)
	c.Logf("next token %v after the node's failure", took)
	c.Assert(took < maxTakeoverTime, qt.IsTrue, qt.Commentf("next token after %v", took))
	checkLayerRuns(c, draftRuns(f, d.ID), d.MaxTokens, noLayers)
}

// draftsAtKilledNode is the number of drafts that a node drives when it is killed.
const draftsAtKilledNode = 20

// TestDraftsResumeAfterNodeDies kills a node that drives draftsAtKilledNode drafts. Each caller resumes
// its draft at another node. All must go on within maxTakeoverTime, and no layer may run twice.
func TestDraftsResumeAfterNodeDies(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 3)
	var kill sync.Once
	var wg sync.WaitGroup
	took := make([]time.Duration, draftsAtKilledNode)
	for n := range draftsAtKilledNode {
		wg.Add(1)
		go func() {
			defer wg.Done()
			took[n] = resumeAfterKill(c, f, n, &kill)
		}()
	}
	wg.Wait()
	slices.Sort(took)
	t.Logf("next token after the node's death: median %v, max %v", took[draftsAtKilledNode/2], took[draftsAtKilledNode-1])
	c.Assert(took[draftsAtKilledNode*95/100] < maxTakeoverTime, qt.IsTrue, qt.Commentf("%v", took))
	for n := range draftsAtKilledNode {
		checkLayerRuns(c, draftRuns(f, fmt.Sprintf("draft-%d", n)), 60, noLayers)
	}
}

// resumeAfterKill streams draft n through the first node until the node is killed, resumes it at
// another node, and returns the time from the end of the broken stream to the next token.
func resumeAfterKill(c *qt.C, f *launcher.Fleet, n int, kill *sync.Once) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d := newDraft(f, fmt.Sprintf("draft-%d", n), fmt.Sprintf("quote number %d", n))
	d.MaxTokens = 60
	first, _ := requester.NewRequester().Stream(ctx, d, func(number int, _ string) {
		if number == faultAfterToken {
			kill.Do(f.Nodes[0].Kill)
		}
	})
	c.Check(first.IsComplete, qt.IsFalse)
	brokenAt := time.Now()
	d.Node, d.LastToken = f.Nodes[1+n%2].Address, len(first.Tokens)
	rest, err := requester.NewRequester().Stream(ctx, d, nil)
	c.Check(err, qt.IsNil)
	c.Check(rest.Problem, qt.Equals, responder.Problem{})
	c.Check(rest.IsComplete, qt.IsTrue)
	c.Check(append(first.Tokens, rest.Tokens...), qt.DeepEquals, expectedTokens(d))
	return rest.FirstToken.Sub(brokenAt)
}

// TestPausedNodeIsSuperseded pauses the node that drives a draft, and the caller resumes at another
// node. Once resumed, the first node must detect that it was superseded and run nothing more.
func TestPausedNodeIsSuperseded(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 3)
	checkTakeover(c, f, f.Nodes[0].Pause)
	f.Nodes[0].Resume()
	launcher.Await(t, 5*time.Second, "the first node ended its draft as superseded", func() bool {
		out, _ := f.FBCtlAt(f.Nodes[0], "explain", "request/"+launcher.Team+"/studio/draft-1")
		return strings.Contains(out, "superseded")
	})
	checkLayerRuns(c, draftRuns(f, "draft-1"), 60, noLayers)
}

// killNodeAndStage kills the node that drives the draft together with the engine of the stage that
// starts at layer from, and resumes the draft at another node. It returns the tokens received before
// and the result of the resumed draft.
func killNodeAndStage(c *qt.C, f *launcher.Fleet, d requester.DraftRequest, from identifier.Layer) ([]string, requester.Result) {
	c.Helper()
	tokens, _ := streamUntilNodeFails(c, d, func() {
		f.Engines[string(stageTarget(f, d.ID, from))].Kill()
		f.Nodes[0].Kill()
	})
	return tokens, resumeAt(c, d, f.Nodes[1].Address, tokens)
}

// TestNodeAndStageDie kills the driving node and the middle stage together. Peers hold a checkpoint of
// the draft. The new node must get the tokens that the checkpoint lacks from the last stage, and deliver
// the rest of the answer.
func TestNodeAndStageDie(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 3)
	d := newDraft(f, "draft-1", "a quote")
	tokens, result := killNodeAndStage(c, f, d, 8)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.IsComplete, qt.IsTrue)
	c.Assert(append(tokens, result.Tokens...), qt.DeepEquals, expectedTokens(d))
}

// TestNodeAndLastStageDie kills the driving node and the last stage together. Tokens that are not in
// the peers' checkpoint are lost: the caller must then get tokens_lost, and the whole answer on a new
// request. If no token is lost, the rest of the answer must be delivered.
func TestNodeAndLastStageDie(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 3)
	d := newDraft(f, "draft-1", "a quote")
	tokens, result := killNodeAndStage(c, f, d, 16)
	t.Logf("resumed with outcome %s %s", result.Outcome, result.Problem.Code)
	if result.Outcome != responder.Delivered {
		c.Assert(result.Problem.Code, qt.Equals, "tokens_lost")
		tokens, result = nil, resumeAt(c, d, f.Nodes[1].Address, nil)
	}
	c.Assert(result.IsComplete, qt.IsTrue)
	c.Assert(append(tokens, result.Tokens...), qt.DeepEquals, expectedTokens(d))
}

// TestDraftCancelledAfterCallerLeaves disconnects the caller for good: the draft must be cancelled
// after the reconnection timeout, and no further step may run.
func TestDraftCancelledAfterCallerLeaves(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 1)
	d := newDraft(f, "draft-1", "a quote")
	d.MaxTokens = 4000
	tokens, _ := streamUntilNodeFails(c, d, func() {})
	c.Assert(tokens, qt.DeepEquals, expectedTokens(d)[:len(tokens)])
	launcher.Await(t, 10*time.Second, "the draft was cancelled", func() bool {
		out, _ := f.FBCtl("explain", "request/"+launcher.Team+"/studio/draft-1")
		return strings.Contains(out, "reason=caller_gone")
	})
	runs := len(draftRuns(f, d.ID))
	time.Sleep(300 * time.Millisecond)
	c.Assert(len(draftRuns(f, d.ID)), qt.Equals, runs)
}

const concurrentDrafts = 200

// TestStageDiesUnderManyDrafts runs 200 drafts over two nodes and kills one engine of the middle
// stage. All answers must be complete, and no other engine may be reported down.
func TestStageDiesUnderManyDrafts(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r := requester.NewRequester()
	results := make([]requester.Result, concurrentDrafts)
	drafts := make([]requester.DraftRequest, concurrentDrafts)
	var kill sync.Once
	var wg sync.WaitGroup
	for n := range concurrentDrafts {
		drafts[n] = newDraft(f, fmt.Sprintf("draft-%d", n), fmt.Sprintf("quote number %d", n))
		drafts[n].Node = f.Nodes[n%2].Address
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[n], _ = r.Stream(ctx, drafts[n], func(number int, _ string) {
				if number == faultAfterToken {
					kill.Do(f.Engines["engine-1-a"].Kill)
				}
			})
		}()
	}
	wg.Wait()
	for n, result := range results {
		c.Assert(result.Problem, qt.Equals, responder.Problem{})
		c.Assert(result.IsComplete, qt.IsTrue, qt.Commentf("draft %d", n))
		c.Assert(result.Tokens, qt.DeepEquals, expectedTokens(drafts[n]))
	}
	runs := map[string][]ledgerEntry{}
	for name := range f.Engines {
		for _, line := range launcher.Ledger[ledgerEntry](f, name) {
			if line.Event == "" {
				id := string(line.Draft[strings.LastIndex(string(line.Draft), "/")+1:])
				runs[id] = append(runs[id], line)
			}
		}
	}
	for _, d := range drafts {
		checkLayerRuns(c, runs[d.ID], draftTokens, identifier.LayerRange{From: 8, To: 16})
	}
	checkNoneReportedDown(c, f, "engine-1-a")
}

// checkNoneReportedDown checks that no node reported any engine down other than the dead one.
func checkNoneReportedDown(c *qt.C, f *launcher.Fleet, deadEngine string) {
	c.Helper()
	for name := range f.Engines {
		for _, n := range f.Nodes {
			out, _ := f.FBCtlAt(n, "explain", "target/"+name)
			c.Assert(strings.Contains(out, "state=down") && name != deadEngine, qt.IsFalse, qt.Commentf("%s, reported by %s", out, n.Name))
		}
	}
}

const (
	longPromptCount  = 12
	longPromptWords  = 800
	shortPromptCount = 40
)

// TestLongPromptsDoNotMarkEnginesDown guards against false failure detection: drafts with short prompts
// run at one node while long prompts from another node delay the batches of all engines. No engine may
// be reported down.
func TestLongPromptsDoNotMarkEnginesDown(t *testing.T) {
	c := qt.New(t)
	f := newDraftFleet(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	r := requester.NewRequester()
	var wg sync.WaitGroup
	for n := range longPromptCount + shortPromptCount {
		d := newDraft(f, fmt.Sprintf("draft-%d", n), fmt.Sprintf("quote number %d", n))
		if n < longPromptCount {
			d.Node, d.Prompt, d.MaxTokens = f.Nodes[1].Address, strings.Repeat(fmt.Sprintf("word-%d ", n), longPromptWords), 4
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			result, err := r.Stream(ctx, d, nil)
			c.Check(err, qt.IsNil)
			c.Check(result.Problem, qt.Equals, responder.Problem{})
			c.Check(result.Tokens, qt.DeepEquals, expectedTokens(d))
		}()
	}
	wg.Wait()
	checkNoneReportedDown(c, f, "")
}
