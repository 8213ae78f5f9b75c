package trier

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/fingerprinter"
)

const (
	// SingleTrierAttempts is how many attempts must have crashed targets for only one node to send the
	// request from then on: copies that several nodes send at once crash a target each.
	SingleTrierAttempts = 3
	// togetherTime is how long after a crash variants of a single request may come at several nodes at the same moment:
	// they have waited for the targets that it has crashed. They share its group; a part of its prompt is shared by many
	// innocent requests, which must go on to prove it sound.
	togetherTime = 10 * time.Second
)

// Crashes knows the traits of requests that have crashed targets.
type Crashes interface {
	IsTraitOpen(now time.Time, request, trait identifier.Fingerprint) bool
	IsTraitSettling(now time.Time, request, trait identifier.Fingerprint) bool
}

// SetLease notes until when this node holds the lease, which no two nodes do at the same time; zero if it does not.
func (t *Trier) SetLease(until time.Time) { t.leaseUntil = until }

// HoldsLease reports whether this node holds the lease.
func (t *Trier) HoldsLease(now time.Time) bool { return now.Before(t.leaseUntil) }

// MustHold reports whether an attempt of a request with known crashes must wait: for the outcome of
// another one or, once it has crashed several targets, because another node tries it.
func (t *Trier) MustHold(now time.Time, key fingerprinter.Key, before crashrecorder.Histories) bool {
	if t.IsAnyTried(now, key) {
		return true
	}
	if t.HoldsLease(now) {
		return false
	}
	for id, known := range before.Traits {
		mayComeTogether := known.Requests > 1 || (id == key.Group && now.Sub(known.LastAt) < togetherTime)
		if known.Attempts >= SingleTrierAttempts && mayComeTogether && t.crashes.IsTraitOpen(now, key.Request, id) {
			return true
		}
	}
	return before.Request.Attempts >= SingleTrierAttempts
}

// IsAnyTried reports whether it is still open if the last attempt of a request with known crashes, or of another one with one of
// its traits, has crashed its targets, so that the next one should wait.
func (t *Trier) IsAnyTried(now time.Time, key fingerprinter.Key) bool {
	if t.IsTried(now, key.Request) {
		return true
	}
	for id := range key.Traits() {
		if !t.crashes.IsTraitOpen(now, key.Request, id) {
			continue
		}
		if t.IsTried(now, id) || t.crashes.IsTraitSettling(now, key.Request, id) {
			return true
		}
	}
	return false
}
