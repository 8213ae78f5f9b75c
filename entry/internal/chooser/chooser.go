// Package chooser selects the target or the chain of targets for a request, based on the
// state of the targets and on the results of the node's own requests.
package chooser

import (
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/weigher"
)

const (
	// maxChainsPerDataCentre is the maximum number of chains that are planned in each data centre.
	maxChainsPerDataCentre = 8
	// replanInterval is the minimum time between two plans while a chain is available. An
	// ejection triggers a plan at once.
	replanInterval = 100 * time.Millisecond
	// remoteFactor multiplies the load of a chain that begins in another data centre.
	remoteFactor = 1.3
	// ampleCapacity is the capacity in requests above which more does not increase a chain's weight.
	ampleCapacity = 200.0
	// leavingFactor multiplies the layer cost of a target that is leaving, but still accepts requests.
	leavingFactor = 4.0
	// hopFactor is the load that each hop between data centres adds to a chain, as a multiple of its load.
	hopFactor = 1.0
	// typicalFirstEvent is the time to the first event above which the cost of a chain grows in
	// proportion to that time.
	typicalFirstEvent = 120 * time.Millisecond
	// firstEventWeight is the weight of the newest time to a first event in its average. The
	// average decays with the half-life firstEventHalfLife and counts as 0 after maxHalvings of them.
	firstEventWeight   = 0.25
	firstEventHalfLife = 2 * time.Second
	maxHalvings        = 10
	// failureCost is added to a target's expected time, multiplied by its failure rate.
	failureCost = 500 * time.Millisecond
	// remoteCost is added to the expected time of a plain target in another data centre. A
	// plain target is one without layers.
	remoteCost = 2 * time.Millisecond
	// newestWeight is the weight of the newest result in a plain target's averages.
	newestWeight = 0.15
	// explorationInterval is the number of plain requests of which one goes to an arbitrary
	// target, so that a target that was slow can recover its share.
	explorationInterval = 24
)

// service holds the targets and chains of one service.
type service struct {
	// engine is nil for a plain service, whose targets have no layers.
	engine    *describer.Engine
	targets   []registrar.Target
	chains    []chainer.Chain
	plannedAt time.Time
	// isLastResort is set if all chains include ejected or suspected targets.
	isLastResort bool
	// isStale is set if the service or its targets may have changed since the chains were planned.
	isStale bool
	// weighed are the chains as the weigher needs them.
	weighed *weigher.Plan
}

// Chooser selects targets and chains.
type Chooser struct {
	dataCentre identifier.DataCentre
	services   map[identifier.ServiceID]*service
	targets    []registrar.Target
	stats      map[identifier.TargetID]*targetStats
	*avoider.Avoider
	// weigher is nil if no load reports are used.
	weigher *weigher.Weigher
	// refusedGroups holds the groups of targets of which one has refused a continuation.
	refusedGroups []refusedGroup
	// paces holds the targets that say that they are slow.
	paces map[identifier.TargetID]pace
}

// NewChooser returns a chooser without targets for a node in the given data centre.
func NewChooser(dc identifier.DataCentre) *Chooser {
	return &Chooser{
		dataCentre: dc, services: map[identifier.ServiceID]*service{}, stats: map[identifier.TargetID]*targetStats{},
		Avoider: avoider.NewAvoider(), paces: map[identifier.TargetID]pace{},
	}
}

// SetServices applies the services of a configuration; services that it leaves out stay.
func (c *Chooser) SetServices(services map[identifier.ServiceID]describer.Service) {
	for id, s := range services {
		if c.services[id] == nil {
			c.services[id] = &service{}
		}
		c.services[id].engine = s.Engine
	}
	c.groupByService()
}

// SetTargets applies the current state of the targets.
func (c *Chooser) SetTargets(targets []registrar.Target) {
	c.targets = targets
	c.groupByService()
	c.Avoider.SetTargets(targets)
	known := map[identifier.TargetID]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	if c.weigher != nil {
		c.weigher.Keep(func(id identifier.TargetID) bool { return known[id] })
	}
	maps.DeleteFunc(c.stats, func(id identifier.TargetID, r *targetStats) bool { return !known[id] && r.open == 0 })
}

func (c *Chooser) groupByService() {
	for _, s := range c.services {
		s.targets, s.isStale = nil, true
	}
	for _, t := range c.targets {
		if s, ok := c.services[t.Service]; ok {
			s.targets = append(s.targets, t)
		}
	}
}

// Tick forgets the avoided, suspected and shut targets and the stalled chains whose time has expired.
func (c *Chooser) Tick(now time.Time) {
	if c.Avoider.Tick(now) {
		c.markStale()
	}
	c.dropRefusedGroups(now)
	c.dropPaces(now)
}

