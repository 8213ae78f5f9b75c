package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
)

const lostTarget identifier.TargetID = "draft-a1"

// lossRun plays nodes that send streams over chains while one target is lost, and no entry tells of it.
type lossRun struct {
	nodes []*harness
	// queue holds what happens at each step.
	queue map[int][]func()
	step  int
	// lostSends counts the attempts whose chain included the lost target, by step.
	lostSends map[int]int
	checks    int
	// reporters are the nodes that have reported the loss, and knownAt is the step at which the report of the second has arrived.
	reporters map[int]bool
	knownAt   int
}

const (
	lossStep = 10 * time.Millisecond
	// lossCheckSteps is how long a check of a lost target takes, lossReportSteps a report from node to node.
	lossCheckSteps  = 6
	lossReportSteps = 25
	lossSteps       = 350
)

func newLossRun(nodes int) *lossRun {
	x := &lossRun{queue: map[int][]func(){}, lostSends: map[int]int{}, reporters: map[int]bool{}}
	for range nodes {
		x.nodes = append(x.nodes, readyHarness())
	}
	return x
}

func (x *lossRun) after(steps int, do func()) {
	x.queue[x.step+steps] = append(x.queue[x.step+steps], do)
}

func (x *lossRun) now() time.Duration { return time.Duration(x.step) * lossStep }

// apply applies an event at a node, and plays what follows from its effects.
func (x *lossRun) apply(n int, event messenger.Event) {
	for _, effect := range x.nodes[n].dispatcher.Apply(start.Add(x.now()), event) {
		switch e := effect.(type) {
		case dispatcher.Send:
			x.send(n, e)
		case dispatcher.CheckTarget:
			x.checks++
			lost := e.Target == lostTarget
			x.after(lossCheckSteps, func() {
				x.apply(n, dispatcher.TargetChecked{Target: e.Target, Address: e.Address, IsUnanswered: lost})
			})
		case dispatcher.ReportCrashes:
			x.report(n, e)
		}
	}
}

func (x *lossRun) send(n int, e dispatcher.Send) {
	for _, stage := range e.Chain {
		if stage.Target == lostTarget {
			x.lostSends[x.step]++
			x.after(1, func() { x.apply(n, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.Broken}) })
			return
		}
	}
	x.after(3, func() {
		x.apply(n, dispatcher.AttemptReported{Call: e.Call, Outcome: dispatcher.Delivered, Status: 200, Events: 9, FirstByte: time.Millisecond})
	})
}

func (x *lossRun) report(from int, e dispatcher.ReportCrashes) {
	var crashes []crashrecorder.Crash
	for _, c := range e.Crashes {
		c.Reporter, c.AgeMS = fmt.Sprint("node-", from), (lossReportSteps * lossStep).Milliseconds()
		crashes = append(crashes, c)
	}
	x.reporters[from] = true
	if len(x.reporters) == 2 && x.knownAt == 0 {
		x.knownAt = x.step + lossReportSteps
	}
	x.after(lossReportSteps, func() {
		for to := range x.nodes {
			if to != from {
				x.apply(to, dispatcher.CrashesReported{Crashes: crashes, Cleared: e.Cleared})
			}
		}
	})
}

// run lets each node get a stream at the given interval.
func (x *lossRun) run(interval int) {
	call := identifier.CallID(1)
	for x.step = 0; x.step < lossSteps; x.step++ {
		for _, do := range x.queue[x.step] {
			do()
		}
		for n := range x.nodes {
			x.apply(n, messenger.Tick{})
			if (x.step+n)%interval == 0 {
				call++
				x.apply(n, dispatcher.RequestArrived{
					Call: call, ID: identifier.RequestID(fmt.Sprint(call)), Host: "h", Path: "/draft/", Key: "key", Seed: uint64(call),
					Fingerprint: identifier.Fingerprint(call), Group: identifier.Fingerprint(call),
				})
			}
		}
	}
}

