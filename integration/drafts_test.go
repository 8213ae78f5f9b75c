// Package integration_test starts fleets of real processes on loopback and checks what callers and
// operators get while processes, connections and the platform's log fail.
package integration_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

const (
	draftLayers = 24
	draftTokens = 40
	// layerMicros is the time per layer of a typical engine, in microseconds; engines with
	// slowLayerMicros are selected last.
	layerMicros     = "500"
	slowLayerMicros = "1000"
	// maxRecoveryTime is the documented limit from the death of a stage to the next token.
	maxRecoveryTime = time.Second
)

// ledgerEntry is one line of an engine's ledger: a run of layers for a draft, or, if Event is set,
// an event such as an order.
type ledgerEntry struct {
	Target   identifier.TargetID     `json:"target"`
	Event    string                  `json:"event"`
	Draft    identifier.DraftID      `json:"draft"`
	Epoch    identifier.Epoch        `json:"epoch"`
	Position identifier.Position     `json:"position"`
	Stage    int                     `json:"stage"`
	Layers   identifier.LayerRange   `json:"layers"`
	Token    string                  `json:"token"`
	Fence    identifier.FencingToken `json:"fence"`
	At       int64                   `json:"at_unix_ms"`
}

// newDraftFleet starts two engines for each of three layer ranges, and the given number of nodes.
func newDraftFleet(t testing.TB, nodes int) *launcher.Fleet {
	t.Helper()
	f := newEngineFleet(t, layerMicros)
	for n := range nodes {
		f.AddNode(fmt.Sprintf("node-%d", n+1), "")
	}
	f.Configure(draftLayers)
	return f
}

// newEngineFleet starts two engines for each of three layer ranges, and no node. The second engine
// of each range takes spareMicros per layer.
func newEngineFleet(t testing.TB, spareMicros string) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t)
	for i, from := range []int{0, 8, 16} {
		f.AddEngine(fmt.Sprintf("engine-%d-a", i), from, from+8, "--layer-micros", layerMicros)
		f.AddEngine(fmt.Sprintf("engine-%d-b", i), from, from+8, "--layer-micros", spareMicros)
	}
	return f
}

func newDraft(f *launcher.Fleet, id, prompt string) requester.DraftRequest {
	return requester.DraftRequest{
		Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: id, Class: "counter",
		Model: launcher.Model, Prompt: prompt, MaxTokens: draftTokens,
	}
}

// draftRuns returns the layer runs of a draft from the ledgers of all engines.
func draftRuns(f *launcher.Fleet, id string) []ledgerEntry {
	var runs []ledgerEntry
	for name := range f.Engines {
		for _, r := range launcher.Ledger[ledgerEntry](f, name) {
			if r.Event == "" && strings.HasSuffix(string(r.Draft), "/"+id) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// stageTarget returns the engine that last ran the draft's stage that starts at layer from.
func stageTarget(f *launcher.Fleet, id string, from identifier.Layer) identifier.TargetID {
	runs := slices.DeleteFunc(draftRuns(f, id), func(r ledgerEntry) bool { return r.Layers.From != from })
	if len(runs) == 0 {
		return ""
	}
	return slices.MaxFunc(runs, func(a, b ledgerEntry) int { return int(a.Position - b.Position) }).Target
}

// checkLayerRuns checks that every layer ran exactly once for each token, except that the layers
// of the lost range may have run twice.
func checkLayerRuns(c *qt.C, runs []ledgerEntry, tokens int, lost identifier.LayerRange) {
	c.Helper()
	for p := range tokens {
		counts := make([]int, draftLayers)
		for _, r := range runs {
			if int(r.Position) != p {
				continue
			}
			for l := r.Layers.From; l < r.Layers.To; l++ {
				counts[l]++
			}
		}
		for l, n := range counts {
			if identifier.Layer(l) >= lost.From && identifier.Layer(l) < lost.To {
				c.Assert(n >= 1 && n <= 2, qt.IsTrue, qt.Commentf("position %d, lost layer %d ran %d times", p, l, n))
				continue
			}
			c.Assert(n, qt.Equals, 1, qt.Commentf("position %d, layer %d", p, l))
		}
	}
}

// streamWithMiddleStageKilled streams a draft and kills the engine of the middle stage after the given
// token, or during the prompt if afterToken is 0. It returns the longest gap between two tokens from
// that one on, or, for the prompt, the time from the kill to the first token. The answer must be
// complete and correct.
func streamWithMiddleStageKilled(c *qt.C, f *launcher.Fleet, d requester.DraftRequest, afterToken int) time.Duration {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	diedAt := make(chan time.Time, 1)
	kill := func(target identifier.TargetID) {
		f.Engines[string(target)].Kill()
		diedAt <- time.Now()
	}
	if afterToken == 0 {
		go func() {
			for stageTarget(f, d.ID, 0) == "" && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			// The draft runs on engine-1-a, the faster of the two engines of the middle stage.
			kill("engine-1-a")
		}()
	}
	var middle identifier.TargetID
	result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		switch n {
		case 1:
			middle = stageTarget(f, d.ID, 8)
		case afterToken:
			kill(middle)
		}
	})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.IsComplete, qt.IsTrue)
	c.Assert(result.Tokens, qt.DeepEquals, layerhasher.Answer(draftLayers, requester.ModelPrompt(d.Prompt), d.MaxTokens))
	if afterToken == 0 {
		return result.TokenAt[0].Sub(<-diedAt)
	}
	return longestGap(result.TokenAt, afterToken)
}

// longestGap returns the longest time between two consecutive tokens from token n on, which is at[n-1].
func longestGap(at []time.Time, n int) time.Duration {
	var longest time.Duration
	for i := n; i < len(at); i++ {
		longest = max(longest, at[i].Sub(at[i-1]))
	}
	return longest
}

// TestStageDiesAtEachPhase kills the middle stage during prefill, during decode and before the last
// token. The answer must stay complete, and only the layers of that stage may run again.
func TestStageDiesAtEachPhase(t *testing.T) {
	for _, tc := range []struct {
		phase      string
		afterToken int
	}{{"prefill", 0}, {"decode", draftTokens / 2}, {"last token", draftTokens - 1}} {
		t.Run(tc.phase, func(t *testing.T) {
			c := qt.New(t)
			f := newEngineFleet(t, slowLayerMicros)
			f.AddNode("node-1", "")
			f.Configure(draftLayers)
			d := newDraft(f, "draft-1", strings.Repeat("a quote for a wedding ", 100))
			took := streamWithMiddleStageKilled(c, f, d, tc.afterToken)
			t.Logf("%s: next token %v after the stage's death", tc.phase, took)
			c.Assert(took < maxRecoveryTime, qt.IsTrue, qt.Commentf("next token after %v", took))
			checkLayerRuns(c, draftRuns(f, "draft-1"), draftTokens, identifier.LayerRange{From: 8, To: 16})
			out, _ := f.FBCtl("explain", "request/"+launcher.Team+"/studio/draft-1")
			c.Assert(out, qt.Contains, "way=replay", qt.Commentf("%s", out))
		})
	}
}
