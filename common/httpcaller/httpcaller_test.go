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

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

const (
	pooledConns = 4
	callTimeout = 200 * time.Millisecond
)

// TestTimeoutRetiresPooledConnections pools connections that then stop answering: one call times
// out, and the next one must use a new connection instead of another one from the pool.
func TestTimeoutRetiresPooledConnections(t *testing.T) {
	c := qt.New(t)
	var stalledUpTo atomic.Uint64
	var newestConn atomic.Uint64
	release := make(chan struct{})
	end := make(chan struct{})
	s := &fasthttp.Server{Handler: func(r *fasthttp.RequestCtx) {
		newestConn.Store(max(newestConn.Load(), r.ConnID()))
		switch {
		case string(r.Path()) == "/together":
			<-release
		case r.ConnID() <= stalledUpTo.Load():
			<-end
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = l.Close() }()
	defer close(end)
	url := "http://" + l.Addr().String()
	caller := httpcaller.NewCaller(answerlimiter.NewDefault())
	call := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := caller.Do(ctx, httpcaller.Request{Method: "POST", URL: url + path})
		return err
	}
	var wg sync.WaitGroup
	for range pooledConns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Check(call("/together", 5*time.Second), qt.IsNil)
		}()
	}
	time.Sleep(callTimeout)
	close(release)
	wg.Wait()
	stalledUpTo.Store(newestConn.Load())
	c.Assert(call("/", callTimeout), qt.ErrorIs, fasthttp.ErrTimeout)
	c.Assert(call("/", 5*time.Second), qt.IsNil)
}
