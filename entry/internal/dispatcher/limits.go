package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/delayer"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// maxAskTime is how long one attempt may ask for grants of one target after the other.
	maxAskTime = 300 * time.Millisecond
	// targetsLimited is the reason in logs of requests for which all targets are at their limits.
	targetsLimited = "all targets are at their request limits or want no requests for now"
)

// answerRead notes what the head of an answer says of its target's request limit, and tells the other nodes of a change.
func (d *Dispatcher) answerRead(now time.Time, ev limiter.AnswerRead) []messenger.Effect {
	before := d.limits.Status(now, ev.Target)
	state := d.limits.Read(now, ev)
	effects := d.limitChanged(now, state, before, "answer", ev.Kind, "answered_ms", now.Sub(ev.SentAt).Milliseconds())
	if state == limiter.Unchanged || state == limiter.Malformed {
		return effects
	}
	return append(effects, ReportLimit{Limit: limiter.NewReport(now, ev.Target, d.limits.Known(ev.Target))})
}

// limitsLearned applies what other nodes have told of limits.
func (d *Dispatcher) limitsLearned(now time.Time, ev limiter.LimitsLearned) []messenger.Effect {
	var effects []messenger.Effect
	for _, r := range ev.Reports {
		effects = append(effects, d.learnLimit(now, r)...)
	}
	return effects
}

func (d *Dispatcher) learnLimit(now time.Time, r limiter.Report) []messenger.Effect {
	before := d.limits.Status(now, r.Target)
	state := d.limits.Learn(now, r.Target, r.Knowledge(now))
	return d.limitChanged(now, state, before, "answer", "a peer's", "answered_ms", r.AgeMS)
}

// limitChanged logs the change of a limit. A target without a limit gets requests again at once.
func (d *Dispatcher) limitChanged(now time.Time, state limiter.State, before describer.LimitStatus, source ...any) []messenger.Effect {
	if state == limiter.Unchanged {
		return nil
	}
	if state == limiter.Ended {
		d.chooser.Reopen(before.Target)
	}
	values := []any{"state", state, "rate", d.limits.Status(now, before.Target).Rate, "former", before.Rate, "limited_ms", before.LimitedMS, sendsKey, before.Sends}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetLimitChanged, Subject: "target/" + string(before.Target), Values: append(values, source...),
	}}
}

// keepTargets forgets what targets that are gone have said of themselves.
func (d *Dispatcher) keepTargets(targets []registrar.Target) {
	known := make(map[identifier.TargetID]bool, len(targets))
	for _, t := range targets {
		known[t.ID] = true
	}
	isKept := func(id identifier.TargetID) bool { return known[id] }
	d.limits.Keep(isKept)
	d.announcements.Keep(isKept)
	d.loads.Keep(isKept)
}

// HasRequestLimits reports whether any target names a request limit.
func (d *Dispatcher) HasRequestLimits() bool { return d.limits.HasLimits() }

// RequestLimit returns what is known of a target's request limit, and false if it names none. Whoever calls such a target
// needs a grant.
func (d *Dispatcher) RequestLimit(now time.Time, target identifier.TargetID) (limiter.Report, bool) {
	return limiter.NewReport(now, target, d.limits.Known(target)), d.limits.IsLimited(target)
}

// askGrant asks whether an attempt may be sent to a target that names a request limit.
func (d *Dispatcher) askGrant(now time.Time, call identifier.CallID, r *request, out Send) []messenger.Effect {
	if r.askUntil.IsZero() {
		r.askUntil = now.Add(maxAskTime)
	}
	if !now.Before(r.askUntil) {
		return d.endUnplaced(now, call, r, targetsLimited)
	}
	r.pending = &out
	report, _ := d.RequestLimit(now, out.Target)
	return []messenger.Effect{AskGrant{Limit: report}}
}

// grantAnswered starts an attempt that was granted. One that was denied goes to another target.
func (d *Dispatcher) grantAnswered(now time.Time, ev GrantAnswered) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok || r.pending == nil {
		return nil
	}
	out := *r.pending
	r.pending = nil
	if ev.IsCallerGone {
		return d.end(now, ev.Call, 0, "caller gone")
	}
	var effects []messenger.Effect
	if ev.Known != nil {
		effects = d.learnLimit(now, *ev.Known)
	}
	if ending := d.endBarred(now, ev.Call, r); ending != nil {
		return append(effects, ending...)
	}
	if ev.IsGranted && now.Before(ev.Until) {
		return append(effects, d.startGranted(now, ev.Call, r, out)...)
	}
	if ev.IsGranted {
		// The node was frozen while the grant was valid.
		r.askUntil = time.Time{}
	}
	d.chooser.Shut(out.Target, ev.Until)
	effects = append(effects, d.logDenial(now, r, out.Target, ev))
	return append(effects, d.sendAttempt(now, ev.Call, r, ev.Seed, out.KeepsStalled)...)
}

// startGranted starts an attempt, unless another copy of the request has meanwhile begun to be tried.
func (d *Dispatcher) startGranted(now time.Time, call identifier.CallID, r *request, out Send) []messenger.Effect {
	before := d.crashTracker.Histories(now, r.key)
	if d.trials.MustHold(now, r.key, before) {
		r.askUntil = time.Time{}
		return d.hold(now, call, r)
	}
	out.NewConn = out.NewConn || before.HasCrashes()
	return d.startAttempt(now, r, out, before)
}

func (d *Dispatcher) logDenial(now time.Time, r *request, target identifier.TargetID, ev GrantAnswered) messenger.Effect {
	known := d.limits.Status(now, target)
	return messenger.Log{
		Event: eventlogger.GrantDenied, Subject: "request/" + string(r.id),
		Values: []any{
			"target", target, "rate", known.Rate, "named_ms_ago", known.NamedMSAgo, reasonKey, ev.Reason,
			"shut_ms", ev.Until.Sub(now).Milliseconds(), sendsKey, r.attempts,
		},
	}
}

// limitReason returns the reason why a service has no target for a request: other, unless targets that are shut leave none.
func (d *Dispatcher) limitReason(now time.Time, service identifier.ServiceID, other string) string {
	if d.chooser.ReopensAt(now, service).IsZero() {
		return other
	}
	return targetsLimited
}

// limitRetryAfter returns the time until a target of the request's service that is shut may get requests again, and some more
// so that callers don't return all at once.
func (d *Dispatcher) limitRetryAfter(now time.Time, r *request) time.Duration {
	reopensAt := d.chooser.ReopensAt(now, r.service)
	if reopensAt.IsZero() {
		return 0
	}
	return reopensAt.Sub(now) + delayer.Spread(r.seed)
}
