// Package placer decides which layers of a model each target is ordered to load and hold.
package placer

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/arranger"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	// settleTimeout is how long the effect of an accepted order may take to show in the target's entry.
	settleTimeout = 6 * time.Second
	// lateOrderWindow is how long an order that was not answered may still be executed.
	lateOrderWindow = 13 * time.Second
	// conflictBackoff is the backoff after an order that was not sent or did not match the target's state.
	conflictBackoff = 1500 * time.Millisecond
	// unansweredBackoff is the backoff after a target did not answer a state query.
	unansweredBackoff = 2 * time.Second
	// decideInterval is the time between two checks of which layers targets should be ordered to hold.
	decideInterval = 200 * time.Millisecond
	// reportMaxAge is how long a target's reported state may be used.
	reportMaxAge = 3 * time.Second
	// queryRetryInterval is how long an answer is awaited before the target is queried again.
	queryRetryInterval = 600 * time.Millisecond
	// discoveryWindow is the time without a further target that must pass before the first
	// placement, discoveryTimeout the longest wait for that.
	discoveryWindow  = 1600 * time.Millisecond
	discoveryTimeout = 6 * time.Second
)

// LeaseChanged is the event that the node's lease has changed. While it is held, the node may
// give orders with the fencing token Fence before the time Until.
type LeaseChanged struct {
	IsHeld bool
	Fence  identifier.FencingToken
	Until  time.Time
}

// SendOrder is the effect that orders a target to hold a range of layers.
type SendOrder struct {
	Target  identifier.TargetID
	Address string
	// Orders is the number of orders that the target has begun. The target refuses the order if
	// that number has changed.
	Orders int64
	Layers identifier.LayerRange
	Fence  identifier.FencingToken
	// Until is when the lease ends: the order must not be sent after that.
	Until time.Time
}

// QueryState is the effect that queries a target's state before it is given an order.
type QueryState struct {
	Target  identifier.TargetID
	Address string
}

// StateReported is the event that a target reported its state.
type StateReported struct {
	Target identifier.TargetID
	Report describer.Report
}

// StateUnanswered is the event that a target did not answer a state query.
type StateUnanswered struct{ Target identifier.TargetID }

// OrderResult is the result of an order.
type OrderResult int

// Results of an order.
const (
	// Accepted: the target accepted the order.
	Accepted OrderResult = iota
	// NotSent: the order did not reach the target.
	NotSent
	// Mismatched: the order did not match the target's state.
	Mismatched
	// Fenced: the target has seen a higher fencing token.
	Fenced
	// Unknown: no answer came, the order may be executed late.
	Unknown
)

// OrderAnswered is the event that an order was answered, or that no answer will come.
type OrderAnswered struct {
	Target identifier.TargetID
	Result OrderResult
	Reason string
}

// ConfigurationChanged is the event that a new version of the configuration is in force.
type ConfigurationChanged struct{ Table *router.Table }

type pendingOrder struct {
	layers      identifier.LayerRange
	incarnation int64
	expiresAt   time.Time
	// mayRunLate is set if no answer came: the order may be executed late.
	mayRunLate bool
}

// stateReport is a target's answer to a state query; queriedAt is when the last query was sent.
type stateReport struct {
	queriedAt  time.Time
	reportedAt time.Time
	report     describer.Report
}

// Placer is the reducer for the orders that tell targets which layers to hold.
type Placer struct {
	lease   LeaseChanged
	engines map[identifier.ServiceID]*describer.Engine
	targets []registrar.Target
	// firstSeen is when the first target was seen, lastGrowth when maxTargets, the largest
	// number of targets so far, was reached.
	firstSeen    time.Time
	lastGrowth   time.Time
	maxTargets   int
	pending      map[identifier.TargetID]pendingOrder
	reports      map[identifier.TargetID]stateReport
	backoffUntil map[identifier.TargetID]time.Time
	queue        queue
	decidedAt    time.Time
}

// NewPlacer returns a placer without targets.
func NewPlacer() *Placer {
	return &Placer{
		engines: map[identifier.ServiceID]*describer.Engine{}, queue: newQueue(),
		pending: map[identifier.TargetID]pendingOrder{}, reports: map[identifier.TargetID]stateReport{}, backoffUntil: map[identifier.TargetID]time.Time{},
	}
}

