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
	// decideInterval is the time between two looks at what lacks holders.
	decideInterval = 200 * time.Millisecond
	// gatherTime is how long a node that knows no targets yet waits for all of them.
	gatherTime = 1500 * time.Millisecond
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

// AskKind is the effect that asks a target for its accelerator kind.
type AskKind struct {
	Target  identifier.TargetID
	Address string
}

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
	orders int64
	born   int64
	until  time.Time
}

// Placer is the sub-reducer that orders empty targets to hold layers.
type Placer struct {
	// requests is how many usual requests a target should have room for.
	requests float64

	lease     LeaseChanged
	engines   map[identifier.ServiceID]*describer.Engine
	targets   []registrar.Target
	firstSeen time.Time
	pending   map[identifier.TargetID]pendingOrder
	notUntil  map[identifier.TargetID]time.Time
	decided   time.Time
}

// NewPlacer returns a placer that leaves room for so many usual requests.
func NewPlacer(requests int) *Placer {
	return &Placer{
		requests: float64(requests), engines: map[identifier.ServiceID]*describer.Engine{},
		pending: map[identifier.TargetID]pendingOrder{}, notUntil: map[identifier.TargetID]time.Time{},
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
		if p.firstSeen.IsZero() && len(p.targets) > 0 {
			p.firstSeen = now
		}
		p.settle(now)
	case LeaseChanged:
		return p.leaseChanged(ev)
	case Placed:
		return p.placed(now, ev)
	case messenger.Tick:
		return p.tick(now)
	}
	return nil
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

// settle drops pending orders whose target has begun an order since, or started anew.
func (p *Placer) settle(now time.Time) {
	known := map[identifier.TargetID]registrar.Target{}
	for _, t := range p.targets {
		known[t.ID] = t
	}
	for id, o := range p.pending {
		t, ok := known[id]
		if !ok || t.Born != o.born || len(t.Layers) > 0 || !now.Before(o.until) {
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
		o.until = now.Add(lateTime)
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
	if !p.lease.IsHeld || !now.Before(p.lease.Until) || p.firstSeen.IsZero() || now.Sub(p.firstSeen) < gatherTime {
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
	var effects []messenger.Effect
	pending := map[identifier.TargetID]identifier.LayerRange{}
	for id, o := range p.pending {
		pending[id] = o.layers
	}
	var mine []registrar.Target
	for _, t := range p.targets {
		if t.Service != service || now.Before(p.notUntil[t.ID]) {
			continue
		}
		if t.Kind == "" && !t.IsLeaving {
			p.notUntil[t.ID] = now.Add(unfitPause)
			effects = append(effects, AskKind{Target: t.ID, Address: t.Address})
			continue
		}
		mine = append(mine, t)
	}
	for _, a := range Arrange(engine, mine, pending, p.requests) {
		p.pending[a.Target.ID] = pendingOrder{layers: a.Layers, orders: a.Target.Orders, born: a.Target.Born, until: now.Add(lateTime)}
		effects = append(effects, Place{
			Target: a.Target.ID, Address: a.Target.Address, Orders: a.Target.Orders,
			Layers: a.Layers, Fence: p.lease.Fence, Until: p.lease.Until,
		}, messenger.Log{
			Event: eventlogger.PlacementOrdered, Subject: "target/" + string(a.Target.ID),
			Values: []any{"from", a.Layers.From, "to", a.Layers.To, "fence", p.lease.Fence, "orders", a.Target.Orders, "kind", a.Target.Kind},
		})
	}
	return effects
}
