package forwarder_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/connector"
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

// TestSilenceIsNoEndOfAnswer guards against an answer with neither a length nor chunks that counts as complete when its connection is
// given up, because its target was silent for too long.
func TestSilenceIsNoEndOfAnswer(t *testing.T) {
	for _, row := range []struct {
		name, answer string
		isStream     bool
	}{
		{"plain", answerfaker.Unframed(id, "body"), false},
		{"stream", answerfaker.SealedHead(id, 200) + "Content-Type: text/event-stream\r\n\r\n" + event(1), true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			address := serveAndClose(f.C, row.answer, connector.SilenceLimit+200*time.Millisecond)
			now := bootclock.Now()
			end := now.Add(2 * connector.SilenceLimit)
			r := f.exchange.Attempt(t.Context(), dispatcher.Send{Target: "i-1", Address: address, IsStream: row.isStream, Deadline: end, IdleDeadline: end})
			f.Check(r.Outcome, qt.Equals, dispatcher.Broken)
			f.Check(f.caller.isComplete || f.caller.isEnded, qt.IsFalse)
		})
	}
}

// serveAndClose answers one request, and closes the connection some time later.
func serveAndClose(c *qt.C, answer string, later time.Duration) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
		time.Sleep(later)
	}()
	return l.Addr().String()
}
