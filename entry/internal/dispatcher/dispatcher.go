package dispatcher

import (
	"net/http"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/budgeter"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	// freshPart is the part of the revocation limit for which a confirmed configuration is relied on.
	freshPart = 0.85
	// streamPatience is how long a stream may be silent before its chain is looked at.
	streamPatience = 70 * time.Millisecond
	// lookInterval is the time between two looks at a silent chain.
	lookInterval = 25 * time.Millisecond
	// leastQuiet and mostQuiet bound the silence at which a chain is left; between them it is
	// quietPauses usual pauses.
	leastQuiet  = 80 * time.Millisecond
	mostQuiet   = 400 * time.Millisecond
	quietPauses = 3
	// probePatience is how long a single stream may be silent before its targets are asked.
	probePatience = 260 * time.Millisecond
	// witnesses is how many requests must be at a silent chain for it to be left without asking.
	witnesses = 3
	// suspectTime is how long a silent chain is avoided until its targets have answered.
	suspectTime = 600 * time.Millisecond
	// maxReroutes bounds how often one request is led another way.
	maxReroutes = 2
	// fullTime is how long a target that had no room is avoided.
	fullTime = 250 * time.Millisecond
	// plainPatience is the part of a plain request's aim after which another target is tried.
	plainPatience = 0.5
	// maxSends bounds the sends of one request, of which those that did not run cost no attempt.
	maxSends = 4
	// unreadyPause is when a caller may come back after a refusal for want of a configuration.
	unreadyPause = time.Second
	// plainPause and streamPause are when a caller may come back that found no target or chain
	// with room: a plain request's place is free soon, a stream's once others have ended or a
	// chain is repaired. Pauses differ by up to pauseSpread of them, so that callers come one by one.
	plainPause  = 300 * time.Millisecond
	streamPause = 2 * time.Second
	pauseSpread = 0.5
	// stoppingPause is when a caller may come back that met a node that stops: another takes it.
	stoppingPause = 100 * time.Millisecond
	defaultLimit  = 30 * time.Second
)

// Config holds what the dispatcher is made of.
type Config struct {
	DataCentre identifier.DataCentre
	// RevocationLimit is how long a key may be used after it was taken away.
	RevocationLimit time.Duration
	// RetryRatio bounds the repeats as a share of the requests in RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
}

// request is a request in progress.
type request struct {
	id          identifier.RequestID
	route       *describer.Route
	service     identifier.ServiceID
	account     identifier.AccountID
	arrived     time.Time
	deadline    time.Time
	fingerprint identifier.Fingerprint
	// seed is a random number.
	seed uint64
	// sends counts all sends, runs those after which the request may have run.
	sends int
	runs  int
	tried []identifier.TargetID
	// reroutes counts how often the request was led another way.
	reroutes int
	place
	// former is where a silent attempt is that is kept until a later one has shown something.
	former *place
	// first and gap are the time to the first byte of the last attempt, and the longest pause between events.
	first  time.Duration
	gap    time.Duration
	events int
}

// place is where an attempt of a request is.
type place struct {
	// target is empty when the attempt is nowhere.
	target identifier.TargetID
	chain  []describer.Part
	sent   time.Time
}

// Dispatcher is the sub-reducer of requests.
type Dispatcher struct {
	cfg         Config
	table       *router.Table
	confirmedAt time.Time
	isStale     bool
	// refuseAt is when a node that stops takes no more requests, zero for one that does not.
	refuseAt time.Time
	chooser  *chooser.Chooser
	accuser  *accuser.Accuser
	requests map[identifier.CallID]*request
	budgets  map[identifier.ServiceID]*budgeter.Budget
	// quota is this node's part of the repeats beyond the ratio.
	quota *budgeter.Quota
}

// NewDispatcher returns a dispatcher that knows no configuration.
func NewDispatcher(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, chooser: chooser.NewChooser(cfg.DataCentre), accuser: accuser.NewAccuser(), requests: map[identifier.CallID]*request{},
		budgets: map[identifier.ServiceID]*budgeter.Budget{}, quota: budgeter.NewQuota(cfg.RetryWindow),
	}
}

// Apply takes one event and returns what to do.
func (d *Dispatcher) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Arrived:
		return d.arrived(now, ev)
	case Reported:
		return d.reported(now, ev)
	case Probed:
		return d.probed(now, ev)
	case TableRead:
		return d.tableRead(ev)
	case Confirmed:
		return d.confirmed(now, ev)
	case Rerouted:
		return d.rerouted(now, ev)
	case Examined:
		return d.examined(now, ev)
	case BudgetShared:
		d.quota.Set(now, ev.Repeats)
	case Stopping:
		d.refuseAt = ev.RefuseAt
	case registrar.TargetsChanged:
		d.chooser.SetTargets(ev.Targets)
		return d.accuse(d.accuser.SetTargets(now, ev.Targets))
	case CrashesTold:
		return d.crashesTold(now, ev)
	case messenger.Tick:
		return d.tick(now)
	}
	return nil
}

