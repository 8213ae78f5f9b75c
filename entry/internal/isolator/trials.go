package isolator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/watcher"
)

// schedule begins a trial for each waiting draft for which there is a target free of suspects.
func (i *Isolator) schedule(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	var rest []StageLost
	waiting := i.waiting
	i.waiting = nil
	for _, l := range waiting {
		target, isBusy := i.choose(now, l)
		switch {
		case i.isTried(now, l.Fingerprint) || isBusy || i.notBefore[l.Draft].After(now):
			rest = append(rest, l)
		case target == "":
			effects = append(effects, i.runFreely(now, l)...)
		default:
			effects = append(effects, i.try(now, l, target)...)
		}
	}
	i.waiting = append(i.waiting, rest...)
	return effects
}

// isTried reports whether a request with the same body is on trial, or about to be, here or at a peer.
func (i *Isolator) isTried(now time.Time, fingerprint string) bool {
	for _, t := range i.trials {
		if t.lost.Fingerprint == fingerprint {
			return true
		}
	}
	for _, r := range i.remote {
		if r.until.After(now) && r.tries(fingerprint) {
			return true
		}
	}
	return false
}

// choose returns the target at which to try the draft: of those alive and without a
// trial of this node, one that no peer wants if there is any, and of these the one that
// rendezvous hashing gives its fingerprint, the same at every node. It returns none,
// and true, while this node tries others at all that are alive.
func (i *Isolator) choose(now time.Time, l StageLost) (identifier.TargetID, bool) {
	var best identifier.TargetID
	var most uint64
	isBusy, bestIsWanted := false, true
	for _, t := range l.Candidates {
		if i.isDead(now, t) {
			continue
		}
		if i.trials[t] != nil {
			isBusy = true
			continue
		}
		isWanted := i.isWantedByPeer(now, t)
		weight := rank(l.Fingerprint, t)
		if best == "" || (bestIsWanted && !isWanted) || (bestIsWanted == isWanted && weight > most) {
			best, most, bestIsWanted = t, weight, isWanted
		}
	}
	return best, best == "" && isBusy
}

func rank(fingerprint string, t identifier.TargetID) uint64 {
	return xxhash.Sum64String(fingerprint + "\x00" + string(t))
}

func (i *Isolator) isDead(now time.Time, t identifier.TargetID) bool {
	at, ok := i.lostAt[t]
	return ok && now.Sub(at) < lostFor && !i.aliveAt[t].After(at)
}

// isTurn reports whether no peer runs a suspect at the target, nor wants to run one of
// a lower rank, and no peer tries a request with the same body elsewhere. Two nodes that don't hear each other may both think so; see judge.
func (i *Isolator) isTurn(now time.Time, t *trial, target identifier.TargetID) bool {
	if now.Sub(t.since) < settleAfter {
		return false
	}
	for _, r := range i.remote {
		if r.until.After(now) && r.precedes(t.lost.Fingerprint, target) {
			return false
		}
	}
	return true
}

// runFreely lets a draft go on for which there is no target to try it at; one that goes
// on losing targets that way is convicted.
func (i *Isolator) runFreely(now time.Time, l StageLost) []messenger.Effect {
	i.freely[l.Fingerprint]++
	if i.freely[l.Fingerprint] < freeLimit {
		return []messenger.Effect{rule(l, RunFreely, "")}
	}
	i.newly[l.Fingerprint] = now.Add(repeatFor)
	effects := []messenger.Effect{log(eventlogger.RequestConvicted, l.Draft, "target", l.Target), rule(l, Refuse, "")}
	return append(effects, i.convict(now, l.Fingerprint)...)
}

// try wants a trial; it begins when the target showed a sign of life and peers leave it to this suspect.
func (i *Isolator) try(now time.Time, l StageLost, target identifier.TargetID) []messenger.Effect {
	t := &trial{lost: l, since: now, until: now.Add(trialLimit)}
	i.trials[target] = t
	return i.probe(now, t, target)
}

func (i *Isolator) probe(now time.Time, t *trial, target identifier.TargetID) []messenger.Effect {
	known, ok := i.targets[target]
	if !ok || now.Sub(i.aliveAt[target]) < aliveFor {
		t.phase = queued
		return nil
	}
	t.phase = probing
	return []messenger.Effect{watcher.ReadStatus{Target: target, Address: known.Address}}
}

// begin begins the trials whose turn it is.
func (i *Isolator) begin(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, target := range keys(i.trials) {
		t := i.trials[target]
		if t.phase != queued || !i.isTurn(now, t, target) {
			continue
		}
		if effects = append(effects, i.probe(now, t, target)...); t.phase == queued {
			effects = append(effects, i.run(now, t, target)...)
		}
	}
	return effects
}

func (i *Isolator) run(now time.Time, t *trial, target identifier.TargetID) []messenger.Effect {
	t.phase, t.until = running, now.Add(trialLimit)
	return []messenger.Effect{log(eventlogger.TrialStarted, t.lost.Draft, "target", target), rule(t.lost, RunAlone, target)}
}

func (i *Isolator) probed(now time.Time, target identifier.TargetID) {
	i.aliveAt[target] = now
	if t, ok := i.trials[target]; ok && t.phase == probing {
		t.phase = queued
	}
}

// probeFailed takes a target out of the choice; its death says nothing of the draft that was to be tried there.
func (i *Isolator) probeFailed(now time.Time, target identifier.TargetID) {
	if t, ok := i.trials[target]; !ok || t.phase != probing {
		return
	}
	i.targetLost(now, target)
}
