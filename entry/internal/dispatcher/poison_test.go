package dispatcher_test

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/composer"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

const (
	// Limits of the promise: sends later than detectionLimit after the third crash, at most maxLateSends.
	detectionLimit = 3 * time.Second
	maxLateSends   = 3

	heartbeat = 1200 * time.Millisecond
	// entryLifetime is how long the entry of a target that no longer writes it is kept.
	entryLifetime = 3 * heartbeat
	dialTimeout   = 400 * time.Millisecond
	hop           = time.Millisecond
	slowRun       = 75 * time.Millisecond

	poison   identifier.Fingerprint = 7
	innocent identifier.Fingerprint = 8
)

// crashMode is how the end of a target that runs the poison request shows at the node.
type crashMode string

const (
	beforeFirstByte  crashMode = "connection reset before the first byte"
	afterFirstEvent  crashMode = "connection reset after the first event"
	silence          crashMode = "silence"
	afterCallerLeft  crashMode = "after the caller left"
	lastStageOfChain crashMode = "the last stage of the chain crashes"
	// The target runs the request for slowRun before it crashes.
	afterSecondSend   crashMode = "connection reset after the request was sent to a second target"
	longAfterCallLeft crashMode = "some time after the caller left"
)

// scenario is one run of a poison request against a few nodes.
type scenario struct {
	mode crashMode
	path string
	// interval is the time between two arrivals of the request, which go to the nodes in turn.
	interval time.Duration
	// burst arrivals follow each other by interval, then none comes for pause.
	burst int
	pause time.Duration
	nodes int
	// viewDelay is the time from a change of an entry to when the nodes read it, viewOutage from when on they read nothing.
	viewDelay  time.Duration
	viewOutage time.Duration
	// reportDelay is how long a report of crashes takes to reach the other nodes.
	reportDelay time.Duration
	// downtime is how long a crashed target is away; it returns with a new id, or with keepsID a new incarnation.
	downtime time.Duration
	keepsID  bool
	// isKnownFirst makes an ordinary request meet the crashed target before the broken attempt is reported.
	isKnownFirst bool
	duration     time.Duration
	// breaksOthers makes a crash break the attempts of other requests at the target.
	breaksOthers bool
	// rejectedEvery makes every n-th run of the poison request end with an error answer instead of a crash, if it is not zero.
	rejectedEvery int
}

func defaults(mode crashMode, path string) scenario {
	return scenario{
		mode: mode, path: path, interval: 700 * time.Millisecond, nodes: 3, viewDelay: 300 * time.Millisecond, reportDelay: 300 * time.Millisecond,
		downtime: 2 * time.Second, duration: 30 * time.Second,
	}
}

// simTarget is one incarnation of a target.
type simTarget struct {
	describer.Target
	isDown   bool
	isSilent bool
	crashed  time.Duration
}

