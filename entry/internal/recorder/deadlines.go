package recorder

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

func (r *Recorder) tick(now time.Time) []messenger.Effect {
	effects := append(r.retryAppends(now), r.carryTick(now)...)
	effects = append(effects, r.retryGapRead(now)...)
	wasFrozen := !r.lastTick.IsZero() && now.Sub(r.lastTick) >= freezeThreshold
	r.lastTick = now
	isDue := func(g *callGroup) bool {
		return r.hasExpiredCall(now, g) || r.cannotProgress(now, g) || (!g.retryAt.IsZero() && !g.retryAt.After(now))
	}
	for _, g := range r.matchingGroups(isDue) {
		switch {
		case r.cannotProgress(now, g) && !wasFrozen:
			effects = append(effects, r.giveUp(g)...)
		case r.hasExpiredCall(now, g):
			effects = append(effects, r.expire(now, g, wasFrozen)...)
		default:
			g.retryAt = time.Time{}
			if r.keys[g.request.Key] == nil {
				effects = append(effects, r.appendClaim(now, g)...)
			}
		}
	}
	return effects
}

// hasExpiredCall reports whether the deadline of any call has passed.
func (r *Recorder) hasExpiredCall(now time.Time, g *callGroup) bool {
	for _, c := range g.calls {
		if !c.Deadline.After(now) {
			return true
		}
	}
	return false
}

// cannotProgress reports whether waiting longer is pointless: for its grace period, the log has been
// unreachable, or the key's owner has not been a known member.
func (r *Recorder) cannotProgress(now time.Time, g *callGroup) bool {
	if _, ok := r.inflight[g.request.Key]; ok {
		return false
	}
	if !r.logDownSince.IsZero() && now.Sub(messenger.Later(r.logDownSince, g.waitingSince)) >= outageGrace {
		return true
	}
	k := r.keys[g.request.Key]
	if k == nil || k.owner == r.self {
		return false
	}
	_, known := r.peers[k.owner.Node]
	return !known && now.Sub(g.waitingSince) >= unknownOwnerGrace
}

// giveUp answers the calls of a group that cannot progress.
func (r *Recorder) giveUp(g *callGroup) []messenger.Effect {
	if r.mayRun(g.request.Key) {
		return r.answerAll(g, unknown(g.request, "owner_unreachable"))
	}
	return r.answerAll(g, notRun(g.request, "log_unreachable", "the platform's log cannot be reached"))
}

// mayRun reports whether, as far as this node knows, the key may run or may have run. If not,
// its callers can be told not_run: without callers, the node's own claim is never dispatched.
func (r *Recorder) mayRun(id identifier.RecordKey) bool {
	if _, ok := r.inflight[id]; ok {
		return true
	}
	k := r.keys[id]
	return k != nil && k.owner != r.self
}

// expire answers the calls whose deadline has passed. If the process was frozen, its view of
// the log is outdated: another node may have run the key in the meantime.
func (r *Recorder) expire(now time.Time, g *callGroup, wasFrozen bool) []messenger.Effect {
	var late, waiting []Requested
	for _, c := range g.calls {
		if c.Deadline.After(now) {
			waiting = append(waiting, c)
			continue
		}
		late = append(late, c)
	}
	a := notRun(g.request, "deadline", "the deadline passed before the request could be claimed")
	// The key may still run for another call that waits here.
	if len(waiting) > 0 || wasFrozen || r.mayRun(g.request.Key) {
		a = unknown(g.request, "deadline")
	}
	g.calls = late
	effects := r.answerAll(g, a)
	if len(waiting) > 0 {
		g.calls = waiting
		r.groups[g.request.Key] = g
		if g.claim != "" {
			r.claims[g.claim] = g.request.Key
		}
	}
	return effects
}

// peersChanged answers the requests that wait for an owner that died or was restarted.
func (r *Recorder) peersChanged(ev heartbeater.PeersChanged) []messenger.Effect {
	for _, p := range ev.Peers {
		r.peers[p.Node] = p
	}
	var effects []messenger.Effect
	for _, g := range r.matchingGroups(func(g *callGroup) bool { k := r.keys[g.request.Key]; return k != nil && r.isGone(k.owner) }) {
		effects = append(effects, r.answerAll(g, unknown(g.request, "owner_gone"))...)
	}
	return effects
}

// isGone reports whether the owner's process is believed to have ended. The process may only
// be frozen, so the only safe conclusion is the answer "unknown".
func (r *Recorder) isGone(o Owner) bool {
	if o.Node == r.self.Node {
		return o != r.self
	}
	p, ok := r.peers[o.Node]
	return ok && (p.State == heartbeater.StateDead || p.Incarnation > o.Incarnation)
}

func (r *Recorder) readFailed(now time.Time) {
	if r.logDownSince.IsZero() {
		r.logDownSince, r.probeAt = now, now.Add(probeInterval)
	}
}

// matchingGroups returns the call groups that match, sorted by key.
func (r *Recorder) matchingGroups(match func(*callGroup) bool) []*callGroup {
	var found []*callGroup
	for _, g := range r.groups {
		if match(g) {
			found = append(found, g)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].request.Key < found[j].request.Key })
	return found
}
