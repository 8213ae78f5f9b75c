// Package crashrecorder holds which requests have crashed targets, and what these have in common, and decides which
// requests and which traits are confirmed as poison.
package crashrecorder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/fingerprinter"
	"fuchsiabridge.example/entry/internal/proofkeeper"
)

const (
	// confirmingDepth is how many crashes in a row confirm a request as poison. One less suffices
	// if manyCrashes attempts have crashed targets, as copies do that run at the same time.
	confirmingDepth = 3
	manyCrashes     = 4
	// crashMaxAge is how long the crashes of a request count after the last one.
	crashMaxAge = time.Hour
	// maxTrackedRequests limits the memory. When it is reached, the evictedShare with the fewest
	// crashes in a row, among these the oldest, are dropped.
	maxTrackedRequests = 4096
	evictedShare       = 0.25
	// maxCrashesPerRequest limits the crashes that are kept of one request.
	maxCrashesPerRequest = 64
)

// Crash is one crash of a target while it ran a request.
type Crash struct {
	Request identifier.Fingerprint `json:"request"`
	// Group identifies the group of the request, 0 if it is not known.
	Group  identifier.Fingerprint `json:"group,omitempty"`
	Target identifier.TargetID    `json:"target"`
	// Incarnation identifies the run of the target that crashed: each start has another one.
	Incarnation int64 `json:"born"`
	// Depth is how many crashes in a row the request has caused with this one.
	Depth int `json:"depth,omitempty"`
	// GroupDepth is how many crashes in a row different requests of the group have caused with this one.
	GroupDepth int `json:"group_depth,omitempty"`
	// Parts are those of the request's prompt, in order. Parts that are known to be sound may be missing.
	Parts []TraitCrash `json:"parts,omitempty"`
	// IsFurther says that the same attempt has crashed another target before.
	IsFurther bool `json:"is_further,omitempty"`
	// AgeMS is the time since the crash became known, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Reporter is the peer address of the node that has detected the crash, empty if it does not say.
	Reporter string `json:"reporter,omitempty"`
}

// IsLessThan reports whether another report of the crash says that it is one of more in a row.
func (c Crash) IsLessThan(o Crash) bool {
	if c.Depth < o.Depth || c.GroupDepth < o.GroupDepth {
		return true
	}
	return slices.ContainsFunc(o.Parts, func(p TraitCrash) bool {
		return !slices.ContainsFunc(c.Parts, func(known TraitCrash) bool { return known.Trait == p.Trait && known.Depth >= p.Depth })
	})
}

// Key returns the key of the crash's request, as far as it is known.
func (c Crash) Key() fingerprinter.Key {
	key := fingerprinter.Key{Request: c.Request, Group: c.Group}
	for _, p := range c.Parts {
		key.Parts = append(key.Parts, p.Trait)
	}
	return key
}

// MaxDepth returns the most crashes in a row that this one makes, by its request or by others with one of its traits.
func (c Crash) MaxDepth() int {
	depth := max(c.Depth, c.GroupDepth)
	for _, p := range c.Parts {
		depth = max(depth, p.Depth)
	}
	return depth
}

// ConfirmingCrash returns a crash that alone confirms its request as poison, as is known of one that
// was confirmed the given time ago.
func ConfirmingCrash(request identifier.Fingerprint, target identifier.TargetID, number int64, age time.Duration) Crash {
	return Crash{Request: request, Target: target, Incarnation: number, Depth: confirmingDepth, AgeMS: max(0, age.Milliseconds())}
}

// IsOutdated reports whether the crash is too old to count.
func (c Crash) IsOutdated() bool { return time.Duration(c.AgeMS)*time.Millisecond >= crashMaxAge }

// happenedAt returns when the crash became known, which AgeMS counts from.
func (c Crash) happenedAt(now time.Time) time.Time {
	return now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
}

