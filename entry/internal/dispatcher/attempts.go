package dispatcher

import (
	"net/http"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/continuer"
	"fuchsiabridge.example/entry/internal/delayer"
	"fuchsiabridge.example/entry/internal/pathtracker"
	"fuchsiabridge.example/entry/internal/registrar"
)

// minGapEvents is how many events an attempt must have delivered for its mean gap to tell how fast the chain is.
const minGapEvents = 8

// attemptReported records the result of an attempt, or that it has stalled, and decides what
// happens next to the request.
func (d *Dispatcher) attemptReported(now time.Time, ev AttemptReported) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	d.recordResult(now, r, ev)
	d.recordAlive(r, ev)
	d.noteRejection(now, r, ev)
	if ev.Events > r.events {
		r.stalledAttempt = nil
		r.progress.Resumed()
	}
	effects := d.noteWritten(now, r, ev)
	r.firstByte, r.longestGap, r.events = ev.FirstByte, ev.LongestGap, ev.Events
	effects = append(effects, d.noteReached(now, r, ev)...)
	if ev.Outcome == Stalled {
		return append(d.stalled(now, ev, r), effects...)
	}
	runs := d.noteResult(r, ev)
	isCandidate := false
	switch ev.Outcome {
	case Delivered:
		effects = append(effects, d.noteAnswer(now, r, ev.Status)...)
	case Broken, Expired, CallerGone:
		var found []messenger.Effect
		isCandidate, found = d.notePoisonCandidate(now, r, ev)
		effects = append(effects, found...)
	default:
	}
	if ev.Outcome != Delivered {
		effects = append(effects, d.logAttempt(now, r, ev, isCandidate))
	}
	effects = append(effects, d.reportFaultyTarget(now, r, ev)...)
	effects = append(effects, dropDelegate(r, ev)...)
	target := r.target
	d.release(r)
	switch ev.Outcome {
	case Delivered:
		r.executions += runs
		return append(effects, d.end(now, ev.Call, ev.Status, "delivered")...)
	case CallerGone:
		return append(effects, d.end(now, ev.Call, 0, "caller gone")...)
	case Expired:
		return append(effects, d.refuse(now, ev.Call, http.StatusGatewayTimeout, 0, deadlinePassed)...)
	case NotSent, NotRun:
		if r.executions == 0 {
			d.trials.Reject(ev.Call, r.key)
		}
		if reason := d.retryBarrier(now, r); reason != "" {
			return append(effects, d.endUnplaced(now, ev.Call, r, "no target accepted the request, "+reason)...)
		}
		return append(effects, d.send(now, ev.Call, r, ev.Seed)...)
	default:
	}
	r.executions += runs
	if d.mayRetry(now, r) && d.hasAlternative(now, r) {
		return append(effects, d.send(now, ev.Call, r, ev.Seed)...)
	}
	if r.stalledAttempt != nil && (ev.Outcome != Failed || r.events > 0) {
		return append(effects, d.resumeStalled(now, r)...)
	}
	if ev.Outcome == Failed {
		return append(append(effects, Deliver{}), d.end(now, ev.Call, ev.Status, "error response from "+string(target))...)
	}
	return append(effects, d.refuse(now, ev.Call, http.StatusBadGateway, 0, "attempt ended without a valid response")...)
}

// endUnplaced ends a request for which no further attempt is possible, unless a stalled attempt
// was kept, which is resumed. The request is answered as not executed (503) only if no attempt
// can have run.
func (d *Dispatcher) endUnplaced(now time.Time, call identifier.CallID, r *request, reason string) []messenger.Effect {
	if r.stalledAttempt != nil {
		return d.resumeStalled(now, r)
	}
	if r.executions > 0 {
		return d.refuse(now, call, http.StatusBadGateway, 0, "attempt ended without a valid response, "+reason)
	}
	return d.refuse(now, call, http.StatusServiceUnavailable, max(r.retryAfter(), d.limitRetryAfter(now, r)), reason)
}

// retryAfter returns the Retry-After delay for a request that found no free capacity.
func (r *request) retryAfter() time.Duration { return delayer.RetryAfter(r.route.Kind, r.seed) }

