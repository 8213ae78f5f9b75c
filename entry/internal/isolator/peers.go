package isolator

import (
	"reflect"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

const (
	// tellEvery is the time between two notices that say the same, and peerFor how long a
	// peer's notice counts, so that one that is lost holds up nothing for longer.
	tellEvery = 250 * time.Millisecond
	peerFor   = time.Second
)

// remote is what a peer told last.
type remote struct {
	number   int64
	until    time.Time
	suspects []string
	wanted   []Trial
	trials   []Trial
	// cleared holds the verdicts that were taken in, and until when they are told again.
	cleared map[string]time.Time
}

func (r *remote) tries(fingerprint string) bool {
	isSame := func(t Trial) bool { return t.Fingerprint == fingerprint }
	return slices.ContainsFunc(r.wanted, isSame) || slices.ContainsFunc(r.trials, isSame)
}

// precedes reports whether a trial of the peer comes before one of the fingerprint at
// the target: another at the same target, or the same at another.
func (r *remote) precedes(fingerprint string, target identifier.TargetID) bool {
	isOther := func(t Trial) bool { return (t.Fingerprint == fingerprint) != (t.Target == target) }
	isBefore := func(t Trial) bool {
		return isOther(t) && rank(t.Fingerprint, t.Target) < rank(fingerprint, target)
	}
	return slices.ContainsFunc(r.trials, isOther) || slices.ContainsFunc(r.wanted, isBefore)
}

func (i *Isolator) isWantedByPeer(now time.Time, target identifier.TargetID) bool {
	isThere := func(t Trial) bool { return t.Target == target }
	for _, r := range i.remote {
		if r.until.After(now) && (slices.ContainsFunc(r.wanted, isThere) || slices.ContainsFunc(r.trials, isThere)) {
			return true
		}
	}
	return false
}

// triedByPeers returns the other suspects that peers run at the target.
func (i *Isolator) triedByPeers(target identifier.TargetID, fingerprint string) map[string]bool {
	others := map[string]bool{}
	for _, r := range i.remote {
		for _, t := range r.trials {
			if t.Target == target && t.Fingerprint != fingerprint {
				others[t.Fingerprint] = true
			}
		}
	}
	return others
}

// heard takes in what a peer suspects, tries, clears and convicts. Verdicts count in any
// order; of the rest the newest notice.
func (i *Isolator) heard(now time.Time, n Notice) []messenger.Effect {
	r, ok := i.remote[n.Node]
	if !ok {
		r = &remote{cleared: map[string]time.Time{}}
		i.remote[n.Node] = r
	}
	var effects []messenger.Effect
	for _, f := range n.Cleared {
		effects = append(effects, i.clearedByPeer(now, r, f)...)
	}
	for _, f := range n.Convicted {
		effects = append(effects, i.convictedByPeer(now, r, f)...)
	}
	if n.Number <= r.number {
		return effects
	}
	areNew := !slices.Equal(r.suspects, n.Suspects)
	r.number, r.until = n.Number, now.Add(peerFor)
	r.suspects, r.wanted, r.trials = n.Suspects, n.Wanted, n.Trials
	if areNew {
		effects = append(effects, i.broadcastSuspects())
	}
	return effects
}

func (i *Isolator) convictedByPeer(now time.Time, r *remote, fingerprint string) []messenger.Effect {
	if _, ok := i.convicted[fingerprint]; ok {
		return nil
	}
	for _, t := range r.trials {
		if t.Fingerprint == fingerprint {
			i.targetLost(now, t.Target)
		}
	}
	return i.convict(now, fingerprint)
}

// clearedByPeer lets those with the same body go on freely. The verdict is told for a
// while, but counts once: the request may become suspect again.
func (i *Isolator) clearedByPeer(now time.Time, r *remote, fingerprint string) []messenger.Effect {
	_, known := r.cleared[fingerprint]
	r.cleared[fingerprint] = now.Add(2 * repeatFor)
	if known {
		return nil
	}
	for _, t := range r.trials {
		if t.Fingerprint == fingerprint {
			i.aliveAt[t.Target] = now
		}
	}
	i.dropWanted(fingerprint)
	return i.clear(fingerprint)
}

// forgetPeers drops the notices of peers that have been silent.
func (i *Isolator) forgetPeers(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, id := range keys(i.remote) {
		r := i.remote[id]
		dropOld(r.cleared, now)
		if r.until.After(now) {
			continue
		}
		had := len(r.suspects) > 0
		r.suspects, r.wanted, r.trials = nil, nil, nil
		if had {
			effects = append(effects, i.broadcastSuspects())
		}
	}
	return effects
}

// peersChanged tells peers that have just come what is convicted.
func (i *Isolator) peersChanged(ev heartbeater.PeersChanged) []messenger.Effect {
	var fresh []string
	for _, p := range ev.Peers {
		before, known := i.peers[p.Node]
		i.peers[p.Node] = p
		if p.State == heartbeater.StateAlive && (!known || before.State == heartbeater.StateDead || before.Incarnation != p.Incarnation) {
			fresh = append(fresh, p.Address)
		}
	}
	if len(fresh) == 0 || len(i.convicted) == 0 {
		return nil
	}
	return []messenger.Effect{TellPeers{Addresses: fresh, Notice: Notice{Convicted: keys(i.convicted)}}}
}

// tell sends what this node suspects and tries, and its newest verdicts, when it changed or was long ago.
func (i *Isolator) tell(now time.Time) []messenger.Effect {
	if len(i.suspects)+len(i.trials)+len(i.cleared)+len(i.newly)+len(i.sent.Suspects)+len(i.sent.Wanted)+len(i.sent.Trials) == 0 {
		return nil
	}
	notice := i.state()
	notice.Number = i.sent.Number
	if reflect.DeepEqual(notice, i.sent) && now.Sub(i.sentAt) < tellEvery {
		return nil
	}
	// The clock keeps the numbers growing over a restart.
	notice.Number = max(i.sent.Number+1, now.UnixNano())
	i.sent, i.sentAt = notice, now
	var addresses []string
	for _, id := range keys(i.peers) {
		if i.peers[id].State != heartbeater.StateDead {
			addresses = append(addresses, i.peers[id].Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []messenger.Effect{TellPeers{Addresses: addresses, Notice: notice}}
}

func (i *Isolator) state() Notice {
	var n Notice
	if len(i.suspects) > 0 {
		n.Suspects = keys(i.suspects)
	}
	if len(i.cleared)+len(i.newly) > 0 {
		n.Cleared, n.Convicted = keys(i.cleared), keys(i.newly)
	}
	for _, target := range keys(i.trials) {
		t := Trial{Fingerprint: i.trials[target].lost.Fingerprint, Target: target}
		if i.trials[target].phase < running {
			n.Wanted = append(n.Wanted, t)
			continue
		}
		n.Trials = append(n.Trials, t)
	}
	return n
}
