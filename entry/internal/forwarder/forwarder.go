// Package forwarder sends a request to a target and forwards the answer to the caller.
package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/bodyreader"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/headchecker"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/platform/translator"
)

const (
	// maxAnswerBytes limits an answer that is read completely before it is forwarded.
	maxAnswerBytes = 8 << 20
	// copies is the number of bytes held for each byte of an answer.
	copies = 1
	// headerTimeout is how long the rest of a header may take after its first byte.
	headerTimeout = time.Second
	// peekTimeout is how long is waited for data that a connection may have received.
	peekTimeout = time.Millisecond
	// maxEventBytes limits an event of a stream.
	maxEventBytes = 256 << 10
	// readBufferBytes is the size of the buffer for reading a body.
	readBufferBytes = 8192
	// idleFraction is the fraction of a target's idle timeout within which a connection is reused.
	idleFraction = 0.7
)

// errTooLarge is returned for an answer, or an event of a stream, that is larger than the limit.
var errTooLarge = errors.New("answer is too large")

// errMismatch is returned when an answer carries the id of another request, or none by which it would be known as the request's own.
var errMismatch = errors.New("answer is not known to be that of the request")

// AnswerHead is what the head of an answer says about the target that gave it.
type AnswerHead struct {
	Target identifier.TargetID
	Kind   limiter.AnswerKind
	Said   describer.Announcement
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Caller is the caller's side of a request.
type Caller interface {
	// Header returns the request's header, which must be copied, and Body its body.
	Header() *fasthttp.RequestHeader
	Body() []byte
	// Answer writes a complete answer.
	Answer(h *fasthttp.ResponseHeader, body []byte) error
	// Begin writes the header of a stream, Events forwards complete events, Finish ends the stream.
	Begin(h *fasthttp.ResponseHeader) error
	Events(complete []byte) error
	Finish() error
}

// attempt is one attempt at sending a request, and its state.
type attempt struct {
	send   dispatcher.Send
	sentAt time.Time
	// firstByte is the time from sentAt to the first byte of the answer, or zero if none has arrived.
	firstByte time.Duration
	conn      *connector.Conn
	// stopWatch stops watching for the caller's disconnect, and returns false if the caller has disconnected.
	stopWatch func() bool
	// receivedAt is when bytes last arrived.
	receivedAt time.Time
	// changedAt is when the target was last told to continue the request along another chain, or zero.
	changedAt time.Time
	resp      *fasthttp.Response
	hasHeader bool
	// result is what a delegate says of the request, nil until its answer was read.
	result *delegator.Result
	body   io.Reader
	buffer []byte
	// pending is the beginning of an incomplete event, heldPending the number of its bytes that count as held.
	pending     []byte
	heldPending int
	// answer is what the process holds of the answer, nil before there is a connection.
	answer *answerlimiter.Answer
}

// drop closes the connection, so that the target stops working on the request. The answer is no longer held.
func (a *attempt) drop() {
	if a.answer != nil {
		a.answer.Close()
	}
	if a.conn == nil {
		return
	}
	a.stopWatch()
	a.conn.Drop()
	a.conn = nil
}

// Pools are the pools of connections to targets and to other nodes.
type Pools struct {
	Targets *connector.Connector
	Nodes   *connector.Connector
}

// Exchange is one request and its attempts.
type Exchange struct {
	caller     Caller
	request    translator.Request
	translator translator.Translator
	pools      Pools
	idle       *IdleTracker
	// onAnswer is called with the head of each answer, as soon as it is read.
	onAnswer func(AnswerHead)

	answers *answerlimiter.Limiter

	// attempt is the current attempt.
	attempt
	// stalled is a stalled attempt that is kept until a later attempt has forwarded an event.
	stalled *attempt

	// hasBegun reports whether the header of a stream has been sent to the caller, and begun is what it says of the stream.
	hasBegun bool
	begun    streamFormat
	events   eventSplitter
	// forwardedAt is when events were last forwarded to the caller, longestGap the longest gap between two forwards.
	forwardedAt time.Time
	longestGap  time.Duration
}

// NewLimiter returns the limiter of the answers that are relayed, which also keep to the limit for all answers. Beyond the size of ordinary
// ones they hold no more than the largest.
func NewLimiter(all *answerlimiter.Limiter) *answerlimiter.Limiter {
	return all.Part(copies * maxAnswerBytes)
}

// NewExchange returns an exchange for a caller's request. The answers are those that are relayed.
func NewExchange(caller Caller, r translator.Request, pools Pools, idle *IdleTracker, answers *answerlimiter.Limiter, onAnswer func(AnswerHead)) *Exchange {
	x := &Exchange{caller: caller, request: r, pools: pools, idle: idle, answers: answers, onAnswer: onAnswer}
	x.events.lastID = r.LastEvent
	return x
}

// HasBegun reports whether a part of the answer has been sent to the caller.
func (x *Exchange) HasBegun() bool { return x.hasBegun }

// Attempt sends the request and waits for the result.
func (x *Exchange) Attempt(ctx context.Context, s dispatcher.Send) dispatcher.AttemptReported {
	if s.KeepsStalled {
		x.keepStalled()
	}
	x.drop()
	x.attempt = attempt{send: s, sentAt: bootclock.Now()}
	conn, err := x.pool().Get(ctx, s.Address, s.NewConn)
	if err != nil {
		return x.report(ctx, dispatcher.NotSent, err)
	}
	x.conn = conn
	x.answer = x.answers.Open(answerlimiter.Source(s.Address), copies, conn.Drop)
	x.stopWatch = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if n, err := x.write(); err != nil {
		x.drop()
		if n == 0 {
			return x.report(ctx, dispatcher.NotSent, err)
		}
		return x.report(ctx, dispatcher.Broken, err)
	}
	return x.Await(ctx, s.IdleDeadline)
}

// write sends the request. On an error, the returned number is zero only if the target cannot have received the
// complete request: nothing was sent, or nothing of the last part of a request that exceeds the write buffer.
func (x *Exchange) write() (int, error) {
	if err := x.conn.SetWriteDeadline(bootclock.ToRuntimeTime(x.send.Deadline)); err != nil {
		return 0, errors.Wrap(err, "setting a deadline")
	}
	var h fasthttp.RequestHeader
	x.caller.Header().CopyTo(&h)
	if err := x.writeFields(&h); err != nil {
		return 0, err
	}
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

// Await waits until the attempt ends or receives nothing until idleDeadline.
func (x *Exchange) Await(ctx context.Context, idleDeadline time.Time) dispatcher.AttemptReported {
	if !x.hasHeader {
		if r, ok := x.awaitHeader(ctx, idleDeadline); !ok {
			return r
		}
	}
	return x.relay(ctx, idleDeadline)
}

// peek waits for a byte until idleDeadline or the request's deadline. Its report gives the reason if none arrives.
func (x *Exchange) peek(ctx context.Context, idleDeadline time.Time) (dispatcher.AttemptReported, bool) {
	if err := x.conn.SetReadDeadline(bootclock.ToRuntimeTime(earlier(idleDeadline, x.send.Deadline))); err != nil {
		return x.fail(ctx, err), false
	}
	if ctx.Err() != nil {
		return x.fail(ctx, ctx.Err()), false
	}
	_, err := x.conn.R.Peek(1)
	if err == nil {
		x.noteReceived()
		return dispatcher.AttemptReported{}, true
	}
	return x.stalledOrFailed(ctx, err), false
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func (x *Exchange) awaitHeader(ctx context.Context, idleDeadline time.Time) (dispatcher.AttemptReported, bool) {
	if r, ok := x.peek(ctx, idleDeadline); !ok {
		return r, false
	}
	if x.firstByte == 0 {
		x.firstByte = bootclock.Now().Sub(x.sentAt)
	}
	if err := x.conn.SetReadDeadline(bootclock.ToRuntimeTime(earlier(x.send.Deadline, bootclock.Now().Add(headerTimeout)))); err != nil {
		return x.fail(ctx, err), false
	}
	x.resp = &fasthttp.Response{}
	if err := headchecker.Read(x.conn.R, &x.resp.Header); err != nil {
		return x.fail(ctx, err), false
	}
	x.hasHeader = true
	if err := x.readResult(); err != nil {
		return x.fail(ctx, err), false
	}
	x.reportAnswer()
	return dispatcher.AttemptReported{}, true
}

// reportAnswer reports what the head of an answer says of the target, unless the answer belongs to another request.
func (x *Exchange) reportAnswer() {
	answer := x.readAnswer()
	target := x.send.Target
	if x.result != nil {
		target = x.result.Target
	}
	if !x.isOwn(answer) || target == "" {
		return
	}
	kind := limiter.RefusalAnswer
	if answer.IsSealed {
		kind = limiter.RequestAnswer
	}
	x.onAnswer(AnswerHead{Target: target, Kind: kind, Said: answer.Said, SentAt: x.sentAt})
}

// isOwn reports whether an answer is that of the request. Only a refusal may lack the id, because a target that did not read the request
// does not know it. On a connection that has answered before, it may be an earlier refusal, written once more.
func (x *Exchange) isOwn(answer translator.Answer) bool {
	if answer.ID != "" {
		return answer.ID == x.request.ID
	}
	return answer.IsNotRun && !x.conn.IsReused
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// relay forwards the answer: a stream event by event, anything else as a whole.
func (x *Exchange) relay(ctx context.Context, idleDeadline time.Time) dispatcher.AttemptReported {
	answer := x.readAnswer()
	status := x.resp.StatusCode()
	if !x.isOwn(answer) {
		return x.fail(ctx, errMismatch)
	}
	if x.send.IsStream && status/100 == 2 && answer.IsSealed && x.mayContinue() {
		return x.relayEvents(ctx, idleDeadline)
	}
	if err := x.conn.SetReadDeadline(bootclock.ToRuntimeTime(x.send.Deadline)); err != nil {
		return x.fail(ctx, err)
	}
	body, err := x.readBody()
	if err != nil {
		return x.fail(ctx, errors.Wrap(err, "reading a body"))
	}
	x.resp.SetBodyRaw(body)
	x.release()
	if answer.IsNotRun {
		r := x.report(ctx, dispatcher.NotRun, nil)
		r.FaultAddress = answer.Fault
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

// readBody reads a body that is held until it is complete.
func (x *Exchange) readBody() ([]byte, error) {
	if !bodyreader.HasBody(x.caller.Header().IsHead(), x.resp.StatusCode()) {
		return nil, nil
	}
	length := x.resp.Header.ContentLength()
	if length > maxAnswerBytes {
		return nil, errTooLarge
	}
	body, err := bodyreader.ReadHeld(&wholeBody{x: x, body: bodyreader.NewBody(x.conn.R, length)}, maxAnswerBytes, x.answer.Hold)
	if errors.Is(err, bodyreader.ErrTooLarge) {
		return nil, errTooLarge
	}
	return body, err
}

// wholeBody is the body of an answer that is held until it is complete. It notes when bytes arrive.
type wholeBody struct {
	x    *Exchange
	body io.Reader
}

// Read reads a part of the body.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.x.noteReceived()
	}
	if errors.Is(err, io.EOF) && !b.x.hasEnded() {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "after a silence")
	}
	return n, err
}

// Deliver forwards the answer that was read, including a failure that was held back.
func (x *Exchange) Deliver(ctx context.Context) dispatcher.AttemptReported {
	x.translator.WriteAnswer(&x.resp.Header)
	if err := x.caller.Answer(&x.resp.Header, x.resp.Body()); err != nil {
		return x.report(ctx, dispatcher.CallerGone, err)
	}
	return x.report(ctx, dispatcher.Delivered, nil)
}

// stalledOrFailed reports a stall, after which the attempt may continue, or the attempt's failure.
func (x *Exchange) stalledOrFailed(ctx context.Context, err error) dispatcher.AttemptReported {
	if isTimeout(err) && ctx.Err() == nil && bootclock.Now().Before(x.send.Deadline) {
		return x.report(ctx, dispatcher.Stalled, err)
	}
	return x.fail(ctx, err)
}

// Drop ends all attempts.
func (x *Exchange) Drop() {
	x.drop()
	x.dropStalled()
}

// keepStalled sets the attempt aside, so that it can be resumed.
func (x *Exchange) keepStalled() {
	x.dropStalled()
	stalled := x.attempt
	x.stalled, x.attempt = &stalled, attempt{}
}

// isStalledReadable reports whether the stalled attempt that was kept has received a further event. An error, or the end of its stream,
// is no reason to leave the current attempt.
func (x *Exchange) isStalledReadable() bool {
	if x.stalled == nil || x.stalled.conn == nil || !x.stalled.hasHeader {
		return false
	}
	if err := x.stalled.conn.SetReadDeadline(bootclock.ToRuntimeTime(bootclock.Now().Add(peekTimeout))); err != nil {
		return false
	}
	if _, err := x.stalled.conn.R.Peek(1); err != nil {
		return false
	}
	received, err := x.stalled.conn.R.Peek(x.stalled.conn.R.Buffered())
	return err == nil && hasEvent(received)
}

func (x *Exchange) dropStalled() {
	if x.stalled == nil {
		return
	}
	x.stalled.drop()
	x.stalled = nil
}

// Resume drops the current attempt and waits for the result of the stalled one.
func (x *Exchange) Resume(ctx context.Context, idleDeadline time.Time) dispatcher.AttemptReported {
	if x.stalled != nil {
		x.drop()
		x.attempt, x.stalled = *x.stalled, nil
	}
	if x.conn == nil {
		return x.fail(ctx, errors.New("no attempt to resume"))
	}
	return x.Await(ctx, idleDeadline)
}

// fail ends the attempt. A disconnected caller and an expired deadline take precedence over the error.
func (x *Exchange) fail(ctx context.Context, err error) dispatcher.AttemptReported {
	if x.answer != nil {
		// The connection of an answer that was given up is closed, which says nothing of the target.
		if limit := x.answer.Complete(); limit != nil {
			err = limit
		}
	}
	x.drop()
	switch {
	case ctx.Err() != nil:
		return x.report(ctx, dispatcher.CallerGone, err)
	case !bootclock.Now().Before(x.send.Deadline):
		return x.report(ctx, dispatcher.Expired, err)
	}
	r := x.report(ctx, dispatcher.Broken, err)
	r.IsLeft = !isEndOfConnection(err)
	// What a delegate has done since its answer began is not known.
	r.Result = nil
	return r
}

// isEndOfConnection reports whether an error says that the target, or the way to it, has ended the connection. Otherwise the answer
// is of no use or late, and the target may go on with the request.
func isEndOfConnection(err error) bool {
	var failed *net.OpError
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) || (errors.As(err, &failed) && !failed.Timeout())
}

func (x *Exchange) report(ctx context.Context, o dispatcher.Outcome, err error) dispatcher.AttemptReported {
	r := dispatcher.AttemptReported{Call: x.send.Call, Outcome: o, Events: x.events.count, FirstByte: x.firstByte, LongestGap: x.longestGap, Result: x.result}
	if o == dispatcher.Stalled {
		idle, gaps := x.idle.idleTime(x.send.Address, x.sentAt, bootclock.Now())
		r.IsStalledReadable = x.isStalledReadable()
		r.ChainIdleTime, r.ChainTypicalGap, r.ChainLongestGap = idle, gaps.Typical, gaps.Longest
	}
	if o == dispatcher.CallerGone {
		x.Drop()
	}
	if x.hasHeader && x.resp != nil {
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
