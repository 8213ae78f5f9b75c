package dispatcher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/limiter"
)

// quiet makes a target want no requests from the start until the given time.
func (d *harness) quiet(target identifier.TargetID, until time.Duration) {
	d.apply(0, dispatcher.QuietWanted{Target: target, Until: start.Add(until), Answer: "refusal"})
}

// TestQuietTargetGetsNoRequests guards against sending requests to a target that has refused one with a Retry-After, also
// after its request limit has ended, and against not using it again afterwards.
func TestQuietTargetGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	const until = 3 * time.Second
	d.quiet("ledger-a", until)
	d.apply(time.Millisecond, limiter.AnswerRead{Target: "ledger-a", Limit: describer.NamedLimit{Kind: describer.Limited, Rate: 5}, SentAt: start})
	d.apply(2*time.Millisecond, limiter.AnswerRead{Target: "ledger-a", SentAt: start.Add(1500 * time.Microsecond)})
	used := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += 10 * time.Millisecond {
			call, e := d.sendRequest(at, "/post/", "key")
			send, isSent := e.(dispatcher.Send)
			c.Assert(isSent, qt.IsTrue, qt.Commentf("%T", e))
			if send.Target == "ledger-a" {
				n++
			}
			d.apply(at, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Delivered, Status: 200})
		}
		return n
	}
	c.Assert(used(10*time.Millisecond, until), qt.Equals, 0)
	c.Assert(used(until, until+time.Second) > 0, qt.IsTrue)
}

// TestQuietTargetsRefuseAtOnce guards against callers that wait, or come back too early, while all targets want no requests.
func TestQuietTargetsRefuseAtOnce(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.quiet("ledger-a", 2*time.Second)
	d.quiet("ledger-b", 900*time.Millisecond)
	d.quiet("ledger-c", 3*time.Second)
	_, e := d.sendRequest(100*time.Millisecond, "/post/", "key")
	refused, ok := e.(dispatcher.Refuse)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	c.Assert(refused.Status, qt.Equals, 503)
	c.Assert(refused.RetryAfter >= 800*time.Millisecond && refused.RetryAfter < 1100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter))
	_, e = d.sendRequest(100*time.Millisecond, "/post/", "key")
	c.Assert(e.(dispatcher.Refuse).RetryAfter, qt.Not(qt.Equals), refused.RetryAfter)
	c.Assert(d.dispatcher.Status(start.Add(time.Second)).Quiet, qt.HasLen, 2)
}

// TestUnreadableFieldsAreLoggedRarely guards against a log line for each answer of a target whose fields cannot be read.
func TestUnreadableFieldsAreLoggedRarely(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for i := range 1500 {
		d.apply(time.Duration(i)*10*time.Millisecond, dispatcher.AnnouncementUnreadable{Target: "ledger-a", Field: "f"})
	}
	n := 0
	for _, l := range d.logs {
		if l.Event == eventlogger.AnnouncementUnreadable {
			n++
		}
	}
	c.Assert(n, qt.Equals, 2)
}
