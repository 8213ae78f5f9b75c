package rejectionreporter_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/rejectionreporter"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

// fleet is a set of readers: "new" knows the call, "old" does not, "mute" does not answer.
type fleet struct {
	mu      sync.Mutex
	reader  *rejectionreporter.Reporter
	sharer  *sharer.Sharer
	learned []avoider.Rejection
	calls   map[string]int
	lookups int
}

func newFleet() *fleet {
	f := &fleet{sharer: sharer.NewSharer(), calls: map[string]int{}}
	f.sharer.SetReading(true)
	f.sharer.RecordTargets([]describer.TargetChange{{ID: "t", Target: &describer.Target{ID: "t"}}}, true)
	f.sharer.RecordConfiguration(identifier.StorePosition{Offset: 1}, bootclock.Now())
	f.reader = f.newReporter(f.sharer, true)
	return f
}

func (f *fleet) newReporter(s *sharer.Sharer, isOn bool) *rejectionreporter.Reporter {
	return rejectionreporter.NewReporter(rejectionreporter.Config{Peers: f, Readers: f, Recorder: s, IsOn: isOn, Submit: func(e messenger.Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.learned = append(f.learned, e.(avoider.RejectionsLearned).Rejections...)
	}})
}

func (f *fleet) CurrentReaders(context.Context) ([]storecaller.Member, error) {
	f.lookups++
	return []storecaller.Member{{Node: "old", Address: "old"}, {Node: "mute", Address: "mute"}, {Node: "new", Address: "new"}}, nil
}

func (f *fleet) Call(ctx context.Context, address, _ string, params, _ any) error {
	f.mu.Lock()
	f.calls[address]++
	f.mu.Unlock()
	switch address {
	case "old":
		return peercaller.ErrNoMethod
	case "mute":
		<-ctx.Done()
		return errors.New("no answer")
	}
	text, err := json.Marshal(params)
	if err == nil {
		_, err = f.reader.Serve(ctx, text)
	}
	return err
}

func (f *fleet) learnedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.learned)
}

// await waits until the reader has learned a number of rejections.
func (f *fleet) await(c *qt.C, count int) {
	for range 200 {
		if f.learnedCount() >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("the reader has learned %d rejections, not %d", f.learnedCount(), count)
}

// TestRejectionsReachFollowers guards against nodes that do not learn of a rejection by way of a reader, or twice; against one reader of an earlier
// version, or one that does not answer, that delays the others or is asked each time; and against a lookup in the store for each message.
func TestRejectionsReachFollowers(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	node := f.newReporter(sharer.NewSharer(), true)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { node.Run(ctx) })
	for n := range 3 {
		node.Report([]avoider.Rejection{{Target: identifier.TargetID(rune('t' + n)), Incarnation: 3, AvoidMS: 2000}})
		f.await(c, n+1)
		// The mute reader delays what follows its first call by the time-out.
		time.Sleep(300 * time.Millisecond)
	}
	cancel()
	running.Wait()
	c.Assert(f.learned, qt.HasLen, 3)
	c.Assert(f.learned[0].AgeMS >= 25 && f.learned[0].AgeMS < 1000, qt.IsTrue, qt.Commentf("%d ms", f.learned[0].AgeMS))
	c.Assert(f.calls, qt.DeepEquals, map[string]int{"new": 3, "old": 1, "mute": 1})
	c.Assert(f.lookups, qt.Equals, 1)
	update, err := f.sharer.Watch(context.Background(), sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(update.Rejections, qt.HasLen, 3)
	update, err = f.sharer.Watch(context.Background(), sharer.Query{Sharer: update.Sharer, Revision: update.Revision, Configuration: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(update.Rejections, qt.HasLen, 0)
}

// TestReporterThatIsOffDoesNothing guards against messages of nodes whose settings do not ask for them, and against being told.
func TestReporterThatIsOffDoesNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.reader = f.newReporter(f.sharer, false)
	f.reader.Report([]avoider.Rejection{{Target: "t", AvoidMS: 2000}})
	f.reader.Run(context.Background())
	c.Assert(f.Call(context.Background(), "new", "", []avoider.Rejection{{Target: "t", AvoidMS: 2000}}, nil), qt.IsNil)
	update, err := f.sharer.Watch(context.Background(), sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(update.Rejections, qt.HasLen, 0)
	c.Assert(f.learned, qt.HasLen, 0)
	c.Assert(f.calls, qt.DeepEquals, map[string]int{"new": 1})
}
