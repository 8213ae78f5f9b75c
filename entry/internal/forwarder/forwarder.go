// Package forwarder sends a request to a target and hands the answer to the caller.
package forwarder

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/platform/translator"
)

const (
	// maxAnswerBytes bounds an answer that is read whole before it is handed on.
	maxAnswerBytes = 16 << 20
	// headerTime is how long the rest of a header may take after its first byte.
	headerTime = time.Second
	readBytes  = 8192
	// idlePart is the part of a target's idle timeout within which a connection is used again.
	idlePart = 0.7
)

// errMismatch says that an answer belongs to another request.
var errMismatch = errors.New("answer of another request")

// Caller is the caller's side of a request.
type Caller interface {
	// Header returns the request's header, to be copied, and Body its body.
	Header() *fasthttp.RequestHeader
	Body() []byte
	// Answer writes a whole answer.
	Answer(h *fasthttp.ResponseHeader, body []byte) error
	// Begin writes the header of a stream, Events hands on whole events, Finish marks the end.
	Begin(h *fasthttp.ResponseHeader) error
	Events(whole []byte) error
	Finish() error
}

// attempt is one send of a request and what came of it so far.
type attempt struct {
	send    dispatcher.Send
	sentAt  time.Time
	first   time.Duration
	conn    *connector.Conn
	stop    func() bool
	resp    *fasthttp.Response
	hasHead bool
	body    io.Reader
	buffer  []byte
	// pending is the begin of an event of which the rest has not come yet.
	pending []byte
}

// drop closes the connection, so that the target stops its work.
func (a *attempt) drop() {
	if a.conn == nil {
		return
	}
	a.stop()
	a.conn.Drop()
	a.conn = nil
}

// Exchange is one request on its way through attempts.
type Exchange struct {
	caller     Caller
	request    translator.Request
	translator translator.Translator
	pool       *connector.Connector
	witness    *Witness

	attempt
	// former is a silent attempt that is kept until a later one has handed on something.
	former *attempt

	// hasBegun says that the caller has the header of a stream.
	hasBegun bool
	events   eventCutter
	// handedAt is when the caller was last handed events, longest the longest pause between them.
	handedAt time.Time
	longest  time.Duration
}

// NewExchange returns an exchange for a caller's request.
func NewExchange(caller Caller, r translator.Request, pool *connector.Connector, w *Witness) *Exchange {
	x := &Exchange{caller: caller, request: r, pool: pool, witness: w}
	x.events.last = r.LastEvent
	return x
}

// HasBegun reports whether the caller has seen a part of the answer.
func (x *Exchange) HasBegun() bool { return x.hasBegun }

// Attempt sends the request and waits for what comes of it.
func (x *Exchange) Attempt(ctx context.Context, s dispatcher.Send) dispatcher.Reported {
	if s.KeepsSilent {
		x.keepFormer()
	}
	x.drop()
	x.attempt = attempt{send: s, sentAt: bootclock.Now()}
	conn, err := x.pool.Get(ctx, s.Address, s.IsFresh)
	if err != nil {
		return x.report(ctx, dispatcher.NotSent, err)
	}
	x.conn = conn
	x.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if n, err := x.write(); err != nil {
		x.drop()
		if n == 0 {
			return x.report(ctx, dispatcher.NotSent, err)
		}
		return x.report(ctx, dispatcher.Broken, err)
	}
	return x.Await(ctx, s.Patience)
}

// write sends the request; the number tells whether any byte can have left.
func (x *Exchange) write() (int, error) {
	if err := x.conn.SetWriteDeadline(bootclock.Local(x.send.Deadline)); err != nil {
		return 0, errors.Wrap(err, "setting a deadline")
	}
	var h fasthttp.RequestHeader
	x.caller.Header().CopyTo(&h)
	h.DisableNormalizing()
	x.translator.WriteRequest(&h, translator.Send{
		Target: x.send.Target, Account: x.send.Account, Left: x.send.Deadline.Sub(x.sentAt),
		LastEvent: x.lastEvent(), Chain: x.send.Chain,
	})
	body := x.caller.Body()
	if len(body) > 0 || h.IsPost() || h.IsPut() {
		h.SetContentLength(len(body))
	}
	if _, err := h.WriteTo(x.conn.W); err != nil {
		return 1, errors.Wrap(err, "writing a header")
	}
	if _, err := x.conn.W.Write(body); err != nil {
		return 1, errors.Wrap(err, "writing a body")
	}
	before := x.conn.W.Buffered()
	err := x.conn.W.Flush()
	return before - x.conn.W.Buffered(), errors.Wrap(err, "writing a request")
}

func (x *Exchange) lastEvent() string {
	if x.send.IsStream {
		return x.events.last
	}
	return ""
}

