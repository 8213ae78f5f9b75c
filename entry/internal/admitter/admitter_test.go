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

// limit is the number of drafts that the admitters of these tests let run.
const limit = 4

// reserved is the number of further drafts that may run of accounts well below their share.
const reserved = 1

var start = time.Unix(1_000_000, 0)

func request(n int, account string, priority, tokens int, deadline time.Time) drafter.Arrived {
	return drafter.Arrived{
		Call: identifier.CallID(n), Draft: identifier.DraftID(fmt.Sprintf("%s/%d", account, n)), Account: identifier.AccountID(account),
		Priority: priority, MaxTokens: tokens, Deadline: deadline, Fingerprint: fmt.Sprint(account, n),
	}
}

func weights(accounts ...configurer.Account) tailer.SettingsChanged {
	s := &configurer.Settings{Accounts: map[string]configurer.Account{}}
	for _, a := range accounts {
		s.Accounts[string(a.ID)] = a
	}
	return tailer.SettingsChanged{Settings: s}
}

// fleet follows what an admitter decides.
type fleet struct {
	t       *rapid.T
	a       *admitter.Admitter
	began   []drafter.Arrived
	running map[identifier.DraftID]drafter.Arrived
	answers map[identifier.CallID]int
	ends    map[identifier.CallID]drafter.End
}

func newFleet(t *rapid.T) *fleet {
	return &fleet{
		t: t, a: admitter.NewAdmitter(limit), running: map[identifier.DraftID]drafter.Arrived{},
		answers: map[identifier.CallID]int{}, ends: map[identifier.CallID]drafter.End{},
	}
}

func (f *fleet) apply(now time.Time, event messenger.Event) {
	for _, effect := range f.a.Apply(now, event) {
		switch e := effect.(type) {
		case admitter.Begin:
			f.answers[e.Arrived.Call]++
			f.began = append(f.began, e.Arrived)
			f.running[e.Arrived.Draft] = e.Arrived
		case messenger.Reply:
			f.answers[e.Call]++
			f.ends[e.Call], _ = e.Answer.(drafter.End)
		}
	}
	if f.t != nil && len(f.running) > limit+reserved {
		f.t.Fatalf("%d drafts run, more than %d", len(f.running), limit+reserved)
	}
}

// endFirst ends the draft that began first of those that run.
func (f *fleet) endFirst(now time.Time) {
	for _, a := range f.began {
		if _, ok := f.running[a.Draft]; ok {
			delete(f.running, a.Draft)
			f.apply(now, drafter.Ended{Draft: a.Draft, Account: a.Account, Outcome: responder.Delivered, Tokens: a.MaxTokens})
			return
		}
	}
}

// TestEachRequestIsAnsweredOnce checks over random arrivals, ends and pauses that every request
// begins once or is answered once, never both; that a shed one is not run and names a time to
// come back; that the queue is bounded; and that nothing waits beyond its deadline.
func TestEachRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := newFleet(t), start
		f.apply(now, weights(configurer.Account{ID: "large", Weight: 5}, configurer.Account{ID: "limited", Weight: 1, RequestsPerSecond: 2}))
		requests := map[identifier.CallID]drafter.Arrived{}
		for n := range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				f.endFirst(now)
			} else {
				account := rapid.SampledFrom([]string{"large", "small", "limited"}).Draw(t, "account")
				r := request(n, account, rapid.IntRange(0, 9).Draw(t, "priority"), rapid.IntRange(1, 64).Draw(t, "tokens"),
					now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline_s"))*time.Second))
				requests[r.Call] = r
				f.apply(now, admitter.Requested{Arrived: r})
			}
			f.apply(now, messenger.Tick{})
			f.checkWaiting(now, requests)
		}
		now = now.Add(time.Minute)
		f.apply(now, messenger.Tick{})
		f.checkAnswers(requests)
	})
}

// checkWaiting checks that few requests wait, and none beyond its deadline.
func (f *fleet) checkWaiting(now time.Time, requests map[identifier.CallID]drafter.Arrived) {
	waiting := 0
	for call, r := range requests {
		if f.answers[call] > 0 {
			continue
		}
		waiting++
		if now.After(r.Deadline) {
			f.t.Fatalf("request %d still waits after its deadline", call)
		}
	}
	if waiting > 4*limit {
		f.t.Fatalf("%d requests wait", waiting)
	}
}

// checkAnswers checks that each request has one answer, and that a shed one is not run and names a time.
func (f *fleet) checkAnswers(requests map[identifier.CallID]drafter.Arrived) {
	for call := range requests {
		if f.answers[call] != 1 {
			f.t.Fatalf("request %d was answered %d times", call, f.answers[call])
		}
	}
	for call, end := range f.ends {
		if end.Outcome != responder.NotRun || end.RetryAfter < time.Second {
			f.t.Fatalf("request %d was shed with %+v", call, end)
		}
	}
}

// backlog keeps the accounts' queues filled with four requests each.
func (f *fleet) backlog(now time.Time, requests map[identifier.CallID]identifier.AccountID, tokens func() int, accounts ...string) {
	waiting := map[identifier.AccountID]int{}
	for call, account := range requests {
		if f.answers[call] == 0 {
			waiting[account]++
		}
	}
	for _, account := range accounts {
		for id := identifier.AccountID(account); waiting[id] < 4; waiting[id]++ {
			r := request(len(requests)+1, account, 1, tokens(), now.Add(time.Hour))
			requests[r.Call] = id
			f.apply(now, admitter.Requested{Arrived: r})
		}
	}
}

