// Package receiver reads requests from callers' connections and detects when a caller disconnects.
package receiver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/bodyreader"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/entry/internal/callerguard"
)

const (
	bufferBytes = 8192
	// nodeBufferBytes is the size of the buffer for requests of other nodes, which add to what their callers have sent.
	nodeBufferBytes = 2 * bufferBytes
	// writeTimeout is how long a caller may take to read a part of an answer.
	writeTimeout = 20 * time.Second

	// The defaults apply where the configuration sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultMaxBodyBytes  = 8 << 20
	acceptBackoff        = 5 * time.Millisecond

	// chunkedLength is the content length of a body in chunks.
	chunkedLength = -1
)

// Handler serves one request. ctx ends when the caller disconnects.
type Handler interface {
	Serve(ctx context.Context, c *Call)
	Limits() describer.Limits
}

// Admitter is implemented by handlers that bound what they take at once.
type Admitter interface {
	// Admit takes a request with a body of the given number of bytes, if there is room for it. leave ends it.
	Admit(bodyBytes int) (leave func(), ok bool)
}

// Receiver serves callers' connections.
type Receiver struct {
	handler   Handler
	readBytes int
	isLeaving atomic.Bool
	open      atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewReceiver returns a receiver for a handler.
func NewReceiver(h Handler) *Receiver {
	return &Receiver{handler: h, readBytes: bufferBytes, conns: map[*conn]struct{}{}}
}

// NewNodeReceiver returns a receiver for requests that other nodes hand over.
func NewNodeReceiver(h Handler) *Receiver {
	return &Receiver{handler: h, readBytes: nodeBufferBytes, conns: map[*conn]struct{}{}}
}

// Open returns the number of requests in progress.
func (r *Receiver) Open() int64 { return r.open.Load() }

// Leave makes all further answers ask the caller to close its connection.
func (r *Receiver) Leave() { r.isLeaving.Store(true) }

// Serve accepts connections until the listener closes.
func (r *Receiver) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			eventlogger.Error(err, eventlogger.CallerConnectionFailed, "doing", "accepting")
			time.Sleep(acceptBackoff)
			continue
		}
		go r.serve(ctx, c)
	}
}

// CloseIdle closes connections without a request in progress.
func (r *Receiver) CloseIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if !c.isBusy.Load() {
			c.drop()
		}
	}
}

// drop closes a connection. It does not matter if the caller has closed it already.
func (c *conn) drop() { _ = c.Close() }

type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	isBusy atomic.Bool
}

func (r *Receiver) serve(ctx context.Context, nc net.Conn) {
	c := &conn{Conn: nc, r: bufio.NewReaderSize(nc, r.readBytes), w: bufio.NewWriterSize(nc, bufferBytes)}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.drop()
	}()
	for r.serveOne(ctx, c) {
	}
}

// serveOne serves the next request and reports whether the connection stays open.
func (r *Receiver) serveOne(ctx context.Context, c *conn) bool {
	if !r.awaitRequest(c) {
		return false
	}
	c.isBusy.Store(true)
	r.open.Add(1)
	defer r.open.Add(-1)
	defer c.isBusy.Store(false)
	call := &Call{conn: c, receiver: r, leave: func() {}}
	defer func() { call.leave() }()
	if err := r.read(c, call); err != nil {
		r.reject(call, err)
		return false
	}
	callerguard.BeginServing(c.Conn)
	defer callerguard.EndRequest(c.Conn)
	served, cancel := context.WithCancel(ctx)
	stopWatch := c.watch(cancel)
	r.handler.Serve(served, call)
	cancel()
	stopWatch()
	return call.isComplete && !call.isLast
}

// awaitRequest waits for the first byte of a request until the idle timeout has passed. A timeout that is
// reconfigured during the wait takes effect when the old one ends.
func (r *Receiver) awaitRequest(c *conn) bool {
	began := time.Now()
	for {
		limit := r.handler.Limits().IdleTimeout
		if limit <= 0 {
			limit = defaultIdleTimeout
		}
		if c.SetReadDeadline(began.Add(limit)) != nil {
			return false
		}
		_, err := c.r.Peek(1)
		if err == nil {
			return true
		}
		var t net.Error
		if !errors.As(err, &t) || !t.Timeout() || time.Since(began) >= r.handler.Limits().IdleTimeout {
			return false
		}
	}
}