// IsReady reports whether the node can serve requests that carry keys.
func (d *Dispatcher) IsReady(now time.Time) bool {
	return d.table != nil && d.chooser.HasTargets() && d.isFresh(now)
}

// Status returns what the dispatcher believes and does.
func (d *Dispatcher) Status(now time.Time) describer.RelayStatus {
	s := describer.RelayStatus{
		IsReady: d.IsReady(now), ConfirmedMSAgo: -1, Open: len(d.requests), Repeats: d.quota.Repeats(now), Chains: d.chooser.Chains(),
	}
	s.Targets, s.Leaving, s.Doubted = d.chooser.Counts()
	if d.table != nil {
		s.Version, s.ConfirmedMSAgo = d.table.Version, now.Sub(d.confirmedAt).Milliseconds()
	}
	return s
}

// Limits returns what the configuration in force allows callers.
func (d *Dispatcher) Limits() describer.Limits {
	if d.table == nil {
		return describer.Limits{}
	}
	return d.table.Limits
}

func (d *Dispatcher) isFresh(now time.Time) bool {
	limit := time.Duration(freshPart * float64(d.cfg.RevocationLimit))
	return limit == 0 || now.Sub(d.confirmedAt) < limit
}

// tableRead takes a newer version only: a node never goes back.
func (d *Dispatcher) tableRead(ev TableRead) []messenger.Effect {
	former := int64(0)
	if d.table != nil {
		former = d.table.Version
		if ev.Table.Version <= former {
			return nil
		}
	}
	d.table = ev.Table
	d.chooser.SetServices(ev.Table.Services)
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.ConfigurationChanged, Subject: "configuration",
		Values: []any{"version", ev.Table.Version, "former", former, "routes", ev.Table.Size()},
	}}
}

func (d *Dispatcher) confirmed(now time.Time, ev Confirmed) []messenger.Effect {
	age := now.Sub(d.confirmedAt)
	if ev.AsOf.After(d.confirmedAt) {
		d.confirmedAt = ev.AsOf
	}
	if !d.isStale || !d.isFresh(now) {
		return nil
	}
	d.isStale = false
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.ConfigurationFresh, Subject: "configuration", Values: []any{"age_ms", age.Milliseconds()},
	}}
}

func (d *Dispatcher) tick(now time.Time) []messenger.Effect {
	d.chooser.Tick(now)
	if d.isStale || d.table == nil || d.isFresh(now) {
		return nil
	}
	d.isStale = true
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.ConfigurationStale, Subject: "configuration",
		Values: []any{"version", d.table.Version, "age_ms", now.Sub(d.confirmedAt).Milliseconds()},
	}}
}

func (d *Dispatcher) arrived(now time.Time, ev Arrived) []messenger.Effect {
	r := &request{id: ev.ID, arrived: now, deadline: ev.Deadline, fingerprint: ev.Fingerprint, seed: ev.Seed}
	d.requests[ev.Call] = r
	if d.table == nil {
		return d.refuse(now, ev.Call, http.StatusServiceUnavailable, unreadyPause, "no configuration yet")
	}
	if !d.refuseAt.IsZero() && !now.Before(d.refuseAt) {
		return d.refuse(now, ev.Call, http.StatusServiceUnavailable, stoppingPause, "this node stops")
	}
	r.route = d.table.Route(ev.Host, ev.Path)
	if r.route == nil {
		return d.deny(now, ev.Call, http.StatusNotFound, "no route")
	}
	if !r.route.IsPublic && d.table.HasAccounts() {
		account := d.table.Account(ev.Key)
		if account == nil {
			return d.deny(now, ev.Call, http.StatusUnauthorized, "unknown key")
		}
		if !d.isFresh(now) {
			return d.refuse(now, ev.Call, http.StatusServiceUnavailable, r.pause(), "configuration not confirmed")
		}
		r.account = account.ID
	}
	if d.accuser.IsGuilty(now, r.fingerprint) {
		return d.refuse(now, ev.Call, http.StatusBadGateway, 0, "it crashes targets")
	}
	limit := r.route.Timeout
	if limit <= 0 {
		limit = defaultLimit
	}
	if byRoute := now.Add(limit); r.deadline.IsZero() || byRoute.Before(r.deadline) {
		r.deadline = byRoute
	}
	r.service = router.Pick(r.route, ev.Seed)
	return d.send(now, ev.Call, r, ev.Seed)
}

// deny refuses what the configuration does not allow; while that may be out of date the
// request is refused as one that may come again.
func (d *Dispatcher) deny(now time.Time, call identifier.CallID, status int, reason string) []messenger.Effect {
	if !d.isFresh(now) {
		return d.refuse(now, call, http.StatusServiceUnavailable, unreadyPause, "configuration not confirmed, "+reason)
	}
	return d.refuse(now, call, status, 0, reason)
}

