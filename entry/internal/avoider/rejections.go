package avoider

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

const (
	// minBackoff is how long a target that has rejected a request is avoided. The time doubles up to maxBackoff with each further
	// rejection that comes less than rejectionMemory after its end.
	minBackoff      = 250 * time.Millisecond
	maxBackoff      = 2 * time.Second
	rejectionMemory = 2 * time.Second
	// minReturnTime is the least time over which a target gets its share of requests back. With 250 ms, up to six requests of 80 nodes came before
	// all nodes knew of the first rejection.
	minReturnTime = 750 * time.Millisecond
	// tellInterval is the least time between two messages about one target from this node.
	tellInterval = 500 * time.Millisecond
	// maxLearnedShare is the share of all targets that may be avoided by what other nodes say alone, but one always may: the
	// targets that are left must not be overloaded by it.
	maxLearnedShare = 0.05
)

// Rejection is what a node tells others of a target that rejects requests.
type Rejection struct {
	Target identifier.TargetID `json:"target"`
	// Incarnation is the one of the target's entry.
	Incarnation int64 `json:"incarnation"`
	// AgeMS is the age of the rejection, in milliseconds, as the clocks of nodes differ.
	AgeMS int64 `json:"age_ms"`
	// AvoidMS is how long the target is avoided from the rejection on, in milliseconds.
	AvoidMS int64 `json:"avoid_ms"`
}

// IsValid reports whether a node can have told the rejection.
func (r Rejection) IsValid() bool {
	return r.AgeMS >= 0 && r.AvoidMS > r.AgeMS && r.AvoidMS <= maxBackoff.Milliseconds()
}

// RejectionsLearned is the event that other nodes have told of targets that reject requests.
type RejectionsLearned struct{ Rejections []Rejection }

// TellRejections is the effect that tells other nodes of targets that reject requests.
type TellRejections struct{ Rejections []Rejection }

// counts counts how often this node began to avoid a target, since the start.
type counts struct {
	// Own counts those for rejections of this node's requests, Learned those for what other nodes told, and Dropped those that were
	// ended again, as too many targets would have been avoided by what other nodes told.
	Own, Learned, Dropped int
}

// rejecting is a target that has rejected requests.
type rejecting struct {
	incarnation int64
	// from and until bound the last time of avoidance, backoff is its length.
	from    time.Time
	until   time.Time
	backoff time.Duration
	// toldAt is when this node last told others, zero if it never did.
	toldAt time.Time
	// isOwn is set if the target has rejected a request of this node.
	isOwn bool
}

// Reject avoids the target at an address that has rejected a request of this node now, and tells other nodes. Requests that were sent before
// may be rejected during that time, and change nothing.
func (a *Avoider) Reject(now time.Time, address string) []messenger.Effect {
	id, ok := a.ids[address]
	if !ok {
		a.avoided[address] = now.Add(minBackoff)
		return nil
	}
	incarnation := a.known[id].incarnation
	r := a.entryOf(id, incarnation)
	r.isOwn = true
	if now.Before(r.until) {
		return nil
	}
	r.backoff = r.nextBackoff(now)
	r.from, r.until = now, now.Add(r.backoff)
	a.counts.Own++
	effects := []messenger.Effect{a.logRejecting(now, id, "this node")}
	if !r.toldAt.IsZero() && now.Sub(r.toldAt) < tellInterval {
		return effects
	}
	r.toldAt = now
	told := Rejection{Target: id, Incarnation: incarnation, AvoidMS: r.backoff.Milliseconds()}
	return append(effects, TellRejections{Rejections: []Rejection{told}})
}

// entryOf returns the entry of an incarnation of a target, which is new if none or an earlier one is known.
func (a *Avoider) entryOf(id identifier.TargetID, incarnation int64) *rejecting {
	r, ok := a.rejecting[id]
	if !ok || r.incarnation < incarnation {
		r = &rejecting{incarnation: incarnation}
		a.rejecting[id] = r
	}
	return r
}

// nextBackoff returns how long the target is avoided if it rejects a request now.
func (r *rejecting) nextBackoff(now time.Time) time.Duration {
	if r.backoff == 0 || now.Sub(r.until) >= rejectionMemory {
		return minBackoff
	}
	return min(maxBackoff, 2*r.backoff)
}

