package orderer

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/watcher"
)

// replicas returns the number of usable engines for each range.
func (o *Orderer) replicas() map[modelRange]int {
	counts := map[modelRange]int{}
	for _, e := range o.engines {
		if e.State == watcher.StateUp && e.Status.Layers.Len() > 0 {
			counts[modelRange{e.Status.Model, e.Status.Layers}]++
		}
	}
	return counts
}

// updateRanges records which ranges lack a replica, and since when.
func (o *Orderer) updateRanges(now time.Time) {
	counts := o.replicas()
	for r, n := range counts {
		if o.ranges[r] == nil {
			o.ranges[r] = &replicaHistory{}
		}
		o.ranges[r].maxReplicas = max(o.ranges[r].maxReplicas, n)
	}
	for r, history := range o.ranges {
		switch {
		case counts[r] >= desiredReplicas || history.maxReplicas < desiredReplicas:
			history.lackingSince = time.Time{}
		case history.lackingSince.IsZero():
			history.lackingSince = now
		}
	}
}

// propose assigns a spare engine to the range with the fewest replicas. It proposes one assignment
// at a time, within the weight store's rate. The assignment takes effect when its record is read back.
func (o *Orderer) propose(now time.Time) []messenger.Effect {
	if (o.pendingProposal != "" && now.Before(o.pendingUntil)) || now.Before(o.nextLoadAt) {
		return nil
	}
	r, ok := o.mostUnderReplicated(now)
	if !ok {
		return nil
	}
	spare, ok := o.spare()
	if !ok {
		return nil
	}
	a := Assignment{Target: spare.ID, Model: r.model, Layers: r.layers, Node: o.node, Incarnation: o.incarnation}
	body, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	o.lastSeq++
	o.pendingProposal = fmt.Sprintf("order/%s/%d/%d", o.node, o.incarnation, o.lastSeq)
	o.pendingUntil = now.Add(appendTimeout)
	return []messenger.Effect{messenger.Raise{Event: committer.Append{
		Record: platformcaller.Record{ID: o.pendingProposal, Stream: Stream, Body: body}, Deadline: now.Add(appendTimeout),
	}}}
}

// mostUnderReplicated returns the range with the fewest replicas among those that have lacked one
// for lackingDelay. An assigned spare that is still loading counts as a replica.
func (o *Orderer) mostUnderReplicated(now time.Time) (modelRange, bool) {
	counts := o.replicas()
	for _, e := range o.engines {
		a, ok := o.assignments[e.ID]
		if ok && e.State == watcher.StateUp && !a.isFulfilledBy(e) {
			counts[modelRange{a.Model, a.Layers}]++
		}
	}
	var lacking []modelRange
	for r, history := range o.ranges {
		if !history.lackingSince.IsZero() && now.Sub(history.lackingSince) >= lackingDelay && counts[r] < desiredReplicas {
			lacking = append(lacking, r)
		}
	}
	if len(lacking) == 0 {
		return modelRange{}, false
	}
	sort.Slice(lacking, func(i, j int) bool {
		a, b := lacking[i], lacking[j]
		if counts[a] != counts[b] {
			return counts[a] < counts[b]
		}
		if a.model != b.model {
			return a.model < b.model
		}
		if a.layers.From != b.layers.From {
			return a.layers.From < b.layers.From
		}
		return a.layers.To < b.layers.To
	})
	return lacking[0], true
}

// spare returns the first engine that is up, holds no layers and has no assignment.
func (o *Orderer) spare() (watcher.Target, bool) {
	for _, e := range o.engines {
		_, isAssigned := o.assignments[e.ID]
		if e.State == watcher.StateUp && e.Status.Layers.Len() == 0 && !isAssigned {
			return e, true
		}
	}
	return watcher.Target{}, false
}

// isFulfilledBy reports whether the engine holds its assigned range.
func (a Assignment) isFulfilledBy(e watcher.Target) bool {
	return e.Status.Model == a.Model && e.Status.Layers == a.Layers
}

// reconcile orders the first engine that does not hold its assigned range. It skips engines whose
// current range has fewer than desiredReplicas.
func (o *Orderer) reconcile(now time.Time) []messenger.Effect {
	counts := o.replicas()
	for _, e := range o.engines {
		a, ok := o.assignments[e.ID]
		if !ok || a.isFulfilledBy(e) || e.State != watcher.StateUp || now.Before(o.nextOrderAt[e.ID]) || now.Before(o.nextLoadAt) {
			continue
		}
		if e.Status.Layers.Len() > 0 && counts[modelRange{e.Status.Model, e.Status.Layers}] < desiredReplicas {
			continue
		}
		return o.order(now, e, a)
	}
	return nil
}

func (o *Orderer) order(now time.Time, e watcher.Target, a Assignment) []messenger.Effect {
	o.nextOrderAt[e.ID] = now.Add(retryDelay)
	o.nextLoadAt = now.Add(time.Second * time.Duration(a.Layers.Len()) / time.Duration(o.layersPerSecond))
	o.lastSeq++
	order := enginecaller.Order{
		ID: fmt.Sprintf("%s/%d/%d", o.node, o.incarnation, o.lastSeq), Kind: orderLoad,
		Model: a.Model, Layers: a.Layers, Fence: o.lease.Fence,
	}
	return []messenger.Effect{
		o.logEvent(eventlogger.OrderSent, e.ID, "layers", rangeText(a.Layers), "held", rangeText(e.Status.Layers), "fence", order.Fence),
		SendOrder{Target: e.ID, Address: e.Address, Order: order, Until: o.lease.Until},
	}
}

func (o *Orderer) logEvent(event eventlogger.Event, target identifier.TargetID, values ...any) messenger.Effect {
	return messenger.Log{Event: event, Subject: "target/" + string(target), Values: values}
}

func rangeText(r identifier.LayerRange) string { return fmt.Sprintf("%d-%d", r.From, r.To) }