// send sends a request to the best target or chain that it was not at yet.
func (d *Dispatcher) send(now time.Time, call identifier.CallID, r *request, seed uint64) []messenger.Effect {
	return d.sendBeside(now, call, r, seed, false)
}

// sendBeside sends a request again, where so asked beside the silent attempt in hand.
func (d *Dispatcher) sendBeside(now time.Time, call identifier.CallID, r *request, seed uint64, isKept bool) []messenger.Effect {
	if !d.chooser.IsKnown(r.service) {
		return d.giveUp(now, call, r, "unknown service")
	}
	out := Send{
		Call: call, Account: r.account, Deadline: r.deadline, KeepsSilent: isKept,
		IsStream: r.route.Kind == describer.Streaming, IsFresh: !r.route.MayRepeat(),
	}
	effects := d.chooser.Refresh(now, r.service)
	reason := d.choose(now, r, &out, seed)
	if reason != "" {
		return append(d.giveUp(now, call, r, reason), effects...)
	}
	budget := d.budget(r.service)
	if r.sends == 0 {
		budget.NoteFirst(now)
	} else {
		budget.NoteAgain(now)
	}
	r.sends++
	r.sent = now
	r.target = out.Target
	r.tried = append(r.tried, out.Target)
	d.chooser.Occupy(r.targets())
	return append([]messenger.Effect{out}, effects...)
}

// choose chooses where a request goes; it returns the reason where there is no place.
func (d *Dispatcher) choose(now time.Time, r *request, out *Send, seed uint64) string {
	r.chain = nil
	if d.chooser.IsChained(r.service) {
		chain := d.chooser.Chain(now, r.service, seed, r.tried)
		if chain == nil {
			return "no chain holds all layers"
		}
		r.chain = chain.Parts
		out.Target, out.Address, out.Chain = chain.Parts[0].Target, chain.Parts[0].Address, chain.Parts
		out.Patience = now.Add(streamPatience)
		return ""
	}
	t := d.chooser.Target(r.service, r.tried, seed)
	if t == nil {
		return "no target"
	}
	out.Target, out.Address, out.Patience = t.ID, t.Address, r.deadline
	if r.route.MayRepeat() && r.route.Aim > 0 {
		out.Patience = now.Add(time.Duration(plainPatience * float64(r.route.Aim)))
	}
	return ""
}

func (d *Dispatcher) budget(id identifier.ServiceID) *budgeter.Budget {
	b, ok := d.budgets[id]
	if !ok {
		b = budgeter.NewBudget(d.cfg.RetryWindow)
		d.budgets[id] = b
	}
	return b
}

// release takes the request off its targets.
func (d *Dispatcher) release(r *request) {
	if r.target == "" {
		return
	}
	d.chooser.Release(r.targets())
	r.target = ""
}

// targets returns the targets that the attempt is at.
func (p *place) targets() []identifier.TargetID {
	if len(p.chain) == 0 {
		return []identifier.TargetID{p.target}
	}
	out := make([]identifier.TargetID, 0, len(p.chain))
	for _, p := range p.chain {
		out = append(out, p.Target)
	}
	return out
}

// refuse ends a request with an answer of the node's own.
func (d *Dispatcher) refuse(now time.Time, call identifier.CallID, status int, after time.Duration, reason string) []messenger.Effect {
	return append([]messenger.Effect{Refuse{Status: status, RetryAfter: after, Reason: reason}}, d.end(now, call, status, reason)...)
}

// sample returns what is counted of a request that has ended.
func (r *request) sample(now time.Time, status int) meter.Sample {
	s := meter.Sample{Kind: "none", Account: string(r.account), Status: status, Took: now.Sub(r.arrived), First: r.first}
	if r.route != nil {
		s.Kind = r.route.Kind.String()
	}
	return s
}

// end forgets a request and writes its closing line.
func (d *Dispatcher) end(now time.Time, call identifier.CallID, status int, reason string) []messenger.Effect {
	r, ok := d.requests[call]
	if !ok {
		return nil
	}
	d.release(r)
	delete(d.requests, call)
	values := []any{"status", status, "reason", reason, "took_ms", now.Sub(r.arrived).Milliseconds(), "sends", r.sends, "runs", r.runs,
		"first_ms", r.first.Milliseconds(), "longest_gap_ms", r.gap.Milliseconds(), "events", r.events}
	if r.route != nil {
		values = append(values, "route", r.route.ID, "account", r.account, "service", r.service)
	}
	if d.table != nil {
		values = append(values, "version", d.table.Version, "confirmed_ms_ago", now.Sub(d.confirmedAt).Milliseconds())
	}
	return []messenger.Effect{
		messenger.Log{Event: eventlogger.RequestEnded, Subject: "request/" + string(r.id), Values: values},
		Measured{Sample: r.sample(now, status)},
	}
}
