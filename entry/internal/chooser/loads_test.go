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
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/weigher"
)

const (
	simulatedNodes = 80
	slots          = 192
	answer         = 170
	tick           = 10 * time.Millisecond
	reportTicks    = 30
	// lagTicks and spreadTicks: a report is 200 to 500 ms old when a node learns of it.
	lagTicks    = 20
	spreadTicks = 30
)

// fleet simulates nodes before chains of one target each, in two data centres. A stream lasts as long as the steps of its answer.
type fleet struct {
	nodes    []*chooser.Chooser
	trackers []*loadtracker.Tracker
	ids      []identifier.TargetID
	steps    map[identifier.TargetID]time.Duration
	running  map[identifier.TargetID][]time.Time
	waiting  map[identifier.TargetID]int
	arrived  map[identifier.TargetID]int
	ended    map[identifier.TargetID]int
	pending  []delivery
	rand     *rand.Rand
	ticks    int
	now      time.Time
}

// delivery is a set of reports on its way to a node.
type delivery struct {
	node    int
	at      time.Time
	reports []loadtracker.Report
	// measured is when the reports were true.
	measured time.Time
}

func newFleet(factors ...float64) *fleet {
	f := &fleet{
		steps: map[identifier.TargetID]time.Duration{}, running: map[identifier.TargetID][]time.Time{}, waiting: map[identifier.TargetID]int{},
		arrived: map[identifier.TargetID]int{}, ended: map[identifier.TargetID]int{}, rand: rand.New(rand.NewPCG(1, 2)), now: now,
	}
	engine := &describer.Engine{
		Layers: layers, LayerMegabytes: 1000, TokenBytes: 400_000, TypicalTokens: 900, TypicalAnswer: answer, Stride: 3, StepTime: 9 * time.Millisecond, ReadRate: 20_000,
		Kinds:  map[identifier.AcceleratorKind]describer.Accelerator{},
		Delays: map[describer.Link]time.Duration{{From: "a", To: "b"}: 4 * time.Millisecond},
	}
	var targets []registrar.Target
	for i, factor := range factors {
		kind := identifier.AcceleratorKind(fmt.Sprint("k", i))
		engine.Kinds[kind] = describer.Accelerator{Megabytes: 120_000, StepFactor: factor}
		target := chainTarget(fmt.Sprint("t", i), identifier.DataCentre([]string{"a", "b"}[i%2]), kind)
		target.Slots = slots
		targets = append(targets, target)
		f.ids = append(f.ids, target.ID)
		f.steps[target.ID] = time.Duration(factor * 9 * float64(time.Millisecond))
	}
	for n := range simulatedNodes {
		x := chooser.NewChooser(identifier.DataCentre([]string{"a", "b"}[n%2]))
		tracker := loadtracker.NewTracker()
		x.UseLoads(tracker)
		x.SetServices(map[identifier.ServiceID]describer.Service{"draft": {ID: "draft", Engine: engine}})
		x.SetTargets(targets)
		x.Replan(now, "draft")
		f.nodes, f.trackers = append(f.nodes, x), append(f.trackers, tracker)
	}
	return f
}

// run simulates a number of ticks with arrivals at a rate a second, after which arrived and ended hold those of this time.
func (f *fleet) run(ticks int, rate float64) {
	clear(f.arrived)
	clear(f.ended)
	due := 0.0
	for range ticks {
		f.now = f.now.Add(tick)
		f.end()
		f.report()
		for due += rate * tick.Seconds(); due >= 1; due-- {
			f.send()
		}
	}
}

// end ends the streams whose time is over, and begins those that wait.
func (f *fleet) end() {
	for _, id := range f.ids {
		before := len(f.running[id])
		f.running[id] = slices.DeleteFunc(f.running[id], func(until time.Time) bool { return !f.now.Before(until) })
		f.ended[id] += before - len(f.running[id])
		for f.waiting[id] > 0 && len(f.running[id]) < slots {
			f.waiting[id]--
			f.begin(id)
		}
	}
}

func (f *fleet) begin(id identifier.TargetID) {
	length := 0.5 + f.rand.Float64()
	f.running[id] = append(f.running[id], f.now.Add(time.Duration(length*answer*float64(f.steps[id]))))
}

// report sends reports to all nodes every reportTicks, and delivers those that are due.
func (f *fleet) report() {
	if f.ticks++; f.ticks%reportTicks == 0 {
		var reports []loadtracker.Report
		for _, id := range f.ids {
			reports = append(reports, loadtracker.Report{Target: id, Waiting: f.waiting[id], Running: len(f.running[id]), Pace: 1})
		}
		for n := range f.nodes {
			f.pending = append(f.pending, delivery{node: n, at: f.now.Add(time.Duration(lagTicks+f.rand.IntN(spreadTicks)) * tick), reports: reports, measured: f.now})
		}
	}
	f.pending = slices.DeleteFunc(f.pending, func(d delivery) bool {
		if f.now.Before(d.at) {
			return false
		}
		reports := slices.Clone(d.reports)
		for i := range reports {
			reports[i].AgeMS = f.now.Sub(d.measured).Milliseconds()
		}
		f.trackers[d.node].Learn(f.now, reports)
		return true
	})
}

