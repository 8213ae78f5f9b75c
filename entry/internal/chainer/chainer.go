// Package chainer plans chains of targets that together hold all layers of a model.
package chainer

import (
	"fmt"
	"math"
	"slices"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

const (
	// perStageCost and hopCost are added to a chain's cost for each stage and for each hop
	// between data centres, in milliseconds per token step.
	perStageCost = 0.5
	hopCost      = 8.0
	// reuseCost is added for each layer at a target, for each chain that already uses the target, in milliseconds.
	reuseCost = 0.6
	// capacityCost, divided by the number of typical requests that fit into a stage's free memory, is
	// added to the stage's cost, in milliseconds.
	capacityCost = 30.0
	// remoteFactor multiplies the cost of targets outside the preferred data centre of a chain.
	remoteFactor = 6.0
	// maxReuse is the maximum share of a further chain's layers that may run at targets of earlier chains.
	maxReuse = 0.5
	// maxStages is the maximum number of stages of a chain that targets accept.
	maxStages = 32
)

// Holder is a target with the range of layers that it holds.
type Holder struct {
	Target     identifier.TargetID
	Address    string
	DataCentre identifier.DataCentre
	Layers     identifier.LayerRange
	// LayerCost is the time of one token step through one layer, in milliseconds.
	LayerCost float64
	// FreeMegabytes is the memory that the weights leave for requests.
	FreeMegabytes float64
}

// Chain is a sequence of targets that runs all layers.
type Chain struct {
	Stages []describer.Stage
	// DataCentre is the data centre of the first stage.
	DataCentre identifier.DataCentre
	// Hops counts the hops between data centres.
	Hops int
	// StepCost is the time of one token step through all stages, without hops, in milliseconds.
	StepCost float64
	// Capacity is how many typical requests fit into the stage with the lowest capacity. Chains
	// that use the same target divide its capacity.
	Capacity float64
}

// String formats the chain for the log.
func (c Chain) String() string {
	return fmt.Sprintf("%s parts=%d crossings=%d step_ms=%.1f room=%.0f", c.DataCentre, len(c.Stages), c.Hops, c.StepCost, c.Capacity)
}

// Targets returns the targets of the stages of a chain.
func Targets(stages []describer.Stage) []identifier.TargetID {
	out := make([]identifier.TargetID, 0, len(stages))
	for _, stage := range stages {
		out = append(out, stage.Target)
	}
	return out
}

// Without returns the stages of a chain that are not among others.
func Without(chain, others []describer.Stage) []describer.Stage {
	return slices.DeleteFunc(slices.Clone(chain), func(p describer.Stage) bool { return slices.Contains(others, p) })
}

// Planner plans the chains of one model.
type Planner struct {
	engine  *describer.Engine
	holders []Holder
	// uses counts, for each holder, the planned chains that use its target.
	uses []int
	// fixed are the stages that a chain must have, in order; the first one of them begins it. If it is empty, any chain is allowed.
	fixed []describer.Stage
	// preferred is the data centre whose targets a mixed chain, one over several data centres,
	// should use; empty for none.
	preferred identifier.DataCentre
	// boundaries are the layers at which a stage may begin or end.
	boundaries []identifier.Layer
}

// NewPlanner returns a planner over the holders, which must not change while it is used.
func NewPlanner(engine *describer.Engine, holders []Holder) *Planner {
	p := &Planner{engine: engine, holders: holders, uses: make([]int, len(holders))}
	p.boundaries = []identifier.Layer{0, engine.Layers}
	for _, h := range holders {
		p.boundaries = append(p.boundaries, h.Layers.From, h.Layers.To)
	}
	slices.Sort(p.boundaries)
	p.boundaries = slices.Compact(p.boundaries)
	return p
}

// Plan returns up to maxPerDataCentre chains inside each data centre, as long as at most maxReuse
// of a further chain's layers run at targets already in use. A data centre that cannot form a
// chain gets a mixed one if it holds at least half of the layers. If this yields no chain at all,
// Plan returns the one with the lowest cost over all targets, if there is any.
func (p *Planner) Plan(maxPerDataCentre int) []Chain {
	var chains []Chain
	add := func(c Chain, ok bool) bool {
		if !ok || isPlanned(chains, c) {
			return false
		}
		chains = append(chains, c)
		p.countUses(c)
		return true
	}
	var uncovered []identifier.DataCentre
	for _, dc := range p.dataCentres() {
		if !add(p.findCheapest(func(h Holder) bool { return h.DataCentre == dc })) {
			uncovered = append(uncovered, dc)
		}
	}
	for _, dc := range uncovered {
		if p.countHeldLayers(dc) < int(p.engine.Layers)/2 {
			continue
		}
		p.preferred = dc
		add(p.findCheapest(func(Holder) bool { return true }))
		p.preferred = ""
	}
	if len(chains) == 0 {
		add(p.findCheapest(func(Holder) bool { return true }))
	}
	for _, dc := range p.dataCentres() {
		for range maxPerDataCentre - 1 {
			c, ok := p.findCheapest(func(h Holder) bool { return h.DataCentre == dc })
			if !ok || p.reusedShare(c) > maxReuse || !add(c, ok) {
				break
			}
		}
	}
	p.divideCapacity(chains)
	return chains
}

// divideCapacity divides the capacity of a target among the chains that use it.
func (p *Planner) divideCapacity(chains []Chain) {
	uses := map[identifier.TargetID]int{}
	for i, h := range p.holders {
		uses[h.Target] = p.uses[i]
	}
	holders := map[identifier.TargetID]Holder{}
	for _, h := range p.holders {
		holders[h.Target] = h
	}
	for i := range chains {
		c := &chains[i]
		for _, stage := range c.Stages {
			c.Capacity = min(c.Capacity, p.capacity(holders[stage.Target], stage.Layers.Len())/float64(max(1, uses[stage.Target])))
		}
	}
}

// reusedShare returns the share of a chain's layers that run at targets of earlier chains.
func (p *Planner) reusedShare(c Chain) float64 {
	n := 0
	for _, stage := range c.Stages {
		for i, h := range p.holders {
			if h.Target == stage.Target && p.uses[i] > 0 {
				n += stage.Layers.Len()
			}
		}
	}
	return float64(n) / float64(p.engine.Layers)
}

func (p *Planner) dataCentres() []identifier.DataCentre {
	var out []identifier.DataCentre
	for _, h := range p.holders {
		out = append(out, h.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Continue returns the chain with the lowest cost that has the given stages, of which the first one begins it.
func (p *Planner) Continue(kept []describer.Stage) (Chain, bool) {
	boundaries := p.boundaries
	p.fixed = kept
	for _, stage := range kept {
		p.boundaries = append(slices.Clone(p.boundaries), stage.Layers.From, stage.Layers.To)
	}
	slices.Sort(p.boundaries)
	p.boundaries = slices.Compact(p.boundaries)
	defer func() { p.fixed, p.boundaries = nil, boundaries }()
	return p.findCheapest(func(Holder) bool { return true })
}

// fits reports whether holder h may run a stage between two boundaries beside the fixed stages.
func (p *Planner) fits(h Holder, from, to identifier.Layer) bool {
	for _, stage := range p.fixed {
		if stage.Target == h.Target {
			return stage.Layers.From == from && stage.Layers.To == to
		}
	}
	return !slices.ContainsFunc(p.fixed, func(stage describer.Stage) bool { return from < stage.Layers.To && stage.Layers.From < to })
}

// countHeldLayers returns how many layers are held by at least one target of a data centre.
func (p *Planner) countHeldLayers(dc identifier.DataCentre) int {
	layers := map[identifier.Layer]bool{}
	for _, h := range p.holders {
		if h.DataCentre != dc {
			continue
		}
		for l := h.Layers.From; l < h.Layers.To; l++ {
			layers[l] = true
		}
	}
	return len(layers)
}

func isPlanned(chains []Chain, c Chain) bool {
	return slices.ContainsFunc(chains, func(o Chain) bool { return slices.Equal(o.Stages, c.Stages) })
}

func (p *Planner) countUses(c Chain) {
	for _, stage := range c.Stages {
		for i, h := range p.holders {
			if h.Target == stage.Target {
				p.uses[i]++
			}
		}
	}
}

// path is the lowest-cost path through all layers before a boundary that ends at a given holder.
type path struct {
	cost float64
	// from is the index of the boundary at which the last stage begins, previous the index of the
	// holder before it, -1 if there is none.
	from     int
	previous int
}

// findCheapest returns the chain with the lowest cost over the usable holders, by dynamic
// programming over layer boundaries and last holders.
func (p *Planner) findCheapest(isUsable func(Holder) bool) (Chain, bool) {
	usable := make([]int, 0, len(p.holders))
	for i, h := range p.holders {
		if isUsable(h) {
			usable = append(usable, i)
		}
	}
	last := len(p.boundaries) - 1
	best := make([]map[int]path, last+1)
	for i := range best {
		best[i] = map[int]path{}
	}
	for from := range last {
		if from > 0 && len(best[from]) == 0 {
			continue
		}
		arrivals := map[identifier.DataCentre]arrival{}
		for _, i := range usable {
			p.extend(best, arrivals, from, i)
		}
	}
	end, cost := -1, math.Inf(1)
	for i, s := range best[last] {
		if s.cost < cost || (s.cost == cost && i < end) {
			end, cost = i, s.cost
		}
	}
	if end < 0 {
		return Chain{}, false
	}
	return p.backtrack(best, last, end)
}

// arrival is the cheapest path to a boundary, seen from a data centre.
type arrival struct {
	// cost includes the hop to a next stage in the data centre.
	cost float64
	// previous is the index of the last holder of the path, -1 if the path is empty.
	previous int
}

// extend appends holder i to the best path to a boundary, up to each later boundary that it reaches. It keeps the arrivals at
// the boundary, which are the same for all holders of a data centre.
func (p *Planner) extend(best []map[int]path, arrivals map[identifier.DataCentre]arrival, from, i int) {
	h := p.holders[i]
	if p.boundaries[from] < h.Layers.From || p.boundaries[from] >= h.Layers.To {
		return
	}
	before, ok := arrivals[h.DataCentre]
	if !ok {
		before = p.cheapestTo(best[from], h.DataCentre, from)
		arrivals[h.DataCentre] = before
	}
	if math.IsInf(before.cost, 1) {
		return
	}
	for to := from + 1; to < len(p.boundaries) && p.boundaries[to] <= h.Layers.To; to++ {
		if !p.fits(h, p.boundaries[from], p.boundaries[to]) {
			continue
		}
		cost := before.cost + p.stageCost(i, int(p.boundaries[to]-p.boundaries[from]))
		if old, ok := best[to][i]; !ok || cost < old.cost {
			best[to][i] = path{cost: cost, from: from, previous: before.previous}
		}
	}
}

// cheapestTo returns the cheapest path to a boundary, seen from a data centre.
func (p *Planner) cheapestTo(paths map[int]path, dc identifier.DataCentre, from int) arrival {
	if from == 0 {
		return arrival{previous: -1}
	}
	a := arrival{cost: math.Inf(1), previous: -1}
	for i, s := range paths {
		c := s.cost
		if p.holders[i].DataCentre != dc {
			c += hopCost
		}
		if c < a.cost || (c == a.cost && i < a.previous) {
			a = arrival{cost: c, previous: i}
		}
	}
	return a
}

// stageCost returns the cost of running a number of layers at holder i.
func (p *Planner) stageCost(i, layers int) float64 {
	h := p.holders[i]
	capacity := p.capacity(h, layers)
	cost := perStageCost + float64(layers)*(h.LayerCost+reuseCost*float64(p.uses[i])) + capacityCost/max(1, capacity)
	if p.preferred != "" && h.DataCentre != p.preferred {
		cost *= remoteFactor
	}
	return cost
}

// capacity returns how many typical requests fit beside the weights for the given number of layers.
func (p *Planner) capacity(h Holder, layers int) float64 {
	perRequest := p.engine.RequestMegabytes() * float64(layers) / float64(p.engine.Layers)
	if perRequest <= 0 {
		return math.Inf(1)
	}
	return h.FreeMegabytes / perRequest
}

// backtrack builds the chain of the best path to the last boundary that ends at the given holder.
// It returns false if the path uses a target twice or has too many stages.
func (p *Planner) backtrack(best []map[int]path, last, end int) (Chain, bool) {
	chain := Chain{Capacity: math.Inf(1)}
	seen := map[identifier.TargetID]bool{}
	for at, i := last, end; i >= 0; {
		s, h := best[at][i], p.holders[i]
		if seen[h.Target] || len(chain.Stages) >= maxStages {
			return Chain{}, false
		}
		seen[h.Target] = true
		layers := identifier.LayerRange{From: p.boundaries[s.from], To: p.boundaries[at]}
		chain.Stages = append(chain.Stages, describer.Stage{Target: h.Target, Address: h.Address, Layers: layers})
		chain.StepCost += perStageCost + float64(layers.Len())*h.LayerCost
		chain.Capacity = min(chain.Capacity, p.capacity(h, layers.Len()))
		chain.DataCentre = h.DataCentre
		if s.previous >= 0 && p.holders[s.previous].DataCentre != h.DataCentre {
			chain.Hops++
		}
		at, i = s.from, s.previous
	}
	slices.Reverse(chain.Stages)
	return chain, true
}
