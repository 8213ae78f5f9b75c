package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/continuer"
	"fuchsiabridge.example/entry/internal/pathtracker"
	"fuchsiabridge.example/entry/internal/trier"
)

// maxCrashesUntilSentAgain is how many attempts of a request may have crashed targets for it to be still rerouted. Sending it again waits
// for other attempts at requests that may be poison.
const maxCrashesUntilSentAgain = trier.SingleTrierAttempts - 1

// stalled decides what to do with an attempt that has delivered no data within its idle timeout.
func (d *Dispatcher) stalled(now time.Time, ev AttemptReported, r *request) []messenger.Effect {
	switch {
	case r.delegate != "":
		return d.stalledDelegate(now, ev, r)
	case r.stalledAttempt != nil && ev.IsStalledReadable:
		return d.returnToStalled(now, r)
	case len(r.chain) == 0:
		return d.stalledPlain(now, ev, r)
	case d.mustDelegate(r):
		return d.failOver(now, ev.Call, r, "path to the targets is lost", ev.Seed)
	}
	state := d.chainState(now, ev, r)
	switch r.progress.Decide(now, state) {
	case continuer.SendAgain:
		return d.failOver(now, ev.Call, r, "a target of the chain was ejected, or other nodes have seen it fail", ev.Seed)
	case continuer.Reroute:
		return d.continueLost(now, ev.Call, r, ev.Seed)
	case continuer.LeaveSilent:
		return d.leaveSilentChain(now, ev, r, state)
	case continuer.LeaveStalled:
		return d.leaveStalledChain(now, ev, r)
	case continuer.Probe:
		return []messenger.Effect{Probe{Target: r.target, Address: r.chain[0].Address}}
	case continuer.Wait:
	}
	// Before the first event, and where the gaps decide, a chain is checked more often.
	if state.FollowsGaps || !state.HasEvents {
		return []messenger.Effect{Wait{Until: now.Add(stallCheckInterval)}}
	}
	return []messenger.Effect{Wait{Until: now.Add(streamIdleTimeout)}}
}

// returnToStalled leaves an attempt that has delivered nothing for the stalled one that was kept, which goes on first.
func (d *Dispatcher) returnToStalled(now time.Time, r *request) []messenger.Effect {
	left := AttemptReported{Outcome: Stalled, Reason: "the stalled attempt goes on", Events: r.events}
	isCandidate, effects := d.notePoisonCandidate(now, r, left)
	effects = append(effects, d.logAttempt(now, r, left, isCandidate))
	r.executions += r.runs
	d.release(r)
	return append(effects, d.resumeStalled(now, r)...)
}

// chainState returns what is known of a stalled stream and its chain.
func (d *Dispatcher) chainState(now time.Time, ev AttemptReported, r *request) continuer.State {
	_, isRecent := d.loads.Load(now, r.target)
	followsGaps := isRecent && r.route.IsResumable && r.route.GapObjective > 0
	hasLateGap := max(r.longestGap, ev.ChainIdleTime) > r.route.GapObjective
	hasLateStart := r.route.LatencyObjective > 0 && r.firstByte > r.route.LatencyObjective
	return continuer.State{
		Loss: d.continuer.Loss(r.chain), HasEvents: ev.Events > r.eventsBefore,
		Silence: ev.ChainIdleTime, TypicalGap: ev.ChainTypicalGap, LongestGap: ev.ChainLongestGap,
		FollowsGaps: followsGaps, IsLate: followsGaps && (hasLateGap || hasLateStart),
		IsShared: d.chooser.IsStalled(now, r.chain[0].Address) || d.chooser.OpenRequests(r.target) >= stallQuorum,
		MayMove:  d.continuer.Moves.Allows(now, r.target),
	}
}