// simCall is one request at a node.
type simCall struct {
	node        int
	fingerprint identifier.Fingerprint
	isPoison    bool
	target      *simTarget
	deadline    time.Duration
	sent        time.Duration
	status      int
	reason      string
	hasEnded    bool
	attempt     int
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation plays nodes, targets and the store in virtual time.
type simulation struct {
	scenario
	now       time.Duration
	queue     simQueue
	seq       int
	nodes     []*composer.Composer
	targets   []*simTarget
	calls     map[identifier.CallID]*simCall
	nextCall  identifier.CallID
	restarts  int
	sends     []time.Duration
	crashes   []time.Duration
	reported  []crashrecorder.Crash
	delivered int
}

func newSimulation(s scenario) *simulation {
	x := &simulation{scenario: s, calls: map[identifier.CallID]*simCall{}}
	for _, t := range targets() {
		t.Incarnation = 1
		x.targets = append(x.targets, &simTarget{Target: t.Target})
	}
	for range s.nodes {
		x.nodes = append(x.nodes, x.newNode())
	}
	for at := time.Duration(0); at < s.duration; at += 50 * time.Millisecond {
		x.at(at, func() {
			for n := range x.nodes {
				x.apply(n, dispatcher.ConfigurationConfirmed{AsOf: start.Add(x.now)}, 0)
				x.apply(n, placer.LeaseChanged{IsHeld: n == 0, Until: start.Add(x.now + time.Second)}, 0)
				x.apply(n, messenger.Tick{}, 0)
			}
		})
	}
	return x
}

// newNode returns a node that knows the configuration and all entries, but nothing of crashes.
func (x *simulation) newNode() *composer.Composer {
	node := composer.NewControl(registrar.NewRegistrar(heartbeat), dispatcher.NewDispatcher(dispatcher.Config{
		DataCentre: "a", RevocationLimit: revocationLimit, RetryRatio: 1, RetryWindow: retryWindow,
	}))
	var changes []describer.TargetChange
	for _, t := range x.targets {
		if !t.isDown {
			changes = append(changes, describer.TargetChange{ID: t.ID, Target: &t.Target})
		}
	}
	now := start.Add(x.now)
	node.Apply(now.Add(-2*retryWindow), dispatcher.RetryQuotaChanged{Retries: 1000})
	node.Apply(now, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(1, "key"))})
	node.Apply(now, dispatcher.ConfigurationConfirmed{AsOf: now})
	node.Apply(now, registrar.TargetsRead{Changes: changes, IsComplete: true})
	return node
}

func (x *simulation) at(at time.Duration, do func()) {
	x.seq++
	heap.Push(&x.queue, simEvent{at: at, seq: x.seq, do: do})
}

func (x *simulation) after(d time.Duration, do func()) { x.at(x.now+d, do) }

func (x *simulation) run() {
	for len(x.queue) > 0 {
		next := heap.Pop(&x.queue).(simEvent)
		if next.at > x.duration {
			return
		}
		x.now = next.at
		next.do()
	}
}

// apply applies an event at a node and runs the effects. call is the request that the event belongs to, or 0.
func (x *simulation) apply(node int, event messenger.Event, call identifier.CallID) {
	for _, effect := range x.nodes[node].Apply(start.Add(x.now), event) {
		switch e := effect.(type) {
		case dispatcher.Send:
			x.send(e)
		case dispatcher.Hold:
			x.at(e.Until.Sub(start), func() { x.apply(node, dispatcher.HoldEnded{Call: call, Seed: uint64(x.seq)}, call) })
		case dispatcher.Wait:
			x.stall(call, e.Until)
		case dispatcher.ResumeStalled:
			x.stall(call, e.Until)
		case dispatcher.Probe:
			x.after(hop, func() { x.apply(node, dispatcher.Probed{Call: call, IsUnanswered: true}, call) })
		case dispatcher.ProbeChain:
			x.after(dialTimeout, func() {
				x.apply(node, dispatcher.ChainProbed{Address: e.Address, IsUnanswered: x.isDownAt(e.Address)}, 0)
			})
		case dispatcher.CheckTarget:
			x.check(node, e)
		case dispatcher.Refuse:
			x.calls[call].status, x.calls[call].reason, x.calls[call].hasEnded = e.Status, e.Reason, true
		case dispatcher.ReportCrashes:
			x.report(node, e)
		}
	}
}

func (x *simulation) report(from int, e dispatcher.ReportCrashes) {
	x.reported = append(x.reported, e.Crashes...)
	x.after(x.reportDelay, func() {
		for n := range x.nodes {
			if n != from {
				x.apply(n, dispatcher.CrashesReported(e), 0)
			}
		}
	})
}

// check asks the target at an address under which incarnation it runs.
func (x *simulation) check(node int, e dispatcher.CheckTarget) {
	checked := dispatcher.TargetChecked{Target: e.Target, Address: e.Address, IsUnanswered: true}
	wait := hop
	for _, t := range x.targets {
		if t.Address != e.Address {
			continue
		}
		if !t.isDown {
			checked.IsUnanswered, checked.Incarnation = false, t.Incarnation
			break
		}
		if t.isSilent {
			wait = dialTimeout
		}
	}
	x.after(wait, func() { x.apply(node, checked, 0) })
}

