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
	// leastRoom and mostRoom bound the usual requests for which a target leaves memory free.
	leastRoom = 30.0
	mostRoom  = 400.0
	// wantedRoom is the room with which targets are packed where they are enough.
	wantedRoom = 180.0
	// enoughRoom is the room for which it is not worth moving more targets.
	enoughRoom = 100.0
	// roomStep is the factor between two sizes of room that are tried.
	roomStep = 0.95
	// copiesAtOnce bounds the loads that go on at once where no layer is missing: more would
	// slow down the repair of the next loss.
	copiesAtOnce = 3
	// thinPart is the part of what a target could hold up to which it is given more.
	thinPart = 0.5
	// coverMargin is by how much the targets of a data centre should hold more than all layers.
	coverMargin = 1.04
)

// RangeLength returns how many layers a target of a kind can hold with room for so many usual requests.
func RangeLength(e *describer.Engine, kind identifier.AcceleratorKind, requests float64) identifier.Layer {
	perLayer := e.LayerMegabytes + requests*e.RequestMegabytes()/float64(e.Layers)
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

// Arrange returns the orders that bring each data centre to hold all layers by itself, and
// then, a few at a time, those that make copies of the layers that fewest targets hold.
// Pending holds the ranges of orders that are under way.
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
	for loads := len(pending) + len(out); loads < copiesAtOnce; loads++ {
		best := bestCopy(names, byCentre)
		if best == nil {
			break
		}
		out = append(out, best.make())
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
		filled := c.fill(hole)
		if len(filled) == 0 {
			from = hole.To
			continue
		}
		out = append(out, filled...)
	}
}

// pack spreads empty targets over all layers, the fastest first: the shorter a request's
// way, the fewer are under way at once, and the less room they need. Targets beyond one
// holder a layer hold copies, as spares that need no load.
func (c *centre) pack() []Assignment {
	c.sortBySpeed(c.empty)
	requests := min(wantedRoom, c.roomFor(c.empty))
	var out []Assignment
	for _, t := range slices.Clone(c.empty) {
		n := RangeLength(c.engine, t.Kind, requests)
		if n == 0 {
			continue
		}
		from := min(c.leastHeld(), c.engine.Layers-n)
		out = append(out, c.assign(c.release(t), identifier.LayerRange{From: from, To: from + n}))
	}
	return out
}

func (c *centre) megabytes(t registrar.Target) float64 { return c.engine.Kinds[t.Kind].Megabytes }

