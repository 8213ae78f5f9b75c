package follower_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
	"fuchsiabridge.example/platform/storefaker"
)

const waitLimit = 5 * time.Second

// events records what a follower submits.
type events struct {
	mu        sync.Mutex
	submitted []messenger.Event
}

func (e *events) submit(ev messenger.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.submitted = append(e.submitted, ev)
}

func (e *events) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.submitted)
}

// await waits until an event of type T follows the first n, and returns the number of events.
func await[T any](c *qt.C, e *events, n int) int {
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		for i := n; i < len(e.submitted); i++ {
			if _, ok := e.submitted[i].(T); ok {
				defer e.mu.Unlock()
				return len(e.submitted)
			}
		}
		e.mu.Unlock()
	}
	c.Fatalf("no %T within %v", *new(T), waitLimit)
	return 0
}

// startStore starts a store that holds a first configuration. The returned context ends with the test.
func startStore(t *testing.T) (context.Context, *qt.C, *storefaker.Store) {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(store.PutConfiguration(storefaker.Sample(1, "key")), qt.IsNil)
	return ctx, c, store
}

func start(t *testing.T) (*qt.C, *storefaker.Store, *events) {
	t.Helper()
	ctx, c, store := startStore(t)
	e := &events{}
	caller := storecaller.NewCaller(httpcaller.NewCaller(answerlimiter.NewDefault()), store.Address())
	self := storecaller.Member{Node: "n"}
	group := joiner.NewJoiner(caller, joiner.Config{Self: self, StorePartitions: storefaker.Partitions}, e.submit)
	f := follower.NewFollower(caller, nil, group, sharer.NewSharer(), follower.Config{Self: self}, e.submit)
	go f.FollowConfiguration(ctx)
	go f.FollowTargets(ctx)
	return c, store, e
}

// TestBusyStoreIsNotOverloaded checks that calls to a store that rejects them for seconds become rare,
// and that the first update after the rejections arrives within a second.
func TestBusyStoreIsNotOverloaded(t *testing.T) {
	c, store, e := start(t)
	await[dispatcher.ConfigurationConfirmed](c, e, 0)
	store.SetFault(storefaker.Busy)
	time.Sleep(500 * time.Millisecond)
	before := store.Calls()
	time.Sleep(2 * time.Second)
	c.Assert(store.Calls()-before <= 8, qt.IsTrue, qt.Commentf("%d calls in two seconds", store.Calls()-before))
	n := e.count()
	restoredAt := time.Now()
	store.SetFault(storefaker.None)
	await[dispatcher.ConfigurationConfirmed](c, e, n)
	c.Assert(time.Since(restoredAt) < time.Second, qt.IsTrue)
}

// TestTruncatedHistoryIsReadCompletely checks that the follower reads all targets again, marked as complete,
// when the store has dropped entries that were not read yet.
func TestTruncatedHistoryIsReadCompletely(t *testing.T) {
	c, store, e := start(t)
	n := await[registrar.TargetsRead](c, e, 0)
	store.SetFault(storefaker.Busy)
	time.Sleep(50 * time.Millisecond)
	c.Assert(store.PutTarget("t", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}), qt.IsNil)
	store.Compact()
	store.SetFault(storefaker.None)
	for {
		n = await[registrar.TargetsRead](c, e, n)
		if read, ok := e.submitted[n-1].(registrar.TargetsRead); ok && read.IsComplete {
			return
		}
	}
}
