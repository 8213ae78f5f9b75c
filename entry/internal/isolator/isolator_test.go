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
	modelNodes = 4
	beat       = time.Millisecond
	tickEvery  = 10
	stepTime   = 20 * time.Millisecond
	crashing   = "studio/crashing"
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

type due struct {
	at time.Time
	do func()
}

// world holds the isolators of several nodes, targets that all hold the same layers,
// and drafts of which some crash the target that runs them.
type world struct {
	start, now time.Time
	// step is how long a step takes.
	step   time.Duration
	nodes  []*isolator.Isolator
	alive  map[identifier.TargetID]bool
	kills  int
	drafts []*draft
	agenda []due
	// jitter gives the delay of the next message.
	jitter func() time.Duration
}

func newWorld(targets int, jitter func() time.Duration) *world {
	w := &world{start: time.Unix(1000, 0), now: time.Unix(1000, 0), step: stepTime, alive: map[identifier.TargetID]bool{}, jitter: jitter}
	var known []watcher.Target
	for i := range targets {
		id := identifier.TargetID(fmt.Sprint("t", i))
		w.alive[id] = true
		known = append(known, watcher.Target{ID: id, Address: string(id), State: watcher.StateUp})
	}
	var peers []heartbeater.Peer
	for i := range modelNodes {
		w.nodes = append(w.nodes, isolator.NewIsolator())
		p := heartbeater.Peer{State: heartbeater.StateAlive}
		p.Node, p.Address = identifier.NodeID(fmt.Sprint(i)), fmt.Sprint(i)
		peers = append(peers, p)
	}
	for i := range w.nodes {
		others := append(append([]heartbeater.Peer{}, peers[:i]...), peers[i+1:]...)
		w.give(i, watcher.TargetsChanged{Targets: known})
		w.give(i, heartbeater.PeersChanged{Peers: others})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) { w.agenda = append(w.agenda, due{w.now.Add(d), do}) }

func (w *world) give(n int, event messenger.Event) {
	for _, effect := range w.nodes[n].Apply(w.now, event) {
		switch e := effect.(type) {
		case isolator.Route:
			w.rule(e.Event)
		case isolator.TellPeers:
			e.Notice.Node = identifier.NodeID(fmt.Sprint(n))
			for _, a := range e.Addresses {
				w.after(w.jitter(), func() { w.give(int(a[0]-'0'), isolator.Heard{Notice: e.Notice}) })
			}
		case watcher.ReadStatus:
			w.after(beat, func() { w.answerStatus(n, e.Target) })
		}
	}
}

func (w *world) answerStatus(n int, t identifier.TargetID) {
	if w.alive[t] {
		w.give(n, watcher.StatusRead{Status: enginecaller.Status{Target: t}})
		return
	}
	w.give(n, watcher.StatusFailed{Target: t})
}

func (w *world) rule(r isolator.Ruling) {
	for _, d := range w.drafts {
		if d.id != r.Draft {
			continue
		}
		switch r.Kind {
		case isolator.Refuse:
			d.refused, d.isDone, d.doneAt = true, true, w.now
		case isolator.RunAlone:
			w.run(d, r.Target, true)
		case isolator.RunFreely:
			if up := w.candidates(); len(up) > 0 {
				w.run(d, up[0], false)
			}
		}
	}
}

func (w *world) candidates() []identifier.TargetID {
	var up []identifier.TargetID
	for t, ok := range w.alive {
		if ok {
			up = append(up, t)
		}
	}
	sort.Slice(up, func(i, j int) bool { return up[i] < up[j] })
	return up
}

// run runs the draft's next step; a target that died before the step ended takes it along.
func (w *world) run(d *draft, t identifier.TargetID, isAlone bool) {
	d.target, d.isAlone = t, isAlone
	if !w.alive[t] {
		w.after(w.jitter(), func() { w.lose(d) })
		return
	}
	w.after(w.step, func() {
		if !w.alive[t] || d.target != t {
			return
		}
		if d.body == crashing {
			w.kill(t)
			return
		}
		d.isDone, d.doneAt = true, w.now
		if isAlone {
			w.give(d.node, isolator.StagePassed{Draft: d.id, Fingerprint: d.body, Target: t})
		}
	})
}

func (w *world) kill(t identifier.TargetID) {
	w.alive[t] = false
	w.kills++
	for _, d := range w.drafts {
		if d.target == t && !d.isDone {
			w.after(w.jitter(), func() { w.lose(d) })
		}
	}
}

func (w *world) lose(d *draft) {
	w.give(d.node, isolator.StageLost{
		Draft: d.id, Fingerprint: d.body, Target: d.target, Ruled: d.isAlone, Candidates: w.candidates(),
	})
}

func (w *world) add(n int, body string, t identifier.TargetID) *draft {
	d := &draft{id: identifier.DraftID(fmt.Sprint("d", len(w.drafts))), node: n, body: body, target: t}
	w.drafts = append(w.drafts, d)
	return d
}

func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for n := 0; w.now.Before(end); n++ {
		w.now = w.now.Add(beat)
		agenda := w.agenda
		w.agenda = nil
		for _, a := range agenda {
			if a.at.After(w.now) {
				w.agenda = append(w.agenda, a)
				continue
			}
			a.do()
		}
		if n%tickEvery == 0 {
			for i := range w.nodes {
				w.give(i, messenger.Tick{})
			}
		}
	}
}

