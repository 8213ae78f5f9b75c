package planner

import (
	"sort"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

// Candidates returns the targets that hold all layers of the request, least expected time first.
func Candidates(targets []watcher.Target, r Request) []identifier.TargetID {
	var capable []watcher.Target
	for _, t := range usableTargets(targets, r) {
		if t.Status.Layers.Contains(r.Layers) {
			capable = append(capable, t)
		}
	}
	sort.SliceStable(capable, func(i, j int) bool {
		return stageTime(capable[i], r.Layers, r.Load[capable[i].ID]) < stageTime(capable[j], r.Layers, r.Load[capable[j].ID])
	})
	ids := make([]identifier.TargetID, 0, len(capable))
	for _, t := range capable {
		ids = append(ids, t.ID)
	}
	return ids
}

// ChooseAt returns the stage that runs all layers of the request at one target. It returns false if
// the target cannot run them. The targets must be ordered by id.
func ChooseAt(targets []watcher.Target, id identifier.TargetID, r Request) ([]Stage, bool) {
	i := sort.Search(len(targets), func(i int) bool { return targets[i].ID >= id })
	if i == len(targets) || targets[i].ID != id || !targets[i].Status.Layers.Contains(r.Layers) {
		return nil, false
	}
	return Choose(targets[i:i+1], r)
}
