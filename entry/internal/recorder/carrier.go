package recorder

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

const (
	// clockSkew is the largest clock difference between two nodes that is allowed for.
	clockSkew = time.Minute
	// maxKeys bounds the remembered keys, and maxBodyBytes the total size of their answers.
	maxKeys      = 100_000
	maxBodyBytes = 32 << 20
)

// Config sets how long keys are remembered.
type Config struct {
	// Window is how long a key is remembered after its claim. After that it counts as new.
	Window time.Duration
	// CarryAfter is the age at which a key's newest record is appended again. The log must
	// keep its records for more than twice this time.
	CarryAfter time.Duration
}

// carryDivisor is the divisor of the log's retention that gives Config.CarryAfter.
const carryDivisor = 5

// ConfigFor returns the configuration for a log that keeps records for keep.
func ConfigFor(keep time.Duration) Config {
	return Config{Window: time.Hour, CarryAfter: keep / carryDivisor}
}

// carrier is the state of the rounds in which old keys are appended to the log again, so that
// they outlive the log's retention.
type carrier struct {
	// nextOffset is the offset after the newest record applied.
	nextOffset identifier.Offset
	// missingBelow is the offset below which this node has not read the log, or 0. A round
	// that carried every key below it makes the node's state complete.
	missingBelow identifier.Offset
	// roundAt is when the next round is due. Only the live node with the lowest id starts it.
	roundAt time.Time
	// openRecords holds the ids of the current round's records that are not confirmed yet. round
	// is the record that will end the round, or nil if no round is in progress.
	openRecords map[string]bool
	round       *Entry
}

// resetState drops all keys because the node has not read the log below the offset. The node
// claims nothing until a round has carried all keys again.
func (r *Recorder) resetState(below identifier.Offset) {
	r.carry.missingBelow = below
	r.carry.round, r.carry.openRecords = nil, nil
	clear(r.keys)
	r.bodyBytes = 0
}

func (r *Recorder) isComplete() bool { return r.carry.missingBelow == 0 && r.gap == nil }

// applyRound marks the node's state as complete if the node has read the log since before the
// round began, and if the round carried every key that the node had missed.
func (r *Recorder) applyRound(e Entry) {
	if e.From >= r.carry.missingBelow && e.Low >= r.carry.missingBelow {
		r.carry.missingBelow = 0
		for _, k := range r.keys {
			k.mayBeStale = false
		}
	}
}

// isExpired reports whether the key's claim is older than the window at the time atMillis, so that
// the key counts as new.
func (r *Recorder) isExpired(k *keyState, atMillis int64) bool {
	return atMillis-k.claimedAt > r.cfg.Window.Milliseconds()
}

// carryTick drops keys older than the window and starts a round when one is due.
func (r *Recorder) carryTick(now time.Time) []messenger.Effect {
	if r.carry.roundAt.IsZero() {
		r.carry.roundAt = now.Add(r.cfg.CarryAfter / 2)
	}
	if now.Before(r.carry.roundAt) {
		return nil
	}
	r.carry.roundAt = now.Add(r.cfg.CarryAfter / 2)
	for id, k := range r.keys {
		if r.isExpired(k, now.Add(-clockSkew).UnixMilli()) {
			r.forget(id)
		}
	}
	if !r.isComplete() || !r.isLowest() || r.carry.round != nil {
		return nil
	}
	return r.beginRound(now)
}

// isLowest reports whether no peer with a lower id is alive. If two nodes both believe so, both
// run a round, which is harmless.
func (r *Recorder) isLowest() bool {
	for id, p := range r.peers {
		if id < r.self.Node && p.State == heartbeater.StateAlive {
			return false
		}
	}
	return true
}

// beginRound appends the state of every key whose newest record is older than CarryAfter.
func (r *Recorder) beginRound(now time.Time) []messenger.Effect {
	var old []identifier.RecordKey
	low := r.carry.nextOffset
	for id, k := range r.keys {
		if now.Sub(k.readAt) >= r.cfg.CarryAfter {
			old = append(old, id)
			continue
		}
		low = min(low, k.offset)
	}
	sort.Slice(old, func(i, j int) bool { return old[i] < old[j] })
	r.carry.openRecords = map[string]bool{}
	r.carry.round = &Entry{Kind: EntryRound, Owner: r.self, From: r.carry.nextOffset, Low: low}
	var effects []messenger.Effect
	for _, id := range old {
		carried := r.appendUntilConfirmed(now, r.keys[id].carried(id))
		r.carry.openRecords[r.lastID()] = true
		effects = append(effects, carried...)
	}
	return append(effects, r.endRound(now)...)
}

// endRound ends the round once all its records are confirmed in the log.
func (r *Recorder) endRound(now time.Time) []messenger.Effect {
	if r.carry.round == nil || len(r.carry.openRecords) > 0 {
		return nil
	}
	e := *r.carry.round
	r.carry.round = nil
	effects := r.appendUntilConfirmed(now, e)
	return append(effects, messenger.Log{Event: eventlogger.RecordsReappended, Subject: "log", Values: []any{"from", e.From, "low", e.Low}})
}

// carried returns the EntryCarry record of the key with the given id.
func (k *keyState) carried(id identifier.RecordKey) Entry {
	e := k.outcome
	e.Kind, e.Key, e.Claim, e.Fingerprint, e.Owner, e.At = EntryCarry, id, k.claim, k.fingerprint, k.owner, k.claimedAt
	return e
}

// applyCarry applies a carried key. It replaces the node's state of the key if there is none, if
// that is expired, or if it may be stale and has another claim. A record with a claim other than
// that of a valid state is ignored.
func (r *Recorder) applyCarry(now time.Time, e Entry, offset identifier.Offset) []messenger.Effect {
	k := r.keys[e.Key]
	switch {
	case k == nil || r.isExpired(k, e.At) || (k.mayBeStale && k.claim != e.Claim):
		k = &keyState{owner: e.Owner, claim: e.Claim, fingerprint: e.Fingerprint, claimedAt: e.At, mayBeStale: r.carry.missingBelow > 0}
		r.setKey(e.Key, k)
	case k.claim != e.Claim:
		return nil
	}
	k.readAt, k.offset = now, offset
	if k.ended {
		return nil
	}
	if e.Outcome == "" {
		return r.onClaimed(now, e)
	}
	r.setOutcome(k, e)
	return r.onEnded(e)
}

func (r *Recorder) setKey(id identifier.RecordKey, k *keyState) {
	r.forget(id)
	r.keys[id] = k
}

func (r *Recorder) forget(id identifier.RecordKey) {
	if k, ok := r.keys[id]; ok {
		r.bodyBytes -= len(k.outcome.Body)
		delete(r.keys, id)
	}
}

func (r *Recorder) setOutcome(k *keyState, e Entry) {
	k.ended, k.outcome = true, e
	r.bodyBytes += len(e.Body)
}

// isFull reports whether the node has reached a limit of remembered keys or answers.
func (r *Recorder) isFull() bool { return len(r.keys) >= maxKeys || r.bodyBytes >= maxBodyBytes }