func (x *simulation) isDownAt(address string) bool {
	return !slices.ContainsFunc(x.targets, func(t *simTarget) bool { return t.Address == address && !t.isDown })
}

// arrive lets a request arrive at a node.
func (x *simulation) arrive(node int, path string, fingerprint identifier.Fingerprint, timeout time.Duration) identifier.CallID {
	return x.arriveInGroup(node, path, requestKey{fingerprint, fingerprint}, fingerprint == poison, timeout)
}

// requestKey holds the fingerprints of a request.
type requestKey struct{ request, group identifier.Fingerprint }

// arriveInGroup lets a request arrive at a node that differs from others with the same path, caller and body.
func (x *simulation) arriveInGroup(node int, path string, key requestKey, isPoison bool, timeout time.Duration) identifier.CallID {
	return x.arriveWithParts(node, path, key, nil, isPoison, timeout)
}

// arriveWithParts lets a request arrive at a node whose prompt shares parts with others.
func (x *simulation) arriveWithParts(node int, path string, key requestKey, parts []identifier.PromptPart, isPoison bool, timeout time.Duration) identifier.CallID {
	x.nextCall++
	call := x.nextCall
	x.calls[call] = &simCall{node: node, fingerprint: key.request, isPoison: isPoison, deadline: x.now + timeout}
	x.apply(node, dispatcher.RequestArrived{
		Call: call, ID: identifier.RequestID(fmt.Sprint(call)), Host: "h", Path: path, Key: "key", Fingerprint: key.request, Group: key.group, Parts: parts,
		Deadline: start.Add(x.now + timeout), Seed: uint64(call),
	}, call)
	return call
}

// send hands an attempt to its target.
func (x *simulation) send(e dispatcher.Send) {
	c := x.calls[e.Call]
	c.attempt++
	i := slices.IndexFunc(x.targets, func(t *simTarget) bool { return t.ID == e.Target })
	c.target, c.sent = x.targets[i], x.now
	if c.target.isDown {
		wait := hop
		if c.target.isSilent {
			wait = dialTimeout
		}
		x.finish(e.Call, wait, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.NotSent})
		return
	}
	for _, stage := range e.Chain {
		if x.isDownAt(stage.Address) {
			x.finish(e.Call, hop, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.NotRun, Status: 503, FaultAddress: stage.Address})
			return
		}
	}
	if c.isPoison {
		x.runPoison(e, c)
		return
	}
	target := c.target
	x.after(20*time.Millisecond, func() {
		if c.hasEnded || target.isDown {
			return
		}
		x.delivered++
		c.status, c.hasEnded = 200, true
		x.apply(c.node, dispatcher.AttemptReported{
			Call: e.Call, Outcome: dispatcher.Delivered, Status: 200, FirstByte: 10 * time.Millisecond, Events: len(e.Chain),
		}, e.Call)
	})
}

// finish reports the end of an attempt after a while, unless another attempt has begun.
func (x *simulation) finish(call identifier.CallID, after time.Duration, result dispatcher.AttemptReported) {
	c := x.calls[call]
	attempt := c.attempt
	x.after(after, func() {
		if !c.hasEnded && c.attempt == attempt {
			x.apply(c.node, result, call)
		}
	})
}

// stall reports a request whose target stays silent as stalled, and at its deadline as expired.
func (x *simulation) stall(call identifier.CallID, until time.Time) {
	c := x.calls[call]
	wait := max(until.Sub(start)-x.now, hop)
	if x.mode == afterSecondSend && c.target.isDown {
		x.finish(call, hop, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken})
		return
	}
	if breaks := c.sent + slowRun + hop; x.mode == afterSecondSend && breaks > x.now && breaks < x.now+wait {
		x.finish(call, breaks-x.now, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken})
		return
	}
	if x.now+wait >= c.deadline {
		x.finish(call, max(c.deadline-x.now, hop), dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Expired})
		return
	}
	x.finish(call, wait, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, ChainIdleTime: x.now + wait - c.sent})
}

