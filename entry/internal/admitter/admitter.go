// Package admitter decides which requests for drafts begin, which wait and which are
// shed: a weighted fair queue over the classes of the client accounts, before as many
// drafts as the node's part of the engines' batches holds.
package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// headroom is the number of drafts a node lets run for each place in its part of the engines' batches.
	headroom = 2
	// reserve divides the limit into the places beyond it that only accounts well below their share may take.
	reserve = 4
	// raisedPriority lifts the steps of such an account above those of every class.
	raisedPriority = configurer.MostPriority + 1
	// leastLimit is the least number of drafts that may run, however few engines are known.
	leastLimit = 4
	// queueFactor is the number of requests that may wait for each draft that may run.
	queueFactor = 4
	// leastQueue is the least number of requests that may wait, unless the node's own limit
	// on drafts is far lower: a node that has just started knows no engine.
	leastQueue = 256
	// queueBytes bounds the prompts that wait.
	queueBytes = 16 << 20
	// callsPerDraft bounds the callers that wait for one draft.
	callsPerDraft = 8
	// openGrace is how long after its deadline a draft that did not say that it ended is still counted.
	openGrace = 2 * time.Second

	leastRetryAfter = time.Second
	mostRetryAfter  = 30 * time.Second
	jitterSteps     = 1024
)

// Codes of requests that are not admitted.
const (
	codeBusy        = "busy"
	codeLate        = "would_be_late"
	codeRateLimited = "rate_limited"
	codeCrashes     = "crashes_targets"
)

// Requested is a request for a draft that has not been admitted.
type Requested struct{ Arrived drafter.Arrived }

// Begin is the effect of handing an admitted request to its draft's shard.
type Begin struct{ Arrived drafter.Arrived }

// running is one draft that was let in.
type running struct {
	account identifier.AccountID
	began   time.Time
	dropAt  time.Time
	// priority is that of the request's class.
	priority int
}

// Admitter is the sub-reducer of admission.
type Admitter struct {
	// most bounds the drafts that run, whatever the engines hold.
	most      int
	places    int
	nodes     int
	open      map[identifier.DraftID]running
	queue     *fairQueue
	estimator *estimator
	accounts  map[identifier.AccountID]configurer.Account
	// allowedAt holds the instant of each limited account's next request.
	allowedAt map[identifier.AccountID]time.Time
	convicted map[string]bool
}

// NewAdmitter returns an admitter that lets at most most drafts run at this node.
func NewAdmitter(most int) *Admitter {
	return &Admitter{
		most: most, nodes: 1, open: map[identifier.DraftID]running{}, queue: newFairQueue(), estimator: newEstimator(),
		accounts: map[identifier.AccountID]configurer.Account{}, allowedAt: map[identifier.AccountID]time.Time{},
		convicted: map[string]bool{},
	}
}

// Apply takes one event and returns what to do.
func (a *Admitter) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return a.requested(now, ev.Arrived)
	case drafter.Ended:
		return a.ended(now, ev)
	case watcher.TargetsChanged:
		a.places = places(ev.Targets)
	case heartbeater.PeersChanged:
		a.nodes = 1 + alive(ev.Peers)
	case tailer.SettingsChanged:
		a.settings(ev.Settings)
	case isolator.PoisonConfirmed:
		for _, f := range ev.Fingerprints {
			a.convicted[f] = true
		}
	case messenger.Tick:
		return a.tick(now)
	}
	return nil
}

// places counts the steps that all engines which may get work hold in their batches.
func places(targets []watcher.Target) int {
	n := 0
	for _, t := range targets {
		if t.Role == platformcaller.RoleEngine && t.State == watcher.StateUp {
			n += t.Status.BatchLimit
		}
	}
	return n
}

func alive(peers []heartbeater.Peer) int {
	n := 0
	for _, p := range peers {
		if p.State == heartbeater.StateAlive || p.State == heartbeater.StateSuspect {
			n++
		}
	}
	return n
}

