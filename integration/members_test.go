package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// The number of layers of the model in these tests and those of orders, and of tokens of each draft.
const (
	membersLayers     = 16
	memberDraftTokens = 16
)

// balancer selects ready nodes in turn, or the first node if none is ready. Like the platform's load
// balancer, it polls /readyz.
type balancer struct {
	mu     sync.Mutex
	nodes  []string
	ready  map[string]bool
	cursor int
}

const balancerInterval = 100 * time.Millisecond

func newBalancer(ctx context.Context, nodes []*launcher.Process) *balancer {
	b := &balancer{ready: map[string]bool{}}
	for _, n := range nodes {
		b.nodes = append(b.nodes, n.Address)
		b.ready[n.Address] = true
	}
	go func() {
		for ctx.Err() == nil {
			for _, n := range b.nodes {
				isReady := b.isReady(ctx, n)
				b.mu.Lock()
				b.ready[n] = isReady
				b.mu.Unlock()
			}
			time.Sleep(balancerInterval)
		}
	}()
	return b
}

func (b *balancer) isReady(ctx context.Context, node string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/readyz", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.nodes {
		b.cursor++
		if n := b.nodes[b.cursor%len(b.nodes)]; b.ready[n] {
			return n
		}
	}
	return b.nodes[0]
}

// workload sends drafts and payments through a balancer until it is stopped, and collects failures. Every
// fourth worker sends payments.
type workload struct {
	balancer  *balancer
	requester *requester.Requester
	stop      context.CancelFunc
	workers   sync.WaitGroup
	requests  atomic.Int64

	mu       sync.Mutex
	failures []string
}

func startWorkload(f *launcher.Fleet, workers int) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	l := &workload{balancer: newBalancer(ctx, f.Nodes), requester: requester.NewRequester(), stop: cancel}
	for w := range workers {
		l.workers.Add(1)
		go func() {
			defer l.workers.Done()
			for n := 0; ctx.Err() == nil; n++ {
				l.request(w, n)
			}
		}()
	}
	return l
}

// stopAndWait stops the workload, waits for its last requests and returns the failures.
func (l *workload) stopAndWait() []string {
	l.stop()
	l.workers.Wait()
	l.requester.Close()
	return l.failures
}

func (l *workload) request(worker, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	node, id := l.balancer.next(), fmt.Sprintf("w%d-%d", worker, n)
	var result requester.Result
	var err error
	started := time.Now()
	if worker%4 == 3 {
		result, err = l.requester.Call(ctx, requester.ServiceRequest{
			Node: node, Key: launcher.AccountKey, Method: http.MethodPost, Service: "ledger", Path: "/payments",
			Body: id, IdempotencyKey: id, Class: "counter",
		})
	} else {
		result, err = l.requester.Stream(ctx, requester.DraftRequest{
			Node: node, Key: launcher.AccountKey, ID: id, Class: "counter", Model: launcher.Model, Prompt: id, MaxTokens: memberDraftTokens,
		}, nil)
		result.IsComplete = result.IsComplete && fmt.Sprint(result.Tokens) == fmt.Sprint(layerhasher.Answer(membersLayers, requester.ModelPrompt(id), memberDraftTokens))
	}
	l.requests.Add(1)
	if err != nil || !result.IsComplete {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failures = append(l.failures, fmt.Sprintf("%s at %s, started %s, took %v: %v, status %d, outcome %q, %+v",
			id, node, started.Format(time.StampMilli), time.Since(started), err, result.Status, result.Outcome, result.Problem))
	}
}

// newMembersFleet starts two replicas for each of two layer ranges, two ledger services, and the given
// number of nodes.
func newMembersFleet(t *testing.T, nodes int) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t)
	for _, replica := range []string{"1", "2"} {
		f.AddEngine("engine-a"+replica, 0, membersLayers/2)
		f.AddEngine("engine-b"+replica, membersLayers/2, membersLayers)
		f.AddService("ledger", "ledger-"+replica)
	}
	for n := range nodes {
		f.AddNode(fmt.Sprintf("node-%d", n+1), "")
	}
	f.Configure(membersLayers)
	awaitTargets(t, f, "up", 6)
	return f
}