// TestNodesGoAroundATargetThatOthersHaveLost guards against requests that each of many nodes loses at a lost target until it
// has found out by itself, and against as many checks of that target.
func TestNodesGoAroundATargetThatOthersHaveLost(t *testing.T) {
	for _, nodes := range []int{8, 95, 470} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := qt.New(t)
			x := newLossRun(nodes)
			x.run(100)
			before, after := 0, 0
			for step, n := range x.lostSends {
				if step <= x.knownAt {
					before += n
				} else {
					after += n
				}
			}
			c.Assert(x.knownAt > 0, qt.IsTrue)
			c.Check(after, qt.Equals, 0, qt.Commentf("%d sends to the lost target until it was known, %d after that, %d checks", before, after, x.checks))
		})
	}
}

func reportOfLoss(reporter string, request identifier.Fingerprint, incarnation int64) dispatcher.CrashesReported {
	return dispatcher.CrashesReported{Crashes: []crashrecorder.Crash{{
		Request: request, Target: lostTarget, Incarnation: incarnation, Depth: 1, Reporter: reporter, AgeMS: 100,
	}}}
}

// usesLost reports whether a new stream is sent over the lost target, for one of many seeds.
func usesLost(d *harness, at time.Duration) bool {
	for range 40 {
		_, e := d.sendRequest(at, "/draft/", "key")
		sent, ok := e.(dispatcher.Send)
		if ok && chainUses(sent.Chain, lostTarget) {
			return true
		}
	}
	return false
}

func chainUses(chain []describer.Stage, id identifier.TargetID) bool {
	for _, stage := range chain {
		if stage.Target == id {
			return true
		}
	}
	return false
}

// TestReportsThatProveNothingMoveNoRequests guards against one node that has lost its way to sound targets and makes all nodes
// leave them, and against reports of an earlier incarnation or from before the target has answered.
func TestReportsThatProveNothingMoveNoRequests(t *testing.T) {
	const at = time.Second
	for name, play := range map[string]func(d *harness){
		"one node, many requests": func(d *harness) {
			for request := range identifier.Fingerprint(9) {
				d.apply(at, reportOfLoss("node-1", request+1, 0))
			}
		},
		"without reporter": func(d *harness) {
			d.apply(at, reportOfLoss("", 1, 0))
			d.apply(at, reportOfLoss("", 2, 0))
		},
		"earlier incarnation": func(d *harness) {
			restarted := targets()
			for i := range restarted {
				restarted[i].Incarnation = 5
			}
			d.apply(at/2, registrar.TargetsChanged{Targets: restarted})
			d.apply(at, reportOfLoss("node-1", 1, 4))
			d.apply(at, reportOfLoss("node-2", 2, 4))
		},
		"long apart": func(d *harness) {
			d.apply(at/10, reportOfLoss("node-1", 1, 0))
			d.apply(2*at, reportOfLoss("node-2", 2, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := readyHarness()
			play(d)
			qt.Assert(t, usesLost(d, 2*at), qt.IsTrue)
		})
	}
}

// TestSuspicionEnds checks that a target that several nodes have seen fail gets requests again after a while, and at once when
// it has restarted.
func TestSuspicionEnds(t *testing.T) {
	const at = time.Second
	for name, play := range map[string]func(d *harness) time.Duration{
		"after a while": func(d *harness) time.Duration {
			d.apply(6*at, messenger.Tick{})
			d.apply(6*at, dispatcher.ConfigurationConfirmed{AsOf: start.Add(6 * at)})
			return 6 * at
		},
		"restarted": func(d *harness) time.Duration {
			restarted := targets()
			for i := range restarted {
				restarted[i].Incarnation = 5
			}
			d.apply(at+time.Millisecond, registrar.TargetsChanged{Targets: restarted})
			d.apply(at+2*time.Millisecond, messenger.Tick{})
			return at + time.Second/5
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := readyHarness()
			d.apply(at, reportOfLoss("node-1", 1, 0))
			d.apply(at, reportOfLoss("node-2", 2, 0))
			c.Assert(usesLost(d, at), qt.IsFalse)
			c.Assert(usesLost(d, play(d)), qt.IsTrue)
		})
	}
}
