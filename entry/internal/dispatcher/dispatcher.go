package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/announcementtracker"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/budgeter"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/continuer"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/fingerprinter"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/pathtracker"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
	"fuchsiabridge.example/entry/internal/shedder"
	"fuchsiabridge.example/entry/internal/trier"
	"fuchsiabridge.example/entry/internal/weigher"
	"fuchsiabridge.example/entry/internal/workestimator"
)

const (
	// freshnessFraction is the fraction of the revocation limit for which a confirmed
	// configuration is trusted.
	freshnessFraction = 0.85
	// streamIdleTimeout is how long a stream may deliver no events before its chain is checked.
	streamIdleTimeout = 70 * time.Millisecond
	// stallCheckInterval is the time between two checks of a stalled chain.
	stallCheckInterval = 25 * time.Millisecond
	// stallQuorum is how many of the node's requests must be open at the first target of a stalled
	// chain for them to leave the chain before the target at fault is known.
	stallQuorum = 3
	// stalledChainBackoff is how long a stalled chain is avoided: by then a probe has normally
	// located the target at fault.
	stalledChainBackoff = 600 * time.Millisecond
	// fullTargetBackoff is how long a target without free capacity is avoided.
	fullTargetBackoff = 250 * time.Millisecond
	// plainTimeoutFraction is the fraction of the route's latency objective after which a plain
	// request that may be retried is sent to another target. A plain service is one without layers.
	plainTimeoutFraction = 0.5
	// maxAttempts limits all attempts of one request. The route's limit counts only attempts
	// that may have run.
	maxAttempts = 4
	// unreadyRetryAfter is the Retry-After delay while the node has no configuration, or none
	// that is recent enough to deny a request.
	unreadyRetryAfter = time.Second
	// stoppingRetryAfter is the Retry-After delay of a node that is shutting down: another node
	// accepts the request.
	stoppingRetryAfter = 100 * time.Millisecond
	// defaultTimeout applies to the requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// Config holds the settings of a Dispatcher.
type Config struct {
	DataCentre identifier.DataCentre
	// RevocationLimit is how long a key may still be accepted after it was revoked; 0 means no limit.
	RevocationLimit time.Duration
	// ChangeLimit is the time within which an accepted configuration must be in force; 0 means no limit.
	ChangeLimit time.Duration
	// RetryRatio limits the retries of a service to a share of its requests in RetryWindow. The
	// retry quota allows further ones.
	RetryRatio  float64
	RetryWindow time.Duration
	// HasPeers says that there may be other nodes that take requests whose targets this node does not reach.
	HasPeers bool
	// LoadInterval is the interval at which reports of targets' load are requested. Without them (0) no request is shed.
	LoadInterval time.Duration
}

// request is a request in progress.
type request struct {
	id       identifier.RequestID
	route    *describer.Route
	service  identifier.ServiceID
	account  identifier.AccountID
	arrived  time.Time
	deadline time.Time
	// key identifies the request if it comes again.
	key fingerprinter.Key
	// size is what the request says of its prompt and its answer.
	size workestimator.Size
	// seed determines the jitter of the Retry-After delay.
	seed uint64
	// attempts counts all attempts, executions only those that may have run.
	attempts   int
	executions int
	// holdUntil is when the request is refused if it is still held back, zero if it never was.
	holdUntil time.Time
	// tried holds the target of each attempt, of a chain its first target.
	tried []identifier.TargetID
	delegation
	admission
	attempt
	// pending is the attempt that waits for a grant, which its target's request limit makes necessary.
	pending *Send
	// askUntil is until when the current attempt may ask for grants, zero if it has not asked.
	askUntil time.Time
	// stalledAttempt is an earlier attempt that is kept until a later one has delivered an event.
	stalledAttempt *attempt
	// firstByte is the last attempt's time to first byte, longestGap the longest gap between two events.
	firstByte  time.Duration
	longestGap time.Duration
	events     int
}

// attempt holds the targets that an attempt of a request uses.
type attempt struct {
	// target is the target that the request was sent to, the first one of a chain. It is empty when
	// no attempt is in progress, or if it is at another node.
	target identifier.TargetID
	chain  []describer.Stage
	sent   time.Time
	// delegate is the node that the request was handed over to, with up to the given number of runs.
	delegate identifier.NodeID
	runs     int
	// before holds the crashes of the request that were known when the attempt was sent, and
	// eventsBefore counts the events that earlier attempts had delivered.
	before       crashrecorder.Histories
	eventsBefore int
	// progress is what was tried to continue the attempt along another chain.
	progress continuer.Progress
}

// Dispatcher is the reducer for requests in progress.
type Dispatcher struct {
	cfg   Config
	table *router.Table
	// confirmedAt is the time as of which the store had no newer configuration.
	confirmedAt time.Time
	// isStale is set from the log line that the configuration is out of date to the one that it is
	// up to date again.
	isStale bool
	// refuseAt is when a node that is shutting down starts to refuse requests; zero for any other node.
	refuseAt      time.Time
	chooser       *chooser.Chooser
	crashTracker  *crashtracker.Tracker
	limits        *limiter.Tracker
	paths         *pathtracker.Tracker
	announcements *announcementtracker.Tracker
	requests      map[identifier.CallID]*request
	trials        *trier.Trier
	retries       *budgeter.Budgets
	// loads holds what first targets report of their load.
	loads     *loadtracker.Tracker
	continuer *continuer.Continuer
	shedder   *shedder.Shedder
}

// NewDispatcher returns a dispatcher without a configuration.
func NewDispatcher(cfg Config) *Dispatcher {
	known, crashes := chooser.NewChooser(cfg.DataCentre), crashtracker.NewTracker()
	d := &Dispatcher{
		cfg: cfg, chooser: known, crashTracker: crashes, limits: limiter.NewTracker(), paths: pathtracker.NewTracker(),
		announcements: announcementtracker.NewTracker(known), requests: map[identifier.CallID]*request{},
		loads: loadtracker.NewTracker(), continuer: continuer.NewContinuer(known), shedder: shedder.NewShedder(),
		trials: trier.NewTrier(crashes), retries: budgeter.NewBudgets(budgeter.Config{Ratio: cfg.RetryRatio, Window: cfg.RetryWindow}),
	}
	d.chooser.UseLoads(d.loads)
	return d
}

// Apply applies one event and returns the resulting effects.
func (d *Dispatcher) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case RequestArrived:
		return d.requestArrived(now, ev)
	case AttemptReported:
		return d.attemptReported(now, ev)
	case DelegateFound:
		return d.delegateFound(now, ev)
	case PathChecked:
		return d.pathChecked(now, ev)
	case ChainsWanted:
		return d.chooser.ReplanFor(now, ev.Service)
	case Probed:
		return d.probed(now, ev)
	case ConfigurationRead:
		return d.configurationRead(ev)
	case ConfigurationConfirmed:
		return d.configurationConfirmed(now, ev)
	case Rerouted:
		return d.rerouted(now, ev)
	case ChainProbed:
		return d.chainProbed(now, ev)
	case RetryQuotaChanged:
		return d.retries.ApplyShare(now, ev.Retries, "partitions", ev.Partitions, "generation", ev.Generation)
	case Stopping:
		d.refuseAt = ev.RefuseAt
		d.retries.Leave(now)
	case registrar.TargetsChanged:
		return d.targetsChanged(now, ev.Targets)
	case registrar.Ejected:
		return d.targetEjected(now, ev)
	case placer.LeaseChanged:
		until := ev.Until
		if !ev.IsHeld {
			until = time.Time{}
		}
		d.trials.SetLease(until)
	case HoldEnded:
		return d.holdEnded(now, ev)
	case CheckSkipped:
		d.crashTracker.CheckSkipped(ev.Target)
	case TargetChecked:
		return d.targetChecked(now, ev)
	case limiter.AnswerRead:
		return d.answerRead(now, ev)
	case QuietWanted:
		return d.announcements.WantQuiet(now, ev.Target, ev.Until, ev.Answer)
	case AnnouncementUnreadable:
		return d.announcements.NoteUnreadable(now, ev.Target, ev.Field)
	case limiter.LimitsLearned:
		return d.limitsLearned(now, ev)
	case GrantAnswered:
		return d.grantAnswered(now, ev)
	case CrashesReported:
		return d.crashesReported(now, ev)
	case LoadsLearned:
		d.learnLoads(now, ev.Reports)
	case avoider.RejectionsLearned:
		return d.chooser.LearnRejections(now, ev.Rejections)
	case shedder.ShareLearned:
		d.shedder.SetShare(now, ev.Share)
	case messenger.Tick:
		return d.tick(now)
	}
	return nil
}

