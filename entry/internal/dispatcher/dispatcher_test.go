package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	revocationLimit = 5 * time.Second
	changeLimit     = 2 * time.Second
	retryRatio      = 0.2
	retryWindow     = 10 * time.Second
	layers          = 40
)

var start = time.Unix(1_000_000, 0)

// harness drives one dispatcher in place of the executor.
type harness struct {
	dispatcher *dispatcher.Dispatcher
	ejections  []registrar.Ejected
	crashes    []crashrecorder.Crash
	logs       []messenger.Log
	next       identifier.CallID
}

func newHarness() *harness { return newHarnessWithRatio(retryRatio) }

func newHarnessWithRatio(ratio float64) *harness {
	return &harness{dispatcher: dispatcher.NewDispatcher(dispatcher.Config{
		DataCentre: "a", RevocationLimit: revocationLimit, ChangeLimit: changeLimit, RetryRatio: ratio, RetryWindow: retryWindow,
	})}
}

func configuration(version int64, keys ...string) *describer.Configuration {
	timeout := 2 * time.Second
	return &describer.Configuration{
		Version: version,
		Routes: []describer.Route{
			{ID: "post", Host: "h", Prefix: "/post/", Kind: describer.NonIdempotent, Timeout: timeout, MaxAttempts: 1, Services: share("ledger")},
			{ID: "view", Host: "h", Prefix: "/view/", Kind: describer.Idempotent, Timeout: timeout, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2, Services: share("ledger")},
			{ID: "draft", Host: "h", Prefix: "/draft/", Kind: describer.Streaming, IsResumable: true, Timeout: 20 * time.Second, MaxAttempts: 2, Services: share("draft")},
			{ID: "once", Host: "h", Prefix: "/once/", Kind: describer.Streaming, Timeout: 20 * time.Second, MaxAttempts: 2, Services: share("draft")},
			{ID: "open", Host: "h", Prefix: "/open/", Kind: describer.Idempotent, IsPublic: true, Timeout: timeout, MaxAttempts: 1, Services: share("ledger")},
		},
		Services: map[identifier.ServiceID]describer.Service{
			"ledger": {ID: "ledger"},
			"draft": {ID: "draft", Engine: &describer.Engine{
				Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, TypicalTokens: 900, StepTime: time.Millisecond,
				Kinds: map[identifier.AcceleratorKind]describer.Accelerator{"big": {Megabytes: 60_000, StepFactor: 1}},
			}},
		},
		Accounts: []describer.Account{{ID: "studio", Keys: keys}},
	}
}

func share(s identifier.ServiceID) []describer.ServiceShare {
	return []describer.ServiceShare{{Service: s, Weight: 1}}
}

func targets() []registrar.Target {
	var out []registrar.Target
	for _, dc := range []identifier.DataCentre{"a", "b", "c"} {
		out = append(out, registrar.Target{Target: describer.Target{
			ID: identifier.TargetID("ledger-" + dc), Address: string("ledger-" + dc), Service: "ledger", DataCentre: dc, Slots: 6,
		}})
		for half := range 2 {
			id := fmt.Sprintf("draft-%s%d", dc, half)
			out = append(out, registrar.Target{Target: describer.Target{
				ID: identifier.TargetID(id), Address: id, Service: "draft", DataCentre: dc, Slots: 100, Kind: "big",
				Layers: identifier.LayerRange{From: identifier.Layer(half * layers / 2), To: identifier.Layer((half + 1) * layers / 2)},
			}})
		}
	}
	return out
}

// readyHarness returns a harness with a configuration that has one key, and with the targets.
func readyHarness() *harness { return makeReady(newHarness()) }

func makeReady(d *harness) *harness {
	d.apply(0, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(1, "key"))})
	d.apply(0, dispatcher.ConfigurationConfirmed{AsOf: start})
	d.apply(0, registrar.TargetsChanged{Targets: targets()})
	return d
}

