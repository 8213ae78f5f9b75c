// Package gatekeeper runs ahead of admission: it refuses requests that are confirmed poison (they
// crash the targets that run them) and holds requests that are poison candidates.
package gatekeeper

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/isolator"
)

const (
	// retryAfter is the delay after which a caller may retry a request that was not run.
	retryAfter = time.Second
	// maxHeld limits the requests that are held.
	maxHeld = 1000
)

// Requested is a request for a draft that has arrived at the node.
type Requested struct{ Request drafter.Request }

// Gatekeeper is the reducer that filters requests before admission.
type Gatekeeper struct {
	candidates map[string]bool
	confirmed  map[string]bool
	held       []drafter.Request
}

// NewGatekeeper returns a Gatekeeper that forwards every request.
func NewGatekeeper() *Gatekeeper { return &Gatekeeper{} }

// Apply applies one event and returns the effects to run.
func (g *Gatekeeper) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return g.handleRequested(ev.Request)
	case isolator.PoisonCandidates:
		g.candidates = toSet(ev.Fingerprints)
		return g.recheckHeld()
	case isolator.PoisonConfirmed:
		g.confirmed = toSet(ev.Fingerprints)
		return g.recheckHeld()
	case messenger.Tick:
		return g.expire(now)
	}
	return nil
}

func (g *Gatekeeper) handleRequested(r drafter.Request) []messenger.Effect {
	f := r.IsolationKey()
	switch {
	case g.confirmed[f]:
		return endDraft(r, responder.Refused, "crashes_targets", "the request crashes the targets that run it", 0)
	case !g.candidates[f]:
		return []messenger.Effect{messenger.Raise{Event: admitter.Requested{Request: r}}}
	case len(g.held) >= maxHeld:
		return endDraft(r, responder.NotRun, "suspected", "a request with the same body is suspected of crashing targets", retryAfter)
	}
	g.held = append(g.held, r)
	return []messenger.Effect{messenger.Log{Event: eventlogger.RequestHeld, Subject: "request/" + string(r.Draft), Values: []any{"held", len(g.held)}}}
}

// recheckHeld decides the held requests again.
func (g *Gatekeeper) recheckHeld() []messenger.Effect {
	var effects []messenger.Effect
	held := g.held
	g.held = nil
	for _, r := range held {
		if f := r.IsolationKey(); g.candidates[f] && !g.confirmed[f] {
			g.held = append(g.held, r)
			continue
		}
		effects = append(effects, g.handleRequested(r)...)
	}
	return effects
}

func (g *Gatekeeper) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	var rest []drafter.Request
	for _, r := range g.held {
		if r.Deadline.After(now) {
			rest = append(rest, r)
			continue
		}
		effects = append(effects, endDraft(r, responder.NotRun, "suspected", "a request with the same body is suspected of crashing targets", retryAfter)...)
	}
	g.held = rest
	return effects
}

func endDraft(r drafter.Request, outcome responder.Outcome, code, message string, after time.Duration) []messenger.Effect {
	p := responder.Problem{Code: code, Message: message, Place: "body"}
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.DraftEnded, Subject: "request/" + string(r.Draft), Values: []any{"outcome", outcome, "tokens", 0, "reason", code},
		},
		messenger.Reply{Call: r.Call, Answer: drafter.End{Outcome: outcome, Problem: p, RetryAfter: after}},
	}
}

func toSet(fingerprints []string) map[string]bool {
	set := make(map[string]bool, len(fingerprints))
	for _, f := range fingerprints {
		set[f] = true
	}
	return set
}
