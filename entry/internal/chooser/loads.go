package chooser

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/weigher"
)

// UseLoads makes the choice among chains use what their first targets have reported, while there are recent reports.
func (c *Chooser) UseLoads(loads weigher.Loads) { c.weigher = weigher.NewWeigher(loads) }

// weights returns the weights of a service's chains, nil if there are no recent reports.
func (c *Chooser) weights(now time.Time, s *service) []float64 {
	if c.weigher == nil || s.weighed == nil {
		return nil
	}
	return c.weigher.Weights(now, s.weighed)
}

// weigh prepares the planned chains of a service for their weights.
func (c *Chooser) weigh(s *service) {
	places := map[identifier.TargetID]weigher.Place{}
	for _, t := range s.targets {
		places[t.ID] = weigher.Place{DataCentre: t.DataCentre, Slots: t.Slots}
	}
	s.weighed = weigher.NewPlan(c.dataCentre, s.engine, s.chains, func(id identifier.TargetID) weigher.Place { return places[id] })
}

// RecordGap records the typical gap between two events of a stream at a chain of a service that begins at a target.
func (c *Chooser) RecordGap(now time.Time, id identifier.ServiceID, first identifier.TargetID, gap time.Duration) {
	if s := c.services[id]; c.weigher != nil && s != nil && s.weighed != nil && gap > 0 {
		c.weigher.RecordGap(now, s.weighed, first, gap)
	}
}
