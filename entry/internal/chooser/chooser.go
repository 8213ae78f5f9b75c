// Package chooser chooses the target or the chain of targets that a request goes to, from
// what is known of the targets and what the node's own requests have shown.
package chooser

import (
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// chainsPerCentre is how many chains are kept ready in each data centre at most.
	chainsPerCentre = 8
	// replanInterval is the least time between two plans that nothing urgent asks for.
	replanInterval = 100 * time.Millisecond
	// foreignFactor is how much more a chain of another data centre must offer.
	foreignFactor = 1.3
	// fullRoom is the room, in requests, from which on a chain counts as roomy.
	fullRoom = 200.0
	// closingFactor is how much dearer a leaving target is.
	closingFactor = 4.0
	// crossingFactor is by how much each change of the data centre adds to a chain's load.
	crossingFactor = 1.0
	// usualFirst is the time to a first event from which on a chain counts as loaded.
	usualFirst = 120 * time.Millisecond
	// firstShare is the weight of the newest time to a first event, forgetFirst the time in which an old one halves.
	firstShare  = 0.25
	forgetFirst = 2 * time.Second
	maxHalvings = 10
	// errorCost is what a target's share of failures adds to its expected time.
	errorCost = 500 * time.Millisecond
	// foreignCost is what another data centre adds to a plain target's expected time.
	foreignCost = 2 * time.Millisecond
	// newestShare is the weight of the newest answer in a target's averages.
	newestShare = 0.15
	// trialShare is one request in so many that goes to a target by chance, so that a slow one can recover.
	trialShare = 24
)

// service is what is known of the targets of one service.
type service struct {
	engine  *describer.Engine
	targets []registrar.Target
	chains  []chainer.Chain
	planned time.Time
	isStale bool
}

// Chooser holds what choices are made from.
type Chooser struct {
	dataCentre identifier.DataCentre
	services   map[identifier.ServiceID]*service
	targets    []registrar.Target
	records    map[identifier.TargetID]*record
	// avoided holds until when chains over a target's address are a last resort, silent until
	// when a chain's first target counts as silent.
	avoided map[string]time.Time
	silent  map[string]time.Time
}

// NewChooser returns a chooser for a node in a data centre that knows no targets.
func NewChooser(dc identifier.DataCentre) *Chooser {
	return &Chooser{
		dataCentre: dc, services: map[identifier.ServiceID]*service{}, records: map[identifier.TargetID]*record{},
		avoided: map[string]time.Time{}, silent: map[string]time.Time{},
	}
}

// SetServices takes in the services of a configuration; those that it leaves out stay.
func (c *Chooser) SetServices(services map[identifier.ServiceID]describer.Service) {
	for id, s := range services {
		if c.services[id] == nil {
			c.services[id] = &service{}
		}
		c.services[id].engine = s.Engine
	}
	c.sort()
}

// SetTargets takes in what is believed of the targets.
func (c *Chooser) SetTargets(targets []registrar.Target) {
	c.targets = targets
	c.sort()
	known := map[identifier.TargetID]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	maps.DeleteFunc(c.records, func(id identifier.TargetID, r *record) bool { return !known[id] && r.open == 0 })
}

func (c *Chooser) sort() {
	for _, s := range c.services {
		s.targets, s.isStale = nil, true
	}
	for _, t := range c.targets {
		if s, ok := c.services[t.Service]; ok {
			s.targets = append(s.targets, t)
		}
	}
}

// Tick forgets what is over.
func (c *Chooser) Tick(now time.Time) {
	isOver := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(c.avoided, isOver)
	maps.DeleteFunc(c.silent, isOver)
}

// HasTargets reports whether any target is known.
func (c *Chooser) HasTargets() bool { return len(c.targets) > 0 }

// Counts returns how many targets are known, leaving and in doubt.
func (c *Chooser) Counts() (known, leaving, doubted int) {
	leaving, doubted = registrar.Count(c.targets)
	return len(c.targets), leaving, doubted
}

// IsKnown reports whether a service is known.
func (c *Chooser) IsKnown(id identifier.ServiceID) bool { return c.services[id] != nil }

// IsChained reports whether requests of a service go along chains.
func (c *Chooser) IsChained(id identifier.ServiceID) bool {
	return c.services[id] != nil && c.services[id].engine != nil
}

// Address returns the address of a target, empty when it is not known.
func (c *Chooser) Address(id identifier.TargetID) string {
	for _, t := range c.targets {
		if t.ID == id {
			return t.Address
		}
	}
	return ""
}

// Doubt notes a target in doubt at once, before the registrar has taken it in, and plans anew.
func (c *Chooser) Doubt(now time.Time, address string) []messenger.Effect {
	var effects []messenger.Effect
	mark(c.targets, address)
	for _, s := range c.services {
		if mark(s.targets, address) && s.engine != nil {
			effects = append(effects, c.plan(now, s))
		}
	}
	return effects
}

// mark marks the target at an address, and reports whether there is one.
func mark(targets []registrar.Target, address string) bool {
	i := slices.IndexFunc(targets, func(t registrar.Target) bool { return t.Address == address })
	if i >= 0 {
		targets[i].IsDoubted = true
	}
	return i >= 0
}

// IsDoubted reports whether a chain leads over a target that is in doubt or not known.
func (c *Chooser) IsDoubted(chain []describer.Part) bool {
	return slices.ContainsFunc(chain, func(p describer.Part) bool {
		return !slices.ContainsFunc(c.targets, func(t registrar.Target) bool { return t.ID == p.Target && !t.IsDoubted })
	})
}

// Avoid makes chains over an address a last resort until an instant.
func (c *Chooser) Avoid(address string, until time.Time) { c.avoided[address] = until }

// Silence notes that chains that begin at an address are silent until an instant; it
// reports whether that is news.
func (c *Chooser) Silence(now time.Time, address string, until time.Time) bool {
	if c.IsSilent(now, address) {
		return false
	}
	c.silent[address], c.avoided[address] = until, until
	return true
}

// IsSilent reports whether chains that begin at an address count as silent.
func (c *Chooser) IsSilent(now time.Time, address string) bool { return now.Before(c.silent[address]) }

// Occupy counts a request at targets.
func (c *Chooser) Occupy(ids []identifier.TargetID) {
	for _, id := range ids {
		c.record(id).open++
	}
}

// Release takes a request off the targets that it was counted at.
func (c *Chooser) Release(ids []identifier.TargetID) {
	for _, id := range ids {
		c.record(id).open--
	}
}

// Open returns the number of the node's requests at a target.
func (c *Chooser) Open(id identifier.TargetID) int { return c.record(id).open }

// Learn takes in an answer of a plain target; a zero time says nothing of its speed.
func (c *Chooser) Learn(id identifier.TargetID, took time.Duration, hasFailed bool) {
	c.record(id).learn(took, hasFailed)
}

// LearnFirst takes in the time to the first event of a chain that begins at a target.
func (c *Chooser) LearnFirst(now time.Time, id identifier.TargetID, first time.Duration) {
	c.record(id).learnFirst(now, first)
}

func (c *Chooser) record(id identifier.TargetID) *record {
	r, ok := c.records[id]
	if !ok {
		r = &record{}
		c.records[id] = r
	}
	return r
}
