package dispatcher

import (
	"math/rand/v2"
	"net/http"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/registrar"
)

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
		d.noteAnswerSize(r)
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
func (r *request) retryAfter() time.Duration {
	typical := plainRetryAfter
	if r.route.Kind == describer.Streaming {
		typical = streamRetryAfter
	}
	return time.Duration((1-retryAfterJitter/2)*float64(typical)) + time.Duration(r.jitter()*float64(typical))
}

// spread returns a random delay that is added to the time at which a target may be used again.
func (r *request) spread() time.Duration { return time.Duration(r.jitter() * float64(plainRetryAfter)) }

// jitter returns a number from 0 to retryAfterJitter, the same each time for a request.
func (r *request) jitter() float64 {
	return retryAfterJitter * rand.New(rand.NewPCG(r.seed, 0)).Float64()
}

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
		if len(r.chain) > 0 {
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

// stalled decides what to do with an attempt that has delivered no data within its idle timeout.
func (d *Dispatcher) stalled(now time.Time, ev AttemptReported, r *request) []messenger.Effect {
	if r.delegate != "" {
		return d.stalledDelegate(now, ev, r)
	}
	if len(r.chain) == 0 {
		return d.stalledPlain(now, ev, r)
	}
	if d.mustDelegate(r) {
		return d.failOver(now, ev.Call, r, "path to the targets is lost", ev.Seed)
	}
	if d.chooser.HasFailed(r.chain) {
		return d.failOver(now, ev.Call, r, "a target of the chain was ejected, or other nodes have seen it fail", ev.Seed)
	}
	firstStage := r.chain[0]
	isIdle := ev.ChainIdleTime >= min(maxChainIdleTimeout, max(minChainIdleTimeout, typicalGapsUntilStalled*ev.ChainTypicalGap))
	isKnownStalled := d.chooser.IsStalled(now, firstStage.Address)
	if isIdle && (isKnownStalled || d.chooser.OpenRequests(firstStage.Target) >= stallQuorum) {
		return d.leaveStalledChain(now, ev, r)
	}
	if ev.ChainIdleTime >= probeIdleTimeout {
		return []messenger.Effect{Probe{Target: firstStage.Target, Address: firstStage.Address}}
	}
	return []messenger.Effect{Wait{Until: now.Add(stallCheckInterval)}}
}

// leaveStalledChain moves a request off a chain on which every request is stalled, before it
// is known which of its targets is at fault. If there is no other chain, the request waits.
func (d *Dispatcher) leaveStalledChain(now time.Time, ev AttemptReported, r *request) []messenger.Effect {
	address := r.chain[0].Address
	var effects []messenger.Effect
	if d.chooser.MarkStalled(now, address, now.Add(stalledChainBackoff)) {
		effects = append(effects, ProbeChain{Target: r.chain[0].Target, Address: address})
	}
	if !d.chooser.HasOtherChain(now, r.service) {
		return append([]messenger.Effect{Wait{Until: now.Add(stallCheckInterval)}}, effects...)
	}
	return append(d.failOver(now, ev.Call, r, "no request receives data from the chain", ev.Seed), effects...)
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
		effects = d.logPaths(d.paths.Failed(now, ev.Target))
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

// failOver sends a stalled request to another target or chain. If that is not possible, a request
// at a chain is rerouted or goes on waiting, and one at a plain target goes on waiting.
func (d *Dispatcher) failOver(now time.Time, call identifier.CallID, r *request, reason string, seed uint64) []messenger.Effect {
	r.hasArrived = true
	r.executions += r.runs
	if !d.mayRetry(now, r) || !d.hasAlternative(now, r) || d.isTried(now, r.key) {
		r.executions -= r.runs
		if len(r.chain) > 0 {
			return d.rerouteChain(now, r)
		}
		return []messenger.Effect{Wait{Until: r.deadline}}
	}
	left := AttemptReported{Outcome: Stalled, Reason: reason, Events: r.events}
	isCandidate, effects := d.notePoisonCandidate(now, r, left)
	effects = append(effects, d.logAttempt(now, r, left, isCandidate))
	stalledAttempt := r.attempt
	r.stalledAttempt = &stalledAttempt
	effects = append(effects, dropDelegate(r, left)...)
	d.release(r)
	return append(effects, d.sendAttempt(now, call, r, seed, true)...)
}

// rerouteChain handles a stalled request that cannot be retried. If a target after the first one of
// its chain was ejected, the first target is asked to continue the request along another chain.
// Otherwise the request goes on waiting.
func (d *Dispatcher) rerouteChain(now time.Time, r *request) []messenger.Effect {
	wait := []messenger.Effect{Wait{Until: now.Add(probeIdleTimeout)}}
	if r.reroutes >= maxReroutes || !d.chooser.HasFailed(r.chain) || d.chooser.HasEjected(r.chain[:1]) {
		return wait
	}
	chain, ok := d.chooser.ContinueFrom(now, r.service, r.chain[0])
	if !ok {
		return wait
	}
	r.reroutes++
	return []messenger.Effect{Reroute{Address: r.chain[0].Address, Chain: chain.Stages}}
}

// rerouted applies the result of a reroute of a running request.
func (d *Dispatcher) rerouted(now time.Time, ev Rerouted) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	if ev.IsAccepted {
		target := r.target
		d.release(r)
		r.chain, r.target = ev.Chain, target
		d.chooser.Acquire(r.targets())
	}
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RequestRerouted, Subject: "request/" + string(r.id),
		Values: []any{"taken", ev.IsAccepted, reasonKey, ev.Reason, "fault", ev.FaultAddress, "parts", len(ev.Chain)},
	}}
	if ev.IsAccepted || ev.FaultAddress == "" {
		return append(effects, Wait{Until: now.Add(probeIdleTimeout)})
	}
	d.chooser.Avoid(ev.FaultAddress, now.Add(fullTargetBackoff))
	return append(effects, d.rerouteChain(now, r)...)
}

