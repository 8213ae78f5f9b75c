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

const (
	membersLayers     = 16
	memberDraftTokens = 16
)

// balancer chooses among nodes by /readyz, which it reads at intervals, as the platform's does.
type balancer struct {
	mu    sync.Mutex
	nodes []string
	ready map[string]bool
	turn  int
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
		b.turn++
		if n := b.nodes[b.turn%len(b.nodes)]; b.ready[n] {
			return n
		}
	}
	return b.nodes[0]
}

// load runs drafts, payments and lookups through a balancer until it is stopped, and keeps what went wrong.
type load struct {
	balancer *balancer
	calls    *requester.Requester
	stop     context.CancelFunc
	workers  sync.WaitGroup
	requests atomic.Int64

	mu     sync.Mutex
	faults []string
}

func startLoad(f *launcher.Fleet, workers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{balancer: newBalancer(ctx, f.Nodes), calls: requester.NewRequester(), stop: cancel}
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

// end stops the load and waits for its last requests.
func (l *load) end() []string {
	l.stop()
	l.workers.Wait()
	l.calls.Close()
	return l.faults
}

func (l *load) request(worker, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	node, id := l.balancer.next(), fmt.Sprintf("w%d-%d", worker, n)
	var result requester.Result
	var err error
	started := time.Now()
	if worker%4 == 3 {
		result, err = l.calls.Call(ctx, requester.Service{
			Node: node, Key: launcher.AccountKey, Method: http.MethodPost, Service: "ledger", Path: "/payments",
			Body: id, IdempotencyKey: id, Class: "counter",
		})
	} else {
		result, err = l.calls.Stream(ctx, requester.Draft{
			Node: node, Key: launcher.AccountKey, ID: id, Class: "counter", Model: launcher.Model, Prompt: id, MaxTokens: memberDraftTokens,
		}, nil)
		result.Whole = result.Whole && fmt.Sprint(result.Tokens) == fmt.Sprint(layerhasher.Answer(membersLayers, requester.Prompt(id), memberDraftTokens))
	}
	l.requests.Add(1)
	if err != nil || !result.Whole {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.faults = append(l.faults, fmt.Sprintf("%s at %s, begun %s, took %v: %v, status %d, outcome %q, %+v",
			id, node, started.Format(time.StampMilli), time.Since(started), err, result.Status, result.Outcome, result.Problem))
	}
}

// membersFleet starts nodes before two replicas of each of two ranges, and ledger services.
func membersFleet(t *testing.T, nodes int) *launcher.Fleet {
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

// nodeStatus is what the tests read of a node's status.
type nodeStatus struct {
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

// awaitTargets waits until every node has the given number of targets in the state: the VM list lags.
func awaitTargets(t *testing.T, f *launcher.Fleet, state string, count int) {
	t.Helper()
	for _, n := range f.Nodes {
		launcher.Await(t, 5*time.Second, fmt.Sprintf("%s knows %d targets that are %s", n.Name, count, state), func() bool {
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

// TestRollingRestart stops and starts all 8 nodes in turn under load: no request is cut off or refused.
func TestRollingRestart(t *testing.T) {
	c := qt.New(t)
	f := membersFleet(t, 8)
	l := startLoad(f, 16)
	time.Sleep(500 * time.Millisecond)
	for i, n := range f.Nodes {
		n.Stop()
		if i%2 == 0 {
			// A second signal must not shorten the stop.
			n.Stop()
		}
		code, ended := n.AwaitEnd(8 * time.Second)
		c.Assert(ended, qt.IsTrue, qt.Commentf("%s did not end", n.Name))
		c.Check(code, qt.Equals, 0)
		f.Nodes[i] = f.Restart(n)
		launcher.Await(t, 8*time.Second, n.Name+" is ready again", func() bool {
			return l.balancer.isReady(context.Background(), n.Address)
		})
	}
	faults := l.end()
	t.Logf("%d requests over 8 restarts, %d cut off or refused", l.requests.Load(), len(faults))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(l.requests.Load() > 100, qt.IsTrue)
}

// TestLeavingGetsNoNewWork has one engine leave by the VM list and another by its own
// word under load: 3 s after the first sign no step of a new draft runs there.
func TestLeavingGetsNoNewWork(t *testing.T) {
	const limit = 3 * time.Second
	c := qt.New(t)
	f := membersFleet(t, 8)
	l := startLoad(f, 16)
	launcher.Await(t, 5*time.Second, "both engines work", func() bool {
		return len(launcher.Ledger[run](f, "engine-a1")) > 0 && len(launcher.Ledger[run](f, "engine-b1")) > 0
	})
	first := time.Now()
	f.ListVM(platformcaller.VM{
		ID: "engine-a1", Role: platformcaller.RoleEngine, Address: f.Engines["engine-a1"].Address, DataCentre: "plateau", Leaving: true,
	})
	f.SetFault(f.Engines["engine-b1"], map[string]any{"leaving": true})
	time.Sleep(limit + time.Second)
	before := l.requests.Load()
	launcher.Await(t, 5*time.Second, "work goes on", func() bool { return l.requests.Load() > before+10 })
	c.Assert(l.end(), qt.HasLen, 0)
	for _, id := range []string{"engine-a1", "engine-b1"} {
		var last int64
		for _, r := range launcher.Ledger[run](f, id) {
			if r.Event == "" && r.Position == 0 {
				last = max(last, r.At)
			}
		}
		after := time.UnixMilli(last).Sub(first)
		t.Logf("last new draft on %s %v after the first sign", id, after.Round(time.Millisecond))
		c.Check(after < limit, qt.IsTrue)
	}
}