func (a *Admitter) settings(s *configurer.Settings) {
	clear(a.accounts)
	for _, account := range s.Accounts {
		a.accounts[account.ID] = account
	}
}

// limit is the number of drafts that may run at this node.
func (a *Admitter) limit() int {
	share := int(headroom * float64(a.places) / float64(a.nodes))
	return min(a.most, max(leastLimit, share))
}

// queueLimit is the number of requests that may wait at this node.
func (a *Admitter) queueLimit() int {
	return min(queueFactor*a.most, max(leastQueue, queueFactor*a.limit()))
}

func (a *Admitter) requested(now time.Time, ev drafter.Arrived) []messenger.Effect {
	if a.convicted[ev.Fingerprint] {
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: drafter.End{Outcome: responder.Refused, Problem: responder.Problem{
			Code: codeCrashes, Message: "the request crashed the targets that ran it", Place: "admission",
		}}}}
	}
	if _, ok := a.open[ev.Draft]; ok {
		return []messenger.Effect{Begin{Arrived: ev}}
	}
	if w, ok := a.queue.waiting[ev.Draft]; ok {
		return a.join(w, ev)
	}
	if wait := a.overRate(now, ev.Account); wait > 0 {
		return a.shed(ev, codeRateLimited, wait)
	}
	if a.isWellBelowShare(ev.Account) && len(a.open) < a.limit()+a.limit()/reserve {
		return []messenger.Effect{a.begin(now, ev)}
	}
	expected := a.expectedWait(ev)
	if overdue := now.Add(expected + a.estimator.service(ev)).Sub(ev.Deadline); overdue > 0 && expected > 0 {
		return a.shed(ev, codeLate, overdue)
	}
	a.queue.push(ev, a.weight(ev))
	return append(a.admit(now), a.trim()...)
}

// join lets a further call wait with the draft's first.
func (a *Admitter) join(w *waiter, ev drafter.Arrived) []messenger.Effect {
	if len(w.calls) >= callsPerDraft {
		return a.shed(ev, codeBusy, a.drainTime())
	}
	w.calls = append(w.calls, ev)
	return nil
}

// overRate returns how long the account must wait for its next request, and counts this one when that is not at all.
func (a *Admitter) overRate(now time.Time, id identifier.AccountID) time.Duration {
	rate := a.accounts[id].RequestsPerSecond
	if rate == 0 {
		return 0
	}
	// The account may use up to a second's requests at once.
	allowed := a.allowedAt[id]
	if earliest := now.Add(-time.Second); allowed.Before(earliest) {
		allowed = earliest
	}
	next := allowed.Add(time.Second / time.Duration(rate))
	if next.After(now) {
		return next.Sub(now)
	}
	a.allowedAt[id] = next
	return 0
}

// weight is the flow's share: the account's, times the square of one more than the class's
// priority, so that waiting counter classes come well before bulk ones and starve none.
func (a *Admitter) weight(ev drafter.Arrived) float64 {
	priority := float64(1 + ev.Priority)
	return float64(a.accountWeight(ev.Account)) * priority * priority
}

// expectedWait is the expected time until the request begins.
func (a *Admitter) expectedWait(ev drafter.Arrived) time.Duration {
	if len(a.open) < a.limit() {
		return 0
	}
	wait := a.estimator.wait(ev.Priority, 1+a.queue.ahead(flowOf(ev)), mostRetryAfter)
	// Requests that come later may overtake this one.
	return time.Duration(margin * float64(wait))
}

// drainTime is the expected time until all that waits has begun.
func (a *Admitter) drainTime() time.Duration {
	return a.estimator.waitForAll(len(a.queue.waiting), mostRetryAfter)
}

// admit begins waiting requests as long as there are places.
func (a *Admitter) admit(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for len(a.open) < a.limit() {
		w, ok := a.queue.pop()
		if !ok {
			break
		}
		effects = append(effects, a.begin(now, w.first()))
		for _, call := range w.calls[1:] {
			effects = append(effects, Begin{Arrived: call})
		}
	}
	return effects
}

