package chooser

import (
	"math"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

// targetStats holds what the node has observed of a target with its own requests.
type targetStats struct {
	// open counts the node's open requests at the target.
	open int
	// meanTime and failureRate are averages over the results of plain requests.
	meanTime    time.Duration
	failureRate float64
	// firstEvent is the average time to the first event of chains that begin at the target, as of firstEventAt.
	firstEvent   time.Duration
	firstEventAt time.Time
}

// addFirstEvent adds a time to the first event to its average.
func (r *targetStats) addFirstEvent(now time.Time, first time.Duration) {
	r.firstEvent = r.expectedFirstEvent(now)
	r.firstEvent += time.Duration(firstEventWeight * float64(first-r.firstEvent))
	r.firstEventAt = now
}

// expectedFirstEvent returns the expected time to the first event; it decays with the age of the last observation.
func (r *targetStats) expectedFirstEvent(now time.Time) time.Duration {
	age := now.Sub(r.firstEventAt)
	if age > firstEventHalfLife*maxHalvings {
		return 0
	}
	return time.Duration(float64(r.firstEvent) * math.Exp2(-float64(age)/float64(firstEventHalfLife)))
}

func (r *targetStats) addResult(took time.Duration, hasFailed bool) {
	failure := 0.0
	if hasFailed {
		failure = 1
	}
	r.failureRate += newestWeight * (failure - r.failureRate)
	if took > 0 {
		r.meanTime += time.Duration(newestWeight * float64(took-r.meanTime))
	}
}

// Target returns the target of a plain service with the lowest expected time, or an arbitrary one
// for one request in explorationInterval. It returns nil if every target is leaving, ejected, shut or
// among the tried ones.
func (c *Chooser) Target(now time.Time, id identifier.ServiceID, tried []identifier.TargetID, seed uint64) *registrar.Target {
	s := c.services[id]
	if s == nil {
		return nil
	}
	var candidates []*registrar.Target
	for i := range s.targets {
		t := &s.targets[i]
		if !t.IsLeaving && !t.IsEjected && !c.IsShut(now, t.ID) && !slices.Contains(tried, t.ID) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	if seed%explorationInterval == 0 {
		return candidates[(seed/explorationInterval)%uint64(len(candidates))]
	}
	return slices.MinFunc(candidates, func(a, b *registrar.Target) int {
		return int(c.targetCost(a) - c.targetCost(b))
	})
}

// targetCost returns the expected time of a plain request at a target, with a penalty for failures.
func (c *Chooser) targetCost(t *registrar.Target) time.Duration {
	r := c.statsOf(t.ID)
	utilization := 1 + float64(r.open)/float64(max(1, t.Slots))
	cost := time.Duration(utilization*float64(max(r.meanTime, time.Millisecond)) + r.failureRate*float64(failureCost))
	if t.DataCentre != c.dataCentre {
		cost += remoteCost
	}
	return cost
}
