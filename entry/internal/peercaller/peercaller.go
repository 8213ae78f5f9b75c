// Package peercaller makes and serves calls between entry nodes, as JSON-RPC 2.0 over TCP.
package peercaller

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/entry/internal/callerguard"
)

const (
	dialTimeout = time.Second
	// copies is the number of bytes held for each byte of a message: the decoder doubles its buffer, so at worst it holds two buffers of one
	// and two times the message, and the message itself.
	copies = 4
)

// ErrNoMethod is returned when the peer does not know the method, as one of an earlier version.
var ErrNoMethod = errors.New("the peer does not know the method")

// Handler handles one method. Its result is encoded as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

type dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Caller calls peers over one persistent connection each, and serves their calls.
type Caller struct {
	handlers map[string]Handler
	dialer   dialer
	answers  *answerlimiter.Limiter

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewCaller returns a caller that serves the given methods. It dials with TLS if a configuration
// is given. Whether peers dial this node with TLS depends on the listener that is passed to Serve. The answers of peers keep to the limiter;
// what arrives on connections that peers have opened is bounded by their listener.
func NewCaller(handlers map[string]Handler, tlsConfig *tls.Config, answers *answerlimiter.Limiter) *Caller {
	c := &Caller{handlers: handlers, answers: answers, conns: map[string]*jsonrpc2.Conn{}, dialer: &net.Dialer{Timeout: dialTimeout}}
	if tlsConfig != nil {
		c.dialer = &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: tlsConfig}
	}
	return c
}

// Serve accepts connections from peers until ctx ends.
func (c *Caller) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c.open(ctx, conn)
	}
}

// Call calls a method of the peer at address. If it gets no answer, the connection is closed, so that the next
// call dials again. A refusal is an answer.
func (c *Caller) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var refusal *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &refusal):
		c.drop(address, conn)
	case refusal.Code == jsonrpc2.CodeMethodNotFound:
		err = errors.Mark(err, ErrNoMethod)
	}
	return errors.Wrapf(err, "calling %s of %s", method, address)
}

func (c *Caller) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", address)
	}
	conn = c.open(context.WithoutCancel(ctx), c.answers.NewConn(raw, copies))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Caller) open(ctx context.Context, raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(raw, messageCodec{conn: raw})
	return jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(c.handle)),
		jsonrpc2.SetLogger(eventlogger.Printer{Event: eventlogger.PeerConnectionFailed}))
}

// messageCodec tells the guard or the limiter of the connection when a message has been read.
type messageCodec struct {
	jsonrpc2.VSCodeObjectCodec
	conn net.Conn
}

// ReadObject reads the next message.
func (m messageCodec) ReadObject(stream *bufio.Reader, v any) error {
	defer callerguard.EndRequest(m.conn)
	if limited, ok := m.conn.(*answerlimiter.Conn); ok {
		defer limited.EndMessage()
	}
	return m.VSCodeObjectCodec.ReadObject(stream, v)
}

func (c *Caller) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	handler, ok := c.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method: " + r.Method}
	}
	if r.Params == nil {
		return handler(ctx, nil)
	}
	return handler(ctx, *r.Params)
}

func (c *Caller) drop(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}
