package chooser

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// Suspect plans chains without a target until the given time, unless there are none without it, as other nodes have seen an
// incarnation of it fail. It reports whether the target is suspected now and was not before. A later incarnation is not suspected.
func (c *Chooser) Suspect(id identifier.TargetID, incarnation int64, until time.Time) bool {
	isNew := c.Avoider.Suspect(id, incarnation, until)
	if isNew {
		c.markStale()
	}
	return isNew
}

// ClearSuspicion ends the suspicion against targets, for example as they have answered this node.
func (c *Chooser) ClearSuspicion(ids ...identifier.TargetID) {
	if c.Avoider.ClearSuspicion(ids...) {
		c.markStale()
	}
}

// markStale lets the chains be planned again.
func (c *Chooser) markStale() {
	for _, s := range c.services {
		s.isStale = true
	}
}

// HasFailed reports whether a chain includes a target that is ejected, suspected or not known.
func (c *Chooser) HasFailed(chain []describer.Stage) bool {
	return c.HasEjected(chain) || slices.ContainsFunc(chain, func(p describer.Stage) bool { return c.IsSuspected(p.Target) })
}
