package registrar_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/registrar"
)

const heartbeat = time.Second

var start = time.Unix(1_000_000, 0)

// harness drives one registrar and keeps the targets that it published last.
type harness struct {
	registrar *registrar.Registrar
	targets   []registrar.Target
}

func newHarness() *harness { return &harness{registrar: registrar.NewRegistrar(heartbeat)} }

func (d *harness) apply(after time.Duration, event messenger.Event) {
	for _, effect := range d.registrar.Apply(start.Add(after), event) {
		if raised, ok := effect.(messenger.Raise); ok {
			d.targets = raised.Event.(registrar.TargetsChanged).Targets
		}
	}
}

func (d *harness) report(after time.Duration, id identifier.TargetID, incarnation int64, isLeaving bool) {
	d.apply(after, registrar.TargetsRead{Changes: []describer.TargetChange{{ID: id, Target: &describer.Target{
		ID: id, Address: string(id) + ":1", Incarnation: incarnation, IsLeaving: isLeaving,
	}}}})
}

func (d *harness) remove(after time.Duration, id identifier.TargetID) {
	d.apply(after, registrar.TargetsRead{Changes: []describer.TargetChange{{ID: id}}})
}

// TestLeavingTargetStaysLeavingUntilRestart guards against an older entry that arrives late
// and makes a leaving target look available again.
func TestLeavingTargetStaysLeavingUntilRestart(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "t", 1, false)
	d.report(time.Second, "t", 1, true)
	d.report(2*time.Second, "t", 1, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsTrue)
	d.report(3*time.Second, "t", 2, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
	d.report(4*time.Second, "t", 1, true)
	c.Assert(d.targets[0].Incarnation, qt.Equals, int64(2))
}

// TestLeavingTargetClosesWithinASecond checks that a leaving target accepts requests for less than a second.
func TestLeavingTargetClosesWithinASecond(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "t", 1, false)
	d.report(time.Second, "t", 1, true)
	c.Assert(d.targets[0].IsClosing, qt.IsTrue)
	d.apply(2*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsClosing, qt.IsFalse)
}

// TestTargetFirstSeenLeavingNeverCloses guards against sending requests to a target that has been leaving for an unknown
// time, because the node saw it leave at its first entry or at the one after.
func TestTargetFirstSeenLeavingNeverCloses(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	for incarnation := range int64(2) {
		at := time.Duration(incarnation) * time.Minute
		d.report(at, "t", incarnation, true)
		c.Assert(d.targets[0].IsClosing, qt.IsFalse)
		d.report(at+time.Second, "t", incarnation, true)
		d.report(at+time.Second, "other", incarnation, false)
		c.Assert(d.targets[1].ID, qt.Equals, identifier.TargetID("t"))
		c.Assert(d.targets[1].IsClosing, qt.IsFalse)
		d.remove(at+2*time.Second, "other")
	}
}

// TestEntriesMayReturnAfterStoreOutage checks that a target whose entry expired during an
// outage of the store is kept for two seconds, and counts as gone after that.
func TestEntriesMayReturnAfterStoreOutage(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "back", 1, false)
	d.report(0, "lost", 1, false)
	d.apply(10*time.Second, registrar.StoreReachable{})
	d.remove(10*time.Second, "back")
	d.remove(10*time.Second, "lost")
	c.Assert(d.targets, qt.HasLen, 2)
	d.report(11*time.Second, "back", 1, false)
	d.apply(12*time.Second, messenger.Tick{})
	c.Assert(d.targets, qt.HasLen, 1)
	c.Assert(d.targets[0].ID, qt.Equals, identifier.TargetID("back"))
}

// TestTargetIsDroppedAtOnceWithoutOutage checks that a target whose entry disappears while
// the store is available is dropped at once.
func TestTargetIsDroppedAtOnceWithoutOutage(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "t", 1, false)
	d.remove(time.Second, "t")
	c.Assert(d.targets, qt.HasLen, 0)
}

// TestEjectedTargetIsReadmitted guards against an ejection that never ends because the
// target's entry, of which only changes are received, stays the same.
func TestEjectedTargetIsReadmitted(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "t", 1, false)
	d.apply(time.Second, registrar.Ejected{Address: "t:1", Cause: registrar.Unresponsive})
	c.Assert(d.targets[0].IsEjected, qt.IsTrue)
	d.apply(2*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsEjected, qt.IsTrue)
	d.apply(5*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsEjected, qt.IsFalse)
}

// TestCompleteReadDropsMissingTargets checks that targets missing from a complete read count as gone.
func TestCompleteReadDropsMissingTargets(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "t", 1, false)
	d.report(0, "u", 1, false)
	d.apply(time.Second, registrar.TargetsRead{IsComplete: true, Changes: []describer.TargetChange{{ID: "u", Target: &describer.Target{ID: "u", Incarnation: 1}}}})
	c.Assert(d.targets, qt.HasLen, 1)
}

// TestTargetThatSaysItLeavesStaysLeaving guards against sending requests to a target that has said in an answer that it is
// leaving because its entry does not say so, and against a late answer of an earlier incarnation that takes a target out.
func TestTargetThatSaysItLeavesStaysLeaving(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	said := func(after, sent time.Duration) {
		d.apply(after, registrar.LeavingSaid{Target: "t", Answer: "request", SentAt: start.Add(sent)})
	}
	said(0, 0)
	d.report(time.Second, "t", 1, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
	said(2*time.Second, 1500*time.Millisecond)
	c.Assert(d.targets[0].IsLeaving, qt.IsTrue)
	c.Assert(d.targets[0].IsClosing, qt.IsTrue)
	d.report(3*time.Second, "t", 1, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsTrue)
	d.apply(3*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsClosing, qt.IsFalse)
	d.report(4*time.Second, "t", 2, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
	said(5*time.Second, 3900*time.Millisecond)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
	said(6*time.Second, 5*time.Second)
	c.Assert(d.targets[0].IsLeaving, qt.IsTrue)
}

// TestDepartedTargetStaysLeaving guards against using a target again that was leaving and whose entry is gone, because the store
// was restored from a copy that still holds the entry from before; another incarnation is another matter.
func TestDepartedTargetStaysLeaving(t *testing.T) {
	c := qt.New(t)
	d := newHarness()
	d.report(0, "a", 1, false)
	d.report(time.Second, "a", 1, true)
	d.remove(3*time.Second, "a")
	c.Assert(d.targets, qt.HasLen, 0)
	d.report(5*time.Second, "a", 1, false)
	c.Assert(d.targets, qt.HasLen, 1)
	c.Assert(d.targets[0].IsLeaving, qt.IsTrue)
	c.Assert(d.targets[0].IsClosing, qt.IsFalse)
	d.report(6*time.Second, "a", 2, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
	d.remove(7*time.Second, "a")
	d.report(8*time.Second, "a", 2, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
}
