package dispatcher

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// chainsPerCentre is how many chains are kept ready in each data centre at most.
	chainsPerCentre = 8
	// replanInterval is the least time between two plans that nothing urgent asks for.
	replanInterval = 100 * time.Millisecond
	// foreignFactor is how much more a chain of another data centre must offer.
	foreignFactor = 1.3
	// fullRoom is the room from which on a chain counts as roomy.
	fullRoom = 100.0
	// closingFactor is how much dearer a leaving target is.
	closingFactor = 4.0
	// crossingFactor is by how much each change of the data centre adds to a chain's load.
	crossingFactor = 1.0
	// usualFirst is the time to a first event from which on a chain counts as loaded.
	usualFirst = 120 * time.Millisecond
	// firstShare is the weight of the newest time to a first event, forgetFirst the time in which an old one halves.
	firstShare  = 0.25
	forgetFirst = 2 * time.Second
	maxHalvings = 10
	// errorCost is what a target's share of failures adds to its expected time.
	errorCost = 500 * time.Millisecond
	// foreignCost is what another data centre adds to a plain target's expected time.
	foreignCost = 2 * time.Millisecond
	// newestShare is the weight of the newest answer in a target's averages.
	newestShare = 0.15
	// trialShare is one request in so many that goes to a target by chance, so that a slow one can recover.
	trialShare = 24
)

// service is what is known of the targets of one service.
type service struct {
	engine  *describer.Engine
	targets []registrar.Target
	chains  []chainer.Chain
	planned time.Time
	isStale bool
	budget  *budget
}

// record is what the node's own requests have shown of a target.
type record struct {
	open   int
	took   time.Duration
	failed float64
	// first is the time to the first event of the chains that begin here, as of firstAt.
	first   time.Duration
	firstAt time.Time
}

// learnFirst takes in the time to a first event.
func (r *record) learnFirst(now time.Time, first time.Duration) {
	r.first = r.expectFirst(now)
	r.first += time.Duration(firstShare * float64(first-r.first))
	r.firstAt = now
}

// expectFirst returns the expected time to the first event; what was seen long ago counts little.
func (r *record) expectFirst(now time.Time) time.Duration {
	age := now.Sub(r.firstAt)
	if age > forgetFirst*maxHalvings {
		return 0
	}
	return time.Duration(float64(r.first) * math.Exp2(-float64(age)/float64(forgetFirst)))
}

func (r *record) learn(took time.Duration, hasFailed bool) {
	share := 0.0
	if hasFailed {
		share = 1
	}
	r.failed += newestShare * (share - r.failed)
	if took > 0 {
		r.took += time.Duration(newestShare * float64(took-r.took))
	}
}

// plan makes the chains of an engine's service anew.
func (d *Dispatcher) plan(now time.Time, s *service) messenger.Effect {
	s.planned, s.isStale = now, false
	holders := d.holders(s, false)
	s.chains = chainer.NewPlanner(s.engine, holders).Plan(chainsPerCentre)
	if len(s.chains) == 0 {
		// A way over targets in doubt is better than none.
		holders = d.holders(s, true)
		s.chains = chainer.NewPlanner(s.engine, holders).Plan(chainsPerCentre)
	}
	var chains []string
	for _, c := range s.chains {
		chains = append(chains, c.String())
	}
	return messenger.Log{
		Event: eventlogger.ChainsPlanned, Subject: "chains/" + string(s.engine.Model),
		Values: []any{"holders", len(holders), "chains", strings.Join(chains, "; ")},
	}
}

// holders returns the targets that may be parts of chains, also those in doubt if so asked.
func (d *Dispatcher) holders(s *service, isDoubtful bool) []chainer.Holder {
	var holders []chainer.Holder
	for _, t := range s.targets {
		if (t.IsLeaving && !t.IsClosing) || (t.IsDoubted && !isDoubtful) || t.Layers.Len() == 0 {
			continue
		}
		accelerator := s.engine.Kinds[t.Kind]
		factor := accelerator.StepFactor
		if factor == 0 {
			factor = 1
		}
		if t.IsClosing {
			factor *= closingFactor
		}
		holders = append(holders, chainer.Holder{
			Target: t.ID, Address: t.Address, DataCentre: t.DataCentre, Layers: t.Layers,
			LayerCost:     factor * milliseconds(s.engine.StepTime) / float64(s.engine.Layers),
			FreeMegabytes: max(0, accelerator.Megabytes-float64(t.Layers.Len())*s.engine.LayerMegabytes),
		})
	}
	return holders
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// refresh plans anew where targets have changed since the last plan.
func (d *Dispatcher) refresh(now time.Time, s *service) []messenger.Effect {
	if s.engine == nil || !s.isStale || (now.Sub(s.planned) < replanInterval && len(s.chains) > 0) {
		return nil
	}
	return []messenger.Effect{d.plan(now, s)}
}

// chooseChain returns the chain with the least load for its room and speed, nil when there is
// none. A node of many sees few requests of its own: of chains that it does not use it
// takes one by chance, so that all nodes together load each by its weight.
func (d *Dispatcher) chooseChain(now time.Time, s *service, seed uint64, avoid func(chainer.Chain) bool) *chainer.Chain {
	var best *chainer.Chain
	least := math.Inf(1)
	for i := range s.chains {
		c := &s.chains[i]
		if avoid(*c) {
			continue
		}
		chance := rand.New(rand.NewPCG(seed, uint64(i))).ExpFloat64()
		if cost := d.chainCost(now, c, chance); cost < least {
			best, least = c, cost
		}
	}
	return best
}

// isAvoided reports whether a chain leads over a target that is to be avoided for now.
func (d *Dispatcher) isAvoided(now time.Time, chain []describer.Part) bool {
	if len(d.avoided) == 0 {
		return false
	}
	return slices.ContainsFunc(chain, func(p describer.Part) bool { return now.Before(d.avoided[p.Address]) })
}

// chainCost returns the load of a chain for its weight, with chance in place of one more request.
func (d *Dispatcher) chainCost(now time.Time, c *chainer.Chain, chance float64) float64 {
	open := 0
	for _, p := range c.Parts {
		open = max(open, d.record(p.Target).open)
	}
	weight := min(c.Room, fullRoom) / c.StepCost
	cost := (float64(open) + chance) / max(weight, math.SmallestNonzeroFloat64)
	if c.DataCentre != d.cfg.DataCentre {
		cost *= foreignFactor
	}
	first := d.record(c.Parts[0].Target).expectFirst(now)
	return cost * (1 + crossingFactor*float64(c.Crossings)) * max(1, float64(first)/float64(usualFirst))
}

// chooseTarget returns the target of a plain service with the least expected time.
func (d *Dispatcher) chooseTarget(s *service, avoid []identifier.TargetID, seed uint64) *registrar.Target {
	var usable []*registrar.Target
	for i := range s.targets {
		t := &s.targets[i]
		if !t.IsLeaving && !t.IsDoubted && !slices.Contains(avoid, t.ID) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	if seed%trialShare == 0 {
		return usable[(seed/trialShare)%uint64(len(usable))]
	}
	return slices.MinFunc(usable, func(a, b *registrar.Target) int {
		return int(d.targetCost(a) - d.targetCost(b))
	})
}

func (d *Dispatcher) targetCost(t *registrar.Target) time.Duration {
	r := d.record(t.ID)
	busy := 1 + float64(r.open)/float64(max(1, t.Slots))
	cost := time.Duration(busy*float64(max(r.took, time.Millisecond)) + r.failed*float64(errorCost))
	if t.DataCentre != d.cfg.DataCentre {
		cost += foreignCost
	}
	return cost
}
