// Package placer decides which layers empty targets are ordered to hold.
package placer

import (
	"cmp"
	"slices"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

const bytesPerMegabyte = 1e6

// coverage counts the holders of each layer, in one data centre and in all.
type coverage struct {
	layers identifier.Layer
	local  map[identifier.DataCentre][]int
	all    []int
}

func newCoverage(layers identifier.Layer) *coverage {
	return &coverage{layers: layers, local: map[identifier.DataCentre][]int{}, all: make([]int, layers)}
}

func (c *coverage) in(dc identifier.DataCentre) []int {
	counts, ok := c.local[dc]
	if !ok {
		counts = make([]int, c.layers)
		c.local[dc] = counts
	}
	return counts
}

func (c *coverage) add(dc identifier.DataCentre, r identifier.LayerRange) {
	local := c.in(dc)
	for l := max(0, r.From); l < min(r.To, c.layers); l++ {
		local[l]++
		c.all[l]++
	}
}

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

// Arrange returns a range for each empty target: where its data centre has fewest
// holders, and among those where the whole fleet has fewest. Pending holds the ranges
// of orders that are under way.
func Arrange(e *describer.Engine, targets []registrar.Target, pending map[identifier.TargetID]identifier.LayerRange, requests float64) []Assignment {
	counts := newCoverage(e.Layers)
	var empty []registrar.Target
	for _, t := range targets {
		held, isPending := pending[t.ID]
		switch {
		case t.IsLeaving:
		case isPending:
			counts.add(t.DataCentre, held)
		case t.Layers.Len() > 0:
			counts.add(t.DataCentre, t.Layers)
		case e.Kinds[t.Kind].Megabytes > 0:
			empty = append(empty, t)
		}
	}
	slices.SortStableFunc(empty, func(a, b registrar.Target) int {
		return cmp.Or(
			cmp.Compare(a.DataCentre, b.DataCentre),
			-cmp.Compare(e.Kinds[a.Kind].Megabytes, e.Kinds[b.Kind].Megabytes),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var out []Assignment
	for _, t := range empty {
		n := RangeLength(e, t.Kind, requests)
		if n == 0 {
			continue
		}
		r := counts.gap(t.DataCentre, n)
		counts.add(t.DataCentre, r)
		out = append(out, Assignment{Target: t, Layers: r})
	}
	return out
}

// gap returns the range of n layers that begins at the first of the least held layers.
func (c *coverage) gap(dc identifier.DataCentre, n identifier.Layer) identifier.LayerRange {
	local := c.in(dc)
	from := identifier.Layer(0)
	for l := identifier.Layer(1); l < c.layers; l++ {
		if cmp.Or(cmp.Compare(local[l], local[from]), cmp.Compare(c.all[l], c.all[from])) < 0 {
			from = l
		}
	}
	from = min(from, c.layers-n)
	return identifier.LayerRange{From: from, To: from + n}
}
