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
	// relaySoakTime is how long a run lasts where the environment does not say.
	relaySoakTime  = 15 * time.Second
	relaySoakPause = 700 * time.Millisecond
	// relayRevocation is the nodes' limit for keys that were taken away.
	relayRevocation = 5 * time.Second
	relayKeyLife    = 4 * time.Second
	requestTime     = 8 * time.Second
)

// soakAnswer is what a caller was told of a request.
type soakAnswer struct {
	id, path, key string
	sentAt        time.Time
	status        int
	isWhole       bool
}

// relaySoak is one run of random faults against relaying nodes under load.
type relaySoak struct {
	*bridge
	t       *testing.T
	f       *launcher.Fleet
	rnd     *rand.Rand
	until   time.Time
	proxies []*launcher.Process

	mu      sync.Mutex
	nodes   []*launcher.Relay
	answers []soakAnswer
	keys    []string
	version int
	// revoked holds when the store took a version without the key.
	revoked map[string]time.Time
}

// TestRelaySoak plays random faults, alone and overlapping, and checks the promises from
// what callers and targets have seen. SOAK gives its time, SEED its random numbers.
func TestRelaySoak(t *testing.T) {
	seed, length := uint64(20261203), relaySoakTime
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
		wg.Go(func() { s.call(i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
	}
	s.play()
	wg.Wait()
	s.heal()
	s.check(seed)
}

func newRelaySoak(t *testing.T, seed uint64) *relaySoak {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	s := &relaySoak{
		bridge: &bridge{C: c, store: store, fleet: targetfaker.NewFleet(ctx, store)},
		t:      t, f: launcher.NewRelays(t), rnd: rand.New(rand.NewPCG(seed, 0)), revoked: map[string]time.Time{},
	}
	s.publish("key-0")
	for _, dc := range []string{"a", "b", "c"} {
		s.add(targetfaker.Setting{ID: "ledger-" + dc, Service: "ledger", DataCentre: dc, EventPause: eventPause})
		for i := range 3 {
			s.addDrafter(fmt.Sprintf("draft-%s%d", dc, i), dc)
		}
	}
	for i := range relaySoakNodes {
		p := s.f.AddProxy(fmt.Sprintf("store-%d", i), store.Address())
		s.proxies = append(s.proxies, p)
		s.nodes = append(s.nodes, s.f.AddRelay(fmt.Sprintf("node-%d", i), string(rune('a'+i)), p.Address,
			"--balancer-lag", "300ms", "--stop-limit", "4s", "--retry-slack", "100", "--retry-window", "2s"))
	}
	launcher.Await(t, relayStart, "all nodes serve drafts", func() bool {
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
	s.add(targetfaker.Setting{ID: id, Service: "drafting", DataCentre: dc, Kind: "big", EventPause: eventPause, Events: relayEvents})
}

// publish puts a configuration in force in which the last two keys and the given one are known.
func (s *relaySoak) publish(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.keys = append(s.keys, key)
	held := s.keys[max(0, len(s.keys)-2):]
	s.Assert(s.store.PutConfiguration(storefaker.Sample(s.version, held...)), qt.IsNil)
	now := time.Now()
	for _, old := range s.keys[:max(0, len(s.keys)-2)] {
		if _, ok := s.revoked[old]; !ok {
			s.revoked[old] = now
		}
	}
}

// call sends requests one after the other until the run's end.
func (s *relaySoak) call(caller int, rnd *rand.Rand) {
	for n := 0; time.Now().Before(s.until); n++ {
		s.mu.Lock()
		node := s.nodes[rnd.IntN(len(s.nodes))]
		// Callers keep to a key for a while after it was taken away.
		a := soakAnswer{id: fmt.Sprintf("r%d-%d", caller, n), key: s.keys[max(0, len(s.keys)-1-rnd.IntN(3))], sentAt: time.Now()}
		s.mu.Unlock()
		a.path = []string{"/draft/x", "/draft/x", "/post/1", "/view/1"}[rnd.IntN(4)]
		ctx, cancel := context.WithTimeout(context.Background(), requestTime)
		c := callerfaker.Caller{Address: node.Address, Key: a.key}
		if a.path == "/draft/x" && rnd.IntN(8) > 0 {
			got, err := c.Stream(ctx, a.path, a.id, nil)
			a.isWhole = err == nil && got == relayEvents
		} else {
			var body string
			var err error
			a.status, body, err = c.Send(ctx, http.MethodPost, a.path, a.id)
			a.isWhole = err == nil && body == "answer to "+a.id
		}
		cancel()
		s.mu.Lock()
		s.answers = append(s.answers, a)
		s.mu.Unlock()
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// play brings in faults until the run's end; some begin before others have ended.
func (s *relaySoak) play() {
	keyAt := time.Now().Add(relayKeyLife)
	for n := 0; time.Now().Before(s.until); n++ {
		if time.Now().After(keyAt) {
			keyAt = keyAt.Add(relayKeyLife)
			s.publish(fmt.Sprintf("key-%d", n+1))
		}
		s.fault(n)
		time.Sleep(time.Duration(s.rnd.Int64N(int64(relaySoakPause))))
	}
}

func (s *relaySoak) fault(n int) {
	i := s.rnd.IntN(len(s.nodes))
	dc := string(rune('a' + s.rnd.IntN(3)))
	kind := s.rnd.IntN(11)
	s.t.Logf("%s fault %d at node %d, data centre %s", time.Now().Format("05.000"), kind, i, dc)
	switch kind {
	case 0:
		s.nodes[i].Freeze()
		time.Sleep(time.Duration(s.rnd.IntN(1500)) * time.Millisecond)
		s.nodes[i].Thaw()
	case 1:
		s.nodes[i].Kill()
		s.restart(i)
	case 2:
		s.nodes[i].Stop()
		if _, ended := s.nodes[i].AwaitEnd(6 * time.Second); !ended {
			s.t.Errorf("node %d did not stop in time", i)
		}
		s.restart(i)
	case 3:
		s.f.SetFault(s.proxies[i], map[string]any{"silence_open": true})
	case 4:
		s.f.SetFault(s.proxies[i], map[string]any{"refuse": true, "cut_open": true})
	case 5:
		s.f.SetFault(s.proxies[i], map[string]any{})
	case 6:
		s.store.SetFault(storefaker.Fault(1 + s.rnd.IntN(3)))
		time.AfterFunc(time.Duration(s.rnd.IntN(6000))*time.Millisecond, func() { s.store.SetFault(storefaker.None) })
	case 7:
		s.store.Forget()
		s.store.SetFault(storefaker.None)
	case 8:
		s.replace(n, dc)
	case 9:
		s.store.Rebalance()
	case 10:
		s.trouble(dc)
	}
}

// restart starts a node again at its addresses.
func (s *relaySoak) restart(i int) {
	fresh := s.f.Restart(s.nodes[i].Process)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = &launcher.Relay{Process: fresh, Health: s.nodes[i].Health, Metrics: s.nodes[i].Metrics}
}

// replace has a target of a data centre leave, die or fall silent, and brings another.
func (s *relaySoak) replace(n int, dc string) {
	id := s.fleet.Any(dc, "drafting", s.rnd.IntN(3))
	if id == "" {
		return
	}
	s.addDrafter(fmt.Sprintf("draft-%s-%d", dc, n), dc)
	switch s.rnd.IntN(3) {
	case 0:
		s.Assert(s.fleet.Drain(id), qt.IsNil)
	case 1:
		s.fleet.Kill(id)
	case 2:
		s.fleet.Silence(id)
	}
	s.Assert(s.store.PutTarget(id, nil), qt.IsNil)
}

// trouble makes a target of a data centre misbehave, or do well again.
func (s *relaySoak) trouble(dc string) {
	service := []string{"drafting", "ledger"}[s.rnd.IntN(2)]
	id := s.fleet.Any(dc, service, s.rnd.IntN(3))
	if id != "" {
		s.fleet.SetTrouble(id, targetfaker.Trouble(s.rnd.IntN(int(targetfaker.Troubles))))
	}
}

// heal ends all faults and waits until each node serves again.
func (s *relaySoak) heal() {
	s.store.SetFault(storefaker.None)
	for i := range s.nodes {
		s.f.SetFault(s.proxies[i], map[string]any{})
	}
	s.publish("key-last")
	for i, n := range s.nodes {
		launcher.Await(s.t, relayStart, fmt.Sprintf("node %d serves after the faults", i), func() bool {
			got, err := (callerfaker.Caller{Address: n.Address, Key: "key-last"}).Stream(context.Background(), "/draft/x", "healed", nil)
			return err == nil && got == relayEvents
		})
	}
}

// check compares what callers were told with what targets have run.
func (s *relaySoak) check(seed uint64) {
	served, refused := 0, 0
	for _, a := range s.answers {
		runs := s.fleet.Runs(a.id)
		if a.isWhole {
			served++
		}
		if a.status == http.StatusServiceUnavailable {
			refused++
			if len(runs) > 0 {
				s.t.Errorf("%s %s was refused as not run, and ran", a.id, a.path)
			}
		}
		if a.path == "/post/1" && len(runs) > 1 {
			s.t.Errorf("%s ran %d times", a.id, len(runs))
		}
		for _, r := range runs {
			s.checkRun(a, r)
		}
	}
	s.checkOrders()
	s.t.Logf("seed %d: %d requests, %d whole, %d refused", seed, len(s.answers), served, refused)
}

func (s *relaySoak) checkRun(a soakAnswer, r targetfaker.Run) {
	if at, ok := s.revoked[a.key]; ok && a.sentAt.After(at.Add(relayRevocation)) {
		s.t.Errorf("%s ran under a key that was taken away %v before", a.id, a.sentAt.Sub(at))
	}
	if r.Key != "" || r.Account != "studio" {
		s.t.Errorf("%s was passed on with key %q for account %q", a.id, r.Key, r.Account)
	}
	if !strings.HasPrefix(a.path, "/draft/") {
		return
	}
	if fault := targetfaker.PathFault(r.Path, storefaker.Layers); fault != "" {
		s.t.Errorf("%s ran on %s: %s", a.id, r.Path, fault)
	}
}

// checkOrders checks that no target took an order of a lower fencing number after a higher
// one, or one for more layers than it has memory for.
func (s *relaySoak) checkOrders() {
	highest := map[string]int64{}
	for _, o := range s.fleet.Orders() {
		if o.Fence < highest[o.Target] {
			s.t.Errorf("%s took an order under %d after %d", o.Target, o.Fence, highest[o.Target])
		}
		highest[o.Target] = o.Fence
		if o.To-o.From > storefaker.MostLayers {
			s.t.Errorf("%s was ordered to hold %d to %d, more than its memory", o.Target, o.From, o.To)
		}
	}
}
