package httpcaller_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

// TestResponseWithoutEndIsCutOff guards against a call that reads a response without end until its deadline, and holds it.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	c := qt.New(t)
	const (
		limit   = 64 << 10
		timeout = 5 * time.Second
	)
	s := &fasthttp.Server{Handler: func(r *fasthttp.RequestCtx) {
		if string(r.Path()) == "/short" {
			r.SetBodyString(strings.Repeat("x", limit))
			return
		}
		r.SetBodyStreamWriter(func(w *bufio.Writer) {
			var err error
			for err == nil {
				_, err = w.WriteString("0123456789")
			}
		})
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = l.Close() }()
	caller := httpcaller.NewCallerWith(httpcaller.Config{Answers: answerlimiter.NewDefault(), MaxBytes: limit})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, isNewConn := range []bool{false, true} {
		began := time.Now()
		_, err = caller.Do(ctx, httpcaller.Request{Method: "GET", URL: "http://" + l.Addr().String() + "/endless", NewConn: isNewConn})
		c.Assert(err, qt.ErrorIs, fasthttp.ErrBodyTooLarge)
		c.Assert(time.Since(began) < timeout/5, qt.IsTrue)
		response, err := caller.Do(ctx, httpcaller.Request{Method: "GET", URL: "http://" + l.Addr().String() + "/short", NewConn: isNewConn})
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body, qt.HasLen, limit)
	}
}
