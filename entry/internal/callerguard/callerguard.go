// Package callerguard bounds the memory and the connections that a process holds for callers and other nodes. When a bound is reached, it
// closes the connections that hold most for longest without progress.
package callerguard

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/entry/internal/counter"
)

const (
	// logInterval limits the log lines on closed connections to one in an interval.
	logInterval = time.Second
	// writeTimeout is how long a write may take where Use asks for a limit.
	writeTimeout = 20 * time.Second
)

// Use says what a listener's connections are used for.
type Use struct {
	Group Group
	// Factor is the number of bytes that the process holds for each byte of a request: a body is copied when its buffer grows.
	Factor int64
	// MaxRequestBytes is the number of bytes of a request from which on further ones are not kept, 0 if there is none.
	MaxRequestBytes int64
	// LimitsWrites closes connections on which a write takes too long, for servers that have no such limit.
	LimitsWrites bool
}

// Guard bounds what all connections of its listeners hold together.
type Guard struct {
	mu     sync.Mutex
	ledger *ledger
	// lastLog is the time of the last log line, unlogged the number of connections closed since.
	lastLog  time.Time
	unlogged int
}

// NewGuard returns a guard that keeps to the given limits.
func NewGuard(l Limits) *Guard { return &Guard{ledger: newLedger(l)} }

// Listener returns a listener whose connections are guarded. With TLS, it belongs below the TLS listener.
func (g *Guard) Listener(l net.Listener, u Use) net.Listener {
	return &listener{Listener: l, guard: g, use: u}
}

type listener struct {
	net.Listener
	guard *Guard
	use   Use
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, guard: l.guard, use: l.use}
		c.account = &account{group: l.use.Group, close: func() { _ = nc.Close() }}
		if l.guard.open(time.Now(), c) {
			return c, nil
		}
	}
}

// open takes a connection, and reports false if it was closed instead.
func (g *Guard) open(now time.Time, c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(now, g.ledger.open(now, c.account), "connections")
	g.drop(now, g.ledger.trim(now, c.use.Group), "memory")
	return !c.account.isGone
}

// update changes the state of an account and closes the connections for which no memory is left then.
func (g *Guard) update(group Group, change func(now time.Time)) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	change(now)
	g.drop(now, g.ledger.trim(now, group), "memory")
	counter.CallerBytes.Set(g.ledger.held)
}

// drop closes connections that the ledger has given up.
func (g *Guard) drop(now time.Time, dropped []*account, reason string) {
	for _, a := range dropped {
		a.close()
		counter.CallersDropped.Add(reason, 1)
		g.unlogged++
		if now.Sub(g.lastLog) < logInterval {
			continue
		}
		eventlogger.Info(eventlogger.CallerDropped, "reason", reason, "group", a.group.String(), "bytes", a.bytes,
			"stalled_ms", a.stalled(now).Milliseconds(), "held", g.ledger.held, "limit", g.ledger.limits.LiveBytes, "dropped", g.unlogged)
		g.lastLog, g.unlogged = now, 0
	}
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	guard   *Guard
	use     Use
	account *account
}

// Read counts what it reads as held until the request has ended.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.guard.update(c.use.Group, func(now time.Time) {
			c.guard.ledger.add(now, c.account, int64(n)*c.use.Factor, c.use.MaxRequestBytes*c.use.Factor)
		})
	}
	return n, err
}

// Write counts what is written as held until the caller has taken it.
func (c *conn) Write(b []byte) (int, error) {
	if c.use.LimitsWrites {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	held := int64(len(b))
	c.guard.update(c.use.Group, func(now time.Time) { c.guard.ledger.beginWrite(now, c.account, held) })
	n, err := c.Conn.Write(b)
	c.guard.update(c.use.Group, func(now time.Time) { c.guard.ledger.endWrite(now, c.account, held) })
	var t net.Error
	if c.use.LimitsWrites && errors.As(err, &t) && t.Timeout() {
		_ = c.Close()
	}
	return n, err
}

// Close closes the connection, which holds nothing any more.
func (c *conn) Close() error {
	c.guard.update(c.use.Group, func(time.Time) { c.guard.ledger.remove(c.account) })
	return c.Conn.Close()
}

// BeginServing notes that a request was read completely and may run from now on: its connection is not closed for want of memory
// unless its caller does not read the answer. It ignores connections that are not guarded.
func BeginServing(nc net.Conn) {
	if c := guarded(nc); c != nil {
		c.guard.update(c.use.Group, func(now time.Time) { c.guard.ledger.setState(now, c.account, serving) })
	}
}

// EndRequest notes that a request has ended and nothing is held for it any more. It ignores connections that are not guarded.
func EndRequest(nc net.Conn) {
	if c := guarded(nc); c != nil {
		c.guard.update(c.use.Group, func(now time.Time) { c.guard.ledger.setState(now, c.account, idle) })
	}
}

// guarded returns the guarded connection below a connection, or nil.
func guarded(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}