// leaveSilentChain moves a request off a chain that is silent for longer than its gaps explain, in time for the route's gap objective.
func (d *Dispatcher) leaveSilentChain(now time.Time, ev AttemptReported, r *request, state continuer.State) []messenger.Effect {
	d.continuer.Moves.Count(now, r.target)
	r.progress.Moved()
	effects := append(d.markStalled(now, r), continuer.LogSilence(r.id, r.target, state, r.route.GapObjective))
	return append(d.reroute(now, ev.Call, r, ev.Seed), effects...)
}

// leaveStalledChain moves a request off a chain on which every request is stalled, before it
// is known which of its targets is at fault. If there is no other chain, the request waits.
func (d *Dispatcher) leaveStalledChain(now time.Time, ev AttemptReported, r *request) []messenger.Effect {
	d.continuer.Moves.Count(now, r.target)
	effects := d.markStalled(now, r)
	if !d.chooser.HasOtherChain(now, r.service) {
		return append([]messenger.Effect{Wait{Until: now.Add(stallCheckInterval)}}, effects...)
	}
	return append(d.failOver(now, ev.Call, r, "no request receives data from the chain", ev.Seed), effects...)
}

// markStalled makes new requests avoid a request's chain, and asks its first target which target the requests wait for.
func (d *Dispatcher) markStalled(now time.Time, r *request) []messenger.Effect {
	address := r.chain[0].Address
	if !d.chooser.MarkStalled(now, address, now.Add(stalledChainBackoff)) {
		return nil
	}
	return []messenger.Effect{ProbeChain{Target: r.target, Address: address}}
}

// continueLost continues a request whose chain has lost a later target. A node that gets load reports, as one of many, asks the first target to go
// around it, and spares the retry budget. A node of a small fleet has the budget to send the request again.
func (d *Dispatcher) continueLost(now time.Time, call identifier.CallID, r *request, seed uint64) []messenger.Effect {
	if r.progress.Refusals() == 0 && !d.loads.IsRecent(now) && d.maySendAgain(now, r) {
		return d.failOver(now, call, r, "a target of the chain was ejected, or other nodes have seen it fail", seed)
	}
	return d.reroute(now, call, r, seed)
}

// maySendAgain reports whether a request whose attempt is left, and may have run, may be sent again.
func (d *Dispatcher) maySendAgain(now time.Time, r *request) bool {
	left := *r
	left.hasArrived = true
	left.executions += r.runs
	return d.mayRetry(now, &left) && d.hasAlternative(now, &left) && !d.isTried(now, r.key)
}

// reroute asks the first target of a request's chain to continue the request along another chain. If there is none, it is sent again.
func (d *Dispatcher) reroute(now time.Time, call identifier.CallID, r *request, seed uint64) []messenger.Effect {
	if d.mayReroute(now, r) {
		if chain, ok := d.continuer.Find(now, r.stream(), seed); ok {
			return []messenger.Effect{Reroute{Address: r.chain[0].Address, Chain: chain}}
		}
	}
	r.progress.Exhausted()
	return d.leaveChain(now, call, r, "no other chain begins at the first target", seed)
}

// mayReroute reports whether a request may be continued along another chain. One that has crashed targets may crash further ones.
func (d *Dispatcher) mayReroute(now time.Time, r *request) bool {
	known := d.crashTracker.Histories(now, r.key)
	return !d.crashTracker.IsConfirmed(now, r.key) && known.Request.Attempts < maxCrashesUntilSentAgain
}

// leaveChain sends a request again that cannot be rerouted. One whose chain has only been silent needs another chain for that.
func (d *Dispatcher) leaveChain(now time.Time, call identifier.CallID, r *request, reason string, seed uint64) []messenger.Effect {
	if d.continuer.Loss(r.chain) == continuer.NoLoss && !d.chooser.HasOtherChain(now, r.service) {
		return d.postpone(now, r, reason)
	}
	return d.failOver(now, call, r, reason, seed)
}

