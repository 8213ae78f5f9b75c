package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/composer"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	// The users' bound: from limitGrace after a target first named its limit, it gets in limitWindow at most
	// limitFactor times what the limit allows plus limitSlack requests, of nodes that passed such an answer on at
	// least limitKnown before.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitKnown  = 500 * time.Millisecond

	// minUsed is the part of the allowance that must be used while more requests than that arrive.
	minUsed = 0.6
	// maxReuse is the time after the end of a limit within which the target must be used fully again.
	maxReuse = 5 * time.Second
	// maxRefusalTime is how long a request may wait before it is refused because of limits.
	maxRefusalTime = 400 * time.Millisecond

	limitedDraft = identifier.TargetID("draft-a0")
	limitedPlain = identifier.TargetID("ledger-a")
)

// namedRate is a limit that a target names from a time on; negative if it names none.
type namedRate struct {
	from time.Duration
	rate describer.RequestRate
}

// limitScenario is one run of requests against targets that name limits.
type limitScenario struct {
	nodes    int
	duration time.Duration
	// perSecond is the number of requests that arrive per second at all nodes together.
	perSecond float64
	paths     []string
	// pauseEvery is the time between two pauses of all callers, which last as long; zero for none.
	pauseEvery time.Duration
	limits     map[identifier.TargetID][]namedRate
	// refusals is the share of requests that a limited target refuses as not run; its other answers then do not name
	// the limit if isNamedByRefusals is set.
	refusals          float64
	isNamedByRefusals bool
	// breaks is the share of attempts that break after their head has arrived.
	breaks float64
	// malformed is the share of a limited target's answers whose limit cannot be read.
	malformed float64
	// restartEvery and freezeEvery are the times between two restarts and freezes of nodes, zero for none.
	restartEvery time.Duration
	freezeEvery  time.Duration
	// rebalanceEvery and storeEvery are the times between two new assignments of the partition of grants, and between
	// two outages of the store; lostAsks is the share of messages between nodes that are lost.
	rebalanceEvery time.Duration
	storeEvery     time.Duration
	lostAsks       float64
	// toldAfter is how long it takes until a limit that a node notices is known to all others.
	toldAfter time.Duration
	seed      uint64
}

// limitArrival is one request, check or probe at a target.
type limitArrival struct {
	at     time.Duration
	target identifier.TargetID
	// isCounted says that the users' bound counts it: its node knew the limit.
	isCounted bool
}

// limitNode is a node of the simulation; life counts its restarts.
type limitNode struct {
	*composer.Composer
	*limitHolder
	dispatcher  *dispatcher.Dispatcher
	life        int
	frozenUntil time.Duration
}

// limitCall is one request at a node.
type limitCall struct {
	node, life int
	path       string
	arrived    time.Duration
	sends      int
	isServed   bool
	// refusedAfter is how long the request took to be refused, retryAfter the delay that the refusal names.
	isRefused    bool
	refusedAfter time.Duration
	retryAfter   time.Duration
}

// limitSimulation plays nodes and targets in virtual time.
type limitSimulation struct {
	limitScenario
	clock    simulation
	rnd      *rand.Rand
	nodes    []*limitNode
	calls    map[identifier.CallID]*limitCall
	nextCall identifier.CallID
	arrivals []limitArrival
	// known holds, for each target, when a node first passed an answer on that names the limit in force.
	known map[identifier.TargetID]map[int]time.Duration
	// inForce holds, for each rate that a target names in turn, when it must be kept: limitKnown after a node has
	// passed on an answer that names it, unless that node restarts before.
	inForce map[identifier.TargetID]map[time.Duration]time.Duration
	// assigned is the node to which the store has assigned the partition of grants, -1 if none, until when.
	assigned       int
	generation     int
	assignedUntil  time.Duration
	storeDownUntil time.Duration
}

func newLimitSimulation(s limitScenario) *limitSimulation {
	x := &limitSimulation{
		limitScenario: s, clock: simulation{scenario: scenario{duration: s.duration}}, rnd: rand.New(rand.NewPCG(s.seed, 1)),
		calls: map[identifier.CallID]*limitCall{}, known: map[identifier.TargetID]map[int]time.Duration{}, assigned: -1,
		inForce: map[identifier.TargetID]map[time.Duration]time.Duration{},
	}
	for range s.nodes {
		x.nodes = append(x.nodes, x.newNode(0))
	}
	for n := range x.nodes {
		x.tick(n, time.Duration(x.rnd.Int64N(int64(tickInterval))))
		x.renewLease(n, time.Duration(x.rnd.Int64N(int64(leaseInterval))))
	}
	x.arrive()
	x.repeat(s.restartEvery, x.restart)
	x.repeat(s.freezeEvery, x.freeze)
	x.repeat(s.rebalanceEvery, x.rebalance)
	x.repeat(s.storeEvery, x.breakStore)
	return x
}

