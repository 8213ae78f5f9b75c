package planner

import (
	"cmp"
	"slices"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

// sampleSize limits the targets of one layer range that one choice considers, so that its cost does
// not grow with the fleet.
const sampleSize = 32

type groupKey struct {
	model  identifier.ModelID
	layers identifier.LayerRange
}

// Index groups the engines that are up by model and layer range.
type Index struct {
	groups map[groupKey][]watcher.Target
	// order holds the sorted keys of groups, so that samples are deterministic.
	order []groupKey
}

// NewIndex returns an index of the targets.
func NewIndex(targets []watcher.Target) *Index {
	x := &Index{groups: map[groupKey][]watcher.Target{}}
	for _, t := range targets {
		if t.Role != platformcaller.RoleEngine || t.State != watcher.StateUp {
			continue
		}
		key := groupKey{t.Status.Model, t.Status.Layers}
		if _, ok := x.groups[key]; !ok {
			x.order = append(x.order, key)
		}
		x.groups[key] = append(x.groups[key], t)
	}
	slices.SortFunc(x.order, func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.layers.From, b.layers.From), cmp.Compare(a.layers.To, b.layers.To))
	})
	return x
}

// Sample returns the targets that the request should consider: at most sampleSize of each layer
// range. A larger group is sampled from an offset given by the seed, without the targets to avoid. A
// group that is small enough is returned whole; Choose skips the targets to avoid.
func (x *Index) Sample(r Request) []watcher.Target {
	var sample []watcher.Target
	for _, key := range x.order {
		if key.model == r.Model {
			sample = append(sample, sampleOf(x.groups[key], r)...)
		}
	}
	return sample
}

func sampleOf(group []watcher.Target, r Request) []watcher.Target {
	if len(group) <= sampleSize {
		return group
	}
	sample := make([]watcher.Target, 0, sampleSize)
	start := int(r.Seed % uint64(len(group)))
	for i := range group {
		t := group[(start+i)%len(group)]
		if !r.Avoid[t.ID] {
			sample = append(sample, t)
		}
		if len(sample) == sampleSize {
			break
		}
	}
	return sample
}
