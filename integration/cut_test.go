package integration_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

const (
	// cutDraftTokens is the length of the drafts that are sent during a cut.
	cutDraftTokens = 6
	// cutTimeout is how long callers wait during a cut.
	cutTimeout = 2 * time.Second
)

// cutCall is one draft, payment or lookup during a cut, and how it ended.
type cutCall struct {
	name    string
	node    int
	sentAt  time.Time
	outcome responder.Outcome
	// isWrong says that the call was delivered with another answer than its targets have given.
	isWrong bool
}

// cutRun sends drafts, payments and lookups to nodes of which the first one is cut off from all engines and services.
type cutRun struct {
	*qt.C
	f       *launcher.Fleet
	control string

	mu    sync.Mutex
	calls []cutCall
}

func newCutRun(t *testing.T) *cutRun {
	t.Helper()
	f := newEngineFleet(t, layerMicros)
	f.AddService("ledger", "ledger-1")
	f.AddService("ledger", "ledger-2")
	f.AddService("catalogue", "catalogue-1")
	_, control := f.AddCuttableNode("node-1")
	f.AddNode("node-2", "")
	f.AddNode("node-3", "")
	f.Configure(draftLayers)
	awaitPayments(t, f)
	return &cutRun{C: qt.New(t), f: f, control: control}
}

// load sends calls to all nodes until the given time, and waits until they have ended.
func (s *cutRun) load(until time.Time) {
	var wg sync.WaitGroup
	for i := range s.f.Nodes {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				wg.Go(func() { s.call(i, n) })
				time.Sleep(cutSendInterval)
			}
		})
	}
	wg.Wait()
}

// call makes the n-th call to a node, and records how it ended.
func (s *cutRun) call(node, n int) {
	r := cutCall{name: fmt.Sprintf("cut-%d-%d", node, n), node: node, sentAt: time.Now()}
	switch n % 3 {
	case 0:
		r.outcome, r.isWrong = s.draft(node, r.name)
	case 1:
		r.outcome = pay(s.f.Nodes[node], r.name, cutTimeout).Outcome
	default:
		r.outcome = callService(s.f.Nodes[node], "GET", "catalogue", "/titles", "", cutTimeout).Outcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, r)
}

// draft streams a draft, and reports whether it ended as complete with other tokens than the model's.
func (s *cutRun) draft(node int, id string) (outcome responder.Outcome, isWrong bool) {
	d := newDraft(s.f, id, "a quote for "+id)
	d.Node, d.MaxTokens, d.Deadline = s.f.Nodes[node].Address, cutDraftTokens, time.Now().Add(cutTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), d.Deadline.Add(cutTimeout))
	defer cancel()
	caller := requester.NewRequester()
	defer caller.Close()
	result, err := caller.Stream(ctx, d, nil)
	if err != nil || !result.IsComplete {
		return responder.Failed, false
	}
	return result.Outcome, !slices.Equal(result.Tokens, expectedTokens(d))
}

// share returns which part of the calls that isCounted selects was delivered.
func (s *cutRun) share(isCounted func(cutCall) bool) float64 {
	delivered, sent := 0, 0
	for _, r := range s.calls {
		if !isCounted(r) {
			continue
		}
		sent++
		if r.outcome == responder.Delivered {
			delivered++
		}
	}
	return float64(delivered) / float64(max(1, sent))
}

// checkPromises checks that answers are those of the targets, and that payments have run at most once, and as their callers were told.
func (s *cutRun) checkPromises() {
	runs := executions(s.f)
	for _, r := range s.calls {
		s.Check(r.isWrong, qt.IsFalse, qt.Commentf("%s was delivered with other tokens", r.name))
		s.Check(runs[r.name] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.name, runs[r.name]))
		if r.outcome == responder.NotRun {
			s.Check(runs[r.name], qt.Equals, 0, qt.Commentf("%s was said not to have run", r.name))
		}
	}
}

// TestNodeCutOffFromEnginesServesItsCallers guards against drafts and calls of the product's own interface that fail at a node that
// does not reach its engines and services, while other nodes do.
func TestNodeCutOffFromEnginesServesItsCallers(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"hang", "reset", "refuse"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s := newCutRun(t)
			began := time.Now()
			s.f.SetCutAt(s.control, launcher.Cut{Kind: kind})
			s.load(began.Add(cutDuration))
			isLate := func(r cutCall) bool { return r.sentAt.Sub(began) >= cutDetection }
			there := s.share(func(r cutCall) bool { return isLate(r) && r.node == 0 })
			elsewhere := s.share(func(r cutCall) bool { return isLate(r) && r.node > 0 })
			t.Logf("delivered %.3f of the calls to the node that is cut off, %.3f of those to the others", there, elsewhere)
			s.Check(there >= minCutShare*elsewhere, qt.IsTrue)
			s.Check(elsewhere, qt.Equals, 1.0)
			s.checkPromises()
			s.f.SetCutAt(s.control, launcher.Cut{})
			launcher.Await(t, cutDetection, "the node serves its callers directly again", func() bool {
				got, _ := s.draft(0, fmt.Sprintf("after-%d", time.Now().UnixNano()))
				return got == responder.Delivered && pay(s.f.Nodes[0], fmt.Sprintf("after-%d", time.Now().UnixNano()), cutTimeout).Outcome == responder.Delivered
			})
		})
	}
}
