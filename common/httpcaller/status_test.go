package httpcaller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

// TestResponseWithoutValidStatusIsAnError guards against reports, orders and calls of the store that count as answered with 200 while the
// other side has sent a status that is none, on a first and a later call of a connection.
func TestResponseWithoutValidStatusIsAnError(t *testing.T) {
	c := qt.New(t)
	for _, status := range []string{"000", "000 OK", "042 X", "666 X"} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		go answerWith(l, "200 OK", status)
		caller := httpcaller.NewCaller(answerlimiter.NewDefault())
		request := httpcaller.Request{Method: http.MethodGet, URL: "http://" + l.Addr().String() + "/"}
		_, err = caller.Do(context.Background(), request)
		c.Check(err, qt.IsNil)
		_, err = caller.Do(context.Background(), request)
		c.Check(err, qt.IsNotNil, qt.Commentf(status))
		c.Check(err, qt.Not(qt.ErrorIs), httpcaller.ErrNotSent)
		_ = l.Close()
	}
}

// answerWith answers the requests on one connection with the given statuses.
func answerWith(l net.Listener, statuses ...string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for _, status := range statuses {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
	}
	_, _ = io.Copy(io.Discard, r)
}
