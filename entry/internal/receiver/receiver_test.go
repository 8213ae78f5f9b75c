package receiver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/entry/internal/receiver"
)

const (
	idleTimeout = 300 * time.Millisecond
	waitLimit   = 3 * time.Second
)

// handler answers a request with its path, or waits until the caller disconnects.
type handler struct {
	served       chan string
	disconnected chan struct{}
}

func (h *handler) Limits() describer.Limits {
	return describer.Limits{IdleTimeout: idleTimeout, HeaderTimeout: idleTimeout, BodyBytes: 100}
}

func (h *handler) Serve(ctx context.Context, c *receiver.Call) {
	path := string(c.Header().RequestURI())
	h.served <- path
	if path == "/wait" {
		<-ctx.Done()
		h.disconnected <- struct{}{}
		return
	}
	if path == "/header" {
		path = fields(c)
	}
	var header fasthttp.ResponseHeader
	if path == "/length" {
		path = ""
		header.SetContentLength(1234)
	}
	if date := c.Header().Peek(fasthttp.HeaderDate); len(date) > 0 {
		// Only a header that is read keeps its date.
		_ = header.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nDate: " + string(date) + "\r\n\r\n")))
	}
	if c.Answer(&header, []byte(path+string(c.Body()))) != nil {
		h.disconnected <- struct{}{}
	}
}

// fields returns the fields of a request that is forwarded, without those of the connection and of the framing.
func fields(c *receiver.Call) string {
	var forwarded fasthttp.RequestHeader
	c.Header().CopyTo(&forwarded)
	forwarded.Del(fasthttp.HeaderTrailer)
	forwarded.Del(fasthttp.HeaderContentLength)
	out := ""
	for _, name := range []string{"X-One", "X-Two", "X-Three", fasthttp.HeaderTransferEncoding} {
		for _, value := range forwarded.PeekAll(name) {
			out += name + "=" + string(value) + "; "
		}
	}
	return out
}

func start(t *testing.T) (*qt.C, *handler, *receiver.Receiver, net.Conn) {
	t.Helper()
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h := &handler{served: make(chan string, 10), disconnected: make(chan struct{}, 10)}
	r := receiver.NewReceiver(h)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = l.Close() })
	go r.Serve(ctx, l)
	conn, err := net.Dial("tcp4", l.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	return c, h, r, conn
}

func write(c *qt.C, conn net.Conn, raw string) {
	_, err := io.WriteString(conn, raw)
	c.Assert(err, qt.IsNil)
}

// answer is an answer that was read completely.
type answer struct {
	status int
	isLast bool
	body   string
}

func read(c *qt.C, r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return answer{resp.StatusCode, resp.Close, string(body)}
}

// TestManyRequestsOnOneConnection sends pipelined and sequential requests, and expects an answer of its own for each.
func TestManyRequestsOnOneConnection(t *testing.T) {
	c, _, _, conn := start(t)
	r := bufio.NewReader(conn)
	write(c, conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy")
	c.Assert(read(c, r).body, qt.Equals, "/1")
	c.Assert(read(c, r).body, qt.Equals, "/2xy")
	write(c, conn, "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	c.Assert(read(c, r).body, qt.Equals, "/3ab")
}

// TestFieldsAfterBodyAreLeftOut guards against a field after a body in chunks that reaches a target as one of the header, or stands in
// for one that the header lacks.
func TestFieldsAfterBodyAreLeftOut(t *testing.T) {
	c, h, _, conn := start(t)
	r := bufio.NewReader(conn)
	for _, method := range []string{"POST", "GET"} {
		for _, announced := range []string{"", "Trailer: X-One, x-two\r\n"} {
			write(c, conn, method+" /header HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"+announced+"Transfer-Encoding: chunked\r\n\r\n"+
				"2\r\nab\r\n0\r\nX-One: 2\r\nx-two: 2\r\nX-Three: 2\r\n\r\n")
			c.Assert(read(c, r).body, qt.Equals, "X-One=1; ab")
			c.Assert(h.served, qt.HasLen, 1)
			<-h.served
		}
	}
	write(c, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	c.Assert(read(c, r).body, qt.Equals, "/1")
}

// TestLargeBodyInChunksIsRefused checks that a body in chunks over the limit is answered with 413.
func TestLargeBodyInChunksIsRefused(t *testing.T) {
	c, h, _, conn := start(t)
	write(c, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n"+strings.Repeat("x", 101)+"\r\n0\r\n\r\n")
	c.Assert(read(c, bufio.NewReader(conn)).status, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(h.served, qt.HasLen, 0)
}

// TestSmuggledRequestIsRefused checks that a request with both a length and chunks is refused, and that none of it is served.
func TestSmuggledRequestIsRefused(t *testing.T) {
	c, h, _, conn := start(t)
	write(c, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	resp := read(c, bufio.NewReader(conn))
	c.Assert(resp.status, qt.Equals, http.StatusBadRequest)
	c.Assert(h.served, qt.HasLen, 0)
}

// TestLargeBodyIsRefused checks that a body over the limit is answered with 413.
func TestLargeBodyIsRefused(t *testing.T) {
	c, _, _, conn := start(t)
	write(c, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n")
	resp := read(c, bufio.NewReader(conn))
	c.Assert(resp.status, qt.Equals, http.StatusRequestEntityTooLarge)
}

// TestCallerDisconnectIsDetected checks that a request's context ends when its caller closes the connection.
func TestCallerDisconnectIsDetected(t *testing.T) {
	c, h, _, conn := start(t)
	write(c, conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.served
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case <-h.disconnected:
	case <-time.After(500 * time.Millisecond):
		c.Fatal("disconnect not detected within half a second")
	}
}

// TestIdleConnectionIsClosed checks that a connection without a request is closed after the idle timeout, not before.
func TestIdleConnectionIsClosed(t *testing.T) {
	// The server may accept the connection, and start its timer, before the dial returns here.
	began := time.Now()
	c, _, _, conn := start(t)
	_, err := conn.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(time.Since(began) >= idleTimeout, qt.IsTrue)
}

// TestLeavingNodeAsksToClose checks that each answer of a leaving node asks to close the connection.
func TestLeavingNodeAsksToClose(t *testing.T) {
	c, _, r, conn := start(t)
	r.Leave()
	write(c, conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	resp := read(c, bufio.NewReader(conn))
	c.Assert(resp.isLast, qt.IsTrue)
}

// TestDateOfAnswerIsKept guards against an answer whose date is the time at which the node passes it on.
func TestDateOfAnswerIsKept(t *testing.T) {
	c, _, _, conn := start(t)
	r := bufio.NewReader(conn)
	const date = "Sun, 06 Nov 1994 08:49:37 GMT"
	for _, sent := range []string{date, ""} {
		write(c, conn, "GET /1 HTTP/1.1\r\nHost: h\r\nDate: "+sent+"\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Check(string(body), qt.Equals, "/1")
		c.Check(resp.Header[fasthttp.HeaderDate], qt.HasLen, 1)
		c.Check(resp.Header.Get(fasthttp.HeaderDate) == date, qt.Equals, sent == date)
	}
}

// TestLengthOfAnswerToHeadIsKept guards against an answer to HEAD that says 0 where GET would have a body.
func TestLengthOfAnswerToHeadIsKept(t *testing.T) {
	c, _, _, conn := start(t)
	r := bufio.NewReader(conn)
	for path, want := range map[string]int64{"/length": 1234, "/1": 2} {
		write(c, conn, "HEAD "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Check(resp.ContentLength, qt.Equals, want)
	}
}
