// Package orderer decides which load orders engines get. A layer range that drops below two
// replicas is loaded on a spare engine, and an engine that does not hold its assigned range is
// ordered again. Only the holder of the lease sends orders.
package orderer

import (
	"encoding/json"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/leaser"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	decideInterval = 200 * time.Millisecond
	// lackingDelay is how long a range must lack a replica before a spare is assigned.
	lackingDelay = 500 * time.Millisecond
	// desiredReplicas is the number of replicas that a range is restored to.
	desiredReplicas = 2
	// retryDelay is the minimum time between two orders to the same engine.
	retryDelay    = 3 * time.Second
	appendTimeout = time.Second
)

// modelRange identifies a layer range of a model.
type modelRange struct {
	model  identifier.ModelID
	layers identifier.LayerRange
}

// replicaHistory holds the largest number of replicas that a range has had, and since when it lacks one.
type replicaHistory struct {
	maxReplicas  int
	lackingSince time.Time
}

// Orderer is the reducer for orders.
type Orderer struct {
	node        identifier.NodeID
	incarnation identifier.Incarnation
	// layersPerSecond is the load rate of the weight store.
	layersPerSecond int

	chain       leaser.Chain
	lease       leaser.Changed
	engines     []watcher.Target
	assignments map[identifier.TargetID]Assignment
	ranges      map[modelRange]*replicaHistory
	nextOrderAt map[identifier.TargetID]time.Time
	// pendingProposal is the record id of the assignment that is being appended. It is waited for
	// until pendingUntil.
	pendingProposal string
	pendingUntil    time.Time
	// nextLoadAt is when the weight store can serve another load.
	nextLoadAt   time.Time
	lastDecision time.Time
	// lastSeq numbers the proposals and orders of this node, to make their ids unique.
	lastSeq int
}

// NewOrderer returns an orderer for the node. Loads are spaced by the weight store's rate.
func NewOrderer(node identifier.NodeID, incarnation identifier.Incarnation, layersPerSecond int) *Orderer {
	return &Orderer{
		node: node, incarnation: incarnation, layersPerSecond: layersPerSecond,
		assignments: map[identifier.TargetID]Assignment{}, ranges: map[modelRange]*replicaHistory{}, nextOrderAt: map[identifier.TargetID]time.Time{},
	}
}

// Apply applies one event and returns the resulting effects.
func (o *Orderer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case tailer.RecordSeen:
		return o.onRecord(ev.Record)
	case tailer.GapFound:
		o.chain.Skip(ev.To)
	case committer.Lost:
		if ev.NotSent && ev.ID == o.pendingProposal {
			o.pendingProposal = ""
		}
	case leaser.Changed:
		o.lease = ev
	case watcher.TargetsChanged:
		o.engines = enginesOf(ev.Targets)
	case OrderDone:
		return []messenger.Effect{o.logEvent(eventlogger.OrderEnded, ev.Target, "result", "done", "fence", ev.Fence)}
	case OrderFailed:
		return o.onOrderFailed(now, ev)
	case messenger.Tick:
		return o.tick(now)
	}
	return nil
}

func enginesOf(targets []watcher.Target) []watcher.Target {
	var engines []watcher.Target
	for _, t := range targets {
		if t.Role == platformcaller.RoleEngine && t.Status.Target != "" {
			engines = append(engines, t)
		}
	}
	return engines
}

// onRecord tracks the grants and applies the assignments of the node that held the lease.
func (o *Orderer) onRecord(r platformcaller.Record) []messenger.Effect {
	o.chain.Apply(r)
	if r.Stream != Stream {
		return nil
	}
	if r.ID == o.pendingProposal {
		o.pendingProposal = ""
	}
	var a Assignment
	if json.Unmarshal(r.Body, &a) != nil {
		return nil
	}
	if a.Node != o.chain.Holder.Node || a.Incarnation != o.chain.Holder.Incarnation {
		return []messenger.Effect{o.logEvent(eventlogger.OrderNotSent, a.Target, "reason", "its author no longer held the lease", "author", a.Node, "offset", r.Offset)}
	}
	o.assignments[a.Target] = a
	return []messenger.Effect{o.logEvent(eventlogger.OrderDecided, a.Target, "model", a.Model, "layers", rangeText(a.Layers), "author", a.Node, "offset", r.Offset)}
}

func (o *Orderer) onOrderFailed(now time.Time, ev OrderFailed) []messenger.Effect {
	if ev.NotSent {
		delete(o.nextOrderAt, ev.Target)
		return []messenger.Effect{o.logEvent(eventlogger.OrderNotSent, ev.Target, "reason", ev.Reason, "fence", ev.Fence)}
	}
	o.nextOrderAt[ev.Target] = now.Add(retryDelay)
	return []messenger.Effect{o.logEvent(eventlogger.OrderEnded, ev.Target, "result", ev.Reason, "fence", ev.Fence)}
}

func (o *Orderer) tick(now time.Time) []messenger.Effect {
	if now.Sub(o.lastDecision) < decideInterval {
		return nil
	}
	o.lastDecision = now
	o.updateRanges(now)
	if !o.lease.IsHolder || !now.Before(o.lease.Until) {
		return nil
	}
	if effects := o.reconcile(now); len(effects) > 0 {
		return effects
	}
	return o.propose(now)
}
