package watcher

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
)

// observersPerTarget is the number of nodes that poll each target.
const observersPerTarget = 3

// Observers returns the nodes that poll the target: nodes of its data centre, chosen by rendezvous
// hashing, and remote ones if its data centre has too few.
func Observers(nodes []Observer, target identifier.TargetID, dataCentre identifier.DataCentre) []identifier.NodeID {
	type ranked struct {
		node    identifier.NodeID
		isLocal bool
		score   uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, ranked{n.Node, n.DataCentre == dataCentre, xxhash.Sum64String(string(n.Node) + "\x00" + string(target))})
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.isLocal != b.isLocal {
			return a.isLocal
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

// assignObservers stores the live observers and decides which targets this node polls.
func (w *Watcher) assignObservers(observers []Observer) {
	w.observers = observers
	w.aliveNodes = make(map[identifier.NodeID]bool, len(observers))
	for _, o := range observers {
		w.aliveNodes[o.Node] = true
	}
	for _, t := range w.targets {
		w.assignTarget(t)
	}
}

func (w *Watcher) assignTarget(t *trackedTarget) {
	wasObserver := t.isObserver
	t.observers = Observers(w.observers, t.target.ID, t.target.DataCentre)
	t.isObserver = slices.Contains(t.observers, w.self)
	switch {
	case t.isObserver && !wasObserver:
		w.observedCount++
		t.lastReport = Report{}
	case wasObserver && !t.isObserver:
		w.observedCount--
	}
	for node := range t.observations {
		if !w.aliveNodes[node] {
			delete(t.observations, node)
		}
	}
}
