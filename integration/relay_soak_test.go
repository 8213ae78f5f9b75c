package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/storefaker"
	"fuchsiabridge.example/platform/targetfaker"
)

const (
	relaySoakNodes   = 3
	relaySoakCallers = 12
	// relaySoakDuration is the length of a run if SOAK is not set.
	relaySoakDuration = 15 * time.Second
	// maxRelayFaultInterval bounds the random time between two faults.
	maxRelayFaultInterval = 700 * time.Millisecond
	// relayRevocationLimit is the nodes' limit on how long a revoked key may still be accepted.
	relayRevocationLimit     = 5 * time.Second
	relayKeyRotationInterval = 4 * time.Second
	requestTimeout           = 8 * time.Second
)

// soakResult is one request and the answer that its caller received. The status is 0 for streams
// and for requests without an answer.
type soakResult struct {
	id, path, key string
	node          int
	sentAt        time.Time
	endedAt       time.Time
	status        int
	isComplete    bool
}

// relaySoak is one run of random faults against nodes in relay mode under load.
type relaySoak struct {
	*relayFixture
	t       *testing.T
	f       *launcher.Fleet
	rng     *rand.Rand
	until   time.Time
	proxies []*launcher.Process

	mu      sync.Mutex
	nodes   []*launcher.Relay
	results []soakResult
	// keys holds all keys published so far, oldest first, and version the newest configuration's number.
	keys    []string
	version int
	// limits holds the request limits that targets have named, and excused when each node was last disturbed.
	limits  []soakLimit
	excused map[int][]time.Time
	// leaving and refusals hold what targets have said in their answers, poison the poison requests that were sent.
	leaving  []saidLeaving
	refusals []refusal
	poison   []string
	// published and revoked hold, by key, when the store accepted the first configuration with it and the first one without it.
	published map[string]time.Time
	revoked   map[string]time.Time
	// restored holds when the store was restored from a copy.
	restored []time.Time
}

