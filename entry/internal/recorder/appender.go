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
	// maxAnswerBytes bounds the body of a recorded answer.
	maxAnswerBytes = 16 << 10
	// appendTimeout bounds one append of a release, an outcome or a carried key.
	appendTimeout = 10 * time.Second
	// appendBackoff is the delay before an append that was not sent is retried.
	appendBackoff = 250 * time.Millisecond
)

// keyState is the state of a key that is claimed or has an outcome. It is read from the log; only
// the outcomes of this node's own calls are stored before they are in the log.
type keyState struct {
	owner       Owner
	claim       string
	fingerprint string
	// ended reports that the key has an outcome.
	ended   bool
	outcome Entry
	// claimedAt is when the key was claimed, in milliseconds since the Unix epoch.
	claimedAt int64
	// readAt is when the newest record of the key was read, and offset is that record's offset in the log.
	readAt time.Time
	offset identifier.Offset
	// mayBeStale reports that an older claim, which this node did not read, may own the key.
	mayBeStale bool
}

// unconfirmedAppend is a record that must reach the log; appending it twice is harmless.
type unconfirmedAppend struct {
	record platformcaller.Record
	// retryAt is when the append is retried. Zero while an append is in progress.
	retryAt time.Time
}

// onRecord applies a record of the log, or buffers it while a gap is being read.
func (r *Recorder) onRecord(now time.Time, record platformcaller.Record) []messenger.Effect {
	if r.gap != nil {
		r.gap.buffered = append(r.gap.buffered, record)
		return nil
	}
	return r.apply(now, record)
}

// apply applies one record of the log. Every node applies the records in the same order.
func (r *Recorder) apply(now time.Time, record platformcaller.Record) []messenger.Effect {
	r.carry.nextOffset = max(r.carry.nextOffset, record.Offset+1)
	if record.Stream != Stream {
		return nil
	}
	delete(r.unconfirmed, record.ID)
	var e Entry
	if err := json.Unmarshal(record.Body, &e); err != nil {
		return nil
	}
	switch e.Kind {
	case EntryClaim:
		e.Claim = record.ID
		return r.applyClaim(now, e, record.Offset)
	case EntryRelease:
		return r.applyRelease(now, e)
	case EntryOutcome:
		return r.applyOutcome(now, e, record.Offset)
	case EntryCarry:
		effects := r.applyCarry(now, e, record.Offset)
		delete(r.carry.openRecords, record.ID)
		return append(effects, r.endRound(now)...)
	case EntryRound:
		r.applyRound(e)
	}
	return nil
}

// applyClaim grants the key to the first claim in log order. Once that claim is older than
// Config.Window, the next claim in log order takes over the key.
func (r *Recorder) applyClaim(now time.Time, e Entry, offset identifier.Offset) []messenger.Effect {
	if k := r.keys[e.Key]; k != nil && !r.isExpired(k, e.At) {
		return nil
	}
	r.setKey(e.Key, &keyState{owner: e.Owner, claim: e.Claim, fingerprint: e.Fingerprint, claimedAt: e.At, readAt: now, offset: offset, mayBeStale: r.carry.missingBelow > 0})
	return r.onClaimed(now, e)
}

func (r *Recorder) applyRelease(now time.Time, e Entry) []messenger.Effect {
	k := r.keys[e.Key]
	if k == nil || k.ended || k.claim != e.Claim {
		return nil
	}
	r.forget(e.Key)
	return r.onReleased(now, e.Key)
}

// applyOutcome stores the outcome of a key. A node that did not read the claim trusts the
// outcome's claim id, because only the winning claim has an outcome.
func (r *Recorder) applyOutcome(now time.Time, e Entry, offset identifier.Offset) []messenger.Effect {
	k := r.keys[e.Key]
	if k == nil || k.mayBeStale {
		k = &keyState{owner: e.Owner, claim: e.Claim, fingerprint: e.Fingerprint, claimedAt: e.At}
		r.setKey(e.Key, k)
	}
	if k.claim != e.Claim {
		return nil
	}
	k.readAt, k.offset = now, offset
	if k.ended {
		return nil
	}
	r.setOutcome(k, e)
	return r.onEnded(e)
}

