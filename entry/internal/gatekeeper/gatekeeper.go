// Package gatekeeper stands before admission: it refuses requests that crash targets
// and holds those whose like is on trial.
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
	retryAfter = time.Second
	// heldLimit bounds the requests that are held.
	heldLimit = 1000
)

// Requested is a request for a draft that has come to the node.
type Requested struct{ Arrived drafter.Arrived }

// Gatekeeper is the sub-reducer before admission.
type Gatekeeper struct {
	suspected map[string]bool
	convicted map[string]bool
	held      []drafter.Arrived
}

// NewGatekeeper returns a gatekeeper that lets every request pass.
func NewGatekeeper() *Gatekeeper { return &Gatekeeper{} }

// Apply takes one event and returns what to do.
func (g *Gatekeeper) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return g.requested(ev.Arrived)
	case isolator.PoisonCandidates:
		g.suspected = setOf(ev.Fingerprints)
		return g.again()
	case isolator.PoisonConfirmed:
		g.convicted = setOf(ev.Fingerprints)
		return g.again()
	case messenger.Tick:
		return g.expire(now)
	}
	return nil
}

func (g *Gatekeeper) requested(a drafter.Arrived) []messenger.Effect {
	f := fingerprint(a)
	switch {
	case g.convicted[f]:
		return end(a, responder.Refused, "crashes_targets", "the request crashes the targets that run it", 0)
	case !g.suspected[f]:
		return []messenger.Effect{messenger.Raise{Event: admitter.Requested{Arrived: a}}}
	case len(g.held) >= heldLimit:
		return end(a, responder.NotRun, "suspected", "a request like it is suspected of crashing a target", retryAfter)
	}
	g.held = append(g.held, a)
	return []messenger.Effect{messenger.Log{Event: eventlogger.RequestHeld, Subject: "request/" + string(a.Draft), Values: []any{"held", len(g.held)}}}
}

// again decides the held requests anew.
func (g *Gatekeeper) again() []messenger.Effect {
	var effects []messenger.Effect
	held := g.held
	g.held = nil
	for _, a := range held {
		if f := fingerprint(a); g.suspected[f] && !g.convicted[f] {
			g.held = append(g.held, a)
			continue
		}
		effects = append(effects, g.requested(a)...)
	}
	return effects
}

func (g *Gatekeeper) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	var rest []drafter.Arrived
	for _, a := range g.held {
		if a.Deadline.After(now) {
			rest = append(rest, a)
			continue
		}
		effects = append(effects, end(a, responder.NotRun, "suspected", "a request like it is suspected of crashing a target", retryAfter)...)
	}
	g.held = rest
	return effects
}

// fingerprint is the one that the draft's shard gives the isolator.
func fingerprint(a drafter.Arrived) string { return string(a.Account) + "/" + a.Fingerprint }

func end(a drafter.Arrived, outcome responder.Outcome, code, message string, after time.Duration) []messenger.Effect {
	p := responder.Problem{Code: code, Message: message, Place: "body"}
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.DraftEnded, Subject: "request/" + string(a.Draft), Values: []any{"outcome", outcome, "tokens", 0, "reason", code},
		},
		messenger.Reply{Call: a.Call, Answer: drafter.End{Outcome: outcome, Problem: p, RetryAfter: after}},
	}
}

func setOf(fingerprints []string) map[string]bool {
	set := make(map[string]bool, len(fingerprints))
	for _, f := range fingerprints {
		set[f] = true
	}
	return set
}