// IsReady reports whether the node can serve requests that carry keys.
func (d *Dispatcher) IsReady(now time.Time) bool {
	return d.table != nil && d.chooser.HasTargets() && d.isFresh(now)
}

// Status returns the state of the dispatcher for the status page.
func (d *Dispatcher) Status(now time.Time) describer.RelayStatus {
	s := describer.RelayStatus{
		IsReady: d.IsReady(now), ConfirmedMSAgo: -1, Open: len(d.requests), RetryShare: d.retries.Share(now), RetryBudgets: d.retries.Status(now), Chains: d.chooser.Chains(),
	}
	s.RetryQuota = s.RetryShare.Least
	s.Targets, s.Leaving, s.Ejected = d.chooser.Counts()
	s.PoisonCandidates = d.crashTracker.Candidates()
	s.RequestsWithCrashes, s.ConfirmedPoison = d.crashTracker.Counts(now)
	s.Limits = d.limits.Limits(now)
	s.Quiet = d.announcements.Quiet(now)
	s.Rejections = d.chooser.RejectionStatus(now)
	s.LostPaths = d.paths.Lost()
	s.Admission = d.shedder.Status(now)
	if d.table != nil {
		s.Version, s.ConfirmedMSAgo = d.table.Version, now.Sub(d.confirmedAt).Milliseconds()
	}
	return s
}

