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

func arrived() drafter.Arrived {
	return drafter.Arrived{Call: 1, Account: "dakar/studio", Fingerprint: "f", Deadline: start.Add(time.Second)}
}

// passes reports whether a request went on to admission, and the end it got otherwise.
func passes(effects []messenger.Effect) (bool, drafter.End) {
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

// TestConvictedIsRefused refuses a request that is convicted, held before or not.
func TestConvictedIsRefused(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper()
	ok, _ := passes(g.Apply(start, gatekeeper.Requested{Arrived: arrived()}))
	c.Assert(ok, qt.IsTrue)
	g.Apply(start, isolator.PoisonCandidates{Fingerprints: []string{"dakar/studio/f"}})
	ok, end := passes(g.Apply(start, gatekeeper.Requested{Arrived: arrived()}))
	c.Assert(ok, qt.IsFalse)
	c.Assert(end.Outcome, qt.Equals, responder.Outcome(""))
	ok, end = passes(g.Apply(start, isolator.PoisonConfirmed{Fingerprints: []string{"dakar/studio/f"}}))
	c.Assert(ok, qt.IsFalse)
	c.Assert(end.Outcome, qt.Equals, responder.Refused)
	_, end = passes(g.Apply(start, gatekeeper.Requested{Arrived: arrived()}))
	c.Assert(end.Outcome, qt.Equals, responder.Refused)
}

// TestHeldGoesOnWhenCleared holds a request while its like is suspect, at most until its deadline.
func TestHeldGoesOnWhenCleared(t *testing.T) {
	c := qt.New(t)
	g := gatekeeper.NewGatekeeper()
	suspects := isolator.PoisonCandidates{Fingerprints: []string{"dakar/studio/f"}}
	g.Apply(start, suspects)
	g.Apply(start, gatekeeper.Requested{Arrived: arrived()})
	ok, _ := passes(g.Apply(start, isolator.PoisonCandidates{}))
	c.Assert(ok, qt.IsTrue)
	g.Apply(start, suspects)
	g.Apply(start, gatekeeper.Requested{Arrived: arrived()})
	_, end := passes(g.Apply(start.Add(time.Second), messenger.Tick{}))
	c.Assert(end.Outcome, qt.Equals, responder.NotRun)
	c.Assert(end.RetryAfter > 0, qt.IsTrue)
}
