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

	"fuchsiabridge.example/common/headchecker"
)

const (
	defaultTimeout   = 5 * time.Second
	dialTimeout      = time.Second
	idleConnLifetime = 10 * time.Second
	maxConnsPerHost  = 512
	maxResponseBytes = 64 << 20
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

// Caller makes calls to many hosts over pooled connections. After a call to a host has timed out,
// the connections to that host that are open at that time are not used for further calls, because
// they may be broken as well.
type Caller struct {
	maxResponse int
	dialer      Dialer

	mu      sync.Mutex
	clients map[string]*fasthttp.Client
}

// NewCaller returns a caller that does not retry failed calls.
func NewCaller() *Caller { return NewCallerWith(&net.Dialer{}) }

// NewCallerWith is NewCaller for a caller whose connections are opened by d.
func NewCallerWith(d Dialer) *Caller { return NewLimitedCaller(maxResponseBytes, d) }

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// NewLimitedCaller returns a caller whose calls fail if the body of the response has more than the given number of bytes, and whose
// connections are opened by d.
func NewLimitedCaller(maxResponse int, d Dialer) *Caller {
	return &Caller{maxResponse: maxResponse, dialer: d, clients: map[string]*fasthttp.Client{}}
}

func (c *Caller) newClient() *fasthttp.Client {
	return &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idleConnLifetime,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxResponseBodySize:       c.maxResponse,
		Dial:                      func(address string) (net.Conn, error) { return c.dialBefore(address, time.Now().Add(dialTimeout)) },
	}
}

// client returns the client that holds the connection pool of a host.
func (c *Caller) client(host string) *fasthttp.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[host]
	if !ok {
		client = c.newClient()
		c.clients[host] = client
	}
	return client
}

// retire removes a host's client and closes its idle connections. Connections in use return to the retired
// client's pool when their call succeeds; it closes them after idleConnLifetime.
func (c *Caller) retire(host string, client *fasthttp.Client) {
	c.mu.Lock()
	if c.clients[host] == client {
		delete(c.clients, host)
	}
	c.mu.Unlock()
	client.CloseIdleConnections()
}

// dialBefore dials with the call's deadline, so that no call is sent after its deadline.
func (c *Caller) dialBefore(address string, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dialing %s", address), ErrNotSent)
	}
	return headchecker.NewConn(conn), nil
}

// singleCallClient returns a client for a single call. Its pool is empty, so it opens a new connection.
func (c *Caller) singleCallClient(address string, deadline time.Time) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		// The client's cleanup goroutine ends this long after the call.
		MaxIdleConnDuration: singleCallIdleLifetime,
		MaxResponseBodySize: c.maxResponse,
		Dial:                func(address string) (net.Conn, error) { return c.dialBefore(address, deadline) },
	}
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
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL)
	req.SetBody(r.Body)
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	host := string(req.URI().Host())
	client := c.client(host)
	do := client.DoDeadline
	if r.NewConn || ctx.Value(newConnKey{}) != nil {
		req.SetConnectionClose()
		do = c.singleCallClient(host, deadline).DoDeadline
	}
	if err := do(req, resp, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) {
			c.retire(host, client)
		}
		return Response{}, errors.Wrapf(err, "calling %s %s", r.Method, r.URL)
	}
	response := Response{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
		Header: map[string]string{"Content-Type": string(resp.Header.ContentType())},
	}
	for _, name := range append([]string{fasthttp.HeaderRetryAfter}, r.AnswerFields...) {
		if v := resp.Header.Peek(name); len(v) > 0 {
			response.Header[name] = string(v)
		}
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
