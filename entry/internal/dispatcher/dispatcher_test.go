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
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	revocationLimit = 5 * time.Second
	retryRatio      = 0.2
	retryWindow     = 10 * time.Second
	layers          = 40
)

var start = time.Unix(1_000_000, 0)

// desk drives one dispatcher as the shell would.
type desk struct {
	dispatcher *dispatcher.Dispatcher
	doubts     []registrar.Doubted
	logs       []messenger.Log
	next       identifier.CallID
}

func newDesk() *desk { return deskWith(retryRatio) }

func deskWith(ratio float64) *desk {
	return &desk{dispatcher: dispatcher.NewDispatcher(dispatcher.Config{
		DataCentre: "a", RevocationLimit: revocationLimit, RetryRatio: ratio, RetryWindow: retryWindow,
	})}
}

func configuration(version int64, keys ...string) *describer.Configuration {
	timeout := 2 * time.Second
	return &describer.Configuration{
		Version: version,
		Routes: []describer.Route{
			{ID: "post", Host: "h", Prefix: "/post/", Kind: describer.NonIdempotent, Timeout: timeout, MaxAttempts: 1, Services: share("ledger")},
			{ID: "view", Host: "h", Prefix: "/view/", Kind: describer.Idempotent, Timeout: timeout, Aim: 100 * time.Millisecond, MaxAttempts: 2, Services: share("ledger")},
			{ID: "draft", Host: "h", Prefix: "/draft/", Kind: describer.Streaming, IsResumable: true, Timeout: 20 * time.Second, MaxAttempts: 2, Services: share("draft")},
			{ID: "once", Host: "h", Prefix: "/once/", Kind: describer.Streaming, Timeout: 20 * time.Second, MaxAttempts: 2, Services: share("draft")},
			{ID: "open", Host: "h", Prefix: "/open/", Kind: describer.Idempotent, IsPublic: true, Timeout: timeout, MaxAttempts: 1, Services: share("ledger")},
		},
		Services: map[identifier.ServiceID]describer.Service{
			"ledger": {ID: "ledger"},
			"draft": {ID: "draft", Engine: &describer.Engine{
				Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, UsualTokens: 900, StepTime: time.Millisecond,
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

// readyDesk returns a desk that knows a configuration with one key, and the targets.
func readyDesk() *desk { return readied(newDesk()) }

func readied(d *desk) *desk {
	d.apply(0, dispatcher.TableRead{Table: router.NewTable(configuration(1, "key"))})
	d.apply(0, dispatcher.Confirmed{AsOf: start})
	d.apply(0, registrar.TargetsChanged{Targets: targets()})
	return d
}

// apply applies an event and returns the effect for the request that it concerns, if any.
func (d *desk) apply(after time.Duration, event messenger.Event) messenger.Effect {
	var own messenger.Effect
	for _, effect := range d.dispatcher.Apply(start.Add(after), event) {
		switch e := effect.(type) {
		case messenger.Log:
			d.logs = append(d.logs, e)
		case messenger.Raise:
			if doubted, ok := e.Event.(registrar.Doubted); ok {
				d.doubts = append(d.doubts, doubted)
			}
		case dispatcher.Examine, dispatcher.Measured:
		default:
			if own == nil {
				own = effect
			}
		}
	}
	return own
}

func (d *desk) arrive(after time.Duration, path, key string) (identifier.CallID, messenger.Effect) {
	d.next++
	return d.next, d.apply(after, dispatcher.Arrived{Call: d.next, ID: identifier.RequestID(fmt.Sprint(d.next)), Host: "h", Path: path, Key: key, Seed: uint64(d.next)})
}

func status(e messenger.Effect) int {
	if r, ok := e.(dispatcher.Refuse); ok {
		return r.Status
	}
	return 0
}

// TestNoConfigurationIsNoDenial answers 503, never 404 or 401, before a configuration was read.
func TestNoConfigurationIsNoDenial(t *testing.T) {
	c := qt.New(t)
	_, e := newDesk().arrive(0, "/none/", "none")
	c.Assert(status(e), qt.Equals, 503)
}

// TestDenials tells unknown routes and keys apart, and lets public routes do without a key.
func TestDenials(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	for path, want := range map[string]int{"/none/": 404, "/view/": 401, "/open/": 0} {
		_, e := d.arrive(0, path, "wrong")
		c.Check(status(e), qt.Equals, want, qt.Commentf("%s", path))
	}
}

// TestStaleConfigurationServesNoKey refuses requests with keys once the configuration was
// not confirmed for most of the revocation limit, and denies nothing.
func TestStaleConfigurationServesNoKey(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	for path, want := range map[string]int{"/view/": 503, "/none/": 503, "/open/": 0} {
		_, e := d.arrive(revocationLimit, path, "key")
		c.Check(status(e), qt.Equals, want, qt.Commentf("%s", path))
	}
	c.Assert(d.dispatcher.IsReady(start.Add(revocationLimit)), qt.IsFalse)
	d.apply(revocationLimit, dispatcher.Confirmed{AsOf: start.Add(revocationLimit)})
	_, e := d.arrive(revocationLimit, "/view/", "key")
	c.Assert(status(e), qt.Equals, 0)
}

// TestRevokedKeyIsRefused denies a key that the newest version no longer holds, and never goes back.
func TestRevokedKeyIsRefused(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	d.apply(0, dispatcher.TableRead{Table: router.NewTable(configuration(2, "other"))})
	d.apply(0, dispatcher.TableRead{Table: router.NewTable(configuration(1, "key"))})
	_, e := d.arrive(0, "/view/", "key")
	c.Assert(status(e), qt.Equals, 401)
}

// TestStoppingNodeTakesNothingAfterItsLag serves until the balancer has noticed and refuses at once after that.
func TestStoppingNodeTakesNothingAfterItsLag(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	d.apply(0, dispatcher.Stopping{RefuseAt: start.Add(time.Second)})
	_, e := d.arrive(500*time.Millisecond, "/view/", "key")
	c.Assert(status(e), qt.Equals, 0)
	_, e = d.arrive(time.Second, "/view/", "key")
	c.Assert(status(e), qt.Equals, 503)
}

// TestSilentChainIsLeftBeforeItsFaultIsKnown plays the pattern of a part that falls silent
// under several streams: they go on elsewhere within 100 ms, before any target has said who
// is at fault, and new ones avoid the chain.
func TestSilentChainIsLeftBeforeItsFaultIsKnown(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	d.apply(-2*retryWindow, dispatcher.BudgetShared{Repeats: 100})
	first := map[identifier.TargetID][]identifier.CallID{}
	for range 30 {
		call, e := d.arrive(0, "/draft/", "key")
		first[e.(dispatcher.Send).Target] = append(first[e.(dispatcher.Send).Target], call)
	}
	silent := identifier.TargetID("draft-a0")
	c.Assert(len(first[silent]) > 2, qt.IsTrue)
	e := d.apply(95*time.Millisecond, dispatcher.Reported{
		Call: first[silent][0], Outcome: dispatcher.Silent, Events: 5, ChainQuiet: 95 * time.Millisecond, ChainPace: 20 * time.Millisecond,
	})
	moved, ok := e.(dispatcher.Send)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	c.Assert(moved.Target, qt.Not(qt.Equals), silent)
	c.Assert(d.doubts, qt.HasLen, 0)
	for _, call := range first[silent][1:] {
		e = d.apply(100*time.Millisecond, dispatcher.Reported{
			Call: call, Outcome: dispatcher.Silent, Events: 5, ChainQuiet: 100 * time.Millisecond, ChainPace: 20 * time.Millisecond,
		})
		moved, ok = e.(dispatcher.Send)
		c.Assert(ok, qt.IsTrue, qt.Commentf("the last ones stay behind: %T", e))
		c.Assert(moved.Target, qt.Not(qt.Equals), silent)
	}
	for range 10 {
		_, e = d.arrive(100*time.Millisecond, "/draft/", "key")
		c.Check(e.(dispatcher.Send).Target, qt.Not(qt.Equals), silent)
	}
	d.apply(400*time.Millisecond, dispatcher.Examined{Address: "draft-a0", Faults: []string{"draft-a1"}})
	c.Assert(d.doubts, qt.HasLen, 1)
	c.Assert(d.doubts[0].Address, qt.Equals, "draft-a1")
}

// TestRequestThatCrashesTargetsIsRefused plays a request that comes again and again and
// crashes each target that runs it: after three crashes, here or at other nodes, it runs no
// more, while others do.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	at := time.Duration(0)
	for crashed := range 3 {
		at += time.Second
		d.next++
		e := d.apply(at, dispatcher.Arrived{Call: d.next, ID: "poison", Host: "h", Path: "/post/", Key: "key", Fingerprint: 7})
		send, ok := e.(dispatcher.Send)
		c.Assert(ok, qt.IsTrue, qt.Commentf("after %d crashes: %T", crashed, e))
		d.apply(at, dispatcher.Reported{Call: d.next, Outcome: dispatcher.Broken})
		fallen := targets()
		for i := range fallen {
			fallen[i].Born = int64(crashed)
			fallen[i].IsDoubted = fallen[i].ID == send.Target
		}
		if crashed < 2 {
			d.apply(at, registrar.TargetsChanged{Targets: fallen})
			restarted := targets()
			for i := range restarted {
				restarted[i].Born = int64(crashed + 1)
			}
			d.apply(at, registrar.TargetsChanged{Targets: restarted})
			continue
		}
		told := accuser.Crash{Request: 7, Target: "elsewhere"}
		d.apply(at, dispatcher.CrashesTold{Crashes: []accuser.Crash{told, told}})
	}
	for fingerprint, want := range map[identifier.Fingerprint]int{7: 502, 8: 0} {
		d.next++
		e := d.apply(at, dispatcher.Arrived{Call: d.next, ID: "again", Host: "h", Path: "/post/", Key: "key", Fingerprint: fingerprint})
		c.Check(status(e), qt.Equals, want)
	}
}

// TestSilentStreamOutlivesRefusals plays the pattern of a begun stream that falls silent
// while no chain has room for it: each refusal leads it back to its silent attempt, which is
// given up for nothing but the deadline.
func TestSilentStreamOutlivesRefusals(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	d.apply(-2*retryWindow, dispatcher.BudgetShared{Repeats: 100})
	var calls []identifier.CallID
	for range 30 {
		call, _ := d.arrive(0, "/draft/", "key")
		calls = append(calls, call)
	}
	at := time.Duration(0)
	backs := 0
	for range 20 {
		at += 500 * time.Millisecond
		e := d.apply(at, dispatcher.Reported{Call: calls[0], Outcome: dispatcher.Silent, Events: 5, ChainQuiet: 500 * time.Millisecond})
		for isSend := true; isSend; {
			if _, isSend = e.(dispatcher.Send); isSend {
				e = d.apply(at, dispatcher.Reported{Call: calls[0], Outcome: dispatcher.NotRun, Status: 503, Events: 5})
			}
		}
		switch e.(type) {
		case dispatcher.GoBack:
			backs++
		case dispatcher.Wait, dispatcher.Probe:
		default:
			c.Fatalf("%T", e)
		}
	}
	c.Assert(backs > 0, qt.IsTrue)
}

// TestRefusedCallersComeBackOneByOne plays the pattern of a fleet without room: streams come
// back when others may have ended, plain requests sooner, and not all at the same instant.
func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	for path, most := range map[string]time.Duration{"/draft/": 3 * time.Second, "/post/": 500 * time.Millisecond} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			d := readyDesk()
			d.apply(0, registrar.TargetsChanged{})
			pauses := map[time.Duration]bool{}
			for range 40 {
				_, e := d.arrive(0, path, "key")
				c.Assert(status(e), qt.Equals, 503)
				pause := e.(dispatcher.Refuse).RetryAfter
				c.Assert(pause > 0 && pause <= most, qt.IsTrue, qt.Commentf("%v", pause))
				pauses[pause.Round(most/60)] = true
			}
			c.Assert(len(pauses) > 8, qt.IsTrue, qt.Commentf("%d instants", len(pauses)))
		})
	}
}

