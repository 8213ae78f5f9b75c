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

// TestStreamReceivedByteByByte sends a stream byte by byte, with gaps longer than the idle timeout. Each gap must
// be reported as a stall, and nothing may be lost or taken for a broken answer.
func TestStreamReceivedByteByByte(t *testing.T) {
	const (
		shortTimeout = 2 * time.Millisecond
		gap          = 4 * time.Millisecond
	)
	d := newFixture(t)
	d.idleTimeout = shortTimeout
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
			time.Sleep(gap)
			if _, err := conn.Write([]byte{raw[i]}); err != nil {
				return
			}
		}
	}()
	got := d.attempt(context.Background(), l.Addr().String(), true)
	for got.Outcome == dispatcher.Silent {
		got = d.exchange.Await(context.Background(), bootclock.Now().Add(shortTimeout))
	}
	d.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
	d.Assert(d.caller.received, qt.Equals, event(1)+event(2))
}
