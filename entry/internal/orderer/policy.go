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

// replicas counts the engines that can be given work, for each range.
func (o *Orderer) replicas() map[coverage]int {
	counts := map[coverage]int{}
	for _, e := range o.engines {
		if e.State == watcher.StateUp && e.Status.Layers.Len() > 0 {
			counts[coverage{e.Status.Model, e.Status.Layers}]++
		}
	}
	return counts
}

// survey notes which ranges lack a replica, and since when.
func (o *Orderer) survey(now time.Time) {
	counts := o.replicas()
	for c, n := range counts {
		if o.ranges[c] == nil {
			o.ranges[c] = &lack{}
		}
		o.ranges[c].most = max(o.ranges[c].most, n)
	}
	for c, l := range o.ranges {
		switch {
		case counts[c] >= wantedReplicas || l.most < wantedReplicas:
			l.since = time.Time{}
		case l.since.IsZero():
			l.since = now
		}
	}
}

// propose assigns a spare to the range that lacks replicas most, one at a time and
// within the weight store's rate. It takes effect once its record is read back.
func (o *Orderer) propose(now time.Time) []messenger.Effect {
	if (o.proposed != "" && now.Before(o.proposedUntil)) || now.Before(o.loadNext) {
		return nil
	}
	c, ok := o.neediest(now)
	if !ok {
		return nil
	}
	spare, ok := o.spare()
	if !ok {
		return nil
	}
	a := Assignment{Target: spare.ID, Model: c.model, Layers: c.layers, Node: o.node, Incarnation: o.incarnation}
	body, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	o.count++
	o.proposed = fmt.Sprintf("order/%s/%d/%d", o.node, o.incarnation, o.count)
	o.proposedUntil = now.Add(appendTimeout)
	return []messenger.Effect{messenger.Raise{Event: committer.Append{
		Record: platformcaller.Record{ID: o.proposed, Stream: Stream, Body: body}, Deadline: now.Add(appendTimeout),
	}}}
}

// neediest returns the range with the fewest replicas of those that lack one for long
// enough; a spare that is on its way counts as a replica.
func (o *Orderer) neediest(now time.Time) (coverage, bool) {
	counts := o.replicas()
	for _, e := range o.engines {
		a, ok := o.assignments[e.ID]
		if ok && e.State == watcher.StateUp && !a.isHeld(e) {
			counts[coverage{a.Model, a.Layers}]++
		}
	}
	var lacking []coverage
	for c, l := range o.ranges {
		if !l.since.IsZero() && now.Sub(l.since) >= settleTime && counts[c] < wantedReplicas {
			lacking = append(lacking, c)
		}
	}
	if len(lacking) == 0 {
		return coverage{}, false
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

// spare returns the first engine that is up, holds no layers and has no assignment to fulfil.
func (o *Orderer) spare() (watcher.Target, bool) {
	for _, e := range o.engines {
		_, isAssigned := o.assignments[e.ID]
		if e.State == watcher.StateUp && e.Status.Layers.Len() == 0 && !isAssigned {
			return e, true
		}
	}
	return watcher.Target{}, false
}

// isHeld reports whether the engine holds what it was assigned.
func (a Assignment) isHeld(e watcher.Target) bool {
	return e.Status.Model == a.Model && e.Status.Layers == a.Layers
}

// reconcile orders engines that do not hold what they were assigned, unless that
// would take a range's last replica.
func (o *Orderer) reconcile(now time.Time) []messenger.Effect {
	counts := o.replicas()
	for _, e := range o.engines {
		a, ok := o.assignments[e.ID]
		if !ok || a.isHeld(e) || e.State != watcher.StateUp || now.Before(o.notUntil[e.ID]) || now.Before(o.loadNext) {
			continue
		}
		if e.Status.Layers.Len() > 0 && counts[coverage{e.Status.Model, e.Status.Layers}] < wantedReplicas {
			continue
		}
		return o.order(now, e, a)
	}
	return nil
}

func (o *Orderer) order(now time.Time, e watcher.Target, a Assignment) []messenger.Effect {
	o.notUntil[e.ID] = now.Add(retryAfter)
	o.loadNext = now.Add(time.Second * time.Duration(a.Layers.Len()) / time.Duration(o.layersPerSecond))
	o.count++
	order := enginecaller.Order{
		ID: fmt.Sprintf("%s/%d/%d", o.node, o.incarnation, o.count), Kind: orderLoad,
		Model: a.Model, Layers: a.Layers, Fence: o.lease.Fence,
	}
	return []messenger.Effect{
		o.explain(eventlogger.OrderSent, e.ID, "layers", rangeText(a.Layers), "held", rangeText(e.Status.Layers), "fence", order.Fence),
		SendOrder{Target: e.ID, Address: e.Address, Order: order, Until: o.lease.Until},
	}
}

func (o *Orderer) explain(event eventlogger.Event, target identifier.TargetID, values ...any) messenger.Effect {
	return messenger.Log{Event: event, Subject: "target/" + string(target), Values: values}
}

func rangeText(r identifier.LayerRange) string { return fmt.Sprintf("%d-%d", r.From, r.To) }
