package isolator_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	nodeCount = 4
	// resolution is the simulated time of one iteration; tickInterval counts the iterations from one
	// tick to the next.
	resolution   = time.Millisecond
	tickInterval = 10
	stepTime     = 20 * time.Millisecond
	poisonBody   = "studio/crashing"
)

type draft struct {
	id      identifier.DraftID
	node    int
	body    string
	target  identifier.TargetID
	isAlone bool
	isDone  bool
	refused bool
	doneAt  time.Time
}

type scheduledCall struct {
	at   time.Time
	call func()
}

// harness simulates the isolators of several nodes, targets that all hold the same layers, and
// drafts, some of which crash the target that runs them.
type harness struct {
	start, now time.Time
	// step is the duration of a step.
	step      time.Duration
	nodes     []*isolator.Isolator
	alive     map[identifier.TargetID]bool
	failures  int
	drafts    []*draft
	scheduled []scheduledCall
	// jitter returns the delay of the next message.
	jitter func() time.Duration
}

func newHarness(targets int, jitter func() time.Duration) *harness {
	h := &harness{start: time.Unix(1000, 0), now: time.Unix(1000, 0), step: stepTime, alive: map[identifier.TargetID]bool{}, jitter: jitter}
	var known []watcher.Target
	for i := range targets {
		id := identifier.TargetID(fmt.Sprint("t", i))
		h.alive[id] = true
		known = append(known, watcher.Target{ID: id, Address: string(id), State: watcher.StateUp})
	}
	var peers []heartbeater.Peer
	for i := range nodeCount {
		h.nodes = append(h.nodes, isolator.NewIsolator())
		p := heartbeater.Peer{State: heartbeater.StateAlive}
		p.Node, p.Address = identifier.NodeID(fmt.Sprint(i)), fmt.Sprint(i)
		peers = append(peers, p)
	}
	for i := range h.nodes {
		others := append(append([]heartbeater.Peer{}, peers[:i]...), peers[i+1:]...)
		h.apply(i, watcher.TargetsChanged{Targets: known})
		h.apply(i, heartbeater.PeersChanged{Peers: others})
	}
	return h
}

func (h *harness) after(d time.Duration, do func()) {
	h.scheduled = append(h.scheduled, scheduledCall{h.now.Add(d), do})
}

func (h *harness) apply(n int, event messenger.Event) {
	for _, effect := range h.nodes[n].Apply(h.now, event) {
		switch e := effect.(type) {
		case isolator.Route:
			h.handleDecision(e.Event)
		case isolator.NotifyPeers:
			e.Notice.Node = identifier.NodeID(fmt.Sprint(n))
			for _, a := range e.Addresses {
				h.after(h.jitter(), func() { h.apply(int(a[0]-'0'), isolator.NoticeReceived{Notice: e.Notice}) })
			}
		case watcher.ReadStatus:
			h.after(resolution, func() { h.answerStatus(n, e.Target) })
		}
	}
}

func (h *harness) answerStatus(n int, t identifier.TargetID) {
	if h.alive[t] {
		h.apply(n, watcher.StatusRead{Status: enginecaller.Status{Target: t}})
		return
	}
	h.apply(n, watcher.StatusFailed{Target: t})
}

func (h *harness) handleDecision(r isolator.Decision) {
	for _, d := range h.drafts {
		if d.id != r.Draft {
			continue
		}
		switch r.Kind {
		case isolator.Refuse:
			d.refused, d.isDone, d.doneAt = true, true, h.now
		case isolator.RunAlone:
			h.run(d, r.Target, true)
		case isolator.RunUnrestricted:
			if up := h.candidates(); len(up) > 0 {
				h.run(d, up[0], false)
			}
		}
	}
}

func (h *harness) candidates() []identifier.TargetID {
	var up []identifier.TargetID
	for t, ok := range h.alive {
		if ok {
			up = append(up, t)
		}
	}
	sort.Slice(up, func(i, j int) bool { return up[i] < up[j] })
	return up
}

