package pathtracker_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/pathtracker"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTracker returns a tracker that knows drafters and ledgers, one of each reached at the start.
func newTracker(drafters, ledgers int) *pathtracker.Tracker {
	t := pathtracker.NewTracker()
	var targets []pathtracker.Target
	for i := range drafters {
		targets = append(targets, pathtracker.Target{ID: drafter(i), Address: string(drafter(i)), Service: "draft"})
	}
	for i := range ledgers {
		targets = append(targets, pathtracker.Target{ID: ledger(i), Address: string(ledger(i)), Service: "ledger"})
	}
	t.SetTargets(start, targets)
	t.Reached(start, start, drafter(0))
	t.Reached(start, start, ledger(0))
	return t
}

func drafter(i int) identifier.TargetID { return identifier.TargetID(fmt.Sprintf("draft-%d", i)) }
func ledger(i int) identifier.TargetID  { return identifier.TargetID(fmt.Sprintf("ledger-%d", i)) }

// TestFewFailuresAreNotALostPath guards against a node that hands its requests over because targets have crashed.
func TestFewFailuresAreNotALostPath(t *testing.T) {
	c := qt.New(t)
	x := newTracker(10, 3)
	c.Check(x.Failed(at(100), drafter(1)), qt.HasLen, 0)
	c.Check(x.Failed(at(200), drafter(2)), qt.HasLen, 0)
	c.Check(x.Failed(at(250), drafter(2)), qt.HasLen, 0)
	x.Reached(at(300), at(300), drafter(3))
	c.Check(x.Failed(at(400), drafter(4)), qt.HasLen, 0)
	c.Check(x.Failed(at(500), drafter(5)), qt.HasLen, 0)
	c.Check(x.IsLost("draft"), qt.IsFalse)
}

// TestPathIsLostWhenNoTargetIsReached guards against a node that goes on trying one target after the other behind a cut, and against one
// that learns for each service anew that it is cut off.
func TestPathIsLostWhenNoTargetIsReached(t *testing.T) {
	c := qt.New(t)
	x := newTracker(10, 3)
	x.Failed(at(100), drafter(0))
	x.Failed(at(200), drafter(1))
	changes := x.Failed(at(300), drafter(2))
	c.Assert(changes, qt.HasLen, 2)
	c.Check(x.Lost(), qt.DeepEquals, []identifier.ServiceID{"draft", "ledger"})
	c.Check(changes[0].Failures, qt.Equals, 3)
	c.Check(changes[0].SinceReached, qt.Equals, 300*time.Millisecond)
	// The other service is reached: only its own path is there.
	c.Check(x.Reached(at(400), at(400), ledger(1)), qt.HasLen, 1)
	c.Check(x.Lost(), qt.DeepEquals, []identifier.ServiceID{"draft"})
	x.Failed(at(900), drafter(3))
	c.Check(x.Lost(), qt.DeepEquals, []identifier.ServiceID{"draft"})
}

// TestSmallServiceIsLostWithAllItsTargets guards against a service with fewer targets than failures are asked for.
func TestSmallServiceIsLostWithAllItsTargets(t *testing.T) {
	c := qt.New(t)
	x := newTracker(10, 2)
	x.Failed(at(100), ledger(0))
	c.Check(x.IsLost("ledger"), qt.IsFalse)
	x.Failed(at(200), ledger(1))
	c.Check(x.IsLost("ledger"), qt.IsTrue)
	c.Check(x.IsLost("draft"), qt.IsTrue)
	x.Reached(at(300), at(300), drafter(7))
	c.Check(x.IsLost("draft"), qt.IsFalse)
	c.Check(x.IsLost("ledger"), qt.IsTrue)
}

// TestBytesFromBeforeAFailureDoNotEndIt guards against a report that tells late of what arrived before the cut.
func TestBytesFromBeforeAFailureDoNotEndIt(t *testing.T) {
	c := qt.New(t)
	x := newTracker(3, 1)
	for i := range 3 {
		x.Failed(at(100+i), drafter(i))
	}
	x.Reached(at(500), at(50), drafter(1))
	c.Check(x.IsLost("draft"), qt.IsTrue)
}

