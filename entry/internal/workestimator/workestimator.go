// Package workestimator estimates the work of a request for a model engine: how many tokens of answer its prompt will have, and what
// memory both hold.
package workestimator

import (
	"math"

	"fuchsiabridge.example/common/identifier"
)

const (
	// maxClaim limits what a caller can claim.
	maxClaim Tokens = 1_000_000
	// maxRoutes limits the routes for which something is learned.
	maxRoutes = 2048
	// newestWeight is the weight of the newest answer in the averages of a route.
	newestWeight = 0.05
	// minRatio and maxRatio bound the learned ratio of an answer to its hint.
	minRatio = 0.1
	maxRatio = 10.0
	// minSamples is the number of answers from which on a route's averages are used.
	minSamples = 8
	// maxHintFactor bounds an estimate by the mean answer of the route: callers that always claim the most change little.
	maxHintFactor = 4.0
)

// Tokens is a number of tokens.
type Tokens int64

// Size is what a request says of itself. Zero means that it does not say.
type Size struct {
	Prompt    Tokens
	MaxAnswer Tokens
	// Hint is the caller's estimate of the answer.
	Hint Tokens
}

// Clamp returns the size with its claims limited. Claims below zero count as absent.
func (s Size) Clamp() Size {
	limit := func(n Tokens) Tokens { return min(maxClaim, max(0, n)) }
	return Size{Prompt: limit(s.Prompt), MaxAnswer: limit(s.MaxAnswer), Hint: limit(s.Hint)}
}

// Work is the estimated work of a request.
type Work struct {
	Prompt Tokens
	Answer Tokens
}

// Memory returns the number of tokens that are held when the request ends.
func (w Work) Memory() Tokens { return w.Prompt + w.Answer }

// Typical is the work of a typical request of a service.
type Typical struct {
	Prompt Tokens
	Answer Tokens
}

// averages are those of the answers of one route.
type averages struct {
	samples int
	// answer is the mean answer in tokens, logRatio the mean logarithm of answer by hint.
	answer   float64
	logRatio float64
	hinted   int
}

// Estimator learns how long the answers of each route are, and how far hints are off.
type Estimator struct {
	routes map[identifier.RouteID]*averages
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator { return &Estimator{routes: map[identifier.RouteID]*averages{}} }

// Estimate returns the work of a request. What the request and its route leave open is that of a typical request.
func (e *Estimator) Estimate(route identifier.RouteID, s Size, typical Typical) Work {
	s = s.Clamp()
	w := Work{Prompt: s.Prompt, Answer: typical.Answer}
	if s.Prompt == 0 {
		w.Prompt = typical.Prompt
	}
	a, ok := e.routes[route]
	hasLearned := ok && a.samples >= minSamples
	mean := float64(typical.Answer)
	if hasLearned {
		mean = a.answer
		w.Answer = Tokens(mean)
	}
	if s.Hint > 0 {
		ratio := 1.0
		if hasLearned && a.hinted >= minSamples {
			ratio = min(maxRatio, max(minRatio, math.Exp(a.logRatio)))
		}
		hinted := ratio * float64(s.Hint)
		if mean > 0 {
			hinted = min(maxHintFactor*mean, max(mean/maxHintFactor, hinted))
		}
		w.Answer = Tokens(hinted)
	}
	if s.MaxAnswer > 0 {
		w.Answer = min(w.Answer, s.MaxAnswer)
	}
	return w
}

// Observe learns from a complete answer.
func (e *Estimator) Observe(route identifier.RouteID, s Size, answered Tokens) {
	if answered <= 0 {
		return
	}
	a, ok := e.routes[route]
	if !ok {
		if len(e.routes) >= maxRoutes {
			e.dropAny()
		}
		a = &averages{}
		e.routes[route] = a
	}
	a.samples++
	// The first answers count the same each.
	weight := max(newestWeight, 1/float64(a.samples))
	a.answer += weight * (float64(answered) - a.answer)
	if s = s.Clamp(); s.Hint > 0 {
		a.hinted++
		weight = max(newestWeight, 1/float64(a.hinted))
		a.logRatio += weight * (math.Log(float64(answered)/float64(s.Hint)) - a.logRatio)
	}
}

// dropAny forgets one of the routes. A route with requests is learned again soon.
func (e *Estimator) dropAny() {
	for id := range e.routes {
		delete(e.routes, id)
		return
	}
}

// RouteCount returns the number of routes for which something was learned.
func (e *Estimator) RouteCount() int { return len(e.routes) }
