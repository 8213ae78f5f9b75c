// Package trier notes which requests that are suspected of crashing targets are being tried, so that further copies of them wait
// for the outcome.
package trier

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/fingerprinter"
)

const (
	// maxTrial is how long an attempt of a request with known crashes holds back the next one, and
	// verdictDelay how long after its end, if neither its answer nor a crash ends that sooner.
	maxTrial     = time.Second
	verdictDelay = 300 * time.Millisecond
)

// trial is an attempt of a request with known crashes.
type trial struct {
	call identifier.CallID
	// until is until when it holds back others.
	until time.Time
}

// Trier holds the attempts that hold back others, by request and by trait.
type Trier struct {
	trials  map[identifier.Fingerprint]trial
	crashes Crashes
	// leaseUntil is until when this node holds the lease.
	leaseUntil time.Time
}

// NewTrier returns a trier without trials.
func NewTrier(crashes Crashes) *Trier {
	return &Trier{trials: map[identifier.Fingerprint]trial{}, crashes: crashes}
}

// IsTried reports whether it is still open if the last attempt of a request, or with a trait, has crashed its targets.
func (t *Trier) IsTried(now time.Time, id identifier.Fingerprint) bool {
	return now.Before(t.trials[id].until)
}

// Begin notes that an attempt of a request begins, if crashes of it or of one of its traits are known.
func (t *Trier) Begin(now time.Time, call identifier.CallID, key fingerprinter.Key, before crashrecorder.Histories) {
	if before.Request.Depth > 0 {
		t.trials[key.Request] = trial{call: call, until: now.Add(maxTrial)}
	}
	for id := range before.Traits {
		t.trials[id] = trial{call: call, until: now.Add(maxTrial)}
	}
}

// End notes that an attempt has ended without a complete answer.
func (t *Trier) End(now time.Time, key fingerprinter.Key) {
	for id := range key.IDs() {
		if x, ok := t.trials[id]; ok {
			x.until = now.Add(verdictDelay)
			t.trials[id] = x
		}
	}
}

// Reject notes that no target has run the attempt of a call, which ends the trial that it began.
func (t *Trier) Reject(call identifier.CallID, key fingerprinter.Key) {
	for id := range key.IDs() {
		if t.trials[id].call == call {
			delete(t.trials, id)
		}
	}
}

// Drop notes that the outcome of the last attempt of a request and its traits is known.
func (t *Trier) Drop(key fingerprinter.Key) {
	for id := range key.IDs() {
		delete(t.trials, id)
	}
}

// Clear notes that nothing is held any more against a request or a trait.
func (t *Trier) Clear(id identifier.Fingerprint) { delete(t.trials, id) }

// Tick forgets trials whose time is over.
func (t *Trier) Tick(now time.Time) {
	maps.DeleteFunc(t.trials, func(_ identifier.Fingerprint, x trial) bool { return !now.Before(x.until) })
}