// TestTargetsAreCheckedUntilReached guards against targets that stay left out after the end of a cut, and against checks while there is none.
func TestTargetsAreCheckedUntilReached(t *testing.T) {
	c := qt.New(t)
	x := newTracker(5, 1)
	x.Failed(at(50), drafter(0))
	due, _ := x.DueChecks(at(100))
	c.Check(due, qt.HasLen, 0)
	x.Failed(at(150), drafter(1))
	x.Failed(at(160), drafter(2))
	checked := map[identifier.TargetID]int{}
	for ms := 200; ms < 2000; ms += 50 {
		due, _ := x.DueChecks(at(ms))
		for _, target := range due {
			checked[target.ID]++
			x.CheckFailed(at(ms+40), target.ID)
		}
	}
	c.Check(checked, qt.HasLen, 6)
	for id, n := range checked {
		c.Check(n >= 4, qt.IsTrue, qt.Commentf("%s was checked %d times", id, n))
	}
	// After the end each target that a request has failed to reach is checked until it is reached.
	reached := map[identifier.TargetID]bool{}
	for ms := 2000; ms < 4000; ms += 50 {
		due, _ := x.DueChecks(at(ms))
		for _, target := range due {
			reached[target.ID] = true
			x.Reached(at(ms+5), at(ms+5), target.ID)
		}
	}
	for i := range 3 {
		c.Check(reached[drafter(i)], qt.IsTrue)
	}
	c.Check(x.Lost(), qt.HasLen, 0)
}

// TestEndOfCutOpensFewConnections guards against a node that opens a connection to each of hundreds of targets at the end of each cut.
func TestEndOfCutOpensFewConnections(t *testing.T) {
	c := qt.New(t)
	x := newTracker(200, 5)
	for i := range 4 {
		x.Failed(at(50+i), drafter(i))
	}
	for ms := 100; ms < 8000; ms += 50 {
		due, _ := x.DueChecks(at(ms))
		for _, target := range due {
			x.CheckFailed(at(ms+40), target.ID)
		}
	}
	c.Assert(x.Lost(), qt.HasLen, 2)
	opened := 0
	for ms := 8000; ms < 12_000; ms += 50 {
		due, _ := x.DueChecks(at(ms))
		for _, target := range due {
			opened++
			x.Reached(at(ms+5), at(ms+5), target.ID)
		}
	}
	c.Check(opened <= 8, qt.IsTrue, qt.Commentf("%d connections opened", opened))
	c.Check(x.Lost(), qt.HasLen, 0)
}

// TestCheckFindsTheTargetThatLives guards against a path that counts as lost for long because several targets have failed: the checks must
// come to the others.
func TestCheckFindsTheTargetThatLives(t *testing.T) {
	c := qt.New(t)
	x := newTracker(30, 1)
	for i := range 29 {
		x.Failed(at(50+i), drafter(i))
	}
	c.Assert(x.IsLost("draft"), qt.IsTrue)
	for ms := 100; ms < 2000 && x.IsLost("draft"); ms += 50 {
		due, _ := x.DueChecks(at(ms))
		for _, target := range due {
			if target.ID == drafter(29) {
				x.Reached(at(ms+5), at(ms+5), target.ID)
				continue
			}
			x.CheckFailed(at(ms+40), target.ID)
		}
	}
	c.Check(x.IsLost("draft"), qt.IsFalse)
}

// TestReachedTargetEndsLostPath checks that no order of events leaves a path lost to a service one of whose targets was reached last.
func TestReachedTargetEndsLostPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newTracker(rapid.IntRange(1, 6).Draw(t, "drafters"), rapid.IntRange(1, 4).Draw(t, "ledgers"))
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			now := at(10 * (i + 1))
			id := rapid.SampledFrom([]identifier.TargetID{drafter(0), drafter(1), drafter(5), ledger(0), ledger(1), ledger(3)}).Draw(t, "target")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				x.Failed(now, id)
			case 2:
				x.Reached(now, now, id)
			case 3:
				x.DueChecks(now)
			}
		}
		end := at(1000)
		x.Reached(end, end, drafter(0))
		x.Reached(end, end, ledger(0))
		if lost := x.Lost(); len(lost) > 0 {
			t.Fatalf("paths still lost: %v", lost)
		}
	})
}
