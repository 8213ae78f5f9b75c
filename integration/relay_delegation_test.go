package integration_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/storefaker"
	"fuchsiabridge.example/platform/targetfaker"
)

const (
	// earlierVersion is the last commit whose nodes do not hand requests over.
	earlierVersion = "8043a32c06c7255c04765aa780723253980087e6"
	// silence is how long a sound target may say nothing.
	silence = 1200 * time.Millisecond
)

// cutOff cuts the first node off from all targets, and waits until it serves its callers through other nodes.
func (f *cutFixture) cutOff() {
	f.f.SetCut(f.nodes[0], launcher.Cut{Kind: "reset"})
	launcher.Await(f, cutDetection, "the node has lost its paths", func() bool {
		f.request(0, "/view/1", "lost")
		f.request(0, "/draft/x", "lost")
		return len(f.nodes[0].Status(f).LostPaths) == 2
	})
	f.results = nil
}

// delegate returns the index of the node that serves requests of the first one.
func (f *cutFixture) delegate() int {
	found := 0
	launcher.Await(f, cutDetection, "a node serves requests of the first one", func() bool {
		for i, n := range f.nodes[1:] {
			if n.Status(f).DelegatedOpen > 0 {
				found = i + 1
			}
		}
		return found > 0
	})
	return found
}

// TestDelegatedRequestEndsWithItsCaller guards against targets that go on working for callers that have left, when another node has
// handed the request over.
func TestDelegatedRequestEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	f.cutOff()
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	resp, err := callerfaker.Caller{Address: f.nodes[0].Address, Key: relayKey}.Open(ctx, http.MethodPost, "/draft/x", "gone")
	f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	f.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	f.Check(resp.Header.Get("Fuchsiabridge-Delegated"), qt.Equals, "")
	leave()
	launcher.Await(t, 500*time.Millisecond, "the attempt has ended", func() bool {
		attempts := f.fleet.Attempts("gone")
		return len(attempts) == 1 && !attempts[0].EndedAt.IsZero()
	})
}

// TestStreamGoesOnWhenItsDelegateDies guards against streams that end, or repeat or lack events, when the node dies that they go by.
func TestStreamGoesOnWhenItsDelegateDies(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	f.cutOff()
	done, hasBegun := make(chan int, 1), make(chan struct{})
	go func() {
		n, _ := callerfaker.Caller{Address: f.nodes[0].Address, Key: relayKey}.Stream(context.Background(), "/draft/x", "resumed", func(n int) {
			if n == relayEvents/4 {
				close(hasBegun)
			}
		})
		done <- n
	}()
	<-hasBegun
	f.nodes[f.delegate()].Kill()
	f.Check(<-done, qt.Equals, relayEvents)
	attempts := f.fleet.Attempts("resumed")
	f.Assert(attempts, qt.HasLen, 2)
	f.Check(attempts[1].Last, qt.Not(qt.Equals), "")
}

// TestClaimIsNotRepeatedWhenItsDelegateDies guards against a request that runs twice, or is said not to have run, since the node has
// died that it was handed over to.
func TestClaimIsNotRepeatedWhenItsDelegateDies(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	f.cutOff()
	for _, dc := range []string{"a", "b", "c"} {
		f.fleet.SetWork("ledger-"+dc, 2*cutDetection)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.request(0, "/post/1", "claim")
	}()
	i := f.delegate()
	launcher.Await(t, time.Second, "the request runs", func() bool { return len(f.fleet.Attempts("claim")) == 1 })
	f.nodes[i].Kill()
	<-done
	f.Assert(f.results, qt.HasLen, 1)
	f.Check(f.results[0].status, qt.Equals, http.StatusBadGateway)
	f.Check(f.fleet.Attempts("claim"), qt.HasLen, 1)
}

// TestStoppingNodeFinishesWhatItHasTaken guards against requests of other nodes that a planned stop cuts off, and against new ones that
// a stopping node still takes.
func TestStoppingNodeFinishesWhatItHasTaken(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	f.cutOff()
	done := make(chan int, 1)
	go func() {
		n, _ := callerfaker.Caller{Address: f.nodes[0].Address, Key: relayKey}.Stream(context.Background(), "/draft/x", "last", nil)
		done <- n
	}()
	i := f.delegate()
	f.nodes[i].Stop()
	for n := range 10 {
		f.request(0, "/post/1", "stop-"+string(rune('a'+n)))
	}
	f.Check(<-done, qt.Equals, relayEvents)
	f.Check(f.fleet.Attempts("last"), qt.HasLen, 1)
	share, _ := f.share(func(cutResult) bool { return true })
	f.Check(share, qt.Equals, 1.0)
	f.checkPromises()
	code, ended := f.nodes[i].AwaitExit(8 * time.Second)
	f.Assert(ended, qt.IsTrue)
	f.Check(code, qt.Equals, 0)
}

