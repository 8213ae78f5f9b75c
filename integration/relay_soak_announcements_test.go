package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/targetfaker"
)

// soakPoisonComings is how often a poison request comes in the soak, each time with another query.
const soakPoisonComings = 4

// saidLeaving is a target that says from some time on that it is leaving.
type saidLeaving struct {
	target string
	from   time.Time
}

// refusal is a span of time in which a target refuses all requests with a Retry-After.
type refusal struct {
	target   string
	from, to time.Time
}

// sayLeaving makes a target of a data centre say in its answers that it is leaving, and adds another one. Its entry is drained
// some time later.
func (s *relaySoak) sayLeaving(n int, dc string) {
	id := s.fleet.Any(dc, "drafting", s.rng.IntN(3))
	if id == "" || slices.ContainsFunc(s.leaving, func(l saidLeaving) bool { return l.target == id }) {
		return
	}
	s.addDrafter(fmt.Sprintf("draft-%s-%d", dc, n), dc)
	s.fleet.SetLeaving(id, true)
	s.mu.Lock()
	s.leaving = append(s.leaving, saidLeaving{target: id, from: time.Now()})
	s.mu.Unlock()
	time.AfterFunc(time.Duration(s.rng.IntN(8000))*time.Millisecond, func() {
		// A target that has been removed meanwhile has no entry any more.
		_ = s.store.PutTarget(id, nil)
	})
}

// refuse makes a target of a data centre refuse all requests for a while.
func (s *relaySoak) refuse(dc string) {
	service := []string{"drafting", "ledger"}[s.rng.IntN(2)]
	id := s.fleet.Any(dc, service, s.rng.IntN(3))
	if id == "" {
		return
	}
	now := time.Now()
	until := now.Add(time.Duration(500+s.rng.IntN(3500)) * time.Millisecond)
	s.fleet.RefuseUntil(id, until)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = append(s.refusals, refusal{target: id, from: now, to: until})
}

// sendSoakPoison lets a poison request come a few times, with another query each time, at any node.
func (s *relaySoak) sendSoakPoison(n int) {
	s.mu.Lock()
	name := fmt.Sprintf("poison-%d", len(s.poison))
	s.poison = append(s.poison, name)
	key := s.keys[len(s.keys)-1]
	s.mu.Unlock()
	for coming := range soakPoisonComings {
		s.mu.Lock()
		c := callerfaker.Caller{Address: s.nodes[(n+coming)%len(s.nodes)].Address, Key: key}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		path := fmt.Sprintf("/view/%d%s?coming=%d", n, targetfaker.PoisonSuffix, coming)
		// What the caller gets is not checked: it is whatever the state of the nodes allows.
		_, _, _ = c.Send(ctx, http.MethodGet, path, fmt.Sprintf("%s-%d", name, coming))
		cancel()
		time.Sleep(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
}

// checkPoison checks that no poison request reached targets more often than its comings allow after its third crash.
func (s *relaySoak) checkPoison() {
	for _, name := range s.poison {
		var starts []time.Time
		for _, a := range s.fleet.Attempts("") {
			if strings.HasPrefix(a.Request, name+"-") {
				starts = append(starts, a.StartedAt)
			}
		}
		late := 0
		for i, at := range starts {
			if i >= 3 && at.After(starts[2].Add(eventInterval+poisonLimit)) {
				late++
			}
		}
		if late > maxLatePoison {
			s.t.Errorf("%s reached targets %d times more than %v after its third crash", name, late, poisonLimit)
		}
	}
}

// checkAnnouncements checks that targets got no requests that they had said not to want.
func (s *relaySoak) checkAnnouncements() {
	requests := map[string]soakResult{}
	for _, r := range s.results {
		requests[r.id] = r
	}
	for _, l := range s.leaving {
		s.checkLeaving(l, requests)
	}
	for _, r := range s.refusals {
		s.checkRefusal(r, requests)
	}
}

// checkLeaving checks that no request reaches a target later than drainLimit after its node has got an answer that says that the
// target is leaving. A pause or a restart of the node since then excuses it.
func (s *relaySoak) checkLeaving(l saidLeaving, requests map[string]soakResult) {
	knownAt := map[int]time.Time{}
	for _, a := range s.fleet.Arrivals(l.target) {
		r, ok := requests[a.Request]
		switch {
		case !ok || a.At.Before(l.from):
		case s.isExcused(r.node, a):
			delete(knownAt, r.node)
		case knownAt[r.node].IsZero():
			if a.IsAnswered {
				knownAt[r.node] = a.At.Add(limitKnown)
			}
		case r.sentAt.After(knownAt[r.node].Add(drainLimit)) && !s.isExcusedSince(r.node, knownAt[r.node]):
			s.t.Errorf("%s of node %d reached %s %v after the node was told that it is leaving", a.Request, r.node, l.target, a.At.Sub(knownAt[r.node]))
		}
	}
}

// checkRefusal checks that no node sends more than refusalSlack requests to a target between refusalGrace after a refusal and the end
// of its Retry-After.
func (s *relaySoak) checkRefusal(f refusal, requests map[string]soakResult) {
	refusedAt, sent := map[int]time.Time{}, map[int]int{}
	for _, a := range s.fleet.Arrivals(f.target) {
		r, ok := requests[a.Request]
		switch {
		case !ok || a.At.Before(f.from) || a.At.After(f.to):
		case s.isExcused(r.node, a) || s.isExcusedSince(r.node, refusedAt[r.node]):
			delete(refusedAt, r.node)
		case refusedAt[r.node].IsZero():
			refusedAt[r.node] = a.At
		case a.At.After(refusedAt[r.node].Add(refusalGrace)):
			sent[r.node]++
		}
	}
	for node, n := range sent {
		if n > refusalSlack {
			s.t.Errorf("%s got %d requests of node %d while it refused them with a Retry-After", f.target, n, node)
		}
	}
}

// isExcusedSince reports whether a node was paused or restarted since some time.
func (s *relaySoak) isExcusedSince(node int, since time.Time) bool {
	return !since.IsZero() && slices.ContainsFunc(s.excused[node], func(at time.Time) bool { return at.After(since) })
}
