package dispatcher_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

// newPeerHarness returns a ready harness of a node that has peers.
func newPeerHarness(ratio float64) *harness {
	return makeReady(&harness{dispatcher: dispatcher.NewDispatcher(dispatcher.Config{
		DataCentre: "a", RevocationLimit: revocationLimit, ChangeLimit: changeLimit, RetryRatio: ratio, RetryWindow: retryWindow, HasPeers: true,
	})})
}

// losePath makes the node fail to reach targets until its path is lost.
func (d *harness) losePath(after time.Duration) {
	for _, id := range []identifier.TargetID{"ledger-a", "ledger-b", "ledger-c", "draft-a0", "draft-b0", "draft-c0"} {
		d.apply(after, dispatcher.PathChecked{Target: id, Address: string(id)})
	}
}

// found answers a search for a delegate.
func (d *harness) found(after time.Duration, call identifier.CallID, node identifier.NodeID) messenger.Effect {
	return d.apply(after, dispatcher.DelegateFound{Call: call, Node: node, Address: "take:" + string(node), Seed: uint64(call)})
}

// TestRequestIsHandedOverThatReachesNoTarget guards against a request that is refused although another node reaches its targets.
func TestRequestIsHandedOverThatReachesNoTarget(t *testing.T) {
	for _, path := range []string{"/post/x", "/view/x", "/draft/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			d := newPeerHarness(retryRatio)
			call, effect := d.sendRequest(time.Second, path, "key")
			for range 2 {
				_, isSend := effect.(dispatcher.Send)
				c.Assert(isSend, qt.IsTrue, qt.Commentf("%#v", effect))
				effect = d.apply(1200*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotSent, Seed: 1})
			}
			_, isAsked := effect.(dispatcher.AskDelegate)
			c.Assert(isAsked, qt.IsTrue, qt.Commentf("%#v", effect))
			send, isSend := d.found(1300*time.Millisecond, call, "node-2").(dispatcher.Send)
			c.Assert(isSend, qt.IsTrue)
			c.Check(send.Delegate, qt.Equals, identifier.NodeID("node-2"))
			c.Check(send.Target, qt.Equals, identifier.TargetID(""))
			c.Check(send.Terms.MaxRuns, qt.Equals, 1)
			c.Check(send.Terms.HasArrived, qt.IsFalse)
			effect = d.apply(1400*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Delivered, Status: http.StatusOK, Result: &delegator.Result{Runs: 1, HasArrived: true}})
			c.Check(effect, qt.IsNil)
			c.Check(d.dispatcher.Status(start.Add(2*time.Second)).Open, qt.Equals, 0)
		})
	}
}

// TestLostPathIsNotTriedAgainByEachRequest guards against requests that each wait for connections that a cut lets hang.
func TestLostPathIsNotTriedAgainByEachRequest(t *testing.T) {
	c := qt.New(t)
	d := newPeerHarness(retryRatio)
	d.losePath(time.Second)
	c.Check(d.dispatcher.IsAble(start.Add(time.Second), "ledger"), qt.IsFalse)
	for _, path := range []string{"/post/x", "/draft/x"} {
		_, effect := d.sendRequest(1100*time.Millisecond, path, "key")
		_, isAsked := effect.(dispatcher.AskDelegate)
		c.Check(isAsked, qt.IsTrue, qt.Commentf("%s: %#v", path, effect))
	}
	// Where the path is there again, requests take it.
	d.apply(2*time.Second, dispatcher.PathChecked{Target: "ledger-a", Address: "ledger-a", IsReached: true})
	_, effect := d.sendRequest(2100*time.Millisecond, "/post/x", "key")
	send, isSend := effect.(dispatcher.Send)
	c.Assert(isSend, qt.IsTrue)
	c.Check(send.Delegate, qt.Equals, identifier.NodeID(""))
}

// TestOwnMeansRemainWithoutDelegate guards against a request that fails because no other node takes it, though a target might.
func TestOwnMeansRemainWithoutDelegate(t *testing.T) {
	c := qt.New(t)
	d := newPeerHarness(retryRatio)
	d.losePath(time.Second)
	call, _ := d.sendRequest(1100*time.Millisecond, "/post/x", "key")
	send, isSend := d.found(1200*time.Millisecond, call, "").(dispatcher.Send)
	c.Assert(isSend, qt.IsTrue)
	c.Check(send.Target, qt.Not(qt.Equals), identifier.TargetID(""))
}

// TestSilentTargetsAreNotAccusedWhenPathIsLost guards against requests that are put down as poison because this node is cut off.
func TestSilentTargetsAreNotAccusedWhenPathIsLost(t *testing.T) {
	c := qt.New(t)
	d := newPeerHarness(retryRatio)
	call, _ := d.sendRequest(900*time.Millisecond, "/view/x", "key")
	d.losePath(time.Second)
	d.apply(1100*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotSent, Seed: 1})
	c.Assert(d.ejections, qt.HasLen, 1)
	c.Check(d.ejections[0].Cause, qt.Equals, registrar.Unreached)
	d.apply(1100*time.Millisecond, d.ejections[0])
	c.Check(d.crashes, qt.HasLen, 0)
}