const tickInterval = 50 * time.Millisecond

// newNode returns a node that knows the configuration and the targets, but no limit.
func (x *limitSimulation) newNode(life int) *limitNode {
	d := dispatcher.NewDispatcher(dispatcher.Config{
		DataCentre: "a", RevocationLimit: revocationLimit, RetryRatio: retryRatio, RetryWindow: retryWindow,
	})
	node := composer.NewControl(registrar.NewRegistrar(heartbeat), d)
	var changes []describer.TargetChange
	for _, t := range targets() {
		changes = append(changes, describer.TargetChange{ID: t.ID, Target: &t.Target})
	}
	now := start.Add(x.clock.now)
	node.Apply(now, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(1, "key"))})
	node.Apply(now, dispatcher.ConfigurationConfirmed{AsOf: now})
	node.Apply(now, registrar.TargetsRead{Changes: changes, IsComplete: true})
	return &limitNode{Composer: node, limitHolder: newLimitHolder(x.clock.now), dispatcher: d, life: life}
}

// repeat does something again and again; zero means never.
func (x *limitSimulation) repeat(every time.Duration, do func()) {
	if every == 0 {
		return
	}
	x.clock.at(x.clock.now+every, func() {
		do()
		x.repeat(every, do)
	})
}

func (x *limitSimulation) tick(node int, at time.Duration) {
	x.clock.at(at, func() {
		x.apply(node, dispatcher.ConfigurationConfirmed{AsOf: start.Add(x.clock.now)}, 0)
		x.apply(node, messenger.Tick{}, 0)
		x.tick(node, at+tickInterval)
	})
}

// arrive lets requests arrive at random times and nodes.
func (x *limitSimulation) arrive() {
	wait := time.Duration(x.rnd.ExpFloat64() / x.perSecond * float64(time.Second))
	x.clock.after(wait, func() {
		if x.pauseEvery > 0 && (x.clock.now/x.pauseEvery)%2 == 1 {
			x.arrive()
			return
		}
		node := x.rnd.IntN(len(x.nodes))
		x.nextCall++
		call := x.nextCall
		path := x.paths[x.rnd.IntN(len(x.paths))]
		x.calls[call] = &limitCall{node: node, life: x.nodes[node].life, path: path, arrived: x.clock.now}
		x.apply(node, dispatcher.RequestArrived{
			Call: call, ID: identifier.RequestID(fmt.Sprint(call)), Host: "h", Path: path, Key: "key",
			Fingerprint: identifier.Fingerprint(1000 + call), Deadline: start.Add(x.clock.now + 20*time.Second), Seed: x.rnd.Uint64(),
		}, call)
		x.arrive()
	})
}

// restart ends a node's process with all its requests; the new one knows no limit.
func (x *limitSimulation) restart() {
	node := x.rnd.IntN(len(x.nodes))
	x.nodes[node] = x.newNode(x.nodes[node].life + 1)
	for _, nodes := range x.known {
		delete(nodes, node)
	}
}

// freeze stops a node for up to two seconds, after which all that it has missed happens at once.
func (x *limitSimulation) freeze() {
	node := x.nodes[x.rnd.IntN(len(x.nodes))]
	node.frozenUntil = x.clock.now + time.Duration(x.rnd.Int64N(int64(2*time.Second)))
}

// apply applies an event at a node and runs the effects. call is the request that the event belongs to, or 0.
func (x *limitSimulation) apply(node int, event messenger.Event, call identifier.CallID) {
	n := x.nodes[node]
	if call != 0 && x.calls[call].life != n.life {
		return
	}
	if x.clock.now < n.frozenUntil {
		x.clock.at(n.frozenUntil, func() { x.apply(node, event, call) })
		return
	}
	if head, ok := event.(limiter.AnswerRead); ok && head.Limit.Kind == describer.Limited && head.Kind != limiter.ReportAnswer {
		x.noteKnown(node, head.Target)
		x.notePassedOn(node, head.Target, head.Limit.Rate)
	}
	for _, effect := range n.Apply(start.Add(x.clock.now), event) {
		x.run(node, effect, call)
	}
}