// TestRevokedKeyIsNotAcceptedByWayOfAnotherNode guards against a key that lives on at a node that hands requests over.
func TestRevokedKeyIsNotAcceptedByWayOfAnotherNode(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	f.cutOff()
	f.Assert(f.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	f.key = "other-key"
	launcher.Await(t, changeLimit, "the new key is accepted", func() bool {
		f.results = nil
		f.request(0, "/post/1", "new-key-"+time.Now().Format("05.000000"))
		return f.results[0].isComplete
	})
	f.key = relayKey
	f.results = nil
	f.request(0, "/post/1", "old-key")
	f.Check(f.results[0].status, qt.Equals, http.StatusUnauthorized)
	f.Check(f.fleet.Attempts("old-key"), qt.HasLen, 0)
}

// TestOrdersGoByAnotherNode guards against layers that nobody loads again because the node that gives the orders is cut off.
func TestOrdersGoByAnotherNode(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	holder := 0
	launcher.Await(t, relayStartTimeout, "a node gives the orders", func() bool {
		for i, n := range f.nodes {
			if n.Status(f).HoldsLease {
				holder = i
				return true
			}
		}
		return false
	})
	f.f.SetCut(f.nodes[holder], launcher.Cut{Kind: "hang"})
	launcher.Await(t, relayStartTimeout, "the node has lost its paths", func() bool {
		f.request(holder, "/draft/x", "lost")
		return len(f.nodes[holder].Status(f).LostPaths) > 0
	})
	before := len(f.fleet.Orders())
	f.add(targetfaker.TargetSpec{ID: "draft-new", Service: "drafting", DataCentre: "a", Kind: "big", EventInterval: eventInterval, Events: relayEvents})
	f.fleet.Kill("draft-a0")
	f.Assert(f.store.PutTarget("draft-a0", nil), qt.IsNil)
	launcher.Await(t, 8*time.Second, "a target is ordered to load layers", func() bool { return len(f.fleet.Orders()) > before })
	f.Check(f.nodes[holder].Status(f).HoldsLease, qt.IsTrue)
}

// TestIdleNodeTakesRequestsOfNodeThatIsCutOff guards against nodes that offer nothing, as they have had no request of their own for a
// service since its targets came.
func TestIdleNodeTakesRequestsOfNodeThatIsCutOff(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	idle := f.f.AddCuttableRelay("node-idle", "b", f.store.Address())
	launcher.Await(t, relayStartTimeout, "the idle node is ready", idle.IsReady)
	f.f.SetCut(f.nodes[0], launcher.Cut{Kind: "reset"})
	for _, n := range f.nodes[1:] {
		n.Kill()
	}
	launcher.Await(t, cutDetection, "the idle node serves drafts of the node that is cut off", func() bool {
		f.results = nil
		f.request(0, "/draft/x", "idle-"+time.Now().Format("05.000000"))
		return f.results[0].isComplete
	})
}

// TestSoundTargetMayBeSilentForASecond guards against requests that fail, or targets that stay left out, because a target that is sound
// says nothing for a second.
func TestSoundTargetMayBeSilentForASecond(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	began := time.Now()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		f.load("silent", began.Add(2*silence))
	}()
	time.Sleep(silence / 4)
	silent := []string{f.fleet.AddressOf("ledger-a"), f.fleet.AddressOf("draft-a0")}
	for _, n := range f.nodes {
		f.f.SetCut(n, launcher.Cut{Kind: "hang", Addresses: silent})
	}
	time.Sleep(silence)
	for _, n := range f.nodes {
		f.f.SetCut(n, launcher.Cut{})
	}
	<-loaded
	share, sent := f.share(func(cutResult) bool { return true })
	f.Check(share, qt.Equals, 1.0, qt.Commentf("%.3f of %d served", share, sent))
	f.checkPromises()
	for _, n := range f.nodes {
		s := n.Status(f)
		f.Check(s.LostPaths, qt.HasLen, 0)
		f.Check(s.ConfirmedPoison, qt.Equals, 0)
	}
}

// TestOldAndNewNodesRunSideBySide guards against an upgrade, one node after the other, during which nodes of the two versions do not
// understand each other.
func TestOldAndNewNodesRunSideBySide(t *testing.T) {
	t.Parallel()
	earlier := launcher.BuildEarlier(t, earlierVersion)
	for _, row := range []struct {
		name string
		new  int
		// isServed says that a new node can help.
		isServed bool
	}{{"one new node of three", 1, false}, {"two new nodes of three", 2, true}} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := newMixedFixture(t, row.new, earlier)
			began := time.Now()
			f.f.SetCut(f.nodes[0], launcher.Cut{Kind: "hang"})
			f.load("mixed", began.Add(cutDuration))
			isLate := func(r cutResult) bool { return r.sentAt.Sub(began) >= cutDetection }
			there, _ := f.share(func(r cutResult) bool { return isLate(r) && r.node == 0 })
			elsewhere, _ := f.share(func(r cutResult) bool { return r.node > 0 })
			t.Logf("served %.3f at the node that is cut off, %.3f at the others", there, elsewhere)
			f.Check(elsewhere, qt.Equals, 1.0)
			if row.isServed {
				f.Check(there >= minCutShare, qt.IsTrue)
			}
			f.checkPromises()
			f.endCuts()
		})
	}
}

// TestCallersFieldsBetweenNodesAreNotTrusted guards against a caller that passes for another node.
func TestCallersFieldsBetweenNodesAreNotTrusted(t *testing.T) {
	t.Parallel()
	f := newCutFixture(t)
	header := http.Header{"Fuchsiabridge-Delegated": {`{"version":99,"max_runs":9,"has_arrived":true}`}}
	for _, id := range []string{"forged", "forged-behind-cut"} {
		if id != "forged" {
			f.cutOff()
		}
		c := callerfaker.Caller{Address: f.nodes[0].Address, Key: relayKey, Header: header}
		status, body, err := c.Send(t.Context(), http.MethodPost, "/post/1", id)
		f.Assert(err, qt.IsNil)
		f.Check(status, qt.Equals, http.StatusOK)
		f.Check(body, qt.Equals, "answer to "+id)
		f.Assert(f.fleet.Attempts(id), qt.HasLen, 1)
		f.Check(f.fleet.Attempts(id)[0].Internal, qt.HasLen, 0)
	}
}
