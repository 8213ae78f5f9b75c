package weigher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/weigher"
)

var start = time.Unix(1_000_000, 0)

// Prompts of a route with an objective of half a second, before chains that read 20 tokens a millisecond: a chain may have 62 ms unread.
var (
	short = weigher.Prompt{Tokens: 300, Objective: 500 * time.Millisecond}
	long  = weigher.Prompt{Tokens: 8000, Objective: 500 * time.Millisecond}
)

// newPlan returns the plan of a node in data centre "a" before equal chains, each in one of the data centres, and the weigher and tracker.
func newPlan(engine describer.Engine, centres ...identifier.DataCentre) (*weigher.Plan, *weigher.Weigher, *loadtracker.Tracker) {
	engine.StepTime, engine.ReadRate, engine.Slots, engine.TypicalAnswer, engine.Stride = 10*time.Millisecond, 20_000, 192, 170, 3
	places := map[identifier.TargetID]weigher.Place{}
	var chains []chainer.Chain
	tracker := loadtracker.NewTracker()
	for i, dc := range centres {
		id := identifier.TargetID([]string{"t", "u", "v", "w"}[i])
		places[id] = weigher.Place{DataCentre: dc}
		chains = append(chains, chainer.Chain{Stages: []describer.Stage{{Target: id}}, DataCentre: dc, StepCost: 10})
		tracker.Learn(start, []loadtracker.Report{{Target: id, Running: 100}})
	}
	plan := weigher.NewPlan("a", &engine, chains, func(id identifier.TargetID) weigher.Place { return places[id] })
	return plan, weigher.NewWeigher(tracker), tracker
}

// choose returns the first chain that may read a prompt, or else the first of all.
func choose(w *weigher.Weigher, at time.Time, p *weigher.Plan, chains int, prompt weigher.Prompt) int {
	for i := range chains {
		if w.MayRead(at, p, i, prompt) {
			return i
		}
	}
	return 0
}

// TestShortPromptsAreNotReadAfterLongOnes guards against short prompts that miss their objective as a long one is read before them, 400 ms
// long: of 30 requests a second, one of ten of them long, no short one has to wait for over an eighth of the objective at one of four chains.
// Long ones are read at once too.
func TestShortPromptsAreNotReadAfterLongOnes(t *testing.T) {
	c := qt.New(t)
	p, w, _ := newPlan(describer.Engine{}, "a", "a", "a", "a")
	targets := []identifier.TargetID{"t", "u", "v", "w"}
	for n := range 300 {
		at := start.Add(time.Duration(n) * time.Second / 30)
		prompt := short
		if n%10 == 0 {
			prompt = long
		}
		i := choose(w, at, p, len(targets), prompt)
		wait := w.Unread(at, targets[i])
		c.Assert(wait <= 62*time.Millisecond, qt.IsTrue, qt.Commentf("request %d waits for %s", n, wait))
		w.Read(at, p, i, prompt)
	}
}

// TestOneChainReadsAll guards against requests that find no chain beside a long prompt, and long ones that are never read: a chain that reads
// nothing may get a prompt of any length, and the bound ends with the reading.
func TestOneChainReadsAll(t *testing.T) {
	c := qt.New(t)
	p, w, _ := newPlan(describer.Engine{}, "a")
	c.Assert(w.MayRead(start, p, 0, long), qt.IsTrue)
	w.Read(start, p, 0, long)
	c.Assert(w.MayRead(start, p, 0, short), qt.IsFalse)
	c.Assert(w.MayRead(start, p, 0, weigher.Prompt{Tokens: 300}), qt.IsTrue, qt.Commentf("a route without an objective has no bound"))
	c.Assert(w.MayRead(start.Add(400*time.Millisecond), p, 0, long), qt.IsTrue)
}

// TestWaitingRequestsDelayReading guards against prompts that count as read while they still wait for a slot.
func TestWaitingRequestsDelayReading(t *testing.T) {
	c := qt.New(t)
	p, w, tracker := newPlan(describer.Engine{}, "a")
	tracker.Learn(start.Add(200*time.Millisecond), []loadtracker.Report{{Target: "t", Running: 170, Waiting: 50}})
	at := start.Add(200 * time.Millisecond)
	w.Read(at, p, 0, short)
	c.Assert(w.Unread(at, "t") > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", w.Unread(at, "t")))
}

// TestOtherDataCentreCostsItsDelay guards against a constant preference for the own data centre, which leaves others unused however
// near they are, or loads far ones.
func TestOtherDataCentreCostsItsDelay(t *testing.T) {
	c := qt.New(t)
	p, w, _ := newPlan(describer.Engine{Delays: map[describer.Link]time.Duration{
		{From: "a", To: "near"}: time.Millisecond, {From: "far", To: "a"}: 45 * time.Millisecond,
	}}, "a", "near", "far", "unknown")
	weights := w.Weights(start, p)
	c.Check(weights[1]/weights[0] > 0.9 && weights[1] < weights[0], qt.IsTrue, qt.Commentf("%v", weights))
	c.Check(weights[2]/weights[0] < 0.3, qt.IsTrue, qt.Commentf("%v", weights))
	c.Check(weights[3] < weights[1] && weights[3] > weights[2], qt.IsTrue, qt.Commentf("%v", weights))
}
