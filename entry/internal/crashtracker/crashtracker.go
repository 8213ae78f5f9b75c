// Package crashtracker detects poison requests, which crash the targets that run them, so that
// these requests can be quarantined.
package crashtracker

import (
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// crashDetectionWindow is how long after an attempt broke or stalled the crash of its target may be detected.
	crashDetectionWindow = 5 * time.Second
	// confirmingCrashes is how many crashes confirm a request as poison. Crashes within
	// correlationWindow count as one: if a single fault takes down several targets, that is
	// no evidence against a request.
	confirmingCrashes = 3
	correlationWindow = 500 * time.Millisecond
	// crashMaxAge is how long a crash counts.
	crashMaxAge = time.Minute
	// maxCandidates and maxTrackedRequests limit the memory. Beyond maxCandidates the oldest
	// candidate is dropped; at maxTrackedRequests the requests whose crashes have expired are
	// dropped, or all of them if there are none such.
	maxCandidates      = 1024
	maxTrackedRequests = 4096
)

// Crash is one crash of a target while it ran a request.
type Crash struct {
	Request identifier.Fingerprint `json:"request"`
	Target  identifier.TargetID    `json:"target"`
	// Incarnation identifies the run of the target that crashed: each start has another one.
	Incarnation int64 `json:"born"`
	// AgeMS is the time from the broken or stalled attempt to the detection of the crash, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Cause is how a node learned that a target has failed.
type Cause string

// Causes of a failure.
const (
	// Gone: its entry is gone.
	Gone Cause = "gone"
	// Restarted: it reports another incarnation.
	Restarted Cause = "restarted"
	// Ejected: requests or a probe got no answer from it.
	Ejected Cause = "ejected"
)

// Failure is the failure of one incarnation of a target.
type Failure struct {
	Target      identifier.TargetID
	Incarnation int64
	Cause       Cause
}

// Findings are the failures of targets that a change of their state reveals, and the crashes
// that these show together with the attempts that broke or stalled before.
type Findings struct {
	Failures []Failure
	Crashes  []Crash
	// Candidates is the number of poison candidates that the failures were compared with.
	Candidates int
}

// candidate is an attempt that broke or stalled; one of its targets may have crashed.
type candidate struct {
	request identifier.Fingerprint
	targets []identifier.TargetID
	at      time.Time
}

// incarnation identifies one start of a target.
type incarnation struct {
	target identifier.TargetID
	number int64
}

// Tracker counts the crashes that each request caused at targets, detected by this node or others.
type Tracker struct {
	// alive holds the incarnations of the known targets that are not ejected.
	alive      map[identifier.TargetID]int64
	candidates []candidate
	crashes    map[identifier.Fingerprint]map[incarnation]time.Time
}

// NewTracker returns a tracker without candidates.
func NewTracker() *Tracker {
	return &Tracker{alive: map[identifier.TargetID]int64{}, crashes: map[identifier.Fingerprint]map[incarnation]time.Time{}}
}

// AddCandidate records that an attempt at targets broke or stalled before its first byte.
func (t *Tracker) AddCandidate(now time.Time, request identifier.Fingerprint, targets []identifier.TargetID) {
	t.candidates = append(t.candidates, candidate{request: request, targets: targets, at: now})
	if len(t.candidates) > maxCandidates {
		t.candidates = t.candidates[1:]
	}
}

// SetTargets applies the current state of the targets, and returns the failures that it reveals. A
// target has failed if its entry is gone, it was ejected, or it has restarted.
func (t *Tracker) SetTargets(now time.Time, targets []registrar.Target) Findings {
	known := make(map[identifier.TargetID]registrar.Target, len(targets))
	alive := make(map[identifier.TargetID]int64, len(targets))
	for _, target := range targets {
		known[target.ID] = target
		if !target.IsEjected {
			alive[target.ID] = target.Incarnation
		}
	}
	failed := map[identifier.TargetID]int64{}
	var out Findings
	for id, number := range t.alive {
		if current, ok := alive[id]; ok && current == number {
			continue
		}
		failed[id] = number
		out.Failures = append(out.Failures, Failure{Target: id, Incarnation: number, Cause: causeOf(known, id)})
	}
	t.alive = alive
	if len(failed) == 0 {
		return out
	}
	slices.SortFunc(out.Failures, func(a, b Failure) int { return strings.Compare(string(a.Target), string(b.Target)) })
	out.Candidates = len(t.candidates)
	out.Crashes = t.matchFailures(now, failed)
	return out
}

// causeOf returns how the failure of a target shows in the current state of the targets.
func causeOf(known map[identifier.TargetID]registrar.Target, id identifier.TargetID) Cause {
	switch target, ok := known[id]; {
	case !ok:
		return Gone
	case target.IsEjected:
		return Ejected
	}
	return Restarted
}

// matchFailures returns the crashes that failed targets reveal: those of recent candidates that
// used one of these targets. A candidate is used for one crash only: the next failure of the
// target has another cause.
func (t *Tracker) matchFailures(now time.Time, failed map[identifier.TargetID]int64) []Crash {
	var out []Crash
	var unmatched []candidate
	for _, x := range t.candidates {
		if now.Sub(x.at) > crashDetectionWindow {
			continue
		}
		i := slices.IndexFunc(x.targets, func(id identifier.TargetID) bool {
			_, ok := failed[id]
			return ok
		})
		if i < 0 {
			unmatched = append(unmatched, x)
			continue
		}
		c := Crash{Request: x.request, Target: x.targets[i], Incarnation: failed[x.targets[i]], AgeMS: now.Sub(x.at).Milliseconds()}
		if t.RecordCrash(now, c) {
			out = append(out, c)
		}
	}
	t.candidates = unmatched
	return out
}

// RecordCrash records a crash and reports whether it was not known before.
func (t *Tracker) RecordCrash(now time.Time, c Crash) bool {
	incarnations, ok := t.crashes[c.Request]
	if !ok {
		if len(t.crashes) >= maxTrackedRequests {
			t.evict(now)
		}
		incarnations = map[incarnation]time.Time{}
		t.crashes[c.Request] = incarnations
	}
	key := incarnation{target: c.Target, number: c.Incarnation}
	if _, ok := incarnations[key]; ok {
		return false
	}
	incarnations[key] = now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	return true
}

// evict drops the requests whose crashes have all expired, or all requests if there are none such.
func (t *Tracker) evict(now time.Time) {
	maps.DeleteFunc(t.crashes, func(_ identifier.Fingerprint, incarnations map[incarnation]time.Time) bool {
		return countSeparateCrashes(now, incarnations) == 0
	})
	if len(t.crashes) >= maxTrackedRequests {
		clear(t.crashes)
	}
}

// Clear drops the candidates and crashes of a request that has completed.
func (t *Tracker) Clear(request identifier.Fingerprint) {
	if len(t.crashes) > 0 {
		delete(t.crashes, request)
	}
	if len(t.candidates) > 0 {
		t.candidates = slices.DeleteFunc(t.candidates, func(x candidate) bool { return x.request == request })
	}
}

// IsConfirmed reports whether a request is confirmed as poison and must not run again.
func (t *Tracker) IsConfirmed(now time.Time, request identifier.Fingerprint) bool {
	return countSeparateCrashes(now, t.crashes[request]) >= confirmingCrashes
}

// Counts returns how many poison candidates, requests with crashes and confirmed poison requests are known.
func (t *Tracker) Counts(now time.Time) (candidates, accused, confirmed int) {
	for request := range t.crashes {
		if t.IsConfirmed(now, request) {
			confirmed++
		}
	}
	return len(t.candidates), len(t.crashes), confirmed
}

// countSeparateCrashes counts the crashes that have not expired and are at least
// correlationWindow apart.
func countSeparateCrashes(now time.Time, incarnations map[incarnation]time.Time) int {
	if len(incarnations) == 0 {
		return 0
	}
	n := 0
	var last time.Time
	for _, at := range slices.SortedFunc(maps.Values(incarnations), time.Time.Compare) {
		if now.Sub(at) >= crashMaxAge || (n > 0 && at.Sub(last) < correlationWindow) {
			continue
		}
		n++
		last = at
	}
	return n
}
