package granter_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/granter"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

var errLost = errors.New("lost")

// fleet is a set of nodes that call each other without a network. It assigns all partitions to one node.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*node
	// holder is the address of the node that holds the partitions, and until is until when its lease lasts.
	holder string
	until  time.Time
	// silent are the addresses of nodes that do not answer.
	silent map[string]bool
}

// node is one granter with its view of the holders.
type node struct {
	*granter.Granter
	fleet   *fleet
	address string
	sharer  *sharer.Sharer

	mu       sync.Mutex
	believed string
	lookups  int
	learned  []limiter.Report
	// callEndedBy is why the last call without an answer ended.
	callEndedBy error
}

func newFleet(t *testing.T, addresses ...string) *fleet {
	t.Helper()
	f := &fleet{nodes: map[string]*node{}, silent: map[string]bool{}, holder: addresses[0], until: bootclock.Now().Add(time.Hour)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, address := range addresses {
		n := &node{fleet: f, address: address, sharer: sharer.NewSharer()}
		n.Granter = granter.NewGranter(granter.Config{Self: address, Partitions: 12, Peers: n, Holders: n, Recorder: n.sharer, Submit: n.submit})
		f.nodes[address] = n
		go n.KeepHolders(ctx)
	}
	return f
}

func (n *node) submit(ev messenger.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if learned, ok := ev.(limiter.LimitsLearned); ok {
		n.learned = append(n.learned, learned.Reports...)
	}
}

// Call calls a method of another node.
func (n *node) Call(ctx context.Context, address, method string, params, result any) error {
	n.fleet.mu.Lock()
	peer, isSilent := n.fleet.nodes[address], n.fleet.silent[address]
	n.fleet.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		n.mu.Lock()
		n.callEndedBy = ctx.Err()
		n.mu.Unlock()
		return errLost
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	serve := peer.ServeGrant
	if method == granter.LimitsMethod {
		serve = peer.ServeLimits
	}
	answer, err := serve(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Tenure returns the node's tenure, which has lasted for long.
func (n *node) Tenure(int) (limiter.Tenure, bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return limiter.Tenure{Since: bootclock.Now().Add(-time.Hour), Until: n.fleet.until}, n.fleet.holder == n.address
}

// Holder returns the node that this one believes to hold the partitions.
func (n *node) Holder(int) (storecaller.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return storecaller.Member{Address: n.believed}, n.believed != ""
}

// LookUpHolders learns which node holds the partitions.
func (n *node) LookUpHolders(context.Context) error {
	n.fleet.mu.Lock()
	holder := n.fleet.holder
	n.fleet.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.believed = holder
	n.lookups++
	return nil
}

// CurrentReaders returns all other nodes.
func (n *node) CurrentReaders(context.Context) ([]storecaller.Member, error) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var out []storecaller.Member
	for address := range n.fleet.nodes {
		if address != n.address {
			out = append(out, storecaller.Member{Address: address})
		}
	}
	return out, nil
}

func (f *fleet) move(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holder = address
}

func (f *fleet) setSilent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = true
}

func report() limiter.Report { return limiter.Report{Target: "i-1", Rate: 50} }

// awaitGrant asks until a grant is given, as requests that arrive again and again do.
func awaitGrant(c *qt.C, n *node, limit time.Duration) granter.Answer {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if a := n.Grant(context.Background(), report()); a.IsGranted {
			return a
		}
	}
	c.Fatalf("no grant within %v", limit)
	return granter.Answer{}
}

// TestGrantsOfAllNodesComeFromOneHolder guards against a limit that each node grants itself.
func TestGrantsOfAllNodesComeFromOneHolder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, "a", "b", "c")
	for _, n := range f.nodes {
		awaitGrant(c, n, time.Second)
	}
	granted := 0
	began := time.Now()
	for time.Since(began) < time.Second {
		for _, n := range f.nodes {
			if n.Grant(context.Background(), report()).IsGranted {
				granted++
			}
		}
		time.Sleep(time.Millisecond)
	}
	allowed := 50*time.Since(began).Seconds() + 4
	c.Assert(float64(granted) <= allowed && float64(granted) > allowed/2, qt.IsTrue, qt.Commentf("%d grants, %.1f allowed", granted, allowed))
}

