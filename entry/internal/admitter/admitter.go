// Package admitter decides which draft requests (requests for a chat completion) start, wait or are
// shed. Requests wait in a weighted fair queue over client accounts and priorities until the node's
// share of the engines' batches has capacity.
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
	// headroom is the number of drafts a node runs for each slot in its share of the engines'
	// batches.
	headroom = 2
	// reserveDivisor divides the draft limit; the result is the extra capacity for accounts that
	// are well below their share.
	reserveDivisor = 4
	// priorityBoost is added to the priority of such an account's drafts, so that their steps run
	// before those of every class.
	priorityBoost = configurer.MaxPriority + 1
	// minDraftLimit is the lowest draft limit, however few engines are known.
	minDraftLimit = 4
	// queueFactor is the number of requests that may wait for each draft that may run.
	queueFactor = 4
	// minQueueLimit is the lowest limit of waiting requests, unless queueFactor times maxDrafts is
	// lower. A node that has just started knows no engines yet.
	minQueueLimit = 256
	// maxQueueBytes limits the total size of the waiting prompts.
	maxQueueBytes = 16 << 20
	// maxCallsPerDraft limits the calls that wait for one draft.
	maxCallsPerDraft = 8
	// runningGrace is how long after its deadline a draft still counts as running if its end was
	// not reported.
	runningGrace = 2 * time.Second

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// jitterSteps is the number of different lengths of the random part of Retry-After.
	jitterSteps = 1024
)

// Problem codes of requests that are not admitted.
const (
	codeBusy        = "busy"
	codeLate        = "would_be_late"
	codeRateLimited = "rate_limited"
	codeCrashes     = "crashes_targets"
)

// Requested is a request for a draft that has not been admitted yet.
type Requested struct{ Request drafter.Request }

// Begin is the effect of sending an admitted request to its draft's shard.
type Begin struct{ Request drafter.Request }

// runningDraft is one admitted draft.
type runningDraft struct {
	account   identifier.AccountID
	startedAt time.Time
	expiresAt time.Time
	// priority is the priority of the request's class.
	priority int
}

// Admitter is the reducer for admission.
type Admitter struct {
	// maxDrafts limits the running drafts, regardless of the engines' capacity.
	maxDrafts  int
	batchSlots int
	nodes      int
	running    map[identifier.DraftID]runningDraft
	queue      *fairQueue
	estimator  *estimator
	accounts   map[identifier.AccountID]configurer.Account
	// rateUsedUntil holds, for each rate-limited account, the time up to which its requests have used
	// its rate. Each request advances it by the inverse of the rate, never beyond the present.
	rateUsedUntil map[identifier.AccountID]time.Time
}

// NewAdmitter returns an Admitter that runs at most maxDrafts drafts on this node.
func NewAdmitter(maxDrafts int) *Admitter {
	return &Admitter{
		maxDrafts: maxDrafts, nodes: 1, running: map[identifier.DraftID]runningDraft{}, queue: newFairQueue(), estimator: newEstimator(),
		accounts: map[identifier.AccountID]configurer.Account{}, rateUsedUntil: map[identifier.AccountID]time.Time{},
	}
}

// Apply applies one event and returns the effects to run.
func (a *Admitter) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return a.handleRequested(now, ev.Request)
	case drafter.Ended:
		return a.handleEnded(now, ev)
	case watcher.TargetsChanged:
		a.batchSlots = batchSlots(ev.Targets)
	case heartbeater.PeersChanged:
		a.nodes = 1 + countAlive(ev.Peers)
	case tailer.SettingsChanged:
		a.applySettings(ev.Settings)
	case isolator.PoisonConfirmed:
		return a.refusePoison(ev.Fingerprints)
	case messenger.Tick:
		return a.tick(now)
	}
	return nil
}

// batchSlots returns the total batch size of all engines that may be given work.
func batchSlots(targets []watcher.Target) int {
	n := 0
	for _, t := range targets {
		if t.Role == platformcaller.RoleEngine && t.State == watcher.StateUp {
			n += t.Status.BatchLimit
		}
	}
	return n
}

