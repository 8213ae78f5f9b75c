package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
	"fuchsiabridge.example/platform/storefaker"
)

func reportOf(request identifier.Fingerprint, depth int) sharer.CrashReport {
	return sharer.CrashReport{Crashes: []crashrecorder.Crash{{Request: request, Target: "t", Incarnation: 7, Depth: depth}}}
}

// knows reports whether a node was told of a crash of the request, and not since that it is cleared.
func (n *node) knows(request identifier.Fingerprint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := false
	for _, ev := range n.submitted {
		reported, ok := ev.(dispatcher.CrashesReported)
		if !ok {
			continue
		}
		for _, x := range reported.Crashes {
			known = known || x.Request == request
		}
		for _, cleared := range reported.Cleared {
			known = known && cleared != request
		}
	}
	return known
}

func awaitCrash(c *qt.C, n *node, request identifier.Fingerprint, want bool) {
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if n.knows(request) == want {
			return
		}
	}
	c.Fatalf("the node's knowledge of request %d is not %v within %v", request, want, waitLimit)
}

// TestRestartedReaderLearnsCrashes guards against a poison request that is sent again by a node that has restarted and
// reads the store itself, so that no peer tells it of crashes unasked.
func TestRestartedReaderLearnsCrashes(t *testing.T) {
	c, store, first, second := startTwo(t)
	second.reporter.ReportCrashes(reportOf(1, 3))
	awaitCrash(c, first, 1, true)
	restarted, _ := startReader(t, store, "restarted")
	awaitCrash(c, restarted, 1, true)
}

// TestClearedRequestIsClearedAtAllNodes guards against an innocent request that is refused because other nodes
// count crashes beside it that this node knows to have had another cause.
func TestClearedRequestIsClearedAtAllNodes(t *testing.T) {
	c, _, first, second := startTwo(t)
	for request, pair := range [][2]*node{{first, second}, {second, first}} {
		fingerprint := identifier.Fingerprint(request + 1)
		pair[0].reporter.ReportCrashes(reportOf(fingerprint, 1))
		awaitCrash(c, pair[1], fingerprint, true)
		pair[0].reporter.ReportCrashes(sharer.CrashReport{Cleared: []identifier.Fingerprint{fingerprint}})
		awaitCrash(c, pair[1], fingerprint, false)
	}
}

// unreliablePeers fails a number of calls that report crashes.
type unreliablePeers struct {
	follower.Peers
	failures atomic.Int64
}

func (p *unreliablePeers) Call(ctx context.Context, address, method string, params, result any) error {
	if method == sharer.CrashReportMethod && p.failures.Add(-1) >= 0 {
		return errors.New("lost")
	}
	return p.Peers.Call(ctx, address, method, params, result)
}

// TestLostCrashReportIsSentAgain guards against a poison request that other nodes go on sending because the report of
// a crash was lost on its way to the node that would have passed it on.
func TestLostCrashReportIsSentAgain(t *testing.T) {
	c, _, first, second := startTwo(t)
	second.peers.failures.Store(2)
	second.reporter.ReportCrashes(reportOf(1, 1))
	awaitCrash(c, first, 1, true)
}

// TestPoisonSurvivesRestartOfAllNodes guards against a poison request that is sent again because all nodes have
// restarted, also if the store refuses calls while it is confirmed and when they start.
func TestPoisonSurvivesRestartOfAllNodes(t *testing.T) {
	c, store, first, second := startTwo(t)
	store.SetFault(storefaker.Busy)
	first.reporter.SavePoison(crashrecorder.ConfirmingCrash(1, "t", 7, 0))
	time.Sleep(time.Second)
	store.SetFault(storefaker.None)
	c.Assert(isStored(store, 1), qt.IsTrue)
	first.stop()
	second.stop()
	store.SetFault(storefaker.Busy)
	third := startNode(t, store, "third")
	time.Sleep(time.Second)
	store.SetFault(storefaker.None)
	awaitCrash(c, third, 1, true)
}

// isStored reports whether the store gets to hold a poison request.
func isStored(store *storefaker.Store, request identifier.Fingerprint) bool {
	caller := storecaller.NewCaller(httpcaller.NewCaller(answerlimiter.NewDefault()), store.Address())
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		stored, err := caller.NewestPoison(context.Background())
		if err == nil && len(stored) == 1 && stored[0].Request == request {
			return true
		}
	}
	return false
}

// TestPoisonSurvivesRestoration guards against a poison request that is sent again after a restart of all nodes, because the store
// was restored from a copy that is older than its confirmation.
func TestPoisonSurvivesRestoration(t *testing.T) {
	c, store, first, _ := startTwo(t)
	store.BackUp()
	first.reporter.SavePoison(crashrecorder.ConfirmingCrash(1, "t", 7, 0))
	c.Assert(isStored(store, 1), qt.IsTrue)
	store.Restore()
	c.Assert(isStored(store, 1), qt.IsTrue)
}
