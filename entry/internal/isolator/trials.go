package isolator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/watcher"
)

// scheduleTrials queues a trial for each pending draft for which a target without other candidates
// is available.
func (i *Isolator) scheduleTrials(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	var rest []StageLost
	pending := i.pending
	i.pending = nil
	for _, l := range pending {
		target, isBusy := i.chooseTarget(now, l)
		switch {
		case i.isOnTrial(now, l.Fingerprint) || isBusy || i.nextTrialAt[l.Draft].After(now):
			rest = append(rest, l)
		case target == "":
			effects = append(effects, i.resolveWithoutTrial(now, l)...)
		default:
			effects = append(effects, i.queueTrial(now, l, target)...)
		}
	}
	i.pending = append(i.pending, rest...)
	return effects
}

// isOnTrial reports whether a request with the same fingerprint is on trial, or queued for one, at
// this node or a peer.
func (i *Isolator) isOnTrial(now time.Time, fingerprint string) bool {
	for _, t := range i.trials {
		if t.lost.Fingerprint == fingerprint {
			return true
		}
	}
	for _, r := range i.peerStates {
		if r.expiresAt.After(now) && r.hasTrial(fingerprint) {
			return true
		}
	}
	return false
}

// chooseTarget returns the target for the draft's trial. Among live targets without a trial of this
// node, it prefers one that no peer wants, and then the one with the highest rendezvous hash of the
// fingerprint, which is the same at every node. If all live targets have trials of this node, it
// returns no target and true.
func (i *Isolator) chooseTarget(now time.Time, l StageLost) (identifier.TargetID, bool) {
	var best identifier.TargetID
	var highest uint64
	isBusy, bestIsWanted := false, true
	for _, t := range l.Candidates {
		if i.isDead(now, t) {
			continue
		}
		if i.trials[t] != nil {
			isBusy = true
			continue
		}
		isWanted := i.isWantedByPeers(now, t)
		weight := rank(l.Fingerprint, t)
		if best == "" || (bestIsWanted && !isWanted) || (bestIsWanted == isWanted && weight > highest) {
			best, highest, bestIsWanted = t, weight, isWanted
		}
	}
	return best, best == "" && isBusy
}

func rank(fingerprint string, t identifier.TargetID) uint64 {
	return xxhash.Sum64String(fingerprint + "\x00" + string(t))
}

func (i *Isolator) isDead(now time.Time, t identifier.TargetID) bool {
	at, ok := i.targetLostAt[t]
	return ok && now.Sub(at) < lostTargetTTL && !i.targetAliveAt[t].After(at)
}

// mayStart reports whether the trial may start: no peer runs a candidate at the target or wants to
// run one of lower rank there, and no peer tries the same fingerprint elsewhere. Two nodes whose
// notices are lost may both start; evaluateTrial handles that.
func (i *Isolator) mayStart(now time.Time, t *trial, target identifier.TargetID) bool {
	if now.Sub(t.queuedAt) < peerClaimWindow {
		return false
	}
	for _, r := range i.peerStates {
		if r.expiresAt.After(now) && r.precedes(t.lost.Fingerprint, target) {
			return false
		}
	}
	return true
}

// resolveWithoutTrial lets a draft continue for which no target is available for a trial. If its
// request loses maxUntriedLosses targets that way, it is confirmed as poison.
func (i *Isolator) resolveWithoutTrial(now time.Time, l StageLost) []messenger.Effect {
	i.untriedLosses[l.Fingerprint]++
	i.untriedUntil[l.Fingerprint] = now.Add(untriedLossTTL)
	if i.untriedLosses[l.Fingerprint] < maxUntriedLosses {
		return []messenger.Effect{routeDecision(l, RunUnrestricted, "")}
	}
	i.newlyConfirmed[l.Fingerprint] = now.Add(decisionRepeatWindow)
	effects := []messenger.Effect{logEffect(eventlogger.PoisonConfirmed, l.Draft, "target", l.Target), routeDecision(l, Refuse, "")}
	return append(effects, i.confirmPoison(now, l.Fingerprint)...)
}

// queueTrial queues a trial. It starts once the target showed a sign of life and no peer has
// precedence.
func (i *Isolator) queueTrial(now time.Time, l StageLost, target identifier.TargetID) []messenger.Effect {
	t := &trial{lost: l, queuedAt: now, expiresAt: now.Add(trialTimeout)}
	i.trials[target] = t
	return i.probe(now, t, target)
}

func (i *Isolator) probe(now time.Time, t *trial, target identifier.TargetID) []messenger.Effect {
	known, ok := i.targets[target]
	if !ok || now.Sub(i.targetAliveAt[target]) < aliveWindow {
		t.phase = trialQueued
		return nil
	}
	t.phase = trialProbing
	return []messenger.Effect{watcher.ReadStatus{Target: target, Address: known.Address}}
}

// startTrials starts the queued trials that no peer has precedence over.
func (i *Isolator) startTrials(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, target := range sortedKeys(i.trials) {
		t := i.trials[target]
		if t.phase != trialQueued || !i.mayStart(now, t, target) {
			continue
		}
		if effects = append(effects, i.probe(now, t, target)...); t.phase == trialQueued {
			effects = append(effects, i.startTrial(now, t, target)...)
		}
	}
	return effects
}

func (i *Isolator) startTrial(now time.Time, t *trial, target identifier.TargetID) []messenger.Effect {
	t.phase, t.expiresAt = trialRunning, now.Add(trialTimeout)
	return []messenger.Effect{logEffect(eventlogger.TrialStarted, t.lost.Draft, "target", target), routeDecision(t.lost, RunAlone, target)}
}

func (i *Isolator) handleProbed(now time.Time, target identifier.TargetID) {
	i.targetAliveAt[target] = now
	if t, ok := i.trials[target]; ok && t.phase == trialProbing {
		t.phase = trialQueued
	}
}

// handleProbeFailed excludes a target from trials. Its failure says nothing about the draft that
// was to be tried there.
func (i *Isolator) handleProbeFailed(now time.Time, target identifier.TargetID) {
	if t, ok := i.trials[target]; !ok || t.phase != trialProbing {
		return
	}
	i.markTargetLost(now, target)
}
