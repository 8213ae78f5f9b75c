// Package httpcaller is an HTTP client that never retries on its own, and that distinguishes
// requests that cannot have been sent from those that may have been.
package httpcaller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/headchecker"
)

const (
	defaultTimeout   = 5 * time.Second
	dialTimeout      = time.Second
	idleConnLifetime = 10 * time.Second
	maxConnsPerHost  = 512
	// defaultMaxBytes limits the body of an answer, beside the bound for all answers of the process.
	defaultMaxBytes = 64 << 20
	// stallTimeout is how long no byte of a body may arrive that may take longer than the call's deadline.
	stallTimeout = 700 * time.Millisecond
	// singleCallIdleLifetime bounds how long the cleanup goroutine of a single-use client outlives its call.
	singleCallIdleLifetime = 100 * time.Millisecond
)

// ErrNotSent marks a call of which no byte can have reached the server.
var ErrNotSent = errors.New("call not sent")

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the body as text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Config says how calls are made.
type Config struct {
	// Answers bounds what the process holds of the answers.
	Answers *answerlimiter.Limiter
	// MaxBytes is the number of bytes from which on the body of an answer is refused, 0 for defaultMaxBytes.
	MaxBytes int
	// Dialer opens connections; nil for one without settings of its own.
	Dialer Dialer
}

// Caller makes calls to many hosts over pooled connections. After a call to a host has timed out,
// the connections to that host that are open at that time are not used for further calls, because
// they may be broken as well.
type Caller struct {
	cfg Config

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

// NewCaller returns a caller that does not retry failed calls, and whose connections have no settings of their own.
func NewCaller(answers *answerlimiter.Limiter) *Caller {
	return NewCallerWith(Config{Answers: answers})
}

// NewCallerWith returns a caller that does not retry failed calls.
func NewCallerWith(cfg Config) *Caller {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.Dialer == nil {
		cfg.Dialer = &net.Dialer{}
	}
	return &Caller{cfg: cfg, clients: map[string]*fasthttp.HostClient{}}
}

// newClient returns the client whose connection pool is used for a host.
func (c *Caller) newClient(host string, idleLifetime time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: host, MaxIdleConnDuration: idleLifetime, MaxConns: maxConnsPerHost,
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			return c.dial(address, time.Now().Add(timeout))
		},
	}
}

// client returns the client that holds the connection pool of a host.
func (c *Caller) client(host string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[host]
	if !ok {
		client = c.newClient(host, idleConnLifetime)
		c.clients[host] = client
	}
	return client
}

// retire removes a host's client and closes its idle connections. Connections in use return to the retired
// client's pool when their call succeeds; it closes them after idleConnLifetime.
func (c *Caller) retire(host string, client *fasthttp.HostClient) {
	c.mu.Lock()
	if c.clients[host] == client {
		delete(c.clients, host)
	}
	c.mu.Unlock()
	client.CloseIdleConnections()
}

// dial opens a connection, within dialTimeout and before the call's deadline.
func (c *Caller) dial(address string, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := c.cfg.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dialing %s", address), ErrNotSent)
	}
	return headchecker.NewConn(conn), nil
}

type newConnKey struct{}

// WithNewConn returns a context that makes every call with it use a new connection.
func WithNewConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnKey{}, true)
}

// Request is one call; Body is sent unchanged.
type Request struct {
	Method string
	URL    string
	Body   []byte
	Header map[string]string
	// AnswerFields names further header fields of the response to return.
	AnswerFields []string
	// NewConn makes the call on a new connection that is closed afterwards.
	NewConn bool
	// BodyDeadline is until when the body of the response may arrive, if bytes of it arrive at least every stallTimeout. The deadline of the
	// call is then for the header only. It is zero if the deadline is for all.
	BodyDeadline time.Time
	// Began is called once the header of the response has arrived, unless it is nil.
	Began func()
}

// Response is the response to a call. Header holds only Content-Type, Retry-After and the AnswerFields of
// the request.
type Response struct {
	Status int
	Body   []byte
	Header map[string]string
}

// Do makes one call, bounded by the deadline of ctx. Its error is marked ErrNotSent only if no byte
// of the call can have been sent.
func (c *Caller) Do(ctx context.Context, r Request) (Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Mark(err, ErrNotSent)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL)
	req.SetBody(r.Body)
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	host := string(req.URI().Host())
	client := c.client(host)
	if r.NewConn || ctx.Value(newConnKey{}) != nil {
		req.SetConnectionClose()
		client = c.newClient(host, singleCallIdleLifetime)
	}
	response, err := c.exchange(client, req, r, deadline)
	if err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) {
			c.retire(host, client)
		}
		return Response{}, errors.Wrapf(err, "calling %s %s", r.Method, r.URL)
	}
	return response, nil
}

// JSON calls url with in encoded as JSON (nil sends no body) and decodes a 2xx response into out
// (nil discards it).
func (c *Caller) JSON(ctx context.Context, method, url string, in, out any) error {
	return c.JSONWith(ctx, Request{Method: method, URL: url}, in, out)
}

// JSONWith is JSON for a request that sets header fields or NewConn.
func (c *Caller) JSONWith(ctx context.Context, r Request, in, out any) error {
	return JSONThrough(ctx, c.Do, r, in, out)
}

// Doer makes one call.
type Doer func(ctx context.Context, r Request) (Response, error)

// JSONThrough is JSONWith for calls that are made by do, such as one that looks at the header of each response.
func JSONThrough(ctx context.Context, do Doer, r Request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encoding a request body")
		}
		r.Body = body
	}
	response, err := do(ctx, r)
	if err != nil {
		return err
	}
	if response.Status/100 != 2 {
		return &StatusError{Status: response.Status, Body: response.Body}
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(response.Body, out), "decoding the response of %s", r.URL)
}