func (x *limitSimulation) run(node int, effect messenger.Effect, call identifier.CallID) {
	switch e := effect.(type) {
	case dispatcher.Send:
		x.send(node, e)
	case dispatcher.Wait:
		wait := max(e.Until.Sub(start)-x.clock.now, hop)
		x.clock.after(wait, func() {
			if c := x.calls[call]; !c.isServed && !c.isRefused {
				x.apply(node, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, Seed: x.rnd.Uint64()}, call)
			}
		})
	case dispatcher.Refuse:
		c := x.calls[call]
		c.isRefused, c.refusedAfter, c.retryAfter = true, x.clock.now-c.arrived, e.RetryAfter
	case dispatcher.CheckTarget:
		x.grantCheck(node, e)
	case dispatcher.AskGrant:
		x.ask(node, call, e.Limit)
	case dispatcher.ReportLimit:
		x.reportLimit(node, e.Limit)
	case dispatcher.Hold:
		x.clock.at(e.Until.Sub(start), func() { x.apply(node, dispatcher.HoldEnded{Call: call, Seed: x.rnd.Uint64()}, call) })
	}
}

// grantCheck checks a target as soon as its limit allows.
func (x *limitSimulation) grantCheck(node int, e dispatcher.CheckTarget) {
	report, isLimited := x.nodes[node].dispatcher.RequestLimit(start.Add(x.clock.now), e.Target)
	if !isLimited {
		x.check(node, e)
		return
	}
	x.sendAsk(node, report, func(g limiter.Grant, _ bool) {
		if g.IsGranted {
			x.check(node, e)
			return
		}
		x.clock.after(max(retryDelay, time.Duration(g.WaitMS)*time.Millisecond), func() { x.grantCheck(node, e) })
	})
}

// check answers a check of a target, which counts as a request there.
func (x *limitSimulation) check(node int, e dispatcher.CheckTarget) {
	x.countArrival(node, e.Target)
	sent := start.Add(x.clock.now)
	named := x.nameLimit(e.Target)
	x.clock.after(hop, func() {
		x.apply(node, limiter.AnswerRead{Target: e.Target, Kind: limiter.ReportAnswer, Limit: named, SentAt: sent}, 0)
		x.apply(node, dispatcher.TargetChecked{Target: e.Target, Address: e.Address}, 0)
	})
}

// countArrival notes a request, check or probe at a target.
func (x *limitSimulation) countArrival(node int, target identifier.TargetID) {
	since, isLimited := x.limitedSince(target)
	knownAt, isKnown := x.known[target][node]
	x.arrivals = append(x.arrivals, limitArrival{
		at: x.clock.now, target: target,
		isCounted: isLimited && x.clock.now >= since+limitGrace && isKnown && knownAt >= since && x.clock.now >= knownAt+limitKnown &&
			!x.wasFrozen(node),
	})
}

// wasFrozen reports whether a node was frozen shortly before, which excuses it as the users' page says.
func (x *limitSimulation) wasFrozen(node int) bool {
	frozenUntil := x.nodes[node].frozenUntil
	return frozenUntil > 0 && x.clock.now < frozenUntil+limitGrace
}

// limitedSince returns when a target first named the limit that it names now, or one that this has followed.
func (x *limitSimulation) limitedSince(target identifier.TargetID) (time.Duration, bool) {
	since, isLimited := time.Duration(0), false
	for _, r := range x.limits[target] {
		if x.clock.now < r.from {
			break
		}
		if r.rate >= 0 && !isLimited {
			since = r.from
		}
		isLimited = r.rate >= 0
	}
	return since, isLimited
}

// rate returns the limit that a target names at a time.
func (x *limitSimulation) rate(target identifier.TargetID, at time.Duration) (describer.RequestRate, bool) {
	rate := describer.RequestRate(-1)
	for _, r := range x.limits[target] {
		if at >= r.from {
			rate = r.rate
		}
	}
	return rate, rate >= 0
}

