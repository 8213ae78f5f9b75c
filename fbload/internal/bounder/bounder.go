// Package bounder works out the most drafts a second that a fleet's engines can
// complete: the maximum flow over the layers, by a linear program.
package bounder

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
)

const (
	// perStepShare is the part of a batch's time that each further step adds.
	perStepShare = 0.02
	// prefillShare is the part of a batch's time that one uncached prompt token adds.
	prefillShare = 0.05

	tolerance = 1e-9
)

// Draft is what one draft, on average, asks of each stage.
type Draft struct {
	Tokens               float64
	UncachedPromptTokens float64
}

// Capacity returns the drafts a second that one engine can serve when all its batches are full.
func Capacity(s enginecaller.Status, d Draft) float64 {
	whole := time.Duration(s.Layers.Len()*s.LayerMicros) * time.Microsecond
	batch := float64(max(1, s.BatchLimit))
	perStep := (1 + perStepShare*(batch-1)) / batch
	return 1 / (whole.Seconds() * (d.Tokens*perStep + d.UncachedPromptTokens*prefillShare))
}

// edge is the use of one engine for the layers between two bounds.
type edge struct {
	engine   int
	from, to identifier.Layer
}

// Bound returns the most drafts a second over all pipelines of a model with the given layers.
func Bound(engines []enginecaller.Status, layers identifier.Layer, d Draft) (float64, error) {
	nodes := bounds(engines, layers)
	edges := edgesOf(engines, nodes)
	// Rows: each engine's capacity, then at each inner bound that no more leaves than
	// arrives. Columns: the edges' flows, then what each row leaves unused.
	inner := nodes[1 : len(nodes)-1]
	rows := len(engines) + len(inner)
	columns := len(edges) + rows
	a := mat.NewDense(rows, columns, nil)
	b, cost := make([]float64, rows), make([]float64, columns)
	for i := range rows {
		a.Set(i, len(edges)+i, 1)
	}
	for i, e := range engines {
		b[i] = Capacity(e, d)
	}
	for j, e := range edges {
		a.Set(e.engine, j, 1)
		if e.to == layers {
			cost[j] = -1
		}
		for k, layer := range inner {
			switch layer {
			case e.to:
				a.Set(len(engines)+k, j, -1)
			case e.from:
				a.Set(len(engines)+k, j, 1)
			}
		}
	}
	optimum, _, err := lp.Simplex(cost, a, b, tolerance, nil)
	return -optimum, errors.Wrap(err, "solving for the maximum flow")
}

// bounds returns the layers at which a stage may begin or end, in order.
func bounds(engines []enginecaller.Status, layers identifier.Layer) []identifier.Layer {
	seen := map[identifier.Layer]bool{0: true, layers: true}
	for _, e := range engines {
		seen[min(e.Layers.From, layers)] = true
		seen[min(e.Layers.To, layers)] = true
	}
	var sorted []identifier.Layer
	for l := range seen {
		sorted = append(sorted, l)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted
}

func edgesOf(engines []enginecaller.Status, nodes []identifier.Layer) []edge {
	var edges []edge
	for i, e := range engines {
		for j, from := range nodes {
			for _, to := range nodes[j+1:] {
				if e.Layers.Contains(identifier.LayerRange{From: from, To: to}) {
					edges = append(edges, edge{i, from, to})
				}
			}
		}
	}
	return edges
}
