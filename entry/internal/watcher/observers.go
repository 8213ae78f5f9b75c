package watcher

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
)

// observersPerTarget is the number of nodes that poll each target.
const observersPerTarget = 3

// Observers returns the nodes that watch the target: those of its data centre by
// rendezvous hashing, and others when its data centre has too few.
func Observers(nodes []Observer, target identifier.TargetID, dataCentre identifier.DataCentre) []identifier.NodeID {
	type ranked struct {
		node  identifier.NodeID
		near  bool
		score uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, ranked{n.Node, n.DataCentre == dataCentre, xxhash.Sum64String(string(n.Node) + "\x00" + string(target))})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.near != b.near {
			return a.near
		}
		if a.score != b.score {
			return a.score > b.score
		}
		return a.node < b.node
	})
	chosen := make([]identifier.NodeID, 0, observersPerTarget)
	for _, r := range all[:min(len(all), observersPerTarget)] {
		chosen = append(chosen, r.node)
	}
	return chosen
}

// assign decides which targets this node polls.
func (w *Watcher) assign(observers []Observer) {
	w.observers = observers
	w.alive = make(map[identifier.NodeID]bool, len(observers))
	for _, o := range observers {
		w.alive[o.Node] = true
	}
	for _, e := range w.entries {
		w.assignOne(e)
	}
}

func (w *Watcher) assignOne(e *entry) {
	was := e.observed
	e.watchers = Observers(w.observers, e.target.ID, e.target.DataCentre)
	e.observed = slices.Contains(e.watchers, w.self)
	switch {
	case e.observed && !was:
		w.observed++
		e.told = Report{}
	case was && !e.observed:
		w.observed--
	}
	for node := range e.views {
		if !w.alive[node] {
			delete(e.views, node)
		}
	}
}