// Apply applies one event and returns the resulting effects.
func (p *Placer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case ConfigurationChanged:
		clear(p.engines)
		for id, s := range ev.Table.Services {
			if s.Engine != nil {
				p.engines[id] = s.Engine
			}
		}
	case registrar.TargetsChanged:
		p.targets = ev.Targets
		p.noteTargetCount(now, len(ev.Targets))
		p.dropSettledOrders(now)
	case StateReported:
		t := p.reports[ev.Target]
		t.reportedAt, t.report = now, ev.Report
		p.reports[ev.Target] = t
		return p.orderQueued(now, ev.Target)
	case StateUnanswered:
		p.backoffUntil[ev.Target] = now.Add(unansweredBackoff)
		delete(p.queue.queried, ev.Target)
	case LeaseChanged:
		return p.leaseChanged(ev)
	case OrderAnswered:
		return p.orderAnswered(now, ev)
	case messenger.Tick:
		return p.tick(now)
	}
	return nil
}

// Lease reports whether the node may give orders at the given time, and returns the fencing token.
func (p *Placer) Lease(now time.Time) (bool, identifier.FencingToken) {
	return p.mayOrder(now), p.lease.Fence
}

func (p *Placer) leaseChanged(ev LeaseChanged) []messenger.Effect {
	previous := p.lease
	p.lease = ev
	if previous.IsHeld == ev.IsHeld {
		return nil
	}
	event := eventlogger.LeaseLost
	if ev.IsHeld {
		event = eventlogger.LeaseAcquired
	}
	return []messenger.Effect{messenger.Log{Event: event, Subject: "lease/orders", Values: []any{"fence", ev.Fence, "former_fence", previous.Fence}}}
}

// noteTargetCount records when the number of targets last reached a new maximum.
func (p *Placer) noteTargetCount(now time.Time, n int) {
	if n <= p.maxTargets {
		return
	}
	if p.maxTargets == 0 {
		p.firstSeen = now
	}
	p.maxTargets, p.lastGrowth = n, now
}

// isDiscoveryDone reports whether enough targets are known for a first placement. If one of
// them holds layers already, discoveryWindow after the first target is enough.
func (p *Placer) isDiscoveryDone(now time.Time) bool {
	if p.maxTargets == 0 {
		return false
	}
	for _, t := range p.targets {
		if t.Layers.Len() > 0 {
			return now.Sub(p.firstSeen) >= discoveryWindow
		}
	}
	return now.Sub(p.lastGrowth) >= discoveryWindow || now.Sub(p.firstSeen) >= discoveryTimeout
}

// dropSettledOrders drops pending orders that show in the target's entry, have expired, or
// whose target has restarted or is gone. An order without an answer is kept until it expires,
// because it may still be executed late.
func (p *Placer) dropSettledOrders(now time.Time) {
	known := map[identifier.TargetID]registrar.Target{}
	for _, t := range p.targets {
		known[t.ID] = t
	}
	p.queue.keep(known)
	for id, o := range p.pending {
		t, ok := known[id]
		if !ok || t.Incarnation != o.incarnation || (t.Layers == o.layers && !o.mayRunLate) || !now.Before(o.expiresAt) {
			delete(p.pending, id)
		}
	}
}

func (p *Placer) orderAnswered(now time.Time, ev OrderAnswered) []messenger.Effect {
	o, ok := p.pending[ev.Target]
	if !ok {
		return nil
	}
	switch ev.Result {
	case Accepted:
		o.expiresAt = now.Add(settleTimeout)
		p.pending[ev.Target] = o
	case Unknown:
		o.expiresAt, o.mayRunLate = now.Add(lateOrderWindow), true
		p.pending[ev.Target] = o
	case NotSent, Mismatched:
		delete(p.pending, ev.Target)
		p.backoffUntil[ev.Target] = now.Add(conflictBackoff)
	case Fenced:
		delete(p.pending, ev.Target)
		p.lease.IsHeld = false
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.PlacementOrderAnswered, Subject: "target/" + string(ev.Target),
		Values: []any{"answer", int(ev.Result), "reason", ev.Reason, "from", o.layers.From, "to", o.layers.To},
	}}
}