// runPoison crashes the target that runs the poison request.
func (x *simulation) runPoison(e dispatcher.Send, c *simCall) {
	const crashDelay = 5 * time.Millisecond
	x.sends = append(x.sends, x.now)
	if x.rejectedEvery > 0 && len(x.sends)%x.rejectedEvery == 0 {
		x.finish(e.Call, hop, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.Delivered, Status: 404})
		return
	}
	if x.isKnownFirst {
		x.after(crashDelay+hop/2, func() { x.apply(c.node, registrar.Ejected{Address: e.Address, Cause: registrar.Unresponsive}, 0) })
	}
	switch x.mode {
	case beforeFirstByte:
		x.crash(crashDelay, c.target, false)
		x.finish(e.Call, crashDelay+hop, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.Broken})
	case afterFirstEvent:
		x.crash(crashDelay, c.target, false)
		x.finish(e.Call, crashDelay+hop, dispatcher.AttemptReported{
			Call: e.Call, Outcome: dispatcher.Broken, Status: 200, Events: 1, FirstByte: crashDelay,
		})
	case silence:
		x.crash(crashDelay, c.target, true)
		x.stall(e.Call, e.IdleDeadline)
	case afterCallerLeft:
		x.crash(crashDelay, c.target, false)
		x.finish(e.Call, crashDelay-hop, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.CallerGone})
	case afterSecondSend:
		x.crash(slowRun, c.target, false)
		x.stall(e.Call, e.IdleDeadline)
	case longAfterCallLeft:
		x.crash(slowRun, c.target, false)
		x.finish(e.Call, crashDelay, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.CallerGone})
	case lastStageOfChain:
		last := e.Chain[len(e.Chain)-1].Address
		i := slices.IndexFunc(x.targets, func(t *simTarget) bool { return t.Address == last && !t.isDown })
		x.crash(crashDelay, x.targets[i], false)
		x.finish(e.Call, crashDelay+hop, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.Broken})
	}
}

// crash takes a target down after a while, removes its entry when it lapses, and brings it back.
func (x *simulation) crash(after time.Duration, t *simTarget, isSilent bool) {
	x.after(after, func() {
		if t.isDown {
			return
		}
		t.isDown, t.isSilent, t.crashed = true, isSilent, x.now
		x.crashes = append(x.crashes, x.now)
		if x.breaksOthers && !isSilent {
			x.breakOthers(t)
		}
		if !x.keepsID {
			x.after(entryLifetime+x.viewDelay, func() { x.readView(describer.TargetChange{ID: t.ID}) })
		}
		x.after(x.downtime, func() { x.restart(t) })
	})
}

// breakOthers ends the open attempts at a target that has crashed.
func (x *simulation) breakOthers(t *simTarget) {
	for call, c := range x.calls {
		if c.target == t && !c.hasEnded && !c.isPoison {
			x.finish(call, hop, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken})
		}
	}
}

func (x *simulation) restart(t *simTarget) {
	x.restarts++
	next := &simTarget{Target: t.Target}
	next.Incarnation += int64(x.restarts)
	if !x.keepsID {
		next.ID = identifier.TargetID(fmt.Sprintf("%s-r%d", t.ID, x.restarts))
	}
	if x.keepsID {
		i := slices.Index(x.targets, t)
		x.targets[i] = next
	} else {
		x.targets = append(x.targets, next)
	}
	x.after(x.viewDelay, func() { x.readView(describer.TargetChange{ID: next.ID, Target: &next.Target}) })
}

func (x *simulation) readView(change describer.TargetChange) {
	if x.viewOutage > 0 && x.now >= x.viewOutage {
		return
	}
	for n := range x.nodes {
		x.apply(n, registrar.TargetsRead{Changes: []describer.TargetChange{change}}, 0)
	}
}

