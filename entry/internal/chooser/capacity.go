package chooser

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/weigher"
)

// maxFreeUse is the mean share of the places of first targets up to which they count as free. Nodes that are limited fill
// 0.88 of the places with the least urgent requests.
const maxFreeUse = 0.7

// Capacity returns how many requests the first targets of a service's planned chains run at once, without those that may get no requests
// now; 0 if it is not known.
func (c *Chooser) Capacity(now time.Time, id identifier.ServiceID) int {
	s := c.services[id]
	if s == nil || s.engine == nil {
		return 0
	}
	return len(c.openFirsts(now, s)) * s.engine.Slots
}

// openFirsts returns the first targets of a service's planned chains that may get requests now, with their addresses.
func (c *Chooser) openFirsts(now time.Time, s *service) map[identifier.TargetID]string {
	firsts := map[identifier.TargetID]string{}
	for i := range s.chains {
		if first := s.chains[i].Stages[0]; !c.IsShut(now, first.Target) {
			firsts[first.Target] = first.Address
		}
	}
	return firsts
}

// HasFreePlaces reports whether, by recent reports, the first targets of a service's planned chains have free places and memory.
// Those that have not reported count as full.
func (c *Chooser) HasFreePlaces(now time.Time, id identifier.ServiceID, loads weigher.Loads) bool {
	s := c.services[id]
	if s == nil || s.engine == nil || s.engine.Slots <= 0 {
		return false
	}
	firsts := c.openFirsts(now, s)
	use := 0.0
	for first := range firsts {
		l, isReported := loads.Load(now, first)
		if !isReported {
			use++
			continue
		}
		use += max((l.Running+l.Waiting)/float64(s.engine.Slots), l.MemoryShare)
	}
	return len(firsts) > 0 && use < maxFreeUse*float64(len(firsts))
}
