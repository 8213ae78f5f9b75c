package placer

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	// settleTime is how long an order's effect may take to show in the target's entry.
	settleTime = 6 * time.Second
	// lateTime is how long an order that got no answer may still be carried out.
	lateTime = 13 * time.Second
	// unfitPause is the pause after an order that did not fit the target's state.
	unfitPause = 1500 * time.Millisecond
	// unansweredPause is the pause after a target did not answer for its state.
	unansweredPause = 2 * time.Second
	// decideInterval is the time between two looks at what lacks holders.
	decideInterval = 200 * time.Millisecond
	// toldTime is how long a target's answer for its state is relied on.
	toldTime = 3 * time.Second
	// askPause is the time for which an answer is waited for before the target is asked again.
	askPause = 600 * time.Millisecond
	// gatherTime is how long no further target must have come before the first placement, and
	// gatherLimit how long that may take.
	gatherTime  = 1600 * time.Millisecond
	gatherLimit = 6 * time.Second
)

// LeaseChanged tells whether this node may give orders: until the instant Until, under Fence.
type LeaseChanged struct {
	IsHeld bool
	Fence  identifier.FencingNumber
	Until  time.Time
}

// Place is the effect that orders a target to hold a range.
type Place struct {
	Target identifier.TargetID
	// Address of the target, and the orders it has begun.
	Address string
	Orders  int64
	Layers  identifier.LayerRange
	Fence   identifier.FencingNumber
	// Until is when the lease ends: the order must not be sent later.
	Until time.Time
}

// AskState is the effect that asks a target for its state before it is given an order.
type AskState struct {
	Target  identifier.TargetID
	Address string
}

// StateTold is the event that a target answered for its state.
type StateTold struct {
	Target identifier.TargetID
	Report describer.Report
}

// Unanswered is the event that a target did not answer for its state.
type Unanswered struct{ Target identifier.TargetID }

// Answer tells how an order ended.
type Answer int

// Answers to an order.
const (
	Taken Answer = iota
	NotSent
	Unfit
	Fenced
	Unknown
)

// Placed is the event that an order was answered, or never will be.
type Placed struct {
	Target identifier.TargetID
	Answer Answer
	Reason string
}

// TableChanged is the event that another version of the configuration is in force.
type TableChanged struct{ Table *router.Table }

type pendingOrder struct {
	layers identifier.LayerRange
	born   int64
	until  time.Time
	// isUnknown says that no answer came: the order may be carried out late.
	isUnknown bool
}

// told is a target's answer for its state.
type told struct {
	askedAt time.Time
	at      time.Time
	report  describer.Report
}

// Placer is the sub-reducer that orders targets to hold layers.
type Placer struct {
	lease   LeaseChanged
	engines map[identifier.ServiceID]*describer.Engine
	targets []registrar.Target
	// firstSeen and grown are when the first target, and the most targets so far, were seen.
	firstSeen time.Time
	grown     time.Time
	most      int
	pending   map[identifier.TargetID]pendingOrder
	told      map[identifier.TargetID]told
	notUntil  map[identifier.TargetID]time.Time
	decided   time.Time
}

// NewPlacer returns a placer that knows no targets.
func NewPlacer() *Placer {
	return &Placer{
		engines: map[identifier.ServiceID]*describer.Engine{},
		pending: map[identifier.TargetID]pendingOrder{}, told: map[identifier.TargetID]told{}, notUntil: map[identifier.TargetID]time.Time{},
	}
}

// Apply takes one event and returns what to do.
func (p *Placer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case TableChanged:
		clear(p.engines)
		for id, s := range ev.Table.Services {
			if s.Engine != nil {
				p.engines[id] = s.Engine
			}
		}
	case registrar.TargetsChanged:
		p.targets = ev.Targets
		p.gather(now, len(ev.Targets))
		p.settle(now)
	case StateTold:
		t := p.told[ev.Target]
		t.at, t.report = now, ev.Report
		p.told[ev.Target] = t
	case Unanswered:
		p.notUntil[ev.Target] = now.Add(unansweredPause)
	case LeaseChanged:
		return p.leaseChanged(ev)
	case Placed:
		return p.placed(now, ev)
	case messenger.Tick:
		return p.tick(now)
	}
	return nil
}

// Lease returns whether the node gives orders at an instant, and under which fencing number.
func (p *Placer) Lease(now time.Time) (bool, identifier.FencingNumber) {
	return p.lease.IsHeld && now.Before(p.lease.Until), p.lease.Fence
}

func (p *Placer) leaseChanged(ev LeaseChanged) []messenger.Effect {
	was := p.lease
	p.lease = ev
	if was.IsHeld == ev.IsHeld {
		return nil
	}
	event := eventlogger.LostLease
	if ev.IsHeld {
		event = eventlogger.HoldingLease
	}
	return []messenger.Effect{messenger.Log{Event: event, Subject: "lease/orders", Values: []any{"fence", ev.Fence, "former_fence", was.Fence}}}
}