// hasAlternative reports whether another attempt is possible: a plain request needs a target that
// it was not sent to yet or another node, while a request that uses chains may be sent along the same chain again.
func (d *Dispatcher) hasAlternative(now time.Time, r *request) bool {
	return d.chooser.IsChained(r.service) || d.chooser.Target(now, r.service, r.tried, 1) != nil || d.mustDelegate(r)
}

// probed handles the answer of a stalled chain's first target, which names the target that the
// request waits for. That target is ejected, or the first one if it did not answer.
func (d *Dispatcher) probed(now time.Time, ev Probed) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	if ev.IsUnreached {
		return d.failOver(now, ev.Call, r, "path to the targets is lost", ev.Seed)
	}
	faulty := ev.FaultAddress
	var effects []messenger.Effect
	if ev.IsUnanswered {
		faulty = d.address(r)
		effects = d.logPaths(d.paths.Failed(now, r.target))
	}
	if faulty == "" {
		return []messenger.Effect{Wait{Until: now.Add(streamIdleTimeout)}}
	}
	effects = append(effects, d.eject(now, faulty, d.causeOfSilence(r.service), "a stalled request waits for this target")...)
	return append(effects, d.failOver(now, ev.Call, r, "request waits for target "+faulty, ev.Seed)...)
}

// logAttempt logs the end of an attempt, or that it stalled; isCandidate says that the request may have
// crashed a target.
func (d *Dispatcher) logAttempt(now time.Time, r *request, ev AttemptReported, isCandidate bool) messenger.Effect {
	return messenger.Log{Event: eventlogger.AttemptEnded, Subject: "request/" + string(r.id), Values: []any{
		"outcome", ev.Outcome, "target", r.target, "delegate", r.delegate, "status", ev.Status, reasonKey, ev.Reason, "fault", ev.FaultAddress,
		"took_ms", now.Sub(r.sent).Milliseconds(), "events", ev.Events, fingerprintKey, r.key.Request, groupKey, r.key.Group, partsKey, r.key.Parts, "candidate", isCandidate,
	}}
}
