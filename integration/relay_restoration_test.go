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
	// published holds when the store accepted each version; version n allows the key of n and of n-1.
	published []time.Time
	refused   []string
}

func keyOfVersion(n int) string { return fmt.Sprintf("key-of-%d", n) }

func (s *restorationRun) publish(n int) {
	s.Assert(s.store.PutConfiguration(storefaker.Sample(n, keyOfVersion(n), keyOfVersion(n-1))), qt.IsNil)
}

// publishNext publishes a further version.
func (s *restorationRun) publishNext() {
	s.mu.Lock()
	n := len(s.published)
	s.mu.Unlock()
	s.publish(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = append(s.published, time.Now())
	s.keys = append(s.keys, keyOfVersion(n))
}

// restoreStore publishes two versions of which a copy of the store knows nothing, lets the store return from that copy,
// and publishes the newest version again and a further one, so that the topic ends where it did before.
func (s *restorationRun) restoreStore() {
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
	newest := len(s.published) - 1
	s.mu.Unlock()
	s.publish(newest)
	s.publishNext()
}

// probe asks a node for what the newest version that must be in force allows, until the run ends.
func (s *restorationRun) probe(node int) {
	for n := 0; time.Now().Before(s.until); n++ {
		sent := time.Now()
		s.mu.Lock()
		version := len(s.published) - 1
		for sent.Sub(s.published[version]) < changeLimit && version > 0 {
			version--
		}
		isNewest := version == len(s.published)-1
		caller := callerfaker.Caller{Address: s.nodes[node].Address, Key: keyOfVersion(version)}
		s.mu.Unlock()
		// A version that was replaced meanwhile allows the key only for one version more.
		if !isNewest {
			time.Sleep(viewInterval)
			continue
		}
		id := fmt.Sprintf("probe-%d-%d", node, n)
		status, _, err := caller.Send(s.t.Context(), http.MethodGet, "/view/x", id)
		s.mu.Lock()
		if err == nil && status == http.StatusUnauthorized {
			s.refused = append(s.refused, fmt.Sprintf("node %d refused the key of version %d, published %v before", node, version, sent.Sub(s.published[version]).Round(time.Millisecond)))
		}
		s.mu.Unlock()
		time.Sleep(viewInterval)
	}
}

// TestVersionAfterRestorationIsInForce guards against a configuration that nodes never read because the store was
// restored from a copy and has grown again to the offset from which they go on reading; nodes restart meanwhile.
func TestVersionAfterRestorationIsInForce(t *testing.T) {
	t.Parallel()
	s := &restorationRun{relaySoak: newRelaySoak(t, 1)}
	s.published = []time.Time{time.Now(), time.Now()}
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
		s.restoreStore()
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
	newest := keyOfVersion(len(s.published) - 1)
	for i, n := range s.nodes {
		launcher.Await(s.t, relayStartTimeout, fmt.Sprintf("node %d serves", i), func() bool {
			status, _, err := callerfaker.Caller{Address: n.Address, Key: newest}.Send(s.t.Context(), http.MethodGet, "/view/x", fmt.Sprintf("last-%d", i))
			return err == nil && status == http.StatusOK
		})
	}
}