// HasTargets reports whether any target is known.
func (c *Chooser) HasTargets() bool { return len(c.targets) > 0 }

// Counts returns how many targets are known, how many of them are leaving and how many are ejected.
func (c *Chooser) Counts() (known, leaving, ejected int) {
	leaving, ejected = registrar.Count(c.targets)
	return len(c.targets), leaving, ejected
}

// IsKnown reports whether a service is known.
func (c *Chooser) IsKnown(id identifier.ServiceID) bool { return c.services[id] != nil }

// IsChained reports whether requests of a service are served by chains of targets.
func (c *Chooser) IsChained(id identifier.ServiceID) bool {
	return c.services[id] != nil && c.services[id].engine != nil
}

// ServiceOf returns the service of a target, empty if the target is not known.
func (c *Chooser) ServiceOf(id identifier.TargetID) identifier.ServiceID {
	i := slices.IndexFunc(c.targets, func(t registrar.Target) bool { return t.ID == id })
	if i < 0 {
		return ""
	}
	return c.targets[i].Service
}

// CanServe reports whether there is a target, or a chain of targets, for a service that is not ejected and may get requests.
func (c *Chooser) CanServe(now time.Time, id identifier.ServiceID) bool {
	if !c.IsChained(id) {
		return c.Target(now, id, nil, 1) != nil
	}
	s := c.services[id]
	return !s.isLastResort && slices.ContainsFunc(s.chains, func(chain chainer.Chain) bool { return !c.IsShut(now, chain.Stages[0].Target) })
}

// IsLastResort reports whether there are only chains for a service that include ejected or suspected targets.
func (c *Chooser) IsLastResort(id identifier.ServiceID) bool {
	s := c.services[id]
	return s != nil && s.isLastResort
}

// Address returns the address of a target, empty if the target is not known.
func (c *Chooser) Address(id identifier.TargetID) string {
	for _, t := range c.targets {
		if t.ID == id {
			return t.Address
		}
	}
	return ""
}

// Eject marks the target at an address as ejected before the registrar has processed the
// ejection, and plans the chains of its service again.
func (c *Chooser) Eject(now time.Time, address string) []messenger.Effect {
	var effects []messenger.Effect
	markEjected(c.targets, address)
	for _, s := range c.services {
		if markEjected(s.targets, address) && s.engine != nil {
			effects = append(effects, c.plan(now, s))
		}
	}
	return effects
}

// markEjected marks the target at an address as ejected and reports whether there is one.
func markEjected(targets []registrar.Target, address string) bool {
	i := slices.IndexFunc(targets, func(t registrar.Target) bool { return t.Address == address })
	if i >= 0 {
		targets[i].IsEjected = true
	}
	return i >= 0
}

// HasEjected reports whether a chain includes a target that is ejected or not known.
func (c *Chooser) HasEjected(chain []describer.Stage) bool {
	return slices.ContainsFunc(chain, func(p describer.Stage) bool {
		return !slices.ContainsFunc(c.targets, func(t registrar.Target) bool { return t.ID == p.Target && !t.IsEjected })
	})
}

// ReopensAt returns when the first target of a service that is shut may get requests again, zero if none is shut.
func (c *Chooser) ReopensAt(now time.Time, id identifier.ServiceID) time.Time {
	var first time.Time
	if s := c.services[id]; s != nil {
		for _, t := range s.targets {
			if c.IsShut(now, t.ID) && (first.IsZero() || c.OpensAt(t.ID).Before(first)) {
				first = c.OpensAt(t.ID)
			}
		}
	}
	return first
}

// Acquire adds a request to the open requests of targets.
func (c *Chooser) Acquire(ids []identifier.TargetID) {
	for _, id := range ids {
		c.statsOf(id).open++
	}
}

// Release removes a request from the open requests of targets.
func (c *Chooser) Release(ids []identifier.TargetID) {
	for _, id := range ids {
		c.statsOf(id).open--
	}
}

// OpenRequests returns the number of the node's open requests at a target.
func (c *Chooser) OpenRequests(id identifier.TargetID) int { return c.statsOf(id).open }

// RecordResult records the result of a request at a plain target; a zero duration leaves its
// average time unchanged.
func (c *Chooser) RecordResult(id identifier.TargetID, took time.Duration, hasFailed bool) {
	c.statsOf(id).addResult(took, hasFailed)
}

// RecordFirstEvent records the time to the first event of a chain that begins at a target.
func (c *Chooser) RecordFirstEvent(now time.Time, id identifier.TargetID, first time.Duration) {
	c.statsOf(id).addFirstEvent(now, first)
}

func (c *Chooser) statsOf(id identifier.TargetID) *targetStats {
	r, ok := c.stats[id]
	if !ok {
		r = &targetStats{}
		c.stats[id] = r
	}
	return r
}