// nameLimit returns what an answer of a target says of its limit.
func (x *limitSimulation) nameLimit(target identifier.TargetID) describer.NamedLimit {
	rate, isLimited := x.rate(target, x.clock.now)
	switch {
	case !isLimited:
		return describer.NamedLimit{}
	case x.rnd.Float64() < x.malformed:
		return describer.NamedLimit{Kind: describer.MalformedLimit}
	}
	return describer.NamedLimit{Kind: describer.Limited, Rate: rate}
}

// send hands an attempt to its target, which runs it, refuses it or breaks it off.
func (x *limitSimulation) send(node int, e dispatcher.Send) {
	c := x.calls[e.Call]
	c.sends++
	x.countArrival(node, e.Target)
	sent := start.Add(x.clock.now)
	named := x.nameLimit(e.Target)
	answer := limiter.AnswerRead{Target: e.Target, Limit: named, SentAt: sent}
	if _, isLimited := x.rate(e.Target, x.clock.now); isLimited && x.rnd.Float64() < x.refusals {
		answer.Kind = limiter.RefusalAnswer
		x.answer(node, e.Call, answer, hop, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.NotRun, Status: 503}, 2*hop)
		return
	}
	if x.isNamedByRefusals && named.Kind == describer.Limited {
		answer.Limit = describer.NamedLimit{Kind: describer.MalformedLimit}
	}
	took := 20 * time.Millisecond
	if e.IsStream {
		took = time.Second
	}
	result := dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.Delivered, Status: 200, FirstByte: 10 * time.Millisecond}
	if x.rnd.Float64() < x.breaks {
		result.Outcome = dispatcher.Broken
		took = 30 * time.Millisecond
	}
	x.answer(node, e.Call, answer, 10*time.Millisecond, result, took)
}

// answer gives a node the head of an answer after a while, and later the result of the attempt.
func (x *limitSimulation) answer(
	node int, call identifier.CallID, head limiter.AnswerRead, headAfter time.Duration, result dispatcher.AttemptReported, took time.Duration,
) {
	c := x.calls[call]
	x.clock.after(headAfter, func() {
		if x.nodes[node].life != c.life {
			return
		}
		x.apply(node, head, call)
	})
	x.clock.after(took, func() {
		c.isServed = result.Outcome == dispatcher.Delivered
		result.Seed = x.rnd.Uint64()
		x.apply(node, result, call)
	})
}

func (x *limitSimulation) noteKnown(node int, target identifier.TargetID) {
	if x.known[target] == nil {
		x.known[target] = map[int]time.Duration{}
	}
	since, _ := x.limitedSince(target)
	if at, ok := x.known[target][node]; !ok || at < since {
		x.known[target][node] = x.clock.now
	}
}

// notePassedOn notes that a node passes on an answer that names the rate in force; others are late.
func (x *limitSimulation) notePassedOn(node int, target identifier.TargetID, rate describer.RequestRate) {
	var current namedRate
	for _, r := range x.limits[target] {
		if x.clock.now >= r.from {
			current = r
		}
	}
	if current.rate != rate {
		return
	}
	life := x.nodes[node].life
	x.clock.after(limitKnown, func() {
		if x.inForce[target] == nil {
			x.inForce[target] = map[time.Duration]time.Duration{}
		}
		if _, ok := x.inForce[target][current.from]; !ok && x.nodes[node].life == life {
			x.inForce[target][current.from] = x.clock.now
		}
	})
}

// limitBreach is a window in which a target got more requests than the users' bound allows.
type limitBreach struct {
	target  identifier.TargetID
	from    time.Duration
	got     int
	allowed float64
}

// worst returns the window in which a target got the most requests beyond the users' bound, of nodes that knew its limit.
// A rate that changes within the window counts with its highest value.
func (x *limitSimulation) worst(target identifier.TargetID) limitBreach {
	var counted []time.Duration
	for _, a := range x.arrivals {
		if a.isCounted && a.target == target {
			counted = append(counted, a.at)
		}
	}
	var worst limitBreach
	for first, from := range counted {
		got := 0
		for _, at := range counted[first:] {
			if at >= from+limitWindow {
				break
			}
			got++
		}
		allowed, ok := x.allowed(target, from)
		if ok && (worst.target == "" || float64(got)-allowed > float64(worst.got)-worst.allowed) {
			worst = limitBreach{target: target, from: from, got: got, allowed: allowed}
		}
	}
	return worst
}

