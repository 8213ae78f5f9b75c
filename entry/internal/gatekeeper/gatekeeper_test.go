package gatekeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/gatekeeper"
	"fuchsiabridge.example/entry/internal/isolator"
)

var start = time.Unix(1000, 0)

func newRequest() drafter.Request {
	return drafter.Request{Call: 1, Account: "dakar/studio", Fingerprint: "f", Deadline: start.Add(time.Second)}
}

// admitted reports whether a request was forwarded to admission, and otherwise the end it got.
func admitted(effects []messenger.Effect) (bool, drafter.End) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case messenger.Raise:
			_, ok := e.Event.(admitter.Requested)
			return ok, drafter.End{}
		case messenger.Reply:
			return false, e.Answer.(drafter.End)
		}
	}
	return false, drafter.End{}
}

// TestConfirmedPoisonIsRefused checks that a request that is confirmed poison is refused, whether
// it was held before or not.
func TestConfirmedPoisonIsRefused(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper()
	ok, _ := admitted(g.Apply(start, gatekeeper.Requested{Request: newRequest()}))
	c.Assert(ok, qt.IsTrue)
	g.Apply(start, isolator.PoisonCandidates{Fingerprints: []string{"dakar/studio/f"}})
	ok, end := admitted(g.Apply(start, gatekeeper.Requested{Request: newRequest()}))
	c.Assert(ok, qt.IsFalse)
	c.Assert(end.Outcome, qt.Equals, responder.Outcome(""))
	ok, end = admitted(g.Apply(start, isolator.PoisonConfirmed{Fingerprints: []string{"dakar/studio/f"}}))
	c.Assert(ok, qt.IsFalse)
	c.Assert(end.Outcome, qt.Equals, responder.Refused)
	_, end = admitted(g.Apply(start, gatekeeper.Requested{Request: newRequest()}))
	c.Assert(end.Outcome, qt.Equals, responder.Refused)
}

// TestHeldRequestIsReleasedWhenCleared checks that a poison candidate is held until it is cleared,
// at most until its deadline.
func TestHeldRequestIsReleasedWhenCleared(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper()
	candidates := isolator.PoisonCandidates{Fingerprints: []string{"dakar/studio/f"}}
	g.Apply(start, candidates)
	g.Apply(start, gatekeeper.Requested{Request: newRequest()})
	ok, _ := admitted(g.Apply(start, isolator.PoisonCandidates{}))
	c.Assert(ok, qt.IsTrue)
	g.Apply(start, candidates)
	g.Apply(start, gatekeeper.Requested{Request: newRequest()})
	_, end := admitted(g.Apply(start.Add(time.Second), messenger.Tick{}))
	c.Assert(end.Outcome, qt.Equals, responder.NotRun)
	c.Assert(end.RetryAfter > 0, qt.IsTrue)
}
