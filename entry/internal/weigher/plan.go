// Package weigher weighs the planned chains of a service by what their first targets have reported of their load, and bounds the prompt
// tokens that this node has on their way to one first target.
package weigher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
)

const (
	// unknownDelay is the delay between two data centres of which the configuration names none.
	unknownDelay = 8 * time.Millisecond
	// correctionTime is the time in which free slots are to be filled; it exceeds the age of reports. The gain that follows from it and from
	// the time of a typical request is bounded by minGain and maxGain.
	correctionTime = 500 * time.Millisecond
	minGain        = 0.25
	maxGain        = 4.0
)

// Place is what must be known of a target to weigh the chains that use it.
type Place struct {
	DataCentre identifier.DataCentre
	// Slots is the number of requests that the target runs at a time, 0 if it does not say.
	Slots int
}

// Plan holds the planned chains of a service, with what follows from them alone.
type Plan struct {
	engine *describer.Engine
	chains []planned
	// gain is the weight of a free slot against one that is taken. Reports are late: with too much gain, all nodes go on sending to a
	// chain that has become full, and with too little a chain stays fuller than others.
	gain float64
}

// planned is a chain of a plan.
type planned struct {
	*chainer.Chain
	// slots is the number of requests that the first target runs at a time for this chain: chains that begin at the same target divide
	// its slots.
	slots float64
	// starts counts the chains that begin at the first target, passing are the first targets of the chains that only pass through it.
	starts  float64
	passing []identifier.TargetID
	// link is the delay from this node to the first target, hops that of all hops between the stages.
	link time.Duration
	hops time.Duration
}

// NewPlan returns the plan of the chains for a node in a data centre.
func NewPlan(dc identifier.DataCentre, e *describer.Engine, chains []chainer.Chain, placeOf func(identifier.TargetID) Place) *Plan {
	p := &Plan{engine: e, gain: maxGain}
	for i := range chains {
		p.chains = append(p.chains, newPlanned(dc, e, &chains[i], placeOf))
		typical := chains[i].StepCost * e.TypicalAnswer
		p.gain = min(p.gain, max(minGain, typical/milliseconds(correctionTime)))
	}
	passing := map[identifier.TargetID][]identifier.TargetID{}
	starts := map[identifier.TargetID]float64{}
	for i := range chains {
		first := chains[i].Stages[0].Target
		starts[first]++
		if starts[first] > 1 {
			continue
		}
		for _, stage := range chains[i].Stages[1:] {
			passing[stage.Target] = append(passing[stage.Target], first)
		}
	}
	for i := range p.chains {
		c := &p.chains[i]
		first := c.Stages[0].Target
		c.starts, c.passing = starts[first], passing[first]
		c.slots /= c.starts
	}
	return p
}

func newPlanned(dc identifier.DataCentre, e *describer.Engine, chain *chainer.Chain, placeOf func(identifier.TargetID) Place) planned {
	first := placeOf(chain.Stages[0].Target)
	c := planned{Chain: chain, slots: chain.Capacity, link: delay(e, dc, first.DataCentre)}
	switch {
	case first.Slots > 0:
		c.slots = float64(first.Slots)
	case e.Slots > 0:
		c.slots = float64(e.Slots)
	}
	from := first.DataCentre
	for _, stage := range chain.Stages[1:] {
		to := placeOf(stage.Target).DataCentre
		c.hops += delay(e, from, to)
		from = to
	}
	return c
}

func delay(e *describer.Engine, from, to identifier.DataCentre) time.Duration {
	if d, ok := e.Delay(from, to); ok {
		return d
	}
	return unknownDelay
}
