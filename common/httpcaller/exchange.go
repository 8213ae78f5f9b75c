package httpcaller

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/bodyreader"
	"fuchsiabridge.example/common/headchecker"
)

const (
	// copies is the number of bytes held for each byte of a body: its pieces, the whole body, and what the call's user makes of it.
	copies = 3
	// smallBytes is the length up to which a body is read in one piece, and its memory is not counted.
	smallBytes = 8 << 10
)

// exchange is a request on a connection, and its answer.
type exchange struct {
	client   *fasthttp.HostClient
	conn     *slowConn
	r        *bufio.Reader
	request  *fasthttp.Request
	answer   *answerlimiter.Answer
	maxBytes int

	// isWritten says that the request was written completely.
	isWritten bool
	header    fasthttp.ResponseHeader
	body      []byte
}

// exchange sends a request over a connection of a host, and reads the answer. Its connection is used again if nothing is left on it.
func (c *Caller) exchange(client *fasthttp.HostClient, request *fasthttp.Request, call Request, deadline time.Time) (Response, error) {
	pooled, err := client.AcquireConn(time.Until(deadline), request.ConnectionClose())
	if err != nil {
		return Response{}, err
	}
	conn := pooled.Conn()
	answer := c.cfg.Answers.Open(answerlimiter.Source(client.Addr), copies, func() { _ = conn.Close() })
	defer answer.Close()
	slow := &slowConn{Conn: conn}
	x := &exchange{client: client, conn: slow, r: client.AcquireReader(slow), request: request, answer: answer, maxBytes: c.cfg.MaxBytes}
	err = x.run(call, deadline)
	// From here on the answer is not given up, so that its connection is not closed while another call uses it.
	if limit := answer.Complete(); limit != nil {
		err = limit
	}
	isReusable := err == nil && x.isReusable()
	client.ReleaseReader(x.r)
	if isReusable && conn.SetDeadline(time.Time{}) == nil {
		client.ReleaseConn(pooled)
	} else {
		client.CloseConn(pooled)
	}
	if err != nil {
		return Response{}, markTimeout(err)
	}
	return x.response(call.AnswerFields), nil
}

// markTimeout returns the library's error for a call that has timed out, and other errors as they are.
func markTimeout(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errors.WithSecondaryError(fasthttp.ErrTimeout, err)
	}
	return err
}

// run writes the request, and reads the answer. A server may answer and close the connection before it has read a long request.
func (x *exchange) run(call Request, deadline time.Time) error {
	if err := x.conn.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "setting a deadline")
	}
	writeErr := x.write()
	x.isWritten = writeErr == nil
	if err := headchecker.Read(x.r, &x.header); err != nil {
		return errors.CombineErrors(writeErr, err)
	}
	if call.Began != nil {
		call.Began()
	}
	x.conn.bodyDeadline = call.BodyDeadline
	return errors.Wrap(x.readBody(), "reading a body")
}

func (x *exchange) write() error {
	w := x.client.AcquireWriter(x.conn)
	defer x.client.ReleaseWriter(w)
	if err := x.request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readBody reads the body of the answer. The fields after a body in chunks are left out.
func (x *exchange) readBody() error {
	if !bodyreader.HasBody(x.request.Header.IsHead(), x.header.StatusCode()) {
		return nil
	}
	length := x.header.ContentLength()
	if length > x.maxBytes {
		return fasthttp.ErrBodyTooLarge
	}
	body := bodyreader.NewBody(x.r, length)
	var err error
	if length >= 0 && length <= smallBytes {
		x.body = make([]byte, length)
		_, err = io.ReadFull(body, x.body)
		return err
	}
	x.body, err = bodyreader.ReadHeld(body, x.maxBytes, x.answer.Hold)
	if errors.Is(err, bodyreader.ErrTooLarge) {
		return fasthttp.ErrBodyTooLarge
	}
	return err
}

// isReusable reports whether the connection can carry another request after the answer.
func (x *exchange) isReusable() bool {
	isFramed := bodyreader.IsFramed(x.header.ContentLength())
	return x.isWritten && isFramed && !x.request.ConnectionClose() && !x.header.ConnectionClose() && x.r.Buffered() == 0
}

func (x *exchange) response(fields []string) Response {
	response := Response{
		Status: x.header.StatusCode(), Body: x.body,
		Header: map[string]string{fasthttp.HeaderContentType: string(x.header.ContentType())},
	}
	for _, name := range append([]string{fasthttp.HeaderRetryAfter}, fields...) {
		if v := x.header.Peek(name); len(v) > 0 {
			response.Header[name] = string(v)
		}
	}
	return response
}

// slowConn is a connection on which a body may take longer than the call's deadline, as long as it arrives.
type slowConn struct {
	net.Conn
	// bodyDeadline is until when the body may arrive; it is zero before the body, or if the call's deadline counts.
	bodyDeadline time.Time
}

// Read reads a part of the answer.
func (c *slowConn) Read(b []byte) (int, error) {
	if !c.bodyDeadline.IsZero() {
		deadline := time.Now().Add(stallTimeout)
		if deadline.After(c.bodyDeadline) {
			deadline = c.bodyDeadline
		}
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, errors.Wrap(err, "setting a deadline")
		}
	}
	return c.Conn.Read(b)
}
