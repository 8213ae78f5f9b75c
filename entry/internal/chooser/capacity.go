package chooser

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

// Capacity returns how many requests the first targets of a service's planned chains run at once, without those that may get no requests
// now; 0 if it is not known.
func (c *Chooser) Capacity(now time.Time, id identifier.ServiceID) int {
	s := c.services[id]
	if s == nil || s.engine == nil {
		return 0
	}
	firsts := map[identifier.TargetID]bool{}
	for i := range s.chains {
		if first := s.chains[i].Stages[0].Target; !c.IsShut(now, first) {
			firsts[first] = true
		}
	}
	return len(firsts) * s.engine.Slots
}
