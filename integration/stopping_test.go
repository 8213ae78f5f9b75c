package integration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/callerfaker"
)

const (
	// stopLag is how long a stopping node still accepts requests, and stopLimit when it is killed.
	stopLag   = 500 * time.Millisecond
	stopLimit = 3 * time.Second
	// lateWork is how long targets work on a request: one that comes late would not end before the node is killed.
	lateWork = 800 * time.Millisecond
	// lateInterval is the time between two requests at the stopping node.
	lateInterval = 40 * time.Millisecond
)

// lateRequest is a request at a stopping node, and whether its caller has got an answer.
type lateRequest struct {
	id         string
	isAnswered bool
}

// stopUnderLoad stops a node, sends it requests until it is gone, and kills it at its limit, as the platform does. send reports whether its
// request was answered.
func stopUnderLoad(t *testing.T, node *launcher.Process, send func(id string) bool) []lateRequest {
	t.Helper()
	var mu sync.Mutex
	var requests []lateRequest
	var wg sync.WaitGroup
	node.Stop()
	killAt := time.Now().Add(stopLimit)
	for n := 0; time.Now().Before(killAt) && !node.Exited(); n++ {
		wg.Go(func() {
			id := fmt.Sprintf("late-%d", n)
			isAnswered := send(id)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, lateRequest{id, isAnswered})
		})
		time.Sleep(lateInterval)
	}
	t.Logf("the node has exited by itself: %v, %v before it would be killed", node.Exited(), time.Until(killAt).Round(time.Millisecond))
	node.Kill()
	wg.Wait()
	return requests
}

// TestRelayedRequestsLateInAStopAreNotCut guards against requests that a stopping node takes and passes on late, and that are cut at its
// end, among them some that may not be repeated.
func TestRelayedRequestsLateInAStopAreNotCut(t *testing.T) {
	t.Parallel()
	b := newRelayFixture(t, "--balancer-lag", stopLag.String(), "--stop-limit", stopLimit.String())
	for _, dc := range []string{"a", "b"} {
		b.fleet.SetWork("ledger-"+dc, lateWork)
	}
	var sent atomic.Int64
	requests := stopUnderLoad(t, b.node.Process, func(id string) bool {
		path := []string{"/post/1", "/draft/x"}[sent.Add(1)%2]
		ctx, cancel := context.WithTimeout(context.Background(), 2*stopLimit)
		defer cancel()
		resp, err := callerfaker.Caller{Address: b.node.Address, Key: relayKey}.Open(ctx, http.MethodPost, path, id)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil
	})
	checkLate(t, requests, func(id string) int { return len(b.fleet.Attempts(id)) })
}

// TestRequestsLateInAStopAreNotCut guards against the same at a node with the product's own interface, for calls and drafts.
func TestRequestsLateInAStopAreNotCut(t *testing.T) {
	t.Parallel()
	f := launcher.NewFleet(t)
	f.AddEngine("engine-a", 0, membersLayers)
	f.AddService("ledger", "ledger-1", "--delay", lateWork.String())
	node := f.AddNode("node-1", "", "--balancer-lag", stopLag.String(), "--stop-limit", stopLimit.String())
	f.Configure(membersLayers)
	requests := stopUnderLoad(t, node, func(id string) bool {
		return !pay(node, id, 2*stopLimit).ConnectionLost
	})
	checkLate(t, requests, func(id string) int { return executions(f)[id] })
}

// checkLate checks that each request that has run was answered.
func checkLate(t *testing.T, requests []lateRequest, runs func(id string) int) {
	t.Helper()
	c := qt.New(t)
	// Targets may still work on requests that were cut.
	time.Sleep(2 * lateWork)
	ran := 0
	for _, r := range requests {
		if runs(r.id) == 0 {
			continue
		}
		ran++
		c.Check(r.isAnswered, qt.IsTrue, qt.Commentf("%s ran, and was cut", r.id))
	}
	t.Logf("%d requests at the stopping node, %d ran", len(requests), ran)
	c.Check(ran > 0, qt.IsTrue)
}
