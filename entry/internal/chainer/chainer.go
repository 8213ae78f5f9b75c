// Package chainer finds chains of targets that together hold all layers of a model.
package chainer

import (
	"fmt"
	"math"
	"slices"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

const (
	// hopCost and crossingCost are what one more target, and one more change of the data
	// centre, cost a chain, in milliseconds of a token step.
	hopCost      = 0.5
	crossingCost = 8.0
	// useCost is what each layer at a target costs for each chain that already uses it, in milliseconds.
	useCost = 0.6
	// roomCost is divided by the streams that a part has room for, in milliseconds.
	roomCost = 30.0
	// foreignFactor is how much dearer targets elsewhere are for a chain of one data centre.
	foreignFactor = 6.0
	// maxReuse is the most that a further chain may share with earlier ones, as a part of the layers.
	maxReuse = 0.5
	// maxParts is the longest chain that targets accept.
	maxParts = 32
)

// Holder is a target with one range of layers that it holds.
type Holder struct {
	Target     identifier.TargetID
	Address    string
	DataCentre identifier.DataCentre
	Layers     identifier.LayerRange
	// LayerCost is the time of a token step through one layer, in milliseconds.
	LayerCost float64
	// FreeMegabytes is the memory that the weights leave for requests.
	FreeMegabytes float64
}

// Chain is a way through all layers.
type Chain struct {
	Parts []describer.Part
	// DataCentre is where the chain begins.
	DataCentre identifier.DataCentre
	// Crossings counts the changes of the data centre on the way.
	Crossings int
	// StepCost is the time of one token through the chain, in milliseconds.
	StepCost float64
	// Room is how many usual requests have room at the tightest part.
	Room float64
}

// String describes the chain for the logs.
func (c Chain) String() string {
	return fmt.Sprintf("%s parts=%d crossings=%d step_ms=%.1f room=%.0f", c.DataCentre, len(c.Parts), c.Crossings, c.StepCost, c.Room)
}

// Planner plans the chains of one model.
type Planner struct {
	engine  *describer.Engine
	holders []Holder
	uses    []int
	// first is the part with which a chain must begin, without a target for any.
	first describer.Part
	// home is the data centre whose targets a mixed chain should use, empty for none.
	home identifier.DataCentre
	// bounds are the layers at which a part may begin or end.
	bounds []identifier.Layer
}

// NewPlanner returns a planner over the holders, which must not change meanwhile.
func NewPlanner(engine *describer.Engine, holders []Holder) *Planner {
	p := &Planner{engine: engine, holders: holders, uses: make([]int, len(holders))}
	p.bounds = []identifier.Layer{0, engine.Layers}
	for _, h := range holders {
		p.bounds = append(p.bounds, h.Layers.From, h.Layers.To)
	}
	slices.Sort(p.bounds)
	p.bounds = slices.Compact(p.bounds)
	return p
}

// Plan returns chains inside each data centre, up to perCentre and as long as they bring in
// further targets, and mixed ones in place of those that a data centre lacks.
func (p *Planner) Plan(perCentre int) []Chain {
	var chains []Chain
	add := func(c Chain, ok bool) bool {
		if !ok || isKnown(chains, c) {
			return false
		}
		chains = append(chains, c)
		p.note(c)
		return true
	}
	var lacking []identifier.DataCentre
	for _, dc := range p.centres() {
		if !add(p.find(func(h Holder) bool { return h.DataCentre == dc })) {
			lacking = append(lacking, dc)
		}
	}
	for _, dc := range lacking {
		if p.held(dc) < int(p.engine.Layers)/2 {
			continue
		}
		p.home = dc
		add(p.find(func(Holder) bool { return true }))
		p.home = ""
	}
	if len(chains) == 0 {
		add(p.find(func(Holder) bool { return true }))
	}
	for _, dc := range p.centres() {
		for range perCentre - 1 {
			c, ok := p.find(func(h Holder) bool { return h.DataCentre == dc })
			if !ok || p.reused(c) > maxReuse || !add(c, ok) {
				break
			}
		}
	}
	p.shareRoom(chains)
	return chains
}

// shareRoom gives each chain its part of the room at targets that several chains use.
func (p *Planner) shareRoom(chains []Chain) {
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
		for _, part := range c.Parts {
			c.Room = min(c.Room, p.room(holders[part.Target], part.Layers.Len())/float64(max(1, uses[part.Target])))
		}
	}
}

// reused returns the share of a chain's layers that targets of earlier chains run.
func (p *Planner) reused(c Chain) float64 {
	n := 0
	for _, part := range c.Parts {
		for i, h := range p.holders {
			if h.Target == part.Target && p.uses[i] > 0 {
				n += part.Layers.Len()
			}
		}
	}
	return float64(n) / float64(p.engine.Layers)
}