// TestUnsentAttemptsSpendNoRetryBudget guards against a budget that is used up by attempts that no target has seen.
func TestUnsentAttemptsSpendNoRetryBudget(t *testing.T) {
	c := qt.New(t)
	d := makeReady(newHarnessWithRatio(0))
	call, _ := d.sendRequest(time.Second, "/view/x", "key")
	effect := d.apply(time.Second, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotSent, Seed: 1})
	_, isSend := effect.(dispatcher.Send)
	c.Assert(isSend, qt.IsTrue, qt.Commentf("%#v", effect))
	effect = d.apply(time.Second, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotRun, Status: http.StatusServiceUnavailable, Seed: 1})
	c.Check(status(effect), qt.Equals, http.StatusServiceUnavailable)
}

// TestRequestMayHaveRunAtLostDelegate guards against a request that runs twice, or is said not to have run, when its delegate dies.
func TestRequestMayHaveRunAtLostDelegate(t *testing.T) {
	c := qt.New(t)
	d := newPeerHarness(retryRatio)
	const share = 10
	d.apply(-time.Minute, dispatcher.RetryQuotaChanged{Retries: share})
	d.losePath(time.Second)
	call, _ := d.sendRequest(1100*time.Millisecond, "/post/x", "key")
	d.found(1200*time.Millisecond, call, "node-2")
	effect := d.apply(1300*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken, Reason: "reset", Seed: 1})
	c.Check(status(effect), qt.Equals, http.StatusBadGateway)
	// One that was refused by its delegate, or did not reach it, goes to the next one.
	for _, reported := range []dispatcher.AttemptReported{
		{Outcome: dispatcher.NotSent},
		{Outcome: dispatcher.NotRun, Status: http.StatusServiceUnavailable, Result: &delegator.Result{IsNotRun: true, HasArrived: true}},
	} {
		call, _ := d.sendRequest(1100*time.Millisecond, "/post/x", "key")
		d.found(1200*time.Millisecond, call, "node-2")
		reported.Call, reported.Seed = call, 1
		effect = d.apply(1300*time.Millisecond, reported)
		asked, isAsked := effect.(dispatcher.AskDelegate)
		c.Assert(isAsked, qt.IsTrue, qt.Commentf("%#v", effect))
		c.Check(asked.Tried, qt.DeepEquals, []identifier.NodeID{"node-2"})
		send := d.found(1400*time.Millisecond, call, "node-3").(dispatcher.Send)
		c.Check(send.Terms.HasArrived, qt.Equals, reported.Result != nil)
		c.Check(send.Terms.IsCounted, qt.IsTrue)
	}
}

// sendDelegated lets another node hand a request over.
func (d *harness) sendDelegated(after time.Duration, path string, terms delegator.Terms) (identifier.CallID, messenger.Effect) {
	d.next++
	return d.next, d.apply(after, dispatcher.RequestArrived{
		Call: d.next, ID: identifier.RequestID(fmt.Sprint(d.next)), Host: "h", Path: path, Key: "key", Seed: uint64(d.next), Terms: &terms,
	})
}

// refusal returns what another node is told by a refusal.
func refusal(c *qt.C, effect messenger.Effect) dispatcher.Refuse {
	r, ok := effect.(dispatcher.Refuse)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", effect))
	return r
}

// TestDelegatedRequestIsNotHandedOnAgain guards against requests that go round between nodes that are all cut off.
func TestDelegatedRequestIsNotHandedOnAgain(t *testing.T) {
	c := qt.New(t)
	d := newPeerHarness(retryRatio)
	d.losePath(time.Second)
	call, effect := d.sendDelegated(1100*time.Millisecond, "/post/x", delegator.Terms{Version: 1, MaxRuns: 1})
	for {
		if _, isSend := effect.(dispatcher.Send); !isSend {
			break
		}
		effect = d.apply(1200*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotSent, Seed: 1})
	}
	r := refusal(c, effect)
	c.Check(r.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(r.Result, qt.Equals, delegator.Result{IsNotRun: true})
}

// TestDelegateRefusesWhatItMustNotTake guards against a delegate that is stopping, acts by an older configuration, denies for another
// node what that one has allowed, or spends more than the retry budget.
func TestDelegateRefusesWhatItMustNotTake(t *testing.T) {
	for _, row := range []struct {
		name, path string
		terms      delegator.Terms
		prepare    func(d *harness)
	}{
		{"stopping", "/post/x", delegator.Terms{Version: 1, MaxRuns: 1}, func(d *harness) { d.apply(0, dispatcher.Stopping{RefuseAt: start.Add(time.Hour)}) }},
		{"older configuration", "/post/x", delegator.Terms{Version: 2, MaxRuns: 1}, func(*harness) {}},
		{"unknown route", "/other/x", delegator.Terms{Version: 1, MaxRuns: 1}, func(*harness) {}},
		{"unknown key", "/post/x", delegator.Terms{Version: 1, MaxRuns: 1}, func(d *harness) {
			d.apply(0, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(2, "other"))})
		}},
		{"retry", "/view/x", delegator.Terms{Version: 1, MaxRuns: 1, IsCounted: true, HasArrived: true}, func(*harness) {}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			d := newPeerHarness(0)
			row.prepare(d)
			_, effect := d.sendDelegated(time.Millisecond, row.path, row.terms)
			r := refusal(c, effect)
			c.Check(r.Status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(r.Result.IsNotRun, qt.IsTrue)
		})
	}
}