// TestNodeFollowsHolderThatMoves guards against a node that goes on asking one that no longer holds the partition.
func TestNodeFollowsHolderThatMoves(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, "a", "b", "c")
	awaitGrant(c, f.nodes["b"], time.Second)
	f.move("c")
	a := f.nodes["b"].Grant(context.Background(), report())
	c.Assert(a.IsGranted, qt.IsFalse)
	c.Assert(a.Reason, qt.Equals, granter.ReasonUnknownHolder)
	awaitGrant(c, f.nodes["b"], 2*time.Second)
}

// TestSilentHolderDelaysFewRequests guards against requests that all wait for a node that does not answer, and against
// grants that are used long after they were given.
func TestSilentHolderDelaysFewRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, "a", "b")
	a := awaitGrant(c, f.nodes["b"], time.Second)
	c.Assert(a.Until.Sub(bootclock.Now()) <= 250*time.Millisecond, qt.IsTrue)
	f.setSilent("a")
	began := time.Now()
	for range 100 {
		a = f.nodes["b"].Grant(context.Background(), report())
		c.Assert(a.IsGranted, qt.IsFalse)
		c.Assert(a.Until.After(bootclock.Now()), qt.IsTrue)
	}
	c.Assert(a.Reason, qt.Equals, granter.ReasonSilentHolder)
	c.Assert(time.Since(began) < 400*time.Millisecond, qt.IsTrue)
}

// TestCallerThatLeavesCutsNoPeerConnection guards against a caller that disconnects during a question to a peer, and so
// closes the connection that others use: a call that is cancelled closes it.
func TestCallerThatLeavesCutsNoPeerConnection(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, "a", "b")
	awaitGrant(c, f.nodes["b"], time.Second)
	f.setSilent("a")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	f.nodes["b"].Grant(ctx, report())
	c.Assert(f.nodes["b"].callEndedBy, qt.Equals, context.DeadlineExceeded)
	c.Assert(f.nodes["b"].Grant(context.Background(), report()).Reason, qt.Equals, granter.ReasonSilentHolder)
}

// TestExpiredHolderIsLookedUp guards against a node that stays with a holder whose lease has ended.
func TestExpiredHolderIsLookedUp(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, "a", "b")
	awaitGrant(c, f.nodes["b"], time.Second)
	f.mu.Lock()
	f.until = bootclock.Now()
	f.mu.Unlock()
	before := f.nodes["b"].lookups
	f.nodes["b"].Grant(context.Background(), report())
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		f.nodes["b"].mu.Lock()
		lookups := f.nodes["b"].lookups
		f.nodes["b"].mu.Unlock()
		if lookups > before {
			return
		}
	}
	c.Fatal("the holder was not looked up")
}

// TestReportReachesHolderAndReaders guards against a limit that falls or ends, and is known to the node that noticed only.
func TestReportReachesHolderAndReaders(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, "a", "b", "c")
	awaitGrant(c, f.nodes["b"], time.Second)
	f.nodes["b"].Report(context.Background(), limiter.Report{Target: "i-1", IsEnded: true})
	a := f.nodes["b"].Grant(context.Background(), limiter.Report{Target: "i-1", Rate: 50, AgeMS: 1000})
	c.Assert(a.IsGranted && a.Known.IsEnded, qt.IsTrue)
	f.nodes["c"].mu.Lock()
	defer f.nodes["c"].mu.Unlock()
	c.Assert(len(f.nodes["c"].learned) > 0 && f.nodes["c"].learned[0].IsEnded, qt.IsTrue)
}
