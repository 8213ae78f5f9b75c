// Package crashtracker detects poison requests, which crash the targets that run them, so that
// these requests can be quarantined.
//
// Evidence rests on order, not on the time between two crashes: a crash counts as a further one if
// the request was sent when the crashes before it were known, to a target that was alive then. A
// single fault that takes down many targets, seen by many nodes, therefore counts once.
package crashtracker

import (
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/fingerprinter"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// candidateMaxAge is how long an attempt that may have crashed a target waits for evidence, and
	// how long the failure of a target is remembered for attempts that are reported after it.
	candidateMaxAge = time.Minute
	// maxCandidates limits the memory; the oldest candidate is dropped.
	maxCandidates = 1024
)

// Attempt is an attempt that ended, or was left, without a complete answer.
type Attempt struct {
	Key fingerprinter.Key
	// Targets are the targets that the attempt used, first the one that it was sent to.
	Targets []identifier.TargetID
	// Before holds the crashes of the request and its traits that were known when the attempt was sent.
	Before crashrecorder.Histories
	SentAt time.Time
	// RunsUntil is when the attempt ended, or until when targets may go on with one that the node has left.
	RunsUntil time.Time
	// HasEvents says that events arrived, which takes all targets of a chain.
	HasEvents bool
	// IsBroken says that the connection to the first target broke.
	IsBroken bool
}

// Cause is how a node learned that a target has failed.
type Cause string

// Causes of a failure.
const (
	// Gone: its entry is gone.
	Gone Cause = "gone"
	// Restarted: it reports another incarnation.
	Restarted Cause = "restarted"
	// Unresponsive: requests, or a check, got no answer from it.
	Unresponsive Cause = "unresponsive"
)

// Failure is the failure of one incarnation of a target.
type Failure struct {
	Target      identifier.TargetID
	Incarnation int64
	Cause       Cause
}

// Findings are failures of targets that have become known, and the crashes that these show together
// with the attempts that ended without an answer.
type Findings struct {
	Failures []Failure
	Crashes  []crashrecorder.Crash
	// Candidates is the number of attempts that the failures were compared with.
	Candidates int
}

// candidate is an attempt that may still turn out to have crashed a target.
type candidate struct {
	Attempt
	// open are the targets of which no failure is known.
	open []identifier.TargetID
	// hasCrashed says that a crash by the attempt is known.
	hasCrashed bool
}

// targetState is what is known of a target's current incarnation, and of its last failure.
type targetState struct {
	address     string
	incarnation int64
	// revivals counts how often it answered again after a failure while its entry told of no restart.
	// Each time, it may run under an incarnation that is not known yet.
	revivals int64
	// aliveAt is the latest time at which the incarnation is proven to have been alive.
	aliveAt time.Time
	// isFailed says that the current incarnation has failed, isGone that its entry is gone.
	isFailed bool
	isGone   bool
	// failedAt is when the last failure became known, of the incarnation failedIncarnation.
	failedAt          time.Time
	failedIncarnation int64
	// checkedAt is when the last check of the target began, isChecked whether it goes on.
	checkedAt time.Time
	isChecked bool
}

// Tracker finds out which requests have crashed targets, from the attempts of this node, from the
// failures of targets, and from what other nodes have found.
type Tracker struct {
	// Recorder holds the crashes that were found.
	*crashrecorder.Recorder

	targets    map[identifier.TargetID]*targetState
	candidates []candidate
	checks     checkLimit
	survivals  []Survival
	// reported holds what other nodes have reported of failures of targets.
	reported map[identifier.TargetID]*failureReports
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{Recorder: crashrecorder.NewRecorder(), targets: map[identifier.TargetID]*targetState{}, reported: map[identifier.TargetID]*failureReports{}}
}

