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
	// noticeInterval is the interval between notices without changes. peerNoticeTTL is how long a
	// peer's notice is valid, so that a lost one blocks nothing for longer.
	noticeInterval = 250 * time.Millisecond
	peerNoticeTTL  = time.Second
)

// peerState is the state that a peer reported last.
type peerState struct {
	number     int64
	expiresAt  time.Time
	candidates []string
	queued     []Trial
	trials     []Trial
	// cleared holds the decisions that were already applied, and until when the peer may repeat
	// them.
	cleared map[string]time.Time
}

func (r *peerState) hasTrial(fingerprint string) bool {
	isSame := func(t Trial) bool { return t.Fingerprint == fingerprint }
	return slices.ContainsFunc(r.queued, isSame) || slices.ContainsFunc(r.trials, isSame)
}

// precedes reports whether a trial of the peer has precedence over one of the fingerprint at the
// target: another fingerprint at the same target, or the same fingerprint at another target.
func (r *peerState) precedes(fingerprint string, target identifier.TargetID) bool {
	isOther := func(t Trial) bool { return (t.Fingerprint == fingerprint) != (t.Target == target) }
	isBefore := func(t Trial) bool {
		return isOther(t) && rank(t.Fingerprint, t.Target) < rank(fingerprint, target)
	}
	return slices.ContainsFunc(r.trials, isOther) || slices.ContainsFunc(r.queued, isBefore)
}

// isWantedByPeers reports whether a peer runs a trial at the target or has queued one.
func (i *Isolator) isWantedByPeers(now time.Time, target identifier.TargetID) bool {
	isAtTarget := func(t Trial) bool { return t.Target == target }
	for _, r := range i.peerStates {
		if r.expiresAt.After(now) && (slices.ContainsFunc(r.queued, isAtTarget) || slices.ContainsFunc(r.trials, isAtTarget)) {
			return true
		}
	}
	return false
}

// peerTrials returns the other candidates that peers run at the target.
func (i *Isolator) peerTrials(target identifier.TargetID, fingerprint string) map[string]bool {
	others := map[string]bool{}
	for _, r := range i.peerStates {
		for _, t := range r.trials {
			if t.Target == target && t.Fingerprint != fingerprint {
				others[t.Fingerprint] = true
			}
		}
	}
	return others
}

// handleNotice applies a peer's notice. Decisions are applied in any order; the rest only from the
// newest notice.
func (i *Isolator) handleNotice(now time.Time, n Notice) []messenger.Effect {
	r, ok := i.peerStates[n.Node]
	if !ok {
		r = &peerState{cleared: map[string]time.Time{}}
		i.peerStates[n.Node] = r
	}
	var effects []messenger.Effect
	for _, f := range n.Cleared {
		effects = append(effects, i.clearedByPeer(now, r, f)...)
	}
	for _, f := range n.Confirmed {
		effects = append(effects, i.confirmedByPeer(now, r, f)...)
	}
	if n.Number <= r.number {
		return effects
	}
	changed := !slices.Equal(r.candidates, n.Candidates)
	r.number, r.expiresAt = n.Number, now.Add(peerNoticeTTL)
	r.candidates, r.queued, r.trials = n.Candidates, n.Queued, n.Trials
	if changed {
		effects = append(effects, i.broadcastCandidates())
	}
	return effects
}

func (i *Isolator) confirmedByPeer(now time.Time, r *peerState, fingerprint string) []messenger.Effect {
	if _, ok := i.confirmed[fingerprint]; ok {
		return nil
	}
	for _, t := range r.trials {
		if t.Fingerprint == fingerprint {
			i.markTargetLost(now, t.Target)
		}
	}
	return i.confirmPoison(now, fingerprint)
}

// clearedByPeer lets pending drafts with the fingerprint continue. The peer repeats the decision
// for a while, but it is applied once, since the request may become a candidate again.
func (i *Isolator) clearedByPeer(now time.Time, r *peerState, fingerprint string) []messenger.Effect {
	_, known := r.cleared[fingerprint]
	r.cleared[fingerprint] = now.Add(2 * decisionRepeatWindow)
	if known {
		return nil
	}
	for _, t := range r.trials {
		if t.Fingerprint == fingerprint {
			i.targetAliveAt[t.Target] = now
		}
	}
	i.requeueUnstarted(fingerprint)
	return i.clearCandidate(fingerprint)
}

// expirePeers drops the expired notices of peers.
func (i *Isolator) expirePeers(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, id := range sortedKeys(i.peerStates) {
		r := i.peerStates[id]
		dropExpired(r.cleared, now)
		if r.expiresAt.After(now) {
			continue
		}
		hadCandidates := len(r.candidates) > 0
		r.candidates, r.queued, r.trials = nil, nil, nil
		if hadCandidates {
			effects = append(effects, i.broadcastCandidates())
		}
	}
	return effects
}

// handlePeersChanged sends the confirmed poison to new and restarted peers. The notice has no number,
// so that they apply nothing else from it.
func (i *Isolator) handlePeersChanged(ev heartbeater.PeersChanged) []messenger.Effect {
	var newPeers []string
	for _, p := range ev.Peers {
		before, known := i.peers[p.Node]
		i.peers[p.Node] = p
		if p.State == heartbeater.StateAlive && (!known || before.State == heartbeater.StateDead || before.Incarnation != p.Incarnation) {
			newPeers = append(newPeers, p.Address)
		}
	}
	if len(newPeers) == 0 || len(i.confirmed) == 0 {
		return nil
	}
	return []messenger.Effect{NotifyPeers{Addresses: newPeers, Notice: Notice{Confirmed: sortedKeys(i.confirmed)}}}
}

// notifyPeers sends this node's candidates, trials and recent decisions, if they changed or the
// last notice is too old.
func (i *Isolator) notifyPeers(now time.Time) []messenger.Effect {
	if len(i.candidates)+len(i.trials)+len(i.cleared)+len(i.newlyConfirmed)+len(i.lastNotice.Candidates)+len(i.lastNotice.Queued)+len(i.lastNotice.Trials) == 0 {
		return nil
	}
	notice := i.currentNotice()
	notice.Number = i.lastNotice.Number
	if reflect.DeepEqual(notice, i.lastNotice) && now.Sub(i.lastNoticeAt) < noticeInterval {
		return nil
	}
	// The clock makes numbers increase across restarts.
	notice.Number = max(i.lastNotice.Number+1, now.UnixNano())
	i.lastNotice, i.lastNoticeAt = notice, now
	var addresses []string
	for _, id := range sortedKeys(i.peers) {
		if i.peers[id].State != heartbeater.StateDead {
			addresses = append(addresses, i.peers[id].Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []messenger.Effect{NotifyPeers{Addresses: addresses, Notice: notice}}
}

func (i *Isolator) currentNotice() Notice {
	var n Notice
	if len(i.candidates) > 0 {
		n.Candidates = sortedKeys(i.candidates)
	}
	if len(i.cleared)+len(i.newlyConfirmed) > 0 {
		n.Cleared, n.Confirmed = sortedKeys(i.cleared), sortedKeys(i.newlyConfirmed)
	}
	for _, target := range sortedKeys(i.trials) {
		t := Trial{Fingerprint: i.trials[target].lost.Fingerprint, Target: target}
		if i.trials[target].phase < trialRunning {
			n.Queued = append(n.Queued, t)
			continue
		}
		n.Trials = append(n.Trials, t)
	}
	return n
}
