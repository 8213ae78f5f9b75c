package httpcaller_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

// TestLargeResponseOnThinLinkArrives guards against a configuration that a node never gets (CONFIG), because its transfer takes longer than
// the store may take until it answers, and against one that is waited for though nothing of it arrives any more.
func TestLargeResponseOnThinLinkArrives(t *testing.T) {
	const headerTime, pieces = 150 * time.Millisecond, 20
	for _, stops := range []bool{false, true} {
		c := qt.New(t)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		release := make(chan struct{})
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for i := range pieces {
				if stops && i == pieces/2 {
					<-release
					return
				}
				_, _ = w.Write([]byte(strings.Repeat("x", 1<<10)))
				w.(http.Flusher).Flush()
				time.Sleep(headerTime / 5)
			}
		})}
		go func() { _ = server.Serve(l) }()
		ctx, cancel := context.WithTimeout(t.Context(), headerTime)
		hasBegun := false
		r, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(ctx, httpcaller.Request{
			Method: http.MethodGet, URL: "http://" + l.Addr().String() + "/", BodyDeadline: time.Now().Add(time.Minute),
			Began: func() { hasBegun = true },
		})
		cancel()
		c.Check(hasBegun, qt.IsTrue)
		c.Check(err != nil, qt.Equals, stops, qt.Commentf("%v", err))
		if !stops {
			c.Check(r.Body, qt.HasLen, pieces<<10)
		}
		close(release)
		_ = server.Close()
	}
}