// drawWorld draws a world with innocent drafts of every node at the target t0.
func drawWorld(t *rapid.T) *world {
	w := newWorld(rapid.IntRange(3, 5).Draw(t, "targets"), func() time.Duration {
		return beat * time.Duration(rapid.IntRange(1, 8).Draw(t, "delay"))
	})
	w.step = rapid.SampledFrom([]time.Duration{2 * beat, stepTime}).Draw(t, "step")
	for i := range rapid.IntRange(0, 20).Draw(t, "innocents") {
		w.add(rapid.IntRange(0, modelNodes-1).Draw(t, "node"), fmt.Sprint("studio/", i), "t0")
	}
	return w
}

// checkInnocents fails unless each innocent draft got past its step.
func checkInnocents(t *rapid.T, w *world) {
	for _, d := range w.drafts {
		if d.body != crashing && (d.refused || !d.isDone) {
			t.Fatalf("innocent %s: refused %v, done %v", d.id, d.refused, d.isDone)
		}
	}
}

// TestCrashingRequestKillsTwo lets a request, with copies at any nodes, crash its target
// among innocent drafts: one more target dies, the request is refused, all others go on.
func TestCrashingRequestKillsTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 3).Draw(t, "copies") {
			w.add(rapid.IntRange(0, modelNodes-1).Draw(t, "crashing node"), crashing, "t0")
		}
		w.kill("t0")
		w.pass(4 * time.Second)
		if w.kills > 2 {
			t.Fatalf("%d targets died", w.kills)
		}
		checkInnocents(t, w)
		for _, d := range w.drafts {
			if d.body == crashing && !d.refused {
				t.Fatalf("%s was not refused", d.id)
			}
		}
		// Every node refuses it from now on.
		for n := range w.nodes {
			again := w.add(n, crashing, "t2")
			w.lose(again)
			if !again.refused {
				t.Fatalf("node %d does not know the conviction", n)
			}
		}
	})
}

// TestPlainDeathConvictsNobody kills two targets, one after the other at any distance, without a crashing request.
func TestPlainDeathConvictsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for i := range rapid.IntRange(0, 5).Draw(t, "others") {
			w.add(i%modelNodes, fmt.Sprint("studio/other-", i), "t1")
		}
		w.kill("t0")
		if rapid.Bool().Draw(t, "rack") {
			w.kill("t1")
		} else {
			for _, d := range w.drafts {
				if d.target == "t1" {
					d.isDone = true
				}
			}
		}
		w.pass(4 * time.Second)
		checkInnocents(t, w)
	})
}

// TestNoticesOvertakeEachOther kills one target; in whatever order notices come, every draft gets on within a second.
func TestNoticesOvertakeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.kill("t0")
		w.pass(time.Second)
		checkInnocents(t, w)
	})
}

// TestDeathCostsLittle measures how long a death holds up 20 drafts when two other
// targets hold the layers: 95 in 100 get past their step within a second.
func TestDeathCostsLittle(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, func() time.Duration { return beat })
	for i := range 20 {
		w.add(i%modelNodes, fmt.Sprint("studio/", i), "t0")
	}
	w.kill("t0")
	w.pass(3 * time.Second)
	var took []time.Duration
	for _, d := range w.drafts {
		c.Assert(d.isDone, qt.IsTrue)
		took = append(took, d.doneAt.Sub(w.start))
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	t.Logf("step after a death, 20 drafts, steps of %v: median %v, 95th %v", stepTime, took[9], took[18])
	c.Assert(took[18] <= time.Second, qt.IsTrue, qt.Commentf("%v", took))
}

// TestSuspectsOfTwoNodesAtOneTarget lets a target die under suspects of two nodes that
// did not hear each other in time: neither is convicted by that death.
func TestSuspectsOfTwoNodesAtOneTarget(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4, func() time.Duration { return 2 * stepTime })
	guilty, innocent := w.add(0, crashing, "t0"), w.add(1, "studio/a", "t0")
	w.kill("t0")
	// Both are tried at t1, as the others are down for a while.
	w.alive["t2"], w.alive["t3"] = false, false
	w.pass(70 * time.Millisecond)
	w.alive["t2"], w.alive["t3"] = true, true
	w.pass(4 * time.Second)
	c.Assert(innocent.refused, qt.IsFalse)
	c.Assert(innocent.isDone, qt.IsTrue)
	c.Assert(guilty.refused, qt.IsTrue)
}
