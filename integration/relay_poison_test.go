package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	// A poison request may be handed to targets maxLatePoison times later than poisonLimit after its third crash.
	poisonLimit   = 3 * time.Second
	maxLatePoison = 3
	// minServed is the share of the other requests that must be served in spite of the faults.
	minServed = 0.4

	poisonInterval = 250 * time.Millisecond
	poisonDuration = 12 * time.Second
)

// poisonRun sends a poison request to the nodes in turn, and ordinary ones beside it.
type poisonRun struct {
	*relaySoak
	path   string
	served int
}

func newPoisonRun(t *testing.T, path string) *poisonRun {
	t.Helper()
	return &poisonRun{relaySoak: newRelaySoak(t, 1), path: path}
}

func (s *poisonRun) node(i int) *launcher.Relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i%len(s.nodes)]
}

func (s *poisonRun) sendPoison(id string, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c := callerfaker.Caller{Address: s.node(n).Address, Key: "key-0"}
	if status, _, err := c.Send(ctx, http.MethodPost, s.path, id); err == nil && status == http.StatusOK {
		s.t.Errorf("%s was answered with 200", id)
	}
}

// play sends requests for the duration of the run, and calls disturb at half of it.
func (s *poisonRun) play(disturb func()) {
	s.until = time.Now().Add(poisonDuration)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; time.Now().Before(s.until); n++ {
			wg.Go(func() { s.sendPoison(fmt.Sprintf("poison-%d", n), n) })
			time.Sleep(poisonInterval)
		}
	})
	for i := range relaySoakCallers / 2 {
		wg.Go(func() { s.sendRequests(i, rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	wg.Go(func() {
		time.Sleep(poisonDuration / 2)
		disturb()
	})
	wg.Wait()
	s.countServed()
}

func (s *poisonRun) countServed() {
	for _, a := range s.results {
		if a.isComplete {
			s.served++
		}
	}
}

// checkLimit checks how often targets got the poison request after the limit, and that others were served.
func (s *poisonRun) checkLimit() {
	crashes := s.fleet.Crashes()
	s.Assert(len(crashes) >= 3, qt.IsTrue, qt.Commentf("%d crashes", len(crashes)))
	late, sends := 0, 0
	for _, a := range s.fleet.Attempts("") {
		if len(a.Request) < 6 || a.Request[:6] != "poison" {
			continue
		}
		sends++
		if a.StartedAt.After(crashes[2].At.Add(poisonLimit)) {
			late++
		}
	}
	s.t.Logf("%s: %d sends, %d of them late, %d crashes, %d of %d other requests complete", s.path, sends, late, len(crashes), s.served, len(s.results))
	s.Assert(late <= maxLatePoison, qt.IsTrue, qt.Commentf("%d late sends of %d", late, sends))
	s.Assert(float64(s.served) >= minServed*float64(len(s.results)), qt.IsTrue, qt.Commentf("%d of %d", s.served, len(s.results)))
}

// TestPoisonIsRefusedByAllNodes guards against a poison request that goes on crashing targets, as a stream after its
// first event and as a plain request, while one node restarts and while the store refuses calls.
func TestPoisonIsRefusedByAllNodes(t *testing.T) {
	for _, path := range []string{"/draft/poison", "/post/poison", "/view/poison"} {
		t.Run(path, func(t *testing.T) {
			s := newPoisonRun(t, path)
			s.play(func() {
				s.node(1).Kill()
				s.restart(1)
				time.Sleep(time.Second)
				s.store.SetFault(storefaker.Busy)
				time.Sleep(2 * time.Second)
				s.store.SetFault(storefaker.None)
			})
			s.checkLimit()
		})
	}
}

// TestPoisonIsRefusedAfterRestartOfAllNodes guards against a poison request that is run again because all nodes
// have restarted and forgotten it.
func TestPoisonIsRefusedAfterRestartOfAllNodes(t *testing.T) {
	s := newPoisonRun(t, "/post"+targetfaker.PoisonSuffix)
	s.play(func() {
		for i := range s.nodes {
			s.node(i).Kill()
		}
		for i := range s.nodes {
			s.restart(i)
		}
	})
	s.checkLimit()
}