// run runs the draft's next step. If the target fails before the step ends, the draft loses its
// stage.
func (h *harness) run(d *draft, t identifier.TargetID, isAlone bool) {
	d.target, d.isAlone = t, isAlone
	if !h.alive[t] {
		h.after(h.jitter(), func() { h.reportLost(d) })
		return
	}
	h.after(h.step, func() {
		if !h.alive[t] || d.target != t {
			return
		}
		if d.body == poisonBody {
			h.failTarget(t)
			return
		}
		d.isDone, d.doneAt = true, h.now
		if isAlone {
			h.apply(d.node, isolator.StagePassed{Draft: d.id, Fingerprint: d.body, Target: t})
		}
	})
}

func (h *harness) failTarget(t identifier.TargetID) {
	h.alive[t] = false
	h.failures++
	for _, d := range h.drafts {
		if d.target == t && !d.isDone {
			h.after(h.jitter(), func() { h.reportLost(d) })
		}
	}
}

func (h *harness) reportLost(d *draft) {
	h.apply(d.node, isolator.StageLost{
		Draft: d.id, Fingerprint: d.body, Target: d.target, WasAlone: d.isAlone, Candidates: h.candidates(),
	})
}

func (h *harness) addDraft(n int, body string, t identifier.TargetID) *draft {
	d := &draft{id: identifier.DraftID(fmt.Sprint("d", len(h.drafts))), node: n, body: body, target: t}
	h.drafts = append(h.drafts, d)
	return d
}

func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for n := 0; h.now.Before(end); n++ {
		h.now = h.now.Add(resolution)
		scheduled := h.scheduled
		h.scheduled = nil
		for _, a := range scheduled {
			if a.at.After(h.now) {
				h.scheduled = append(h.scheduled, a)
				continue
			}
			a.call()
		}
		if n%tickInterval == 0 {
			for i := range h.nodes {
				h.apply(i, messenger.Tick{})
			}
		}
	}
}

// randomHarness returns a harness with healthy drafts of random nodes at the target t0.
func randomHarness(t *rapid.T) *harness {
	h := newHarness(rapid.IntRange(3, 5).Draw(t, "targets"), func() time.Duration {
		return resolution * time.Duration(rapid.IntRange(1, 8).Draw(t, "delay"))
	})
	h.step = rapid.SampledFrom([]time.Duration{2 * resolution, stepTime}).Draw(t, "step")
	for i := range rapid.IntRange(0, 20).Draw(t, "innocents") {
		h.addDraft(rapid.IntRange(0, nodeCount-1).Draw(t, "node"), fmt.Sprint("studio/", i), "t0")
	}
	return h
}

// checkHealthyDrafts fails unless each healthy draft completed its step.
func checkHealthyDrafts(t *rapid.T, h *harness) {
	for _, d := range h.drafts {
		if d.body != poisonBody && (d.refused || !d.isDone) {
			t.Fatalf("healthy draft %s: refused %v, done %v", d.id, d.refused, d.isDone)
		}
	}
}

// TestPoisonStopsAtMostTwoTargets lets a request, with copies at random nodes, crash its target
// among healthy drafts. At most one more target may fail, the request must be refused and all other
// drafts must complete.
func TestPoisonStopsAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := randomHarness(t)
		for range rapid.IntRange(1, 3).Draw(t, "copies") {
			h.addDraft(rapid.IntRange(0, nodeCount-1).Draw(t, "crashing node"), poisonBody, "t0")
		}
		h.failTarget("t0")
		h.advance(4 * time.Second)
		if h.failures > 2 {
			t.Fatalf("%d targets failed, want at most 2", h.failures)
		}
		checkHealthyDrafts(t, h)
		for _, d := range h.drafts {
			if d.body == poisonBody && !d.refused {
				t.Fatalf("poison draft %s was not refused", d.id)
			}
		}
		// Every node must refuse the request from now on.
		for n := range h.nodes {
			retried := h.addDraft(n, poisonBody, "t2")
			h.reportLost(retried)
			if !retried.refused {
				t.Fatalf("node %d does not refuse the confirmed poison", n)
			}
		}
	})
}

