// Package placer decides which layers targets are ordered to hold.
package placer

import (
	"cmp"
	"slices"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	bytesPerMegabyte = 1e6

	// leastRoom and mostRoom bound the usual requests for which a target leaves memory free.
	leastRoom = 30.0
	mostRoom  = 400.0
	// roomStep is the factor between two sizes of room that are tried.
	roomStep = 0.95
	// coverMargin is by how much the targets of a data centre should hold more than all layers.
	coverMargin = 1.04
)

// RangeLength returns how many layers a target of a kind can hold with room for so many usual requests.
func RangeLength(e *describer.Engine, kind identifier.AcceleratorKind, requests float64) identifier.Layer {
	perLayer := e.LayerMegabytes + requests*e.UsualTokens*e.TokenBytes/bytesPerMegabyte/float64(e.Layers)
	if perLayer <= 0 {
		return 0
	}
	return min(e.Layers, identifier.Layer(e.Kinds[kind].Megabytes/perLayer))
}

// Assignment is the range that a target should hold.
type Assignment struct {
	Target registrar.Target
	Layers identifier.LayerRange
}

// Arrange returns the orders that bring each data centre to hold all layers by itself.
// Pending holds the ranges of orders that are under way. Targets that a data centre does
// not need stay empty, as spares for the next that leaves.
func Arrange(e *describer.Engine, targets []registrar.Target, pending map[identifier.TargetID]identifier.LayerRange) []Assignment {
	all := make([]int, e.Layers)
	byCentre := map[identifier.DataCentre]*centre{}
	var names []identifier.DataCentre
	for _, t := range targets {
		if t.IsLeaving || e.Kinds[t.Kind].Megabytes <= 0 {
			continue
		}
		c, ok := byCentre[t.DataCentre]
		if !ok {
			c = &centre{engine: e, counts: make([]int, e.Layers), all: all}
			byCentre[t.DataCentre] = c
			names = append(names, t.DataCentre)
		}
		layers, isPending := pending[t.ID]
		if !isPending {
			layers = t.Layers
		}
		if layers.Len() == 0 {
			c.empty = append(c.empty, t)
			continue
		}
		c.hold(holding{target: t, layers: layers, isPending: isPending})
	}
	slices.Sort(names)
	var out []Assignment
	for _, name := range names {
		out = append(out, byCentre[name].arrange()...)
	}
	return out
}

// holding is a target with the range that it holds, or will.
type holding struct {
	target    registrar.Target
	layers    identifier.LayerRange
	isPending bool
}

// centre is one data centre's targets of a service.
type centre struct {
	engine *describer.Engine
	held   []holding
	empty  []registrar.Target
	// counts holds the holders of each layer here, all those in every data centre.
	counts []int
	all    []int
}

func (c *centre) hold(h holding) {
	c.held = append(c.held, h)
	c.count(h.layers, 1)
}

func (c *centre) count(r identifier.LayerRange, n int) {
	for l := max(0, r.From); l < min(r.To, c.engine.Layers); l++ {
		c.counts[l] += n
		c.all[l] += n
	}
}

func (c *centre) arrange() []Assignment {
	if len(c.held) == 0 {
		return c.pack()
	}
	var out []Assignment
	for from := identifier.Layer(0); ; {
		hole := c.hole(from)
		if hole.Len() == 0 {
			return out
		}
		a, ok := c.fill(hole)
		if !ok {
			from = hole.To
			continue
		}
		out = append(out, a)
	}
}

// pack spreads empty targets over all layers, the largest first, with as much room as lets
// them hold every layer.
func (c *centre) pack() []Assignment {
	slices.SortStableFunc(c.empty, func(a, b registrar.Target) int {
		return cmp.Or(-cmp.Compare(c.megabytes(a), c.megabytes(b)), cmp.Compare(a.ID, b.ID))
	})
	requests, isWhole := c.roomFor(c.empty)
	var out []Assignment
	for _, t := range c.empty {
		n := RangeLength(c.engine, t.Kind, requests)
		if n == 0 {
			continue
		}
		from := c.leastHeld()
		if isWhole && c.counts[from] > 0 {
			break
		}
		from = min(from, c.engine.Layers-n)
		r := identifier.LayerRange{From: from, To: from + n}
		c.hold(holding{target: t, layers: r, isPending: true})
		out = append(out, Assignment{Target: t, Layers: r})
	}
	return out
}

func (c *centre) megabytes(t registrar.Target) float64 { return c.engine.Kinds[t.Kind].Megabytes }

