package follower_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
	"fuchsiabridge.example/platform/storefaker"
)

// link is one node's way to the store; it counts reads and can be cut.
type link struct {
	follower.Store
	reads atomic.Int64
	isCut atomic.Bool
}

var errCut = errors.New("cut off")

func (l *link) ReadConfiguration(ctx context.Context, from identifier.Offset, wait time.Duration) (*describer.Configuration, identifier.Offset, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, 0, errCut
	}
	cfg, next, err := l.Store.ReadConfiguration(ctx, from, wait)
	if l.isCut.Load() {
		return nil, 0, errCut
	}
	return cfg, next, err
}

func (l *link) NewestConfiguration(ctx context.Context) (*describer.Configuration, identifier.Offset, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, 0, errCut
	}
	return l.Store.NewestConfiguration(ctx)
}

func (l *link) Owners(ctx context.Context) (map[int]storecaller.Member, error) {
	l.reads.Add(1)
	return l.Store.Owners(ctx)
}

func (l *link) ReadTargets(ctx context.Context, from identifier.Offset, wait time.Duration) ([]describer.TargetChange, identifier.Offset, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, 0, errCut
	}
	return l.Store.ReadTargets(ctx, from, wait)
}

func (l *link) NewestTargets(ctx context.Context) ([]describer.TargetChange, identifier.Offset, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, 0, errCut
	}
	return l.Store.NewestTargets(ctx)
}

func (l *link) Join(ctx context.Context, m storecaller.Member, last identifier.FencingNumber, term time.Duration, topics int) (storecaller.Membership, error) {
	if l.isCut.Load() {
		return storecaller.Membership{}, errCut
	}
	return l.Store.Join(ctx, m, last, term, topics)
}

// node is one follower with its link and what it submits.
type node struct {
	*events
	follower *follower.Follower
	link     *link
	stop     context.CancelFunc
}

func startNode(t *testing.T, store *storefaker.Store, id string) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	share := sharer.NewSharer()
	n := &node{events: &events{}, stop: cancel, link: &link{Store: storecaller.NewCaller(httpcaller.NewCaller(), store.Address())}}
	peers := peercaller.NewCaller(map[string]peercaller.Handler{
		sharer.WatchMethod: share.ServeWatch, sharer.ConfigurationMethod: share.ServeConfiguration,
		sharer.AccuseMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.follower.ServeAccuse(ctx, params)
		},
	}, nil)
	f := follower.NewFollower(n.link, peers, share, follower.Config{
		Self:       storecaller.Member{Node: identifier.NodeID(id), DataCentre: "a", Address: l.Addr().String()},
		StoreParts: storefaker.Parts,
	}, n.submit)
	n.follower = f
	go peers.Serve(ctx, l)
	go f.TellCrashes(ctx)
	go f.FollowConfiguration(ctx)
	go f.FollowTargets(ctx)
	go f.FollowPeers(ctx)
	go f.KeepLease(ctx)
	return n
}

// startTwo starts a node that reads the store and one that the first feeds.
func startTwo(t *testing.T) (*qt.C, *storefaker.Store, *node, *node) {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(store.PutConfiguration(storefaker.Sample(1, "key")), qt.IsNil)
	first := startNode(t, store, "first")
	await[dispatcher.Confirmed](c, first.events, 0)
	second := startNode(t, store, "second")
	await[dispatcher.Confirmed](c, second.events, 0)
	// Parts above 5 fall to the second node, those that make readers stay with the first.
	c.Assert(becomesIdle(second.link), qt.IsTrue)
	return c, store, first, second
}

// becomesIdle reports whether a node stops reading the store within the limit.
func becomesIdle(l *link) bool {
	const quiet = 2500 * time.Millisecond
	for until := time.Now().Add(2 * waitLimit); time.Now().Before(until); {
		before := l.reads.Load()
		time.Sleep(quiet)
		if l.reads.Load() == before {
			return true
		}
	}
	return false
}

// awaitTarget waits until a node knows of a target.
func awaitTarget(c *qt.C, n *node, id identifier.TargetID, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		n.mu.Lock()
		for _, ev := range n.seen {
			if read, ok := ev.(registrar.Read); ok {
				for _, change := range read.Changes {
					if change.ID == id && change.Target != nil {
						n.mu.Unlock()
						return
					}
				}
			}
		}
		n.mu.Unlock()
	}
	c.Fatalf("target %s is not known within %v", id, limit)
}

