package planner

import (
	"sort"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

// Candidates returns the targets that hold all layers of the request by themselves, least expected time first.
func Candidates(targets []watcher.Target, r Request) []identifier.TargetID {
	var able []watcher.Target
	for _, t := range usableTargets(targets, r) {
		if t.Status.Layers.Contains(r.Layers) {
			able = append(able, t)
		}
	}
	sort.SliceStable(able, func(i, j int) bool {
		return stageTime(able[i], r.Layers, r.Load[able[i].ID]) < stageTime(able[j], r.Layers, r.Load[able[j].ID])
	})
	ids := make([]identifier.TargetID, 0, len(able))
	for _, t := range able {
		ids = append(ids, t.ID)
	}
	return ids
}

// ChooseAt returns the stage that runs all layers of the request at one target, and
// false when the target can't.
func ChooseAt(targets []watcher.Target, id identifier.TargetID, r Request) ([]Stage, bool) {
	i := sort.Search(len(targets), func(i int) bool { return targets[i].ID >= id })
	if i == len(targets) || targets[i].ID != id || !targets[i].Status.Layers.Contains(r.Layers) {
		return nil, false
	}
	return Choose(targets[i:i+1], r)
}