func (p *Planner) centres() []identifier.DataCentre {
	var out []identifier.DataCentre
	for _, h := range p.holders {
		out = append(out, h.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Continue returns the cheapest chain that begins with a given part.
func (p *Planner) Continue(first describer.Part) (Chain, bool) {
	p.first = first
	defer func() { p.first = describer.Part{} }()
	return p.find(func(Holder) bool { return true })
}

// held returns how many layers a data centre's targets hold at least once.
func (p *Planner) held(dc identifier.DataCentre) int {
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

func isKnown(chains []Chain, c Chain) bool {
	return slices.ContainsFunc(chains, func(o Chain) bool { return slices.Equal(o.Parts, c.Parts) })
}

func (p *Planner) note(c Chain) {
	for _, part := range c.Parts {
		for i, h := range p.holders {
			if h.Target == part.Target {
				p.uses[i]++
			}
		}
	}
}

// step is the cheapest way to have run all layers before a bound with a holder as the last.
type step struct {
	cost     float64
	from     int
	previous int
}

// find returns the cheapest chain over the holders that may be used.
func (p *Planner) find(may func(Holder) bool) (Chain, bool) {
	usable := make([]int, 0, len(p.holders))
	for i, h := range p.holders {
		if may(h) {
			usable = append(usable, i)
		}
	}
	last := len(p.bounds) - 1
	best := make([]map[int]step, last+1)
	for i := range best {
		best[i] = map[int]step{}
	}
	for from := range last {
		if from > 0 && len(best[from]) == 0 {
			continue
		}
		for _, i := range usable {
			p.extend(best, from, i)
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
	return p.trace(best, last, end)
}

// extend tries holder i from a bound on, up to each bound that it reaches.
func (p *Planner) extend(best []map[int]step, from, i int) {
	h := p.holders[i]
	if p.bounds[from] < h.Layers.From || p.bounds[from] >= h.Layers.To {
		return
	}
	if from == 0 && p.first.Target != "" && p.first.Target != h.Target {
		return
	}
	before, previous := p.cheapest(best[from], h.DataCentre, from)
	if math.IsInf(before, 1) {
		return
	}
	for to := from + 1; to < len(p.bounds) && p.bounds[to] <= h.Layers.To; to++ {
		if from == 0 && p.first.Target != "" && p.bounds[to] != p.first.Layers.To {
			continue
		}
		cost := before + p.cost(i, int(p.bounds[to]-p.bounds[from]))
		if old, ok := best[to][i]; !ok || cost < old.cost {
			best[to][i] = step{cost: cost, from: from, previous: previous}
		}
	}
}

// cheapest returns the best way to a bound for a part in a data centre.
func (p *Planner) cheapest(ways map[int]step, dc identifier.DataCentre, from int) (float64, int) {
	if from == 0 {
		return 0, -1
	}
	cost, previous := math.Inf(1), -1
	for i, s := range ways {
		c := s.cost
		if p.holders[i].DataCentre != dc {
			c += crossingCost
		}
		if c < cost || (c == cost && i < previous) {
			cost, previous = c, i
		}
	}
	return cost, previous
}

func (p *Planner) cost(i, layers int) float64 {
	h := p.holders[i]
	room := p.room(h, layers)
	cost := hopCost + float64(layers)*(h.LayerCost+useCost*float64(p.uses[i])) + roomCost/max(1, room)
	if p.home != "" && h.DataCentre != p.home {
		cost *= foreignFactor
	}
	return cost
}

// room is how many usual requests fit beside the weights when so many layers are run.
func (p *Planner) room(h Holder, layers int) float64 {
	perRequest := p.engine.RequestMegabytes() * float64(layers) / float64(p.engine.Layers)
	if perRequest <= 0 {
		return math.Inf(1)
	}
	return h.FreeMegabytes / perRequest
}

func (p *Planner) trace(best []map[int]step, last, end int) (Chain, bool) {
	chain := Chain{Room: math.Inf(1)}
	seen := map[identifier.TargetID]bool{}
	for at, i := last, end; i >= 0; {
		s, h := best[at][i], p.holders[i]
		if seen[h.Target] || len(chain.Parts) >= maxParts {
			return Chain{}, false
		}
		seen[h.Target] = true
		layers := identifier.LayerRange{From: p.bounds[s.from], To: p.bounds[at]}
		chain.Parts = append(chain.Parts, describer.Part{Target: h.Target, Address: h.Address, Layers: layers})
		chain.StepCost += hopCost + float64(layers.Len())*h.LayerCost
		chain.Room = min(chain.Room, p.room(h, layers.Len()))
		chain.DataCentre = h.DataCentre
		if s.previous >= 0 && p.holders[s.previous].DataCentre != h.DataCentre {
			chain.Crossings++
		}
		at, i = s.from, s.previous
	}
	slices.Reverse(chain.Parts)
	return chain, true
}
