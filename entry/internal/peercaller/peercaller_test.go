package peercaller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
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
	go peercaller.NewCaller(map[string]peercaller.Handler{"wait": wait}, nil, answerlimiter.NewDefault()).Serve(ctx, l)
	caller := peercaller.NewCaller(nil, nil, answerlimiter.NewDefault())
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

// TestAnswerOfPeerWithoutEndIsCutOff guards against a node that runs out of memory by the answers of another node that do not end.
func TestAnswerOfPeerWithoutEndIsCutOff(t *testing.T) {
	const limit = 1 << 20
	filler := bytes.Repeat([]byte("x"), 4096)
	for name, head := range map[string]string{"message": "Content-Length: 999999999\r\n\r\n\"", "line": "Content-"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			written := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				n, err := conn.Write([]byte(head))
				for total := n; ; total += n {
					if err != nil {
						written <- total
						return
					}
					n, err = conn.Write(filler)
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			answers := answerlimiter.NewLimiter(limit)
			var out any
			c.Check(peercaller.NewCaller(nil, nil, answers).Call(ctx, l.Addr().String(), "get", nil, &out), qt.IsNotNil)
			c.Check(ctx.Err(), qt.IsNil)
			<-written
			held, dropped := answers.Held()
			c.Check(held, qt.Equals, int64(0))
			c.Check(dropped, qt.Equals, int64(1))
		})
	}
}