func countAlive(peers []heartbeater.Peer) int {
	n := 0
	for _, p := range peers {
		if p.State == heartbeater.StateAlive || p.State == heartbeater.StateSuspect {
			n++
		}
	}
	return n
}

func (a *Admitter) applySettings(s *configurer.Settings) {
	clear(a.accounts)
	for _, account := range s.Accounts {
		a.accounts[account.ID] = account
	}
}

// limit returns the number of drafts that may run on this node.
func (a *Admitter) limit() int {
	share := int(headroom * float64(a.batchSlots) / float64(a.nodes))
	return min(a.maxDrafts, max(minDraftLimit, share))
}

// queueLimit returns the number of requests that may wait on this node.
func (a *Admitter) queueLimit() int {
	return min(queueFactor*a.maxDrafts, max(minQueueLimit, queueFactor*a.limit()))
}

func (a *Admitter) handleRequested(now time.Time, ev drafter.Request) []messenger.Effect {
	if _, ok := a.running[ev.Draft]; ok {
		return []messenger.Effect{Begin{Request: ev}}
	}
	if w, ok := a.queue.waiting[ev.Draft]; ok {
		return a.join(w, ev)
	}
	if wait := a.rateLimitDelay(now, ev.Account); wait > 0 {
		return a.shed(ev, codeRateLimited, wait)
	}
	if a.isWellBelowShare(ev.Account) && len(a.running) < a.limit()+a.limit()/reserveDivisor {
		return []messenger.Effect{a.start(now, ev)}
	}
	expected := a.expectedWait(ev)
	if overdue := now.Add(expected + a.estimator.serviceTime(ev)).Sub(ev.Deadline); overdue > 0 && expected > 0 {
		return a.shed(ev, codeLate, overdue)
	}
	a.queue.push(ev, a.weight(ev))
	return append(a.admit(now), a.shedExcess()...)
}

// join adds a further call to a waiting draft.
func (a *Admitter) join(w *waiter, ev drafter.Request) []messenger.Effect {
	if len(w.calls) >= maxCallsPerDraft {
		return a.shed(ev, codeBusy, a.drainTime())
	}
	w.calls = append(w.calls, ev)
	return nil
}

// rateLimitDelay returns how long the account must wait for its next request. If it need not wait,
// the request is counted.
func (a *Admitter) rateLimitDelay(now time.Time, id identifier.AccountID) time.Duration {
	rate := a.accounts[id].RequestsPerSecond
	if rate == 0 {
		return 0
	}
	// The account may use up to one second's worth of requests in a burst.
	usedUntil := a.rateUsedUntil[id]
	if earliest := now.Add(-time.Second); usedUntil.Before(earliest) {
		usedUntil = earliest
	}
	next := usedUntil.Add(time.Second / time.Duration(rate))
	if next.After(now) {
		return next.Sub(now)
	}
	a.rateUsedUntil[id] = next
	return 0
}

// weight returns the weight of the request's flow: the account's weight times (priority + 1) squared.
// Waiting requests of a high priority start well before those of a low one, but starve none.
func (a *Admitter) weight(ev drafter.Request) float64 {
	priority := float64(1 + ev.Priority)
	return float64(a.accountWeight(ev.Account)) * priority * priority
}

// expectedWait returns the expected time until the request starts.
func (a *Admitter) expectedWait(ev drafter.Request) time.Duration {
	if len(a.running) < a.limit() {
		return 0
	}
	wait := a.estimator.waitTime(ev.Priority, 1+a.queue.countAhead(flowOf(ev)), maxRetryAfter)
	// Requests that arrive later may be served before this one.
	return time.Duration(waitMargin * float64(wait))
}

// drainTime returns the expected time until all waiting requests have started.
func (a *Admitter) drainTime() time.Duration {
	return a.estimator.drainTime(len(a.queue.waiting), maxRetryAfter)
}

