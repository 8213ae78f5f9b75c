package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/storefaker"
	"fuchsiabridge.example/platform/targetfaker"
)

const (
	cutNodes = 3
	// cutDetection is the time within which a node that does not reach its targets must serve its callers again.
	cutDetection = 3 * time.Second
	// cutDuration is how long a cut lasts.
	cutDuration = 6 * time.Second
	// cutSendInterval is the time between two requests at a node.
	cutSendInterval = 60 * time.Millisecond
	// minCutShare is the least share of the requests at nodes that are cut off to be served, as a part of that at the others.
	minCutShare = 2.0 / 3
)

// cutFixture is a fleet of nodes whose networks can be cut, with stand-ins for the store and the targets.
type cutFixture struct {
	*relayFixture
	f     *launcher.Fleet
	nodes []*launcher.Relay
	// key is that of the callers.
	key string

	mu      sync.Mutex
	results []cutResult
}

// cutResult is one request and how it ended.
type cutResult struct {
	soakResult
	// isWrong says that the answer was a success with another body or other events than its target has given.
	isWrong bool
}

func newCutFixture(t *testing.T) *cutFixture {
	t.Helper()
	return newMixedFixture(t, cutNodes, "")
}

// newMixedFixture is newCutFixture with further nodes that run an earlier version of the program, if one is given.
func newMixedFixture(t *testing.T, nodes int, earlier string) *cutFixture {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	f := &cutFixture{relayFixture: &relayFixture{C: c, store: store, fleet: targetfaker.NewFleet(ctx, store)}, f: launcher.NewRelayFleet(t), key: relayKey}
	c.Assert(store.PutConfiguration(storefaker.Sample(1, relayKey)), qt.IsNil)
	for _, dc := range []string{"a", "b", "c"} {
		f.add(targetfaker.TargetSpec{ID: "ledger-" + dc, Service: "ledger", DataCentre: dc, EventInterval: eventInterval})
		for i := range 3 {
			f.add(targetfaker.TargetSpec{ID: fmt.Sprintf("draft-%s%d", dc, i), Service: "drafting", DataCentre: dc, Kind: "big", EventInterval: eventInterval, Events: relayEvents})
		}
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.f.AddCuttableRelay(fmt.Sprintf("node-%d", i), string(rune('a'+i%3)), store.Address(), "--retry-slack", "100", "--retry-window", "2s"))
	}
	if earlier != "" {
		f.nodes = append(f.nodes, f.f.AddEarlierRelay(earlier, "earlier", "c", store.Address()))
	}
	launcher.Await(t, relayStartTimeout, "all nodes serve drafts", func() bool {
		for _, n := range f.nodes {
			got, err := (callerfaker.Caller{Address: n.Address, Key: relayKey}).Stream(ctx, "/draft/x", "warm", nil)
			if err != nil || got != relayEvents || !n.IsReady() {
				return false
			}
		}
		return true
	})
	return f
}

// load sends requests to all nodes until the given time, and waits until they have ended.
func (f *cutFixture) load(name string, until time.Time) {
	var wg sync.WaitGroup
	for i := range f.nodes {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				wg.Go(func() {
					f.request(i, []string{"/draft/x", "/post/1", "/view/1"}[n%3], fmt.Sprintf("%s-%d-%d", name, i, n))
				})
				time.Sleep(cutSendInterval)
			}
		})
	}
	wg.Wait()
}

// request sends one request and records how it ended.
func (f *cutFixture) request(node int, path, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r := cutResult{soakResult: soakResult{id: id, path: path, node: node, sentAt: time.Now()}}
	c := callerfaker.Caller{Address: f.nodes[node].Address, Key: f.key, Timeout: requestTimeout}
	if path == "/draft/x" {
		got, err := c.Stream(ctx, path, id, nil)
		r.isComplete = err == nil && got == relayEvents
		r.isWrong = err == nil && got != relayEvents
	} else {
		status, body, err := c.Send(ctx, http.MethodPost, path, id)
		r.status = status
		r.isComplete = err == nil && status == http.StatusOK && body == "answer to "+id
		r.isWrong = err == nil && status == http.StatusOK && !r.isComplete
	}
	r.endedAt = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
}

// share returns which part of the requests that were sent to some nodes since a time were served.
func (f *cutFixture) share(isCounted func(cutResult) bool) (float64, int) {
	served, sent := 0, 0
	for _, r := range f.results {
		if !isCounted(r) {
			continue
		}
		sent++
		if r.isComplete {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}

// checkPromises checks what holds for each request, wherever it was served.
func (f *cutFixture) checkPromises() {
	for _, r := range f.results {
		attempts := f.fleet.Attempts(r.id)
		f.Check(r.isWrong, qt.IsFalse, qt.Commentf("%s got a success with another body", r.id))
		if r.status == http.StatusServiceUnavailable {
			f.Check(attempts, qt.HasLen, 0, qt.Commentf("%s was refused as not run, but ran", r.id))
		}
		if r.path == "/post/1" {
			f.Check(len(attempts) <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.id, len(attempts)))
		}
		for _, a := range attempts {
			f.Check(a.Key, qt.Equals, "")
			f.Check(a.Account, qt.Equals, "studio")
			f.Check(a.Repeated, qt.HasLen, 0)
			f.Check(a.Internal, qt.HasLen, 0)
		}
	}
}

// endCuts ends the cuts, and checks that all nodes use all their targets again.
func (f *cutFixture) endCuts() {
	for _, n := range f.nodes {
		if n.Control != "" {
			f.f.SetCut(n, launcher.Cut{})
		}
	}
	launcher.Await(f, cutDetection, "all nodes use all targets again", func() bool {
		for _, n := range f.nodes {
			if s := n.Status(f); len(s.LostPaths) > 0 || s.Ejected > 0 || s.DelegatedOpen > 0 {
				return false
			}
		}
		return true
	})
}

// TestNodeCutOffFromTargetsServesItsCallers guards against callers that are served far worse at nodes that do not reach their targets
// than at the others, which do.
func TestNodeCutOffFromTargetsServesItsCallers(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name string
		kind string
		cut  int
	}{
		{"hanging", "hang", 1}, {"reset", "reset", 1}, {"new connections refused", "refuse", 1}, {"most nodes", "hang", 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := newCutFixture(t)
			began := time.Now()
			for _, n := range f.nodes[:row.cut] {
				f.f.SetCut(n, launcher.Cut{Kind: row.kind})
			}
			f.load("cut", began.Add(cutDuration))
			isLate := func(r cutResult) bool { return r.sentAt.Sub(began) >= cutDetection }
			there, sentThere := f.share(func(r cutResult) bool { return isLate(r) && r.node < row.cut })
			elsewhere, sentElsewhere := f.share(func(r cutResult) bool { return isLate(r) && r.node >= row.cut })
			t.Logf("served %.3f of %d at nodes that are cut off, %.3f of %d at the others", there, sentThere, elsewhere, sentElsewhere)
			f.Check(there >= minCutShare*elsewhere, qt.IsTrue)
			f.checkPromises()
			f.endCuts()
		})
	}
}