// TestOneSlowStreamIsNoSilentChain goes on waiting for a stream while others at its chain get events.
func TestOneSlowStreamIsNoSilentChain(t *testing.T) {
	c := qt.New(t)
	d := readyDesk()
	for range 12 {
		call, _ := d.arrive(0, "/draft/", "key")
		e := d.apply(200*time.Millisecond, dispatcher.Reported{Call: call, Outcome: dispatcher.Silent, ChainQuiet: 20 * time.Millisecond})
		_, isWait := e.(dispatcher.Wait)
		c.Assert(isWait, qt.IsTrue)
	}
}

// TestEveryRequestEndsOnce follows requests through random outcomes. A request that may not
// be repeated is never sent again once it may have run; one that may have run is never
// refused as not run; sends and repeats keep their bounds; one closing line is written.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := readyDesk()
		repeats, firsts := 0, 0
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			d.apply(at, dispatcher.Confirmed{AsOf: start.Add(at)})
			path := rapid.SampledFrom([]string{"/post/", "/view/", "/draft/", "/once/"}).Draw(t, "path")
			sends := follow(t, d, at, path)
			if sends > 0 {
				firsts++
				repeats += sends - 1
			}
		}
		if at < retryWindow && float64(repeats) > retryRatio*float64(firsts) {
			t.Fatalf("%d repeats of %d requests", repeats, firsts)
		}
	})
}