// repeatPoison lets the poison request arrive again and again, at the nodes in turn.
func (x *simulation) repeatPoison() {
	timeout := 1500 * time.Millisecond
	at := x.interval
	for n := 0; at < x.duration; n++ {
		x.at(at, func() { x.arrive(n%len(x.nodes), x.path, poison, timeout) })
		at += x.interval
		if x.burst > 0 && n%x.burst == x.burst-1 {
			at += x.pause
		}
	}
}

// lateSends returns how often the request was handed to a target later than the limit after its third crash.
func (x *simulation) lateSends() int { return x.sendsAfterCrash(3) }

// sendsAfterCrash returns how often poison requests were handed to targets later than the limit after the n-th crash.
func (x *simulation) sendsAfterCrash(crash int) int {
	if len(x.crashes) < crash {
		return 0
	}
	n := 0
	for _, at := range x.sends {
		if at > x.crashes[crash-1]+detectionLimit {
			n++
		}
	}
	return n
}

func (x *simulation) summary() qt.Comment {
	return qt.Commentf("%d late sends, %d sends, %d targets crashed", x.lateSends(), len(x.sends), len(x.crashes))
}

// TestPoisonIsRefusedWhereverAttemptEnds guards against a poison request that is sent on and on because an attempt
// at a target that crashes ends after the first event, by silence, with the caller, or anywhere else than before its first byte.
func TestPoisonIsRefusedWhereverAttemptEnds(t *testing.T) {
	for _, row := range []struct {
		mode crashMode
		path string
	}{
		{beforeFirstByte, "/post/"},
		{afterFirstEvent, "/once/"},
		{afterFirstEvent, "/draft/"},
		{silence, "/post/"},
		{silence, "/view/"},
		{silence, "/draft/"},
		{afterCallerLeft, "/post/"},
		{lastStageOfChain, "/once/"},
	} {
		t.Run(string(row.mode)+" "+row.path, func(t *testing.T) {
			c := qt.New(t)
			x := newSimulation(defaults(row.mode, row.path))
			x.repeatPoison()
			x.repeatOrdinary()
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
			c.Assert(len(x.crashes) >= 3, qt.IsTrue, x.summary())
			c.Assert(x.delivered > 100, qt.IsTrue)
		})
	}
}

// repeatOrdinary lets ordinary requests arrive, all of them different.
func (x *simulation) repeatOrdinary() {
	for n := 0; time.Duration(n)*100*time.Millisecond < x.duration; n++ {
		path := []string{"/view/", "/draft/"}[n%2]
		x.at(time.Duration(n)*100*time.Millisecond, func() {
			x.arrive(n%len(x.nodes), path, identifier.Fingerprint(1000+n), time.Second)
		})
	}
}

