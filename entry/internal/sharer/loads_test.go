package sharer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/sharer"
)

// TestLoadsReachPeersWithTheirAge guards against followers that take old reports of targets' load for new ones, and against reports that
// are told twice.
func TestLoadsReachPeersWithTheirAge(t *testing.T) {
	c := qt.New(t)
	s := sharer.NewSharer()
	s.SetReading(true)
	s.RecordTargets([]describer.TargetChange{{ID: "t", Target: &describer.Target{ID: "t"}}}, true)
	s.RecordConfiguration(identifier.StorePosition{Offset: 1}, bootclock.Now())
	first, err := s.Watch(context.Background(), sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Loads, qt.HasLen, 0)
	ask := func(since sharer.Revision) sharer.Update {
		u, err := s.Watch(context.Background(), sharer.Query{Sharer: first.Sharer, Revision: since, Configuration: 1})
		c.Assert(err, qt.IsNil)
		return u
	}
	s.RecordLoads([]loadtracker.Report{{Target: "t", Waiting: 3, AgeMS: 200}, {Target: "u", AgeMS: 1500}})
	time.Sleep(2 * time.Millisecond)
	update := ask(first.Revision)
	c.Assert(update.Loads, qt.HasLen, 1, qt.Commentf("a report that is too old to be used is not told"))
	c.Assert(update.Loads[0].Waiting, qt.Equals, 3)
	c.Assert(update.Loads[0].AgeMS >= 202, qt.IsTrue, qt.Commentf("%d ms", update.Loads[0].AgeMS))
	c.Assert(ask(update.Revision).Loads, qt.HasLen, 0)
}
