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
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
	"fuchsiabridge.example/platform/storefaker"
)

const (
	formerReader = "former:1"
	newReader    = "new:1"
)

// scene is a store that is away and a peer that reads it; once the store is back, another peer reads it.
type scene struct {
	mu     sync.Mutex
	isBack bool
}

func (s *scene) back() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBack
}

func (s *scene) Owners(context.Context) (map[int]storecaller.Member, error) {
	if s.back() {
		return map[int]storecaller.Member{0: {Node: "new", Address: newReader}}, nil
	}
	return nil, errCut
}

func (s *scene) NewestConfiguration(context.Context) (*describer.Configuration, identifier.Offset, error) {
	return nil, 0, errCut
}

func (s *scene) ReadConfiguration(context.Context, identifier.Offset, time.Duration) (*describer.Configuration, identifier.Offset, error) {
	return nil, 0, errCut
}

func (s *scene) NewestTargets(context.Context) ([]describer.TargetChange, identifier.Offset, error) {
	return nil, 0, errCut
}

func (s *scene) ReadTargets(context.Context, identifier.Offset, time.Duration) ([]describer.TargetChange, identifier.Offset, error) {
	return nil, 0, errCut
}

func (s *scene) Join(context.Context, storecaller.Member, identifier.FencingNumber, time.Duration, int) (storecaller.Membership, error) {
	return storecaller.Membership{}, errCut
}

func (s *scene) Leave(context.Context, storecaller.Member) error { return nil }

// first is the scene before the outage: the first question finds the former reader.
type first struct {
	*scene
	once sync.Once
}

func (f *first) Owners(ctx context.Context) (map[int]storecaller.Member, error) {
	owners, err := f.scene.Owners(ctx)
	f.once.Do(func() { owners, err = map[int]storecaller.Member{0: {Node: "former", Address: formerReader}}, nil })
	return owners, err
}

// TestCutOffPeerMakesNobodyLate plays the pattern of a peer that loses the store alone while a
// configuration changes: the node that it feeds knows of the change within 1.8 s, as one that
// reads alone, though all other peers are silent.
func TestCutOffPeerMakesNobodyLate(t *testing.T) {
	const limit = 1800 * time.Millisecond
	c, store, first, second := startTwo(t)
	n := second.count()
	first.link.isCut.Store(true)
	changed := time.Now()
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "other")), qt.IsNil)
	await[dispatcher.TableRead](c, second.events, n)
	c.Assert(time.Since(changed) < limit, qt.IsTrue, qt.Commentf("it took %v", time.Since(changed)))
}

// Call answers as a peer: old news while the store is away; after that only the new reader has any.
func (s *scene) Call(_ context.Context, address, _ string, _, result any) error {
	news, ok := result.(*sharer.News)
	if !ok {
		return errCut
	}
	switch {
	case !s.back():
		*news = sharer.News{Sharer: "s", ConfirmedMS: -10_000}
	case address == formerReader:
		*news = sharer.News{IsNotReading: true}
	default:
		*news = sharer.News{Sharer: "s", ConfirmedMS: -1}
	}
	return nil
}

// TestReadingMovesWhileTheStoreIsAway plays the pattern of an outage after which other nodes
// read the store: a node that was fed finds them as soon as its peer says that it reads no more.
func TestReadingMovesWhileTheStoreIsAway(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &scene{}
	e := &events{}
	f := follower.NewFollower(&first{scene: s}, s, sharer.NewSharer(), follower.Config{
		Self: storecaller.Member{Node: "self", Address: "self:1"}, StoreParts: 1,
	}, e.submit)
	go f.FollowPeers(ctx)
	// The pause between two questions to the store is at its longest by then.
	time.Sleep(7500 * time.Millisecond)
	s.mu.Lock()
	s.isBack = true
	s.mu.Unlock()
	back := bootclock.Now()
	for !e.confirmed().After(back) {
		c.Assert(bootclock.Now().Sub(back) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("the new reader is not found"))
		time.Sleep(20 * time.Millisecond)
	}
}
