package integration_test

import (
	"fmt"
	"time"

	"fuchsiabridge.example/platform/targetfaker"
)

// soakLimit is a request limit that a target names, and from when to when.
type soakLimit struct {
	target   string
	rate     float64
	from, to time.Time
}

// changeLimit makes a target of a data centre name a limit, another one, none, or one that cannot be read.
func (s *relaySoak) changeLimit(dc string) {
	service := []string{"drafting", "ledger"}[s.rng.IntN(2)]
	id := s.fleet.Any(dc, service, s.rng.IntN(3))
	if id == "" {
		return
	}
	rate := []float64{0, 0.5, 2, 10}[s.rng.IntN(4)]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.limits {
		if l.target == id && l.to.IsZero() {
			s.limits[i].to = time.Now()
			s.fleet.SetLimit(id, []string{"", "many"}[s.rng.IntN(2)])
			return
		}
	}
	s.fleet.SetLimit(id, fmt.Sprint(rate))
	s.limits = append(s.limits, soakLimit{target: id, rate: rate, from: time.Now()})
}

// endLimits ends all limits.
func (s *relaySoak) endLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.limits {
		s.fleet.SetLimit(l.target, "")
		if l.to.IsZero() {
			s.limits[i].to = time.Now()
		}
	}
}

// excuse notes that a node was paused or restarted until now, which excuses it for a while as the users' page says.
func (s *relaySoak) excuse(node int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excused[node] = append(s.excused[node], time.Now())
}

// checkLimits checks the users' bound on the requests that a target got while it named a limit.
func (s *relaySoak) checkLimits() {
	nodes := map[string]int{}
	for _, a := range s.results {
		nodes[a.id] = a.node
	}
	for _, l := range s.limits {
		arrivals := s.countedArrivals(l, nodes)
		worst := 0
		for i, from := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) < limitWindow {
					n++
				}
			}
			worst = max(worst, n)
		}
		allowed := limitFactor*l.rate*limitWindow.Seconds() + limitSlack
		s.t.Logf("%s named %g a second for %v: at most %d requests in 4 s (%.1f allowed)", l.target, l.rate, l.to.Sub(l.from).Round(time.Millisecond), worst, allowed)
		if float64(worst) > allowed {
			s.t.Errorf("%s got %d requests in 4 s, %.1f allowed", l.target, worst, allowed)
			s.logArrivals(l, nodes)
		}
	}
}

// logArrivals logs what a target got while it named a limit, from which node, and when nodes were disturbed.
func (s *relaySoak) logArrivals(l soakLimit, nodes map[string]int) {
	for _, a := range s.fleet.Arrivals(l.target) {
		if node, isRequest := nodes[a.Request]; !a.At.Before(l.from) && a.At.Before(l.to) {
			s.t.Logf("%s %s: request %q of node %d (%t)", a.At.Format("05.000"), l.target, a.Request, node, isRequest)
		}
	}
	for node, times := range s.excused {
		for _, at := range times {
			s.t.Logf("%s node %d was paused or restarted until then", at.Format("05.000"), node)
		}
	}
}

// countedArrivals returns the arrivals at a target that count: those later than limitGrace after it named its limit, of
// nodes that were not paused or restarted shortly before, and that have passed on an answer that names the limit.
func (s *relaySoak) countedArrivals(l soakLimit, nodes map[string]int) []time.Time {
	var out []time.Time
	knownAt := map[int]time.Time{}
	for _, a := range s.fleet.Arrivals(l.target) {
		node, isRequest := nodes[a.Request]
		switch {
		case a.At.Before(l.from) || a.At.After(l.to):
		case isRequest && s.isExcused(node, a):
			delete(knownAt, node)
		case isRequest && knownAt[node].IsZero():
			if a.IsAnswered {
				knownAt[node] = a.At.Add(limitKnown + eventInterval)
			}
		case a.At.After(l.from.Add(limitGrace)) && a.At.After(knownAt[node]):
			out = append(out, a.At)
		}
	}
	return out
}

func (s *relaySoak) isExcused(node int, a targetfaker.Arrival) bool {
	for _, until := range s.excused[node] {
		// A pause is noted at its end, at most limitGrace after it began.
		if a.At.After(until.Add(-limitGrace)) && a.At.Before(until.Add(limitGrace)) {
			return true
		}
	}
	return false
}