// apply applies an event and returns the first effect for the request, if any.
func (d *harness) apply(after time.Duration, event messenger.Event) messenger.Effect {
	var first messenger.Effect
	for _, effect := range d.dispatcher.Apply(start.Add(after), event) {
		switch e := effect.(type) {
		case messenger.Log:
			d.logs = append(d.logs, e)
		case messenger.Raise:
			if ejected, ok := e.Event.(registrar.Ejected); ok {
				d.ejections = append(d.ejections, ejected)
			}
		case dispatcher.ReportCrashes:
			d.crashes = append(d.crashes, e.Crashes...)
		case dispatcher.ProbeChain, dispatcher.RecordSample, dispatcher.CheckTarget, dispatcher.SavePoison, dispatcher.DropDelegate, dispatcher.CheckPath, avoider.TellRejections:
		default:
			if first == nil {
				first = effect
			}
		}
	}
	return first
}

func (d *harness) sendRequest(after time.Duration, path, key string) (identifier.CallID, messenger.Effect) {
	d.next++
	return d.next, d.apply(after, dispatcher.RequestArrived{Call: d.next, ID: identifier.RequestID(fmt.Sprint(d.next)), Host: "h", Path: path, Key: key, Seed: uint64(d.next)})
}

func status(e messenger.Effect) int {
	if r, ok := e.(dispatcher.Refuse); ok {
		return r.Status
	}
	return 0
}

// TestRequestBeforeConfigurationGets503 checks that a node without a configuration answers
// 503, never 404 or 401, so that callers retry.
func TestRequestBeforeConfigurationGets503(t *testing.T) {
	c := qt.New(t)
	_, e := newHarness().sendRequest(0, "/none/", "none")
	c.Assert(status(e), qt.Equals, 503)
}

// TestUnknownRouteAndKeyAreDenied checks that unknown routes get 404, unknown keys get 401,
// and public routes need no key.
func TestUnknownRouteAndKeyAreDenied(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for path, want := range map[string]int{"/none/": 404, "/view/": 401, "/open/": 0} {
		_, e := d.sendRequest(0, path, "wrong")
		c.Check(status(e), qt.Equals, want, qt.Commentf("%s", path))
	}
}

// TestStaleConfigurationRefusesKeyedRequests checks that while the configuration was not confirmed
// for most of the revocation limit, requests with keys get 503 and no request is denied for good.
func TestStaleConfigurationRefusesKeyedRequests(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for path, want := range map[string]int{"/view/": 503, "/none/": 503, "/open/": 0} {
		_, e := d.sendRequest(revocationLimit, path, "key")
		c.Check(status(e), qt.Equals, want, qt.Commentf("%s", path))
	}
	c.Assert(d.dispatcher.IsReady(start.Add(revocationLimit)), qt.IsFalse)
	d.apply(revocationLimit, dispatcher.ConfigurationConfirmed{AsOf: start.Add(revocationLimit)})
	_, e := d.sendRequest(revocationLimit, "/view/", "key")
	c.Assert(status(e), qt.Equals, 0)
}

// TestNodeDeniesNothingThatNewerVersionMayAllow guards against 401 and 404 from a node that has not heard of the store for longer
// than a configuration may take to be in force, though not for the revocation limit: a newer version may allow the request.
func TestNodeDeniesNothingThatNewerVersionMayAllow(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for path, want := range map[string]int{"/none/": 404, "/view/": 401} {
		_, e := d.sendRequest(changeLimit-time.Millisecond, path, "wrong")
		c.Check(status(e), qt.Equals, want, qt.Commentf("%s", path))
		_, e = d.sendRequest(changeLimit, path, "wrong")
		c.Check(status(e), qt.Equals, 503, qt.Commentf("%s", path))
	}
	_, e := d.sendRequest(changeLimit, "/view/", "key")
	c.Assert(status(e), qt.Equals, 0)
}

// TestRevokedKeyIsDenied checks that a key that the newest version no longer contains is denied,
// also after an older version arrives late.
func TestRevokedKeyIsDenied(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.apply(0, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(2, "other"))})
	d.apply(0, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(1, "key"))})
	_, e := d.sendRequest(0, "/view/", "key")
	c.Assert(status(e), qt.Equals, 401)
}

