package loadtracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/loadtracker"
)

var start = time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func report(waiting, running int) loadtracker.Report {
	return loadtracker.Report{Target: "t", Incarnation: 1, Waiting: waiting, Running: running, MemoryUsed: 30, MemoryTotal: 40, Pace: 1}
}

// TestWaitGrowsWithWaitingRequests guards against sending more requests to a first target at which a queue has formed: with 50 requests
// of 2 s each in progress, the twentieth in the queue begins after 0.8 s.
func TestWaitGrowsWithWaitingRequests(t *testing.T) {
	c := qt.New(t)
	tracker := loadtracker.NewTracker()
	tracker.Learn(start, []loadtracker.Report{report(20, 50)})
	wait, ok := tracker.ExpectedWait(start, "t", 2*time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(wait, qt.Equals, 800*time.Millisecond)
	load, ok := tracker.Load(start, "t")
	c.Assert(ok, qt.IsTrue)
	c.Assert(load.MemoryShare, qt.Equals, 0.75)
}

// TestTrendIsContinued guards against a burst that is seen only when its queue is long: a queue that grows is taken to be longer than
// the last report says, by as much as the report is old, and one that shrinks to be shorter, but never below zero.
func TestTrendIsContinued(t *testing.T) {
	c := qt.New(t)
	tracker := loadtracker.NewTracker()
	tracker.Learn(after(0), []loadtracker.Report{report(0, 50)})
	tracker.Learn(after(300), []loadtracker.Report{report(30, 50)})
	load, _ := tracker.Load(after(500), "t")
	c.Assert(load.Waiting, qt.Equals, 50.0)
	load, _ = tracker.Load(after(1700), "t")
	c.Assert(load.Waiting, qt.Equals, 90.0, qt.Commentf("the trend is continued for a limited time"))
	tracker.Learn(after(1800), []loadtracker.Report{report(30, 50)})
	tracker.Learn(after(2100), []loadtracker.Report{report(3, 50)})
	load, _ = tracker.Load(after(2300), "t")
	c.Assert(load.Waiting, qt.Equals, 0.0)
}

// TestRunningRequestsArePredicted guards against a target that fills, or empties, between two reports and counts as before: while nothing
// waits, the trend of the running requests is continued, and what this node has sent runs.
func TestRunningRequestsArePredicted(t *testing.T) {
	c := qt.New(t)
	tracker := loadtracker.NewTracker()
	tracker.Learn(after(0), []loadtracker.Report{report(0, 50)})
	tracker.Learn(after(300), []loadtracker.Report{report(0, 80)})
	load, _ := tracker.Load(after(500), "t")
	c.Assert(load.Running, qt.Equals, 100.0)
	for range 30 {
		tracker.Sent("t")
	}
	load, _ = tracker.Load(after(500), "t")
	c.Assert(load.Running, qt.Equals, 110.0)
	tracker.Learn(after(600), []loadtracker.Report{report(4, 90)})
	load, _ = tracker.Load(after(800), "t")
	c.Assert(load.Running, qt.Equals, 90.0)
}

// TestOwnRequestsCountWhileOthersWait guards against one node that sends a burst of its own to a target with a queue between two reports.
func TestOwnRequestsCountWhileOthersWait(t *testing.T) {
	c := qt.New(t)
	tracker := loadtracker.NewTracker()
	tracker.Learn(start, []loadtracker.Report{report(4, 50)})
	for range 6 {
		tracker.Sent("t")
	}
	load, _ := tracker.Load(after(100), "t")
	c.Assert(load.Waiting, qt.Equals, 10.0)
}

// TestUnusableReportsAreIgnored guards against reports that are stale, from the future, older than a known one, of an incarnation that
// has ended, or with values that no target has: they must not replace sound ones.
func TestUnusableReportsAreIgnored(t *testing.T) {
	c := qt.New(t)
	sound := report(5, 50)
	sound.Incarnation = 2
	for name, change := range map[string]func(*loadtracker.Report){
		"stale":               func(r *loadtracker.Report) { r.AgeMS = 1500 },
		"from the future":     func(r *loadtracker.Report) { r.AgeMS = -40 },
		"older":               func(r *loadtracker.Report) { r.AgeMS = 300 },
		"earlier incarnation": func(r *loadtracker.Report) { r.Incarnation = 1 },
		"negative":            func(r *loadtracker.Report) { r.Waiting = -3 },
		"negative memory":     func(r *loadtracker.Report) { r.MemoryUsed = -3 },
	} {
		tracker := loadtracker.NewTracker()
		tracker.Learn(start, []loadtracker.Report{sound})
		other := sound
		other.Waiting = 90
		change(&other)
		tracker.Learn(after(200), []loadtracker.Report{other})
		load, ok := tracker.Load(after(200), "t")
		c.Check(ok, qt.IsTrue, qt.Commentf(name))
		c.Check(load.Waiting, qt.Equals, 5.0, qt.Commentf(name))
	}
}

// TestRestartedTargetHasNoTrend guards against the queue of a target that has crashed being continued after its restart.
func TestRestartedTargetHasNoTrend(t *testing.T) {
	c := qt.New(t)
	tracker := loadtracker.NewTracker()
	tracker.Learn(after(0), []loadtracker.Report{report(10, 50)})
	tracker.Learn(after(300), []loadtracker.Report{report(90, 50)})
	restarted := report(0, 0)
	restarted.Incarnation = 2
	tracker.Learn(after(600), []loadtracker.Report{restarted})
	load, ok := tracker.Load(after(900), "t")
	c.Assert(ok, qt.IsTrue)
	c.Assert(load.Waiting, qt.Equals, 0.0)
}

// TestStaleReportsPredictNothing guards against decisions on old knowledge while no reader of the store answers; the change is told once.
func TestStaleReportsPredictNothing(t *testing.T) {
	c := qt.New(t)
	tracker := loadtracker.NewTracker()
	c.Assert(tracker.Check(after(0)), qt.Equals, loadtracker.None)
	tracker.Learn(after(0), []loadtracker.Report{report(10, 50)})
	c.Assert(tracker.Check(after(1400)), qt.Equals, loadtracker.None)
	_, ok := tracker.ExpectedWait(after(1500), "t", time.Second)
	c.Assert(ok, qt.IsFalse)
	c.Assert(tracker.Check(after(1500)), qt.Equals, loadtracker.WentStale)
	c.Assert(tracker.Check(after(1600)), qt.Equals, loadtracker.None)
	tracker.Learn(after(1700), []loadtracker.Report{report(10, 50)})
	c.Assert(tracker.Check(after(1700)), qt.Equals, loadtracker.Recovered)
	_, ok = tracker.ExpectedWait(after(1700), "other", time.Second)
	c.Assert(ok, qt.IsFalse)
}
