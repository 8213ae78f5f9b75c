package dispatcher_test

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/limiter"
)

const (
	// leaseTerm and the others are those of the group in which nodes hold partitions.
	leaseTerm     = 2500 * time.Millisecond
	leaseMargin   = 400 * time.Millisecond
	leaseInterval = 700 * time.Millisecond
	// lookupInterval is the time between two lookups of the holder by one node.
	lookupInterval = time.Second
	grantTimeout   = 150 * time.Millisecond
	grantLifetime  = 250 * time.Millisecond
	retryDelay     = 100 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	reportTime     = 2 * time.Second
)

// limitHolder is what a node knows of who grants, and its own tenure. All targets belong to one partition.
type limitHolder struct {
	buckets *limiter.Buckets
	// tenure is the node's own; it has none if isHolder is not set.
	tenure   limiter.Tenure
	isHolder bool
	// generation is that of the group when the node last joined it.
	generation int
	// believed is the node that it asks, -1 if it knows none.
	believed   int
	lookedUpAt time.Duration
}

func newLimitHolder(now time.Duration) *limitHolder {
	return &limitHolder{buckets: limiter.NewBuckets(), believed: -1, lookedUpAt: now - lookupInterval}
}

// renewLease makes a node renew its lease of the partition, take it over, or learn that it has lost it. The store
// assigns the partition to the node that asks first once the holder's lease has ended.
func (x *limitSimulation) renewLease(node int, at time.Duration) {
	x.clock.at(at, func() {
		n := x.nodes[node]
		if x.clock.now >= n.frozenUntil && x.clock.now >= x.storeDownUntil {
			x.join(node, n)
		}
		x.renewLease(node, max(x.clock.now, n.frozenUntil)+leaseInterval)
	})
}

func (x *limitSimulation) join(node int, n *limitNode) {
	now := start.Add(x.clock.now)
	if x.assigned < 0 || x.clock.now >= x.assignedUntil {
		x.assign(node)
	}
	isUnchanged := n.generation == x.generation
	n.generation = x.generation
	if x.assigned != node {
		n.isHolder = false
		return
	}
	x.assignedUntil = x.clock.now + leaseTerm
	if !n.isHolder || (n.tenure.IsExpired(now) && !isUnchanged) {
		n.isHolder, n.tenure.Since = true, now
	}
	n.tenure.Until = now.Add(leaseTerm - leaseMargin)
}

// rebalance assigns the partition to another node without asking its holder.
func (x *limitSimulation) rebalance() {
	if x.clock.now >= x.storeDownUntil {
		x.assign(x.rnd.IntN(len(x.nodes)))
	}
}

func (x *limitSimulation) assign(node int) {
	x.assigned, x.assignedUntil = node, x.clock.now+leaseTerm
	x.generation++
}

// breakStore makes the store unreachable for up to five seconds.
func (x *limitSimulation) breakStore() {
	x.storeDownUntil = x.clock.now + time.Duration(x.rnd.Int64N(int64(5*time.Second)))
}

func (x *limitSimulation) lookUp(node int) {
	n := x.nodes[node]
	if x.clock.now < n.lookedUpAt+lookupInterval {
		return
	}
	n.lookedUpAt = x.clock.now
	x.clock.after(4*hop, func() {
		if x.clock.now >= x.storeDownUntil {
			x.nodes[node].believed = x.assigned
		}
	})
}

// ask asks the node that grants, and gives its answer to the request's node.
func (x *limitSimulation) ask(node int, call identifier.CallID, report limiter.Report) {
	x.sendAsk(node, report, func(g limiter.Grant, isAnswered bool) {
		asked := start.Add(x.clock.now)
		answered := dispatcher.GrantAnswered{Call: call, IsGranted: g.IsGranted, Seed: x.rnd.Uint64(), Until: asked.Add(grantLifetime)}
		switch {
		case !isAnswered || g.IsNotHolder:
			answered.Until = asked.Add(retryDelay)
		case !g.IsGranted:
			answered.Until = asked.Add(time.Duration(g.WaitMS) * time.Millisecond)
		}
		if isAnswered && !g.IsNotHolder {
			answered.Known = &g.Known
		}
		x.apply(node, answered, call)
	})
}

// sendAsk sends a question to the node that grants, which may not be reached, and calls done with its answer.
func (x *limitSimulation) sendAsk(node int, report limiter.Report, done func(limiter.Grant, bool)) {
	n := x.nodes[node]
	if n.isHolder {
		done(n.buckets.Take(start.Add(x.clock.now), limiter.Ask{Report: report}, n.tenure), true)
		return
	}
	if n.believed < 0 || n.believed == node {
		x.lookUp(node)
		done(limiter.Grant{}, false)
		return
	}
	peer := x.nodes[n.believed]
	if x.isLost(n.believed) {
		x.lookUp(node)
		x.clock.after(grantTimeout, func() { done(limiter.Grant{}, false) })
		return
	}
	x.clock.after(hop, func() {
		grant := limiter.Grant{IsNotHolder: true}
		if peer.isHolder {
			grant = peer.buckets.Take(start.Add(x.clock.now), limiter.Ask{Report: report}, peer.tenure)
		}
		x.clock.after(hop, func() {
			if grant.IsNotHolder || grant.IsExpired {
				x.lookUp(node)
			}
			done(grant, true)
		})
	})
}

// reportLimit tells the node that grants of a limit, and then all others.
func (x *limitSimulation) reportLimit(node int, report limiter.Report) {
	now := start.Add(x.clock.now)
	x.nodes[node].buckets.Learn(now, report)
	known := report.Knowledge(now)
	until := x.clock.now + reportTime
	x.reportToHolder(node, report.Target, known, until)
	for n := range x.nodes {
		if n != node {
			x.clock.after(x.toldAfter, func() { x.reportTo(n, report.Target, known, until) })
		}
	}
}

// isLost reports whether a message to a node is lost.
func (x *limitSimulation) isLost(to int) bool {
	return x.rnd.Float64() < x.lostAsks || x.clock.now < x.nodes[to].frozenUntil
}

// reportToHolder tells the node that grants, and again until it has arrived there.
func (x *limitSimulation) reportToHolder(node int, target identifier.TargetID, known limiter.Knowledge, until time.Duration) {
	n := x.nodes[node]
	if n.isHolder || x.clock.now >= until {
		return
	}
	if n.believed >= 0 && x.nodes[n.believed].isHolder && !x.isLost(n.believed) {
		x.nodes[n.believed].buckets.Learn(start.Add(x.clock.now), limiter.NewReport(start.Add(x.clock.now), target, known))
		return
	}
	x.lookUp(node)
	x.clock.after(reportInterval, func() { x.reportToHolder(node, target, known, until) })
}

// reportTo tells a node, and again until it has arrived there.
func (x *limitSimulation) reportTo(to int, target identifier.TargetID, known limiter.Knowledge, until time.Duration) {
	if x.clock.now >= until {
		return
	}
	if x.isLost(to) {
		x.clock.after(reportInterval, func() { x.reportTo(to, target, known, until) })
		return
	}
	x.clock.after(hop, func() {
		report := limiter.NewReport(start.Add(x.clock.now), target, known)
		x.nodes[to].buckets.Learn(start.Add(x.clock.now), report)
		x.apply(to, limiter.LimitsLearned{Reports: []limiter.Report{report}}, 0)
	})
}
