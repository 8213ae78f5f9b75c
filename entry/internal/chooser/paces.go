package chooser

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

const (
	// maxPaceChange is the factor by which a pace may change until chains are planned again.
	maxPaceChange = 1.5
	// paceMaxAge is how long a pace counts that is not reported again.
	paceMaxAge = 5 * time.Second
)

// pace is by which factor a target says that it is slow, and until when that counts.
type pace struct {
	factor float64
	until  time.Time
}

// SetPace notes the factor by which a target says that its steps take longer than its accelerator's do. Chains go around slow targets
// where others hold their layers.
func (c *Chooser) SetPace(now time.Time, id identifier.TargetID, factor float64) {
	before := c.paceOf(id)
	if factor < loadtracker.MinSlowPace {
		factor = 1
	}
	if factor == 1 {
		delete(c.paces, id)
	} else {
		c.paces[id] = pace{factor: factor, until: now.Add(paceMaxAge)}
	}
	if factor > before*maxPaceChange || before > factor*maxPaceChange {
		c.markStale()
	}
}

// paceOf returns the factor by which a target's steps take longer, 1 if that is not known.
func (c *Chooser) paceOf(id identifier.TargetID) float64 {
	if p, ok := c.paces[id]; ok {
		return p.factor
	}
	return 1
}

// dropPaces forgets paces that were not reported again.
func (c *Chooser) dropPaces(now time.Time) {
	for id, p := range c.paces {
		if !now.Before(p.until) {
			delete(c.paces, id)
			c.markStale()
		}
	}
}

// Holders calls use with each target that may be a stage of a chain.
func (c *Chooser) Holders(use func(target identifier.TargetID, address string)) {
	for _, s := range c.services {
		if s.engine == nil {
			continue
		}
		for _, t := range s.targets {
			if t.Layers.Len() > 0 && !t.IsLeaving {
				use(t.ID, t.Address)
			}
		}
	}
}
