package retrier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/retrier"
	"fuchsiabridge.example/entry/internal/watcher"
)

var start = time.Unix(1000, 0)

func twoTargets() *retrier.Retrier {
	r := retrier.NewRetrier()
	r.Apply(start, watcher.TargetsChanged{Targets: []watcher.Target{
		{ID: "a", Role: platformcaller.RoleService, Service: "catalogue", State: watcher.StateUp},
		{ID: "b", Role: platformcaller.RoleService, Service: "catalogue", State: watcher.StateUp},
	}})
	return r
}

func request(call identifier.CallID) retrier.Requested {
	return retrier.Requested{Requested: recorder.Requested{Call: call, Service: "catalogue", Deadline: start.Add(5 * time.Second)}}
}

// findAttempt returns the first attempt among the effects.
func findAttempt(effects []messenger.Effect) (retrier.CallService, bool) {
	for _, effect := range effects {
		if e, ok := effect.(retrier.CallService); ok {
			return e, true
		}
	}
	return retrier.CallService{}, false
}

// findOutcome returns the outcome of the first reply among the effects.
func findOutcome(effects []messenger.Effect) responder.Outcome {
	for _, effect := range effects {
		if e, ok := effect.(messenger.Reply); ok {
			return e.Answer.(recorder.Answer).Outcome
		}
	}
	return ""
}

// TestStalledAttemptIsHedged leaves an attempt without an answer. A second one must go to the other
// target on a new connection, while the first may still answer.
func TestStalledAttemptIsHedged(t *testing.T) {
	c := qt.New(t)
	r := twoTargets()
	first, _ := findAttempt(r.Apply(start, request(1)))
	second, ok := findAttempt(r.Apply(start.Add(500*time.Millisecond), messenger.Tick{}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.Target, qt.Not(qt.Equals), first.Target)
	c.Assert(second.NewConn, qt.IsTrue)
	c.Assert(first.Deadline.Equal(start.Add(5*time.Second)), qt.IsTrue)
	answered := r.Apply(start.Add(2*time.Second), retrier.Answered{Call: 1, ServiceAnswered: recorder.ServiceAnswered{Status: 200}})
	c.Assert(findOutcome(answered), qt.Equals, responder.Delivered)
}

// TestHedgesAreBounded leaves many calls without an answer. Only a few of them may be hedged.
func TestHedgesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := twoTargets()
	const calls = 1000
	for n := range calls {
		r.Apply(start, request(identifier.CallID(n)))
	}
	hedges := 0
	for _, effect := range r.Apply(start.Add(500*time.Millisecond), messenger.Tick{}) {
		if _, ok := effect.(retrier.CallService); ok {
			hedges++
		}
	}
	c.Assert(hedges > 0 && hedges <= calls/10, qt.IsTrue, qt.Commentf("%d hedges", hedges))
}

// TestUnsentCallIsReportedAsNotRun fails every attempt before it is sent.
func TestUnsentCallIsReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	r := twoTargets()
	effects := r.Apply(start, request(1))
	for e, ok := findAttempt(effects); ok; e, ok = findAttempt(effects) {
		effects = r.Apply(start, retrier.Failed{Call: 1, Target: e.Target, NotSent: true})
	}
	c.Assert(findOutcome(effects), qt.Equals, responder.NotRun)
}

// TestDeadlineEndsTheCall checks that a call is answered at its deadline, even while an attempt is open.
func TestDeadlineEndsTheCall(t *testing.T) {
	c := qt.New(t)
	r := twoTargets()
	r.Apply(start, request(1))
	c.Assert(findOutcome(r.Apply(start.Add(5*time.Second), messenger.Tick{})), qt.Equals, responder.Failed)
}