func (p *Placer) tick(now time.Time) []messenger.Effect {
	if now.Sub(p.decidedAt) < decideInterval {
		return nil
	}
	p.decidedAt = now
	if !p.mayOrder(now) {
		p.queue.clear()
		return nil
	}
	if !p.isDiscoveryDone(now) {
		return nil
	}
	p.dropSettledOrders(now)
	var effects []messenger.Effect
	for service, engine := range p.engines {
		effects = append(effects, p.orderAssignments(now, service, engine)...)
	}
	return append(effects, p.advanceQueue(now)...)
}

// mayOrder reports whether the node holds the lease.
func (p *Placer) mayOrder(now time.Time) bool { return p.lease.IsHeld && now.Before(p.lease.Until) }

// orderAssignments orders targets to hold the layers that they are assigned. Empty targets are queued. Others are queried first if
// their states were not reported recently, and ordered only if the next decision still assigns them the same.
func (p *Placer) orderAssignments(now time.Time, service identifier.ServiceID, engine *describer.Engine) []messenger.Effect {
	pending := map[identifier.TargetID]identifier.LayerRange{}
	for id, o := range p.pending {
		pending[id] = o.layers
	}
	p.queue.addTo(pending)
	var effects []messenger.Effect
	for _, a := range arranger.Arrange(engine, p.candidates(now, service, engine), pending) {
		if a.Target.Layers.Len() == 0 {
			p.queue.waiting = append(p.queue.waiting, a)
			continue
		}
		state, ok := p.reportedState(now, a.Target)
		if !ok {
			effects = append(effects, p.queryState(now, a.Target)...)
			continue
		}
		effects = append(effects, p.order(now, a, state.Orders)...)
	}
	return effects
}

// order orders a target that has begun the given number of orders.
func (p *Placer) order(now time.Time, a arranger.Assignment, orders int64) []messenger.Effect {
	delete(p.reports, a.Target.ID)
	p.pending[a.Target.ID] = pendingOrder{layers: a.Layers, incarnation: a.Target.Incarnation, expiresAt: now.Add(lateOrderWindow)}
	return []messenger.Effect{
		SendOrder{
			Target: a.Target.ID, Address: a.Target.Address, Orders: orders,
			Layers: a.Layers, Fence: p.lease.Fence, Until: p.lease.Until,
		},
		messenger.Log{
			Event: eventlogger.PlacementOrderSent, Subject: "target/" + string(a.Target.ID),
			Values: []any{"from", a.Layers.From, "to", a.Layers.To, "held_from", a.Target.Layers.From, "held_to", a.Target.Layers.To, "fence", p.lease.Fence, "orders", orders, "kind", a.Target.Kind},
		},
	}
}

// candidates returns the targets of a service, except for those that name layers which its model lacks, and for empty ones that are
// ejected or backed off.
func (p *Placer) candidates(now time.Time, service identifier.ServiceID, engine *describer.Engine) []registrar.Target {
	var out []registrar.Target
	for _, t := range p.targets {
		_, isPending := p.pending[t.ID]
		isBackedOff := t.Layers.Len() == 0 && !isPending && (t.IsEjected || now.Before(p.backoffUntil[t.ID]))
		if t.Service == service && engine.Includes(t.Layers) && !isBackedOff {
			out = append(out, t)
		}
	}
	return out
}

// reportedState returns a target's recently reported state, if the target is not busy and the report matches its entry.
func (p *Placer) reportedState(now time.Time, t registrar.Target) (describer.Report, bool) {
	state, ok := p.reports[t.ID]
	if !ok || now.Sub(state.reportedAt) >= reportMaxAge || state.report.IsBusy || !isOf(t, state.report) {
		return describer.Report{}, false
	}
	return state.report, true
}

// isOf reports whether a report can be that of a target as its entry shows it. Another target may have taken over the address.
func isOf(t registrar.Target, r describer.Report) bool {
	isOther := r.Incarnation != 0 && r.Incarnation != t.Incarnation
	return !isOther && r.Kind == t.Kind && r.Layers == t.Layers
}

// queryState queries a target's state, unless an answer is pending or the target is backed off.
func (p *Placer) queryState(now time.Time, t registrar.Target) []messenger.Effect {
	state := p.reports[t.ID]
	if now.Sub(state.queriedAt) < queryRetryInterval || now.Before(p.backoffUntil[t.ID]) {
		return nil
	}
	state.queriedAt = now
	p.reports[t.ID] = state
	return []messenger.Effect{QueryState{Target: t.ID, Address: t.Address}}
}
