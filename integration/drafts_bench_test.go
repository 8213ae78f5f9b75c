package integration_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

const (
	killsPerMode = 9
	// The middle stage is killed after token killAfterToken of benchTokens.
	killAfterToken = 100
	benchTokens    = 120
	promptWords    = 400
	// rejoinDelay is the time to wait until nodes see a restarted engine as up.
	rejoinDelay = time.Second
)

// BenchmarkRecovery kills the engine of the middle stage and measures the longest gap between later
// tokens and the number of layers that are computed again. It measures every recovery mode in the same
// run: replay the lost stage's inputs, import its last exported KV cache, or restart the draft.
func BenchmarkRecovery(b *testing.B) {
	f := newEngineFleet(b, layerMicros)
	modes := []string{"replay", "import", "restart"}
	for _, mode := range modes {
		f.AddNode("node-"+mode, "", "--recovery", mode)
	}
	f.Configure(draftLayers)
	// gaps holds the longest time without a token after the death, by recovery mode.
	gaps, recomputed := map[string][]time.Duration{}, map[string][]int{}
	for b.Loop() {
		for kill := range killsPerMode * len(modes) {
			mode := modes[kill%len(modes)]
			d := newDraft(f, fmt.Sprintf("draft-%d", kill), strings.Repeat("word ", promptWords)+fmt.Sprint(kill))
			d.Node, d.MaxTokens = f.Nodes[kill%len(modes)].Address, benchTokens
			gaps[mode] = append(gaps[mode], killMiddleStage(b, f, d))
			recomputed[mode] = append(recomputed[mode], recomputedLayers(f, d.ID))
		}
	}
	for _, mode := range modes {
		slices.Sort(gaps[mode])
		slices.Sort(recomputed[mode])
		n := len(gaps[mode])
		b.Logf("%s: %d kills, next token median %v, max %v; recomputed layers median %d", mode, n, gaps[mode][n/2], gaps[mode][n-1], recomputed[mode][n/2])
		b.ReportMetric(float64(gaps[mode][n/2].Milliseconds()), mode+"-ms")
	}
}

// killMiddleStage kills the engine of the draft's middle stage, restarts it, and returns the longest
// time without a token after the kill.
func killMiddleStage(b *testing.B, f *launcher.Fleet, d requester.DraftRequest) time.Duration {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var engineID string
	result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		switch n {
		case 1:
			engineID = string(stageTarget(f, d.ID, 8))
		case killAfterToken:
			f.Engines[engineID].Kill()
		}
	})
	if err != nil || !result.IsComplete || !slices.Equal(result.Tokens, expectedTokens(d)) {
		b.Fatalf("answer incomplete or wrong: %v %v", err, result.Problem)
	}
	f.StartEngine(engineID, f.Engines[engineID].Address, 8, 16, "--layer-micros", layerMicros)
	time.Sleep(rejoinDelay)
	return longestGap(result.TokenAt, killAfterToken)
}

// recomputedLayers counts a draft's layer runs beyond one per layer and token.
func recomputedLayers(f *launcher.Fleet, id string) int {
	layers := 0
	for _, r := range draftRuns(f, id) {
		layers += r.Layers.Len()
	}
	return layers - benchTokens*draftLayers
}
