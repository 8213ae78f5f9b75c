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
	f := newFixture(t)
	f.idleTimeout = shortTimeout
	raw := answerfaker.Stream(id, event(1), event(2)) + "0\r\n\r\n"
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
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
	got := f.attempt(context.Background(), l.Addr().String(), true)
	for got.Outcome == dispatcher.Stalled {
		got = f.exchange.Await(context.Background(), bootclock.Now().Add(shortTimeout))
	}
	f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
	f.Assert(f.caller.received, qt.Equals, event(1)+event(2))
}
