// Package networkfaker is a fake of a node's network, for tests: it opens real connections, and can cut them.
package networkfaker

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/entry/internal/connector"
)

// pollInterval is the time between two looks whether a cut has ended.
const pollInterval = 2 * time.Millisecond

// Kind is how a cut shows.
type Kind string

// Kinds of a cut.
const (
	// None: the network works.
	None Kind = ""
	// Hang: nothing passes in either direction, and nothing tells so. What was under way arrives after the cut.
	Hang Kind = "hang"
	// Reset: open connections are reset, and new ones refused.
	Reset Kind = "reset"
	// Refuse: open connections live on, and new ones are refused.
	Refuse Kind = "refuse"
)

// Cut is what is cut, and how.
type Cut struct {
	Kind Kind `json:"kind"`
	// Addresses are those that cannot be reached; if there are none, no address can.
	Addresses []string `json:"addresses,omitempty"`
}

// Network opens connections, and cuts them.
type Network struct {
	dialer connector.Dialer

	mu    sync.Mutex
	cut   Cut
	conns map[*conn]struct{}
}

// NewNetwork returns a network that works.
func NewNetwork() *Network {
	return &Network{dialer: connector.NewDialer(), conns: map[*conn]struct{}{}}
}

// SetCut replaces the cut.
func (n *Network) SetCut(c Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = c
	for conn := range n.conns {
		if n.kindAt(conn.address) == Reset {
			conn.reset()
		}
	}
}

// Handle serves calls that set the cut.
func (n *Network) Handle(c *fasthttp.RequestCtx) {
	var cut Cut
	if err := json.Unmarshal(c.PostBody(), &cut); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	n.SetCut(cut)
}

// kindAt returns the kind of the cut at an address. n.mu must be held.
func (n *Network) kindAt(address string) Kind {
	if len(n.cut.Addresses) > 0 && !slices.Contains(n.cut.Addresses, address) {
		return None
	}
	return n.cut.Kind
}

// kind returns the kind of the cut at an address.
func (n *Network) kind(address string) Kind {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.kindAt(address)
}

// DialContext opens a connection, unless the address is cut off.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for n.kind(address) == Hang {
		if !sleep(ctx) {
			return nil, errors.Wrapf(ctx.Err(), "dialling %s", address)
		}
	}
	if n.kind(address) != None {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	raw, err := n.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw, nil
	}
	c := &conn{TCPConn: tcp, network: n, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c, nil
}

// sleep waits for pollInterval, and returns false once ctx has ended.
func sleep(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// conn is a connection that can be cut.
type conn struct {
	*net.TCPConn
	network *Network
	address string

	mu           sync.Mutex
	readDeadline time.Time
	isClosed     bool
	// arrived holds what has arrived during a cut, and arrivedErr how it ended; unsent holds what was written meanwhile.
	arrived    []byte
	arrivedErr error
	unsent     []byte
}

// reset closes the connection without sending what is left.
func (c *conn) reset() {
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Close closes the connection. What was written during a cut is lost.
func (c *conn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return c.TCPConn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
}

// Read reads what has arrived. During a cut nothing arrives.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.awaitEnd(); err != nil {
		return 0, err
	}
	if n, err := c.takeArrived(b); n > 0 || err != nil {
		return n, err
	}
	n, err := c.TCPConn.Read(b)
	if c.network.kind(c.address) != Hang || (n == 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
		return n, err
	}
	c.mu.Lock()
	c.arrived, c.arrivedErr = append(c.arrived, b[:n]...), err
	c.mu.Unlock()
	if err := c.awaitEnd(); err != nil {
		return 0, err
	}
	return c.takeArrived(b)
}

// takeArrived returns what has arrived during a cut.
func (c *conn) takeArrived(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, c.arrived)
	c.arrived = c.arrived[n:]
	if n > 0 {
		return n, nil
	}
	return 0, c.arrivedErr
}

// awaitEnd waits until the connection does not hang, or its read deadline has passed.
func (c *conn) awaitEnd() error {
	for c.network.kind(c.address) == Hang {
		c.mu.Lock()
		deadline, isClosed := c.readDeadline, c.isClosed
		c.mu.Unlock()
		if isClosed {
			return net.ErrClosed
		}
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Write writes b. During a cut it is sent at the cut's end, unless the connection is closed before.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) == 0 && c.network.kind(c.address) != Hang {
		return c.TCPConn.Write(b)
	}
	if len(c.unsent) == 0 {
		go c.sendAfterCut()
	}
	c.unsent = append(c.unsent, b...)
	return len(b), nil
}

// sendAfterCut sends what was written during a cut once it has ended.
func (c *conn) sendAfterCut() {
	for c.network.kind(c.address) == Hang {
		time.Sleep(pollInterval)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosed {
		// Whoever reads from a broken connection learns of it.
		_, _ = c.TCPConn.Write(c.unsent)
	}
	c.unsent = nil
}