// TestPoisonIsRefusedWithLateView guards against a poison request that is sent on and on because the nodes see late,
// never, or before the broken attempt that its targets are gone.
func TestPoisonIsRefusedWithLateView(t *testing.T) {
	for name, change := range map[string]func(*scenario){
		"entries are read late":                    func(s *scenario) { s.viewDelay = 4 * time.Second },
		"the store is away":                        func(s *scenario) { s.viewOutage = 100 * time.Millisecond },
		"targets return under their id":            func(s *scenario) { s.keepsID, s.viewDelay = true, time.Second },
		"targets return before anyone asks":        func(s *scenario) { s.keepsID, s.downtime, s.viewDelay = true, 20*time.Millisecond, 2*time.Second },
		"another request finds the target at once": func(s *scenario) { s.isKnownFirst = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/post/")
			change(&s)
			x := newSimulation(s)
			x.repeatPoison()
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestPoisonIsRefusedAfterQuickRetries guards against a poison request that is sent on and on because crashes
// that follow each other quickly count as one.
func TestPoisonIsRefusedAfterQuickRetries(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, 120 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/view/")
			s.interval, s.downtime = interval, time.Second
			s.burst, s.pause = 3, 3*time.Second
			x := newSimulation(s)
			x.repeatPoison()
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestPoisonIsRefusedByNodeThatLearnsLate guards against a poison request that is sent on by a node that learns
// of all its crashes at once, as one that has just started does.
func TestPoisonIsRefusedByNodeThatLearnsLate(t *testing.T) {
	c := qt.New(t)
	s := defaults(beforeFirstByte, "/post/")
	s.duration = 12 * time.Second
	x := newSimulation(s)
	x.repeatPoison()
	x.run()
	late := x.newNode()
	now := start.Add(x.now)
	late.Apply(now, dispatcher.CrashesReported{Crashes: x.reported})
	for _, effect := range late.Apply(now, dispatcher.RequestArrived{Call: 1, ID: "1", Host: "h", Path: "/post/", Key: "key", Fingerprint: poison}) {
		if e, ok := effect.(dispatcher.Refuse); ok {
			c.Assert(e.Status, qt.Equals, 502)
			return
		}
	}
	c.Fatalf("the request is sent: %d crashes reported", len(x.reported))
}

// TestPoisonIsRefusedUnderNewKey guards against a poison request that is sent again because its account has replaced its
// key, and against refusing the same content from another account.
func TestPoisonIsRefusedUnderNewKey(t *testing.T) {
	c := qt.New(t)
	s := defaults(beforeFirstByte, "/post/")
	s.duration = 10 * time.Second
	x := newSimulation(s)
	x.repeatPoison()
	x.run()
	now := start.Add(x.now)
	replaced := configuration(2, "new key")
	replaced.Accounts = append(replaced.Accounts, describer.Account{ID: "printer", Keys: []string{"other key"}})
	x.nodes[0].Apply(now, dispatcher.ConfigurationRead{Table: router.NewTable(replaced)})
	x.nodes[0].Apply(now, registrar.TargetsRead{Changes: []describer.TargetChange{{ID: "spare", Target: &describer.Target{
		ID: "spare", Address: "spare", Service: "ledger", DataCentre: "a", Slots: 6,
	}}}})
	for key, want := range map[string]int{"new key": 502, "other key": 0} {
		got := 0
		arrived := dispatcher.RequestArrived{Call: 999_999, ID: "again", Host: "h", Path: "/post/", Key: key, Fingerprint: poison}
		for _, effect := range x.nodes[0].Apply(now, arrived) {
			if e, ok := effect.(dispatcher.Refuse); ok {
				got = e.Status
			}
		}
		c.Check(got, qt.Equals, want, qt.Commentf("%s", key))
	}
}

// TestPoisonStaysRefused guards against a poison request that is sent again once its crashes are older than a
// minute, or once many other requests have broken beside crashes.
func TestPoisonStaysRefused(t *testing.T) {
	c := qt.New(t)
	s := defaults(beforeFirstByte, "/post/")
	s.duration, s.interval = 4*time.Minute, 2*time.Second
	x := newSimulation(s)
	x.repeatPoison()
	x.at(time.Minute, func() {
		for n := range x.nodes {
			for i := range 10_000 {
				x.apply(n, dispatcher.CrashesReported{Crashes: []crashrecorder.Crash{{
					Request: identifier.Fingerprint(5000 + i), Target: "elsewhere", Incarnation: int64(i),
				}}}, 0)
			}
		}
	})
	x.run()
	c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
}

// TestInnocentRequestIsServedBesideCrashes guards against refusing a frequent request because targets fail while
// they run it: a whole rack at once, seen one target after the other and by several nodes, or one target after the other by another's poison.
func TestInnocentRequestIsServedBesideCrashes(t *testing.T) {
	for _, path := range []string{"/view/", "/draft/", "/post/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/post/")
			x := newSimulation(s)
			x.repeatPoison()
			var calls []identifier.CallID
			for at := 10 * time.Millisecond; at < s.duration-time.Second; at += 10 * time.Millisecond {
				x.at(at, func() {
					calls = append(calls, x.arrive(int(at/time.Millisecond/10)%s.nodes, path, innocent, time.Second))
				})
			}
			for _, at := range []time.Duration{4 * time.Second, 9 * time.Second, 14 * time.Second} {
				x.at(at, func() { x.failRack(at == 9*time.Second) })
			}
			x.run()
			refused := 0
			for _, call := range calls {
				isAccused := strings.Contains(x.calls[call].reason, "crashed")
				if isAccused || (x.calls[call].status == 502 && x.calls[call].attempt == 0) {
					refused++
				}
			}
			c.Assert(refused, qt.Equals, 0, qt.Commentf("of %d innocent requests", len(calls)))
		})
	}
}

// failRack takes two of three targets of each kind down at the same moment, with their open attempts.
func (x *simulation) failRack(isSilent bool) {
	for _, t := range slices.Clone(x.targets) {
		if t.isDown || t.DataCentre == "c" {
			continue
		}
		x.crash(0, t, isSilent)
		for call, c := range x.calls {
			if c.target == t && !c.hasEnded && !isSilent {
				x.finish(call, hop, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken})
			}
		}
	}
}

