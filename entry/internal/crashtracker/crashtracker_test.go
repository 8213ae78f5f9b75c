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

// fleet returns n targets, of which the crashed ones are ejected.
func fleet(n int, crashed ...int) []registrar.Target {
	var out []registrar.Target
	for i := range n {
		t := registrar.Target{Target: describer.Target{ID: id(i), Incarnation: 1}}
		for _, c := range crashed {
			t.IsEjected = t.IsEjected || c == i
		}
		out = append(out, t)
	}
	return out
}

func id(i int) identifier.TargetID { return identifier.TargetID(fmt.Sprint("t", i)) }

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
		node.AddCandidate(now, poison, []identifier.TargetID{id(i)})
		if i == 0 {
			node.AddCandidate(now, innocent, []identifier.TargetID{id(i)})
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
		c.Assert(tracker.IsConfirmed(now.Add(time.Hour), poison), qt.IsFalse)
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
		tracker.AddCandidate(start.Add(time.Duration(i)*10*time.Millisecond), innocent, []identifier.TargetID{id(i)})
	}
	// The failures are detected one after the other.
	for i := range 6 {
		tracker.SetTargets(start.Add(time.Duration(i)*600*time.Millisecond), fleet(8, []int{0, 1, 2, 3, 4, 5}[:i+1]...))
	}
	c.Assert(tracker.IsConfirmed(start.Add(4*time.Second), innocent), qt.IsFalse)
}

// TestBrokenAttemptWithoutCrashConfirmsNothing checks that a broken attempt is no evidence
// against a request if no target crashed, or one crashed long after.
func TestBrokenAttemptWithoutCrashConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(4))
	for i := range 4 {
		tracker.AddCandidate(start, poison, []identifier.TargetID{id(i)})
	}
	c.Assert(tracker.SetTargets(start, fleet(4)).Crashes, qt.HasLen, 0)
	c.Assert(tracker.SetTargets(start.Add(time.Minute), fleet(4, 0, 1, 2, 3)).Crashes, qt.HasLen, 0)
	c.Assert(tracker.IsConfirmed(start, poison), qt.IsFalse)
}