// postpone lets a request wait that can neither be rerouted nor sent again now.
func (d *Dispatcher) postpone(now time.Time, r *request, reason string) []messenger.Effect {
	if r.progress.Refusals() == 0 && d.continuer.Loss(r.chain) == continuer.NoLoss {
		return []messenger.Effect{Wait{Until: now.Add(continuer.ProbeSilence)}}
	}
	until, isFirst := r.progress.Postpone(now)
	effects := []messenger.Effect{Wait{Until: until}}
	if isFirst {
		effects = append(effects, messenger.Log{
			Event: eventlogger.StreamNotContinued, Subject: "request/" + string(r.id),
			Values: []any{"first", r.target, reasonKey, reason, "refused", r.progress.Refusals(), "barrier", d.retryBarrier(now, r), sendsKey, r.attempts},
		}, d.moveOf(r, continuer.NotContinued, nil))
	}
	return effects
}

// rerouted applies the result of a reroute of a running request.
func (d *Dispatcher) rerouted(now time.Time, ev Rerouted) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	effects := []messenger.Effect{continuer.LogReroute(r.id, ev.result(), ev.IsAccepted)}
	if !ev.IsAccepted {
		return append(effects, d.rerouteRefused(now, ev, r)...)
	}
	effects = append(effects, Wait{Until: now.Add(continuer.ProbeSilence)})
	return append(effects, d.changeChain(now, ev, r)...)
}

// rerouteRefused avoids the targets that have refused a request's continuation, and continues it in another way.
func (d *Dispatcher) rerouteRefused(now time.Time, ev Rerouted, r *request) []messenger.Effect {
	d.continuer.Refuse(now, r.stream(), ev.result())
	if r.progress.Next() == continuer.Reroute {
		return d.reroute(now, ev.Call, r, ev.Seed)
	}
	return d.leaveChain(now, ev.Call, r, "reroutes were refused", ev.Seed)
}

// changeChain applies that a request goes on along another chain. What it may have done to the targets that it leaves is recorded as for
// an attempt that was left.
func (d *Dispatcher) changeChain(now time.Time, ev Rerouted, r *request) []messenger.Effect {
	target, former := r.target, r.chain
	move := d.moveOf(r, continuer.Rerouted, chainer.Without(ev.Chain, former))
	d.release(r)
	r.target, r.chain = target, chainer.Without(former, ev.Chain)
	_, effects := d.notePoisonCandidate(now, r, AttemptReported{Outcome: Stalled, Events: r.events})
	r.chain, r.sent, r.eventsBefore = ev.Chain, now, r.events
	r.before = d.crashTracker.Histories(now, r.key)
	d.trials.Begin(now, ev.Call, r.key, r.before)
	d.chooser.Acquire(r.targets())
	r.progress.Accepted()
	return append(effects, move)
}

// result returns what the continuer needs of the answer to a reroute.
func (ev Rerouted) result() continuer.Result {
	return continuer.Result{Chain: ev.Chain, Reason: ev.Reason, FaultAddress: ev.FaultAddress, IsUnanswered: ev.IsUnanswered}
}

// stream returns what the continuer knows of a request.
func (r *request) stream() continuer.Stream {
	return continuer.Stream{Service: r.service, Chain: r.chain, Progress: &r.progress}
}

// moveOf returns the effect that counts how a request was continued. The given stages read its prompt again.
func (d *Dispatcher) moveOf(r *request, how string, stages []describer.Stage) messenger.Effect {
	return RecordMove{Move: d.continuer.Move(r.stream(), how, stages, int(r.size.Prompt))}
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
		effects = pathtracker.Log(d.paths.Failed(now, r.target))
	}
	if faulty == "" {
		return []messenger.Effect{Wait{Until: now.Add(streamIdleTimeout)}}
	}
	effects = append(effects, d.eject(now, faulty, d.causeOfSilence(r.service), "a stalled request waits for this target")...)
	if d.continuer.Loss(r.chain) == continuer.LaterStage && r.progress.Next() == continuer.Reroute {
		return append(effects, d.continueLost(now, ev.Call, r, ev.Seed)...)
	}
	return append(effects, d.failOver(now, ev.Call, r, "request waits for target "+faulty, ev.Seed)...)
}
