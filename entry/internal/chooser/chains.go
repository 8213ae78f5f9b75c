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
	"fuchsiabridge.example/entry/internal/weigher"
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
	c.weigh(s)
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
		if !includeEjected && (t.IsEjected || c.IsSuspected(t.ID)) {
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

// Chain returns the chain for a request with a prompt, nil if there is none: while there are recent load reports, a random one by the weights of the
// chains, else the one with the lowest load relative to its capacity and speed. It prefers chains that don't begin at a
// target tried before and include no avoided target, of these the ones that may read the prompt now, then chains without avoided targets,
// then any chain, but none that begins at a target that is shut. Each of many nodes sees
// few of the requests, so the choice among chains that the node does not use is random,
// weighted so that all nodes together load each chain by its weight.
func (c *Chooser) Chain(now time.Time, id identifier.ServiceID, seed uint64, tried []identifier.TargetID, prompt weigher.Prompt) *chainer.Chain {
	s := c.services[id]
	if s == nil {
		return nil
	}
	weights := c.weights(now, s)
	isAvoided := func(i int) bool { return c.isWithheld(now, s.chains[i].Stages, seed) }
	isExcluded := func(i int) bool { return slices.Contains(tried, s.chains[i].Stages[0].Target) || isAvoided(i) }
	mayNotRead := func(i int) bool { return weights != nil && !c.weigher.MayRead(now, s.weighed, i, prompt) }
	for _, isLeftOut := range []func(i int) bool{
		func(i int) bool { return isExcluded(i) || mayNotRead(i) },
		isExcluded,
		isAvoided,
		func(int) bool { return false },
	} {
		i := c.cheapest(now, s, seed, weights, isLeftOut)
		if i < 0 {
			continue
		}
		if weights != nil {
			c.weigher.Read(now, s.weighed, i, prompt)
		}
		return &s.chains[i]
	}
	return nil
}

// cheapest returns the index of the chain with the lowest cost, -1 if there is none. A random cost, divided by the weight, is lowest with a
// probability in proportion to the weight.
func (c *Chooser) cheapest(now time.Time, s *service, seed uint64, weights []float64, isLeftOut func(i int) bool) int {
	best, lowest := -1, math.Inf(1)
	for i := range s.chains {
		chain := &s.chains[i]
		if isLeftOut(i) || c.IsShut(now, chain.Stages[0].Target) {
			continue
		}
		jitter := rand.New(rand.NewPCG(seed, uint64(i))).ExpFloat64()
		cost := 0.0
		if weights != nil {
			cost = jitter / max(weights[i], math.SmallestNonzeroFloat64)
		} else {
			cost = c.chainCost(now, chain, jitter)
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// HasOtherChain reports whether there is a chain without avoided targets that may get requests.
func (c *Chooser) HasOtherChain(now time.Time, id identifier.ServiceID) bool {
	s := c.services[id]
	return s != nil && slices.ContainsFunc(s.chains, func(chain chainer.Chain) bool {
		return !c.isAvoided(now, chain.Stages) && !c.IsShut(now, chain.Stages[0].Target)
	})
}

// isAvoided reports whether a chain includes a target that is avoided for now.
func (c *Chooser) isAvoided(now time.Time, chain []describer.Stage) bool {
	return slices.ContainsFunc(chain, func(p describer.Stage) bool { return c.IsAvoided(now, p.Target, p.Address) })
}

// isWithheld reports whether a chain includes a target that one request, with a random seed, avoids.
func (c *Chooser) isWithheld(now time.Time, chain []describer.Stage, seed uint64) bool {
	return c.isAvoided(now, chain) || slices.ContainsFunc(chain, func(p describer.Stage) bool { return c.IsWithheld(now, p.Target, seed) })
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
	for _, s := range c.services {
		for target, address := range c.openFirsts(now, s) {
			use(target, address)
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