// roomFor returns the most room with which targets hold all layers, the least there is when they cannot.
func (c *centre) roomFor(targets []registrar.Target) float64 {
	for requests := mostRoom; requests >= leastRoom; requests *= roomStep {
		if float64(c.length(targets, requests)) >= coverMargin*float64(c.engine.Layers) {
			return requests
		}
	}
	return leastRoom
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

// fill returns the assignments that close a hole: by a spare alone where that leaves room
// enough, else by the targets around it too, which then share what they hold anew.
func (c *centre) fill(hole identifier.LayerRange) []Assignment {
	spares := c.spares()
	if i := c.bestFit(spares, hole); i >= 0 {
		t := c.release(spares[i])
		return []Assignment{c.assign(t, hole)}
	}
	w := c.bestWindow(hole, spares)
	if w == nil {
		return nil
	}
	return c.share(w)
}

// spares returns the targets that are empty, or whose layers others here hold too.
func (c *centre) spares() []registrar.Target {
	out := slices.Clone(c.empty)
	for _, h := range c.held {
		if !h.isPending && c.isSpare(h.layers) {
			out = append(out, h.target)
		}
	}
	return out
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

// bestFit returns the smallest target that can hold a hole with room enough, -1 when none can.
func (c *centre) bestFit(spares []registrar.Target, hole identifier.LayerRange) int {
	best := -1
	for i, t := range spares {
		if RangeLength(c.engine, t.Kind, enoughRoom) < identifier.Layer(hole.Len()) {
			continue
		}
		if best < 0 || c.megabytes(t) < c.megabytes(spares[best]) {
			best = i
		}
	}
	return best
}

// release takes a target out of what is held or empty here.
func (c *centre) release(t registrar.Target) registrar.Target {
	isSame := func(o registrar.Target) bool { return o.ID == t.ID }
	c.empty = slices.DeleteFunc(c.empty, isSame)
	for i, h := range c.held {
		if isSame(h.target) {
			c.count(h.layers, -1)
			c.held = slices.Delete(c.held, i, i+1)
			break
		}
	}
	return t
}

func (c *centre) assign(t registrar.Target, r identifier.LayerRange) Assignment {
	c.hold(holding{target: t, layers: r, isPending: true})
	return Assignment{Target: t, Layers: r}
}

// window is a run of targets around a hole that share the layers between their neighbours.
type window struct {
	targets []registrar.Target
	layers  identifier.LayerRange
	room    float64
}

// bestWindow returns the smallest window that leaves room enough, else the one that leaves
// most; nil when no window can hold its layers.
func (c *centre) bestWindow(hole identifier.LayerRange, spares []registrar.Target) *window {
	var before, after []holding
	for _, h := range c.held {
		switch {
		case slices.ContainsFunc(spares, func(t registrar.Target) bool { return t.ID == h.target.ID }):
		case h.layers.To <= hole.From:
			before = append(before, h)
		case h.layers.From >= hole.To:
			after = append(after, h)
		}
	}
	slices.SortStableFunc(before, func(a, b holding) int { return -cmp.Compare(a.layers.To, b.layers.To) })
	slices.SortStableFunc(after, func(a, b holding) int { return cmp.Compare(a.layers.From, b.layers.From) })
	var best *window
	for size := 0; size <= len(before)+len(after); size++ {
		for n := max(0, size-len(after)); n <= min(size, len(before)); n++ {
			w := c.window(hole, spares, before[:n], after[:size-n])
			if w != nil && (best == nil || w.room > best.room) {
				best = w
			}
		}
		if best != nil && best.room >= enoughRoom {
			return best
		}
	}
	return best
}

// window returns the window of the given targets, nil when they cannot hold its layers or
// one of them has an order under way.
func (c *centre) window(hole identifier.LayerRange, spares []registrar.Target, before, after []holding) *window {
	w := &window{layers: hole}
	for _, h := range slices.Backward(before) {
		w.targets = append(w.targets, h.target)
		w.layers.From = min(w.layers.From, h.layers.From)
	}
	w.targets = append(w.targets, spares...)
	for _, h := range after {
		w.targets = append(w.targets, h.target)
		w.layers.To = max(w.layers.To, h.layers.To)
	}
	isPending := func(h holding) bool { return h.isPending }
	if slices.ContainsFunc(before, isPending) || slices.ContainsFunc(after, isPending) {
		return nil
	}
	for w.room = mostRoom; w.room >= leastRoom; w.room *= roomStep {
		if c.length(w.targets, w.room) >= identifier.Layer(w.layers.Len()) {
			return w
		}
	}
	return nil
}

func (c *centre) length(targets []registrar.Target, requests float64) identifier.Layer {
	sum := identifier.Layer(0)
	for _, t := range targets {
		sum += RangeLength(c.engine, t.Kind, requests)
	}
	return sum
}

// share gives each target of a window its part, in their order.
func (c *centre) share(w *window) []Assignment {
	var out []Assignment
	from := w.layers.From
	for _, t := range w.targets {
		to := min(w.layers.To, from+RangeLength(c.engine, t.Kind, w.room))
		if from >= to {
			break
		}
		r := identifier.LayerRange{From: from, To: to}
		from = to
		c.release(t)
		if r == t.Layers {
			c.hold(holding{target: t, layers: r})
			continue
		}
		out = append(out, c.assign(t, r))
	}
	return out
}
