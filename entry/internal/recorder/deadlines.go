package recorder

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

func (r *Recorder) tick(now time.Time) []messenger.Effect {
	effects := append(r.appendAgain(now), r.carryTick(now)...)
	effects = append(effects, r.fillTick(now)...)
	wasFrozen := !r.ticked.IsZero() && now.Sub(r.ticked) >= frozenAfter
	r.ticked = now
	isDue := func(w *work) bool {
		return r.isOutOfTime(now, w) || r.isHopeless(now, w) || (!w.retryAt.IsZero() && !w.retryAt.After(now))
	}
	for _, w := range r.waiting(isDue) {
		switch {
		case r.isHopeless(now, w) && !wasFrozen:
			effects = append(effects, r.giveUp(w)...)
		case r.isOutOfTime(now, w):
			effects = append(effects, r.expire(now, w, wasFrozen)...)
		default:
			w.retryAt = time.Time{}
			if r.holds[w.request.Key] == nil {
				effects = append(effects, r.appendClaim(now, w)...)
			}
		}
	}
	return effects
}

// isOutOfTime reports whether the deadline of a call passed.
func (r *Recorder) isOutOfTime(now time.Time, w *work) bool {
	for _, c := range w.calls {
		if !c.Deadline.After(now) {
			return true
		}
	}
	return false
}

// isHopeless reports whether waiting on can bring nothing: the log is unreachable, or
// the key's owner is no member.
func (r *Recorder) isHopeless(now time.Time, w *work) bool {
	if _, ok := r.flights[w.request.Key]; ok {
		return false
	}
	if !r.downSince.IsZero() && now.Sub(messenger.Later(r.downSince, w.since)) >= outageGrace {
		return true
	}
	h := r.holds[w.request.Key]
	if h == nil || h.owner == r.self {
		return false
	}
	_, known := r.peers[h.owner.Node]
	return !known && now.Sub(w.since) >= absentGrace
}

func (r *Recorder) giveUp(w *work) []messenger.Effect {
	if r.mayRun(w.request.Key) {
		return r.finish(w, unknown(w.request, "owner_unreachable"))
	}
	return r.finish(w, notRun(w.request, "log_unreachable", "the platform's log cannot be reached"))
}

// mayRun reports whether the key may run, or have run, as far as this node knows. If
// not, not_run is true for its own callers: without them its claim is never dispatched.
func (r *Recorder) mayRun(id identifier.RecordKey) bool {
	if _, ok := r.flights[id]; ok {
		return true
	}
	h := r.holds[id]
	return h != nil && h.owner != r.self
}

// expire answers the calls whose deadline passed. A process that was frozen doesn't
// know what the log holds by now: another node may have run the key since.
func (r *Recorder) expire(now time.Time, w *work, wasFrozen bool) []messenger.Effect {
	var late, waiting []Requested
	for _, c := range w.calls {
		if c.Deadline.After(now) {
			waiting = append(waiting, c)
			continue
		}
		late = append(late, c)
	}
	a := notRun(w.request, "deadline", "the deadline passed before the request could be claimed")
	// While another call of the key waits here, the key may still run.
	if len(waiting) > 0 || wasFrozen || r.mayRun(w.request.Key) {
		a = unknown(w.request, "deadline")
	}
	w.calls = late
	effects := r.finish(w, a)
	if len(waiting) > 0 {
		w.calls = waiting
		r.works[w.request.Key] = w
		if w.claim != "" {
			r.claims[w.claim] = w.request.Key
		}
	}
	return effects
}

// peersChanged gives up waiting for owners that died or were restarted.
func (r *Recorder) peersChanged(ev heartbeater.PeersChanged) []messenger.Effect {
	for _, p := range ev.Peers {
		r.peers[p.Node] = p
	}
	var effects []messenger.Effect
	for _, w := range r.waiting(func(w *work) bool { h := r.holds[w.request.Key]; return h != nil && r.isGone(h.owner) }) {
		effects = append(effects, r.finish(w, unknown(w.request, "owner_gone"))...)
	}
	return effects
}

// isGone reports whether an owner's process is believed to have ended. It may be
// frozen instead, so that nothing but an answer "unknown" may follow from it.
func (r *Recorder) isGone(o Owner) bool {
	if o.Node == r.self.Node {
		return o != r.self
	}
	p, ok := r.peers[o.Node]
	return ok && (p.State == heartbeater.StateDead || p.Incarnation > o.Incarnation)
}

func (r *Recorder) readFailed(now time.Time) {
	if r.downSince.IsZero() {
		r.downSince, r.probeAt = now, now.Add(probePause)
	}
}

// waiting returns the works for which the condition holds, in the order of their keys.
func (r *Recorder) waiting(holds func(*work) bool) []*work {
	var found []*work
	for _, w := range r.works {
		if holds(w) {
			found = append(found, w)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].request.Key < found[j].request.Key })
	return found
}
