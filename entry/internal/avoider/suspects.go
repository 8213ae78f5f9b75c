package avoider

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/identifier"
)

// maxSuspectedShare is the share of all targets that may be suspected at once, but one always may: without more of them the
// others would be overloaded, and seem to fail too.
const maxSuspectedShare = 0.05

// suspect is an incarnation of a target that other nodes have seen fail.
type suspect struct {
	incarnation int64
	address     string
	until       time.Time
}

// Suspect avoids a target until the given time, as other nodes have seen an incarnation of it fail. It reports whether the target is suspected now
// and was not before. A later incarnation is not suspected.
func (a *Avoider) Suspect(id identifier.TargetID, incarnation int64, until time.Time) bool {
	_, isKnown := a.suspects[id]
	if !isKnown && len(a.suspects) >= a.limit(maxSuspectedShare) {
		return false
	}
	address := a.known[id].address
	a.suspects[id] = suspect{incarnation: incarnation, address: address, until: until}
	a.avoided[address] = until
	return !isKnown
}

// limit returns how many targets are a share of the known ones, at least one.
func (a *Avoider) limit(share float64) int { return max(1, int(share*float64(len(a.known)))) }

// ClearSuspicion ends the suspicion against targets, for example as they have answered this node. It reports whether there was any.
func (a *Avoider) ClearSuspicion(ids ...identifier.TargetID) (hasEnded bool) {
	for _, id := range ids {
		if s, ok := a.suspects[id]; ok {
			delete(a.suspects, id)
			delete(a.avoided, s.address)
			hasEnded = true
		}
	}
	return hasEnded
}

// dropSuspects ends the suspicions whose time has expired, and those against incarnations that have ended.
func (a *Avoider) dropSuspects(now time.Time) (hasEnded bool) {
	for id, s := range maps.Clone(a.suspects) {
		if !now.Before(s.until) || a.known[id].incarnation > s.incarnation {
			hasEnded = a.ClearSuspicion(id) || hasEnded
		}
	}
	return hasEnded
}

// IsSuspected reports whether a target is suspected.
func (a *Avoider) IsSuspected(id identifier.TargetID) bool {
	_, ok := a.suspects[id]
	return ok
}
