package callerguard_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/callerguard"
)

// connect returns a guarded connection on which a caller has sent bytes that were read.
func connect(c *qt.C, l net.Listener, bytes int) net.Conn {
	caller, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = caller.Close() })
	served, err := l.Accept()
	c.Assert(err, qt.IsNil)
	go func() { _, _ = caller.Write(make([]byte, bytes)) }()
	_, _ = io.ReadFull(served, make([]byte, bytes))
	return served
}

func listen(c *qt.C, limits callerguard.Limits) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	return callerguard.NewGuard(limits).Listener(l, callerguard.Use{Group: callerguard.Callers, Factor: 2})
}

func isOpen(served net.Conn) bool { return served.SetDeadline(time.Time{}) == nil }

// TestStalledRequestIsDroppedBeforeOthers guards against closing a connection whose request may run, or one that has just sent as much as
// another did long ago, when memory is short. Its clock stands still while bytes are sent: what the machine is late with is no time without
// progress of a caller.
func TestStalledRequestIsDroppedBeforeOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := listen(c, callerguard.LimitsOf(32, 10))
		running := connect(c, l, 2<<20)
		callerguard.BeginServing(running)
		stalled := connect(c, l, 1<<20)
		time.Sleep(50 * time.Millisecond)
		recent := connect(c, l, 1<<20)
		last := connect(c, l, 3<<19)
		small := connect(c, l, 3<<18)
		c.Check([]bool{isOpen(running), isOpen(stalled), isOpen(recent), isOpen(last), isOpen(small)}, qt.DeepEquals, []bool{true, false, true, true, true})
	})
}

// TestLargestBodyIsReadInCalm guards against limits that a single body within the configuration's limits reaches, at the least default, and
// against requests that count on after their end.
func TestLargestBodyIsReadInCalm(t *testing.T) {
	c := qt.New(t)
	l := listen(c, callerguard.LimitsOf(32, 10))
	for range 5 {
		served := connect(c, l, 4<<20)
		c.Assert(isOpen(served), qt.IsTrue)
		callerguard.BeginServing(served)
		callerguard.EndRequest(served)
	}
}

// TestIdleConnectionIsDroppedForNewOne guards against idle connections that use up the limit, so that other callers get none.
func TestIdleConnectionIsDroppedForNewOne(t *testing.T) {
	c := qt.New(t)
	l := listen(c, callerguard.Limits{LiveBytes: 1 << 20, Connections: 2})
	reading := connect(c, l, 1)
	idle := connect(c, l, 0)
	next := connect(c, l, 0)
	c.Check([]bool{isOpen(reading), isOpen(idle), isOpen(next)}, qt.DeepEquals, []bool{true, false, true})
}

// TestIdleConnectionsLeaveMemoryForRequests guards against connections without a request that take so much memory that each request is
// closed while it is read.
func TestIdleConnectionsLeaveMemoryForRequests(t *testing.T) {
	c := qt.New(t)
	l := listen(c, callerguard.Limits{LiveBytes: 1 << 20, Connections: 100})
	for range 60 {
		connect(c, l, 0)
	}
	c.Check(isOpen(connect(c, l, 100<<10)), qt.IsTrue)
}