// allowed returns how many requests a target may get in the window that begins at a time, if it names a limit all the while.
// The rate before a change counts until the new one is in force.
func (x *limitSimulation) allowed(target identifier.TargetID, from time.Duration) (float64, bool) {
	highest, isLimited := x.rate(target, from)
	for i, r := range x.limits[target] {
		if r.from > from && r.from < from+limitWindow {
			isLimited = isLimited && r.rate >= 0
			highest = max(highest, r.rate)
		}
		inForce, ok := x.inForce[target][r.from]
		if i > 0 && r.from <= from && (!ok || from < inForce) {
			highest = max(highest, x.limits[target][i-1].rate)
		}
	}
	return limitFactor*float64(highest)*limitWindow.Seconds() + limitSlack, isLimited
}

// count returns how many requests a target gets between two times.
func (x *limitSimulation) count(target identifier.TargetID, from, to time.Duration) int {
	n := 0
	for _, a := range x.arrivals {
		if a.target == target && a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

func (x *limitSimulation) check4s(c *qt.C) {
	for target := range x.limits {
		w := x.worst(target)
		c.Check(float64(w.got) <= w.allowed, qt.IsTrue,
			qt.Commentf("%s got %d requests in 4 s from %v on, allowed %.1f (%d nodes)", target, w.got, w.from, w.allowed, len(x.nodes)))
	}
}

func constant(rate describer.RequestRate) []namedRate {
	return []namedRate{{from: 2 * time.Second, rate: rate}}
}

func playLimits(s limitScenario) *limitSimulation {
	x := newLimitSimulation(s)
	x.clock.run()
	return x
}

// TestLimitHoldsForAllNodesTogether guards against a target that names a limit and gets it from each node, of few nodes
// and of many, for limits of many requests a second and of less than one.
func TestLimitHoldsForAllNodesTogether(t *testing.T) {
	for _, nodes := range []int{3, 8, 470} {
		for _, rate := range []describer.RequestRate{0.5, 5.7, 40} {
			t.Run(fmt.Sprintf("%d nodes, %g a second", nodes, rate), func(t *testing.T) {
				c := qt.New(t)
				x := playLimits(limitScenario{
					nodes: nodes, duration: 16 * time.Second, perSecond: max(120, float64(nodes)), paths: []string{"/draft/", "/view/", "/post/"}, seed: 1,
					limits: map[identifier.TargetID][]namedRate{limitedDraft: constant(rate), limitedPlain: constant(rate)},
				})
				x.check4s(c)
				x.checkServed(c, 0.95)
				if rate < 10 {
					// More than that arrives for this target.
					x.checkUse(c, limitedDraft, rate, 8*time.Second, 16*time.Second)
				}
			})
		}
	}
}

// checkUse checks that a target gets at least a part of what its limit allows.
func (x *limitSimulation) checkUse(c *qt.C, target identifier.TargetID, rate describer.RequestRate, from, to time.Duration) {
	got := x.count(target, from, to)
	c.Check(float64(got) >= minUsed*float64(rate)*(to-from).Seconds()-1, qt.IsTrue,
		qt.Commentf("%s got %d requests from %v to %v, its limit is %g a second", target, got, from, to, rate))
}

// checkServed checks that at least a part of the requests is served, and that refusals come at once with a delay.
func (x *limitSimulation) checkServed(c *qt.C, share float64) {
	served, refused := 0, 0
	for _, call := range x.calls {
		if call.isRefused {
			refused++
			if call.sends == 0 {
				c.Check(call.refusedAfter <= maxRefusalTime, qt.IsTrue, qt.Commentf("refused after %v", call.refusedAfter))
				c.Check(call.retryAfter > 0, qt.IsTrue)
			}
		}
		if call.isServed {
			served++
		}
	}
	c.Check(float64(served) >= share*float64(served+refused), qt.IsTrue, qt.Commentf("%d served, %d refused", served, refused))
}

// TestLimitIsFollowedAsItChanges guards against nodes that keep a limit after it has fallen or has ended, or that do not
// use one that has risen.
func TestLimitIsFollowedAsItChanges(t *testing.T) {
	c := qt.New(t)
	rates := []namedRate{
		{2 * time.Second, 12}, {14 * time.Second, 2}, {26 * time.Second, 20}, {38 * time.Second, -1},
	}
	x := playLimits(limitScenario{
		nodes: 8, duration: 50 * time.Second, perSecond: 180, paths: []string{"/draft/", "/view/"}, seed: 2,
		limits: map[identifier.TargetID][]namedRate{limitedDraft: rates, limitedPlain: rates},
	})
	x.check4s(c)
	x.checkUse(c, limitedDraft, 12, 8*time.Second, 14*time.Second)
	x.checkUse(c, limitedDraft, 2, 20*time.Second, 26*time.Second)
	x.checkUse(c, limitedDraft, 20, 30*time.Second, 38*time.Second)
	others := x.count("draft-b0", 38*time.Second+maxReuse, 50*time.Second) + x.count("draft-c0", 38*time.Second+maxReuse, 50*time.Second)
	c.Check(x.count(limitedDraft, 38*time.Second+maxReuse, 50*time.Second) >= others/3, qt.IsTrue, qt.Commentf("the others got %d", others))
}

// TestLimitOfAllTargetsRefusesTheRest guards against requests that wait or are sent although all targets are at their
// limit, and against refusals that waste the allowance.
func TestLimitOfAllTargetsRefusesTheRest(t *testing.T) {
	c := qt.New(t)
	limits := map[identifier.TargetID][]namedRate{}
	for _, dc := range []string{"a", "b", "c"} {
		limits[identifier.TargetID("draft-"+dc+"0")] = constant(4)
		limits[identifier.TargetID("ledger-"+dc)] = constant(4)
	}
	x := playLimits(limitScenario{
		nodes: 8, duration: 20 * time.Second, perSecond: 120, paths: []string{"/draft/", "/view/"}, seed: 3, limits: limits,
	})
	x.check4s(c)
	x.checkServed(c, 0.1)
	for target := range limits {
		x.checkUse(c, target, 4, 8*time.Second, 20*time.Second)
	}
}

// TestLimitNamedByRefusals guards against a limit that is not kept because only refusals name it, and against retries
// and checks that come on top of it.
func TestLimitNamedByRefusals(t *testing.T) {
	c := qt.New(t)
	x := playLimits(limitScenario{
		nodes: 8, duration: 20 * time.Second, perSecond: 120, paths: []string{"/draft/", "/view/", "/post/"}, seed: 4,
		refusals: 0.5, isNamedByRefusals: true, breaks: 0.3,
		limits: map[identifier.TargetID][]namedRate{limitedDraft: constant(3), limitedPlain: constant(3)},
	})
	x.check4s(c)
}

// TestLimitHoldsUnderRandomConditions guards against a limit that is exceeded while nodes restart, freeze and know
// nothing yet, and while the limit changes, ends, comes back or cannot be read.
func TestLimitHoldsUnderRandomConditions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := []namedRate{}
		for at := 2 * time.Second; at < 20*time.Second; at += time.Duration(rapid.IntRange(3000, 12000).Draw(t, "change_ms")) * time.Millisecond {
			rates = append(rates, namedRate{at, describer.RequestRate(rapid.SampledFrom([]float64{-1, 0, 0.2, 0.5, 1, 3, 8, 25}).Draw(t, "rate"))})
		}
		interval := func(name string) time.Duration {
			return time.Duration(rapid.SampledFrom([]int{0, 0, 400, 1500, 5000}).Draw(t, name)) * time.Millisecond
		}
		x := playLimits(limitScenario{
			nodes: rapid.SampledFrom([]int{1, 2, 3, 8, 20}).Draw(t, "nodes"), duration: 24 * time.Second, perSecond: 100,
			paths: []string{"/draft/", "/view/", "/post/", "/once/"}, seed: rapid.Uint64().Draw(t, "seed"),
			refusals: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "refusals"), breaks: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "breaks"),
			malformed: rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "malformed"), restartEvery: interval("restarts"), freezeEvery: interval("freezes"),
			rebalanceEvery: interval("rebalances"), storeEvery: interval("outages"), lostAsks: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "lost"),
			pauseEvery: interval("pauses"),
			toldAfter:  time.Duration(rapid.SampledFrom([]int{5, 300}).Draw(t, "told_ms")) * time.Millisecond,
			limits:     map[identifier.TargetID][]namedRate{limitedDraft: rates, limitedPlain: slices.Clone(rates)},
		})
		for target := range x.limits {
			if w := x.worst(target); float64(w.got) > w.allowed {
				t.Fatalf("%s got %d requests in 4 s from %v on, allowed %.1f", target, w.got, w.from, w.allowed)
			}
		}
	})
}
