package shedder

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiabridge.example/common/identifier"
)

// Divide divides a capacity among nodes. Nobody gets less than its demand while there is enough, and what is left is divided evenly;
// otherwise small demands are met, and the others get the same part each.
func Divide(capacity float64, demands map[identifier.NodeID]float64) map[identifier.NodeID]float64 {
	nodes := slices.SortedFunc(maps.Keys(demands), func(a, b identifier.NodeID) int {
		return cmp.Or(cmp.Compare(demands[a], demands[b]), cmp.Compare(a, b))
	})
	parts := make(map[identifier.NodeID]float64, len(nodes))
	left := max(0, capacity)
	for i, node := range nodes {
		parts[node] = min(max(0, demands[node]), left/float64(len(nodes)-i))
		left -= parts[node]
	}
	for _, node := range nodes {
		parts[node] += left / float64(len(nodes))
	}
	return parts
}
