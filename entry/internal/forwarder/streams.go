package forwarder

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/bodyreader"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/dispatcher"
)

func (x *Exchange) lastEvent() string {
	if x.send.IsStream {
		return x.events.lastID
	}
	return ""
}

func (x *Exchange) relayEvents(ctx context.Context, idleDeadline time.Time) dispatcher.AttemptReported {
	if x.body == nil {
		x.body = bodyreader.NewBody(x.conn.R, x.resp.Header.ContentLength())
		x.buffer = make([]byte, readBufferBytes)
	}
	if err := x.begin(); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err)
	}
	idleTimeout := idleDeadline.Sub(bootclock.Now())
	if idleTimeout <= 0 {
		idleTimeout = time.Millisecond
	}
	until := bootclock.Now().Add(idleTimeout)
	for {
		n, err := x.read(until)
		until = bootclock.Now().Add(x.idleTimeout())
		if n > 0 {
			if r, ok := x.forward(ctx, x.buffer[:n]); !ok {
				return r
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finish(ctx)
		case err != nil:
			return x.stalledOrFailed(ctx, errors.Wrap(err, "reading a stream"))
		}
	}
}

// read reads from a stream until the given time.
func (x *Exchange) read(until time.Time) (int, error) {
	if err := x.conn.SetReadDeadline(bootclock.ToRuntimeTime(earlier(until, x.send.Deadline))); err != nil {
		return 0, errors.Wrap(err, "setting a deadline")
	}
	n, err := x.body.Read(x.buffer)
	if n > 0 {
		x.noteReceived()
	}
	return n, err
}

// streamFormat is what the header of an answer says of the stream that follows.
type streamFormat struct {
	status      int
	contentType string
}

func formatOf(h *fasthttp.ResponseHeader) streamFormat {
	contentType, _, _ := strings.Cut(string(h.ContentType()), ";")
	return streamFormat{status: h.StatusCode(), contentType: strings.ToLower(strings.TrimSpace(contentType))}
}

// mayContinue reports whether the answer may be a stream, or the continuation of the one that has begun. Any other answer is a failure
// whose text does not belong into that stream.
func (x *Exchange) mayContinue() bool {
	return !x.hasBegun || formatOf(&x.resp.Header) == x.begun
}

// begin forwards the header of the first target that streams. The headers of later targets are not forwarded.
func (x *Exchange) begin() error {
	if x.hasBegun {
		return nil
	}
	var h fasthttp.ResponseHeader
	x.resp.Header.CopyTo(&h)
	x.translator.WriteAnswer(&h)
	if err := x.caller.Begin(&h); err != nil {
		return errors.Wrap(err, "beginning a stream")
	}
	x.hasBegun, x.begun = true, formatOf(&x.resp.Header)
	return nil
}

// idleTimeout is how long a stream may receive nothing before it counts as stalled.
func (x *Exchange) idleTimeout() time.Duration { return x.send.IdleDeadline.Sub(x.sentAt) }

func (x *Exchange) forward(ctx context.Context, b []byte) (dispatcher.AttemptReported, bool) {
	complete, pending, faulty := x.events.split(x.pending, b)
	x.pending = pending
	if len(complete) > 0 {
		if r, ok := x.forwardEvents(ctx, complete); !ok {
			return r, false
		}
	}
	if faulty != nil {
		return x.fail(ctx, faulty), false
	}
	if len(x.pending) > maxEventBytes {
		return x.fail(ctx, errors.Wrap(errTooLarge, "reading an event")), false
	}
	if err := x.holdPending(); err != nil {
		return x.fail(ctx, errors.Wrap(err, "reading an event")), false
	}
	return dispatcher.AttemptReported{}, true
}

// holdPending counts the memory for the beginning of an event.
func (x *Exchange) holdPending() error {
	if len(x.pending) == x.heldPending {
		return nil
	}
	x.heldPending = len(x.pending)
	return x.answer.Hold(x.heldPending)
}

// forwardEvents forwards complete events. A stalled attempt is dropped, as this one continues the stream.
func (x *Exchange) forwardEvents(ctx context.Context, complete []byte) (dispatcher.AttemptReported, bool) {
	x.dropStalled()
	if err := x.caller.Events(complete); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err), false
	}
	now := bootclock.Now()
	if !x.forwardedAt.IsZero() {
		x.longestGap = max(x.longestGap, now.Sub(x.forwardedAt))
		x.recordGap(now)
	}
	x.forwardedAt = now
	return dispatcher.AttemptReported{}, true
}

// recordGap records the gap that ends now as one of the target, unless the stream has changed its chain in it: such a gap shows how long
// the change took, not how slow the target is.
func (x *Exchange) recordGap(now time.Time) {
	if x.forwardedAt.After(x.sentAt) && x.forwardedAt.After(x.changedAt) {
		x.idle.recordGap(x.send.Address, now.Sub(x.forwardedAt), now)
	}
}

// NoteRerouted notes that the target of the attempt continues the request along another chain from now on.
func (x *Exchange) NoteRerouted() { x.changedAt = bootclock.Now() }

// finish ends a complete stream.
func (x *Exchange) finish(ctx context.Context) dispatcher.AttemptReported {
	if len(x.pending) > 0 {
		return x.fail(ctx, errors.Wrap(io.ErrUnexpectedEOF, "reading an event"))
	}
	if !x.isFramed() && x.events.count == 0 {
		return x.fail(ctx, errors.Wrap(io.ErrUnexpectedEOF, "reading the first event"))
	}
	if !x.hasEnded() {
		return x.fail(ctx, errors.Wrap(io.ErrUnexpectedEOF, "after a silence"))
	}
	x.release()
	if err := x.caller.Finish(); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err)
	}
	return x.report(ctx, dispatcher.Delivered, nil)
}