// AddAttempt records an attempt that may have crashed a target, and returns the crashes that
// failures known already show. The first target accepted the attempt, so it was alive then, even if
// an earlier failure of it is known.
func (t *Tracker) AddAttempt(now time.Time, a Attempt) []crashrecorder.Crash {
	t.RecordAlive(a.SentAt, a.Targets[0])
	c := candidate{Attempt: a}
	var crashes []crashrecorder.Crash
	for _, id := range a.Targets {
		s, ok := t.targets[id]
		if !ok || s.failedAt.Before(a.SentAt) {
			c.open = append(c.open, id)
			continue
		}
		crashes = append(crashes, t.addCrash(now, &c, id, s.failedIncarnation)...)
	}
	if len(c.open) == 0 {
		return crashes
	}
	t.candidates = append(t.candidates, c)
	if len(t.candidates) > maxCandidates {
		t.candidates = t.candidates[1:]
	}
	return crashes
}

// RecordAlive records that targets answered an attempt that was sent at the given time. What ended
// before cannot have crashed them.
func (t *Tracker) RecordAlive(at time.Time, targets ...identifier.TargetID) {
	for _, id := range targets {
		s, ok := t.targets[id]
		if !ok || !at.After(s.aliveAt) || (s.isFailed && !at.After(s.failedAt)) {
			continue
		}
		s.aliveAt = at
		if s.isFailed {
			s.isFailed = false
			s.revivals++
		}
	}
}

