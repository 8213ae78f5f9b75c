package connector_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"fuchsiabridge.example/entry/internal/connector"
)

// soundSilence is how long a sound target may be silent at most: a second or so, with some margin.
const soundSilence = 2 * time.Second

// TestConnectionOutlivesSoundTargetsSilence guards against requests that are cut off because their target, which is sound, acknowledges
// nothing for a second. The user timeout also ends keep-alive probes, whatever their number.
func TestConnectionOutlivesSoundTargetsSilence(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	conn, err := connector.NewConnector().Get(t.Context(), l.Addr().String(), true)
	c.Assert(err, qt.IsNil)
	defer conn.Drop()
	option := func(level, name int) time.Duration {
		raw, err := conn.Conn.(syscall.Conn).SyscallConn()
		c.Assert(err, qt.IsNil)
		var value int
		var sockErr error
		c.Assert(raw.Control(func(fd uintptr) { value, sockErr = unix.GetsockoptInt(int(fd), level, name) }), qt.IsNil)
		c.Assert(sockErr, qt.IsNil)
		return time.Duration(value)
	}
	c.Check(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)*time.Millisecond > soundSilence, qt.IsTrue)
	probes := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) + option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)*option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	c.Check(probes*time.Second > soundSilence, qt.IsTrue)
	c.Check(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0, qt.IsTrue)
}
