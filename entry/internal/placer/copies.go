package placer

import (
	"cmp"
	"slices"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

// layerCopy is a range that a target of a data centre could hold beside others.
type layerCopy struct {
	centre *centre
	target registrar.Target
	layers identifier.LayerRange
	// mean is how many targets of the data centre hold a layer of the range, in the mean.
	mean float64
}

// bestCopy returns the copy of layers that fewest targets hold, nil when no target can hold one.
func bestCopy(names []identifier.DataCentre, byCentre map[identifier.DataCentre]*centre) *layerCopy {
	var best *layerCopy
	for _, name := range names {
		if x := byCentre[name].copy(); x != nil && (best == nil || x.mean < best.mean) {
			best = x
		}
	}
	return best
}

// make assigns the copy to its target.
func (x *layerCopy) make() Assignment { return x.centre.assign(x.centre.release(x.target), x.layers) }

// copy returns the copy that the fastest target that has room could hold.
func (c *centre) copy() *layerCopy {
	free := slices.Clone(c.empty)
	for _, h := range c.held {
		full := RangeLength(c.engine, h.target.Kind, wantedRoom)
		if !h.isPending && !h.target.IsDoubted && float64(h.layers.Len()) <= thinPart*float64(full) {
			free = append(free, h.target)
		}
	}
	c.sortBySpeed(free)
	for _, t := range free {
		if n := RangeLength(c.engine, t.Kind, wantedRoom); n > 0 {
			return c.copyAt(t, n)
		}
	}
	return nil
}

// sortBySpeed orders targets by their speed, the larger first among equals.
func (c *centre) sortBySpeed(targets []registrar.Target) {
	slices.SortStableFunc(targets, func(a, b registrar.Target) int {
		return cmp.Or(
			cmp.Compare(c.engine.Kinds[a.Kind].StepFactor, c.engine.Kinds[b.Kind].StepFactor),
			-cmp.Compare(c.megabytes(a), c.megabytes(b)), cmp.Compare(a.ID, b.ID),
		)
	})
}

// copyAt returns the range of n layers that fewest targets hold, with all that the target holds already.
func (c *centre) copyAt(t registrar.Target, n identifier.Layer) *layerCopy {
	first, last := identifier.Layer(0), c.engine.Layers-n
	if t.Layers.Len() > 0 {
		first, last = max(first, t.Layers.To-n), min(last, t.Layers.From)
	}
	best, least := first, -1
	for from := first; from <= last; from++ {
		if sum := c.holders(from, from+n); least < 0 || sum < least {
			best, least = from, sum
		}
	}
	return &layerCopy{
		centre: c, target: t, layers: identifier.LayerRange{From: best, To: best + n}, mean: float64(least) / float64(n),
	}
}

// holders counts the holders of the layers of a range.
func (c *centre) holders(from, to identifier.Layer) int {
	sum := 0
	for l := from; l < to; l++ {
		sum += c.counts[l]
	}
	return sum
}