// nodeStatus is the part of a node's status that the tests use.
type nodeStatus struct {
	Offset  identifier.Offset `json:"offset"`
	Targets []struct {
		ID     string                `json:"id"`
		State  string                `json:"state"`
		Layers identifier.LayerRange `json:"layers"`
	} `json:"targets"`
}

func readStatus(c *qt.C, node *launcher.Process) nodeStatus {
	req, err := http.NewRequest(http.MethodGet, "http://"+node.Address+"/operator/status", nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+launcher.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var s nodeStatus
	c.Assert(json.NewDecoder(resp.Body).Decode(&s), qt.IsNil)
	return s
}

// awaitTargets waits until every node sees the given number of targets in the state. The VM list lags, so
// nodes see changes late.
func awaitTargets(t *testing.T, f *launcher.Fleet, state string, count int) {
	t.Helper()
	for _, n := range f.Nodes {
		launcher.Await(t, 5*time.Second, fmt.Sprintf("%s sees %d targets with state %s", n.Name, count, state), func() bool {
			found := 0
			for _, target := range readStatus(qt.New(t), n).Targets {
				if target.State == state {
					found++
				}
			}
			return found == count
		})
	}
}

// TestRollingRestart stops and starts all 8 nodes in turn under load. No request may be cut off or
// refused: a node must drain before it exits.
func TestRollingRestart(t *testing.T) {
	c := qt.New(t)
	f := newMembersFleet(t, 8)
	l := startWorkload(f, 16)
	time.Sleep(500 * time.Millisecond)
	for i, n := range f.Nodes {
		n.Stop()
		if i%2 == 0 {
			// A second SIGTERM must not shorten the graceful stop.
			n.Stop()
		}
		code, ended := n.AwaitExit(8 * time.Second)
		c.Assert(ended, qt.IsTrue, qt.Commentf("%s did not exit within 8 s", n.Name))
		c.Check(code, qt.Equals, 0)
		f.Nodes[i] = f.Restart(n)
		launcher.Await(t, 8*time.Second, n.Name+" is ready again", func() bool {
			return l.balancer.isReady(context.Background(), n.Address)
		})
	}
	failures := l.stopAndWait()
	t.Logf("%d requests during 8 restarts, %d cut off or refused", l.requests.Load(), len(failures))
	c.Assert(failures, qt.HasLen, 0)
	c.Assert(l.requests.Load() > 100, qt.IsTrue)
}

// TestLeavingEnginesGetNoNewDrafts marks one engine as leaving in the VM list and has another report
// it in its own status, under load. From 3 s after that, no new draft may start there. A run at position 0
// is the start of a draft.
func TestLeavingEnginesGetNoNewDrafts(t *testing.T) {
	const maxDelay = 3 * time.Second
	c := qt.New(t)
	f := newMembersFleet(t, 8)
	l := startWorkload(f, 16)
	launcher.Await(t, 5*time.Second, "both engines have run steps", func() bool {
		return len(launcher.Ledger[ledgerEntry](f, "engine-a1")) > 0 && len(launcher.Ledger[ledgerEntry](f, "engine-b1")) > 0
	})
	markedAt := time.Now()
	f.ListVM(platformcaller.VM{
		ID: "engine-a1", Role: platformcaller.RoleEngine, Address: f.Engines["engine-a1"].Address, DataCentre: "plateau", Leaving: true,
	})
	f.SetFault(f.Engines["engine-b1"], map[string]any{"leaving": true})
	time.Sleep(maxDelay + time.Second)
	before := l.requests.Load()
	launcher.Await(t, 5*time.Second, "more requests are answered", func() bool { return l.requests.Load() > before+10 })
	c.Assert(l.stopAndWait(), qt.HasLen, 0)
	for _, id := range []string{"engine-a1", "engine-b1"} {
		var last int64
		for _, r := range launcher.Ledger[ledgerEntry](f, id) {
			if r.Event == "" && r.Position == 0 {
				last = max(last, r.At)
			}
		}
		delay := time.UnixMilli(last).Sub(markedAt)
		t.Logf("last new draft on %s %v after the engines were marked as leaving", id, delay.Round(time.Millisecond))
		c.Check(delay < maxDelay, qt.IsTrue)
	}
}