// gather notes when the number of targets last grew.
func (p *Placer) gather(now time.Time, n int) {
	if n <= p.most {
		return
	}
	if p.most == 0 {
		p.firstSeen = now
	}
	p.most, p.grown = n, now
}

// isGathered reports whether the targets are known well enough for a first placement.
func (p *Placer) isGathered(now time.Time) bool {
	if p.most == 0 {
		return false
	}
	for _, t := range p.targets {
		if t.Layers.Len() > 0 {
			return now.Sub(p.firstSeen) >= gatherTime
		}
	}
	return now.Sub(p.grown) >= gatherTime || now.Sub(p.firstSeen) >= gatherLimit
}

// settle drops pending orders whose target has begun an order since, or started anew.
func (p *Placer) settle(now time.Time) {
	known := map[identifier.TargetID]registrar.Target{}
	for _, t := range p.targets {
		known[t.ID] = t
	}
	for id, o := range p.pending {
		t, ok := known[id]
		if !ok || t.Born != o.born || (t.Layers == o.layers && !o.isUnknown) || !now.Before(o.until) {
			delete(p.pending, id)
		}
	}
}

func (p *Placer) placed(now time.Time, ev Placed) []messenger.Effect {
	o, ok := p.pending[ev.Target]
	if !ok {
		return nil
	}
	switch ev.Answer {
	case Taken:
		o.until = now.Add(settleTime)
		p.pending[ev.Target] = o
	case Unknown:
		o.until, o.isUnknown = now.Add(lateTime), true
		p.pending[ev.Target] = o
	case NotSent, Unfit:
		delete(p.pending, ev.Target)
		p.notUntil[ev.Target] = now.Add(unfitPause)
	case Fenced:
		delete(p.pending, ev.Target)
		p.lease.IsHeld = false
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.PlacementAnswered, Subject: "target/" + string(ev.Target),
		Values: []any{"answer", int(ev.Answer), "reason", ev.Reason, "from", o.layers.From, "to", o.layers.To},
	}}
}

func (p *Placer) tick(now time.Time) []messenger.Effect {
	if now.Sub(p.decided) < decideInterval {
		return nil
	}
	p.decided = now
	if !p.lease.IsHeld || !now.Before(p.lease.Until) || !p.isGathered(now) {
		return nil
	}
	p.settle(now)
	var effects []messenger.Effect
	for service, engine := range p.engines {
		effects = append(effects, p.order(now, service, engine)...)
	}
	return effects
}

func (p *Placer) order(now time.Time, service identifier.ServiceID, engine *describer.Engine) []messenger.Effect {
	pending := map[identifier.TargetID]identifier.LayerRange{}
	for id, o := range p.pending {
		pending[id] = o.layers
	}
	var effects []messenger.Effect
	for _, a := range Arrange(engine, p.candidates(now, service), pending) {
		state, ok := p.state(now, a.Target)
		if !ok {
			effects = append(effects, p.ask(now, a.Target)...)
			continue
		}
		orders := state.Orders
		delete(p.told, a.Target.ID)
		p.pending[a.Target.ID] = pendingOrder{layers: a.Layers, born: a.Target.Born, until: now.Add(lateTime)}
		effects = append(effects, Place{
			Target: a.Target.ID, Address: a.Target.Address, Orders: orders,
			Layers: a.Layers, Fence: p.lease.Fence, Until: p.lease.Until,
		}, messenger.Log{
			Event: eventlogger.PlacementOrdered, Subject: "target/" + string(a.Target.ID),
			Values: []any{"from", a.Layers.From, "to", a.Layers.To, "held_from", a.Target.Layers.From, "held_to", a.Target.Layers.To, "fence", p.lease.Fence, "orders", orders, "kind", a.Target.Kind},
		})
	}
	return effects
}

// candidates returns the targets of a service without the empty ones that take no order for now.
func (p *Placer) candidates(now time.Time, service identifier.ServiceID) []registrar.Target {
	var out []registrar.Target
	for _, t := range p.targets {
		_, isPending := p.pending[t.ID]
		isHeldUp := t.Layers.Len() == 0 && !isPending && (t.IsDoubted || now.Before(p.notUntil[t.ID]))
		if t.Service == service && !isHeldUp {
			out = append(out, t)
		}
	}
	return out
}

// state returns a target's recent answer for its state, if that is what its entry says.
func (p *Placer) state(now time.Time, t registrar.Target) (describer.Report, bool) {
	state, ok := p.told[t.ID]
	if !ok || now.Sub(state.at) >= toldTime || state.report.IsBusy || state.report.Layers != t.Layers {
		return describer.Report{}, false
	}
	return state.report, true
}

// ask asks a target for its state, unless an answer is waited for.
func (p *Placer) ask(now time.Time, t registrar.Target) []messenger.Effect {
	state := p.told[t.ID]
	if now.Sub(state.askedAt) < askPause || now.Before(p.notUntil[t.ID]) {
		return nil
	}
	state.askedAt = now
	p.told[t.ID] = state
	return []messenger.Effect{AskState{Target: t.ID, Address: t.Address}}
}
