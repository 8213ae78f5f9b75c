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
	// clockSkew bounds the difference of two nodes' clocks.
	clockSkew = time.Minute
	// keyLimit and bodyLimit bound the keys that are remembered and the bytes of their answers.
	keyLimit  = 100_000
	bodyLimit = 32 << 20
)

// Config says how long keys are remembered.
type Config struct {
	// Window is how long a key is remembered from its claim on; asked for later, it is a new one.
	Window time.Duration
	// CarryAfter is the age from which the log's newest word on a key is appended again.
	// The log must keep its records for more than twice as long.
	CarryAfter time.Duration
}

// carryShare is the part of the log's memory after which a key's newest record is carried forward.
const carryShare = 5

// ConfigFor returns the configuration of a node whose log keeps records for keep.
func ConfigFor(keep time.Duration) Config {
	return Config{Window: time.Hour, CarryAfter: keep / carryShare}
}

// carrier is the state of carrying keys forward in the log.
type carrier struct {
	// next is the offset after the newest record seen.
	next identifier.Offset
	// missing is the offset below which this node has not seen the log, or 0. A round
	// that carried everything below it makes the node whole.
	missing identifier.Offset
	// roundAt is when this node begins the next round.
	roundAt time.Time
	// open holds the ids of the records of the round in progress, and round its end.
	open  map[string]bool
	round *Entry
}

// forgetAll forgets what this node knew, as it missed the log below the offset; it
// claims nothing until a round has told it all again.
func (r *Recorder) forgetAll(below identifier.Offset) {
	r.carry.missing = below
	r.carry.round, r.carry.open = nil, nil
	clear(r.holds)
	r.bodies = 0
}

func (r *Recorder) isWhole() bool { return r.carry.missing == 0 && r.fill == nil }

// roundSeen makes a node whole that has seen the log since before the round began, and
// of which the round carried all that it missed.
func (r *Recorder) roundSeen(e Entry) {
	if e.From >= r.carry.missing && e.Low >= r.carry.missing {
		r.carry.missing = 0
		for _, h := range r.holds {
			h.doubtful = false
		}
	}
}

// isExpired reports whether a claim made at the instant may have the key of the hold.
func (r *Recorder) isExpired(h *hold, atMillis int64) bool {
	return atMillis-h.at > r.cfg.Window.Milliseconds()
}

// carryTick forgets what is older than the window and carries the rest forward.
func (r *Recorder) carryTick(now time.Time) []messenger.Effect {
	if r.carry.roundAt.IsZero() {
		r.carry.roundAt = now.Add(r.cfg.CarryAfter / 2)
	}
	if now.Before(r.carry.roundAt) {
		return nil
	}
	r.carry.roundAt = now.Add(r.cfg.CarryAfter / 2)
	for id, h := range r.holds {
		if r.isExpired(h, now.Add(-clockSkew).UnixMilli()) {
			r.drop(id)
		}
	}
	if !r.isWhole() || !r.isLowest() || r.carry.round != nil {
		return nil
	}
	return r.beginRound(now)
}

// isLowest reports whether no peer of a lower id is alive; two nodes may think so, which is harmless.
func (r *Recorder) isLowest() bool {
	for id, p := range r.peers {
		if id < r.self.Node && p.State == heartbeater.StateAlive {
			return false
		}
	}
	return true
}

// beginRound appends the state of every key whose newest record is old.
func (r *Recorder) beginRound(now time.Time) []messenger.Effect {
	var old []identifier.RecordKey
	low := r.carry.next
	for id, h := range r.holds {
		if now.Sub(h.seen) >= r.cfg.CarryAfter {
			old = append(old, id)
			continue
		}
		low = min(low, h.offset)
	}
	sort.Slice(old, func(i, j int) bool { return old[i] < old[j] })
	r.carry.open = map[string]bool{}
	r.carry.round = &Entry{Kind: EntryRound, Owner: r.self, From: r.carry.next, Low: low}
	var effects []messenger.Effect
	for _, id := range old {
		carried := r.appendUntilSeen(now, r.holds[id].carried(id))
		r.carry.open[r.lastID()] = true
		effects = append(effects, carried...)
	}
	return append(effects, r.endRound(now)...)
}

// endRound closes the round when the log holds all that it carried.
func (r *Recorder) endRound(now time.Time) []messenger.Effect {
	if r.carry.round == nil || len(r.carry.open) > 0 {
		return nil
	}
	e := *r.carry.round
	r.carry.round = nil
	effects := r.appendUntilSeen(now, e)
	return append(effects, messenger.Log{Event: eventlogger.RecordsCarried, Subject: "log", Values: []any{"from", e.From, "low", e.Low}})
}

func (h *hold) carried(id identifier.RecordKey) Entry {
	e := h.end
	e.Kind, e.Key, e.Claim, e.Fingerprint, e.Owner, e.At = EntryCarry, id, h.claim, h.fingerprint, h.owner, h.at
	return e
}

// carrySeen takes in a key that another node told again. What this node knows stays;
// a key that it doesn't know is held or ended as told.
func (r *Recorder) carrySeen(now time.Time, e Entry, offset identifier.Offset) []messenger.Effect {
	h := r.holds[e.Key]
	switch {
	case h == nil || r.isExpired(h, e.At) || (h.doubtful && h.claim != e.Claim):
		h = &hold{owner: e.Owner, claim: e.Claim, fingerprint: e.Fingerprint, at: e.At, doubtful: r.carry.missing > 0}
		r.hold(e.Key, h)
	case h.claim != e.Claim:
		return nil
	}
	h.seen, h.offset = now, offset
	if h.ended {
		return nil
	}
	if e.Outcome == "" {
		return r.claimed(now, e)
	}
	r.conclusion(h, e)
	return r.ended(e)
}

func (r *Recorder) hold(id identifier.RecordKey, h *hold) {
	r.drop(id)
	r.holds[id] = h
}

func (r *Recorder) drop(id identifier.RecordKey) {
	if h, ok := r.holds[id]; ok {
		r.bodies -= len(h.end.Body)
		delete(r.holds, id)
	}
}

func (r *Recorder) conclusion(h *hold, e Entry) {
	h.ended, h.end = true, e
	r.bodies += len(e.Body)
}

func (r *Recorder) isFull() bool { return len(r.holds) >= keyLimit || r.bodies >= bodyLimit }
