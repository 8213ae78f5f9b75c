package follower_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
	"fuchsiabridge.example/platform/storefaker"
)

const (
	formerReader = "former:1"
	newReader    = "new:1"
)

// movingStore simulates an unreachable store and a peer that reads it. Once the store is back, another peer reads it.
type movingStore struct {
	mu     sync.Mutex
	isBack bool
}

func (s *movingStore) back() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBack
}

func (s *movingStore) Owners(context.Context) (map[int]storecaller.Member, error) {
	if s.back() {
		return map[int]storecaller.Member{0: {Node: "new", Address: newReader}}, nil
	}
	return nil, errCut
}

func (s *movingStore) NewestConfiguration(context.Context) (*describer.Configuration, identifier.StorePosition, error) {
	return nil, identifier.StorePosition{}, errCut
}

func (s *movingStore) ReadConfiguration(context.Context, identifier.StorePosition, time.Duration, func()) (*describer.Configuration, identifier.StorePosition, error) {
	return nil, identifier.StorePosition{}, errCut
}

func (s *movingStore) NewestTargets(context.Context) ([]describer.TargetChange, identifier.StorePosition, error) {
	return nil, identifier.StorePosition{}, errCut
}

func (s *movingStore) ReadTargets(context.Context, identifier.StorePosition, time.Duration) ([]describer.TargetChange, identifier.StorePosition, error) {
	return nil, identifier.StorePosition{}, errCut
}

func (s *movingStore) Join(context.Context, storecaller.Member, identifier.FencingToken, time.Duration, int) (storecaller.Membership, error) {
	return storecaller.Membership{}, errCut
}

func (s *movingStore) Leave(context.Context, storecaller.Member) error { return nil }

// initialStore simulates the state before the outage: its first lookup finds the former reader.
type initialStore struct {
	*movingStore
	once sync.Once
}

func (f *initialStore) Owners(ctx context.Context) (map[int]storecaller.Member, error) {
	owners, err := f.movingStore.Owners(ctx)
	f.once.Do(func() { owners, err = map[int]storecaller.Member{0: {Node: "former", Address: formerReader}}, nil })
	return owners, err
}

// TestPeerCutOffFromStoreDelaysNoFollower guards against late configuration changes when the peer that a
// node follows is the only one to lose the store: the node must apply a change within 1.8 s, as if it
// read the store itself, though no other peer answers.
func TestPeerCutOffFromStoreDelaysNoFollower(t *testing.T) {
	const limit = 1800 * time.Millisecond
	c, store, first, second := startTwo(t)
	n := second.count()
	first.link.isCut.Store(true)
	changed := time.Now()
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "other")), qt.IsNil)
	await[dispatcher.ConfigurationRead](c, second.events, n)
	c.Assert(time.Since(changed) < limit, qt.IsTrue, qt.Commentf("it took %v", time.Since(changed)))
}

// Call answers as a peer: with old updates while the store is unreachable. After that, only the new reader sends updates.
func (s *movingStore) Call(_ context.Context, address, _ string, _, result any) error {
	update, ok := result.(*sharer.Update)
	if !ok {
		return errCut
	}
	switch {
	case !s.back():
		*update = sharer.Update{Sharer: "s", ConfirmedMS: -10_000}
	case address == formerReader:
		*update = sharer.Update{IsNotReading: true}
	default:
		*update = sharer.Update{Sharer: "s", ConfirmedMS: -1}
	}
	return nil
}

// TestNewReaderIsFoundAfterStoreOutage guards against a node that keeps following a former reader: after
// an outage other nodes read the store, and the node must find them as soon as its peer reports that it no
// longer reads.
func TestNewReaderIsFoundAfterStoreOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &movingStore{}
	e := &events{}
	store := &initialStore{movingStore: s}
	self := storecaller.Member{Node: "self", Address: "self:1"}
	group := joiner.NewJoiner(store, joiner.Config{Self: self, StorePartitions: 1}, e.submit)
	f := follower.NewFollower(store, s, group, sharer.NewSharer(), follower.Config{Self: self}, e.submit)
	go f.FollowPeers(ctx)
	// By then the interval between two lookups has reached its maximum.
	time.Sleep(7500 * time.Millisecond)
	s.mu.Lock()
	s.isBack = true
	s.mu.Unlock()
	restoredAt := bootclock.Now()
	for !e.confirmed().After(restoredAt) {
		c.Assert(bootclock.Now().Sub(restoredAt) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("the new reader is not found"))
		time.Sleep(20 * time.Millisecond)
	}
}
