// Package arranger works out which layers of a model each target should hold.
package arranger

import (
	"cmp"
	"slices"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// minCapacity and maxCapacity limit the number of typical requests for which a target keeps memory free.
	minCapacity = 30.0
	maxCapacity = 400.0
	// desiredCapacity is the capacity for which targets are planned if there are enough of them.
	desiredCapacity = 180.0
	// sufficientCapacity is the capacity from which on no more targets are moved to gain more.
	sufficientCapacity = 100.0
	// capacityStep is the factor between two capacities that are tried.
	capacityStep = 0.95
	// maxConcurrentCopies limits concurrent loads while no layer is missing: more loads would
	// slow down the repair of the next loss.
	maxConcurrentCopies = 3
	// underusedFraction is the fraction of the layers that a target could hold at or below which it
	// is given more.
	underusedFraction = 0.5
	// coverageMargin is how many layers the targets of a data centre should be able to hold, as a
	// multiple of the model's layers.
	coverageMargin = 1.04
)

// RangeLength returns how many layers a target of a kind can hold with memory left for the
// given number of typical requests.
func RangeLength(e *describer.Engine, kind identifier.AcceleratorKind, requests float64) identifier.Layer {
	perLayer := e.LayerMegabytes + requests*e.RequestMegabytes()/float64(e.Layers)
	if perLayer <= 0 {
		return 0
	}
	return min(e.Layers, identifier.Layer(e.Kinds[kind].Megabytes/perLayer))
}

// Assignment is a range of layers that a target should hold.
type Assignment struct {
	Target registrar.Target
	Layers identifier.LayerRange
}

