package admitter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

// draftLimit is the number of drafts that the admitters of these tests may run.
const draftLimit = 4

// reservedDrafts is the extra capacity for accounts well below their share.
const reservedDrafts = 1

var start = time.Unix(1_000_000, 0)

func request(n int, account string, priority, tokens int, deadline time.Time) drafter.Request {
	return drafter.Request{
		Call: identifier.CallID(n), Draft: identifier.DraftID(fmt.Sprintf("%s/%d", account, n)), Account: identifier.AccountID(account),
		Priority: priority, MaxTokens: tokens, Deadline: deadline, Fingerprint: fmt.Sprint(account, n),
	}
}

func settingsChanged(accounts ...configurer.Account) tailer.SettingsChanged {
	s := &configurer.Settings{Accounts: map[string]configurer.Account{}}
	for _, a := range accounts {
		s.Accounts[string(a.ID)] = a
	}
	return tailer.SettingsChanged{Settings: s}
}

// harness records the decisions of an admitter.
type harness struct {
	// t is nil outside property tests.
	t        *rapid.T
	admitter *admitter.Admitter
	started  []drafter.Request
	running  map[identifier.DraftID]drafter.Request
	// answers counts the starts and replies of each call; ends holds the replies.
	answers map[identifier.CallID]int
	ends    map[identifier.CallID]drafter.End
}

func newHarness(t *rapid.T) *harness {
	return &harness{
		t: t, admitter: admitter.NewAdmitter(draftLimit), running: map[identifier.DraftID]drafter.Request{},
		answers: map[identifier.CallID]int{}, ends: map[identifier.CallID]drafter.End{},
	}
}

func (h *harness) apply(now time.Time, event messenger.Event) {
	for _, effect := range h.admitter.Apply(now, event) {
		switch e := effect.(type) {
		case admitter.Begin:
			h.answers[e.Request.Call]++
			h.started = append(h.started, e.Request)
			h.running[e.Request.Draft] = e.Request
		case messenger.Reply:
			h.answers[e.Call]++
			h.ends[e.Call], _ = e.Answer.(drafter.End)
		}
	}
	if h.t != nil && len(h.running) > draftLimit+reservedDrafts {
		h.t.Fatalf("%d drafts run, want at most %d", len(h.running), draftLimit+reservedDrafts)
	}
}

// endOldest ends the running draft that started first.
func (h *harness) endOldest(now time.Time) {
	for _, r := range h.started {
		if _, ok := h.running[r.Draft]; ok {
			delete(h.running, r.Draft)
			h.apply(now, drafter.Ended{Draft: r.Draft, Account: r.Account, Outcome: responder.Delivered, Tokens: r.MaxTokens})
			return
		}
	}
}

// TestEachRequestIsAnsweredOnce applies random requests, ends and pauses. Every request must either
// start once or be answered once. A shed request must be reported as not run, with a time to retry.
// The queue must stay bounded, and no request may wait beyond its deadline.
func TestEachRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := newHarness(t), start
		h.apply(now, settingsChanged(configurer.Account{ID: "large", Weight: 5}, configurer.Account{ID: "limited", Weight: 1, RequestsPerSecond: 2}))
		requests := map[identifier.CallID]drafter.Request{}
		for n := range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				h.endOldest(now)
			} else {
				account := rapid.SampledFrom([]string{"large", "small", "limited"}).Draw(t, "account")
				r := request(n, account, rapid.IntRange(0, 9).Draw(t, "priority"), rapid.IntRange(1, 64).Draw(t, "tokens"),
					now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline_s"))*time.Second))
				requests[r.Call] = r
				h.apply(now, admitter.Requested{Request: r})
			}
			h.apply(now, messenger.Tick{})
			h.checkWaiting(now, requests)
		}
		now = now.Add(time.Minute)
		h.apply(now, messenger.Tick{})
		h.checkAnswers(requests)
	})
}

// checkWaiting checks that the queue is within its limit and that no request waits beyond its
// deadline.
func (h *harness) checkWaiting(now time.Time, requests map[identifier.CallID]drafter.Request) {
	waiting := 0
	for call, r := range requests {
		if h.answers[call] > 0 {
			continue
		}
		waiting++
		if now.After(r.Deadline) {
			h.t.Fatalf("request %d still waits after its deadline", call)
		}
	}
	if waiting > 4*draftLimit {
		h.t.Fatalf("%d requests wait, want at most 16", waiting)
	}
}

// checkAnswers checks that each request has one answer, and that a shed one was not run and has a
// time to retry.
func (h *harness) checkAnswers(requests map[identifier.CallID]drafter.Request) {
	for call := range requests {
		if h.answers[call] != 1 {
			h.t.Fatalf("request %d was answered %d times", call, h.answers[call])
		}
	}
	for call, end := range h.ends {
		if end.Outcome != responder.NotRun || end.RetryAfter < time.Second {
			h.t.Fatalf("request %d was shed with %+v", call, end)
		}
	}
}

// fillQueues keeps four requests of each account waiting.
func (h *harness) fillQueues(now time.Time, requests map[identifier.CallID]identifier.AccountID, tokens func() int, accounts ...string) {
	waiting := map[identifier.AccountID]int{}
	for call, account := range requests {
		if h.answers[call] == 0 {
			waiting[account]++
		}
	}
	for _, account := range accounts {
		for id := identifier.AccountID(account); waiting[id] < 4; waiting[id]++ {
			r := request(len(requests)+1, account, 1, tokens(), now.Add(time.Hour))
			requests[r.Call] = id
			h.apply(now, admitter.Requested{Request: r})
		}
	}
}