// admit starts waiting requests while there is capacity.
func (a *Admitter) admit(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for len(a.running) < a.limit() {
		w, ok := a.queue.pop()
		if !ok {
			break
		}
		effects = append(effects, a.start(now, w.first()))
		for _, call := range w.calls[1:] {
			effects = append(effects, Begin{Request: call})
		}
	}
	return effects
}

// start starts a request's draft.
func (a *Admitter) start(now time.Time, ev drafter.Request) messenger.Effect {
	isRaised := a.isWellBelowShare(ev.Account)
	a.estimator.recordStart(ev.Priority)
	a.running[ev.Draft] = runningDraft{account: ev.Account, startedAt: now, expiresAt: ev.Deadline.Add(runningGrace), priority: ev.Priority}
	if isRaised {
		ev.Priority += priorityBoost
	}
	return Begin{Request: ev}
}

// isWellBelowShare reports whether the account uses less than a quarter of its share of the draft
// limit, by weight among the accounts with requests on this node. Such an account uses so little
// that it may be served first. An account that floods the node is far above its share.
func (a *Admitter) isWellBelowShare(id identifier.AccountID) bool {
	active := map[identifier.AccountID]bool{id: true}
	own := 0
	for _, r := range a.running {
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

// shedExcess sheds requests of the flow with the longest queue until the queue is within its
// limits.
func (a *Admitter) shedExcess() []messenger.Effect {
	var effects []messenger.Effect
	for len(a.queue.waiting) > a.queueLimit() || a.queue.bytes > maxQueueBytes {
		w := a.queue.newestOfLongestFlow()
		a.queue.remove(w)
		effects = append(effects, a.shedWaiter(w, codeBusy)...)
	}
	return effects
}

// refusePoison refuses waiting requests that are confirmed as poison. Those that arrive later do not get
// past the gatekeeper.
func (a *Admitter) refusePoison(fingerprints []string) []messenger.Effect {
	var effects []messenger.Effect
	for _, w := range a.queue.removePoison(fingerprints) {
		for _, call := range w.calls {
			p := responder.Problem{Code: codeCrashes, Message: "the request crashed the targets that ran it", Place: "admission"}
			effects = append(effects,
				messenger.Reply{Call: call.Call, Answer: drafter.End{Outcome: responder.Refused, Problem: p}},
				messenger.Log{Event: eventlogger.RequestShed, Subject: "request/" + string(call.Draft), Values: []any{"reason", codeCrashes, "class", call.Class}},
			)
		}
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

// shed replies that the request was not run and when to retry: after the wait plus up to half of
// it. The addition depends on the draft, so that callers do not all retry at the same time.
func (a *Admitter) shed(ev drafter.Request, code string, wait time.Duration) []messenger.Effect {
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	jitter := time.Duration(xxhash.Sum64String(string(ev.Draft)) % jitterSteps)
	p := responder.Problem{Code: code, Message: "the request was not started; retry after the time in Retry-After", Place: "admission"}
	return []messenger.Effect{
		messenger.Reply{Call: ev.Call, Answer: drafter.End{
			Outcome: responder.NotRun, Problem: p, RetryAfter: wait + wait/2*jitter/jitterSteps,
		}},
		messenger.Log{Event: eventlogger.RequestShed, Subject: "request/" + string(ev.Draft), Values: []any{"reason", code, "class", ev.Class}},
	}
}

func (a *Admitter) handleEnded(now time.Time, ev drafter.Ended) []messenger.Effect {
	if r, ok := a.running[ev.Draft]; ok {
		a.estimator.recordEnd(r.priority, now.Sub(r.startedAt), ev.Tokens)
		delete(a.running, ev.Draft)
	}
	return a.admit(now)
}

func (a *Admitter) tick(now time.Time) []messenger.Effect {
	a.estimator.closeWindow(now, len(a.running) >= a.limit())
	for id, r := range a.running {
		if now.After(r.expiresAt) {
			delete(a.running, id)
		}
	}
	var effects []messenger.Effect
	for _, w := range a.queue.removeLate(now, a.estimator.serviceTime) {
		effects = append(effects, a.shedWaiter(w, codeLate)...)
	}
	return append(effects, a.admit(now)...)
}
