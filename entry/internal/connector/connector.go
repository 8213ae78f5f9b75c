// Package connector pools connections to targets and detects dead ones.
package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"fuchsiabridge.example/common/headchecker"
)

const (
	dialTimeout = 400 * time.Millisecond
	// DefaultIdle is how long an idle connection is kept if the target does not announce a timeout.
	DefaultIdle = 4 * time.Second
	// maxIdleConns limits the idle connections to one target.
	maxIdleConns = 32
	// SilenceLimit is how long the other end may acknowledge nothing before the connection counts as dead. It also limits the
	// keep-alive probes, whatever their number. A sound target may be silent for a second or so.
	SilenceLimit = 3 * time.Second
	// A connection on which nothing arrives is probed at keepAliveInterval, and counts as dead after maxProbes unanswered probes.
	keepAliveInterval = time.Second
	maxProbes         = 3
	bufferBytes       = 4096
)

// Conn is a buffered connection to a target. A read from R fails at an answer without a valid head.
type Conn struct {
	net.Conn
	R       *bufio.Reader
	W       *bufio.Writer
	address string
	// IsReused reports whether the connection has answered a request before.
	IsReused  bool
	idleUntil time.Time
}

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Connector pools connections by address.
type Connector struct {
	dialer Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewConnector returns an empty pool.
func NewConnector() *Connector { return NewConnectorWith(NewDialer()) }

// NewConnectorWith returns an empty pool whose connections are opened by d.
func NewConnectorWith(d Dialer) *Connector { return &Connector{dialer: d, idle: map[string][]*Conn{}} }

// NewDialer returns a dialer whose connections fail some time after their other end has gone silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxProbes,
		},
		Control: limitUnacked,
	}
}

// Get returns a live idle connection, or a new one. If newConn is set, it is always new.
func (c *Connector) Get(ctx context.Context, address string, newConn bool) (*Conn, error) {
	for !newConn {
		conn := c.take(address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleUntil) && conn.isClean() {
			return conn, nil
		}
		conn.Drop()
	}
	return c.dial(ctx, address)
}

func (c *Connector) take(address string) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[address] = idle[:len(idle)-1]
	return conn
}

func (c *Connector) dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", address)
	}
	checked := headchecker.NewConn(conn)
	return &Conn{
		Conn: conn, address: address,
		R: bufio.NewReaderSize(checked, bufferBytes), W: bufio.NewWriterSize(checked, bufferBytes),
	}, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceLimit.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// Put returns a connection to the pool, for reuse within the given time.
func (c *Connector) Put(conn *Conn, idle time.Duration) {
	if conn.R.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil {
		conn.Drop()
		return
	}
	conn.IsReused = true
	conn.idleUntil = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[conn.address]) >= maxIdleConns {
		conn.Drop()
		return
	}
	c.idle[conn.address] = append(c.idle[conn.address], conn)
}

// Sweep closes connections whose idle time is over.
func (c *Connector) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		open := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.idleUntil) {
				open = append(open, conn)
				continue
			}
			conn.Drop()
		}
		if len(open) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = open
	}
}

// Drop closes a connection that is no longer needed. Errors have no consequence and are ignored.
func (c *Conn) Drop() { _ = c.Close() }

// isClean reports whether an idle connection is open and has nothing to read: bytes that follow an answer
// do not belong to any request.
func (c *Conn) isClean() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}
