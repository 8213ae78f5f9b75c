package commander

import (
	"context"

	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/entry/internal/shedder"
)

// isAsking reports whether this node asks targets for their load and divides the capacity: it reads the store for its peers, or has none.
func (n *relayNode) isAsking() bool {
	return n.values.Text("peer-listen") == "" || n.joiner.IsReader()
}

// learnShare applies this node's share of the capacity of all chains.
func (n *relayNode) learnShare(share float64) { n.relayer.Submit(shedder.ShareLearned{Share: share}) }

// divideCapacity keeps dividing the capacity of the chains among the followers of this node and itself, until ctx ends.
func (n *relayNode) divideCapacity(ctx context.Context) {
	interval := n.values.Duration("load-interval")
	for interval > 0 && sleeper.Sleep(ctx, interval) {
		if !n.isAsking() {
			continue
		}
		own := sharer.Own{Node: n.id, Demand: n.relayer.Demand(), Capacity: float64(n.relayer.Capacity()), Nodes: n.nodeCount()}
		n.learnShare(n.updates.DivideCapacity(own))
	}
}

// nodeCount returns about how many nodes there are.
func (n *relayNode) nodeCount() int {
	if n.values.Text("peer-listen") == "" {
		return 1
	}
	return n.joiner.NodeCount()
}