// claim appends the group's claim. A group that waited for another claim, which was then
// released, reuses the id of its own claim, which was not granted.
func (r *Recorder) claim(now time.Time, g *callGroup) []messenger.Effect {
	if g.claim == "" {
		g.claim = r.nextID()
	}
	r.claims[g.claim] = g.request.Key
	g.failedAppends = 0
	return r.appendClaim(now, g)
}

func (r *Recorder) appendClaim(now time.Time, g *callGroup) []messenger.Effect {
	e := Entry{Kind: EntryClaim, Key: g.request.Key, Fingerprint: g.request.Fingerprint, Owner: r.self, At: now.UnixMilli()}
	effects := appendRecord(newRecord(g.claim, e), g.request.Deadline)
	return append(effects, log(eventlogger.RecordClaimSent, e.Key, "claim", g.claim, "lost", g.failedAppends))
}

// release gives up a claim that was not dispatched and never will be.
func (r *Recorder) release(now time.Time, claimed Entry) []messenger.Effect {
	e := Entry{Kind: EntryRelease, Key: claimed.Key, Claim: claimed.Claim, Owner: r.self}
	effects := r.appendUntilConfirmed(now, e)
	return append(effects, log(eventlogger.RecordReleased, e.Key, "claim", e.Claim))
}

func (r *Recorder) appendUntilConfirmed(now time.Time, e Entry) []messenger.Effect {
	record := newRecord(r.nextID(), e)
	r.unconfirmed[record.ID] = &unconfirmedAppend{record: record}
	return appendRecord(record, now.Add(appendTimeout))
}

// retryAppends retries the unconfirmed appends whose backoff has ended.
func (r *Recorder) retryAppends(now time.Time) []messenger.Effect {
	var due []*unconfirmedAppend
	for _, u := range r.unconfirmed {
		if !u.retryAt.IsZero() && !u.retryAt.After(now) {
			due = append(due, u)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].record.ID < due[j].record.ID })
	var effects []messenger.Effect
	for _, u := range due {
		u.retryAt = time.Time{}
		effects = append(effects, appendRecord(u.record, now.Add(appendTimeout))...)
	}
	return effects
}

// onAppendLost retries a failed append under the same record id. A claim is not retried if it was
// not sent, if the log is unreachable or after the last attempt: then its callers are answered
// not_run, and the claim is released if it takes effect later.
func (r *Recorder) onAppendLost(now time.Time, ev committer.Lost) []messenger.Effect {
	if u, ok := r.unconfirmed[ev.ID]; ok {
		if !ev.NotSent {
			// Append again at once: the committer applies its own backoff, and a node that shuts
			// down waits for the records that the committer still holds.
			return appendRecord(u.record, now.Add(appendTimeout))
		}
		u.retryAt = now.Add(appendBackoff)
		return nil
	}
	key, ok := r.claims[ev.ID]
	if !ok || r.keys[key] != nil {
		return nil
	}
	g := r.groups[key]
	g.failedAppends++
	if ev.NotSent || g.failedAppends >= maxClaimAppends || !r.logDownSince.IsZero() {
		return r.answerAll(g, notRun(g.request, "log_unreachable", "the platform's log could not be reached"))
	}
	g.retryAt = now.Add(claimBackoff)
	return nil
}

func (r *Recorder) nextID() string {
	r.lastSeq++
	return r.lastID()
}

func (r *Recorder) lastID() string {
	return fmt.Sprintf("%s-%d-%d", r.self.Node, r.self.Incarnation, r.lastSeq)
}

func newRecord(id string, e Entry) platformcaller.Record {
	// The error is dropped: an Entry holds nothing that JSON cannot encode.
	body, _ := json.Marshal(e)
	return platformcaller.Record{ID: id, Stream: Stream, Body: body}
}

func appendRecord(record platformcaller.Record, deadline time.Time) []messenger.Effect {
	return []messenger.Effect{messenger.Raise{Event: committer.Append{Record: record, Deadline: deadline}}}
}