// SetTargets applies the entries of the targets, and returns the failures that they reveal: of
// targets whose entry is gone, or that have restarted.
func (t *Tracker) SetTargets(now time.Time, targets []registrar.Target) Findings {
	var failures []Failure
	present := make(map[identifier.TargetID]bool, len(targets))
	for _, target := range targets {
		present[target.ID] = true
		failures = append(failures, t.setTarget(now, target)...)
	}
	t.dropReports(present)
	for id, s := range t.targets {
		if present[id] {
			continue
		}
		s.isGone = true
		failures = append(failures, t.fail(now, id, Gone)...)
		if now.Sub(s.failedAt) > candidateMaxAge {
			delete(t.targets, id)
		}
	}
	slices.SortFunc(failures, func(a, b Failure) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return t.match(now, failures)
}

// setTarget applies the entry of a target.
func (t *Tracker) setTarget(now time.Time, target registrar.Target) []Failure {
	s, ok := t.targets[target.ID]
	if !ok {
		s = &targetState{}
		t.targets[target.ID] = s
	}
	s.address = target.Address
	switch {
	case target.Incarnation < s.incarnation, target.Incarnation == s.incarnation && !s.isGone:
		// A check has found a later incarnation, or nothing has changed.
		return nil
	case target.Incarnation == s.incarnation:
		s.isFailed, s.isGone = false, false
		return nil
	}
	var failures []Failure
	if ok {
		failures = t.fail(now, target.ID, Restarted)
	}
	// When the entry was written is not known, so it proves nothing about any later time.
	s.incarnation, s.revivals, s.aliveAt = target.Incarnation, 0, time.Time{}
	s.isFailed, s.isGone = false, false
	return failures
}

// SetUnresponsive records that the target at an address does not answer.
func (t *Tracker) SetUnresponsive(now time.Time, address string) Findings {
	var failures []Failure
	for id, s := range t.targets {
		if s.address == address {
			failures = append(failures, t.fail(now, id, Unresponsive)...)
		}
	}
	return t.match(now, failures)
}

// fail marks the current incarnation of a target as failed, unless it is already.
func (t *Tracker) fail(now time.Time, id identifier.TargetID, cause Cause) []Failure {
	s := t.targets[id]
	if s.isFailed {
		return nil
	}
	s.isFailed, s.failedAt, s.failedIncarnation = true, now, s.incarnation+s.revivals
	return []Failure{{Target: id, Incarnation: s.failedIncarnation, Cause: cause}}
}

// match returns the crashes that failures show: those of attempts that used the failed target and
// after whose end it is not known to have been alive.
func (t *Tracker) match(now time.Time, failures []Failure) Findings {
	out := Findings{Failures: failures, Candidates: len(t.candidates)}
	if len(failures) == 0 {
		return out
	}
	failed := make(map[identifier.TargetID]Failure, len(failures))
	for _, f := range failures {
		failed[f.Target] = f
	}
	candidates := t.candidates[:0]
	for _, a := range t.candidates {
		if now.Sub(a.RunsUntil) > candidateMaxAge {
			continue
		}
		out.Crashes = append(out.Crashes, t.matchCandidate(now, &a, failed)...)
		if len(a.open) > 0 {
			candidates = append(candidates, a)
		}
	}
	t.candidates = candidates
	return out
}

// matchCandidate returns the crashes that an attempt has caused among the failed targets.
func (t *Tracker) matchCandidate(now time.Time, a *candidate, failed map[identifier.TargetID]Failure) []crashrecorder.Crash {
	var crashes []crashrecorder.Crash
	a.open = slices.DeleteFunc(a.open, func(id identifier.TargetID) bool {
		f, ok := failed[id]
		if ok && !t.hasSurvived(id, a.Attempt) {
			crashes = append(crashes, t.addCrash(now, a, id, f.Incarnation)...)
		}
		return ok
	})
	return crashes
}

// hasSurvived reports whether a target is known to have been alive after an attempt.
func (t *Tracker) hasSurvived(id identifier.TargetID, a Attempt) bool {
	s, ok := t.targets[id]
	return ok && s.aliveAt.After(a.RunsUntil)
}

// addCrash records the crash of a target by an attempt, and returns it if it was not known.
func (t *Tracker) addCrash(now time.Time, a *candidate, id identifier.TargetID, number int64) []crashrecorder.Crash {
	c := crashrecorder.Crash{
		Request: a.Key.Request, Group: a.Key.Group, Target: id, Incarnation: number,
		Depth: t.depth(a.Attempt, a.Before.Request, id), GroupDepth: t.traitDepth(a.Attempt, a.Key.Group, id), IsFurther: a.hasCrashed,
		Parts: t.accusedParts(now, a.Attempt, id),
	}
	a.hasCrashed = true
	if !t.RecordOwnCrash(now, c) {
		return nil
	}
	return []crashrecorder.Crash{c}
}

// depth returns how many crashes in a row the crash of a target by an attempt makes, with those that were known before.
// Without proof that the target was alive when these were known, it may have failed together with their targets.
func (t *Tracker) depth(a Attempt, before crashrecorder.History, id identifier.TargetID) int {
	if before.Depth == 0 {
		return 1
	}
	// A new connection to the first target proves that it was alive: see History. Work that a later
	// target cuts off had begun, which takes all targets.
	wasAlive := a.HasEvents || a.IsBroken || id == a.Targets[0] || t.targets[id].aliveAt.After(before.KnownAt)
	if !wasAlive {
		return before.Depth
	}
	return before.Depth + 1
}

// accusedParts returns the parts of an attempt's prompt that may have crashed a target.
func (t *Tracker) accusedParts(now time.Time, a Attempt, id identifier.TargetID) []crashrecorder.TraitCrash {
	var parts []crashrecorder.TraitCrash
	for _, part := range a.Key.Parts {
		if !t.IsSound(now, part) {
			parts = append(parts, crashrecorder.TraitCrash{Trait: part, Depth: t.traitDepth(a, part, id)})
		}
	}
	return parts
}

// traitDepth returns how many crashes in a row by different requests with a trait the crash of a target by an attempt makes.
func (t *Tracker) traitDepth(a Attempt, trait identifier.Fingerprint, id identifier.TargetID) int {
	if d := t.TraitDepth(a.Key.Request, trait); d > 0 {
		return d
	}
	return t.depth(a, a.Before.Traits[trait], id)
}

// NoteAnswer applies that a request was answered, and returns the requests and traits whose crashes count no more.
func (t *Tracker) NoteAnswer(now time.Time, key fingerprinter.Key, isSuccess bool) []identifier.Fingerprint {
	cleared := t.Recorder.NoteAnswer(now, key, isSuccess)
	if isSuccess || slices.Contains(cleared, key.Request) {
		t.dropCandidates(key.Request)
	}
	return cleared
}

// Clear drops the attempts and crashes of a request, or the crashes of a trait, and reports whether crashes were known.
func (t *Tracker) Clear(id identifier.Fingerprint) bool {
	t.dropCandidates(id)
	return t.Recorder.Clear(id)
}

func (t *Tracker) dropCandidates(request identifier.Fingerprint) {
	t.candidates = slices.DeleteFunc(t.candidates, func(a candidate) bool { return a.Key.Request == request })
}

// Candidates returns how many attempts wait for evidence.
func (t *Tracker) Candidates() int { return len(t.candidates) }
