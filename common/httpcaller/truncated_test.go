package httpcaller_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

// TestTruncatedAnswerIsAnError guards against a success with an empty or a short body for an answer whose sender stops anywhere in the
// middle of its head or its body, and closes the connection.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		for _, newConn := range []bool{false, true} {
			for n := range len(answer) {
				c := qt.New(t)
				address := serveOnce(c, answer[:n])
				r, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(t.Context(), httpcaller.Request{Method: http.MethodGet, URL: "http://" + address + "/x", NewConn: newConn})
				c.Assert(err, qt.IsNotNil, qt.Commentf("after %d bytes: %+v", n, r))
			}
		}
	}
}

// serveOnce answers one request with raw bytes, and closes the connection.
func serveOnce(c *qt.C, raw string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(raw))
		}
	}()
	return l.Addr().String()
}
