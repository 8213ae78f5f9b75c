package dispatcher

import (
	"net/http"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/fingerprinter"
	"fuchsiabridge.example/entry/internal/placer"
)

const (
	// holdInterval is the time between two looks whether a held request may be sent.
	holdInterval = 25 * time.Millisecond
	// singleTrierAttempts is how many attempts must have crashed targets for only one node to send the
	// request from then on: copies that several nodes send at once crash a target each.
	singleTrierAttempts = 3
	// togetherTime is how long after a crash variants of a single request may come at several nodes at the same moment:
	// they have waited for the targets that it has crashed. They share its group; a part of its prompt is shared by many
	// innocent requests, which must go on to prove it sound.
	togetherTime = 10 * time.Second
	// maxHold is how long a request is held back before it is refused.
	maxHold = time.Second
)

// Reasons for which requests end, in logs.
const (
	quarantined    = "request is quarantined: it has crashed several targets"
	deadlinePassed = "deadline passed"
	noChain        = "no chain holds all layers"
	noTarget       = "no target"
)

// setLease notes until when this node holds the lease.
func (d *Dispatcher) setLease(ev placer.LeaseChanged) {
	d.leaseUntil = time.Time{}
	if ev.IsHeld {
		d.leaseUntil = ev.Until
	}
}

// mustHold reports whether an attempt of a request with known crashes must wait: for the outcome of
// another one or, once it has crashed several targets, because another node tries it.
func (d *Dispatcher) mustHold(now time.Time, r *request, before crashrecorder.Histories) bool {
	if d.isTried(now, r.key) {
		return true
	}
	if now.Before(d.leaseUntil) {
		return false
	}
	for id, known := range before.Traits {
		mayComeTogether := known.Requests > 1 || (id == r.key.Group && now.Sub(known.LastAt) < togetherTime)
		if known.Attempts >= singleTrierAttempts && mayComeTogether && d.crashTracker.IsTraitOpen(now, r.key.Request, id) {
			return true
		}
	}
	return before.Request.Attempts >= singleTrierAttempts
}

// hold holds a request back, or refuses it if it was held back for long enough.
func (d *Dispatcher) hold(now time.Time, call identifier.CallID, r *request) []messenger.Effect {
	if !r.holdUntil.IsZero() && !now.Before(r.holdUntil) {
		return d.endUnplaced(now, call, r, "request may have crashed targets and is being tried elsewhere")
	}
	effects := []messenger.Effect{Hold{Until: now.Add(holdInterval)}}
	if r.holdUntil.IsZero() {
		r.holdUntil = now.Add(maxHold)
		effects = append(effects, d.logHold(now, r))
	}
	return effects
}

func (d *Dispatcher) logHold(now time.Time, r *request) messenger.Effect {
	known := d.crashTracker.Histories(now, r.key)
	return messenger.Log{
		Event: eventlogger.RelayedRequestHeld, Subject: "request/" + string(r.id),
		Values: []any{
			fingerprintKey, r.key.Request, groupKey, r.key.Group, partsKey, r.key.Parts, "depth", known.Request.Depth, "attempts", known.Request.Attempts,
			"traits", known.Traits, "holds_lease", now.Before(d.leaseUntil),
		},
	}
}

// isTried reports whether it is still open if the last attempt of a request with known crashes, or of another one with one of
// its traits, has crashed its targets, so that the next one should wait.
func (d *Dispatcher) isTried(now time.Time, key fingerprinter.Key) bool {
	if d.trials.IsTried(now, key.Request) {
		return true
	}
	for id := range key.Traits() {
		if !d.crashTracker.IsTraitOpen(now, key.Request, id) {
			continue
		}
		if d.trials.IsTried(now, id) || d.crashTracker.IsTraitSettling(now, key.Request, id) {
			return true
		}
	}
	return false
}

// holdEnded sends a request that was held back, unless it has become known as poison meanwhile.
func (d *Dispatcher) holdEnded(now time.Time, ev HoldEnded) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	if ev.IsCallerGone {
		return d.end(now, ev.Call, 0, "caller gone")
	}
	if effects := d.endBarred(now, ev.Call, r); effects != nil {
		return effects
	}
	if r.waiting != nil {
		return d.check(now, *r.waiting, r)
	}
	return d.send(now, ev.Call, r, ev.Seed)
}

// endBarred ends a request that has waited if it may no longer be sent, and returns nil otherwise.
func (d *Dispatcher) endBarred(now time.Time, call identifier.CallID, r *request) []messenger.Effect {
	switch {
	case r.attempts > 0:
		if reason := d.retryBarrier(now, r); reason != "" {
			return d.endUnplaced(now, call, r, reason)
		}
	case d.crashTracker.IsConfirmed(now, r.key):
		return d.refuse(now, call, http.StatusBadGateway, 0, quarantined)
	case !now.Before(r.deadline):
		return d.refuse(now, call, http.StatusGatewayTimeout, 0, deadlinePassed)
	}
	return nil
}
