package chooser

import (
	"math"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

// record is what the node's own requests have shown of a target.
type record struct {
	open   int
	took   time.Duration
	failed float64
	// first is the time to the first event of the chains that begin here, as of firstAt.
	first   time.Duration
	firstAt time.Time
}

// learnFirst takes in the time to a first event.
func (r *record) learnFirst(now time.Time, first time.Duration) {
	r.first = r.expectFirst(now)
	r.first += time.Duration(firstShare * float64(first-r.first))
	r.firstAt = now
}

// expectFirst returns the expected time to the first event; what was seen long ago counts little.
func (r *record) expectFirst(now time.Time) time.Duration {
	age := now.Sub(r.firstAt)
	if age > forgetFirst*maxHalvings {
		return 0
	}
	return time.Duration(float64(r.first) * math.Exp2(-float64(age)/float64(forgetFirst)))
}

func (r *record) learn(took time.Duration, hasFailed bool) {
	share := 0.0
	if hasFailed {
		share = 1
	}
	r.failed += newestShare * (share - r.failed)
	if took > 0 {
		r.took += time.Duration(newestShare * float64(took-r.took))
	}
}

// Target returns the target of a plain service with the least expected time, nil when none
// is left that was not tried.
func (c *Chooser) Target(id identifier.ServiceID, tried []identifier.TargetID, seed uint64) *registrar.Target {
	s := c.services[id]
	if s == nil {
		return nil
	}
	var usable []*registrar.Target
	for i := range s.targets {
		t := &s.targets[i]
		if !t.IsLeaving && !t.IsDoubted && !slices.Contains(tried, t.ID) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	if seed%trialShare == 0 {
		return usable[(seed/trialShare)%uint64(len(usable))]
	}
	return slices.MinFunc(usable, func(a, b *registrar.Target) int {
		return int(c.targetCost(a) - c.targetCost(b))
	})
}

func (c *Chooser) targetCost(t *registrar.Target) time.Duration {
	r := c.record(t.ID)
	busy := 1 + float64(r.open)/float64(max(1, t.Slots))
	cost := time.Duration(busy*float64(max(r.took, time.Millisecond)) + r.failed*float64(errorCost))
	if t.DataCentre != c.dataCentre {
		cost += foreignCost
	}
	return cost
}
