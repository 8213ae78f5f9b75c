package integration_test

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// crashMark is the text in a prompt that makes a stand-in engine crash.
const crashMark = "CRASH-ENGINE"

// newCrashFleet starts four engines for the first layer range, two for the second, and the given
// number of nodes.
func newCrashFleet(t testing.TB, nodes int) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t)
	for i := range 4 {
		f.AddEngine(fmt.Sprintf("first-%d", i), 0, 12, "--layer-micros", "300")
	}
	for i := range 2 {
		f.AddEngine(fmt.Sprintf("second-%d", i), 12, draftLayers, "--layer-micros", "300")
	}
	for n := range nodes {
		f.AddNode(fmt.Sprintf("node-%d", n+1), "")
	}
	f.Configure(draftLayers)
	return f
}

// exitedEngines returns the ids of the engines whose processes have exited.
func exitedEngines(f *launcher.Fleet) []string {
	var ids []string
	for id, e := range f.Engines {
		if e.Exited() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// startDraftLoad streams drafts through all nodes until stop is closed. The returned function waits
// for the last draft and returns all results.
func startDraftLoad(f *launcher.Fleet, callers int, stop <-chan struct{}) func() []requester.Result {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []requester.Result
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := requester.NewRequester()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				d := newDraft(f, fmt.Sprintf("ordinary-%d-%d", n, i), fmt.Sprintf("a quote for wedding %d of caller %d", i, n))
				d.Node = f.Nodes[(n+i)%len(f.Nodes)].Address
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				result, err := r.Stream(ctx, d, nil)
				cancel()
				if err != nil {
					result.Problem.Message = err.Error()
				}
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
			}
		}()
	}
	return func() []requester.Result {
		wg.Wait()
		return results
	}
}

// TestCrashingRequestIsRefused sends, 20 times, through all nodes and under load, a prompt that crashes
// the engine that runs it. It must be confirmed as poison after at most two engines have crashed, all 20
// requests must be refused, and no other request may fail.
func TestCrashingRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newCrashFleet(t, 4)
	stop := make(chan struct{})
	awaitResults := startDraftLoad(f, 8, stop)
	time.Sleep(time.Second)
	var outcomes []responder.Outcome
	for i := range 20 {
		d := newDraft(f, fmt.Sprintf("crashing-%d", i), "a quote "+crashMark)
		d.Node = f.Nodes[i%len(f.Nodes)].Address
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result, err := requester.NewRequester().Stream(ctx, d, nil)
		cancel()
		c.Check(err, qt.IsNil)
		outcomes = append(outcomes, result.Outcome)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	results := awaitResults()
	failed := 0
	for _, r := range results {
		if !r.IsComplete {
			failed++
			t.Logf("failed: %s %+v", r.Outcome, r.Problem)
		}
	}
	t.Logf("crashed engines %v, outcomes of the crashing requests %v, other requests %d, failed %d", exitedEngines(f), outcomes, len(results), failed)
	c.Assert(len(exitedEngines(f)) <= 2, qt.IsTrue)
	c.Assert(failed, qt.Equals, 0)
	for _, o := range outcomes {
		c.Assert(o, qt.Equals, responder.Refused)
	}
	out, _ := f.FBCtl("explain", "request/"+launcher.Team+"/studio/crashing-0")
	c.Assert(out, qt.Contains, "confirmed as poison")
}

// TestEngineDeathRecoversDrafts kills an engine with 20 drafts in flight: none of them may be
// mistaken for the cause and refused, and the p95 of their longest gaps between tokens after the
// death must be within maxRecoveryTime.
func TestEngineDeathRecoversDrafts(t *testing.T) {
	c := qt.New(t)
	f := newCrashFleet(t, 4)
	const drafts = 20
	results := make([]requester.Result, drafts)
	var wg sync.WaitGroup
	var killedAt time.Time
	started := make(chan struct{}, drafts)
	for i := range drafts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d := newDraft(f, fmt.Sprintf("draft-%d", i), fmt.Sprintf("a quote for wedding %d", i))
			d.Node, d.MaxTokens = f.Nodes[i%len(f.Nodes)].Address, 120
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			result, err := requester.NewRequester().Stream(ctx, d, func(n int, _ string) {
				if n == 10 {
					started <- struct{}{}
				}
			})
			c.Check(err, qt.IsNil)
			results[i] = result
		}()
	}
	for range drafts {
		<-started
	}
	killedAt = time.Now()
	f.Engines["second-0"].Kill()
	wg.Wait()
	var gaps []time.Duration
	for _, r := range results {
		c.Check(r.IsComplete, qt.IsTrue, qt.Commentf("%s %+v", r.Outcome, r.Problem))
		gaps = append(gaps, longestGapSince(r.TokenAt, killedAt))
	}
	sort.Slice(gaps, func(a, b int) bool { return gaps[a] < gaps[b] })
	t.Logf("longest gap between tokens after the death: median %v, p95 %v, max %v", gaps[drafts/2], gaps[drafts*95/100-1], gaps[drafts-1])
	c.Assert(gaps[drafts*95/100-1] <= maxRecoveryTime, qt.IsTrue)
}

// longestGapSince returns the longest gap between two tokens that ended after the given time.
func longestGapSince(at []time.Time, since time.Time) time.Duration {
	var longest time.Duration
	for i := 1; i < len(at); i++ {
		if at[i].After(since) {
			longest = max(longest, at[i].Sub(at[i-1]))
		}
	}
	return longest
}
