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
	// layerMicros is the engines' time of one layer; those with slowMicros are chosen last.
	layerMicros = "500"
	slowMicros  = "1000"
	// recoveryBound is the stated bound on the time from a stage's death to the next token.
	recoveryBound = time.Second
)

// run is one line of an engine's ledger.
type run struct {
	Target   identifier.TargetID      `json:"target"`
	Event    string                   `json:"event"`
	Draft    identifier.DraftID       `json:"draft"`
	Epoch    identifier.Epoch         `json:"epoch"`
	Position identifier.Position      `json:"position"`
	Stage    int                      `json:"stage"`
	Layers   identifier.LayerRange    `json:"layers"`
	Token    string                   `json:"token"`
	Fence    identifier.FencingNumber `json:"fence"`
	At       int64                    `json:"at_unix_ms"`
}

// draftFleet starts nodes before two engines for each of three ranges.
func draftFleet(t testing.TB, nodes int) *launcher.Fleet {
	t.Helper()
	f := engineFleet(t, layerMicros)
	for n := range nodes {
		f.AddNode(fmt.Sprintf("node-%d", n+1), "")
	}
	f.Configure(draftLayers)
	return f
}

// engineFleet starts two engines for each of three ranges, and no node. The second of each
// takes the given time for a layer.
func engineFleet(t testing.TB, spareMicros string) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t)
	for i, from := range []int{0, 8, 16} {
		f.AddEngine(fmt.Sprintf("engine-%d-a", i), from, from+8, "--layer-micros", layerMicros)
		f.AddEngine(fmt.Sprintf("engine-%d-b", i), from, from+8, "--layer-micros", spareMicros)
	}
	return f
}

func draftOf(f *launcher.Fleet, id, prompt string) requester.Draft {
	return requester.Draft{
		Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: id, Class: "counter",
		Model: launcher.Model, Prompt: prompt, MaxTokens: draftTokens,
	}
}

// runsOf returns the runs of a draft at all engines.
func runsOf(f *launcher.Fleet, id string) []run {
	var runs []run
	for name := range f.Engines {
		for _, r := range launcher.Ledger[run](f, name) {
			if r.Event == "" && strings.HasSuffix(string(r.Draft), "/"+id) {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// stageAt returns the engine that ran the draft's layers from the given one on, last.
func stageAt(f *launcher.Fleet, id string, from identifier.Layer) identifier.TargetID {
	runs := slices.DeleteFunc(runsOf(f, id), func(r run) bool { return r.Layers.From != from })
	if len(runs) == 0 {
		return ""
	}
	return slices.MaxFunc(runs, func(a, b run) int { return int(a.Position - b.Position) }).Target
}

// checkLineage checks that each token's layers ran in a chain that covers all layers once,
// and that only the layers of lost ran more than once.
func checkLineage(c *qt.C, runs []run, tokens int, lost identifier.LayerRange) {
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

// killing streams a draft, kills the engine of the middle stage when the phase is reached,
// and returns the longest time without a token from the death on.
func killing(c *qt.C, f *launcher.Fleet, d requester.Draft, afterToken int) time.Duration {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	died := make(chan time.Time, 1)
	kill := func(target identifier.TargetID) {
		f.Engines[string(target)].Kill()
		died <- time.Now()
	}
	if afterToken == 0 {
		go func() {
			for stageAt(f, d.ID, 0) == "" && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			kill("engine-1-a")
		}()
	}
	var middle identifier.TargetID
	result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		switch n {
		case 1:
			middle = stageAt(f, d.ID, 8)
		case afterToken:
			kill(middle)
		}
	})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.Whole, qt.IsTrue)
	c.Assert(result.Tokens, qt.DeepEquals, layerhasher.Answer(draftLayers, requester.Prompt(d.Prompt), d.MaxTokens))
	if afterToken == 0 {
		return result.TokenAt[0].Sub(<-died)
	}
	return longestGap(result.TokenAt, afterToken)
}

// longestGap returns the longest time between two tokens after token n.
func longestGap(at []time.Time, n int) time.Duration {
	var longest time.Duration
	for i := n; i < len(at); i++ {
		longest = max(longest, at[i].Sub(at[i-1]))
	}
	return longest
}

// TestStageDiesAtEachPhase kills the middle stage with SIGKILL during the prompt, between
// tokens and before the last one: only its layers run again, and the answer stays whole.
func TestStageDiesAtEachPhase(t *testing.T) {
	for _, tc := range []struct {
		phase      string
		afterToken int
	}{{"prefill", 0}, {"decode", draftTokens / 2}, {"last token", draftTokens - 1}} {
		t.Run(tc.phase, func(t *testing.T) {
			c := qt.New(t)
			f := engineFleet(t, slowMicros)
			f.AddNode("node-1", "")
			f.Configure(draftLayers)
			d := draftOf(f, "draft-1", strings.Repeat("a quote for a wedding ", 100))
			took := killing(c, f, d, tc.afterToken)
			t.Logf("%s: next token %v after the stage's death", tc.phase, took)
			c.Assert(took < recoveryBound, qt.IsTrue, qt.Commentf("next token after %v", took))
			checkLineage(c, runsOf(f, "draft-1"), draftTokens, identifier.LayerRange{From: 8, To: 16})
			out, _ := f.Ctl("explain", "request/"+launcher.Team+"/studio/draft-1")
			c.Assert(out, qt.Contains, "way=replay", qt.Commentf("%s", out))
		})
	}
}
