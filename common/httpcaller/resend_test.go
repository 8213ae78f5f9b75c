package httpcaller_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

// server counts connections and requests. If answers is false, it closes a connection after the
// first request without a response; otherwise it answers every request.
type server struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

func newServer(t *testing.T, answers bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answers)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn, answers bool) {
	defer func() { _ = conn.Close() }()
	buf := make([]byte, 4096)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		s.requests.Add(1)
		if !answers {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// TestFailedCallIsNotRetried closes the connection after the request without a response. No request
// may be sent again, whatever its method, on a pooled or a new connection.
func TestFailedCallIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "DELETE", "POST"} {
		for _, newConn := range []bool{false, true} {
			t.Run(method, func(t *testing.T) {
				c := qt.New(t)
				s := newServer(t, false)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(ctx, httpcaller.Request{Method: method, URL: "http://" + s.address + "/x", NewConn: newConn})
				c.Assert(err, qt.IsNotNil)
				c.Assert(errors.Is(err, httpcaller.ErrNotSent), qt.IsFalse)
				time.Sleep(50 * time.Millisecond)
				c.Assert(s.requests.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// TestCallsOnNewConnShareNoConnection makes calls one after the other: those without NewConn share
// one connection, each one with NewConn opens its own.
func TestCallsOnNewConnShareNoConnection(t *testing.T) {
	c := qt.New(t)
	caller := httpcaller.NewCaller(answerlimiter.NewDefault())
	s := newServer(t, true)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 3 {
		_, err := caller.Do(ctx, httpcaller.Request{Method: "POST", URL: "http://" + s.address + "/x"})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(s.conns.Load(), qt.Equals, int64(1))
	for _, ctx := range []context.Context{ctx, httpcaller.WithNewConn(ctx)} {
		_, err := caller.Do(ctx, httpcaller.Request{Method: "POST", URL: "http://" + s.address + "/x", NewConn: true})
		c.Assert(err, qt.IsNil)
	}
	_, err := caller.Do(httpcaller.WithNewConn(ctx), httpcaller.Request{Method: "POST", URL: "http://" + s.address + "/x"})
	c.Assert(err, qt.IsNil)
	c.Assert(s.conns.Load(), qt.Equals, int64(4))
}

// TestUnsentCallIsMarked calls an address where nothing listens, and calls after the deadline: both
// errors must be marked ErrNotSent.
func TestUnsentCallIsMarked(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	for _, newConn := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(ctx, httpcaller.Request{Method: "POST", URL: "http://" + address + "/x", NewConn: newConn})
		cancel()
		c.Assert(errors.Is(err, httpcaller.ErrNotSent), qt.IsTrue)
	}
	s := newServer(t, true)
	past, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	_, err = httpcaller.NewCaller(answerlimiter.NewDefault()).Do(past, httpcaller.Request{Method: "POST", URL: "http://" + s.address + "/x", NewConn: true})
	c.Assert(errors.Is(err, httpcaller.ErrNotSent), qt.IsTrue)
	c.Assert(s.conns.Load(), qt.Equals, int64(0))
}

// deadlineDialer records until when a connection may be opened, and opens none.
type deadlineDialer struct{ deadline time.Time }

func (d *deadlineDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	d.deadline, _ = ctx.Deadline()
	return nil, errors.New("no connection")
}

// TestConnectionIsOpenedBeforeDeadline guards against a call that still opens a connection after its deadline.
func TestConnectionIsOpenedBeforeDeadline(t *testing.T) {
	for _, newConn := range []bool{false, true} {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		deadline, _ := ctx.Deadline()
		var d deadlineDialer
		caller := httpcaller.NewCallerWith(httpcaller.Config{Answers: answerlimiter.NewDefault(), Dialer: &d})
		_, err := caller.Do(ctx, httpcaller.Request{Method: "GET", URL: "http://127.0.0.1:1/x", NewConn: newConn})
		cancel()
		c.Check(errors.Is(err, httpcaller.ErrNotSent), qt.IsTrue)
		c.Check(d.deadline.After(deadline.Add(10*time.Millisecond)), qt.IsFalse)
		c.Check(d.deadline.IsZero(), qt.IsFalse)
	}
}

// TestConnectionWithExtraBytesIsNotReused guards against taking bytes that follow an answer for the answer to the next call.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	c := qt.New(t)
	const first, second = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() {
		for _, answer := range []string{first + first, second} {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(answer))
		}
	}()
	caller := httpcaller.NewCaller(answerlimiter.NewDefault())
	for _, want := range []string{"1", "2"} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		r, err := caller.Do(ctx, httpcaller.Request{Method: "GET", URL: "http://" + l.Addr().String() + "/x"})
		cancel()
		c.Check(err, qt.IsNil)
		c.Check(string(r.Body), qt.Equals, want)
	}
}
