package crashtracker_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	poison   identifier.Fingerprint = 1
	innocent identifier.Fingerprint = 2
)

var start = time.Unix(1_000_000, 0)

// fleet returns n targets without the given ones, whose entries are gone.
func fleet(n int, gone ...int) []registrar.Target {
	var out []registrar.Target
	for i := range n {
		isGone := false
		for _, g := range gone {
			isGone = isGone || g == i
		}
		if !isGone {
			out = append(out, registrar.Target{Target: describer.Target{ID: id(i), Address: string(id(i)), Incarnation: 1}})
		}
	}
	return out
}

func id(i int) identifier.TargetID { return identifier.TargetID(fmt.Sprint("t", i)) }

// broken returns an attempt whose connection broke, sent when the crashes known to the tracker were known.
func broken(t *crashtracker.Tracker, at time.Time, request identifier.Fingerprint, targets ...identifier.TargetID) crashtracker.Attempt {
	return crashtracker.Attempt{
		Request: request, Targets: targets, Before: t.History(at, request), SentAt: at, EndedAt: at.Add(10 * time.Millisecond), IsBroken: true,
	}
}

// TestThreeCrashesConfirmPoison checks that a request that crashes three targets, one after
// the other, is confirmed as poison at this node and at others that receive its reports, and
// that other requests are not.
func TestThreeCrashesConfirmPoison(t *testing.T) {
	c := qt.New(t)
	node, peer := crashtracker.NewTracker(), crashtracker.NewTracker()
	for _, tracker := range []*crashtracker.Tracker{node, peer} {
		tracker.SetTargets(start, fleet(4))
	}
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		c.Assert(peer.IsConfirmed(now, poison), qt.IsFalse)
		node.AddAttempt(now, broken(node, now, poison, id(i)))
		if i == 0 {
			node.AddAttempt(now, broken(node, now, innocent, id(i)))
		}
		crashes := node.SetTargets(now.Add(time.Second), fleet(4, i)).Crashes
		c.Assert(len(crashes) > 0, qt.IsTrue)
		for _, x := range crashes {
			c.Assert(peer.RecordCrash(now, x), qt.IsTrue)
			c.Assert(peer.RecordCrash(now, x), qt.IsFalse, qt.Commentf("a crash is reported as new twice"))
		}
		node.SetTargets(now.Add(time.Second), fleet(4))
	}
	for _, tracker := range []*crashtracker.Tracker{node, peer} {
		c.Assert(tracker.IsConfirmed(now, poison), qt.IsTrue)
		c.Assert(tracker.IsConfirmed(now, innocent), qt.IsFalse)
		c.Assert(tracker.IsConfirmed(now.Add(2*time.Hour), poison), qt.IsFalse)
	}
	node.Clear(poison)
	c.Assert(node.IsConfirmed(now, poison), qt.IsFalse)
}

// TestCorrelatedFailuresConfirmNothing guards against refusing a frequent request because
// several targets fail at once: identical requests break at all of these, but are not the cause.
func TestCorrelatedFailuresConfirmNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(8))
	for i := range 6 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tracker.AddAttempt(at, broken(tracker, at, innocent, id(i)))
	}
	// The failures are detected one after the other.
	for i := range 6 {
		tracker.SetTargets(start.Add(time.Duration(i)*600*time.Millisecond), fleet(8, []int{0, 1, 2, 3, 4, 5}[:i+1]...))
	}
	c.Assert(tracker.IsConfirmed(start.Add(4*time.Second), innocent), qt.IsFalse)
}

// TestRetriesMeetingRestOfRackConfirmNothing guards against refusing a request whose retries meet further targets
// of a failed rack: later stages of chains that had died with the first one, at any time they are noticed.
func TestRetriesMeetingRestOfRackConfirmNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(12))
	for i := range 5 {
		at := start.Add(time.Duration(i+1) * time.Second)
		a := broken(tracker, at, innocent, id(6+i), id(i))
		a.IsBroken = i == 0
		tracker.AddAttempt(at, a)
		tracker.SetUnresponsive(at.Add(100*time.Millisecond), string(id(i)))
	}
	c.Assert(tracker.History(start.Add(10*time.Second), innocent).Depth, qt.Equals, 1)
	c.Assert(tracker.IsConfirmed(start.Add(10*time.Second), innocent), qt.IsFalse)
}

// TestBrokenAttemptWithoutCrashConfirmsNothing checks that a broken attempt is no evidence
// against a request if its target is alive after it, however soon that one fails then, or fails long after.
func TestBrokenAttemptWithoutCrashConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(4))
	for i := range 4 {
		tracker.AddAttempt(start, broken(tracker, start, poison, id(i)))
	}
	c.Assert(tracker.SetTargets(start, fleet(4)).Crashes, qt.HasLen, 0)
	tracker.RecordAlive(start.Add(20*time.Millisecond), id(0), id(1))
	c.Assert(tracker.SetTargets(start.Add(30*time.Millisecond), fleet(4, 0, 1)).Crashes, qt.HasLen, 0)
	c.Assert(tracker.SetTargets(start.Add(2*time.Minute), fleet(4, 0, 1, 2, 3)).Crashes, qt.HasLen, 0)
	c.Assert(tracker.IsConfirmed(start, poison), qt.IsFalse)
}

// TestChecksAreBounded guards against checking targets without end while many requests break at once.
func TestChecksAreBounded(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(200))
	checks := 0
	for i := range 200 {
		at := start.Add(time.Duration(i) * 5 * time.Millisecond)
		tracker.AddAttempt(at, broken(tracker, at, identifier.Fingerprint(10+i), id(i)))
		due := tracker.DueChecks(at.Add(10 * time.Millisecond))
		checks += len(due)
	}
	c.Assert(checks <= 40, qt.IsTrue, qt.Commentf("%d checks in a second", checks))
}

// TestEntryReadLateIsNoRestart guards against a crash that is put down to a request because an entry of the former
// incarnation is read after a check has found the new one.
func TestEntryReadLateIsNoRestart(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(1))
	tracker.AddAttempt(start, broken(tracker, start, poison, id(0)))
	at := start.Add(50 * time.Millisecond)
	c.Assert(tracker.DueChecks(at), qt.HasLen, 1)
	c.Assert(tracker.CheckAnswered(at, id(0), 2).Crashes, qt.HasLen, 1)
	at = at.Add(time.Second)
	tracker.AddAttempt(at, broken(tracker, at, innocent, id(0)))
	c.Assert(tracker.SetTargets(at.Add(time.Second), fleet(1)).Failures, qt.HasLen, 0)
	c.Assert(tracker.History(at, innocent).Depth, qt.Equals, 0)
}

// TestCrashOfFirstTargetNeedsNoFurtherChecks guards against checking all targets of a chain for each of its streams when
// the first target has crashed.
func TestCrashOfFirstTargetNeedsNoFurtherChecks(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(5))
	for i := range 10 {
		tracker.AddAttempt(start, broken(tracker, start, identifier.Fingerprint(10+i), id(0), id(1), id(2), id(3), id(4)))
	}
	at := start.Add(50 * time.Millisecond)
	c.Assert(tracker.DueChecks(at), qt.HasLen, 1)
	c.Assert(tracker.CheckUnanswered(at, id(0)).Crashes, qt.HasLen, 10)
	c.Assert(tracker.DueChecks(at.Add(time.Second)), qt.HasLen, 0)
}