// tale is what one request has been through.
type tale struct {
	sends int
	// mayHaveRun says that an attempt that has ended may have run.
	mayHaveRun bool
	// isWaiting says that the attempt in hand is silent, isKept that another one is kept beside it.
	isWaiting bool
	isKept    bool
}

// sent takes in a send; a silent attempt that is left for good may have run, one that is kept may too.
func (x *tale) sent(t *rapid.T, e dispatcher.Send, path string) {
	if e.KeepsSilent != x.isWaiting {
		t.Fatalf("a silent attempt is not kept beside the next one")
	}
	x.mayHaveRun = x.mayHaveRun || (x.isKept && x.isWaiting)
	x.isKept = x.isKept || x.isWaiting
	if (x.mayHaveRun || x.isKept) && (path == "/post/" || path == "/once/") {
		t.Fatalf("%s sent again after it may have run", path)
	}
	x.sends++
}

func (x *tale) wentBack(t *rapid.T) {
	if !x.isKept && !x.isWaiting {
		t.Fatalf("went back to no attempt")
	}
	x.isKept = false
}

func (x *tale) came(outcome dispatcher.Outcome) {
	x.isWaiting = outcome == dispatcher.Silent
	if outcome != dispatcher.NotSent && outcome != dispatcher.NotRun && !x.isWaiting {
		x.mayHaveRun = true
	}
}