// TestOlderConfigurationReachesNoReducer guards against layers that are placed for an older version of the configuration, as a
// store that was restored from a copy holds it, while requests are served by the newer one in force.
func TestOlderConfigurationReachesNoReducer(t *testing.T) {
	c := qt.New(t)
	d := dispatcher.NewDispatcher(dispatcher.Config{DataCentre: "a", RetryWindow: retryWindow})
	var raised []int64
	for _, version := range []int64{1, 3, 2, 3, 4} {
		for _, effect := range d.Apply(start, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(version, "key"))}) {
			if e, ok := effect.(messenger.Raise); ok {
				raised = append(raised, e.Event.(placer.ConfigurationChanged).Table.Version)
			}
		}
	}
	c.Assert(raised, qt.DeepEquals, []int64{1, 3, 4})
}

// TestStoppingNodeRefusesAfterBalancerLag checks that a node serves until the load balancer
// has noticed the shutdown, and refuses at once after that.
func TestStoppingNodeRefusesAfterBalancerLag(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.apply(0, dispatcher.Stopping{RefuseAt: start.Add(time.Second)})
	_, e := d.sendRequest(500*time.Millisecond, "/view/", "key")
	c.Assert(status(e), qt.Equals, 0)
	_, e = d.sendRequest(time.Second, "/view/", "key")
	c.Assert(status(e), qt.Equals, 503)
}

// TestStalledChainIsLeftBeforeFaultIsLocated guards against streams that wait for a stalled
// chain: a target stalls under several streams. They continue elsewhere within 100 ms,
// before any target has reported which one is at fault, and new ones avoid the chain.
func TestStalledChainIsLeftBeforeFaultIsLocated(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.apply(-2*retryWindow, dispatcher.RetryQuotaChanged{Retries: 100})
	byTarget := map[identifier.TargetID][]identifier.CallID{}
	for range 30 {
		call, e := d.sendRequest(0, "/draft/", "key")
		byTarget[e.(dispatcher.Send).Target] = append(byTarget[e.(dispatcher.Send).Target], call)
	}
	stalled := identifier.TargetID("draft-a0")
	c.Assert(len(byTarget[stalled]) > 2, qt.IsTrue)
	e := d.apply(95*time.Millisecond, dispatcher.AttemptReported{
		Call: byTarget[stalled][0], Outcome: dispatcher.Stalled, Events: 5, ChainIdleTime: 95 * time.Millisecond, ChainTypicalGap: 20 * time.Millisecond,
	})
	moved, ok := e.(dispatcher.Send)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	c.Assert(moved.Target, qt.Not(qt.Equals), stalled)
	c.Assert(d.ejections, qt.HasLen, 0)
	for _, call := range byTarget[stalled][1:] {
		e = d.apply(100*time.Millisecond, dispatcher.AttemptReported{
			Call: call, Outcome: dispatcher.Stalled, Events: 5, ChainIdleTime: 100 * time.Millisecond, ChainTypicalGap: 20 * time.Millisecond,
		})
		moved, ok = e.(dispatcher.Send)
		c.Assert(ok, qt.IsTrue, qt.Commentf("request is not moved off the stalled chain: %T", e))
		c.Assert(moved.Target, qt.Not(qt.Equals), stalled)
	}
	for range 10 {
		_, e = d.sendRequest(100*time.Millisecond, "/draft/", "key")
		c.Check(e.(dispatcher.Send).Target, qt.Not(qt.Equals), stalled)
	}
	d.apply(400*time.Millisecond, dispatcher.ChainProbed{Address: "draft-a0", FaultAddresses: []string{"draft-a1"}})
	c.Assert(d.ejections, qt.HasLen, 1)
	c.Assert(d.ejections[0].Address, qt.Equals, "draft-a1")
}

