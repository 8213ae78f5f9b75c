package chooser

import (
	"maps"
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
)

// plan makes the chains of an engine's service anew.
func (c *Chooser) plan(now time.Time, s *service) messenger.Effect {
	s.planned, s.isStale = now, false
	holders := c.holders(s, false)
	s.chains = chainer.NewPlanner(s.engine, holders).Plan(chainsPerCentre)
	if len(s.chains) == 0 {
		// A way over targets in doubt is better than none.
		holders = c.holders(s, true)
		s.chains = chainer.NewPlanner(s.engine, holders).Plan(chainsPerCentre)
	}
	var chains []string
	for _, chain := range s.chains {
		chains = append(chains, chain.String())
	}
	return messenger.Log{
		Event: eventlogger.ChainsPlanned, Subject: "chains/" + string(s.engine.Model),
		Values: []any{"holders", len(holders), "chains", strings.Join(chains, "; ")},
	}
}

// holders returns the targets that may be parts of chains, also those in doubt if so asked.
func (c *Chooser) holders(s *service, isDoubtful bool) []chainer.Holder {
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

// Refresh plans anew where targets have changed since the last plan.
func (c *Chooser) Refresh(now time.Time, id identifier.ServiceID) []messenger.Effect {
	s := c.services[id]
	if s == nil || s.engine == nil || !s.isStale || (now.Sub(s.planned) < replanInterval && len(s.chains) > 0) {
		return nil
	}
	return []messenger.Effect{c.plan(now, s)}
}

// Chain returns the chain with the least load for its room and speed, nil when there is
// none: one that does not begin at a target tried before, else one over no target that is to
// be avoided, else any. A node of many sees few requests of its own: of chains that it does
// not use it takes one by chance, so that all nodes together load each by its weight.
func (c *Chooser) Chain(now time.Time, id identifier.ServiceID, seed uint64, tried []identifier.TargetID) *chainer.Chain {
	s := c.services[id]
	if s == nil {
		return nil
	}
	isAvoided := func(chain chainer.Chain) bool { return c.isAvoided(now, chain.Parts) }
	for _, isExcluded := range []func(chainer.Chain) bool{
		func(chain chainer.Chain) bool {
			return slices.Contains(tried, chain.Parts[0].Target) || isAvoided(chain)
		},
		isAvoided,
		func(chainer.Chain) bool { return false },
	} {
		if best := c.cheapest(now, s, seed, isExcluded); best != nil {
			return best
		}
	}
	return nil
}

func (c *Chooser) cheapest(now time.Time, s *service, seed uint64, isExcluded func(chainer.Chain) bool) *chainer.Chain {
	var best *chainer.Chain
	least := math.Inf(1)
	for i := range s.chains {
		chain := &s.chains[i]
		if isExcluded(*chain) {
			continue
		}
		chance := rand.New(rand.NewPCG(seed, uint64(i))).ExpFloat64()
		if cost := c.chainCost(now, chain, chance); cost < least {
			best, least = chain, cost
		}
	}
	return best
}

// HasOtherChain reports whether a chain is known that is not to be avoided.
func (c *Chooser) HasOtherChain(now time.Time, id identifier.ServiceID) bool {
	s := c.services[id]
	return s != nil && slices.ContainsFunc(s.chains, func(chain chainer.Chain) bool { return !c.isAvoided(now, chain.Parts) })
}

// Continue returns a chain that begins with a part and leads over no target in doubt.
func (c *Chooser) Continue(id identifier.ServiceID, first describer.Part) (chainer.Chain, bool) {
	s := c.services[id]
	if s == nil || s.engine == nil {
		return chainer.Chain{}, false
	}
	return chainer.NewPlanner(s.engine, c.holders(s, false)).Continue(first)
}

// isAvoided reports whether a chain leads over a target that is to be avoided for now.
func (c *Chooser) isAvoided(now time.Time, chain []describer.Part) bool {
	if len(c.avoided) == 0 {
		return false
	}
	return slices.ContainsFunc(chain, func(p describer.Part) bool { return now.Before(c.avoided[p.Address]) })
}

// chainCost returns the load of a chain for its weight, with chance in place of one more request.
func (c *Chooser) chainCost(now time.Time, chain *chainer.Chain, chance float64) float64 {
	open := 0
	for _, p := range chain.Parts {
		open = max(open, c.record(p.Target).open)
	}
	weight := min(chain.Room, fullRoom) / chain.StepCost
	cost := (float64(open) + chance) / max(weight, math.SmallestNonzeroFloat64)
	if chain.DataCentre != c.dataCentre {
		cost *= foreignFactor
	}
	first := c.record(chain.Parts[0].Target).expectFirst(now)
	return cost * (1 + crossingFactor*float64(chain.Crossings)) * max(1, float64(first)/float64(usualFirst))
}

// Chains describes the chains that are planned.
func (c *Chooser) Chains() []describer.ChainStatus {
	out := []describer.ChainStatus{}
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		for _, chain := range c.services[id].chains {
			status := describer.ChainStatus{
				Service: id, DataCentre: chain.DataCentre, Crossings: chain.Crossings, StepMS: chain.StepCost, Room: chain.Room,
			}
			for _, p := range chain.Parts {
				status.Targets = append(status.Targets, p.Target)
				status.Layers = append(status.Layers, p.Layers)
				status.Open = max(status.Open, c.record(p.Target).open)
			}
			out = append(out, status)
		}
	}
	return out
}
