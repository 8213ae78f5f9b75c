package httpcaller_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/httpcaller"
)

const (
	pooled      = 4
	callTimeout = 200 * time.Millisecond
)

// TestSilentConnectionsAreUsedOnce pools connections that then go silent: one call is lost
// to them, and the next goes out on a new connection.
func TestSilentConnectionsAreUsedOnce(t *testing.T) {
	c := qt.New(t)
	var silentUpTo atomic.Uint64
	var newest atomic.Uint64
	together := make(chan struct{})
	end := make(chan struct{})
	s := &fasthttp.Server{Handler: func(r *fasthttp.RequestCtx) {
		newest.Store(max(newest.Load(), r.ConnID()))
		switch {
		case string(r.Path()) == "/together":
			<-together
		case r.ConnID() <= silentUpTo.Load():
			<-end
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = l.Close() }()
	defer close(end)
	url := "http://" + l.Addr().String()
	caller := httpcaller.NewCaller()
	call := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := caller.Do(ctx, httpcaller.Request{Method: "POST", URL: url + path})
		return err
	}
	var wg sync.WaitGroup
	for range pooled {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Check(call("/together", 5*time.Second), qt.IsNil)
		}()
	}
	time.Sleep(callTimeout)
	close(together)
	wg.Wait()
	silentUpTo.Store(newest.Load())
	c.Assert(call("/", callTimeout), qt.ErrorIs, fasthttp.ErrTimeout)
	c.Assert(call("/", 5*time.Second), qt.IsNil)
}