// History is what was known of a request's crashes at some time. A further attempt must be sent on
// a new connection if Depth is not zero: that its target accepts it proves that the target is alive.
type History struct {
	// Depth is how many crashes in a row are known, 0 if there is none.
	Depth int
	// KnownAt is when the last of them became known.
	KnownAt time.Time
	// Attempts counts the attempts that crashed targets.
	Attempts int
	// Requests counts the requests with a trait that crashed targets.
	Requests int
	// LastAt is when the last of these crashes, by any request, happened.
	LastAt time.Time
}

// incarnation identifies one start of a target.
type incarnation struct {
	target identifier.TargetID
	number int64
}

// record holds the crashes of one request.
type record struct {
	key fingerprinter.Key
	// crashes holds the depth of each crash.
	crashes map[incarnation]int
	// attempts counts the attempts that crashed targets.
	attempts int
	// errors counts the error answers to the request since the last crash.
	errors int
	depth  int
	// knownAt is when the depth became known, lastAt when the last crash happened.
	knownAt time.Time
	lastAt  time.Time
}

// isConfirmed reports whether the crashes suffice to confirm the request as poison without some of them, which have another cause.
func (r *record) isConfirmed(explained int) bool {
	depth, attempts := r.depth-explained, r.attempts-explained
	return depth >= confirmingDepth || (depth == confirmingDepth-1 && attempts >= manyCrashes)
}

// Recorder holds the crashes that this node and others have found.
type Recorder struct {
	records map[identifier.Fingerprint]*record
	traits  map[identifier.Fingerprint]*trait
	proofs  *proofkeeper.Keeper
	// successes remembers the requests that have succeeded lately.
	successes *proofkeeper.Keeper
}

// NewRecorder returns a recorder that knows nothing.
func NewRecorder() *Recorder {
	return &Recorder{
		records: map[identifier.Fingerprint]*record{}, traits: map[identifier.Fingerprint]*trait{}, proofs: proofkeeper.NewKeeper(), successes: proofkeeper.NewKeeper(),
	}
}

// RecordOwnCrash records a crash that this node has found.
func (x *Recorder) RecordOwnCrash(now time.Time, c Crash) bool {
	if !x.RecordCrash(now, c) {
		return false
	}
	for id := range c.Key().Traits() {
		if t, ok := x.traits[id]; ok {
			t.isOwn = true
		}
	}
	return true
}

// RecordCrash records a crash that this node or another one has found, and reports whether it was
// not known before, or only as one of fewer in a row.
func (x *Recorder) RecordCrash(now time.Time, c Crash) bool {
	// Nodes of earlier versions report no depth.
	depth := max(1, c.Depth)
	if c.IsOutdated() {
		return false
	}
	isNewToTrait := x.recordTraitCrashes(now, c)
	r, ok := x.records[c.Request]
	if !ok {
		evict(now, x.records, func(r *record) weight { return weight{depth: r.depth, lastAt: r.lastAt} })
		r = &record{crashes: map[incarnation]int{}}
		x.records[c.Request] = r
	}
	r.key.Add(c.Key())
	key := incarnation{target: c.Target, number: c.Incarnation}
	if r.crashes[key] >= depth || (len(r.crashes) >= maxCrashesPerRequest && depth <= r.depth) {
		return isNewToTrait
	}
	if r.crashes[key] == 0 {
		r.errors = 0
	}
	if r.crashes[key] == 0 && !c.IsFurther {
		r.attempts++
	}
	r.crashes[key] = depth
	if depth > r.depth {
		r.depth, r.knownAt = depth, now
	}
	if at := c.happenedAt(now); at.After(r.lastAt) {
		r.lastAt = at
	}
	return true
}

// weight is what decides which of too many records are dropped.
type weight struct {
	depth  int
	lastAt time.Time
}

// evict makes room for one more record.
func evict[R any](now time.Time, records map[identifier.Fingerprint]R, weigh func(R) weight) {
	if len(records) < maxTrackedRequests {
		return
	}
	maps.DeleteFunc(records, func(_ identifier.Fingerprint, r R) bool { return now.Sub(weigh(r).lastAt) >= crashMaxAge })
	if len(records) < maxTrackedRequests {
		return
	}
	ids := slices.SortedFunc(maps.Keys(records), func(a, b identifier.Fingerprint) int {
		wa, wb := weigh(records[a]), weigh(records[b])
		return cmp.Or(cmp.Compare(wa.depth, wb.depth), wa.lastAt.Compare(wb.lastAt))
	})
	for _, id := range ids[:int(evictedShare*maxTrackedRequests)] {
		delete(records, id)
	}
}

