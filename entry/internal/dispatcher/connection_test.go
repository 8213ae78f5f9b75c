package dispatcher_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/dispatcher"
)

// TestAttemptAtSameTargetUsesNewConnection guards against a request that counts as refused while it runs: the target that has refused it
// once writes that refusal again on the connection that was kept.
func TestAttemptAtSameTargetUsesNewConnection(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.apply(-2*retryWindow, dispatcher.RetryQuotaChanged{Retries: 100})
	call, e := d.sendRequest(0, "/draft/", "key")
	tried := map[string]bool{}
	repeated := 0
	for n := 0; n < 4; n++ {
		sent, ok := e.(dispatcher.Send)
		if !ok {
			break
		}
		if tried[string(sent.Target)] {
			repeated++
			c.Check(sent.NewConn, qt.IsTrue, qt.Commentf("attempt %d", n))
		}
		tried[string(sent.Target)] = true
		e = d.apply(0, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.NotRun, Status: http.StatusServiceUnavailable})
	}
	c.Assert(repeated > 0, qt.IsTrue)
}

// TestRequestThatMustNotBeRepeatedUsesNewConnection guards against a payment that counts as refused while it runs: the refusal of an
// earlier request is written again on the connection that was kept for it.
func TestRequestThatMustNotBeRepeatedUsesNewConnection(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for _, path := range []string{"/post/", "/once/"} {
		_, e := d.sendRequest(0, path, "key")
		c.Check(e.(dispatcher.Send).NewConn, qt.IsTrue, qt.Commentf("%s", path))
	}
}