// Arrange returns the assignments after which each data centre with enough memory holds all
// layers itself, and, a few at a time, assignments of further copies of the layers with the
// fewest holders. Pending holds the ranges of orders in progress.
func Arrange(e *describer.Engine, targets []registrar.Target, pending map[identifier.TargetID]identifier.LayerRange) []Assignment {
	allCounts := make([]int, e.Layers)
	byDataCentre := map[identifier.DataCentre]*dataCentre{}
	var names []identifier.DataCentre
	for _, t := range targets {
		if t.IsLeaving || e.Kinds[t.Kind].Megabytes <= 0 {
			continue
		}
		c, ok := byDataCentre[t.DataCentre]
		if !ok {
			c = &dataCentre{engine: e, counts: make([]int, e.Layers), allCounts: allCounts}
			byDataCentre[t.DataCentre] = c
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
		c.add(holding{target: t, layers: layers, isPending: isPending})
	}
	slices.Sort(names)
	missing := make([][]Assignment, 0, len(names))
	for _, name := range names {
		missing = append(missing, byDataCentre[name].assignMissing())
	}
	out := interleave(missing)
	for loads := len(pending) + len(out); loads < maxConcurrentCopies; loads++ {
		best := bestCopy(names, byDataCentre)
		if best == nil {
			break
		}
		out = append(out, best.assign())
	}
	return out
}

// interleave returns the assignments of all data centres, one of each in turn, so that none waits for those of another.
func interleave(lists [][]Assignment) []Assignment {
	var out []Assignment
	for i, isLeft := 0, true; isLeft; i++ {
		isLeft = false
		for _, list := range lists {
			if i < len(list) {
				out, isLeft = append(out, list[i]), true
			}
		}
	}
	return out
}

// holding is a target with the range that it holds or was ordered to hold.
type holding struct {
	target    registrar.Target
	layers    identifier.LayerRange
	isPending bool
}

// dataCentre holds the targets of a service in one data centre.
type dataCentre struct {
	engine *describer.Engine
	held   []holding
	empty  []registrar.Target
	// counts is the number of holders of each layer in this data centre, allCounts in all data centres.
	counts    []int
	allCounts []int
}

func (c *dataCentre) add(h holding) {
	c.held = append(c.held, h)
	c.addToCounts(h.layers, 1)
}

func (c *dataCentre) addToCounts(r identifier.LayerRange, n int) {
	for l := max(0, r.From); l < min(r.To, c.engine.Layers); l++ {
		c.counts[l] += n
		c.allCounts[l] += n
	}
}

// assignMissing assigns the layers that no target of this data centre holds.
func (c *dataCentre) assignMissing() []Assignment {
	if len(c.held) == 0 {
		return c.placeEmpty()
	}
	var out []Assignment
	for from := identifier.Layer(0); ; {
		gap := c.nextGap(from)
		if gap.Len() == 0 {
			return out
		}
		filled := c.fillGap(gap)
		if len(filled) == 0 {
			from = gap.To
			continue
		}
		out = append(out, filled...)
	}
}

// placeEmpty distributes all layers among empty targets, the fastest first: the shorter the
// chain of a request, the fewer requests are in progress at once, and the less memory they
// need. Targets left over hold copies, which are spares that need no loading when a holder fails.
func (c *dataCentre) placeEmpty() []Assignment {
	c.sortBySpeed(c.empty)
	requests := min(desiredCapacity, c.maxCapacityFor(c.empty))
	var out []Assignment
	for _, t := range slices.Clone(c.empty) {
		n := RangeLength(c.engine, t.Kind, requests)
		if n == 0 {
			continue
		}
		from := min(c.leastHeldLayer(), c.engine.Layers-n)
		out = append(out, c.assign(c.release(t), identifier.LayerRange{From: from, To: from + n}))
	}
	return out
}

func (c *dataCentre) megabytes(t registrar.Target) float64 { return c.engine.Kinds[t.Kind].Megabytes }

// maxCapacityFor returns the largest capacity with which the targets hold all layers, or
// minCapacity if they cannot.
func (c *dataCentre) maxCapacityFor(targets []registrar.Target) float64 {
	for requests := maxCapacity; requests >= minCapacity; requests *= capacityStep {
		if float64(c.totalLength(targets, requests)) >= coverageMargin*float64(c.engine.Layers) {
			return requests
		}
	}
	return minCapacity
}

// leastHeldLayer returns the first layer with the fewest holders in this data centre; among
// these, one with the fewest holders in all data centres.
func (c *dataCentre) leastHeldLayer() identifier.Layer {
	leastHeld := identifier.Layer(0)
	for l := identifier.Layer(1); l < c.engine.Layers; l++ {
		if cmp.Or(cmp.Compare(c.counts[l], c.counts[leastHeld]), cmp.Compare(c.allCounts[l], c.allCounts[leastHeld])) < 0 {
			leastHeld = l
		}
	}
	return leastHeld
}

// nextGap returns the first range of layers, from the given layer on, without a holder in this
// data centre; it is empty if there is none.
func (c *dataCentre) nextGap(from identifier.Layer) identifier.LayerRange {
	for from < c.engine.Layers && c.counts[from] > 0 {
		from++
	}
	to := from
	for to < c.engine.Layers && c.counts[to] == 0 {
		to++
	}
	return identifier.LayerRange{From: from, To: to}
}

// fillGap returns the assignments that close a gap. A single spare is used if it has sufficient
// capacity; otherwise the neighbours of the gap are included and their layers are divided again.
func (c *dataCentre) fillGap(gap identifier.LayerRange) []Assignment {
	spares := c.spares()
	if i := c.bestFit(spares, gap); i >= 0 {
		t := c.release(spares[i])
		return []Assignment{c.assign(t, gap)}
	}
	w := c.bestWindow(gap, spares)
	if w == nil {
		return nil
	}
	return c.divide(w)
}

// spares returns the targets that are empty or whose layers have other holders in this data centre.
func (c *dataCentre) spares() []registrar.Target {
	out := slices.Clone(c.empty)
	for _, h := range c.held {
		if !h.isPending && c.isRedundant(h.layers) {
			out = append(out, h.target)
		}
	}
	return out
}

// isRedundant reports whether all layers of a range have a second holder in this data centre.
func (c *dataCentre) isRedundant(r identifier.LayerRange) bool {
	for l := r.From; l < min(r.To, c.engine.Layers); l++ {
		if c.counts[l] < 2 {
			return false
		}
	}
	return true
}

// bestFit returns the index of the smallest target that can hold a gap with sufficient capacity, -1 if none can.
func (c *dataCentre) bestFit(spares []registrar.Target, gap identifier.LayerRange) int {
	best := -1
	for i, t := range spares {
		if RangeLength(c.engine, t.Kind, sufficientCapacity) < identifier.Layer(gap.Len()) {
			continue
		}
		if best < 0 || c.megabytes(t) < c.megabytes(spares[best]) {
			best = i
		}
	}
	return best
}

// release removes a target from the holders and the empty targets of this data centre.
func (c *dataCentre) release(t registrar.Target) registrar.Target {
	isSame := func(o registrar.Target) bool { return o.ID == t.ID }
	c.empty = slices.DeleteFunc(c.empty, isSame)
	for i, h := range c.held {
		if isSame(h.target) {
			c.addToCounts(h.layers, -1)
			c.held = slices.Delete(c.held, i, i+1)
			break
		}
	}
	return t
}

func (c *dataCentre) assign(t registrar.Target, r identifier.LayerRange) Assignment {
	c.add(holding{target: t, layers: r, isPending: true})
	return Assignment{Target: t, Layers: r}
}

// window is a sequence of targets that divide the layers of a gap and of the holders next to it anew.
type window struct {
	targets []registrar.Target
	layers  identifier.LayerRange
	// capacity is the number of typical requests for which the targets keep memory free.
	capacity float64
}

// bestWindow returns the smallest window with sufficient capacity, otherwise the one with the
// largest capacity; nil if the targets of no window can hold its layers.
func (c *dataCentre) bestWindow(gap identifier.LayerRange, spares []registrar.Target) *window {
	var before, after []holding
	for _, h := range c.held {
		switch {
		case slices.ContainsFunc(spares, func(t registrar.Target) bool { return t.ID == h.target.ID }):
		case h.layers.To <= gap.From:
			before = append(before, h)
		case h.layers.From >= gap.To:
			after = append(after, h)
		}
	}
	slices.SortStableFunc(before, func(a, b holding) int { return -cmp.Compare(a.layers.To, b.layers.To) })
	slices.SortStableFunc(after, func(a, b holding) int { return cmp.Compare(a.layers.From, b.layers.From) })
	var best *window
	for size := 0; size <= len(before)+len(after); size++ {
		for n := max(0, size-len(after)); n <= min(size, len(before)); n++ {
			w := c.window(gap, spares, before[:n], after[:size-n])
			if w != nil && (best == nil || w.capacity > best.capacity) {
				best = w
			}
		}
		if best != nil && best.capacity >= sufficientCapacity {
			return best
		}
	}
	return best
}

// window returns the window of the spares and of the holders before and after a gap, nil if they
// cannot hold its layers or one of the holders has an order in progress.
func (c *dataCentre) window(gap identifier.LayerRange, spares []registrar.Target, before, after []holding) *window {
	w := &window{layers: gap}
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
	for w.capacity = maxCapacity; w.capacity >= minCapacity; w.capacity *= capacityStep {
		if c.totalLength(w.targets, w.capacity) >= identifier.Layer(w.layers.Len()) {
			return w
		}
	}
	return nil
}

func (c *dataCentre) totalLength(targets []registrar.Target, requests float64) identifier.Layer {
	sum := identifier.Layer(0)
	for _, t := range targets {
		sum += RangeLength(c.engine, t.Kind, requests)
	}
	return sum
}

// divide assigns each target of a window its share of the layers, in order. A target that already
// holds its share needs no assignment.
func (c *dataCentre) divide(w *window) []Assignment {
	var out []Assignment
	from := w.layers.From
	for _, t := range w.targets {
		to := min(w.layers.To, from+RangeLength(c.engine, t.Kind, w.capacity))
		if from >= to {
			break
		}
		r := identifier.LayerRange{From: from, To: to}
		from = to
		c.release(t)
		if r == t.Layers {
			c.add(holding{target: t, layers: r})
			continue
		}
		out = append(out, c.assign(t, r))
	}
	return out
}
