package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/platform/callerfaker"
)

const (
	// drainLimit is how long after a target's word that it is leaving a node may still send it requests.
	drainLimit = 2 * time.Second
	// firstAnswers is the time in which each node gets an answer of each target.
	firstAnswers = 500 * time.Millisecond
	// A node may send refusalSlack requests to a target between refusalGrace after a refusal and the end of its Retry-After.
	refusalGrace = 500 * time.Millisecond
	refusalSlack = 2
	// maxReuse is the time after the end of its refusals within which a target must get requests again.
	maxReuse = time.Second

	announcementDuration = 7 * time.Second
	viewInterval         = 15 * time.Millisecond
)

// announcementRun sends requests to nodes whose targets say something in their answers.
type announcementRun struct {
	*relaySoak
	refused int
	views   map[string]int
}

func newAnnouncementRun(t *testing.T) *announcementRun {
	t.Helper()
	return &announcementRun{relaySoak: newRelaySoak(t, 1), views: map[string]int{}}
}

// play sends plain requests to all nodes, and the usual mix beside them.
func (s *announcementRun) play() {
	s.until = time.Now().Add(announcementDuration)
	var wg sync.WaitGroup
	for node := range relaySoakNodes {
		wg.Go(func() {
			for n := 0; time.Now().Before(s.until); n++ {
				s.view(node, fmt.Sprintf("view-%d-%d", node, n))
				time.Sleep(viewInterval)
			}
		})
	}
	for i := range relaySoakCallers {
		wg.Go(func() { s.sendRequests(i, rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	wg.Wait()
	for _, a := range s.results {
		s.views[a.id] = a.node
		if a.status == http.StatusServiceUnavailable {
			s.refused++
		}
	}
}

func (s *announcementRun) view(node int, id string) {
	status, _, err := callerfaker.Caller{Address: s.nodes[node].Address, Key: "key-0"}.Send(s.t.Context(), http.MethodGet, "/view/"+id, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views[id] = node
	if err != nil || status != http.StatusOK {
		s.refused++
	}
}

// firstArrivals returns when a target got the first request of each node after some time. The node is told with its answer.
func (s *announcementRun) firstArrivals(target string, after time.Time) map[int]time.Time {
	out := map[int]time.Time{}
	for _, a := range s.fleet.Arrivals(target) {
		node, ok := s.views[a.Request]
		if _, isKnown := out[node]; ok && !isKnown && a.At.After(after) {
			out[node] = a.At
		}
	}
	return out
}

// arrivals counts the requests of each node that a target got in a span of time.
func (s *announcementRun) arrivals(target string, from, to time.Time) []int {
	out := make([]int, relaySoakNodes)
	for _, a := range s.fleet.Arrivals(target) {
		if node, ok := s.views[a.Request]; ok && a.At.After(from) && a.At.Before(to) {
			out[node]++
		}
	}
	return out
}

// TestTargetThatSaysItLeavesGetsNoRequests guards against sending requests to targets that say in their answers that they
// are leaving, while their entries do not: one of a plain service, and one that is first in chains.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := newAnnouncementRun(t)
	first := s.firstOfChains()
	said := time.Now()
	for _, id := range []string{"ledger-a", first} {
		s.fleet.SetLeaving(id, true)
	}
	s.play()
	for _, id := range []string{"ledger-a", first} {
		for node, told := range s.firstArrivals(id, said) {
			s.t.Logf("node %d first used %s %v after its word", node, id, told.Sub(said).Round(time.Millisecond))
			late := s.arrivals(id, told.Add(firstAnswers+drainLimit), s.until)[node]
			s.Check(late, qt.Equals, 0, qt.Commentf("late requests of node %d to %s, which it first used %v after its word", node, id, told.Sub(said)))
		}
	}
	s.Check(s.refused, qt.Equals, 0)
}

// TestRefusalWithRetryAfterIsRespected guards against sending requests to a target that has refused them for a while, and
// against refusing callers while another target is free.
func TestRefusalWithRetryAfterIsRespected(t *testing.T) {
	t.Parallel()
	s := newAnnouncementRun(t)
	began := time.Now()
	until := began.Add(4 * time.Second)
	s.fleet.RefuseUntil("ledger-a", until)
	s.play()
	for node, n := range s.arrivals("ledger-a", began.Add(firstAnswers+refusalGrace), until) {
		s.Check(n <= refusalSlack, qt.IsTrue, qt.Commentf("%d requests of node %d while the target refuses", n, node))
	}
	reused := 0
	for _, n := range s.arrivals("ledger-a", until, until.Add(maxReuse)) {
		reused += n
	}
	s.Check(reused > 0, qt.IsTrue)
	s.Check(s.refused, qt.Equals, 0, qt.Commentf("requests refused while other targets are free"))
}
