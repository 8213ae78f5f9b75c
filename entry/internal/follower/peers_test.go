package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/crashreporter"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/publisher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/entry/internal/shedder"
	"fuchsiabridge.example/platform/storecaller"
	"fuchsiabridge.example/platform/storefaker"
)

// platformStore is all that a node uses of the store.
type platformStore interface {
	follower.Store
	joiner.Group
}

// link is one node's connection to the store. It counts reads and can be cut.
type link struct {
	platformStore
	reads atomic.Int64
	isCut atomic.Bool
}

var errCut = errors.New("cut off")

func (l *link) ReadConfiguration(ctx context.Context, from identifier.StorePosition, wait time.Duration, began func()) (*describer.Configuration, identifier.StorePosition, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, identifier.StorePosition{}, errCut
	}
	cfg, next, err := l.platformStore.ReadConfiguration(ctx, from, wait, began)
	if l.isCut.Load() {
		return nil, identifier.StorePosition{}, errCut
	}
	return cfg, next, err
}

func (l *link) NewestConfiguration(ctx context.Context) (*describer.Configuration, identifier.StorePosition, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, identifier.StorePosition{}, errCut
	}
	return l.platformStore.NewestConfiguration(ctx)
}

func (l *link) Owners(ctx context.Context) (map[int]storecaller.Member, error) {
	l.reads.Add(1)
	return l.platformStore.Owners(ctx)
}

func (l *link) ReadTargets(ctx context.Context, from identifier.StorePosition, wait time.Duration) ([]describer.TargetChange, identifier.StorePosition, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, identifier.StorePosition{}, errCut
	}
	return l.platformStore.ReadTargets(ctx, from, wait)
}

func (l *link) NewestTargets(ctx context.Context) ([]describer.TargetChange, identifier.StorePosition, error) {
	l.reads.Add(1)
	if l.isCut.Load() {
		return nil, identifier.StorePosition{}, errCut
	}
	return l.platformStore.NewestTargets(ctx)
}

func (l *link) Join(ctx context.Context, m storecaller.Member, last identifier.FencingToken, term time.Duration, topics int) (storecaller.Membership, error) {
	if l.isCut.Load() {
		return storecaller.Membership{}, errCut
	}
	return l.platformStore.Join(ctx, m, last, term, topics)
}

// node is one follower with its link and the events that it submits.
type node struct {
	*events
	joiner   *joiner.Joiner
	follower *follower.Follower
	reporter *crashreporter.Reporter
	sharer   *sharer.Sharer
	link     *link
	peers    *unreliablePeers
	address  string
	stop     context.CancelFunc
}

func startNode(t *testing.T, store *storefaker.Store, id string) *node {
	t.Helper()
	n, ctx := startReader(t, store, id)
	go n.follower.FollowPeers(ctx)
	return n
}

// startReader starts a node that never follows peers, as one that reads the store for others. The
// returned context ends its work.
func startReader(t *testing.T, store *storefaker.Store, id string) (*node, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	share, published := sharer.NewSharer(), publisher.NewPublisher()
	caller := storecaller.NewCaller(httpcaller.NewCaller(answerlimiter.NewDefault()), store.Address())
	n := &node{events: &events{}, sharer: share, stop: cancel, link: &link{platformStore: caller}, address: l.Addr().String()}
	peers := peercaller.NewCaller(map[string]peercaller.Handler{
		sharer.WatchMethod: share.ServeWatch, publisher.PieceMethod: published.ServePiece, publisher.WholeMethod: published.ServeWhole,
		sharer.CrashReportMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.reporter.ServeReportCrashes(ctx, params)
		},
		sharer.ClearMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.reporter.ServeClear(ctx, params)
		},
		sharer.CrashesMethod: share.ServeCrashes,
	}, nil, answerlimiter.NewDefault())
	n.peers = &unreliablePeers{Peers: peers}
	self := storecaller.Member{Node: identifier.NodeID(id), DataCentre: "a", Address: l.Addr().String()}
	n.joiner = joiner.NewJoiner(n.link, joiner.Config{Self: self, StorePartitions: storefaker.Partitions}, n.submit)
	f := follower.NewFollower(n.link, n.peers, n.joiner, share, follower.Config{
		Self: self, Publisher: published, LearnCrashes: func(r sharer.CrashReport) { n.reporter.Learn(r) },
		Demand: func() float64 { return 30 }, LearnShare: func(s float64) { n.submit(shedder.ShareLearned{Share: s}) },
	}, n.submit)
	n.reporter = crashreporter.NewReporter(crashreporter.Config{
		Self: l.Addr().String(), Peers: n.peers, Readers: n.joiner, Store: caller, Sharer: share, Submit: n.submit,
	})
	n.follower = f
	go peers.Serve(ctx, l)
	go n.reporter.SendCrashReports(ctx)
	go n.reporter.SyncCrashes(ctx)
	go f.FollowConfiguration(ctx)
	go f.FollowTargets(ctx)
	go n.reporter.LoadPoison(ctx)
	go n.reporter.KeepPoison(ctx)
	go n.joiner.KeepLease(ctx, f.SetReader)
	return n, ctx
}

