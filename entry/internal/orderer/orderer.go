// Package orderer decides the orders to engines: a layer range that lost its last but
// one replica gets a spare, and an engine that holds something else than it was
// assigned is ordered again. Only the holder of the lease orders.
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
	// settleTime is how long a range must lack a replica before a spare is ordered.
	settleTime = 500 * time.Millisecond
	// wantedReplicas is the number of replicas that a range is brought back to.
	wantedReplicas = 2
	// retryAfter is the pause after an order before the same engine gets another.
	retryAfter    = 3 * time.Second
	appendTimeout = time.Second
)

// coverage names a layer range of a model.
type coverage struct {
	model  identifier.ModelID
	layers identifier.LayerRange
}

// lack is what is known of a range's replicas.
type lack struct {
	most  int
	since time.Time
}

// Orderer is the sub-reducer of orders.
type Orderer struct {
	node        identifier.NodeID
	incarnation identifier.Incarnation
	// layersPerSecond is the weight store's rate.
	layersPerSecond int

	chain       leaser.Chain
	lease       leaser.Changed
	engines     []watcher.Target
	assignments map[identifier.TargetID]Assignment
	ranges      map[coverage]*lack
	notUntil    map[identifier.TargetID]time.Time
	// proposed is the record of an assignment whose place in the log is not known yet.
	proposed      string
	proposedUntil time.Time
	// loadNext is when the weight store can serve another load.
	loadNext time.Time
	decided  time.Time
	count    int
}

// NewOrderer returns an orderer for the node; loads are spaced by the weight store's rate.
func NewOrderer(node identifier.NodeID, incarnation identifier.Incarnation, layersPerSecond int) *Orderer {
	return &Orderer{
		node: node, incarnation: incarnation, layersPerSecond: layersPerSecond,
		assignments: map[identifier.TargetID]Assignment{}, ranges: map[coverage]*lack{}, notUntil: map[identifier.TargetID]time.Time{},
	}
}

// Apply takes one event and returns what to do.
func (o *Orderer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case tailer.RecordSeen:
		return o.seen(ev.Record)
	case tailer.GapFound:
		o.chain.Skip(ev.To)
	case committer.Lost:
		if ev.NotSent && ev.ID == o.proposed {
			o.proposed = ""
		}
	case leaser.Changed:
		o.lease = ev
	case watcher.TargetsChanged:
		o.engines = enginesOf(ev.Targets)
	case OrderDone:
		return []messenger.Effect{o.explain(eventlogger.OrderEnded, ev.Target, "result", "done", "fence", ev.Fence)}
	case OrderFailed:
		return o.failed(now, ev)
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

// seen follows the grants and takes the assignments of whoever held the lease.
func (o *Orderer) seen(r platformcaller.Record) []messenger.Effect {
	o.chain.Apply(r)
	if r.Stream != Stream {
		return nil
	}
	if r.ID == o.proposed {
		o.proposed = ""
	}
	var a Assignment
	if json.Unmarshal(r.Body, &a) != nil {
		return nil
	}
	if a.Node != o.chain.Holder.Node || a.Incarnation != o.chain.Holder.Incarnation {
		return []messenger.Effect{o.explain(eventlogger.OrderNotSent, a.Target, "reason", "its author no longer held the lease", "author", a.Node, "offset", r.Offset)}
	}
	o.assignments[a.Target] = a
	return []messenger.Effect{o.explain(eventlogger.OrderDecided, a.Target, "model", a.Model, "layers", rangeText(a.Layers), "author", a.Node, "offset", r.Offset)}
}

func (o *Orderer) failed(now time.Time, ev OrderFailed) []messenger.Effect {
	if ev.NotSent {
		delete(o.notUntil, ev.Target)
		return []messenger.Effect{o.explain(eventlogger.OrderNotSent, ev.Target, "reason", ev.Reason, "fence", ev.Fence)}
	}
	o.notUntil[ev.Target] = now.Add(retryAfter)
	return []messenger.Effect{o.explain(eventlogger.OrderEnded, ev.Target, "result", ev.Reason, "fence", ev.Fence)}
}

func (o *Orderer) tick(now time.Time) []messenger.Effect {
	if now.Sub(o.decided) < decideInterval {
		return nil
	}
	o.decided = now
	o.survey(now)
	if !o.lease.Mine || !now.Before(o.lease.Until) {
		return nil
	}
	if effects := o.reconcile(now); len(effects) > 0 {
		return effects
	}
	return o.propose(now)
}
