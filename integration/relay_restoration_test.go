package integration_test

import (
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
)

const (
	// changeLimit is the time within which an accepted configuration must be in force at all nodes.
	changeLimit = 2 * time.Second
	// restorationDuration is the length of a run, and restorationInterval the time between two restorations.
	restorationDuration = 14 * time.Second
	restorationInterval = 4 * time.Second
	// lostTime is how old the copy is from which the store is restored, and storeAway how long it is away.
	lostTime  = time.Second
	storeAway = 300 * time.Millisecond
	// rewriteDelay is the time after the store's return until the operator has written the newest configuration again.
	rewriteDelay = 200 * time.Millisecond
)

// restorationRun restores the store from older copies while configurations change, and asks each node for what the
// newest one allows.
type restorationRun struct {
	*relaySoak
	refused []string
}

// publishNext publishes a further version.
func (s *restorationRun) publishNext() {
	s.mu.Lock()
	key := fmt.Sprintf("key-of-%d", s.version+1)
	s.mu.Unlock()
	s.publishConfiguration(key)
}

// regrowStore publishes two versions of which a copy of the store knows nothing, lets the store return from that copy,
// and publishes the newest version again and a further one, so that the topic ends where it did before.
func (s *restorationRun) regrowStore() {
	s.store.BackUp()
	for range 2 {
		s.publishNext()
		time.Sleep(lostTime / 2)
	}
	s.store.SetFault(storefaker.Busy)
	time.Sleep(storeAway)
	s.store.Restore()
	s.store.SetFault(storefaker.None)
	time.Sleep(rewriteDelay)
	s.mu.Lock()
	s.writeConfiguration()
	s.mu.Unlock()
	s.publishNext()
}

// newestCaller returns a caller of a node with the key that the newest version brought, and when that version was published.
func (s *restorationRun) newestCaller(node int) (callerfaker.Caller, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := s.keys[len(s.keys)-1]
	return callerfaker.Caller{Address: s.nodes[node].Address, Key: key}, s.published[key]
}

// probe asks a node for what the newest version allows whenever it must be in force, until the run ends.
func (s *restorationRun) probe(node int) {
	for n := 0; time.Now().Before(s.until); n++ {
		time.Sleep(viewInterval)
		sent := time.Now()
		caller, published := s.newestCaller(node)
		if sent.Before(published.Add(changeLimit)) {
			continue
		}
		id := fmt.Sprintf("probe-%d-%d", node, n)
		status, _, err := caller.Send(s.t.Context(), http.MethodGet, "/view/x", id)
		if err == nil && status == http.StatusUnauthorized {
			s.noteRefusal(fmt.Sprintf("node %d refused %s, published %v before", node, caller.Key, sent.Sub(published).Round(time.Millisecond)))
		}
	}
}

func (s *restorationRun) noteRefusal(refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, refusal)
}

// TestVersionAfterRestorationIsInForce guards against a configuration that nodes never read because the store was
// restored from a copy and has grown again to the offset from which they go on reading; nodes restart meanwhile.
func TestVersionAfterRestorationIsInForce(t *testing.T) {
	t.Parallel()
	s := &restorationRun{relaySoak: newRelaySoak(t, 1)}
	s.publishNext()
	time.Sleep(changeLimit)
	s.until = time.Now().Add(restorationDuration)
	var wg sync.WaitGroup
	for node := range relaySoakNodes {
		wg.Go(func() { s.probe(node) })
	}
	for i := range relaySoakCallers {
		wg.Go(func() { s.sendRequests(i, rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	for n := 0; time.Now().Add(restorationInterval).Before(s.until); n++ {
		s.regrowStore()
		if n == 1 {
			s.nodes[0].Kill()
			s.restart(0)
		}
		time.Sleep(restorationInterval - lostTime - storeAway - rewriteDelay)
	}
	wg.Wait()
	for _, refusal := range s.refused[:min(3, len(s.refused))] {
		s.t.Log(refusal)
	}
	s.Assert(len(s.refused), qt.Equals, 0, qt.Commentf("requests refused that the newest configuration allows"))
	s.checkServed()
}

// checkServed checks that nodes serve after the last restoration.
func (s *restorationRun) checkServed() {
	for i := range s.nodes {
		caller, _ := s.newestCaller(i)
		launcher.Await(s.t, relayStartTimeout, fmt.Sprintf("node %d serves", i), func() bool {
			status, _, err := caller.Send(s.t.Context(), http.MethodGet, "/view/x", fmt.Sprintf("last-%d", i))
			return err == nil && status == http.StatusOK
		})
	}
}
