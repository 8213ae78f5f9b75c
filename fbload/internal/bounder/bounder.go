// Package bounder computes an upper bound on the drafts per second that a fleet's engines can complete.
// It solves a linear program for the maximum flow through the model's layers.
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
	// perStepShare is the fraction by which each further step prolongs a batch. It and prefillShare must match
	// the constants of the stand-in engines.
	perStepShare = 0.02
	// prefillShare is the fraction by which one uncached prompt token prolongs a batch.
	prefillShare = 0.05

	tolerance = 1e-9
)

// Draft is the average work that one draft causes at each stage.
type Draft struct {
	Tokens               float64
	UncachedPromptTokens float64
}

// Capacity returns the drafts per second that one engine can serve if all its batches are full.
func Capacity(s enginecaller.Status, d Draft) float64 {
	allLayers := time.Duration(s.Layers.Len()*s.LayerMicros) * time.Microsecond
	batchSize := float64(max(1, s.BatchLimit))
	perStep := (1 + perStepShare*(batchSize-1)) / batchSize
	return 1 / (allLayers.Seconds() * (d.Tokens*perStep + d.UncachedPromptTokens*prefillShare))
}

// edge is the use of one engine for the layers between two boundaries.
type edge struct {
	engine   int
	from, to identifier.Layer
}

// Bound returns the maximum drafts per second over all pipelines of a model with the given number of
// layers.
func Bound(engines []enginecaller.Status, layers identifier.Layer, d Draft) (float64, error) {
	nodes := boundaries(engines, layers)
	edges := edgesOf(engines, nodes)
	// The first rows are the engines' capacities, the others say for each inner boundary that the flow
	// out does not exceed the flow in. The first columns are the flows of the edges, the others are the
	// slack variables of the rows.
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

// boundaries returns the layers at which a stage may begin or end, sorted.
func boundaries(engines []enginecaller.Status, layers identifier.Layer) []identifier.Layer {
	isBoundary := map[identifier.Layer]bool{0: true, layers: true}
	for _, e := range engines {
		isBoundary[min(e.Layers.From, layers)] = true
		isBoundary[min(e.Layers.To, layers)] = true
	}
	var sorted []identifier.Layer
	for l := range isBoundary {
		sorted = append(sorted, l)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted
}

// edgesOf returns every use of an engine for layers between two of the boundaries in nodes.
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
