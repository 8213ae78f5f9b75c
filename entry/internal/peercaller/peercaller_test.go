package peercaller_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/peercaller"
)

const callTimeout = 5 * time.Second

// TestRefusedCallKeepsOthersRunning guards against losing the updates of a peer of an earlier version, because a call
// that it does not know closes the connection that a waiting call uses.
func TestRefusedCallKeepsOthersRunning(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	began, proceed := make(chan struct{}), make(chan struct{})
	wait := func(context.Context, json.RawMessage) (any, error) {
		close(began)
		<-proceed
		return 1, nil
	}
	go peercaller.NewCaller(map[string]peercaller.Handler{"wait": wait}, nil).Serve(ctx, l)
	caller := peercaller.NewCaller(nil, nil)
	waited := make(chan error, 1)
	go func() {
		var out int
		waited <- caller.Call(ctx, l.Addr().String(), "wait", nil, &out)
	}()
	<-began
	var out int
	err = caller.Call(ctx, l.Addr().String(), "newer", nil, &out)
	c.Assert(errors.Is(err, peercaller.ErrNoMethod), qt.IsTrue, qt.Commentf("%v", err))
	close(proceed)
	c.Assert(<-waited, qt.IsNil)
}