// TestBackloggedAccountsShareByWeight keeps two accounts backlogged and checks that the tokens
// each is let begin, for its weight, differ by no more than the largest request of each.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 32
		heavy := rapid.IntRange(1, 10).Draw(t, "weight")
		f, now := newFleet(t), start
		f.apply(now, weights(configurer.Account{ID: "a", Weight: heavy}, configurer.Account{ID: "b", Weight: 1}))
		requests := map[identifier.CallID]identifier.AccountID{}
		draw := func() int { return rapid.IntRange(1, most).Draw(t, "tokens") }
		f.backlog(now, requests, draw, "a", "b")
		counted := len(f.began)
		for range 200 {
			f.endFirst(now)
			f.backlog(now, requests, draw, "a", "b")
		}
		tokens := map[identifier.AccountID]float64{}
		for _, b := range f.began[counted:] {
			tokens[b.Account] += float64(b.MaxTokens)
		}
		shareA, shareB := tokens["a"]/float64(heavy), tokens["b"]
		if diff := shareA - shareB; diff > 2*most || diff < -2*most {
			t.Fatalf("tokens for weight: a %v, b %v", shareA, shareB)
		}
	})
}

// TestFloodDoesNotCrowdOutASmallAccount fills node and queue from one account. Another's
// first request begins at once, above the flood's steps; its second waits for a place, and
// gets it before the flood is through.
func TestFloodDoesNotCrowdOutASmallAccount(t *testing.T) {
	c := qt.New(t)
	f, now := newFleet(nil), start
	for n := range 100 {
		f.apply(now, admitter.Requested{Arrived: request(n, "large", 9, 8, now.Add(time.Hour))})
	}
	f.apply(now, admitter.Requested{Arrived: request(1000, "small", 0, 8, now.Add(time.Hour))})
	c.Assert(f.running["small/1000"].Priority > 9, qt.IsTrue)
	f.apply(now, admitter.Requested{Arrived: request(1001, "small", 0, 8, now.Add(time.Hour))})
	c.Assert(f.answers[1001], qt.Equals, 0, qt.Commentf("begun or shed: %+v", f.ends[1001]))
	// The class weighs a hundredth of the large account's; the queue holds 16.
	for range 4 * limit {
		f.endFirst(now)
	}
	c.Assert(f.answers[1001], qt.Equals, 1)
	c.Assert(f.ends[1001], qt.Equals, drafter.End{})
}

// TestWorkThatCannotBeInTimeIsShedAtOnce teaches the admitter a drain rate and a time per token.
func TestWorkThatCannotBeInTimeIsShedAtOnce(t *testing.T) {
	c := qt.New(t)
	f, now := newFleet(nil), start
	for n := range 20 {
		f.apply(now, admitter.Requested{Arrived: request(n, "a", 1, 10, now.Add(time.Hour))})
	}
	// One draft ends in each second, each after at least a second for 10 tokens.
	for range 12 {
		now = now.Add(time.Second)
		f.endFirst(now)
		f.apply(now, messenger.Tick{})
	}
	f.apply(now, admitter.Requested{Arrived: request(100, "a", 1, 10, now.Add(2*time.Second))})
	c.Assert(f.answers[100], qt.Equals, 1)
	c.Assert(f.ends[100].Problem.Code, qt.Equals, "would_be_late")
	c.Assert(f.ends[100].RetryAfter >= time.Second, qt.IsTrue)
}

// TestConvictedRequestIsRefused refuses what crashed targets, for good: no time to come back.
func TestConvictedRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	f, now := newFleet(nil), start
	r := request(1, "a", 1, 10, now.Add(time.Hour))
	f.apply(now, isolator.PoisonConfirmed{Fingerprints: []string{r.Fingerprint}})
	f.apply(now, admitter.Requested{Arrived: r})
	c.Assert(f.ends[1].Outcome, qt.Equals, responder.Refused)
	c.Assert(f.ends[1].Problem.Code, qt.Equals, "crashes_targets")
	c.Assert(f.ends[1].RetryAfter, qt.Equals, time.Duration(0))
}

// TestFreshNodeShedsNothing sends what two hundred callers ask of a node that has not heard of
// its engines yet, and lets it know them.
func TestFreshNodeShedsNothing(t *testing.T) {
	c := qt.New(t)
	f, now := newFleet(nil), start
	f.a = admitter.NewAdmitter(1000)
	for n := range 200 {
		f.apply(now, admitter.Requested{Arrived: request(n, "a", 1, 10, now.Add(time.Minute))})
	}
	c.Assert(f.ends, qt.HasLen, 0)
	engine := watcher.Target{Role: platformcaller.RoleEngine, State: watcher.StateUp, Status: enginecaller.Status{BatchLimit: 100}}
	f.apply(now, watcher.TargetsChanged{Targets: []watcher.Target{engine}})
	f.apply(now, messenger.Tick{})
	c.Assert(f.running, qt.HasLen, 200)
}