// TestPoisonRequestIsRefused guards against a retried request that crashes each target that
// runs it: after three crashes, seen by this node or others, it is refused, and other
// requests still run.
func TestPoisonRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	at := time.Duration(0)
	for crashed := range 3 {
		at += time.Second
		d.next++
		e := d.apply(at, dispatcher.RequestArrived{Call: d.next, ID: "poison", Host: "h", Path: "/post/", Key: "key", Fingerprint: 7})
		send, ok := e.(dispatcher.Send)
		c.Assert(ok, qt.IsTrue, qt.Commentf("after %d crashes: %T", crashed, e))
		d.apply(at, dispatcher.AttemptReported{Call: d.next, Outcome: dispatcher.Broken})
		if crashed < 2 {
			d.apply(at, registrar.Ejected{Address: string(send.Target), Cause: registrar.Unresponsive})
			restarted := targets()
			for i := range restarted {
				restarted[i].Incarnation = int64(crashed + 1)
			}
			d.apply(at, registrar.TargetsChanged{Targets: restarted})
			continue
		}
		reported := crashrecorder.Crash{Request: d.crashes[0].Request, Target: "elsewhere", Depth: 3}
		d.apply(at, dispatcher.CrashesReported{Crashes: []crashrecorder.Crash{reported, reported}})
	}
	for fingerprint, want := range map[identifier.Fingerprint]int{7: 502, 8: 0} {
		d.next++
		e := d.apply(at, dispatcher.RequestArrived{Call: d.next, ID: "again", Host: "h", Path: "/post/", Key: "key", Fingerprint: fingerprint})
		c.Check(status(e), qt.Equals, want)
	}
}

// TestStalledStreamSurvivesRefusedRetries guards against losing a begun stream that stalls
// while no chain has free capacity: each refused retry resumes the stalled attempt, which
// ends at the deadline only.
func TestStalledStreamSurvivesRefusedRetries(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.apply(-2*retryWindow, dispatcher.RetryQuotaChanged{Retries: 100})
	var calls []identifier.CallID
	for range 30 {
		call, _ := d.sendRequest(0, "/draft/", "key")
		calls = append(calls, call)
	}
	at := time.Duration(0)
	resumed := 0
	for range 20 {
		at += 500 * time.Millisecond
		e := d.apply(at, dispatcher.AttemptReported{Call: calls[0], Outcome: dispatcher.Stalled, Events: 5, ChainIdleTime: 500 * time.Millisecond})
		for isSend := true; isSend; {
			if _, isSend = e.(dispatcher.Send); isSend {
				e = d.apply(at, dispatcher.AttemptReported{Call: calls[0], Outcome: dispatcher.NotRun, Status: 503, Events: 5})
			}
		}
		switch e.(type) {
		case dispatcher.ResumeStalled:
			resumed++
		case dispatcher.Wait, dispatcher.Probe:
		default:
			c.Fatalf("%T", e)
		}
	}
	c.Assert(resumed > 0, qt.IsTrue)
}

// TestRetryAfterIsJittered guards against callers that all return at once to a fleet without
// capacity: streams get a longer delay than plain requests, and delays differ.
func TestRetryAfterIsJittered(t *testing.T) {
	for path, maxDelay := range map[string]time.Duration{"/draft/": 3 * time.Second, "/post/": 500 * time.Millisecond} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			d := readyHarness()
			d.apply(0, registrar.TargetsChanged{})
			delays := map[time.Duration]bool{}
			for range 40 {
				_, e := d.sendRequest(0, path, "key")
				c.Assert(status(e), qt.Equals, 503)
				delay := e.(dispatcher.Refuse).RetryAfter
				c.Assert(delay > 0 && delay <= maxDelay, qt.IsTrue, qt.Commentf("%v", delay))
				delays[delay.Round(maxDelay/60)] = true
			}
			c.Assert(len(delays) > 8, qt.IsTrue, qt.Commentf("%d different Retry-After delays", len(delays)))
		})
	}
}

// TestOneSlowStreamDoesNotMarkChainStalled checks that a stream waits on while other streams
// at its chain receive events.
func TestOneSlowStreamDoesNotMarkChainStalled(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for range 12 {
		call, _ := d.sendRequest(0, "/draft/", "key")
		e := d.apply(200*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, ChainIdleTime: 20 * time.Millisecond})
		_, isWait := e.(dispatcher.Wait)
		c.Assert(isWait, qt.IsTrue)
	}
}