// startTwo starts a node that reads the store and one that follows the first.
func startTwo(t *testing.T) (*qt.C, *storefaker.Store, *node, *node) {
	t.Helper()
	_, c, store := startStore(t)
	first := startNode(t, store, "first")
	await[dispatcher.ConfigurationConfirmed](c, first.events, 0)
	// The node that joins first reads the store.
	for until := time.Now().Add(waitLimit); !first.joiner.IsReader(); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("the first node does not join the group within %v", waitLimit))
	}
	second := startNode(t, store, "second")
	await[dispatcher.ConfigurationConfirmed](c, second.events, 0)
	// The second node gets the partitions of the last topics. Those of the first topic, which make their owners
	// readers, stay with the first node.
	c.Assert(becomesIdle(second.link), qt.IsTrue)
	return c, store, first, second
}

// becomesIdle reports whether a node stops reading the store within the limit.
func becomesIdle(l *link) bool {
	const idleTime = 2500 * time.Millisecond
	for until := time.Now().Add(2 * waitLimit); time.Now().Before(until); {
		before := l.reads.Load()
		time.Sleep(idleTime)
		if l.reads.Load() == before {
			return true
		}
	}
	return false
}

// awaitTarget waits until a node knows a target.
func awaitTarget(c *qt.C, n *node, id identifier.TargetID, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		n.mu.Lock()
		for _, ev := range n.submitted {
			if read, ok := ev.(registrar.TargetsRead); ok {
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

func sampleTarget() map[string]any {
	return map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}
}

// TestReaderKnowsManyTargetsOverAThinLink guards against a node that never knows the targets of a large fleet, since all pages of
// them together take longer than one call may.
func TestReaderKnowsManyTargetsOverAThinLink(t *testing.T) {
	const targets, pageTime = 3005, 150 * time.Millisecond
	_, c, store := startStore(t)
	for i := range targets {
		c.Assert(store.PutTarget(fmt.Sprint("target-", i), sampleTarget()), qt.IsNil)
	}
	store.SetPageTime(pageTime)
	n, _ := startReader(t, store, "reader")
	awaitTarget(c, n, "target-0", waitLimit)
}

// TestFollowerGetsShareByItsDemand guards against a follower that tells its reader no demand, or learns no share.
func TestFollowerGetsShareByItsDemand(t *testing.T) {
	c, _, first, second := startTwo(t)
	first.sharer.DivideCapacity(sharer.Own{Node: "first", Demand: 10, Capacity: 100, Nodes: 2})
	await[shedder.ShareLearned](c, second.events, 0)
	second.mu.Lock()
	defer second.mu.Unlock()
	c.Check(slices.Contains(second.submitted, messenger.Event(shedder.ShareLearned{Share: 0.6})), qt.IsTrue)
}

// TestFollowersGetUpdatesWithoutReadingStore checks that, where few nodes read the store, the others get
// targets, configurations and confirmations just as early, and read nothing themselves.
func TestFollowersGetUpdatesWithoutReadingStore(t *testing.T) {
	c, store, _, second := startTwo(t)
	before := second.link.reads.Load()
	n := second.count()
	c.Assert(store.PutTarget("t", sampleTarget()), qt.IsNil)
	awaitTarget(c, second, "t", time.Second)
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "other")), qt.IsNil)
	await[dispatcher.ConfigurationRead](c, second.events, n)
	await[dispatcher.ConfigurationConfirmed](c, second.events, second.count())
	c.Assert(second.link.reads.Load(), qt.Equals, before)
}

