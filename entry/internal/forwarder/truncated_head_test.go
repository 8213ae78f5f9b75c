package forwarder_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/platform/answerfaker"
)

// TestAnswerThatEndsInItsHeadIsNoAnswer guards against a success with an empty or a short body for an answer whose target stops in the middle
// of the head and closes the connection, wherever it stops, for streams and plain answers with a length, in chunks or with neither.
func TestAnswerThatEndsInItsHeadIsNoAnswer(t *testing.T) {
	for _, row := range []struct {
		name, answer string
		isStream     bool
	}{
		{"plain with a length", answerfaker.Plain(id, 200, "body"), false},
		{"plain without", answerfaker.Unframed(id, "body"), false},
		{"stream in chunks", answerfaker.SealedHead(id, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"stream without", answerfaker.SealedHead(id, 200) + "Content-Type: text/event-stream\r\n\r\n" + event(1), true},
	} {
		t.Run(row.name, func(t *testing.T) {
			head, _, _ := strings.Cut(row.answer, "\r\n\r\n")
			// The empty line that ends the head is missing, or only begun.
			for n := range len(head) + len("\r\n\r\n") {
				f := newFixture(t)
				r := f.attempt(t.Context(), serve(t, (head + "\r\n\r\n")[:n]+"|"), row.isStream)
				f.Assert(r.Outcome, qt.Equals, dispatcher.Broken, qt.Commentf("after %d bytes", n))
				f.Assert(r.IsLeft, qt.IsFalse, qt.Commentf("after %d bytes", n))
				f.Assert(f.caller.isComplete || f.caller.isBegun || f.caller.isEnded, qt.IsFalse, qt.Commentf("after %d bytes", n))
			}
		})
	}
}