// LearnRejections avoids targets of which other nodes have told that they reject requests, unless they are not known, or have restarted since.
func (a *Avoider) LearnRejections(now time.Time, told []Rejection) []messenger.Effect {
	var effects []messenger.Effect
	for _, t := range told {
		if a.learn(now, t) {
			effects = append(effects, a.logRejecting(now, t.Target, "a peer"))
		}
	}
	return effects
}

// learn avoids a target that another node has told of. It reports whether the target was not avoided before.
func (a *Avoider) learn(now time.Time, told Rejection) bool {
	p, ok := a.known[told.Target]
	if !told.IsValid() || !ok || told.Incarnation < p.incarnation {
		return false
	}
	r := a.entryOf(told.Target, told.Incarnation)
	from := now.Add(-time.Duration(told.AgeMS) * time.Millisecond)
	backoff := time.Duration(told.AvoidMS) * time.Millisecond
	if told.Incarnation < r.incarnation || !from.Add(backoff).After(r.until) {
		return false
	}
	isNew := !now.Before(r.until)
	r.from, r.until, r.backoff = from, from.Add(backoff), backoff
	if !isNew {
		return false
	}
	r.isOwn = false
	a.counts.Learned++
	a.limitLearned(now, a.limit(maxLearnedShare))
	return a.IsRejecting(now, told.Target)
}

// limitLearned ends the oldest avoidances that other nodes have caused, until there are no more than the limit.
func (a *Avoider) limitLearned(now time.Time, limit int) {
	for {
		count := 0
		var oldest identifier.TargetID
		for id, r := range a.rejecting {
			if r.isOwn || !now.Before(r.until) {
				continue
			}
			count++
			if count == 1 || cmp.Or(r.from.Compare(a.rejecting[oldest].from), cmp.Compare(id, oldest)) < 0 {
				oldest = id
			}
		}
		if count <= limit {
			return
		}
		delete(a.rejecting, oldest)
		a.counts.Dropped++
	}
}

func (a *Avoider) dropRejections(now time.Time) {
	maps.DeleteFunc(a.rejecting, func(_ identifier.TargetID, r *rejecting) bool { return now.Sub(r.until) >= rejectionMemory })
}

// IsRejecting reports whether a target is avoided for rejections.
func (a *Avoider) IsRejecting(now time.Time, id identifier.TargetID) bool {
	r, ok := a.rejecting[id]
	return ok && now.Before(r.until)
}

// IsWithheld reports whether one request, with a random seed, goes around a target for its rejections. After the end of an avoidance the
// share of requests that do falls over the same time again, as the end is about the same at all nodes: the first request that is
// rejected again comes when few others are on their way.
func (a *Avoider) IsWithheld(now time.Time, id identifier.TargetID, seed uint64) bool {
	r, ok := a.rejecting[id]
	if !ok || now.Before(r.until) {
		return ok
	}
	returned := float64(now.Sub(r.until)) / float64(max(minReturnTime, r.backoff))
	return rand.New(rand.NewPCG(seed, uint64(r.until.UnixNano()))).Float64() >= returned*returned
}

// countRejecting returns how many targets are avoided for rejections now.
func (a *Avoider) countRejecting(now time.Time) int {
	count := 0
	for id := range a.rejecting {
		if a.IsRejecting(now, id) {
			count++
		}
	}
	return count
}

// RejectionStatus returns how often targets were avoided for rejections, for the status page.
func (a *Avoider) RejectionStatus(now time.Time) describer.RejectionStatus {
	return describer.RejectionStatus{Avoided: a.countRejecting(now), Own: a.counts.Own, Learned: a.counts.Learned, Dropped: a.counts.Dropped}
}

func (a *Avoider) logRejecting(now time.Time, id identifier.TargetID, seenBy string) messenger.Effect {
	return messenger.Log{Event: eventlogger.TargetRejects, Subject: "target/" + string(id), Values: []any{
		"seen_by", seenBy, "avoid_ms", a.rejecting[id].until.Sub(now).Milliseconds(), "avoided", a.countRejecting(now),
		"own", a.counts.Own, "learned", a.counts.Learned, "dropped", a.counts.Dropped,
	}}
}