// drawConditions draws how many nodes there are, how late they learn, and how targets come back.
func (s *scenario) drawConditions(t *rapid.T) {
	s.nodes = rapid.IntRange(1, 5).Draw(t, "nodes")
	s.viewDelay = time.Duration(rapid.IntRange(10, 5000).Draw(t, "view delay")) * time.Millisecond
	s.reportDelay = time.Duration(rapid.IntRange(10, 800).Draw(t, "report delay")) * time.Millisecond
	s.downtime = time.Duration(rapid.IntRange(1500, 6000).Draw(t, "downtime")) * time.Millisecond
	s.keepsID = rapid.Bool().Draw(t, "keeps id")
}

// TestPoisonIsRefusedUnderRandomConditions plays a poison request under random ways of crashing, views and reports.
func TestPoisonIsRefusedUnderRandomConditions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]crashMode{beforeFirstByte, afterFirstEvent, silence, afterCallerLeft, lastStageOfChain}).Draw(t, "mode")
		paths := []string{"/draft/", "/once/"}
		if mode != afterFirstEvent && mode != lastStageOfChain {
			paths = append(paths, "/post/", "/view/")
		}
		s := defaults(mode, rapid.SampledFrom(paths).Draw(t, "path"))
		s.interval = time.Duration(rapid.IntRange(50, 3000).Draw(t, "interval")) * time.Millisecond
		s.drawConditions(t)
		s.isKnownFirst = rapid.Bool().Draw(t, "known first")
		s.duration = 15 * time.Second
		x := newSimulation(s)
		x.repeatPoison()
		x.repeatOrdinary()
		x.run()
		if x.lateSends() > maxLateSends {
			t.Fatalf("%d late sends, %d sends, %d targets crashed", x.lateSends(), len(x.sends), len(x.crashes))
		}
	})
}

// arrive lets a request that must not run twice arrive.
func (d *harness) arrive(at time.Duration, key requestKey) (identifier.CallID, messenger.Effect) {
	d.next++
	return d.next, d.apply(at, dispatcher.RequestArrived{
		Call: d.next, ID: identifier.RequestID(fmt.Sprint(d.next)), Host: "h", Path: "/post/", Key: "key", Fingerprint: key.request, Group: key.group,
	})
}

// crashTarget lets a request crash the target that it is sent to, which is known after 20 ms.
func (d *harness) crashTarget(key requestKey) {
	call, e := d.arrive(0, key)
	address := e.(dispatcher.Send).Address
	d.apply(10*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken})
	d.apply(20*time.Millisecond, registrar.Ejected{Address: address, Cause: registrar.Unresponsive})
}