// TestNodeReadsStoreWhenReaderFails stops the node that reads the store, or cuts it off: the other node must
// read the store itself before the last confirmation expires.
func TestNodeReadsStoreWhenReaderFails(t *testing.T) {
	for name, fail := range map[string]func(*node){
		"ended":   func(n *node) { n.stop() },
		"cut off": func(n *node) { n.link.isCut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, store, first, second := startTwo(t)
			fail(first)
			c.Assert(store.PutTarget("t", sampleTarget()), qt.IsNil)
			awaitTarget(c, second, "t", waitLimit)
		})
	}
}

// TestPeerProvidesConfiguration checks that a node that the store rejects while the API keys are
// replaced gets the new configuration from its peer and keeps serving.
func TestPeerProvidesConfiguration(t *testing.T) {
	c, store, _, second := startTwo(t)
	second.link.isCut.Store(true)
	n := second.count()
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "other")), qt.IsNil)
	n = await[dispatcher.ConfigurationRead](c, second.events, n)
	await[dispatcher.ConfigurationConfirmed](c, second.events, n)
}

// TestFollowerDoesNotLoadStoreDuringOutage checks that during an outage of the store a node that follows a
// peer leaves the retries to that peer, and is up to date within 1.5 s of the store's return.
func TestFollowerDoesNotLoadStoreDuringOutage(t *testing.T) {
	const outage = 5 * time.Second
	c, store, _, second := startTwo(t)
	before := second.link.reads.Load()
	store.SetFault(storefaker.Busy)
	time.Sleep(outage)
	calls := second.link.reads.Load() - before
	c.Assert(calls <= 4, qt.IsTrue, qt.Commentf("%d calls in %v", calls, outage))
	endOutage(c, store, 1500*time.Millisecond, second)
}

// endOutage ends an outage of the store and waits until nodes have a new confirmation from it.
func endOutage(c *qt.C, store *storefaker.Store, limit time.Duration, nodes ...*node) {
	restoredAt := bootclock.Now()
	store.SetFault(storefaker.None)
	for i, n := range nodes {
		for !n.confirmed().After(restoredAt) {
			c.Assert(bootclock.Now().Sub(restoredAt) < limit, qt.IsTrue, qt.Commentf("node %d is not back within %v", i, limit))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// confirmed returns the newest confirmation that was submitted.
func (e *events) confirmed() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var at time.Time
	for _, ev := range e.submitted {
		if confirmed, ok := ev.(dispatcher.ConfigurationConfirmed); ok && confirmed.AsOf.After(at) {
			at = confirmed.AsOf
		}
	}
	return at
}

// TestCrashesReachAllNodes reports a crash from the node that reads the store to the other node, and back.
func TestCrashesReachAllNodes(t *testing.T) {
	c, _, first, second := startTwo(t)
	for request, pair := range [][2]*node{{first, second}, {second, first}} {
		n := pair[1].count()
		crash := crashrecorder.Crash{Request: identifier.Fingerprint(request + 1), Target: "t", Incarnation: 7}
		pair[0].reporter.ReportCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{crash}})
		n = await[dispatcher.CrashesReported](c, pair[1].events, n)
		pair[1].mu.Lock()
		var received []crashrecorder.Crash
		for _, ev := range pair[1].submitted {
			if x, ok := ev.(dispatcher.CrashesReported); ok {
				received = append(received, x.Crashes...)
			}
		}
		pair[1].mu.Unlock()
		last := received[len(received)-1]
		c.Assert(last.AgeMS <= waitLimit.Milliseconds(), qt.IsTrue)
		last.AgeMS = crash.AgeMS
		crash.Reporter = pair[0].address
		c.Assert(last, qt.DeepEquals, crash, qt.Commentf("of %d events", n))
	}
}