// resumeStalled waits again for the stalled attempt that was kept, because the attempts after it
// failed or no target accepted them.
func (d *Dispatcher) resumeStalled(now time.Time, r *request) []messenger.Effect {
	r.attempt, r.stalledAttempt = *r.stalledAttempt, nil
	r.executions -= r.runs
	d.chooser.Acquire(r.targets())
	return []messenger.Effect{ResumeStalled{Until: now.Add(fullTargetBackoff)}, messenger.Log{
		Event: eventlogger.StalledAttemptResumed, Subject: "request/" + string(r.id),
		Values: []any{"target", r.target, "silent_ms", now.Sub(r.sent).Milliseconds(), sendsKey, r.attempts, "runs", r.executions},
	}}
}

// mayRetry reports whether a request that may already have run may be sent again.
func (d *Dispatcher) mayRetry(now time.Time, r *request) bool {
	return r.route.MayRetry() && r.executions < r.maxRuns() && d.retryBarrier(now, r) == ""
}

// retryBarrier returns the reason why no further attempt is allowed, or an empty string.
func (d *Dispatcher) retryBarrier(now time.Time, r *request) string {
	switch {
	case r.attempts >= maxAttempts:
		return "maximum number of attempts reached"
	case !now.Before(r.deadline):
		return deadlinePassed
	case d.crashTracker.IsConfirmed(now, r.key):
		return quarantined
	case r.hasArrived && !d.retries.Allows(now, r.service):
		return "retry budget exhausted"
	}
	return ""
}

// recordResult updates the statistics of the target with the result of an attempt; for a chain,
// only with the time to the first event.
func (d *Dispatcher) recordResult(now time.Time, r *request, ev AttemptReported) {
	if r.target == "" {
		return
	}
	if len(r.chain) > 0 {
		if r.firstByte == 0 && ev.FirstByte > 0 {
			d.chooser.RecordFirstEvent(now, r.target, ev.FirstByte)
		}
		d.chooser.RecordGap(now, r.service, r.target, r.typicalGap(now, ev))
		return
	}
	switch ev.Outcome {
	case Delivered:
		d.chooser.RecordResult(r.target, now.Sub(r.sent), false)
	case Failed, Broken:
		d.chooser.RecordResult(r.target, 0, true)
	case Stalled, Expired:
		d.chooser.RecordResult(r.target, now.Sub(r.sent), true)
	default:
	}
}

// typicalGap returns the typical gap between two events at the chain of an attempt, 0 if the report does not tell it.
func (r *request) typicalGap(now time.Time, ev AttemptReported) time.Duration {
	events := ev.Events - r.eventsBefore
	if ev.Outcome != Delivered || events < minGapEvents || r.progress.WasRerouted() {
		return ev.ChainTypicalGap
	}
	return (now.Sub(r.sent) - ev.FirstByte) / time.Duration(events-1)
}

// reportFaultyTarget ejects the target that the failed attempt shows to be at fault. A target of a
// chain that refused the request for another reason counts as full and is avoided for a while.
func (d *Dispatcher) reportFaultyTarget(now time.Time, r *request, ev AttemptReported) []messenger.Effect {
	if r.target == "" {
		return nil
	}
	address := ev.FaultAddress
	if address == "" {
		address = d.address(r)
	}
	switch ev.Outcome {
	case NotSent:
		return d.eject(now, d.address(r), d.causeOfSilence(r.service), ev.Reason)
	case NotRun:
		if ev.Status == http.StatusMisdirectedRequest {
			return d.eject(now, address, registrar.WrongLayers, "target answered that it holds other layers")
		}
		switch {
		case len(r.chain) > 0 && d.loads.IsRecent(now):
			return d.chooser.Reject(now, address)
		case len(r.chain) > 0:
			d.chooser.Avoid(address, now.Add(fullTargetBackoff))
		}
	default:
	}
	return nil
}

// causeOfSilence returns why a target of a service does not answer this node, as far as it knows.
func (d *Dispatcher) causeOfSilence(service identifier.ServiceID) registrar.EjectionCause {
	if d.paths.IsLost(service) {
		return registrar.Unreached
	}
	return registrar.Unresponsive
}