// roomFor returns the most room with which targets hold all layers, and whether they can at all.
func (c *centre) roomFor(targets []registrar.Target) (float64, bool) {
	for requests := mostRoom; requests >= leastRoom; requests *= roomStep {
		held := identifier.Layer(0)
		for _, t := range targets {
			held += RangeLength(c.engine, t.Kind, requests)
		}
		if float64(held) >= coverMargin*float64(c.engine.Layers) {
			return requests, true
		}
	}
	return leastRoom, false
}

// leastHeld returns the first layer with the fewest holders here, and among those in all.
func (c *centre) leastHeld() identifier.Layer {
	least := identifier.Layer(0)
	for l := identifier.Layer(1); l < c.engine.Layers; l++ {
		if cmp.Or(cmp.Compare(c.counts[l], c.counts[least]), cmp.Compare(c.all[l], c.all[least])) < 0 {
			least = l
		}
	}
	return least
}

// hole returns the first run of layers from a layer on that nobody holds here.
func (c *centre) hole(from identifier.Layer) identifier.LayerRange {
	for from < c.engine.Layers && c.counts[from] > 0 {
		from++
	}
	to := from
	for to < c.engine.Layers && c.counts[to] == 0 {
		to++
	}
	return identifier.LayerRange{From: from, To: to}
}

// fill has a target hold the hole, or its first part: an empty one, else one whose layers
// others hold too, else a neighbour that has memory for more.
func (c *centre) fill(hole identifier.LayerRange) (Assignment, bool) {
	if i := c.bestFit(len(c.empty), hole, func(i int) registrar.Target { return c.empty[i] }); i >= 0 {
		t := c.empty[i]
		c.empty = slices.Delete(c.empty, i, i+1)
		return c.assign(t, c.clip(t, hole)), true
	}
	i := c.bestFit(len(c.held), hole, func(i int) registrar.Target {
		if c.held[i].isPending || !c.isSpare(c.held[i].layers) {
			return registrar.Target{}
		}
		return c.held[i].target
	})
	if i >= 0 {
		h := c.held[i]
		c.drop(i)
		return c.assign(h.target, c.clip(h.target, hole)), true
	}
	return c.extend(hole)
}

// bestFit returns the smallest target that can hold the hole, else the largest; -1 when there is none.
func (c *centre) bestFit(n int, hole identifier.LayerRange, at func(int) registrar.Target) int {
	best, bestLength := -1, identifier.Layer(0)
	for i := range n {
		length := RangeLength(c.engine, at(i).Kind, leastRoom)
		if length == 0 {
			continue
		}
		fits, bestFits := length >= identifier.Layer(hole.Len()), bestLength >= identifier.Layer(hole.Len())
		isBetter := best < 0 || (fits && !bestFits) || (fits && length < bestLength) || (!bestFits && length > bestLength)
		if isBetter {
			best, bestLength = i, length
		}
	}
	return best
}

func (c *centre) clip(t registrar.Target, hole identifier.LayerRange) identifier.LayerRange {
	return identifier.LayerRange{From: hole.From, To: min(hole.To, hole.From+RangeLength(c.engine, t.Kind, leastRoom))}
}

// isSpare reports whether others here hold all of a range too.
func (c *centre) isSpare(r identifier.LayerRange) bool {
	for l := r.From; l < min(r.To, c.engine.Layers); l++ {
		if c.counts[l] < 2 {
			return false
		}
	}
	return true
}

func (c *centre) drop(i int) {
	c.count(c.held[i].layers, -1)
	c.held = slices.Delete(c.held, i, i+1)
}

func (c *centre) assign(t registrar.Target, r identifier.LayerRange) Assignment {
	c.hold(holding{target: t, layers: r, isPending: true})
	return Assignment{Target: t, Layers: r}
}

// extend has a neighbour of a hole hold a part of it beside its own layers.
func (c *centre) extend(hole identifier.LayerRange) (Assignment, bool) {
	best, most := -1, identifier.Layer(0)
	for i, h := range c.held {
		if h.isPending || (h.layers.To != hole.From && h.layers.From != hole.To) {
			continue
		}
		if more := RangeLength(c.engine, h.target.Kind, leastRoom) - identifier.Layer(h.layers.Len()); more > most {
			best, most = i, more
		}
	}
	if best < 0 {
		return Assignment{}, false
	}
	h := c.held[best]
	r := h.layers
	if r.To == hole.From {
		r.To = min(hole.To, r.To+most)
	} else {
		r.From = max(hole.From, r.From-most)
	}
	c.drop(best)
	return c.assign(h.target, r), true
}
