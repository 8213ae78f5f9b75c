package sharer

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/shedder"
)

const (
	// demandMaxAge is how long the demand of a node counts.
	demandMaxAge = 2 * time.Second
	// divisionMaxAge is how long one division of the capacity is used for further answers.
	divisionMaxAge = 25 * time.Millisecond
)

// demand is the number of requests that a node would have open, and when it said so.
type demand struct {
	requests float64
	at       time.Time
}

// capacity is what this node divides among its followers and itself.
type capacity struct {
	// requests is the capacity of all chains, and nodes the number of nodes, as of at.
	requests float64
	nodes    int
	at       time.Time
	demands  map[identifier.NodeID]demand
	// parts is the last division, as of dividedAt.
	parts     map[identifier.NodeID]float64
	dividedAt time.Time
}

// Own is what the node that reads the store knows by itself.
type Own struct {
	Node   identifier.NodeID
	Demand float64
	// Capacity is the number of requests that the first targets of all chains run at once, and Nodes the number of nodes.
	Capacity float64
	Nodes    int
}

// DivideCapacity notes what this node knows by itself, and returns its share of the capacity. Without it, followers get no share.
func (s *Sharer) DivideCapacity(own Own) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	s.capacity.requests, s.capacity.nodes, s.capacity.at = own.Capacity, own.Nodes, now
	s.capacity.set(own.Node, own.Demand, now)
	return s.capacity.shareOf(now, own.Node)
}

// recordDemand notes the demand of the sender of a query.
func (s *Sharer) recordDemand(now time.Time, q Query) {
	if q.Node == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.set(q.Node, q.Demand, now)
}

func (c *capacity) set(node identifier.NodeID, requests float64, now time.Time) {
	if c.demands == nil {
		c.demands = map[identifier.NodeID]demand{}
	}
	c.demands[node] = demand{requests: requests, at: now}
}

// shareOf returns the share of a node in the capacity of all chains, 0 if it is not known.
func (c *capacity) shareOf(now time.Time, node identifier.NodeID) float64 {
	if node == "" || c.requests <= 0 || now.Sub(c.at) >= demandMaxAge {
		return 0
	}
	if _, ok := c.parts[node]; !ok || now.Sub(c.dividedAt) >= divisionMaxAge {
		c.divide(now)
	}
	return c.parts[node] / c.requests
}

// divide divides the part of the capacity that the nodes have which have told their demand lately.
func (c *capacity) divide(now time.Time) {
	maps.DeleteFunc(c.demands, func(_ identifier.NodeID, d demand) bool { return now.Sub(d.at) >= demandMaxAge })
	demands := make(map[identifier.NodeID]float64, len(c.demands))
	for node, d := range c.demands {
		demands[node] = d.requests
	}
	part := float64(len(demands)) / float64(max(1, c.nodes, len(demands)))
	c.parts, c.dividedAt = shedder.Divide(part*c.requests, demands), now
}