// send sends one request by an arbitrary node.
func (f *fleet) send() {
	n := f.rand.IntN(len(f.nodes))
	chain := f.nodes[n].Chain(f.now, "draft", f.rand.Uint64(), nil, weigher.Prompt{Tokens: 700, Objective: time.Second})
	id := chain.Stages[0].Target
	f.trackers[n].Sent(id)
	f.arrived[id]++
	if len(f.running[id]) < slots {
		f.begin(id)
		return
	}
	f.waiting[id]++
}

func (f *fleet) free(id identifier.TargetID) int { return slots - len(f.running[id]) - f.waiting[id] }

// capacity returns the number of streams a second that all chains together can take.
func (f *fleet) capacity() float64 {
	capacity := 0.0
	for _, id := range f.ids {
		capacity += slots / (answer * f.steps[id].Seconds())
	}
	return capacity
}

// TestManyNodesShareWhatIsFree guards against chains that fill while others have free slots, since each of many nodes sees few of the
// requests: 80 nodes with reports that are 200 to 800 ms old send no chain more than what is free, or becomes so, in half a second by over a
// fifth, while demand rises to 0.85 of what all chains together can take, and jumps between 0.4 and 0.85. Under constant demand the share
// of a data centre must not swing either.
func TestManyNodesShareWhatIsFree(t *testing.T) {
	for name, demand := range map[string]func(window int) float64{
		"rising":  func(window int) float64 { return min(0.85, 0.4+0.05*float64(window)) },
		"jumping": func(window int) float64 { return 0.4 + 0.45*float64(window/8%2) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(1, 1, 1.3, 1.3, 1.6, 1.6, 2.3, 2.3)
			before := 0.5
			for window := range 48 {
				free := map[identifier.TargetID]int{}
				for _, id := range f.ids {
					free[id] = f.free(id)
				}
				f.run(50, f.capacity()*demand(window))
				for _, id := range f.ids {
					room := free[id] + f.ended[id]
					c.Check(float64(f.arrived[id]) <= 1.2*float64(room), qt.IsTrue, qt.Commentf("window %d: %s got %d requests for %d slots", window, id, f.arrived[id], room))
				}
				share := f.shareOfFirst()
				isSteady := share < before*4/3 && share > before*3/4
				c.Check(isSteady, qt.IsTrue, qt.Commentf("window %d: share of data centre a from %.2f to %.2f", window, before, share))
				before = share
			}
		})
	}
}

// shareOfFirst returns the share of the requests of the last run that went to the first data centre.
func (f *fleet) shareOfFirst() float64 {
	first, all := 0, 0
	for i, id := range f.ids {
		all += f.arrived[id]
		if i%2 == 0 {
			first += f.arrived[id]
		}
	}
	return float64(first) / float64(all)
}

// chooserWithReports returns a node before equal chains with the given reports, and the tracker that holds these.
func chooserWithReports(engine describer.Engine, reports ...loadtracker.Report) (*chooser.Chooser, *loadtracker.Tracker) {
	engine.Layers, engine.LayerMegabytes, engine.TokenBytes = layers, 1000, 400_000
	engine.StepTime, engine.Slots, engine.TypicalTokens, engine.TypicalAnswer = 10*time.Millisecond, slots, 900, answer
	engine.Kinds = map[identifier.AcceleratorKind]describer.Accelerator{"fast": {Megabytes: 120_000, StepFactor: 1}}
	x, tracker := chooser.NewChooser("a"), loadtracker.NewTracker()
	x.UseLoads(tracker)
	x.SetServices(map[identifier.ServiceID]describer.Service{"draft": {ID: "draft", Engine: &engine}})
	var targets []registrar.Target
	for _, r := range reports {
		targets = append(targets, chainTarget(string(r.Target), "a", "fast"))
	}
	x.SetTargets(targets)
	x.Replan(now, "draft")
	tracker.Learn(now, reports)
	return x, tracker
}

// shares returns the share of requests that each chain gets.
func shares(x *chooser.Chooser, at time.Time) map[identifier.TargetID]float64 {
	const requests = 2000
	out := map[identifier.TargetID]float64{}
	for seed := range uint64(requests) {
		out[x.Chain(at, "draft", seed, nil, weigher.Prompt{}).Stages[0].Target] += 1.0 / requests
	}
	return out
}

