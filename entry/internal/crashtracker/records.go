package crashtracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
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
	Target  identifier.TargetID    `json:"target"`
	// Incarnation identifies the run of the target that crashed: each start has another one.
	Incarnation int64 `json:"born"`
	// Depth is how many crashes in a row the request has caused with this one.
	Depth int `json:"depth,omitempty"`
	// IsFurther says that the same attempt has crashed another target before.
	IsFurther bool `json:"is_further,omitempty"`
	// AgeMS is the time since the crash became known, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// ConfirmingCrash returns a crash that alone confirms its request as poison, as is known of one that
// was confirmed the given time ago.
func ConfirmingCrash(request identifier.Fingerprint, target identifier.TargetID, number int64, age time.Duration) Crash {
	return Crash{Request: request, Target: target, Incarnation: number, Depth: confirmingDepth, AgeMS: max(0, age.Milliseconds())}
}

// IsOutdated reports whether the crash is too old to count.
func (c Crash) IsOutdated() bool { return time.Duration(c.AgeMS)*time.Millisecond >= crashMaxAge }

// History is what was known of a request's crashes at some time. A further attempt must be sent on
// a new connection if Depth is not zero: that its target accepts it proves that the target is alive.
type History struct {
	// Depth is how many crashes in a row are known, 0 if there is none.
	Depth int
	// KnownAt is when the last of them became known.
	KnownAt time.Time
	// Attempts counts the attempts that crashed targets.
	Attempts int
}

// incarnation identifies one start of a target.
type incarnation struct {
	target identifier.TargetID
	number int64
}

// record holds the crashes of one request.
type record struct {
	// crashes holds the depth of each crash.
	crashes map[incarnation]int
	// attempts counts the attempts that crashed targets.
	attempts int
	depth    int
	// knownAt is when the depth became known, lastAt when the last crash happened.
	knownAt time.Time
	lastAt  time.Time
}

func (r *record) isConfirmed() bool {
	return r.depth >= confirmingDepth || (r.depth == confirmingDepth-1 && r.attempts >= manyCrashes)
}

// RecordCrash records a crash that this node or another one has found, and reports whether it was
// not known before, or only as one of fewer in a row.
func (t *Tracker) RecordCrash(now time.Time, c Crash) bool {
	// Nodes of earlier versions report no depth.
	depth := max(1, c.Depth)
	if c.IsOutdated() {
		return false
	}
	at := now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	r, ok := t.records[c.Request]
	if !ok {
		t.evict(now)
		r = &record{crashes: map[incarnation]int{}}
		t.records[c.Request] = r
	}
	key := incarnation{target: c.Target, number: c.Incarnation}
	if r.crashes[key] >= depth || (len(r.crashes) >= maxCrashesPerRequest && depth <= r.depth) {
		return false
	}
	if r.crashes[key] == 0 && !c.IsFurther {
		r.attempts++
	}
	r.crashes[key] = depth
	if depth > r.depth {
		r.depth, r.knownAt = depth, now
	}
	if at.After(r.lastAt) {
		r.lastAt = at
	}
	return true
}

// evict makes room for one more request.
func (t *Tracker) evict(now time.Time) {
	if len(t.records) < maxTrackedRequests {
		return
	}
	maps.DeleteFunc(t.records, func(_ identifier.Fingerprint, r *record) bool { return now.Sub(r.lastAt) >= crashMaxAge })
	if len(t.records) < maxTrackedRequests {
		return
	}
	requests := slices.SortedFunc(maps.Keys(t.records), func(a, b identifier.Fingerprint) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(ra.depth, rb.depth), ra.lastAt.Compare(rb.lastAt))
	})
	for _, request := range requests[:int(evictedShare*maxTrackedRequests)] {
		delete(t.records, request)
	}
}

// History returns what is known of a request's crashes.
func (t *Tracker) History(now time.Time, request identifier.Fingerprint) History {
	r, ok := t.records[request]
	if !ok || now.Sub(r.lastAt) >= crashMaxAge {
		return History{}
	}
	return History{Depth: r.depth, KnownAt: r.knownAt, Attempts: r.attempts}
}

// IsConfirmed reports whether a request is confirmed as poison and must not run again.
func (t *Tracker) IsConfirmed(now time.Time, request identifier.Fingerprint) bool {
	r, ok := t.records[request]
	return ok && now.Sub(r.lastAt) < crashMaxAge && r.isConfirmed()
}
