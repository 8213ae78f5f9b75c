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

// smallBytes is the length up to which a body is read in one piece, and its memory is not counted.
const smallBytes = 8 << 10

// copies is the number of bytes held for each byte of a body: its pieces, the whole body, and what the call's user makes of it.
const copies = 3

// exchange sends a request over a connection of a host, and reads the answer.
func (c *Caller) exchange(client *fasthttp.HostClient, req *fasthttp.Request, fields []string, deadline time.Time) (Response, error) {
	pooled, err := client.AcquireConn(time.Until(deadline), req.ConnectionClose())
	if err != nil {
		return Response{}, err
	}
	conn := pooled.Conn()
	answer := c.cfg.Answers.Open(answerlimiter.Source(client.Addr), copies, func() { _ = conn.Close() })
	defer answer.Close()
	var h fasthttp.ResponseHeader
	r := client.AcquireReader(conn)
	body, err := c.send(client, conn, req, r, &h, answer, deadline)
	if limit := answer.Complete(); limit != nil {
		err = limit
	}
	isReusable := err == nil && !req.ConnectionClose() && !h.ConnectionClose() && h.ContentLength() >= chunkedLength && r.Buffered() == 0
	client.ReleaseReader(r)
	if isReusable && conn.SetDeadline(time.Time{}) == nil {
		client.ReleaseConn(pooled)
	} else {
		client.CloseConn(pooled)
	}
	if err != nil {
		return Response{}, markTimeout(err)
	}
	response := Response{Status: h.StatusCode(), Body: body, Header: map[string]string{fasthttp.HeaderContentType: string(h.ContentType())}}
	for _, name := range append([]string{fasthttp.HeaderRetryAfter}, fields...) {
		if v := h.Peek(name); len(v) > 0 {
			response.Header[name] = string(v)
		}
	}
	return response, nil
}

// markTimeout returns the library's error for a call that has timed out, and other errors as they are.
func markTimeout(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errors.WithSecondaryError(fasthttp.ErrTimeout, err)
	}
	return err
}

// send writes a request, and reads the header and the body of its answer. A server may answer and close the connection before it has read
// a long request.
func (c *Caller) send(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, r *bufio.Reader, h *fasthttp.ResponseHeader, answer *answerlimiter.Answer, deadline time.Time) ([]byte, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "setting a deadline")
	}
	w := client.AcquireWriter(conn)
	writeErr := req.Write(w)
	if writeErr == nil {
		writeErr = w.Flush()
	}
	client.ReleaseWriter(w)
	if err := readHeader(r, h); err != nil {
		return nil, errors.CombineErrors(writeErr, err)
	}
	return c.readBody(r, req, h, answer)
}

// readHeader reads the header of an answer after informational ones.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for {
		if _, err := r.Peek(1); err != nil {
			return errors.Wrap(err, "awaiting an answer")
		}
		if err := h.Read(r); err != nil {
			return errors.Wrap(err, "reading a header")
		}
		if headchecker.IsFinal(h.StatusCode()) {
			return nil
		}
	}
}

// chunkedLength is the content length of a body in chunks. That of a body that ends with its connection is less.
const chunkedLength = -1

// readBody reads the body of an answer. The fields after a body in chunks are left out.
func (c *Caller) readBody(r *bufio.Reader, req *fasthttp.Request, h *fasthttp.ResponseHeader, answer *answerlimiter.Answer) ([]byte, error) {
	status, length := h.StatusCode(), h.ContentLength()
	if req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil, nil
	}
	if length > c.cfg.MaxBytes {
		return nil, fasthttp.ErrBodyTooLarge
	}
	if length >= 0 && length <= smallBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(bodyreader.NewBody(r, length), body)
		return body, errors.Wrap(err, "reading a body")
	}
	body, err := bodyreader.ReadHeld(bodyreader.NewBody(r, length), c.cfg.MaxBytes, answer.Hold)
	if errors.Is(err, bodyreader.ErrTooLarge) {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body, errors.Wrap(err, "reading a body")
}