// TestEveryRequestEndsOnce runs requests through random outcomes. A request that must not be
// retried is never sent again once it may have run; one that may have run is never refused as
// not run; attempts and retries stay within their limits; its end is logged exactly once.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := readyHarness()
		retries, requests := 0, 0
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			d.apply(at, dispatcher.ConfigurationConfirmed{AsOf: start.Add(at)})
			path := rapid.SampledFrom([]string{"/post/", "/view/", "/draft/", "/once/"}).Draw(t, "path")
			played := playRequest(t, d, at, path, isRepeatable(configuration(1, "key"), path), func() {})
			if played.attempts > 0 {
				requests++
				retries += max(0, played.arrivals-1)
			}
		}
		if at < retryWindow && float64(retries) > retryRatio*float64(requests) {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}

// history records what happened to one request.
type history struct {
	attempts int
	// arrivals counts the attempts that have reached a target.
	arrivals int
	// mayHaveRun is set once an attempt that may have run has ended.
	mayHaveRun bool
	// isStalled is set if the current attempt is stalled, keepsStalled if another stalled one is kept beside it.
	isStalled    bool
	keepsStalled bool
}

// isRepeatable reports whether requests with a path may run more than once.
func isRepeatable(cfg *describer.Configuration, path string) bool {
	i := slices.IndexFunc(cfg.Routes, func(r describer.Route) bool { return r.Prefix == path })
	return cfg.Routes[i].MayRetry()
}

// noteSend records an attempt. A stalled attempt may have run, whether it is abandoned or kept.
func (x *history) noteSend(t *rapid.T, e dispatcher.Send, path string, mayRepeat bool) {
	if e.KeepsStalled != x.isStalled {
		t.Fatalf("stalled attempt is not kept beside the next attempt")
	}
	x.mayHaveRun = x.mayHaveRun || (x.keepsStalled && x.isStalled)
	x.keepsStalled = x.keepsStalled || x.isStalled
	if (x.mayHaveRun || x.keepsStalled) && !mayRepeat {
		t.Fatalf("%s sent again after it may have run", path)
	}
	x.attempts++
}

func (x *history) noteResume(t *rapid.T) {
	// The attempt that is left for the resumed one may have run.
	x.mayHaveRun = x.mayHaveRun || (x.keepsStalled && x.isStalled)
	if !x.keepsStalled && !x.isStalled {
		t.Fatalf("resumed although no stalled attempt was kept")
	}
	x.keepsStalled = false
}

func (x *history) noteOutcome(outcome dispatcher.Outcome) {
	x.isStalled = outcome == dispatcher.Stalled
	if outcome != dispatcher.NotSent && outcome != dispatcher.NotRun && !x.isStalled {
		x.mayHaveRun = true
	}
}

// playRequest runs one request to its end, disturbs it before each outcome, and returns the number of its attempts.
func playRequest(t *rapid.T, d *harness, at time.Duration, path string, mayRepeat bool, disturb func()) history {
	d.logs = nil
	d.next++
	call := d.next
	// No two requests are alike, so that none is held back because others were there when a target failed.
	effect := d.apply(at, dispatcher.RequestArrived{
		Call: call, ID: identifier.RequestID(fmt.Sprint(call)), Host: "h", Path: path, Key: "key", Seed: uint64(call),
		Fingerprint: identifier.Fingerprint(call), Group: identifier.Fingerprint(call),
	})
	var x history
	for isOngoing(effect) {
		switch e := effect.(type) {
		case dispatcher.Send:
			x.noteSend(t, e, path, mayRepeat)
		case dispatcher.ResumeStalled:
			x.noteResume(t)
		case dispatcher.Probe:
			effect = d.apply(at, dispatcher.Probed{Call: call})
			continue
		case dispatcher.Hold:
			effect = d.apply(at, dispatcher.HoldEnded{Call: call, IsCallerGone: true})
			continue
		case dispatcher.Reroute:
			effect = d.apply(at, dispatcher.Rerouted{Call: call, Chain: e.Chain, IsAccepted: rapid.Bool().Draw(t, "rerouted")})
			continue
		}
		disturb()
		outcome := drawOutcome(t, effect)
		x.noteOutcome(outcome)
		if _, isSend := effect.(dispatcher.Send); isSend && outcome != dispatcher.NotSent {
			x.arrivals++
		}
		effect = d.apply(at, dispatcher.AttemptReported{Call: call, Outcome: outcome, Status: 503, ChainIdleTime: time.Second, IsStalledReadable: rapid.Bool().Draw(t, "stalled readable")})
	}
	if (x.mayHaveRun || x.keepsStalled) && status(effect) == 503 {
		t.Fatalf("%s refused as not run after it may have run", path)
	}
	if n := d.countEndLogs(); x.attempts > 4 || n != 1 {
		t.Fatalf("%d attempts, %d log lines of the request's end, last effect %T", x.attempts, n, effect)
	}
	return x
}

