package dispatcher

import (
	"net/http"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/fingerprinter"
)

const (
	// holdInterval is the time between two looks whether a held request may be sent.
	holdInterval = 25 * time.Millisecond
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
			"traits", known.Traits, "holds_lease", d.trials.HoldsLease(now),
		},
	}
}

// isTried reports whether the next attempt of a request should wait for the outcome of the last one.
func (d *Dispatcher) isTried(now time.Time, key fingerprinter.Key) bool {
	return d.trials.IsAnyTried(now, key)
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