// Await goes on until the attempt ends or is silent until patience.
func (x *Exchange) Await(ctx context.Context, patience time.Time) dispatcher.Reported {
	if !x.hasHead {
		if r, ok := x.awaitHead(ctx, patience); !ok {
			return r
		}
	}
	return x.relay(ctx, patience)
}

// peek waits for a byte until patience or the deadline; its report says why none came.
func (x *Exchange) peek(ctx context.Context, patience time.Time) (dispatcher.Reported, bool) {
	if err := x.conn.SetReadDeadline(bootclock.Local(earlier(patience, x.send.Deadline))); err != nil {
		return x.fail(ctx, err), false
	}
	if ctx.Err() != nil {
		return x.fail(ctx, ctx.Err()), false
	}
	_, err := x.conn.R.Peek(1)
	if err == nil {
		x.witness.hear(x.send.Address, bootclock.Now())
		return dispatcher.Reported{}, true
	}
	return x.paused(ctx, err), false
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (x *Exchange) awaitHead(ctx context.Context, patience time.Time) (dispatcher.Reported, bool) {
	if r, ok := x.peek(ctx, patience); !ok {
		return r, false
	}
	if x.first == 0 {
		x.first = bootclock.Now().Sub(x.sentAt)
	}
	if err := x.conn.SetReadDeadline(bootclock.Local(earlier(x.send.Deadline, bootclock.Now().Add(headerTime)))); err != nil {
		return x.fail(ctx, err), false
	}
	x.resp = &fasthttp.Response{}
	if err := x.resp.Header.Read(x.conn.R); err != nil {
		return x.fail(ctx, errors.Wrap(err, "reading a header")), false
	}
	x.hasHead = true
	return dispatcher.Reported{}, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// relay hands the answer on: events one by one, all else whole.
func (x *Exchange) relay(ctx context.Context, patience time.Time) dispatcher.Reported {
	answer := x.translator.ReadAnswer(&x.resp.Header)
	status := x.resp.StatusCode()
	// Only a refusal may lack an id: a target that did not read the request knows none.
	if answer.ID != x.request.ID && (answer.ID != "" || !answer.IsNotRun) {
		return x.fail(ctx, errMismatch)
	}
	if x.send.IsStream && status/100 == 2 && answer.IsSealed {
		return x.relayEvents(ctx, patience)
	}
	if err := x.conn.SetReadDeadline(bootclock.Local(x.send.Deadline)); err != nil {
		return x.fail(ctx, err)
	}
	x.resp.SkipBody = x.caller.Header().IsHead()
	if err := x.resp.ReadBody(x.conn.R, maxAnswerBytes); err != nil {
		return x.fail(ctx, errors.Wrap(err, "reading a body"))
	}
	x.keep()
	if answer.IsNotRun {
		r := x.report(ctx, dispatcher.NotRun, nil)
		r.Fault = answer.Fault
		return r
	}
	if !answer.IsSealed {
		return x.report(ctx, dispatcher.Broken, errors.New("answer without a seal"))
	}
	if status >= fasthttp.StatusInternalServerError || x.hasBegun {
		return x.report(ctx, dispatcher.Failed, nil)
	}
	return x.Deliver(ctx)
}

// Deliver hands on the answer that was read, also a failure that was held back.
func (x *Exchange) Deliver(ctx context.Context) dispatcher.Reported {
	x.translator.WriteAnswer(&x.resp.Header)
	if err := x.caller.Answer(&x.resp.Header, x.resp.Body()); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err)
	}
	return x.report(ctx, dispatcher.Delivered, nil)
}

func (x *Exchange) relayEvents(ctx context.Context, patience time.Time) dispatcher.Reported {
	if x.body == nil {
		x.body = newBody(x.conn.R, x.resp.Header.ContentLength())
		x.buffer = make([]byte, readBytes)
	}
	if err := x.begin(); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err)
	}
	gap := patience.Sub(bootclock.Now())
	if gap <= 0 {
		gap = time.Millisecond
	}
	for {
		n, err := x.read(bootclock.Now().Add(max(gap, x.gap())))
		if n > 0 {
			if r, ok := x.handOn(ctx, x.buffer[:n]); !ok {
				return r
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finish(ctx)
		case err != nil:
			return x.paused(ctx, errors.Wrap(err, "reading a stream"))
		}
	}
}

// read reads a part of a stream until an instant.
func (x *Exchange) read(until time.Time) (int, error) {
	if err := x.conn.SetReadDeadline(bootclock.Local(earlier(until, x.send.Deadline))); err != nil {
		return 0, errors.Wrap(err, "setting a deadline")
	}
	n, err := x.body.Read(x.buffer)
	if n > 0 {
		x.witness.hear(x.send.Address, bootclock.Now())
	}
	return n, err
}