// TestRunsAtAllNodesStayWithinTheRoutesLimit checks, for any outcomes of attempts at targets and delegates, that the runs stay within the
// route's limit and that no request is said not to have run that may have.
func TestRunsAtAllNodesStayWithinTheRoutesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newPeerHarness(1)
		path := rapid.SampledFrom([]string{"/post/x", "/view/x", "/draft/x", "/once/x"}).Draw(t, "path")
		if rapid.Bool().Draw(t, "lost") {
			d.losePath(0)
		}
		limit := map[string]int{"/post/x": 1, "/view/x": 2, "/draft/x": 2, "/once/x": 1}[path]
		call, effect := d.sendRequest(time.Millisecond, path, "key")
		ran := 0
		for i := 0; i < 30 && effect != nil; i++ {
			now := time.Duration(i+2) * 10 * time.Millisecond
			switch e := effect.(type) {
			case dispatcher.Refuse:
				if e.Status == http.StatusServiceUnavailable && ran > 0 {
					t.Fatalf("refused as not run after %d runs", ran)
				}
				effect = nil
			case dispatcher.AskDelegate:
				effect = d.found(now, call, rapid.SampledFrom([]identifier.NodeID{"", identifier.NodeID(fmt.Sprint("node-", i))}).Draw(t, "node"))
			case dispatcher.Send:
				reported, runs := drawEnd(t, e)
				ran += runs
				reported.Call, reported.Seed = call, uint64(i)
				effect = d.apply(now, reported)
			default:
				effect = nil
			}
		}
		if ran > limit {
			t.Fatalf("%d runs, %d allowed", ran, limit)
		}
	})
}

// drawEnd draws how an attempt ends, and returns how many runs the targets may have begun by it.
func drawEnd(t *rapid.T, s dispatcher.Send) (dispatcher.AttemptReported, int) {
	o := rapid.SampledFrom([]dispatcher.Outcome{dispatcher.NotSent, dispatcher.NotRun, dispatcher.Broken, dispatcher.Failed}).Draw(t, "outcome")
	reported := dispatcher.AttemptReported{Outcome: o}
	switch {
	case o == dispatcher.NotSent:
		return reported, 0
	case o == dispatcher.NotRun:
		reported.Status = http.StatusServiceUnavailable
		if s.Delegate != "" {
			reported.Result = &delegator.Result{IsNotRun: true, HasArrived: rapid.Bool().Draw(t, "arrived")}
		}
		return reported, 0
	case s.Delegate == "":
		return reported, 1
	case o == dispatcher.Broken && rapid.Bool().Draw(t, "unknown"):
		return reported, s.Terms.MaxRuns
	}
	runs := rapid.IntRange(1, s.Terms.MaxRuns).Draw(t, "runs")
	reported.Status = http.StatusInternalServerError
	reported.Result = &delegator.Result{Runs: runs, HasArrived: true}
	return reported, runs
}

// TestStalledStreamLeavesLostPath guards against a stream that waits for its silent chain, since no other chain is left, though another
// node could go on with it.
func TestStalledStreamLeavesLostPath(t *testing.T) {
	c := qt.New(t)
	d := newPeerHarness(1)
	d.apply(-time.Minute, dispatcher.RetryQuotaChanged{Retries: 10})
	call, _ := d.sendRequest(900*time.Millisecond, "/draft/x", "key")
	d.losePath(time.Second)
	effect := d.apply(1100*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, Events: 3, ChainIdleTime: 150 * time.Millisecond, Seed: 1})
	_, isAsked := effect.(dispatcher.AskDelegate)
	c.Assert(isAsked, qt.IsTrue, qt.Commentf("%#v", effect))
	send := d.found(1200*time.Millisecond, call, "node-2").(dispatcher.Send)
	c.Check(send.KeepsStalled, qt.IsTrue)
	c.Check(send.Terms, qt.Equals, delegator.Terms{Version: 1, MaxRuns: 1, IsCounted: true, HasArrived: true})
	// The delegate is silent too, and no run is left: the request waits.
	effect = d.apply(2300*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, Events: 3, Seed: 1})
	_, isWait := effect.(dispatcher.Wait)
	c.Check(isWait, qt.IsTrue, qt.Commentf("%#v", effect))
}