// eject raises the ejection of a target. The chooser applies it at once, so that the next
// choice does not have to wait until the registrar has processed the event.
func (d *Dispatcher) eject(now time.Time, address string, cause registrar.EjectionCause, reason string) []messenger.Effect {
	ejection := messenger.Raise{Event: registrar.Ejected{Address: address, Cause: cause, Reason: reason}}
	return append([]messenger.Effect{ejection}, d.chooser.Eject(now, address)...)
}

// address returns the address of the target that the current attempt was sent to.
func (d *Dispatcher) address(r *request) string {
	if len(r.chain) > 0 {
		return r.chain[0].Address
	}
	return d.chooser.Address(r.target)
}

// chainProbed ejects the targets that the requests at a stalled chain's first target wait for, or
// the first target if it did not answer.
func (d *Dispatcher) chainProbed(now time.Time, ev ChainProbed) []messenger.Effect {
	faulty := ev.FaultAddresses
	if ev.IsUnanswered {
		faulty = []string{ev.Address}
	}
	var effects []messenger.Effect
	if ev.IsUnanswered {
		effects = pathtracker.Log(d.paths.Failed(now, ev.Target))
	}
	for _, address := range faulty {
		effects = append(effects, d.eject(now, address, d.causeOfSilence(d.chooser.ServiceOf(ev.Target)), "requests at a stalled chain wait for this target")...)
	}
	return effects
}

// stalledPlain decides what to do with a stalled attempt at a plain target.
func (d *Dispatcher) stalledPlain(now time.Time, ev AttemptReported, r *request) []messenger.Effect {
	if !r.route.MayRetry() {
		return []messenger.Effect{Wait{Until: r.deadline}}
	}
	return d.failOver(now, ev.Call, r, "target did not answer in time", ev.Seed)
}

// failOver sends a stalled request to another target or chain. If that is not possible, it goes on waiting, and one at a chain tries again
// later.
func (d *Dispatcher) failOver(now time.Time, call identifier.CallID, r *request, reason string, seed uint64) []messenger.Effect {
	r.hasArrived = true
	if !d.maySendAgain(now, r) {
		if len(r.chain) > 0 {
			return d.postpone(now, r, reason)
		}
		return []messenger.Effect{Wait{Until: r.deadline}}
	}
	r.executions += r.runs
	left := AttemptReported{Outcome: Stalled, Reason: reason, Events: r.events}
	isCandidate, effects := d.notePoisonCandidate(now, r, left)
	effects = append(effects, d.logAttempt(now, r, left, isCandidate))
	stalledAttempt := r.attempt
	r.stalledAttempt = &stalledAttempt
	move := d.moveOf(r, continuer.SentAgain, r.chain)
	effects = append(effects, dropDelegate(r, left)...)
	d.release(r)
	effects = append(effects, d.sendAttempt(now, call, r, seed, true)...)
	if len(stalledAttempt.chain) > 0 && r.target != "" {
		effects = append(effects, move)
	}
	return effects
}

// hasAlternative reports whether another attempt is possible: a plain request needs a target that
// it was not sent to yet or another node, while a request that uses chains may be sent along the same chain again.
func (d *Dispatcher) hasAlternative(now time.Time, r *request) bool {
	return d.chooser.IsChained(r.service) || d.chooser.Target(now, r.service, r.tried, 1) != nil || d.mustDelegate(r)
}

// logAttempt logs the end of an attempt, or that it stalled; isCandidate says that the request may have
// crashed a target.
func (d *Dispatcher) logAttempt(now time.Time, r *request, ev AttemptReported, isCandidate bool) messenger.Effect {
	return messenger.Log{Event: eventlogger.AttemptEnded, Subject: "request/" + string(r.id), Values: []any{
		"outcome", ev.Outcome, "target", r.target, "delegate", r.delegate, "status", ev.Status, reasonKey, ev.Reason, "fault", ev.FaultAddress,
		"took_ms", now.Sub(r.sent).Milliseconds(), "events", ev.Events, fingerprintKey, r.key.Request, groupKey, r.key.Group, partsKey, r.key.Parts, "candidate", isCandidate,
	}}
}
