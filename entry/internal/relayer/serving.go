package relayer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/entry/internal/receiver"
	"fuchsiabridge.example/entry/internal/tracer"
	"fuchsiabridge.example/entry/internal/workestimator"
	"fuchsiabridge.example/platform/targetcaller"
	"fuchsiabridge.example/platform/translator"
)

// servedRequest is one request that the relayer is serving.
type servedRequest struct {
	x        *Relayer
	call     identifier.CallID
	caller   caller
	request  translator.Request
	exchange *forwarder.Exchange
	// trace is the parent context of the spans of attempts.
	trace string
}

// caller is whoever has sent a request: a caller of this node, or another node.
type caller interface {
	forwarder.Caller
	// note notes how the request goes.
	note(r delegator.Result)
}

// ownCaller is a caller of this node.
type ownCaller struct{ *receiver.Call }

// note does nothing: callers are not told of attempts.
func (ownCaller) note(delegator.Result) {}

// Serve serves one request. ctx ends when the caller disconnects.
func (x *Relayer) Serve(ctx context.Context, c *receiver.Call) { x.serve(ctx, ownCaller{c}, nil) }

// serve serves one request, which another node may have handed over under terms.
func (x *Relayer) serve(ctx context.Context, c caller, terms *delegator.Terms) {
	h := c.Header()
	request := x.translator.ReadRequest(h)
	s := &servedRequest{
		x: x, call: identifier.CallID(x.nextCall.Add(1)), caller: c, request: request,
		exchange: forwarder.NewExchange(c, request, x.pools, x.idle, x.answers, x.answerRead),
	}
	defer s.exchange.Drop()
	trace, end := tracer.Start(string(h.Peek(tracer.Header)), "request", "request", string(request.ID))
	defer end(nil)
	s.trace = trace
	arrived := dispatcher.RequestArrived{
		Call: s.call, ID: request.ID, Host: string(h.Host()), Path: string(h.RequestURI()),
		Key: request.Key, Seed: rand.Uint64(), Fingerprint: fingerprint(h.Method(), h.Host(), h.RequestURI(), c.Body()), Group: fingerprint(path(h), c.Body()),
		Parts: request.Parts, Terms: terms, BodyBytes: len(c.Body()),
		Size: workestimator.Size{
			Prompt: workestimator.Tokens(request.PromptTokens), MaxAnswer: workestimator.Tokens(request.MaxAnswerTokens), Hint: workestimator.Tokens(request.AnswerHint),
		},
	}
	if request.Timeout > 0 {
		arrived.Deadline = bootclock.Now().Add(request.Timeout)
	}
	for effects := x.apply(arrived); len(effects) > 0; {
		effects = s.run(ctx, effects[0])
	}
}

// fingerprint returns a hash of some parts of a request.
func fingerprint(parts ...[]byte) identifier.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		// Writing to a digest never fails.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return identifier.Fingerprint(d.Sum64())
}

// path returns the path of a request without its query.
func path(h *fasthttp.RequestHeader) []byte {
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	return path
}

// run executes one effect and returns the effects that follow from its result.
func (s *servedRequest) run(ctx context.Context, effect messenger.Effect) []messenger.Effect {
	switch e := effect.(type) {
	case dispatcher.Send:
		s.caller.note(delegator.Result{Runs: e.Runs, HasArrived: true, Target: e.Target})
		return s.report(s.attempt(ctx, e))
	case dispatcher.AskDelegate:
		return s.x.apply(s.askDelegate(ctx, e))
	case dispatcher.Wait:
		return s.report(s.exchange.Await(ctx, e.Until))
	case dispatcher.AskGrant:
		return s.x.apply(s.askGrant(ctx, e))
	case dispatcher.Hold:
		return s.x.apply(s.hold(ctx, e.Until))
	case dispatcher.ResumeStalled:
		return s.report(s.exchange.Resume(ctx, e.Until))
	case dispatcher.Probe:
		probed := s.x.probe(ctx, e, s.request.ID)
		probed.Call = s.call
		return s.x.apply(probed)
	case dispatcher.Reroute:
		return s.x.apply(s.reroute(ctx, e))
	case dispatcher.Deliver:
		if s.exchange.HasBegun() {
			return nil
		}
		return s.report(s.exchange.Deliver(ctx))
	case dispatcher.Refuse:
		s.refuse(e)
	}
	return nil
}

// askGrant asks whether the request may be sent to a target that names a request limit.
func (s *servedRequest) askGrant(ctx context.Context, e dispatcher.AskGrant) dispatcher.GrantAnswered {
	a := s.x.grant(ctx, e.Limit)
	return dispatcher.GrantAnswered{
		Call: s.call, IsGranted: a.IsGranted, Until: a.Until, Known: a.Known, Reason: a.Reason,
		IsCallerGone: ctx.Err() != nil, Seed: rand.Uint64(),
	}
}

// hold waits until the given time, or until the caller disconnects.
func (s *servedRequest) hold(ctx context.Context, until time.Time) dispatcher.HoldEnded {
	isOver := sleeper.Sleep(ctx, until.Sub(bootclock.Now()))
	return dispatcher.HoldEnded{Call: s.call, IsCallerGone: !isOver, Seed: rand.Uint64()}
}

// attempt sends the request to a target, in a span of its own.
func (s *servedRequest) attempt(ctx context.Context, e dispatcher.Send) dispatcher.AttemptReported {
	_, end := tracer.Start(s.trace, "attempt", "target", string(e.Target), "delegate", string(e.Delegate), "parts", strconv.Itoa(len(e.Chain)))
	r := s.exchange.Attempt(ctx, e)
	if r.Outcome == dispatcher.Delivered {
		end(nil)
		return r
	}
	end(errors.Newf("%s: %s", r.Outcome, r.Reason))
	return r
}

// reroute asks the first target of the request's chain to continue along another chain.
func (s *servedRequest) reroute(ctx context.Context, e dispatcher.Reroute) dispatcher.Rerouted {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rerouted := dispatcher.Rerouted{Call: s.call, Chain: e.Chain, IsAccepted: true}
	first := targetcaller.Recipient{Target: e.Chain[0].Target, Address: e.Address}
	if err := s.x.targets.Reroute(ctx, first, s.request.ID, e.Chain); err != nil {
		rerouted.IsAccepted, rerouted.Reason = false, err.Error()
		rerouted.IsUnanswered = true
		var rejection *targetcaller.RejectionError
		if errors.As(err, &rejection) {
			rerouted.FaultAddress, rerouted.IsUnanswered = rejection.FaultAddress, false
		}
	}
	if rerouted.IsAccepted {
		s.exchange.NoteRerouted()
	}
	rerouted.Seed = rand.Uint64()
	return rerouted
}

func (s *servedRequest) report(r dispatcher.AttemptReported) []messenger.Effect {
	r.Seed = rand.Uint64()
	return s.x.apply(r)
}

// refuse answers with an error status. A stream that has begun is cut off instead.
func (s *servedRequest) refuse(e dispatcher.Refuse) {
	if s.exchange.HasBegun() {
		return
	}
	s.caller.note(e.Result)
	var h fasthttp.ResponseHeader
	h.SetStatusCode(e.Status)
	s.x.translator.WriteRefusal(&h, s.request.ID, e.RetryAfter.Round(time.Millisecond))
	if err := s.caller.Answer(&h, nil); err != nil {
		eventlogger.Error(err, eventlogger.CallerConnectionFailed, "request", s.request.ID)
	}
}