// Histories is what was known of the crashes of a request, and of different requests with each of its traits.
type Histories struct {
	Request History
	Traits  map[identifier.Fingerprint]History
}

// HasCrashes reports whether any crashes were known.
func (h Histories) HasCrashes() bool { return h.Request.Depth > 0 || len(h.Traits) > 0 }

// Histories returns what is known of the crashes of a request and of its traits.
func (x *Recorder) Histories(now time.Time, key fingerprinter.Key) Histories {
	out := Histories{Request: x.history(now, key.Request)}
	for id := range key.Traits() {
		h := x.traitHistory(now, id)
		if h.Depth == 0 {
			continue
		}
		if out.Traits == nil {
			out.Traits = map[identifier.Fingerprint]History{}
		}
		out.Traits[id] = h
	}
	return out
}

func (x *Recorder) history(now time.Time, request identifier.Fingerprint) History {
	r, ok := x.records[request]
	if !ok || now.Sub(r.lastAt) >= crashMaxAge {
		return History{}
	}
	return History{Depth: r.depth, KnownAt: r.knownAt, Attempts: r.attempts}
}

// IsConfirmed reports whether a request, or one of its traits, is confirmed as poison, so that it must not run again.
func (x *Recorder) IsConfirmed(now time.Time, key fingerprinter.Key) bool {
	return x.IsRequestConfirmed(now, key.Request) || x.hasConfirmedTrait(now, key)
}

// IsRequestConfirmed reports whether a request is confirmed as poison, whatever is known of its traits.
func (x *Recorder) IsRequestConfirmed(now time.Time, request identifier.Fingerprint) bool {
	r, ok := x.records[request]
	return ok && x.isRecordConfirmed(now, r)
}

func (x *Recorder) isRecordConfirmed(now time.Time, r *record) bool {
	return r.isConfirmed(0) && now.Sub(r.lastAt) < crashMaxAge && r.isConfirmed(x.explainedCrashes(now, r))
}

// NoteAnswer applies that a request was answered, and returns the requests and traits whose crashes count no more. Only a
// success proves that the target has run the request: it may reject one with an error before.
func (x *Recorder) NoteAnswer(now time.Time, key fingerprinter.Key, isSuccess bool) []identifier.Fingerprint {
	if isSuccess {
		x.successes.Note(now, key.Request)
	}
	var cleared []identifier.Fingerprint
	if (isSuccess || x.isRejectedOften(key.Request)) && x.Clear(key.Request) {
		cleared = append(cleared, key.Request)
	}
	if isSuccess {
		cleared = append(cleared, x.dropFromTraits(key)...)
	}
	if x.noteGroupAnswer(key, isSuccess) {
		cleared = append(cleared, key.Group)
	}
	return cleared
}

// isRejectedOften counts an error answer to a request, and reports whether there are many without a crash in between.
func (x *Recorder) isRejectedOften(request identifier.Fingerprint) bool {
	r, ok := x.records[request]
	if !ok {
		return false
	}
	r.errors++
	return r.errors >= clearingAnswers
}

// Clear drops the crashes of a request or a trait, and reports whether any were known.
func (x *Recorder) Clear(id identifier.Fingerprint) bool {
	r, isRequest := x.records[id]
	if isRequest {
		x.dropFromTraits(r.key)
		delete(x.records, id)
	}
	_, isTrait := x.traits[id]
	delete(x.traits, id)
	return isRequest || isTrait
}

// Counts returns how many requests have crashes, and how many requests and traits are confirmed poison.
func (x *Recorder) Counts(now time.Time) (accused, confirmed int) {
	for _, r := range x.records {
		if x.isRecordConfirmed(now, r) {
			confirmed++
		}
	}
	for _, t := range x.traits {
		if x.isConfirmed(now, t) {
			confirmed++
		}
	}
	return len(x.records), confirmed
}