// Limits returns the limits that the configuration in force sets for callers.
func (d *Dispatcher) Limits() describer.Limits {
	if d.table == nil {
		return describer.Limits{}
	}
	return d.table.Limits
}

func (d *Dispatcher) tick(now time.Time) []messenger.Effect {
	d.chooser.Tick(now)
	d.trials.Tick(now)
	d.continuer.Moves.Tick(now)
	effects := append(d.startChecks(now), d.confirmTraits(now)...)
	effects = append(effects, d.announcements.EndQuiet(now)...)
	effects = append(effects, d.checkPaths(now)...)
	effects = append(effects, d.checkLoads(now)...)
	if d.isStale || d.table == nil || d.isFresh(now) {
		return effects
	}
	d.isStale = true
	return append(effects, messenger.Log{
		Event: eventlogger.ConfigurationStale, Subject: "configuration",
		Values: []any{"version", d.table.Version, ageKey, now.Sub(d.confirmedAt).Milliseconds()},
	})
}

func (d *Dispatcher) requestArrived(now time.Time, ev RequestArrived) []messenger.Effect {
	r := &request{id: ev.ID, arrived: now, deadline: ev.Deadline, seed: ev.Seed, size: ev.Size, delegation: newDelegation(ev.Terms)}
	d.requests[ev.Call] = r
	return d.check(now, ev, r)
}

// check refuses a request that may not be served now, and otherwise asks for its admission. It is called again after a request has waited for that.
func (d *Dispatcher) check(now time.Time, ev RequestArrived, r *request) []messenger.Effect {
	if d.table == nil {
		return d.refuse(now, ev.Call, http.StatusServiceUnavailable, unreadyRetryAfter, "no configuration yet")
	}
	if !d.refuseAt.IsZero() && !now.Before(d.refuseAt) {
		return d.refuse(now, ev.Call, http.StatusServiceUnavailable, stoppingRetryAfter, "this node is shutting down")
	}
	if reason := d.admitDelegated(now, r); reason != "" {
		return d.refuse(now, ev.Call, http.StatusServiceUnavailable, unreadyRetryAfter, reason)
	}
	r.route = d.table.Route(ev.Host, ev.Path)
	if r.route == nil {
		return d.deny(now, ev.Call, http.StatusNotFound, "no route")
	}
	if d.table.NeedsKey(r.route) {
		account := d.table.Account(ev.Key)
		if account == nil {
			return d.deny(now, ev.Call, http.StatusUnauthorized, "unknown key")
		}
		if !d.isFresh(now) {
			return d.refuse(now, ev.Call, http.StatusServiceUnavailable, r.retryAfter(), "configuration not confirmed")
		}
		r.account = account.ID
	}
	r.key = fingerprinter.NewKey(r.account, ev.Fingerprint, ev.Group, ev.Parts)
	if d.crashTracker.IsConfirmed(now, r.key) {
		return d.refuse(now, ev.Call, http.StatusBadGateway, 0, quarantined)
	}
	if routeDeadline := r.arrived.Add(r.timeout()); r.deadline.IsZero() || routeDeadline.Before(r.deadline) {
		r.deadline = routeDeadline
	}
	r.service = router.Pick(r.route, ev.Seed)
	if reason := d.admitDelegated(now, r); reason != "" {
		return d.refuse(now, ev.Call, http.StatusServiceUnavailable, r.retryAfter(), reason)
	}
	return d.admit(now, ev, r)
}

// timeout returns the timeout of the request's route.
func (r *request) timeout() time.Duration {
	if r.route.Timeout <= 0 {
		return defaultTimeout
	}
	return r.route.Timeout
}