// isOngoing reports whether the request is still in progress after an effect.
func isOngoing(effect messenger.Effect) bool {
	switch effect.(type) {
	case dispatcher.Send, dispatcher.Wait, dispatcher.ResumeStalled, dispatcher.Probe, dispatcher.Reroute, dispatcher.Hold:
		return true
	}
	return false
}

// drawOutcome draws the next outcome of an attempt; only a new attempt can be NotSent.
func drawOutcome(t *rapid.T, effect messenger.Effect) dispatcher.Outcome {
	outcomes := []dispatcher.Outcome{
		dispatcher.Delivered, dispatcher.NotRun, dispatcher.Failed, dispatcher.Broken,
		dispatcher.Stalled, dispatcher.Expired, dispatcher.CallerGone, dispatcher.NotSent,
	}
	if _, isSend := effect.(dispatcher.Send); !isSend {
		outcomes = outcomes[:len(outcomes)-1]
	}
	return rapid.SampledFrom(outcomes).Draw(t, "outcome")
}

// countEndLogs counts the log lines that say that a request has ended.
func (d *harness) countEndLogs() int {
	n := 0
	for _, l := range d.logs {
		if l.Event == eventlogger.RequestEnded {
			n++
		}
	}
	return n
}

// TestRetryQuotaIsMinimumOverWindow checks that a node makes no more retries beyond the ratio
// than the smallest share that it held during a whole window, however large its share is now.
func TestRetryQuotaIsMinimumOverWindow(t *testing.T) {
	for _, row := range []struct {
		name   string
		shares map[time.Duration]int
		want   int
	}{
		{"held throughout", map[time.Duration]int{-2 * retryWindow: 5}, 5},
		{"held for less than a window", map[time.Duration]int{-retryWindow / 2: 5}, 0},
		{"less meanwhile", map[time.Duration]int{-2 * retryWindow: 9, -retryWindow / 2: 3, -retryWindow / 4: 9}, 3},
		{"lost", map[time.Duration]int{-2 * retryWindow: 9, -time.Second: 0}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			d := makeReady(newHarnessWithRatio(0))
			for _, at := range slices.Sorted(maps.Keys(row.shares)) {
				d.apply(at, dispatcher.RetryQuotaChanged{Retries: row.shares[at]})
			}
			retries := 0
			for range 20 {
				call, e := d.sendRequest(0, "/view/", "key")
				if _, ok := e.(dispatcher.Send); !ok {
					t.Fatalf("%T", e)
				}
				if _, ok := d.apply(0, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Failed, Status: 500}).(dispatcher.Send); ok {
					retries++
				}
			}
			c.Assert(retries, qt.Equals, row.want)
		})
	}
}

// TestStoppingNodeGivesUpItsRetryShare guards against a share of the retry slack that two nodes spend: the one that
// stops, and the one that its partitions go to.
func TestStoppingNodeGivesUpItsRetryShare(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.apply(0, dispatcher.RetryQuotaChanged{Retries: 20, Partitions: 24, Generation: 3})
	c.Assert(d.dispatcher.Status(start.Add(retryWindow)).RetryQuota, qt.Equals, 20)
	d.apply(retryWindow, dispatcher.Stopping{RefuseAt: start.Add(2 * retryWindow)})
	c.Assert(d.dispatcher.Status(start.Add(retryWindow)).RetryQuota, qt.Equals, 0)
	d.apply(retryWindow, dispatcher.RetryQuotaChanged{Retries: 20})
	c.Assert(d.dispatcher.Status(start.Add(3*retryWindow)).RetryQuota, qt.Equals, 0)
}
