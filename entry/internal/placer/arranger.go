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

// room is what each data centre's targets leave free for requests: as much as lets them hold
// all layers once with a margin, within bounds.
type room struct {
	byCentre map[identifier.DataCentre]float64
}

const (
	leastRoom = 20.0
	mostRoom  = 400.0
	// roomStep is the factor between two sizes of room that are tried.
	roomStep = 0.95
	// coverMargin is by how much the targets of a data centre should hold more than all layers.
	coverMargin = 1.04
)

// newRoom works the room out from all targets of a service, empty or not.
func newRoom(e *describer.Engine, targets []registrar.Target) room {
	kinds := map[identifier.DataCentre]map[identifier.AcceleratorKind]int{}
	for _, t := range targets {
		if kinds[t.DataCentre] == nil {
			kinds[t.DataCentre] = map[identifier.AcceleratorKind]int{}
		}
		kinds[t.DataCentre][t.Kind]++
	}
	r := room{byCentre: map[identifier.DataCentre]float64{}}
	for dc, counts := range kinds {
		r.byCentre[dc] = leastRoom
		for requests := mostRoom; requests >= leastRoom; requests *= roomStep {
			held := identifier.Layer(0)
			for kind, n := range counts {
				held += identifier.Layer(n) * RangeLength(e, kind, requests)
			}
			if float64(held) >= coverMargin*float64(e.Layers) {
				r.byCentre[dc] = requests
				break
			}
		}
	}
	return r
}

// Arrange returns a range for each empty target: where its data centre has fewest
// holders, and among those where the whole fleet has fewest. Pending holds the ranges
// of orders that are under way.
func Arrange(e *describer.Engine, targets []registrar.Target, pending map[identifier.TargetID]identifier.LayerRange) []Assignment {
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
	free := newRoom(e, targets)
	for _, t := range empty {
		n := RangeLength(e, t.Kind, free.byCentre[t.DataCentre])
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