// follow plays one request to its end and returns the number of its sends.
func follow(t *rapid.T, d *desk, at time.Duration, path string) int {
	d.logs = nil
	call, effect := d.arrive(at, path, "key")
	var x tale
	for isOngoing(effect) {
		switch e := effect.(type) {
		case dispatcher.Send:
			x.sent(t, e, path)
		case dispatcher.GoBack:
			x.wentBack(t)
		case dispatcher.Probe:
			effect = d.apply(at, dispatcher.Probed{Call: call})
			continue
		}
		outcome := drawOutcome(t, effect)
		x.came(outcome)
		effect = d.apply(at, dispatcher.Reported{Call: call, Outcome: outcome, Status: 503, ChainQuiet: time.Second})
	}
	if (x.mayHaveRun || x.isKept) && status(effect) == 503 {
		t.Fatalf("%s refused as not run after it may have run", path)
	}
	if n := d.closingLines(); x.sends > 4 || n != 1 {
		t.Fatalf("%d sends, %d closing lines", x.sends, n)
	}
	return x.sends
}

// isOngoing reports whether an effect goes on with a request.
func isOngoing(effect messenger.Effect) bool {
	switch effect.(type) {
	case dispatcher.Send, dispatcher.Wait, dispatcher.GoBack, dispatcher.Probe:
		return true
	}
	return false
}

// drawOutcome draws how an attempt stands; what was sent once cannot turn out not sent.
func drawOutcome(t *rapid.T, effect messenger.Effect) dispatcher.Outcome {
	outcomes := []dispatcher.Outcome{
		dispatcher.Delivered, dispatcher.NotRun, dispatcher.Failed, dispatcher.Broken,
		dispatcher.Silent, dispatcher.Expired, dispatcher.CallerGone, dispatcher.NotSent,
	}
	if _, isSend := effect.(dispatcher.Send); !isSend {
		outcomes = outcomes[:len(outcomes)-1]
	}
	return rapid.SampledFrom(outcomes).Draw(t, "outcome")
}

func (d *desk) closingLines() int {
	n := 0
	for _, l := range d.logs {
		if l.Event == eventlogger.RequestEnded {
			n++
		}
	}
	return n
}

// TestQuotaIsTheLeastPartHeld allows no more repeats than the least part of the shared slack
// that the node held during a whole window, however much it holds now.
func TestQuotaIsTheLeastPartHeld(t *testing.T) {
	for _, row := range []struct {
		name  string
		parts map[time.Duration]int
		want  int
	}{
		{"held throughout", map[time.Duration]int{-2 * retryWindow: 5}, 5},
		{"held for less than a window", map[time.Duration]int{-retryWindow / 2: 5}, 0},
		{"less meanwhile", map[time.Duration]int{-2 * retryWindow: 9, -retryWindow / 2: 3, -retryWindow / 4: 9}, 3},
		{"lost", map[time.Duration]int{-2 * retryWindow: 9, -time.Second: 0}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			d := readied(deskWith(0))
			for _, at := range slices.Sorted(maps.Keys(row.parts)) {
				d.apply(at, dispatcher.BudgetShared{Repeats: row.parts[at]})
			}
			repeats := 0
			for range 20 {
				call, e := d.arrive(0, "/view/", "key")
				if _, ok := e.(dispatcher.Send); !ok {
					t.Fatalf("%T", e)
				}
				if _, ok := d.apply(0, dispatcher.Reported{Call: call, Outcome: dispatcher.Failed, Status: 500}).(dispatcher.Send); ok {
					repeats++
				}
			}
			c.Assert(repeats, qt.Equals, row.want)
		})
	}
}