// errBadRequest marks a malformed request.
var errBadRequest = errors.New("malformed request")

func (r *Receiver) read(c *conn, call *Call) error {
	limits := r.handler.Limits()
	header, body := limits.HeaderTimeout, limits.BodyBytes
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	if body <= 0 {
		body = defaultMaxBodyBytes
	}
	if err := c.SetReadDeadline(time.Now().Add(header)); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	if err := call.request.Header.Read(c.r); err != nil {
		return errors.Wrap(err, "reading a header")
	}
	h := &call.request.Header
	if framings(h.RawHeaders()) > 1 {
		return errors.Wrap(errBadRequest, "more than one field frames the body")
	}
	if call.request.MayContinue() {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return errors.Wrap(err, "asking for a body")
		}
	}
	call.isLast = h.ConnectionClose()
	if !r.admit(call) {
		return call.skipBody(c.r)
	}
	return errors.Wrap(call.readBody(c.r, body), "reading a body")
}

// admit reports whether the handler takes the request.
func (r *Receiver) admit(call *Call) bool {
	a, ok := r.handler.(Admitter)
	if !ok {
		call.isAdmitted = true
		return true
	}
	leave, ok := a.Admit(max(0, call.request.Header.ContentLength()))
	if ok {
		call.leave, call.isAdmitted = leave, true
	}
	return ok
}

// skipBody reads over the body of a request that the handler does not take: the answer to unread bytes would be lost.
func (c *Call) skipBody(r *bufio.Reader) error {
	n := c.request.Header.ContentLength()
	if n == chunkedLength {
		return errors.Wrap(errBadRequest, "a body in chunks was not taken")
	}
	_, err := io.CopyN(io.Discard, r, int64(max(0, n)))
	return errors.Wrap(err, "reading over a body")
}

// readBody reads the body, which may have the given number of bytes at most. The library takes the memory for all of an announced body
// before it arrives, so it reads small ones only. The fields after a body in chunks are left out: the library would take them for fields
// of the header.
func (c *Call) readBody(r *bufio.Reader, limit int) error {
	h := &c.request.Header
	n := h.ContentLength()
	if n > limit {
		return fasthttp.ErrBodyTooLarge
	}
	if n != chunkedLength && n <= bufferBytes {
		return c.request.ContinueReadBody(r, limit, false)
	}
	body, err := bodyreader.ReadAll(bodyreader.NewBody(r, n), limit)
	if errors.Is(err, bodyreader.ErrTooLarge) {
		return fasthttp.ErrBodyTooLarge
	}
	if err != nil {
		return err
	}
	c.request.SetBodyRaw(body)
	h.SetContentLength(len(body))
	return nil
}

// framings counts the header fields that determine where the body ends. The library uses only one of them,
// and which one the caller means is unknown.
func framings(raw []byte) int {
	n := 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
			n++
		}
	}
	return n
}

// reject answers a request that could not be read. A caller that has merely disconnected gets no answer.
func (r *Receiver) reject(call *Call, err error) {
	var t net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		call.reject(fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &t) && t.Timeout():
		call.reject(fasthttp.StatusRequestTimeout)
	default:
		call.reject(fasthttp.StatusBadRequest)
	}
	eventlogger.Error(err, eventlogger.CallerConnectionFailed, "remote", call.conn.RemoteAddr().String())
}

// watch calls disconnected when the caller closes its connection. The returned function stops the watch. A
// pipelined request stays in the buffer.
func (c *conn) watch(disconnected func()) func() {
	done := make(chan struct{})
	if c.SetReadDeadline(time.Time{}) != nil {
		disconnected()
	}
	go func() {
		defer close(done)
		if _, err := c.r.Peek(1); err != nil {
			disconnected()
		}
	}()
	return func() {
		// An expired deadline unblocks the reader. The next request sets its own deadline.
		if c.SetReadDeadline(time.Unix(1, 0)) != nil {
			c.drop()
		}
		<-done
	}
}