// begin lets a request's draft run.
func (a *Admitter) begin(now time.Time, ev drafter.Arrived) messenger.Effect {
	isRaised := a.isWellBelowShare(ev.Account)
	a.estimator.began(ev.Priority)
	a.open[ev.Draft] = running{account: ev.Account, began: now, dropAt: ev.Deadline.Add(openGrace), priority: ev.Priority}
	if isRaised {
		ev.Priority += raisedPriority
	}
	return Begin{Arrived: ev}
}

// isWellBelowShare reports whether the account has less than a quarter of its share of the places,
// among the accounts that have requests here, by weight. What such accounts run is so little
// that it may go first; an account that floods the node gets far beyond.
func (a *Admitter) isWellBelowShare(id identifier.AccountID) bool {
	active := map[identifier.AccountID]bool{id: true}
	own := 0
	for _, r := range a.open {
		active[r.account] = true
		if r.account == id {
			own++
		}
	}
	for _, w := range a.queue.waiting {
		active[w.flow.account] = true
	}
	weights := 0
	for other := range active {
		weights += a.accountWeight(other)
	}
	return len(active) > 1 && 4*own*weights < a.limit()*a.accountWeight(id)
}

func (a *Admitter) accountWeight(id identifier.AccountID) int {
	return max(configurer.DefaultWeight, a.accounts[id].Weight)
}

// trim sheds from the flow with the most waiting until the queue is within its bounds.
func (a *Admitter) trim() []messenger.Effect {
	var effects []messenger.Effect
	for len(a.queue.waiting) > a.queueLimit() || a.queue.bytes > queueBytes {
		w := a.queue.longest()
		a.queue.remove(w)
		effects = append(effects, a.shedWaiter(w, codeBusy)...)
	}
	return effects
}

func (a *Admitter) shedWaiter(w *waiter, code string) []messenger.Effect {
	var effects []messenger.Effect
	for _, call := range w.calls {
		effects = append(effects, a.shed(call, code, a.drainTime())...)
	}
	return effects
}

// shed answers at once that the request was not run, and when to come back: after the wait,
// lengthened by up to a half that depends on the draft, so that callers don't all come back together.
func (a *Admitter) shed(ev drafter.Arrived, code string, wait time.Duration) []messenger.Effect {
	wait = min(mostRetryAfter, max(leastRetryAfter, wait))
	jitter := time.Duration(xxhash.Sum64String(string(ev.Draft)) % jitterSteps)
	p := responder.Problem{Code: code, Message: "the request was not begun; come back after Retry-After", Place: "admission"}
	return []messenger.Effect{
		messenger.Reply{Call: ev.Call, Answer: drafter.End{
			Outcome: responder.NotRun, Problem: p, RetryAfter: wait + wait/2*jitter/jitterSteps,
		}},
		messenger.Log{Event: eventlogger.RequestShed, Subject: "request/" + string(ev.Draft), Values: []any{"reason", code, "class", ev.Class}},
	}
}

func (a *Admitter) ended(now time.Time, ev drafter.Ended) []messenger.Effect {
	if r, ok := a.open[ev.Draft]; ok {
		a.estimator.ended(r.priority, now.Sub(r.began), ev.Tokens)
		delete(a.open, ev.Draft)
	}
	return a.admit(now)
}

func (a *Admitter) tick(now time.Time) []messenger.Effect {
	a.estimator.turn(now, len(a.open) >= a.limit())
	for id, r := range a.open {
		if now.After(r.dropAt) {
			delete(a.open, id)
		}
	}
	var effects []messenger.Effect
	for _, w := range a.queue.late(now, a.estimator.service) {
		effects = append(effects, a.shedWaiter(w, codeLate)...)
	}
	return append(effects, a.admit(now)...)
}
