package shedder_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/shedder"
)

// The simulated fleet: nodes, the first targets with their slots, and streams of streamTime on average.
const (
	nodeCount, targetCount, slots = 40, 8, 100
	capacity                      = targetCount * slots
	streamTime                    = 3 * time.Second
	step                          = 10 * time.Millisecond
	objective                     = 500 * time.Millisecond
	timeout                       = 8 * time.Second
	patience                      = 2 * time.Second
	tellInterval                  = 500 * time.Millisecond
	groups, ranks                 = 4, 3
)

// capacityRate is the number of streams that the targets serve in a second.
const capacityRate = float64(capacity) / (float64(streamTime) / float64(time.Second))

var start = time.Unix(1_000_000, 0)

// demand is what callers send at a time, relative to the capacity.
type demand struct {
	load func(at time.Duration) float64
	// vary changes the node, the account or the rank of a request, which are random, all the same.
	vary func(r *rand.Rand, c *caller)
	// isSilent says that a node's reader does not answer at a time.
	isSilent func(node int, at time.Duration) bool
	// memory limits the requests of a target to fewer than its slots, which makes it reject the others.
	memory int
}

// caller is one request with its state.
type caller struct {
	shedder.Request
	call identifier.CallID
	node int
	// arrived to endsAt are times since the start.
	arrived, asksAt, sentAt, endsAt time.Duration
	urgency                         shedder.Rank
	priority                        shedder.Priority
}

// target runs requests up to its slots, the others wait in the order of their priorities.
type target struct{ running, waiting []*caller }

// result counts the requests of a second of arrival.
type result struct{ arrived, admitted, inTime, shed int }

// fleet is the simulation.
type fleet struct {
	demand
	random   *rand.Rand
	nodes    [nodeCount]*shedder.Shedder
	targets  [targetCount]target
	asking   []*caller
	next     identifier.CallID
	seconds  [60]result
	started  [60]int
	byRank   [ranks]result
	accounts map[identifier.AccountID]*result
	byNode   [nodeCount]result
	maxOpen  int
	longest  time.Duration
}

func newFleet(d demand) *fleet {
	f := &fleet{demand: d, random: rand.New(rand.NewPCG(1, 2)), accounts: map[identifier.AccountID]*result{}}
	for i := range f.nodes {
		f.nodes[i] = shedder.NewShedder()
	}
	return f
}

func (f *fleet) run(duration time.Duration) *fleet {
	for at := time.Duration(0); at < duration; at += step {
		if at%tellInterval == 0 {
			f.tellShares(at)
		}
		for expected := f.load(at) * capacityRate * step.Seconds(); expected > f.random.Float64(); expected-- {
			f.arrive(at)
		}
		due := f.asking
		f.asking = nil
		for _, c := range due {
			f.ask(at, c)
		}
		for i := range f.targets {
			f.work(at, &f.targets[i])
		}
	}
	return f
}

func (f *fleet) tellShares(at time.Duration) {
	for g := range groups {
		demands := map[identifier.NodeID]float64{}
		for i := g; i < nodeCount; i += groups {
			demands[identifier.NodeID(rune(i))] = f.nodes[i].Demand(start.Add(at))
		}
		parts := shedder.Divide(float64(capacity)*float64(len(demands))/nodeCount, demands)
		for i := g; i < nodeCount; i += groups {
			if f.isSilent == nil || !f.isSilent(i, at) {
				f.nodes[i].SetShare(start.Add(at), parts[identifier.NodeID(rune(i))]/capacity)
			}
		}
	}
}

func (f *fleet) arrive(at time.Duration) {
	f.next++
	r := f.random
	c := &caller{call: f.next, node: r.IntN(nodeCount), arrived: at, asksAt: at, Request: shedder.Request{
		Service: "s", Account: identifier.AccountID(rune('a' + r.IntN(200))), Rank: shedder.Rank(r.IntN(ranks)), Ranks: ranks, Bytes: 4000, Objective: objective, Deadline: start.Add(at + timeout), Seed: r.Uint64(),
	}}
	if f.vary != nil {
		f.vary(r, c)
	}
	f.count(c, func(r *result) { r.arrived++ })
	f.asking = append(f.asking, c)
}

func (f *fleet) count(c *caller, change func(*result)) {
	if f.accounts[c.Account] == nil {
		f.accounts[c.Account] = &result{}
	}
	for _, r := range []*result{&f.seconds[c.arrived/time.Second], &f.byRank[c.Rank], f.accounts[c.Account], &f.byNode[c.node]} {
		change(r)
	}
}

func (f *fleet) ask(at time.Duration, c *caller) {
	if at < c.asksAt {
		f.asking = append(f.asking, c)
		return
	}
	v := f.nodes[c.node].Ask(start.Add(at), c.call, c.Request, capacity)
	f.maxOpen, c.urgency = max(f.maxOpen, v.Open), v.Urgency
	switch v.Outcome {
	case shedder.Waits:
		c.asksAt = v.Until.Sub(start)
		f.asking = append(f.asking, c)
	case shedder.Shed:
		f.count(c, func(r *result) { r.shed++ })
		f.longest = max(f.longest, at-c.arrived)
	case shedder.Admitted:
		f.count(c, func(r *result) { r.admitted++ })
		f.send(at, c)
	}
}

// send sends a request to the emptier one of two targets.
func (f *fleet) send(at time.Duration, c *caller) {
	t, other := &f.targets[f.random.IntN(targetCount)], &f.targets[f.random.IntN(targetCount)]
	if len(other.running)+len(other.waiting) < len(t.running)+len(t.waiting) {
		t = other
	}
	c.sentAt = at
	c.priority = f.nodes[c.node].Priority(shedder.Waiting{Rank: c.urgency, Route: "r", Waited: at - c.arrived, Objective: objective})
	if f.memory > 0 && len(t.running)+len(t.waiting) >= f.memory {
		f.nodes[c.node].Rejected(start.Add(at), "s")
		f.leave(at, c, false)
		return
	}
	t.waiting = append(t.waiting, c)
}

func (f *fleet) leave(at time.Duration, c *caller, isComplete bool) bool {
	f.nodes[c.node].Leave(start.Add(at), c.call, isComplete)
	return true
}

func (f *fleet) work(at time.Duration, t *target) {
	t.running = slices.DeleteFunc(t.running, func(c *caller) bool { return at >= c.endsAt && f.leave(at, c, true) })
	t.waiting = slices.DeleteFunc(t.waiting, func(c *caller) bool { return at-c.sentAt > patience && f.leave(at, c, false) })
	for len(t.running) < slots && len(t.waiting) > 0 {
		first := 0
		for i, c := range t.waiting {
			if c.priority < t.waiting[first].priority {
				first = i
			}
		}
		c := t.waiting[first]
		t.waiting = slices.Delete(t.waiting, first, first+1)
		c.endsAt = at + streamTime/2 + time.Duration(f.random.Int64N(int64(streamTime)))
		t.running = append(t.running, c)
		if at-c.arrived <= objective {
			f.count(c, func(r *result) { r.inTime++ })
			f.started[int(at/time.Second)]++
		}
	}
}