// send sends a request to the best target that it was not sent to yet, or along the best chain,
// preferably one that begins at such a target.
func (d *Dispatcher) send(now time.Time, call identifier.CallID, r *request, seed uint64) []messenger.Effect {
	return d.sendAttempt(now, call, r, seed, false)
}

// sendAttempt starts an attempt. With keepsStalled, the stalled attempt stays open beside it.
func (d *Dispatcher) sendAttempt(now time.Time, call identifier.CallID, r *request, seed uint64, keepsStalled bool) []messenger.Effect {
	if !d.chooser.IsKnown(r.service) {
		return d.endUnplaced(now, call, r, "unknown service")
	}
	if d.mustDelegate(r) {
		return d.askDelegate(r, keepsStalled)
	}
	before := d.crashTracker.Histories(now, r.key)
	if d.trials.MustHold(now, r.key, before) {
		return d.hold(now, call, r)
	}
	out := Send{
		Call: call, Account: r.account, Deadline: r.deadline, KeepsStalled: keepsStalled,
		IsStream: r.route.Kind == describer.Streaming,
		// What has broken one connection may have broken those that were open beside it.
		NewConn: !r.route.MayRetry() || before.HasCrashes() || r.mayHaveRun(),
	}
	effects := d.chooser.Replan(now, r.service)
	reason := d.choose(now, r, &out, seed)
	if d.mayDelegate(r) && (reason == noChain || reason == noTarget || d.chooser.IsLastResort(r.service)) {
		return append(d.askDelegate(r, keepsStalled), effects...)
	}
	if reason != "" {
		return append(d.endUnplaced(now, call, r, reason), effects...)
	}
	// On the connection of an earlier attempt, that one's refusal could be taken for the answer to this one: both have the same id.
	out.NewConn = out.NewConn || slices.Contains(r.tried, out.Target)
	if d.limits.IsLimited(out.Target) {
		return append(d.askGrant(now, call, r, out), effects...)
	}
	return append(d.startAttempt(now, r, out, before), effects...)
}

// startAttempt counts an attempt and sends it.
func (d *Dispatcher) startAttempt(now time.Time, r *request, out Send, before crashrecorder.Histories) []messenger.Effect {
	if !r.isCounted {
		r.isCounted = true
		d.retries.CountRequest(now, r.service)
	}
	if r.hasArrived {
		d.retries.CountRetry(now, r.service)
	}
	d.limits.CountSend(out.Target)
	d.loads.Sent(out.Target)
	out.Priority, out.IsRanked = d.priority(now, r)
	r.attempts++
	r.sent, r.before, r.eventsBefore = now, before, r.events
	r.target, r.chain, r.delegate, r.runs = out.Target, out.Chain, "", 1
	out.Runs = r.executions + 1
	r.askUntil, r.progress = time.Time{}, continuer.Progress{}
	out.IdleDeadline = r.idleDeadline(now, out)
	d.trials.Begin(now, out.Call, r.key, before)
	r.tried = append(r.tried, out.Target)
	d.chooser.Acquire(r.targets())
	return []messenger.Effect{out}
}

// choose sets the target or chain of an attempt. If there is no target or chain, it returns the reason.
func (d *Dispatcher) choose(now time.Time, r *request, out *Send, seed uint64) string {
	if d.chooser.IsChained(r.service) {
		chain := d.chooser.Chain(now, r.service, seed, r.tried, weigher.Prompt{Tokens: r.size.Prompt, Objective: r.route.LatencyObjective})
		if chain == nil {
			return d.limitReason(now, r.service, noChain)
		}
		out.Target, out.Address, out.Chain = chain.Stages[0].Target, chain.Stages[0].Address, chain.Stages
		return ""
	}
	t := d.chooser.Target(now, r.service, r.tried, seed)
	if t == nil {
		return d.limitReason(now, r.service, noTarget)
	}
	out.Target, out.Address = t.ID, t.Address
	return ""
}

// idleDeadline returns when an attempt that begins now counts as stalled if no data has arrived.
func (r *request) idleDeadline(now time.Time, out Send) time.Time {
	switch {
	case len(out.Chain) > 0:
		return now.Add(streamIdleTimeout)
	case r.route.MayRetry() && r.route.LatencyObjective > 0:
		return now.Add(time.Duration(plainTimeoutFraction * float64(r.route.LatencyObjective)))
	}
	return r.deadline
}

// targets returns the targets that the attempt uses.
func (a *attempt) targets() []identifier.TargetID {
	if a.target == "" {
		return nil
	}
	if len(a.chain) == 0 {
		return []identifier.TargetID{a.target}
	}
	return chainer.Targets(a.chain)
}
