package forwarder_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/platform/answerfaker"
)

// TestBytesThatComeOneByOne writes a stream byte by byte, each after a pause longer than the
// patience: every pause is reported as one, and nothing is lost or taken for a broken answer.
func TestBytesThatComeOneByOne(t *testing.T) {
	const (
		shortPatience = 2 * time.Millisecond
		pause         = 4 * time.Millisecond
	)
	d := newDesk(t)
	d.patience = shortPatience
	raw := answerfaker.Stream(id, event(1), event(2)) + "0\r\n\r\n"
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	d.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for i := range len(raw) {
			time.Sleep(pause)
			if _, err := conn.Write([]byte{raw[i]}); err != nil {
				return
			}
		}
	}()
	got := d.attempt(context.Background(), l.Addr().String(), true)
	for got.Outcome == dispatcher.Silent {
		got = d.exchange.Await(context.Background(), bootclock.Now().Add(shortPatience))
	}
	d.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
	d.Assert(d.caller.received, qt.Equals, event(1)+event(2))
}
