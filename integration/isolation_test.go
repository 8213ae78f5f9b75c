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

// crashMark is the text in a prompt that ends the stand-in engine which runs it.
const crashMark = "CRASH-ENGINE"

// crashFleet starts nodes before four engines for the first range and two for the second.
func crashFleet(t testing.TB, nodes int) *launcher.Fleet {
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

func dead(f *launcher.Fleet) []string {
	var ids []string
	for id, e := range f.Engines {
		if e.Ended() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// quoteLoad streams drafts through all nodes until stopped, and returns the results.
func quoteLoad(f *launcher.Fleet, callers int, stop <-chan struct{}) func() []requester.Result {
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
				d := draftOf(f, fmt.Sprintf("innocent-%d-%d", n, i), fmt.Sprintf("a quote for wedding %d of caller %d", i, n))
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

// TestCrashingRequestIsRefused sends a request that crashes engines 20 times through all
// nodes under load: it kills two targets at most and costs no other request.
func TestCrashingRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	f := crashFleet(t, 4)
	stop := make(chan struct{})
	wait := quoteLoad(f, 8, stop)
	time.Sleep(time.Second)
	var outcomes []responder.Outcome
	for i := range 20 {
		d := draftOf(f, fmt.Sprintf("crashing-%d", i), "a quote "+crashMark)
		d.Node = f.Nodes[i%len(f.Nodes)].Address
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result, err := requester.NewRequester().Stream(ctx, d, nil)
		cancel()
		c.Check(err, qt.IsNil)
		outcomes = append(outcomes, result.Outcome)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	results := wait()
	lost := 0
	for _, r := range results {
		if !r.Whole {
			lost++
			t.Logf("lost: %s %+v", r.Outcome, r.Problem)
		}
	}
	t.Logf("dead engines %v, crashing request %v, other requests %d, not whole %d", dead(f), outcomes, len(results), lost)
	c.Assert(len(dead(f)) <= 2, qt.IsTrue)
	c.Assert(lost, qt.Equals, 0)
	for _, o := range outcomes {
		c.Assert(o, qt.Equals, responder.Refused)
	}
	out, _ := f.Ctl("explain", "request/"+launcher.Team+"/studio/crashing-0")
	c.Assert(out, qt.Contains, "convicted")
}

// TestPlainDeathOfAnEngine kills an engine with 20 drafts in flight: 95 in 100 get their
// next token within a second, and none is refused.
func TestPlainDeathOfAnEngine(t *testing.T) {
	c := qt.New(t)
	f := crashFleet(t, 4)
	const drafts = 20
	results := make([]requester.Result, drafts)
	var wg sync.WaitGroup
	var killed time.Time
	started := make(chan struct{}, drafts)
	for i := range drafts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d := draftOf(f, fmt.Sprintf("draft-%d", i), fmt.Sprintf("a quote for wedding %d", i))
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
	killed = time.Now()
	f.Engines["second-0"].Kill()
	wg.Wait()
	var gaps []time.Duration
	for _, r := range results {
		c.Check(r.Whole, qt.IsTrue, qt.Commentf("%s %+v", r.Outcome, r.Problem))
		gaps = append(gaps, longestGapSince(r.TokenAt, killed))
	}
	sort.Slice(gaps, func(a, b int) bool { return gaps[a] < gaps[b] })
	t.Logf("longest gap between tokens after the death: median %v, 95th %v, longest %v", gaps[drafts/2], gaps[drafts*95/100-1], gaps[drafts-1])
	c.Assert(gaps[drafts*95/100-1] <= recoveryBound, qt.IsTrue)
}

// longestGapSince returns the longest time without a token that ended after the instant.
func longestGapSince(at []time.Time, since time.Time) time.Duration {
	var longest time.Duration
	for i := 1; i < len(at); i++ {
		if at[i].After(since) {
			longest = max(longest, at[i].Sub(at[i-1]))
		}
	}
	return longest
}
