package chooser_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/weigher"
)

// toldAfter is the time from a rejection to its arrival at all other nodes: a batch, a call and the answer to an open query.
const toldAfter = 80 * time.Millisecond

// told is a set of rejections on its way to the other nodes.
type told struct {
	at         time.Time
	rejections []avoider.Rejection
}

// nodesBefore returns nodes, with their trackers, before five chains of one target and one of two, the second of which is "middle".
func nodesBefore(count int) ([]*chooser.Chooser, []*loadtracker.Tracker) {
	var targets []registrar.Target
	for i := range 5 {
		targets = append(targets, chainTarget(fmt.Sprint("t", i), "a", "fast"))
	}
	head, middle := chainTarget("head", "a", "fast"), chainTarget("middle", "a", "fast")
	head.Layers.To, middle.Layers.From = layers/2, layers/2
	targets = append(targets, head, middle)
	var nodes []*chooser.Chooser
	var trackers []*loadtracker.Tracker
	for range count {
		x, tracker := chooser.NewChooser("a"), loadtracker.NewTracker()
		x.UseLoads(tracker)
		s := services()
		s["draft"].Engine.Slots, s["draft"].Engine.TypicalAnswer = slots, answer
		x.SetServices(s)
		x.SetTargets(targets)
		x.Replan(now, "draft")
		nodes, trackers = append(nodes, x), append(trackers, tracker)
	}
	return nodes, trackers
}

// busyButHead returns reports by which the first target of the chain with the middle target has the most free, as nothing begins there.
func busyButHead() []loadtracker.Report {
	reports := []loadtracker.Report{{Target: "head"}}
	for i := range 5 {
		reports = append(reports, loadtracker.Report{Target: identifier.TargetID(fmt.Sprint("t", i)), Running: 100})
	}
	return reports
}

// applyTold returns the rejections that effects tell other nodes of.
func applyTold(effects []messenger.Effect) []avoider.Rejection {
	for _, e := range effects {
		if t, ok := e.(avoider.TellRejections); ok {
			return t.Rejections
		}
	}
	return nil
}

// rejectionRun sends 400 requests a second of 80 nodes, of which a middle target rejects all that reach it before a time, and returns how
// many reach it in each half second.
func rejectionRun(seed uint64, halves int, rejectsUntil time.Time) []int {
	nodes, trackers := nodesBefore(simulatedNodes)
	source := rand.New(rand.NewPCG(seed, 4))
	reached := make([]int, halves)
	var pending []told
	for ms := range halves * 500 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		for len(pending) > 0 && !at.Before(pending[0].at) {
			for _, x := range nodes {
				x.LearnRejections(at, pending[0].rejections)
			}
			pending = pending[1:]
		}
		if ms%100 == 0 {
			for n, x := range nodes {
				x.Tick(at)
				trackers[n].Learn(at, busyButHead())
			}
		}
		if source.Float64() >= 0.4 {
			continue
		}
		x := nodes[source.IntN(len(nodes))]
		chain := x.Chain(at, "draft", source.Uint64(), nil, weigher.Prompt{})
		if !slices.ContainsFunc(chain.Stages, func(s describer.Stage) bool { return s.Target == "middle" }) {
			continue
		}
		reached[ms/500]++
		if !at.Before(rejectsUntil) {
			continue
		}
		if t := applyTold(x.Reject(at, "middle")); t != nil {
			t[0].AgeMS = toldAfter.Milliseconds()
			pending = append(pending, told{at: at.Add(toldAfter), rejections: t})
		}
	}
	return reached
}

// TestRejectingMiddleTargetGetsFewRequests guards against a target without room that each of 80 nodes finds out by itself, again and again:
// of 36 requests a second that it would get, all together send it at most 3 a second after the first half second, and 4 s after it has room again
// it has its share back. What is sent in one second before all know of a rejection depends on chance; the mean of ten runs is checked for the
// first second, and in no run it may be over twice as much.
func TestRejectingMiddleTargetGetsFewRequests(t *testing.T) {
	const runs = 10
	c := qt.New(t)
	firstSecond := 0
	for seed := range uint64(runs) {
		reached := rejectionRun(seed, 60, now.Add(20*time.Second))
		comment := qt.Commentf("requests by half second: %v", reached)
		firstSecond += reached[1] + reached[2]
		c.Check(sum(reached[1:40]) <= 3*39/2, qt.IsTrue, comment)
		for i := range 38 {
			c.Check(sum(reached[i+1:i+3]) <= 6, qt.IsTrue, comment)
		}
		c.Check(sum(reached[48:]) > 6*25, qt.IsTrue, comment)
	}
	c.Check(firstSecond <= 3*runs, qt.IsTrue, qt.Commentf("%d requests in %d runs", firstSecond, runs))
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// TestRejectionsLeaveOneChain guards against requests that find no chain, as each includes a target that rejects requests.
func TestRejectionsLeaveOneChain(t *testing.T) {
	c := qt.New(t)
	nodes, _ := nodesBefore(1)
	x := nodes[0]
	for _, id := range []identifier.TargetID{"t0", "t1", "t2", "t3", "t4", "middle"} {
		c.Assert(x.Chain(now, "draft", 7, nil, weigher.Prompt{}), qt.IsNotNil)
		x.Reject(now, string(id))
	}
	c.Assert(x.HasOtherChain(now, "draft"), qt.IsFalse)
	c.Assert(x.Chain(now, "draft", 7, nil, weigher.Prompt{}), qt.IsNotNil)
}
