// Package admitter decides which requests for drafts begin, and counts those in progress.
package admitter

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/drafter"
)

const retryAfter = time.Second

// Requested is a request for a draft that has not been admitted.
type Requested struct{ Arrived drafter.Arrived }

// Begin is the effect of handing an admitted request to its draft's shard.
type Begin struct{ Arrived drafter.Arrived }

// Admitter is the sub-reducer of admission.
type Admitter struct {
	limit int
	open  map[identifier.DraftID]bool
}

// NewAdmitter returns an admitter that lets at most limit drafts run at this node.
func NewAdmitter(limit int) *Admitter {
	return &Admitter{limit: limit, open: map[identifier.DraftID]bool{}}
}

// Apply takes one event and returns what to do.
func (a *Admitter) Apply(_ time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return a.requested(ev.Arrived)
	case drafter.Ended:
		delete(a.open, ev.Draft)
	}
	return nil
}

func (a *Admitter) requested(ev drafter.Arrived) []messenger.Effect {
	if len(a.open) >= a.limit && !a.open[ev.Draft] {
		p := responder.Problem{Code: "busy", Message: "the node runs as many drafts as it may", Place: "admission"}
		end := drafter.End{Outcome: responder.NotRun, Problem: p, RetryAfter: retryAfter}
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: end}}
	}
	a.open[ev.Draft] = true
	return []messenger.Effect{Begin{Arrived: ev}}
}