// TestHeldRequestNeedsNoRetryBudget guards against refusing an innocent request that was held back before its first
// attempt because no retry is left.
func TestHeldRequestNeedsNoRetryBudget(t *testing.T) {
	c := qt.New(t)
	d := makeReady(newHarnessWithRatio(0))
	arrive := func(at time.Duration) (identifier.CallID, messenger.Effect) {
		return d.arrive(at, requestKey{request: innocent})
	}
	d.crashTarget(requestKey{request: innocent})
	tried, e := arrive(30 * time.Millisecond)
	c.Assert(e.(dispatcher.Send).NewConn, qt.IsTrue)
	held, e := arrive(40 * time.Millisecond)
	hold, ok := e.(dispatcher.Hold)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	e = d.apply(hold.Until.Sub(start), dispatcher.HoldEnded{Call: held})
	_, ok = e.(dispatcher.Hold)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	d.apply(70*time.Millisecond, dispatcher.AttemptReported{Call: tried, Outcome: dispatcher.Delivered, Status: 200})
	e = d.apply(80*time.Millisecond, dispatcher.HoldEnded{Call: held})
	_, ok = e.(dispatcher.Send)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T %+v", e, e))
}

// TestAnswerOfSuccessorProvesNothing guards against a crash that is not counted because another target, which has the
// address of the crashed one, answers that it is not the one meant.
func TestAnswerOfSuccessorProvesNothing(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.next++
	call := d.next
	e := d.apply(0, dispatcher.RequestArrived{Call: call, ID: "poison", Host: "h", Path: "/post/", Key: "key", Fingerprint: poison})
	crashed := e.(dispatcher.Send).Target
	d.apply(10*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.CallerGone})
	for n := range 20 {
		at := time.Duration(20+n) * time.Millisecond
		call, e = d.sendRequest(at, "/post/", "key")
		for {
			send, ok := e.(dispatcher.Send)
			if !ok {
				break
			}
			result := dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Delivered, Status: 200}
			if send.Target == crashed {
				result = dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotRun, Status: 421}
			}
			e = d.apply(at, result)
		}
	}
	var left []registrar.Target
	for _, target := range targets() {
		if target.ID != crashed {
			left = append(left, target)
		}
	}
	d.apply(time.Second, registrar.TargetsChanged{Targets: left})
	c.Assert(d.crashes, qt.HasLen, 1)
	c.Assert(d.crashes[0].Target, qt.Equals, crashed)
}

// TestRejectedTrialIsSentOnAtOnce guards against holding a request with known crashes back for a second because of its own
// attempt, which its target has not run.
func TestRejectedTrialIsSentOnAtOnce(t *testing.T) {
	for _, rejected := range []dispatcher.AttemptReported{{Outcome: dispatcher.NotSent}, {Outcome: dispatcher.NotRun, Status: 503}} {
		c := qt.New(t)
		d := readyHarness()
		d.apply(-2*retryWindow, dispatcher.RetryQuotaChanged{Retries: 10})
		d.crashTarget(requestKey{innocent, poisonGroup})
		tried, e := d.arrive(30*time.Millisecond, requestKey{innocent, poisonGroup})
		c.Assert(e.(dispatcher.Send).NewConn, qt.IsTrue)
		rejected.Call = tried
		e = d.apply(35*time.Millisecond, rejected)
		_, isSent := e.(dispatcher.Send)
		c.Assert(isSent, qt.IsTrue, qt.Commentf("%s: %T", rejected.Outcome, e))
	}
}

// TestRejectedCopyEndsNoTrialOfAnother guards against a poison request that is sent on and on by copies of it which no
// target has run, because each of them ends the trial of another copy that is still running.
func TestRejectedCopyEndsNoTrialOfAnother(t *testing.T) {
	c := qt.New(t)
	s := defaults(silence, "/once/")
	s.interval, s.nodes, s.viewDelay, s.reportDelay, s.downtime = 50*time.Millisecond, 4, 10*time.Millisecond, 10*time.Millisecond, 3235*time.Millisecond
	s.duration = 15 * time.Second
	x := newSimulation(s)
	x.repeatPoison()
	x.repeatOrdinary()
	x.run()
	c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
}
