package arranger

import (
	"cmp"
	"slices"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

// layerCopy is a further copy of a range of layers that a target of a data centre could hold.
type layerCopy struct {
	dataCentre *dataCentre
	target     registrar.Target
	layers     identifier.LayerRange
	// meanHolders is the mean number of the data centre's targets that hold a layer of the range.
	meanHolders float64
}

// bestCopy returns the copy whose layers have the fewest holders on average, nil if no target can hold one.
func bestCopy(names []identifier.DataCentre, byDataCentre map[identifier.DataCentre]*dataCentre) *layerCopy {
	var best *layerCopy
	for _, name := range names {
		if x := byDataCentre[name].bestCopy(); x != nil && (best == nil || x.meanHolders < best.meanHolders) {
			best = x
		}
	}
	return best
}

// assign assigns the copy to its target.
func (x *layerCopy) assign() Assignment {
	return x.dataCentre.assign(x.dataCentre.release(x.target), x.layers)
}

// bestCopy returns the copy that the fastest empty or underused target could hold, nil if there is none.
func (c *dataCentre) bestCopy() *layerCopy {
	free := slices.Clone(c.empty)
	for _, h := range c.held {
		maxLength := RangeLength(c.engine, h.target.Kind, desiredCapacity)
		if !h.isPending && !h.target.IsEjected && float64(h.layers.Len()) <= underusedFraction*float64(maxLength) {
			free = append(free, h.target)
		}
	}
	c.sortBySpeed(free)
	for _, t := range free {
		if n := RangeLength(c.engine, t.Kind, desiredCapacity); n > 0 {
			return c.copyAt(t, n)
		}
	}
	return nil
}

// sortBySpeed sorts targets by speed; equally fast ones by memory, the largest first.
func (c *dataCentre) sortBySpeed(targets []registrar.Target) {
	slices.SortStableFunc(targets, func(a, b registrar.Target) int {
		return cmp.Or(
			cmp.Compare(c.engine.Kinds[a.Kind].StepFactor, c.engine.Kinds[b.Kind].StepFactor),
			-cmp.Compare(c.megabytes(a), c.megabytes(b)), cmp.Compare(a.ID, b.ID),
		)
	})
}

// copyAt returns the copy of the n layers with the fewest holders that includes all layers the target already holds.
func (c *dataCentre) copyAt(t registrar.Target, n identifier.Layer) *layerCopy {
	first, last := identifier.Layer(0), c.engine.Layers-n
	if t.Layers.Len() > 0 {
		first, last = max(first, t.Layers.To-n), min(last, t.Layers.From)
	}
	best, fewestHolders := first, -1
	for from := first; from <= last; from++ {
		if sum := c.sumHolders(from, from+n); fewestHolders < 0 || sum < fewestHolders {
			best, fewestHolders = from, sum
		}
	}
	return &layerCopy{
		dataCentre: c, target: t, layers: identifier.LayerRange{From: best, To: best + n}, meanHolders: float64(fewestHolders) / float64(n),
	}
}

// sumHolders returns the sum of the holder counts of a range's layers.
func (c *dataCentre) sumHolders(from, to identifier.Layer) int {
	sum := 0
	for l := from; l < to; l++ {
		sum += c.counts[l]
	}
	return sum
}