// Call is one request of a caller, and its answer.
type Call struct {
	conn     *conn
	receiver *Receiver
	request  fasthttp.Request
	chunks   io.WriteCloser
	// isLast reports that the connection closes after the answer, isComplete that the answer was written completely.
	isLast     bool
	isComplete bool
	// isAdmitted reports that the handler takes the request; leave ends that.
	isAdmitted bool
	leave      func()
}

// IsAdmitted reports whether the handler takes the request. Otherwise its body was not kept.
func (c *Call) IsAdmitted() bool { return c.isAdmitted }

// Header returns the request's header.
func (c *Call) Header() *fasthttp.RequestHeader { return &c.request.Header }

// Body returns the request's body.
func (c *Call) Body() []byte { return c.request.Body() }

// Answer writes a complete answer. One to HEAD keeps the length that the header says, if it says one and there is no body.
func (c *Call) Answer(h *fasthttp.ResponseHeader, body []byte) error {
	isHead := c.request.Header.IsHead()
	if !isHead || len(body) > 0 || h.ContentLength() < 0 {
		h.SetContentLength(len(body))
	}
	if err := c.writeHeader(h); err != nil {
		return err
	}
	if !isHead {
		if _, err := c.conn.w.Write(body); err != nil {
			return errors.Wrap(err, "writing a body")
		}
	}
	return c.complete()
}

// Begin writes the header of a stream.
func (c *Call) Begin(h *fasthttp.ResponseHeader) error {
	h.SetContentLength(-1)
	if err := c.writeHeader(h); err != nil {
		return err
	}
	c.chunks = httputil.NewChunkedWriter(c.conn.w)
	return errors.Wrap(c.conn.w.Flush(), "writing a header")
}

// Events writes complete events and flushes them.
func (c *Call) Events(events []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	if _, err := c.chunks.Write(events); err != nil {
		return errors.Wrap(err, "writing events")
	}
	return errors.Wrap(c.conn.w.Flush(), "writing events")
}

// Finish ends a stream.
func (c *Call) Finish() error {
	if err := c.chunks.Close(); err != nil {
		return errors.Wrap(err, "ending a stream")
	}
	if _, err := c.conn.w.WriteString("\r\n"); err != nil {
		return errors.Wrap(err, "ending a stream")
	}
	return c.complete()
}

func (c *Call) writeHeader(h *fasthttp.ResponseHeader) error {
	if c.receiver.isLeaving.Load() {
		c.isLast = true
	}
	if c.isLast {
		h.SetConnectionClose()
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	_, err := c.conn.w.Write(encode(h))
	return errors.Wrap(err, "writing a header")
}

// encode returns a header as it is sent. The library sets the present date, also where the target has set one (RFC 9110, 6.6.1).
func encode(h *fasthttp.ResponseHeader) []byte {
	h.SetNoDefaultContentType(true)
	raw := h.AppendBytes(nil)
	date := h.Peek(fasthttp.HeaderDate)
	before, rest, ok := bytes.Cut(raw, []byte("\r\nDate: "))
	if len(date) == 0 || !ok {
		return raw
	}
	_, after, _ := bytes.Cut(rest, []byte("\r\n"))
	return slices.Concat(before, []byte("\r\nDate: "), date, []byte("\r\n"), after)
}

// complete flushes the answer and marks it as complete.
func (c *Call) complete() error {
	if err := c.conn.w.Flush(); err != nil {
		return errors.Wrap(err, "writing an answer")
	}
	c.isComplete = true
	return nil
}

func (c *Call) reject(status int) {
	var h fasthttp.ResponseHeader
	h.SetStatusCode(status)
	c.isLast = true
	if err := c.Answer(&h, nil); err != nil {
		eventlogger.Error(err, eventlogger.CallerConnectionFailed, "doing", "rejecting")
	}
}