// TestUnsoundReportsKeepChainsInUse guards against chains that get everything or nothing by reports that are stale, contradict each
// other or are missing: without recent ones the choice is as without reports, and a chain without one gets some requests.
func TestUnsoundReportsKeepChainsInUse(t *testing.T) {
	c := qt.New(t)
	x, tracker := chooserWithReports(describer.Engine{}, loadtracker.Report{Target: "full", Running: slots, Waiting: 300}, loadtracker.Report{Target: "empty"}, loadtracker.Report{Target: "mute", AgeMS: 5000})
	got := shares(x, now)
	c.Check(got["full"] < 0.02 && got["empty"] > 0.7 && got["mute"] > 0.02, qt.IsTrue, qt.Commentf("%v", got))
	got = shares(x, now.Add(2*time.Second))
	c.Check(got["full"] > 0.3 && got["empty"] > 0.3 && got["mute"] > 0.3, qt.IsTrue, qt.Commentf("stale: %v", got))
	at := now.Add(2 * time.Second)
	for i := range 9 {
		at = at.Add(150 * time.Millisecond)
		tracker.Learn(at, []loadtracker.Report{{Target: "full", Running: slots * (i % 2)}, {Target: "empty", Running: slots * (i % 2)}, {Target: "mute", Running: slots / 2}})
	}
	got = shares(x, at.Add(100*time.Millisecond))
	c.Check(got["full"] > 0.1 && got["empty"] > 0.1 && got["mute"] > 0.1, qt.IsTrue, qt.Commentf("contradictory: %v", got))
}

// TestSlowChainGetsFewRequests guards against a chain that looks free as it takes little, although streams there have three times the
// gaps that its steps predict; it gets its share back when nothing is seen of it any more.
func TestSlowChainGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	x, tracker := chooserWithReports(describer.Engine{Stride: 3}, loadtracker.Report{Target: "slow", Running: 50}, loadtracker.Report{Target: "sound", Running: 50})
	for range 4 {
		x.RecordGap(now, "draft", "slow", 100*time.Millisecond)
		x.RecordGap(now, "draft", "sound", 32*time.Millisecond)
	}
	got := shares(x, now)
	c.Check(got["slow"] > 0.15 && got["slow"] < 0.35, qt.IsTrue, qt.Commentf("%v", got))
	later := now.Add(10 * time.Second)
	tracker.Learn(later, []loadtracker.Report{{Target: "slow", Running: 50}, {Target: "sound", Running: 50}})
	got = shares(x, later)
	c.Check(got["slow"] > 0.45, qt.IsTrue, qt.Commentf("%v", got))
}

// TestRequestsThatPassThroughTakeNoSlots guards against a first target that counts as full by the requests of other chains that only
// pass through it, as its report counts these too.
func TestRequestsThatPassThroughTakeNoSlots(t *testing.T) {
	c := qt.New(t)
	stage := func(id identifier.TargetID) describer.Stage { return describer.Stage{Target: id, Address: string(id)} }
	chains := []chainer.Chain{
		{Stages: []describer.Stage{stage("t"), stage("u")}, StepCost: 10}, {Stages: []describer.Stage{stage("v"), stage("t")}, StepCost: 10},
	}
	tracker := loadtracker.NewTracker()
	tracker.Learn(now, []loadtracker.Report{{Target: "t", Running: 180}, {Target: "v", Running: 140}})
	plan := weigher.NewPlan("a", &describer.Engine{Slots: slots, TypicalAnswer: answer}, chains, func(identifier.TargetID) weigher.Place { return weigher.Place{DataCentre: "a"} })
	weights := weigher.NewWeigher(tracker).Weights(now, plan)
	c.Assert(weights[0] > 1.5*weights[1], qt.IsTrue, qt.Commentf("%v", weights))
}

// TestPlacesAreFreeByRecentReportsOnly guards against limits that are lifted by reports that are old or missing, or while memory is short.
func TestPlacesAreFreeByRecentReportsOnly(t *testing.T) {
	c := qt.New(t)
	idle, busy := loadtracker.Report{Target: "t0", Running: 40}, loadtracker.Report{Target: "t1", Running: 190}
	short := loadtracker.Report{Target: "t1", Running: 40, MemoryUsed: 99, MemoryTotal: 100}
	for _, row := range []struct {
		first, second loadtracker.Report
		age           time.Duration
		want          bool
	}{{idle, busy, 0, true}, {busy, busy, 0, false}, {idle, short, 0, true}, {short, busy, 0, false}, {idle, busy, 2 * time.Second, false}} {
		row.first.Target, row.second.Target = "t0", "t1"
		x, tracker := chooserWithReports(describer.Engine{}, row.first, row.second)
		c.Check(x.HasFreePlaces(now.Add(row.age), "draft", tracker), qt.Equals, row.want, qt.Commentf("%+v", row))
	}
	x, _ := chooserWithReports(describer.Engine{}, idle, idle)
	c.Check(x.HasFreePlaces(now, "draft", loadtracker.NewTracker()), qt.IsFalse)
}