// TestBackloggedAccountsShareByWeight keeps two accounts backlogged and checks that the tokens
// started for each, divided by its weight, differ by no more than the largest request of each.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 32
		heavy := rapid.IntRange(1, 10).Draw(t, "weight")
		h, now := newHarness(t), start
		h.apply(now, settingsChanged(configurer.Account{ID: "a", Weight: heavy}, configurer.Account{ID: "b", Weight: 1}))
		requests := map[identifier.CallID]identifier.AccountID{}
		randomTokens := func() int { return rapid.IntRange(1, maxTokens).Draw(t, "tokens") }
		h.fillQueues(now, requests, randomTokens, "a", "b")
		firstCounted := len(h.started)
		for range 200 {
			h.endOldest(now)
			h.fillQueues(now, requests, randomTokens, "a", "b")
		}
		tokens := map[identifier.AccountID]float64{}
		for _, b := range h.started[firstCounted:] {
			tokens[b.Account] += float64(b.MaxTokens)
		}
		shareA, shareB := tokens["a"]/float64(heavy), tokens["b"]
		if diff := shareA - shareB; diff > 2*maxTokens || diff < -2*maxTokens {
			t.Fatalf("tokens divided by weight: account a %v, account b %v", shareA, shareB)
		}
	})
}

// TestSmallAccountIsServedDuringFlood fills the node and its queue from one account. The first
// request of another account must start at once with a priority above the flood's; its second
// request waits and must start before the flood has drained.
func TestSmallAccountIsServedDuringFlood(t *testing.T) {
	c := qt.New(t)
	h, now := newHarness(nil), start
	for n := range 100 {
		h.apply(now, admitter.Requested{Request: request(n, "large", 9, 8, now.Add(time.Hour))})
	}
	h.apply(now, admitter.Requested{Request: request(1000, "small", 0, 8, now.Add(time.Hour))})
	c.Assert(h.running["small/1000"].Priority > 9, qt.IsTrue)
	h.apply(now, admitter.Requested{Request: request(1001, "small", 0, 8, now.Add(time.Hour))})
	c.Assert(h.answers[1001], qt.Equals, 0, qt.Commentf("started or shed: %+v", h.ends[1001]))
	// The small account's flow has a hundredth of the weight of the large one's; the queue holds 16
	// requests.
	for range 4 * draftLimit {
		h.endOldest(now)
	}
	c.Assert(h.answers[1001], qt.Equals, 1)
	c.Assert(h.ends[1001], qt.Equals, drafter.End{})
}

// TestRequestThatWouldBeLateIsShed lets the admitter learn a drain rate and a time per token, and
// sends a request that cannot meet its deadline.
func TestRequestThatWouldBeLateIsShed(t *testing.T) {
	c := qt.New(t)
	h, now := newHarness(nil), start
	for n := range 20 {
		h.apply(now, admitter.Requested{Request: request(n, "a", 1, 10, now.Add(time.Hour))})
	}
	// One draft ends each second, after at least one second for 10 tokens.
	for range 12 {
		now = now.Add(time.Second)
		h.endOldest(now)
		h.apply(now, messenger.Tick{})
	}
	h.apply(now, admitter.Requested{Request: request(100, "a", 1, 10, now.Add(2*time.Second))})
	c.Assert(h.answers[100], qt.Equals, 1)
	c.Assert(h.ends[100].Problem.Code, qt.Equals, "would_be_late")
	c.Assert(h.ends[100].RetryAfter >= time.Second, qt.IsTrue)
}

// TestWaitingCopyOfPoisonIsRefused guards against a copy of a poison request that crashes one more target because it
// waited for admission while the request was confirmed. It is refused without a time to retry, others wait on.
func TestWaitingCopyOfPoisonIsRefused(t *testing.T) {
	c := qt.New(t)
	h, now := newHarness(nil), start
	for n := range draftLimit + reservedDrafts {
		h.apply(now, admitter.Requested{Request: request(n, "a", 1, 10, now.Add(time.Hour))})
	}
	poison, other := request(100, "a", 1, 10, now.Add(time.Hour)), request(101, "a", 1, 10, now.Add(time.Hour))
	h.apply(now, admitter.Requested{Request: poison})
	h.apply(now, admitter.Requested{Request: other})
	h.apply(now, isolator.PoisonConfirmed{Fingerprints: []string{poison.IsolationKey()}})
	c.Assert(h.ends[100].Outcome, qt.Equals, responder.Refused)
	c.Assert(h.ends[100].Problem.Code, qt.Equals, "crashes_targets")
	c.Assert(h.ends[100].RetryAfter, qt.Equals, time.Duration(0))
	c.Assert(h.answers[101], qt.Equals, 0)
	for range draftLimit + 2 {
		h.endOldest(now)
		h.apply(now, messenger.Tick{})
	}
	c.Assert(h.answers[100], qt.Equals, 1)
	c.Assert(h.answers[101], qt.Equals, 1)
}

// TestNewNodeShedsNothing sends the requests of 200 callers to a node that does not know its
// engines yet. None may be shed, and all must start once the engines are known.
func TestNewNodeShedsNothing(t *testing.T) {
	c := qt.New(t)
	h, now := newHarness(nil), start
	h.admitter = admitter.NewAdmitter(1000)
	for n := range 200 {
		h.apply(now, admitter.Requested{Request: request(n, "a", 1, 10, now.Add(time.Minute))})
	}
	c.Assert(h.ends, qt.HasLen, 0)
	engine := watcher.Target{Role: platformcaller.RoleEngine, State: watcher.StateUp, Status: enginecaller.Status{BatchLimit: 100}}
	h.apply(now, watcher.TargetsChanged{Targets: []watcher.Target{engine}})
	h.apply(now, messenger.Tick{})
	c.Assert(h.running, qt.HasLen, 200)
}
