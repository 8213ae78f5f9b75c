package chooser

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
)

// refusedGroupFactor multiplies the cost of the targets of which one has refused a continuation, where there is no chain without them.
const refusedGroupFactor = 8.0

// maxRefusedGroups is how many groups are remembered at most; the oldest one is forgotten first.
const maxRefusedGroups = 32

// refusedGroup are the new targets of a continuation that was refused without naming the target at fault.
type refusedGroup struct {
	addresses []string
	until     time.Time
}

// isPartOf reports whether a chain has all targets of the group.
func (g refusedGroup) isPartOf(chain []describer.Stage) bool {
	return !slices.ContainsFunc(g.addresses, func(address string) bool {
		return !slices.ContainsFunc(chain, func(p describer.Stage) bool { return p.Address == address })
	})
}

// AvoidGroup makes the stages of a refused continuation that its former chain does not have a last resort for further continuations until
// the given time. Requests that are not sent yet may still use them: they need less room than one in progress.
func (c *Chooser) AvoidGroup(refused, former []describer.Stage, until time.Time) {
	var addresses []string
	for _, p := range chainer.Without(refused, former) {
		addresses = append(addresses, p.Address)
	}
	if len(addresses) == 0 {
		return
	}
	c.refusedGroups = append(c.refusedGroups, refusedGroup{addresses: addresses, until: until})
	c.refusedGroups = c.refusedGroups[max(0, len(c.refusedGroups)-maxRefusedGroups):]
}

func (c *Chooser) dropRefusedGroups(now time.Time) {
	c.refusedGroups = slices.DeleteFunc(c.refusedGroups, func(g refusedGroup) bool { return !now.Before(g.until) })
}

// isRefused reports whether a target is in a group of which one has lately refused a continuation.
func (c *Chooser) isRefused(now time.Time, address string) bool {
	return slices.ContainsFunc(c.refusedGroups, func(g refusedGroup) bool {
		return now.Before(g.until) && slices.Contains(g.addresses, address)
	})
}

// ContinueFrom returns a chain along which the first target of a running request's chain can continue it. It keeps the sound stages of
// the chain, which have read the prompt, if the others can be replaced alone. Replacements are random, weighted by speed, so that
// the requests of a lost target go different ways. Avoided targets are not among them.
func (c *Chooser) ContinueFrom(now time.Time, id identifier.ServiceID, chain []describer.Stage, seed uint64) (chainer.Chain, bool) {
	return c.findContinuation(now, id, chain, seed, func(chainer.Holder) bool { return true })
}

// ContinueElsewhere is ContinueFrom with none of the later stages of the present chain.
func (c *Chooser) ContinueElsewhere(now time.Time, id identifier.ServiceID, chain []describer.Stage, seed uint64) (chainer.Chain, bool) {
	return c.findContinuation(now, id, chain, seed, func(h chainer.Holder) bool {
		return !slices.ContainsFunc(chain[1:], func(p describer.Stage) bool { return p.Target == h.Target })
	})
}

func (c *Chooser) findContinuation(now time.Time, id identifier.ServiceID, chain []describer.Stage, seed uint64, isUsable func(chainer.Holder) bool) (chainer.Chain, bool) {
	s := c.services[id]
	if s == nil || s.engine == nil || len(chain) == 0 {
		return chainer.Chain{}, false
	}
	first := chain[0].Target
	holders := slices.DeleteFunc(c.holders(s, false), func(h chainer.Holder) bool {
		return h.Target != first && (!isUsable(h) || c.IsAvoided(now, h.Target, h.Address))
	})
	c.randomize(now, holders, seed)
	kept := slices.DeleteFunc(slices.Clone(chain), func(p describer.Stage) bool {
		return !slices.ContainsFunc(holders, func(h chainer.Holder) bool { return h.Target == p.Target })
	})
	if len(kept) == 0 || kept[0].Target != first {
		return chainer.Chain{}, false
	}
	ungrouped := slices.DeleteFunc(slices.Clone(holders), func(h chainer.Holder) bool {
		isKept := slices.ContainsFunc(kept, func(p describer.Stage) bool { return p.Target == h.Target })
		return !isKept && c.isRefused(now, h.Address)
	})
	for _, usable := range [][]chainer.Holder{ungrouped, holders} {
		planner := chainer.NewPlanner(s.engine, usable)
		for _, stages := range [][]describer.Stage{kept, kept[:1]} {
			if found, ok := planner.Continue(stages); ok && !c.isRefusedChain(now, found.Stages, chain) {
				return found, true
			}
		}
	}
	return chainer.Chain{}, false
}

// randomize multiplies the cost of each holder by an exponentially distributed number: of several that could replace a target, each is
// the cheapest one with a probability in proportion to its speed.
func (c *Chooser) randomize(now time.Time, holders []chainer.Holder, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range holders {
		h := &holders[i]
		h.LayerCost *= random.ExpFloat64()
		if c.isRefused(now, h.Address) {
			h.LayerCost *= refusedGroupFactor
		}
	}
}

// isRefusedChain reports whether a continuation would ask a whole group again of which one has lately refused, or changes nothing.
func (c *Chooser) isRefusedChain(now time.Time, found, present []describer.Stage) bool {
	stages := chainer.Without(found, present)
	return len(stages) == 0 || slices.ContainsFunc(c.refusedGroups, func(g refusedGroup) bool {
		return now.Before(g.until) && g.isPartOf(stages)
	})
}
