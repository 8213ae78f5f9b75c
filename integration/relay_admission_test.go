package integration_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/storefaker"
)

// TestRelayShedsWhatChainsCannotServe guards against a node that sends more streams than the chains can run, or does so again for a
// request that it has refused as not run, and against one that goes on refusing afterwards. Load: 40 streams at once before chains with a slot each.
func TestRelayShedsWhatChainsCannotServe(t *testing.T) {
	const requests = 40
	b := newRelayFixture(t, "--load-interval", "100ms")
	b.Assert(b.store.PutConfiguration(storefaker.SampleRanked(2, "other.example", 1, relayKey)), qt.IsNil)
	time.Sleep(changeLimit)
	var statuses [requests]int
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { statuses[i], _ = b.send(http.MethodPost, "/draft/1", fmt.Sprint("many-", i), relayKey) })
	}
	wg.Wait()
	counts := map[int]int{}
	for i, status := range statuses {
		counts[status]++
		if status == http.StatusServiceUnavailable {
			b.Check(b.fleet.Attempts(fmt.Sprint("many-", i)), qt.HasLen, 0)
		}
	}
	b.Check(counts[http.StatusOK] >= 2 && counts[http.StatusServiceUnavailable] >= requests/2, qt.IsTrue, qt.Commentf("%v", counts))
	b.Check(counts[http.StatusOK]+counts[http.StatusServiceUnavailable], qt.Equals, requests, qt.Commentf("%v", counts))
	launcher.Await(t, 5*time.Second, "a stream is served again", func() bool { return b.draft("after", false) == relayEvents })
}
