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

// desk drives one registrar and keeps what it raised last.
type desk struct {
	registrar *registrar.Registrar
	targets   []registrar.Target
}

func newDesk() *desk { return &desk{registrar: registrar.NewRegistrar(heartbeat)} }

func (d *desk) apply(after time.Duration, event messenger.Event) {
	for _, effect := range d.registrar.Apply(start.Add(after), event) {
		if raised, ok := effect.(messenger.Raise); ok {
			d.targets = raised.Event.(registrar.TargetsChanged).Targets
		}
	}
}

func (d *desk) says(after time.Duration, id identifier.TargetID, born int64, isLeaving bool) {
	d.apply(after, registrar.Read{Changes: []describer.TargetChange{{ID: id, Target: &describer.Target{
		ID: id, Address: string(id) + ":1", Born: born, IsLeaving: isLeaving,
	}}}})
}

func (d *desk) gone(after time.Duration, id identifier.TargetID) {
	d.apply(after, registrar.Read{Changes: []describer.TargetChange{{ID: id}}})
}

// TestLeavingIsNeverUndoneInOneLife keeps a leaving target leaving when an old word of it
// comes late, until it starts anew.
func TestLeavingIsNeverUndoneInOneLife(t *testing.T) {
	c := qt.New(t)
	d := newDesk()
	d.says(0, "t", 1, false)
	d.says(time.Second, "t", 1, true)
	d.says(2*time.Second, "t", 1, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsTrue)
	d.says(3*time.Second, "t", 2, false)
	c.Assert(d.targets[0].IsLeaving, qt.IsFalse)
	d.says(4*time.Second, "t", 1, true)
	c.Assert(d.targets[0].Born, qt.Equals, int64(2))
}

// TestLeavingTargetClosesInTime lets a leaving target take requests for less than a second.
func TestLeavingTargetClosesInTime(t *testing.T) {
	c := qt.New(t)
	d := newDesk()
	d.says(0, "t", 1, false)
	d.says(time.Second, "t", 1, true)
	c.Assert(d.targets[0].IsClosing, qt.IsTrue)
	d.apply(2*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsClosing, qt.IsFalse)
}

// TestEntriesComeBackAfterAnOutage keeps a target whose entry lapsed while the store was
// away for two seconds, and takes it as gone after that.
func TestEntriesComeBackAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	d := newDesk()
	d.says(0, "back", 1, false)
	d.says(0, "lost", 1, false)
	d.apply(10*time.Second, registrar.StoreRegained{})
	d.gone(10*time.Second, "back")
	d.gone(10*time.Second, "lost")
	c.Assert(d.targets, qt.HasLen, 2)
	d.says(11*time.Second, "back", 1, false)
	d.apply(12*time.Second, messenger.Tick{})
	c.Assert(d.targets, qt.HasLen, 1)
	c.Assert(d.targets[0].ID, qt.Equals, identifier.TargetID("back"))
}

// TestGoneWithoutOutageIsGone drops a target at once when its entry goes while the store is well.
func TestGoneWithoutOutageIsGone(t *testing.T) {
	c := qt.New(t)
	d := newDesk()
	d.says(0, "t", 1, false)
	d.gone(time.Second, "t")
	c.Assert(d.targets, qt.HasLen, 0)
}

// TestDoubtsEnd trusts a target again although its entry, which shows changes only, stays the same.
func TestDoubtsEnd(t *testing.T) {
	c := qt.New(t)
	d := newDesk()
	d.says(0, "t", 1, false)
	d.apply(time.Second, registrar.Doubted{Address: "t:1", Doubt: registrar.Dead})
	c.Assert(d.targets[0].IsDoubted, qt.IsTrue)
	d.apply(2*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsDoubted, qt.IsTrue)
	d.apply(5*time.Second, messenger.Tick{})
	c.Assert(d.targets[0].IsDoubted, qt.IsFalse)
}

// TestCompleteReadDropsTheOthers takes targets that a complete read leaves out as gone.
func TestCompleteReadDropsTheOthers(t *testing.T) {
	c := qt.New(t)
	d := newDesk()
	d.says(0, "t", 1, false)
	d.says(0, "u", 1, false)
	d.apply(time.Second, registrar.Read{IsComplete: true, Changes: []describer.TargetChange{{ID: "u", Target: &describer.Target{ID: "u", Born: 1}}}})
	c.Assert(d.targets, qt.HasLen, 1)
}