func plainTarget() map[string]any {
	return map[string]any{"service": "s", "address": "a:1", "zone": "z", "state": "ready"}
}

// TestPeersReadForEachOther plays the pattern of a fleet of which few nodes read the store:
// the others know targets, configurations and confirmations no later, and read nothing.
func TestPeersReadForEachOther(t *testing.T) {
	c, store, _, second := startTwo(t)
	before := second.link.reads.Load()
	n := second.count()
	c.Assert(store.PutTarget("t", plainTarget()), qt.IsNil)
	awaitTarget(c, second, "t", time.Second)
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "other")), qt.IsNil)
	await[dispatcher.TableRead](c, second.events, n)
	await[dispatcher.Confirmed](c, second.events, second.count())
	c.Assert(second.link.reads.Load(), qt.Equals, before)
}

// TestNodeReadsAloneWithoutPeers lets the node that reads end or lose the store: the other
// one reads for itself within the time that confirmations last.
func TestNodeReadsAloneWithoutPeers(t *testing.T) {
	for name, fail := range map[string]func(*node){
		"ended":   func(n *node) { n.stop() },
		"cut off": func(n *node) { n.link.isCut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, store, first, second := startTwo(t)
			fail(first)
			c.Assert(store.PutTarget("t", plainTarget()), qt.IsNil)
			awaitTarget(c, second, "t", waitLimit)
		})
	}
}

// TestPeerTellsTheConfiguration plays the pattern of a store that turns some nodes away while
// keys are taken: a node that is turned away gets the new configuration from its peer, and goes on.
func TestPeerTellsTheConfiguration(t *testing.T) {
	c, store, _, second := startTwo(t)
	second.link.isCut.Store(true)
	n := second.count()
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "other")), qt.IsNil)
	n = await[dispatcher.TableRead](c, second.events, n)
	await[dispatcher.Confirmed](c, second.events, n)
}

// TestOutageIsLeftToReaders plays the pattern of a store that is away: a node that a peer feeds
// leaves it to that peer to press the store, and is back within a second and a half of its return.
func TestOutageIsLeftToReaders(t *testing.T) {
	const outage = 5 * time.Second
	c, store, _, second := startTwo(t)
	before := second.link.reads.Load()
	store.SetFault(storefaker.Busy)
	time.Sleep(outage)
	pressed := second.link.reads.Load() - before
	c.Assert(pressed <= 4, qt.IsTrue, qt.Commentf("%d calls in %v", pressed, outage))
	awaitFresh(c, store, 1500*time.Millisecond, second)
}

// awaitFresh ends an outage of the store and waits until nodes have its confirmation again.
func awaitFresh(c *qt.C, store *storefaker.Store, limit time.Duration, nodes ...*node) {
	back := bootclock.Now()
	store.SetFault(storefaker.None)
	for i, n := range nodes {
		for !n.confirmed().After(back) {
			c.Assert(bootclock.Now().Sub(back) < limit, qt.IsTrue, qt.Commentf("node %d is not back within %v", i, limit))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// confirmed returns the newest confirmation that was submitted.
func (e *events) confirmed() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var at time.Time
	for _, ev := range e.seen {
		if confirmed, ok := ev.(dispatcher.Confirmed); ok && confirmed.AsOf.After(at) {
			at = confirmed.AsOf
		}
	}
	return at
}

// TestCrashesReachAllNodes tells a crash that one node has seen to the other, from the node
// that reads the store and to it.
func TestCrashesReachAllNodes(t *testing.T) {
	c, _, first, second := startTwo(t)
	for request, way := range [][2]*node{{first, second}, {second, first}} {
		n := way[1].count()
		crash := accuser.Crash{Request: identifier.Fingerprint(request + 1), Target: "t", Born: 7}
		way[0].follower.Accuse([]accuser.Crash{crash})
		n = await[dispatcher.CrashesTold](c, way[1].events, n)
		way[1].mu.Lock()
		var told []accuser.Crash
		for _, ev := range way[1].seen {
			if x, ok := ev.(dispatcher.CrashesTold); ok {
				told = append(told, x.Crashes...)
			}
		}
		way[1].mu.Unlock()
		c.Assert(told[len(told)-1], qt.Equals, crash, qt.Commentf("of %d events", n))
	}
}