// TestTargetFailureConfirmsNoRequest stops two targets, at once or in sequence, without a poison
// request. No request may be refused.
func TestTargetFailureConfirmsNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := randomHarness(t)
		for i := range rapid.IntRange(0, 5).Draw(t, "others") {
			h.addDraft(i%nodeCount, fmt.Sprint("studio/other-", i), "t1")
		}
		h.failTarget("t0")
		if rapid.Bool().Draw(t, "rack") {
			h.failTarget("t1")
		} else {
			for _, d := range h.drafts {
				if d.target == "t1" {
					d.isDone = true
				}
			}
		}
		h.advance(4 * time.Second)
		checkHealthyDrafts(t, h)
	})
}

// TestReorderedNotices stops one target and reorders notices. Every draft must continue within a
// second.
func TestReorderedNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := randomHarness(t)
		h.failTarget("t0")
		h.advance(time.Second)
		checkHealthyDrafts(t, h)
	})
}

// TestFailureDelaysDraftsBriefly measures how long a target failure delays 20 drafts while two
// other targets hold the layers. The 95th percentile must be at most one second.
func TestFailureDelaysDraftsBriefly(t *testing.T) {
	c := qt.New(t)
	h := newHarness(3, func() time.Duration { return resolution })
	for i := range 20 {
		h.addDraft(i%nodeCount, fmt.Sprint("studio/", i), "t0")
	}
	h.failTarget("t0")
	h.advance(3 * time.Second)
	var took []time.Duration
	for _, d := range h.drafts {
		c.Assert(d.isDone, qt.IsTrue)
		took = append(took, d.doneAt.Sub(h.start))
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	t.Logf("delay after a target failure, 20 drafts, steps of %v: median %v, 95th percentile %v", stepTime, took[9], took[18])
	c.Assert(took[18] <= time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestConcurrentTrialsAtOneTarget lets a target fail under candidates of two nodes whose notices
// were too slow. That failure must confirm neither of them as poison.
func TestConcurrentTrialsAtOneTarget(t *testing.T) {
	c := qt.New(t)
	h := newHarness(4, func() time.Duration { return 2 * stepTime })
	poison, healthy := h.addDraft(0, poisonBody, "t0"), h.addDraft(1, "studio/a", "t0")
	h.failTarget("t0")
	// The other targets are down for a while, so both candidates are tried at t1.
	h.alive["t2"], h.alive["t3"] = false, false
	h.advance(70 * time.Millisecond)
	h.alive["t2"], h.alive["t3"] = true, true
	h.advance(4 * time.Second)
	c.Assert(healthy.refused, qt.IsFalse)
	c.Assert(healthy.isDone, qt.IsTrue)
	c.Assert(poison.refused, qt.IsTrue)
}

// TestLossesFarApartRefuseNothing guards against refusing an innocent request that has met several unrelated failures
// over a long time, each while no target was available for a trial.
func TestLossesFarApartRefuseNothing(t *testing.T) {
	c := qt.New(t)
	i := isolator.NewIsolator()
	now := time.Unix(1_000_000, 0)
	for n := range 6 {
		lost := isolator.StageLost{Draft: identifier.DraftID(fmt.Sprint(n)), Fingerprint: "studio/letter", Target: identifier.TargetID(fmt.Sprint(n))}
		var decisions []isolator.DecisionKind
		for _, effect := range i.Apply(now, lost) {
			if route, ok := effect.(isolator.Route); ok {
				decisions = append(decisions, route.Event.Kind)
			}
		}
		c.Assert(decisions, qt.DeepEquals, []isolator.DecisionKind{isolator.RunUnrestricted}, qt.Commentf("loss %d", n+1))
		for range 10 {
			now = now.Add(time.Minute)
			i.Apply(now, messenger.Tick{})
		}
	}
}
