package chooser

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/describer"
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

// Suspect plans chains without a target until the given time, unless there are none without it, as other nodes have seen an
// incarnation of it fail. It reports whether the target is suspected now and was not before. A later incarnation is not suspected.
func (c *Chooser) Suspect(id identifier.TargetID, incarnation int64, until time.Time) bool {
	_, isKnown := c.suspects[id]
	if !isKnown && len(c.suspects) >= max(1, int(maxSuspectedShare*float64(len(c.targets)))) {
		return false
	}
	address := c.Address(id)
	c.suspects[id] = suspect{incarnation: incarnation, address: address, until: until}
	c.avoided[address] = until
	if !isKnown {
		c.markStale()
	}
	return !isKnown
}

// ClearSuspicion ends the suspicion against targets, for example as they have answered this node.
func (c *Chooser) ClearSuspicion(ids ...identifier.TargetID) {
	for _, id := range ids {
		if s, ok := c.suspects[id]; ok {
			delete(c.suspects, id)
			delete(c.avoided, s.address)
			c.markStale()
		}
	}
}

// markStale lets the chains be planned again.
func (c *Chooser) markStale() {
	for _, s := range c.services {
		s.isStale = true
	}
}

// dropSuspects ends the suspicions whose time has expired, and those against incarnations that have ended.
func (c *Chooser) dropSuspects(now time.Time) {
	for id, s := range maps.Clone(c.suspects) {
		if !now.Before(s.until) {
			c.ClearSuspicion(id)
		}
	}
	for _, t := range c.targets {
		if s, ok := c.suspects[t.ID]; ok && t.Incarnation > s.incarnation {
			c.ClearSuspicion(t.ID)
		}
	}
}

// isSuspected reports whether a target is suspected.
func (c *Chooser) isSuspected(id identifier.TargetID) bool {
	_, ok := c.suspects[id]
	return ok
}

// HasFailed reports whether a chain includes a target that is ejected, suspected or not known.
func (c *Chooser) HasFailed(chain []describer.Stage) bool {
	if c.HasEjected(chain) {
		return true
	}
	for _, p := range chain {
		if c.isSuspected(p.Target) {
			return true
		}
	}
	return false
}
