package shedder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// A target serves the requests with the lowest priority first. One rank is rankStep; ranks below lastRank count as it.
	rankStep = 3
	lastRank = 2
	// longPrompt is the factor on a route's mean prompt from which on a prompt counts as long.
	longPrompt = 2
	// maxRoutes limits the routes for which the mean prompt is known.
	maxRoutes = 2048
)

// Priority is the order in which a target admits requests, from 0 for the most urgent to 9.
type Priority int

// Waiting is a request that is sent to a target, which orders those that wait there.
type Waiting struct {
	Rank Rank
	// IsResumed says that the request may have run before: its caller has waited longest.
	IsResumed bool
	Route     identifier.RouteID
	Prompt    int64
	// Waited is the time since the request's arrival.
	Waited    time.Duration
	Objective time.Duration
}

// ObservePrompt learns the prompts of a route.
func (s *Shedder) ObservePrompt(route identifier.RouteID, tokens int64) {
	mean, ok := s.prompts[route]
	switch {
	case tokens <= 0:
	case ok:
		s.prompts[route] = mean + newestWeight*(float64(tokens)-mean)
	case len(s.prompts) < maxRoutes:
		s.prompts[route] = float64(tokens)
	}
}

// Priority returns the priority of a request: among those of a rank, short prompts come before long ones, and those that have waited
// come earlier.
func (s *Shedder) Priority(w Waiting) Priority {
	if w.IsResumed {
		return 0
	}
	p := rankStep * Priority(min(w.Rank, lastRank))
	mean := s.prompts[w.Route]
	switch tokens := float64(w.Prompt); {
	case mean > 0 && tokens > longPrompt*mean:
		p += 2
	case mean > 0 && tokens > mean:
		p++
	}
	if w.Objective > 0 {
		p -= Priority(min(rankStep*lastRank+longPrompt, w.Waited/time.Duration(waitFraction*float64(w.Objective))))
	}
	return max(0, p)
}