// TestRelaySoak injects random faults, alone and overlapping, under load, and checks the guarantees
// against what callers and targets have recorded: no request that was refused as not run has run, no
// POST runs twice, no revoked key is accepted beyond the limit, drafts run on valid chains, request limits of
// targets are kept by all nodes together, a key that the newest configuration allows is not refused once that must be in force,
// few requests with a poison part reach targets, and orders respect fencing and memory. SOAK sets the duration, SEED the seed of the random numbers.
func TestRelaySoak(t *testing.T) {
	seed, length := uint64(20261203), relaySoakDuration
	if v, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = v
	}
	if v, err := time.ParseDuration(os.Getenv("SOAK")); err == nil {
		length = v
	}
	s := newRelaySoak(t, seed)
	s.until = time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range relaySoakCallers {
		wg.Go(func() { s.sendRequests(i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	wg.Go(func() { s.hangUpNodes(rand.New(rand.NewPCG(seed, hangUpStream))) })
	wg.Go(func() { s.cutNodes(rand.New(rand.NewPCG(seed, cutStream))) })
	s.injectFaults()
	wg.Wait()
	s.clearFaults()
	s.check(seed)
}

func newRelaySoak(t *testing.T, seed uint64) *relaySoak {
	t.Helper()
	return newRelaySoakOf(t, seed, relaySoakNodes)
}

// newRelaySoakOf starts the given number of nodes.
func newRelaySoakOf(t *testing.T, seed uint64, nodes int) *relaySoak {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	s := &relaySoak{
		relayFixture: &relayFixture{C: c, store: store, fleet: targetfaker.NewFleet(ctx, store)},
		t:            t, f: launcher.NewRelayFleet(t), rng: rand.New(rand.NewPCG(seed, 0)), published: map[string]time.Time{}, revoked: map[string]time.Time{}, excused: map[int][]time.Time{},
	}
	s.publishConfiguration("key-0")
	for _, dc := range []string{"a", "b", "c"} {
		s.add(targetfaker.TargetSpec{ID: "ledger-" + dc, Service: "ledger", DataCentre: dc, EventInterval: eventInterval})
		for i := range 3 {
			s.addDrafter(fmt.Sprintf("draft-%s%d", dc, i), dc)
		}
	}
	for i := range nodes {
		p := s.f.AddProxy(fmt.Sprintf("store-%d", i), store.Address())
		s.proxies = append(s.proxies, p)
		s.nodes = append(s.nodes, s.f.AddCuttableRelay(fmt.Sprintf("node-%d", i), string(rune('a'+i%3)), p.Address,
			"--balancer-lag", "300ms", "--stop-limit", "4s", "--retry-slack", "100", "--retry-window", "2s"))
	}
	launcher.Await(t, relayStartTimeout, "all nodes serve drafts", func() bool {
		for _, n := range s.nodes {
			if got, err := (callerfaker.Caller{Address: n.Address, Key: "key-0"}).Stream(ctx, "/draft/x", "warm", nil); err != nil || got != relayEvents {
				return false
			}
		}
		return true
	})
	return s
}

func (s *relaySoak) addDrafter(id, dc string) {
	s.add(targetfaker.TargetSpec{ID: id, Service: "drafting", DataCentre: dc, Kind: "big", EventInterval: eventInterval, Events: relayEvents})
}

// publishConfiguration publishes a configuration with the given key and the one before it, which
// revokes all older keys.
func (s *relaySoak) publishConfiguration(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.keys = append(s.keys, key)
	s.writeConfiguration()
	now := time.Now()
	s.published[key] = now
	for _, old := range s.keys[:max(0, len(s.keys)-2)] {
		if _, ok := s.revoked[old]; !ok {
			s.revoked[old] = now
		}
	}
}

// writeConfiguration writes the newest configuration to the store. s.mu must be held.
func (s *relaySoak) writeConfiguration() {
	activeKeys := s.keys[max(0, len(s.keys)-2):]
	s.Assert(s.store.PutConfiguration(storefaker.Sample(s.version, activeKeys...)), qt.IsNil)
}

// sendRequests sends requests one after another until the run ends. Most drafts are streamed.
func (s *relaySoak) sendRequests(caller int, rnd *rand.Rand) {
	for n := 0; time.Now().Before(s.until); n++ {
		s.mu.Lock()
		i := rnd.IntN(len(s.nodes))
		node := s.nodes[i]
		// Callers may use one of the last three keys, so also a key that has just been revoked.
		a := soakResult{id: fmt.Sprintf("r%d-%d", caller, n), node: i, key: s.keys[max(0, len(s.keys)-1-rnd.IntN(3))], sentAt: time.Now()}
		s.mu.Unlock()
		a.path = []string{"/draft/x", "/draft/x", "/post/1", "/view/1"}[rnd.IntN(4)]
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		c := callerfaker.Caller{Address: node.Address, Key: a.key}
		if a.path == "/draft/x" && rnd.IntN(8) > 0 {
			got, err := c.Stream(ctx, a.path, a.id, nil)
			a.isComplete = err == nil && got == relayEvents
		} else {
			var body string
			var err error
			a.status, body, err = c.Send(ctx, http.MethodPost, a.path, a.id)
			a.isComplete = err == nil && body == "answer to "+a.id
		}
		cancel()
		a.endedAt = time.Now()
		s.mu.Lock()
		s.results = append(s.results, a)
		s.mu.Unlock()
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// injectFaults injects faults, which may overlap, and rotates the key until the run ends.
func (s *relaySoak) injectFaults() {
	nextRotationAt := time.Now().Add(relayKeyRotationInterval)
	for n := 0; time.Now().Before(s.until); n++ {
		if time.Now().After(nextRotationAt) {
			nextRotationAt = nextRotationAt.Add(relayKeyRotationInterval)
			s.publishConfiguration(fmt.Sprintf("key-%d", n+1))
		}
		s.injectFault(n)
		time.Sleep(time.Duration(s.rng.Int64N(int64(maxRelayFaultInterval))))
	}
}

func (s *relaySoak) injectFault(n int) {
	i := s.rng.IntN(len(s.nodes))
	dc := string(rune('a' + s.rng.IntN(3)))
	kind := s.rng.IntN(17)
	s.t.Logf("%s fault %d at node %d, data centre %s", time.Now().Format("05.000"), kind, i, dc)
	switch kind {
	case 0:
		s.nodes[i].Pause()
		time.Sleep(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
		s.nodes[i].Resume()
		s.excuse(i)
	case 1:
		s.nodes[i].Kill()
		s.restart(i)
		s.excuse(i)
	case 2:
		s.nodes[i].Stop()
		if _, ended := s.nodes[i].AwaitExit(6 * time.Second); !ended {
			s.t.Errorf("node %d did not exit within 6 s of SIGTERM", i)
		}
		s.restart(i)
		s.excuse(i)
	case 3:
		s.f.SetFault(s.proxies[i], map[string]any{"silence_open": true})
	case 4:
		s.f.SetFault(s.proxies[i], map[string]any{"refuse": true, "cut_open": true})
	case 5:
		s.f.SetFault(s.proxies[i], map[string]any{})
	case 6:
		s.store.SetFault(storefaker.Fault(1 + s.rng.IntN(3)))
		time.AfterFunc(time.Duration(s.rng.IntN(6000))*time.Millisecond, func() { s.store.SetFault(storefaker.None) })
	case 7:
		s.store.Compact()
		s.store.SetFault(storefaker.None)
	case 8:
		s.replaceTarget(n, dc)
	case 9:
		s.store.Rebalance()
	case 10:
		s.misbehave(dc)
	case 11:
		s.changeLimit(dc)
	case 12:
		s.sayLeaving(n, dc)
	case 13:
		s.refuse(dc)
	case 14:
		s.sendSoakPoison(n)
	case 15:
		s.restoreStore()
	case 16:
		s.sendSoakPoisonPart(n)
	}
}

// restart starts a node again at the same addresses.
func (s *relaySoak) restart(i int) {
	restarted := s.f.Restart(s.nodes[i].Process)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = &launcher.Relay{Process: restarted, Health: s.nodes[i].Health, Metrics: s.nodes[i].Metrics, Control: s.nodes[i].Control}
}

// replaceTarget adds a target to a data centre and drains, kills or stalls another one there.
func (s *relaySoak) replaceTarget(n int, dc string) {
	id := s.fleet.Any(dc, "drafting", s.rng.IntN(3))
	if id == "" {
		return
	}
	s.addDrafter(fmt.Sprintf("draft-%s-%d", dc, n), dc)
	switch s.rng.IntN(3) {
	case 0:
		s.Assert(s.fleet.Drain(id), qt.IsNil)
	case 1:
		s.fleet.Kill(id)
	case 2:
		s.fleet.Stall(id)
	}
	s.Assert(s.store.PutTarget(id, nil), qt.IsNil)
}

// misbehave sets a random kind of misbehaviour, which may be none, for a target of a data centre.
func (s *relaySoak) misbehave(dc string) {
	service := []string{"drafting", "ledger"}[s.rng.IntN(2)]
	id := s.fleet.Any(dc, service, s.rng.IntN(3))
	if id != "" {
		s.fleet.SetFault(id, targetfaker.Fault(s.rng.IntN(int(targetfaker.FaultCount))))
	}
}

// clearFaults ends all faults and waits until every node serves drafts again.
func (s *relaySoak) clearFaults() {
	s.endLimits()
	s.store.SetFault(storefaker.None)
	for i := range s.nodes {
		s.f.SetFault(s.proxies[i], map[string]any{})
	}
	s.publishConfiguration("key-last")
	for i, n := range s.nodes {
		launcher.Await(s.t, relayStartTimeout, fmt.Sprintf("node %d serves drafts after the faults", i), func() bool {
			got, err := (callerfaker.Caller{Address: n.Address, Key: "key-last"}).Stream(context.Background(), "/draft/x", "healed", nil)
			return err == nil && got == relayEvents
		})
	}
}

// check compares the answers to callers with the attempts that targets recorded.
func (s *relaySoak) check(seed uint64) {
	served, refused := 0, 0
	for _, a := range s.results {
		attempts := s.fleet.Attempts(a.id)
		if a.isComplete {
			served++
		}
		if a.status == http.StatusServiceUnavailable {
			refused++
			if len(attempts) > 0 {
				s.t.Errorf("%s %s was refused as not run, but ran", a.id, a.path)
			}
		}
		if a.path == "/post/1" && len(attempts) > 1 {
			s.t.Errorf("%s ran %d times", a.id, len(attempts))
		}
		s.checkDenial(a)
		for _, r := range attempts {
			s.checkAttempt(a, r)
		}
	}
	s.checkOrders()
	s.checkLimits()
	s.checkAnnouncements()
	s.checkPoison()
	s.checkPoisonPart()
	s.t.Logf("seed %d: %d requests, %d complete, %d refused", seed, len(s.results), served, refused)
}

func (s *relaySoak) checkAttempt(a soakResult, r targetfaker.Attempt) {
	if at, ok := s.revoked[a.key]; ok && a.sentAt.After(at.Add(relayRevocationLimit)) {
		s.t.Errorf("%s ran under a key that had been revoked %v before", a.id, a.sentAt.Sub(at))
	}
	if r.Key != "" || r.Account != "studio" {
		s.t.Errorf("%s was forwarded with key %q for account %q", a.id, r.Key, r.Account)
	}
	if !strings.HasPrefix(a.path, "/draft/") {
		return
	}
	if fault := targetfaker.CheckPath(r.Path, storefaker.Layers); fault != "" {
		s.t.Errorf("%s ran on %s: %s", a.id, r.Path, fault)
	}
}

// checkOrders checks that no target accepted an order with a lower fencing token after a higher one,
// or an order for more layers than fit in its memory.
func (s *relaySoak) checkOrders() {
	highest := map[string]int64{}
	for _, o := range s.fleet.Orders() {
		if o.Fence < highest[o.Target] {
			s.t.Errorf("%s accepted an order with fencing token %d after %d", o.Target, o.Fence, highest[o.Target])
		}
		highest[o.Target] = o.Fence
		if o.To-o.From > storefaker.MaxLayers {
			s.t.Errorf("%s was ordered to load layers %d to %d, more than fit in its memory", o.Target, o.From, o.To)
		}
	}
}
