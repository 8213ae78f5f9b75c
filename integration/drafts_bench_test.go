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
	killsEachWay = 9
	// killAfter and benchTokens say after which token of how many the middle stage dies.
	killAfter   = 100
	benchTokens = 120
	promptWords = 400
	// seenUpAfter is how long a restarted engine takes to be seen as up.
	seenUpAfter = time.Second
)

// BenchmarkRecovery measures, for each way of recovery in the same run, the time from the
// middle stage's death to the next token, and the work that runs again.
func BenchmarkRecovery(b *testing.B) {
	f := engineFleet(b, layerMicros)
	ways := []string{"replay", "import", "restart"}
	for _, way := range ways {
		f.AddNode("node-"+way, "", "--recovery", way)
	}
	f.Configure(draftLayers)
	// took holds the longest time without a token from the death on.
	took, again := map[string][]time.Duration{}, map[string][]int{}
	for b.Loop() {
		for kill := range killsEachWay * len(ways) {
			way := ways[kill%len(ways)]
			d := draftOf(f, fmt.Sprintf("draft-%d", kill), strings.Repeat("word ", promptWords)+fmt.Sprint(kill))
			d.Node, d.MaxTokens = f.Nodes[kill%len(ways)].Address, benchTokens
			took[way] = append(took[way], killOnce(b, f, d))
			again[way] = append(again[way], layersRunAgain(f, d.ID))
		}
	}
	for _, way := range ways {
		slices.Sort(took[way])
		slices.Sort(again[way])
		n := len(took[way])
		b.Logf("%s: %d kills, next token median %v, most %v; layers run again median %d", way, n, took[way][n/2], took[way][n-1], again[way][n/2])
		b.ReportMetric(float64(took[way][n/2].Milliseconds()), way+"-ms")
	}
}

// killOnce kills the middle stage of one draft, starts it again, and returns the time to the next token.
func killOnce(b *testing.B, f *launcher.Fleet, d requester.Draft) time.Duration {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var name string
	result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
		switch n {
		case 1:
			name = string(stageAt(f, d.ID, 8))
		case killAfter:
			f.Engines[name].Kill()
		}
	})
	if err != nil || !result.Whole || !slices.Equal(result.Tokens, answerTo(d)) {
		b.Fatalf("the answer is not whole: %v %v", err, result.Problem)
	}
	f.StartEngine(name, f.Engines[name].Address, 8, 16, "--layer-micros", layerMicros)
	time.Sleep(seenUpAfter)
	return longestGap(result.TokenAt, killAfter)
}

// layersRunAgain counts the layers of all positions that ran more than once.
func layersRunAgain(f *launcher.Fleet, id string) int {
	ran := 0
	for _, r := range runsOf(f, id) {
		ran += r.Layers.Len()
	}
	return ran - benchTokens*draftLayers
}
