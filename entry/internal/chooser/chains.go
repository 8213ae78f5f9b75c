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

// plan recomputes the chains of a service with an engine.
func (c *Chooser) plan(now time.Time, s *service) messenger.Effect {
	s.plannedAt, s.isStale = now, false
	holders := c.holders(s, false)
	s.chains = chainer.NewPlanner(s.engine, holders).Plan(maxChainsPerDataCentre)
	s.isLastResort = len(s.chains) == 0
	if s.isLastResort {
		// A chain with ejected or suspected targets is better than no chain.
		holders = c.holders(s, true)
		s.chains = chainer.NewPlanner(s.engine, holders).Plan(maxChainsPerDataCentre)
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

// holders returns the targets that can be stages of chains, with includeEjected also the ejected and suspected ones.
func (c *Chooser) holders(s *service, includeEjected bool) []chainer.Holder {
	var holders []chainer.Holder
	for _, t := range s.targets {
		if (t.IsLeaving && !t.IsClosing) || t.Layers.Len() == 0 || !s.engine.Includes(t.Layers) {
			continue
		}
		if !includeEjected && (t.IsEjected || c.isSuspected(t.ID)) {
			continue
		}
		accelerator := s.engine.Kinds[t.Kind]
		factor := accelerator.StepFactor
		if factor == 0 {
			factor = 1
		}
		if t.IsClosing {
			factor *= leavingFactor
		}
		factor *= c.paceOf(t.ID)
		holders = append(holders, chainer.Holder{
			Target: t.ID, Address: t.Address, DataCentre: t.DataCentre, Layers: t.Layers,
			LayerCost:     factor * milliseconds(s.engine.StepTime) / float64(s.engine.Layers),
			FreeMegabytes: max(0, accelerator.Megabytes-float64(t.Layers.Len())*s.engine.LayerMegabytes),
		})
	}
	return holders
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Replan recomputes the chains of a service if its targets have changed since the last plan,
// at most once per replanInterval.
func (c *Chooser) Replan(now time.Time, id identifier.ServiceID) []messenger.Effect {
	s := c.services[id]
	if s == nil || s.engine == nil || !s.isStale || (now.Sub(s.plannedAt) < replanInterval && len(s.chains) > 0) {
		return nil
	}
	return []messenger.Effect{c.plan(now, s)}
}

// ReplanFor is Replan for a service that no request asks for now, or for all services if it is empty.
func (c *Chooser) ReplanFor(now time.Time, id identifier.ServiceID) []messenger.Effect {
	if id != "" {
		return c.Replan(now, id)
	}
	var effects []messenger.Effect
	for _, known := range slices.Sorted(maps.Keys(c.services)) {
		effects = append(effects, c.Replan(now, known)...)
	}
	return effects
}

// Chain returns the chain with the lowest load relative to its capacity and speed, nil if
// there is none. It prefers chains that don't begin at a target tried before and include no
// avoided target, then chains without avoided targets, then any chain, but none that begins at a
// target that is shut. Each of many nodes sees
// few of the requests, so the choice among chains that the node does not use is random,
// weighted so that all nodes together load each chain by its weight.
func (c *Chooser) Chain(now time.Time, id identifier.ServiceID, seed uint64, tried []identifier.TargetID) *chainer.Chain {
	s := c.services[id]
	if s == nil {
		return nil
	}
	isAvoided := func(chain chainer.Chain) bool { return c.isAvoided(now, chain.Stages) }
	for _, isExcluded := range []func(chainer.Chain) bool{
		func(chain chainer.Chain) bool {
			return slices.Contains(tried, chain.Stages[0].Target) || isAvoided(chain)
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
	lowest := math.Inf(1)
	for i := range s.chains {
		chain := &s.chains[i]
		if isExcluded(*chain) || c.isShut(now, chain.Stages[0].Target) {
			continue
		}
		jitter := rand.New(rand.NewPCG(seed, uint64(i))).ExpFloat64()
		if cost := c.chainCost(now, chain, jitter); cost < lowest {
			best, lowest = chain, cost
		}
	}
	return best
}

// HasOtherChain reports whether there is a chain without avoided targets that may get requests.
func (c *Chooser) HasOtherChain(now time.Time, id identifier.ServiceID) bool {
	s := c.services[id]
	return s != nil && slices.ContainsFunc(s.chains, func(chain chainer.Chain) bool {
		return !c.isAvoided(now, chain.Stages) && !c.isShut(now, chain.Stages[0].Target)
	})
}

// ContinueFrom returns a chain that begins with the given stage and includes no ejected targets, and no avoided ones if
// there is one without these.
func (c *Chooser) ContinueFrom(now time.Time, id identifier.ServiceID, first describer.Stage) (chainer.Chain, bool) {
	s := c.services[id]
	if s == nil || s.engine == nil {
		return chainer.Chain{}, false
	}
	holders := c.holders(s, false)
	free := slices.DeleteFunc(slices.Clone(holders), func(h chainer.Holder) bool {
		return h.Address != first.Address && now.Before(c.avoided[h.Address])
	})
	if chain, ok := chainer.NewPlanner(s.engine, free).ContinueFrom(first); ok {
		return chain, true
	}
	return chainer.NewPlanner(s.engine, holders).ContinueFrom(first)
}

// isAvoided reports whether a chain includes a target that is avoided for now.
func (c *Chooser) isAvoided(now time.Time, chain []describer.Stage) bool {
	if len(c.avoided) == 0 {
		return false
	}
	return slices.ContainsFunc(chain, func(p describer.Stage) bool { return now.Before(c.avoided[p.Address]) })
}

// chainCost returns the load of a chain relative to its weight, with a random value in place
// of the request to be sent. Remote chains, hops and slow first events increase it.
func (c *Chooser) chainCost(now time.Time, chain *chainer.Chain, jitter float64) float64 {
	openRequests := 0
	for _, p := range chain.Stages {
		openRequests = max(openRequests, c.statsOf(p.Target).open)
	}
	weight := min(chain.Capacity, ampleCapacity) / chain.StepCost
	cost := (float64(openRequests) + jitter) / max(weight, math.SmallestNonzeroFloat64)
	if chain.DataCentre != c.dataCentre {
		cost *= remoteFactor
	}
	first := c.statsOf(chain.Stages[0].Target).expectedFirstEvent(now)
	return cost * (1 + hopFactor*float64(chain.Hops)) * max(1, float64(first)/float64(typicalFirstEvent))
}

// FirstTargets calls use with the first target of each planned chain that wants requests now, once for each.
func (c *Chooser) FirstTargets(now time.Time, use func(target identifier.TargetID, address string)) {
	seen := map[identifier.TargetID]bool{}
	for _, s := range c.services {
		for _, chain := range s.chains {
			first := chain.Stages[0]
			if !seen[first.Target] && !c.isShut(now, first.Target) {
				seen[first.Target] = true
				use(first.Target, first.Address)
			}
		}
	}
}

// Chains returns the status of the planned chains.
func (c *Chooser) Chains() []describer.ChainStatus {
	out := []describer.ChainStatus{}
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		for _, chain := range c.services[id].chains {
			status := describer.ChainStatus{
				Service: id, DataCentre: chain.DataCentre, Hops: chain.Hops, StepMS: chain.StepCost, Capacity: chain.Capacity,
			}
			for _, p := range chain.Stages {
				status.Targets = append(status.Targets, p.Target)
				status.Layers = append(status.Layers, p.Layers)
				status.Open = max(status.Open, c.statsOf(p.Target).open)
			}
			out = append(out, status)
		}
	}
	return out
}