// paused tells a silence, after which the attempt may go on, from its end.
func (x *Exchange) paused(ctx context.Context, err error) dispatcher.Reported {
	if isTimeout(err) && ctx.Err() == nil && bootclock.Now().Before(x.send.Deadline) {
		return x.report(ctx, dispatcher.Silent, err)
	}
	return x.fail(ctx, err)
}

// begin hands on the header of the first target that streams; a later one's stays here.
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
	x.hasBegun = true
	return nil
}

// gap is the patience between two events.
func (x *Exchange) gap() time.Duration { return x.send.Patience.Sub(x.sentAt) }

func (x *Exchange) handOn(ctx context.Context, b []byte) (dispatcher.Reported, bool) {
	last := x.events.last
	var whole []byte
	whole, x.pending = x.events.take(append(x.pending, b...))
	if len(whole) == 0 {
		return dispatcher.Reported{}, true
	}
	if id, ok := firstID(whole); ok && last != "" && !follows(id, last) {
		x.events.last = last
		return x.fail(ctx, errors.Newf("event %s came after %s", id, last)), false
	}
	x.dropFormer()
	if err := x.caller.Events(whole); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err), false
	}
	now := bootclock.Now()
	if !x.handedAt.IsZero() {
		x.longest = max(x.longest, now.Sub(x.handedAt))
		x.witness.pace(x.send.Address, now.Sub(x.handedAt))
	}
	x.handedAt = now
	return dispatcher.Reported{}, true
}

// finish ends a stream that is complete.
func (x *Exchange) finish(ctx context.Context) dispatcher.Reported {
	if len(x.pending) > 0 {
		return x.fail(ctx, errors.New("the stream ends inside an event"))
	}
	x.keep()
	if err := x.caller.Finish(); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err)
	}
	return x.report(ctx, dispatcher.Delivered, nil)
}

// keep gives the connection back when it may carry another request.
func (x *Exchange) keep() {
	if x.conn == nil || !x.stop() {
		x.drop()
		return
	}
	idle := connector.DefaultIdle
	if v := string(x.resp.Header.Peek("Keep-Alive")); v != "" {
		idle = keepAliveTime(v)
	}
	conn := x.conn
	x.conn = nil
	if x.resp.ConnectionClose() || x.resp.Header.ContentLength() < -1 || idle <= 0 {
		conn.Drop()
		return
	}
	x.pool.Put(conn, idle)
}

func keepAliveTime(v string) time.Duration {
	for field := range strings.SplitSeq(v, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(seconds); ok && err == nil {
			return time.Duration(idlePart * float64(n) * float64(time.Second))
		}
	}
	return connector.DefaultIdle
}

// Drop ends all attempts.
func (x *Exchange) Drop() {
	x.drop()
	x.dropFormer()
}

// keepFormer sets the attempt aside, so that it can be gone back to.
func (x *Exchange) keepFormer() {
	x.dropFormer()
	former := x.attempt
	x.former, x.attempt = &former, attempt{}
}

func (x *Exchange) dropFormer() {
	if x.former == nil {
		return
	}
	x.former.drop()
	x.former = nil
}

// GoBack ends the attempt and waits again for what comes of the one that was kept.
func (x *Exchange) GoBack(ctx context.Context, patience time.Time) dispatcher.Reported {
	if x.former != nil {
		x.drop()
		x.attempt, x.former = *x.former, nil
	}
	if x.conn == nil {
		return x.fail(ctx, errors.New("no attempt is left"))
	}
	return x.Await(ctx, patience)
}

// fail ends the attempt by the reason that goes before others: the caller left, the time is over.
func (x *Exchange) fail(ctx context.Context, err error) dispatcher.Reported {
	x.drop()
	switch {
	case ctx.Err() != nil:
		return x.report(ctx, dispatcher.CallerGone, err)
	case !bootclock.Now().Before(x.send.Deadline):
		return x.report(ctx, dispatcher.Expired, err)
	}
	return x.report(ctx, dispatcher.Broken, err)
}

func (x *Exchange) report(ctx context.Context, o dispatcher.Outcome, err error) dispatcher.Reported {
	r := dispatcher.Reported{Call: x.send.Call, Outcome: o, Events: x.events.count, FirstByte: x.first, LongestGap: x.longest}
	if o == dispatcher.Silent {
		r.ChainQuiet, r.ChainPace = x.witness.quiet(x.send.Address, x.sentAt, bootclock.Now())
	}
	if o == dispatcher.CallerGone {
		x.Drop()
	}
	if x.hasHead && x.resp != nil {
		r.Status = x.resp.StatusCode()
	}
	if ctx.Err() != nil {
		r.Outcome = dispatcher.CallerGone
	}
	if err != nil {
		r.Reason = fmt.Sprint(err)
	}
	return r
}
