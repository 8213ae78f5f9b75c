// Package avoider keeps which targets get no requests for now, or only if there is no other way: those that want none, whose request
// limit allows none, whose chains have stalled, or that reject requests.
package avoider

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

// Avoider keeps until when targets are avoided.
type Avoider struct {
	// avoided holds, by address, until when chains that include the target are a last resort;
	// stalled holds, by address, until when the chains that begin at the target count as stalled.
	avoided map[string]time.Time
	stalled map[string]time.Time
	// shut holds until when a target's request limit allows no request, quiet until when the target wants none.
	shut  map[identifier.TargetID]time.Time
	quiet map[identifier.TargetID]time.Time
	// rejecting holds the targets that have rejected requests lately.
	rejecting map[identifier.TargetID]*rejecting
	counts    counts
	// suspects holds the targets that other nodes have seen fail.
	suspects map[identifier.TargetID]suspect
	// known holds the known targets, ids those at each address.
	known map[identifier.TargetID]place
	ids   map[string]identifier.TargetID
}

// place is where an incarnation of a target runs.
type place struct {
	incarnation int64
	address     string
}

// NewAvoider returns an avoider that avoids no target.
func NewAvoider() *Avoider {
	return &Avoider{
		avoided: map[string]time.Time{}, stalled: map[string]time.Time{},
		shut: map[identifier.TargetID]time.Time{}, quiet: map[identifier.TargetID]time.Time{},
		rejecting: map[identifier.TargetID]*rejecting{}, suspects: map[identifier.TargetID]suspect{},
		known: map[identifier.TargetID]place{}, ids: map[string]identifier.TargetID{},
	}
}

// SetTargets applies the current targets. What is known of the rejections of earlier incarnations, and of targets that are gone, is forgotten.
func (a *Avoider) SetTargets(targets []registrar.Target) {
	a.known = make(map[identifier.TargetID]place, len(targets))
	a.ids = make(map[string]identifier.TargetID, len(targets))
	for _, t := range targets {
		if _, ok := a.ids[t.Address]; !ok {
			a.ids[t.Address] = t.ID
		}
		a.known[t.ID] = place{incarnation: t.Incarnation, address: t.Address}
	}
	maps.DeleteFunc(a.rejecting, func(id identifier.TargetID, r *rejecting) bool {
		p, ok := a.known[id]
		return !ok || p.incarnation > r.incarnation
	})
}

// Tick forgets what has expired. It reports whether a suspicion has ended.
func (a *Avoider) Tick(now time.Time) (hasEnded bool) {
	dropExpired(now, a.avoided)
	dropExpired(now, a.stalled)
	dropExpired(now, a.shut)
	dropExpired(now, a.quiet)
	a.dropRejections(now)
	return a.dropSuspects(now)
}

func dropExpired[K comparable](now time.Time, untils map[K]time.Time) {
	maps.DeleteFunc(untils, func(_ K, until time.Time) bool { return !now.Before(until) })
}

// Avoid makes chains that include the target at an address a last resort until the given time.
func (a *Avoider) Avoid(address string, until time.Time) { a.avoided[address] = until }

// Shut makes a target get no requests until the given time.
func (a *Avoider) Shut(id identifier.TargetID, until time.Time) { a.shut[id] = until }

// Reopen lets a target that was shut get requests again.
func (a *Avoider) Reopen(id identifier.TargetID) { delete(a.shut, id) }

// IsShut reports whether a target may get no requests now.
func (a *Avoider) IsShut(now time.Time, id identifier.TargetID) bool {
	return now.Before(a.shut[id]) || a.IsQuiet(now, id)
}

// OpensAt returns when a target that is shut may get requests again.
func (a *Avoider) OpensAt(id identifier.TargetID) time.Time {
	if a.quiet[id].After(a.shut[id]) {
		return a.quiet[id]
	}
	return a.shut[id]
}

// MarkStalled marks the chains that begin at an address as stalled until the given time. It
// reports whether they were not marked before.
func (a *Avoider) MarkStalled(now time.Time, address string, until time.Time) bool {
	if a.IsStalled(now, address) {
		return false
	}
	a.stalled[address], a.avoided[address] = until, until
	return true
}

// IsStalled reports whether the chains that begin at an address are marked as stalled.
func (a *Avoider) IsStalled(now time.Time, address string) bool {
	return now.Before(a.stalled[address])
}

// IsAvoided reports whether requests go around a target now, of which only the address may be known.
func (a *Avoider) IsAvoided(now time.Time, id identifier.TargetID, address string) bool {
	return now.Before(a.avoided[address]) || a.IsRejecting(now, id)
}
