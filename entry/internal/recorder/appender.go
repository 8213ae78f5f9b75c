package recorder

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
)

const (
	// answerLimit bounds the body of a recorded answer, in bytes.
	answerLimit = 16 << 10
	// appendWait is how long a release or an outcome may wait for one append.
	appendWait = 10 * time.Second
	// appendPause is the time until a release or an outcome that was not sent is appended again.
	appendPause = 250 * time.Millisecond
)

// hold is what the log says of a key that is claimed or ended.
type hold struct {
	owner       Owner
	claim       string
	fingerprint string
	ended       bool
	end         Entry
	// at is when the key was claimed, in milliseconds since the Unix epoch.
	at int64
	// seen and offset are when and where the newest record of the key was seen.
	seen   time.Time
	offset identifier.Offset
	// doubtful says that an older claim may hold the key, which this node missed.
	doubtful bool
}

// unseen is a record that must get into the log; appending it twice is harmless.
type unseen struct {
	record  platformcaller.Record
	retryAt time.Time
}

// seen takes one record of the log.
func (r *Recorder) seen(now time.Time, record platformcaller.Record) []messenger.Effect {
	if r.fill != nil {
		r.fill.held = append(r.fill.held, record)
		return nil
	}
	return r.apply(now, record)
}

// apply applies one record of the log; every node does so in the same order.
func (r *Recorder) apply(now time.Time, record platformcaller.Record) []messenger.Effect {
	r.carry.next = max(r.carry.next, record.Offset+1)
	if record.Stream != Stream {
		return nil
	}
	delete(r.pending, record.ID)
	var e Entry
	if err := json.Unmarshal(record.Body, &e); err != nil {
		return nil
	}
	switch e.Kind {
	case EntryClaim:
		e.Claim = record.ID
		return r.claimSeen(now, e, record.Offset)
	case EntryRelease:
		return r.releaseSeen(now, e)
	case EntryOutcome:
		return r.outcomeSeen(now, e, record.Offset)
	case EntryCarry:
		effects := r.carrySeen(now, e, record.Offset)
		delete(r.carry.open, record.ID)
		return append(effects, r.endRound(now)...)
	case EntryRound:
		r.roundSeen(e)
	}
	return nil
}

// claimSeen lets the first claim in log order win, or the first after the window of the last.
func (r *Recorder) claimSeen(now time.Time, e Entry, offset identifier.Offset) []messenger.Effect {
	if h := r.holds[e.Key]; h != nil && !r.isExpired(h, e.At) {
		return nil
	}
	r.hold(e.Key, &hold{owner: e.Owner, claim: e.Claim, fingerprint: e.Fingerprint, at: e.At, seen: now, offset: offset, doubtful: r.carry.missing > 0})
	return r.claimed(now, e)
}

func (r *Recorder) releaseSeen(now time.Time, e Entry) []messenger.Effect {
	h := r.holds[e.Key]
	if h == nil || h.ended || h.claim != e.Claim {
		return nil
	}
	r.drop(e.Key)
	return r.released(now, e.Key)
}

// outcomeSeen ends a key. A node that missed its claim takes the outcome's word: only
// a claim that won has one.
func (r *Recorder) outcomeSeen(now time.Time, e Entry, offset identifier.Offset) []messenger.Effect {
	h := r.holds[e.Key]
	if h == nil || h.doubtful {
		h = &hold{owner: e.Owner, claim: e.Claim, fingerprint: e.Fingerprint, at: e.At}
		r.hold(e.Key, h)
	}
	if h.claim != e.Claim {
		return nil
	}
	h.seen, h.offset = now, offset
	if h.ended {
		return nil
	}
	r.conclusion(h, e)
	return r.ended(e)
}

// claim appends the work's one claim. A work that waited for another's claim keeps the
// id of its own, which lost.
func (r *Recorder) claim(now time.Time, w *work) []messenger.Effect {
	if w.claim == "" {
		w.claim = r.nextID()
	}
	r.claims[w.claim] = w.request.Key
	w.lost = 0
	return r.appendClaim(now, w)
}

func (r *Recorder) appendClaim(now time.Time, w *work) []messenger.Effect {
	e := Entry{Kind: EntryClaim, Key: w.request.Key, Fingerprint: w.request.Fingerprint, Owner: r.self, At: now.UnixMilli()}
	effects := appendRecord(newRecord(w.claim, e), w.request.Deadline)
	return append(effects, log(eventlogger.RecordClaimSent, e.Key, "claim", w.claim, "lost", w.lost))
}

// release gives a claim back that was not dispatched and will not be.
func (r *Recorder) release(now time.Time, claimed Entry) []messenger.Effect {
	e := Entry{Kind: EntryRelease, Key: claimed.Key, Claim: claimed.Claim, Owner: r.self}
	effects := r.appendUntilSeen(now, e)
	return append(effects, log(eventlogger.RecordReleased, e.Key, "claim", e.Claim))
}

func (r *Recorder) appendUntilSeen(now time.Time, e Entry) []messenger.Effect {
	record := newRecord(r.nextID(), e)
	r.pending[record.ID] = &unseen{record: record}
	return appendRecord(record, now.Add(appendWait))
}

// appendAgain appends the records whose append failed and that the log has not shown since.
func (r *Recorder) appendAgain(now time.Time) []messenger.Effect {
	var due []*unseen
	for _, u := range r.pending {
		if !u.retryAt.IsZero() && !u.retryAt.After(now) {
			due = append(due, u)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].record.ID < due[j].record.ID })
	var effects []messenger.Effect
	for _, u := range due {
		u.retryAt = time.Time{}
		effects = append(effects, appendRecord(u.record, now.Add(appendWait))...)
	}
	return effects
}

// lost gives a claim that failed another try under the same id, or gives the request up:
// a claim that takes effect after all is released.
func (r *Recorder) lost(now time.Time, ev committer.Lost) []messenger.Effect {
	if u, ok := r.pending[ev.ID]; ok {
		if !ev.NotSent {
			// It stays with the committer, which paces appends and which a stopping node waits for.
			return appendRecord(u.record, now.Add(appendWait))
		}
		u.retryAt = now.Add(appendPause)
		return nil
	}
	key, ok := r.claims[ev.ID]
	if !ok || r.holds[key] != nil {
		return nil
	}
	w := r.works[key]
	w.lost++
	if ev.NotSent || w.lost >= claimAttempts || !r.downSince.IsZero() {
		return r.finish(w, notRun(w.request, "log_unreachable", "the platform's log could not be reached"))
	}
	w.retryAt = now.Add(claimPause)
	return nil
}

func (r *Recorder) nextID() string {
	r.appended++
	return r.lastID()
}

func (r *Recorder) lastID() string {
	return fmt.Sprintf("%s-%d-%d", r.self.Node, r.self.Incarnation, r.appended)
}

func newRecord(id string, e Entry) platformcaller.Record {
	// An entry holds nothing that JSON cannot.
	body, _ := json.Marshal(e)
	return platformcaller.Record{ID: id, Stream: Stream, Body: body}
}

func appendRecord(record platformcaller.Record, deadline time.Time) []messenger.Effect {
	return []messenger.Effect{messenger.Raise{Event: committer.Append{Record: record, Deadline: deadline}}}
}
