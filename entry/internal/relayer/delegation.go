package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/receiver"
	"fuchsiabridge.example/platform/targetcaller"
)

// Names of the peer calls by which a node calls a target for another node that does not reach it.
const (
	ReportMethod = "target_report"
	OrderMethod  = "target_order"
)

// delegatedAnswerTime is what a call through another node may take longer than one to the target.
const delegatedAnswerTime = 100 * time.Millisecond

var errNoDelegate = errors.New("no other node reaches the target")

// Delegates finds other nodes that reach targets, and forgets them.
type Delegates interface {
	Find(ctx context.Context, service identifier.ServiceID, tried []identifier.NodeID) (delegator.Delegate, bool)
	Drop(service identifier.ServiceID, node identifier.NodeID)
}

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// askDelegate looks for a node to which a request can be handed over.
func (s *servedRequest) askDelegate(ctx context.Context, e dispatcher.AskDelegate) dispatcher.DelegateFound {
	found, _ := s.x.find(ctx, e.Service, e.Tried)
	return dispatcher.DelegateFound{
		Call: s.call, Node: found.Node, Address: found.Address, IsCallerGone: ctx.Err() != nil, Seed: rand.Uint64(),
	}
}

// find finds a delegate for a service, and returns false if there is none.
func (x *Relayer) find(ctx context.Context, service identifier.ServiceID, tried []identifier.NodeID) (delegator.Delegate, bool) {
	if x.delegates == nil {
		return delegator.Delegate{}, false
	}
	return x.delegates.Find(ctx, service, tried)
}

// checkPath opens a connection to a target, and keeps it for a request.
func (x *Relayer) checkPath(e dispatcher.CheckPath) {
	conn, err := x.pools.Targets.Get(x.ctx, e.Address, true)
	if err == nil {
		x.pools.Targets.Put(conn, connector.DefaultIdle)
	}
	x.Submit(dispatcher.PathChecked{Target: e.Target, Address: e.Address, IsReached: err == nil})
}

// lostPath returns the service of a target whose path is lost, and false if it is not.
func (x *Relayer) lostPath(target identifier.TargetID) (identifier.ServiceID, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.LostPath(target)
}

// ServeOffer answers whether this node takes requests of another one.
func (x *Relayer) ServeOffer(_ context.Context, params json.RawMessage) (any, error) {
	var q delegator.Question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decoding a question")
	}
	open, hasRoom := x.gate.Open()
	offer := delegator.Offer{Open: open}
	x.Submit(dispatcher.ChainsWanted{Service: q.Service})
	x.mu.Lock()
	defer x.mu.Unlock()
	if hasRoom && x.dispatch.IsAble(bootclock.Now(), q.Service) {
		offer.Address = x.delegateAddress
	}
	return offer, nil
}

// targetCall is a call to a target that a node makes for another one.
type targetCall struct {
	Target  identifier.TargetID `json:"target"`
	Address string              `json:"address"`
	// TimeoutMS is how long the target may take to answer, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
	// Layers, Fence and Orders belong to an order.
	Layers identifier.LayerRange   `json:"layers"`
	Fence  identifier.FencingToken `json:"fence,omitempty"`
	Orders int64                   `json:"orders"`
}

func (c targetCall) timeout() time.Duration {
	return min(orderTimeout, time.Duration(c.TimeoutMS)*time.Millisecond)
}

// reportAnswer is the report of a target, or why there is none.
type reportAnswer struct {
	Report       describer.Report `json:"report"`
	IsUnanswered bool             `json:"is_unanswered,omitempty"`
	Reason       string           `json:"reason,omitempty"`
}

// orderAnswer is the result of an order.
type orderAnswer struct {
	Result placer.OrderResult `json:"result"`
	Reason string             `json:"reason,omitempty"`
}

// ServeReport requests the report of a target for another node.
func (x *Relayer) ServeReport(ctx context.Context, params json.RawMessage) (any, error) {
	var call targetCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "decoding a call to a target")
	}
	report, err := x.report(ctx, call.Target, call.Address, patience{grant: call.timeout(), answer: call.timeout()})
	answer := reportAnswer{Report: report}
	if err != nil {
		answer.Reason = err.Error()
		answer.IsUnanswered = !errors.IsAny(err, errNoGrant, targetcaller.ErrNoReport)
	}
	return answer, nil
}

// ServeOrder sends an order to a target for another node.
func (x *Relayer) ServeOrder(ctx context.Context, params json.RawMessage) (any, error) {
	var call targetCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "decoding a call to a target")
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout())
	defer cancel()
	result, reason := x.order(ctx, targetcaller.Recipient{Target: call.Target, Address: call.Address}, call.Layers, call.Fence, call.Orders)
	return orderAnswer{Result: result, Reason: reason}, nil
}

// reportThrough requests the report of a target through another node.
func (x *Relayer) reportThrough(ctx context.Context, service identifier.ServiceID, call targetCall) (reportAnswer, error) {
	d, ok := x.find(ctx, service, nil)
	if !ok {
		return reportAnswer{}, errNoDelegate
	}
	ctx, cancel := context.WithTimeout(ctx, 2*call.timeout()+delegatedAnswerTime)
	defer cancel()
	var answer reportAnswer
	if err := x.peers.Call(ctx, d.Peer, ReportMethod, call, &answer); err != nil {
		x.delegates.Drop(service, d.Node)
		return reportAnswer{}, errors.Mark(err, errNoDelegate)
	}
	return answer, nil
}

// orderThrough sends an order through another node. Without an answer, the order may have been sent.
func (x *Relayer) orderThrough(ctx context.Context, service identifier.ServiceID, call targetCall) (placer.OrderResult, string) {
	d, ok := x.find(ctx, service, nil)
	if !ok {
		return placer.NotSent, errNoDelegate.Error()
	}
	var answer orderAnswer
	if err := x.peers.Call(ctx, d.Peer, OrderMethod, call, &answer); err != nil {
		x.delegates.Drop(service, d.Node)
		return placer.Unknown, err.Error()
	}
	return answer.Result, answer.Reason
}

// reportDirectlyOrThrough requests the report of a target, through another node if this one does not reach it.
func (x *Relayer) reportDirectlyOrThrough(e placer.QueryState) (describer.Report, error) {
	service, isLost := x.lostPath(e.Target)
	if !isLost {
		report, err := x.report(x.ctx, e.Target, e.Address, patience{grant: orderTimeout, answer: orderTimeout})
		if err == nil || x.delegates == nil || errors.IsAny(err, errNoGrant, targetcaller.ErrNoReport) {
			return report, err
		}
	}
	answer, err := x.reportThrough(x.ctx, service, targetCall{Target: e.Target, Address: e.Address, TimeoutMS: orderTimeout.Milliseconds()})
	if err == nil && answer.Reason != "" {
		err = errors.Newf("through another node: %s", answer.Reason)
	}
	return answer.Report, err
}

// checkTargetThrough checks through another node whether a target answers that this node does not reach. Without one nothing is known.
func (x *Relayer) checkTargetThrough(service identifier.ServiceID, e dispatcher.CheckTarget) {
	answer, err := x.reportThrough(x.ctx, service, targetCall{Target: e.Target, Address: e.Address, TimeoutMS: checkTimeout.Milliseconds()})
	if err != nil {
		eventlogger.Error(err, eventlogger.ReportFailed, "target", e.Target, "address", e.Address)
		x.Submit(dispatcher.CheckSkipped{Target: e.Target})
		return
	}
	x.Submit(dispatcher.TargetChecked{Target: e.Target, Address: e.Address, Incarnation: answer.Report.Incarnation, IsUnanswered: answer.IsUnanswered})
}

// delegatedHandler serves the requests that other nodes hand over.
type delegatedHandler struct{ x *Relayer }

// DelegatedHandler returns the handler of requests that other nodes hand over.
func (x *Relayer) DelegatedHandler() receiver.Handler { return delegatedHandler{x} }

// Limits returns the limits that apply to callers.
func (h delegatedHandler) Limits() describer.Limits { return h.x.Limits() }

// Admit bounds what the node takes at once.
func (h delegatedHandler) Admit(bodyBytes int) (func(), bool) { return h.x.gate.Enter(bodyBytes) }

// Serve serves one request that another node hands over.
func (h delegatedHandler) Serve(ctx context.Context, c *receiver.Call) {
	terms, err := delegator.ReadTerms(c.Header())
	caller := &delegatedCaller{Call: c}
	if err == nil && !c.IsAdmitted() {
		err = delegator.ErrFull
	}
	if err != nil {
		h.refuse(caller, err)
		return
	}
	h.x.serve(ctx, caller, &terms)
}

// refuse answers that a request was not taken.
func (h delegatedHandler) refuse(c *delegatedCaller, cause error) {
	id := h.x.translator.ReadRequest(c.Header()).ID
	eventlogger.Error(cause, eventlogger.CallerConnectionFailed, "request", id, "doing", "taking a request of another node")
	var header fasthttp.ResponseHeader
	header.SetStatusCode(fasthttp.StatusServiceUnavailable)
	h.x.translator.WriteRefusal(&header, id, 0)
	c.result = delegator.Result{IsNotRun: true}
	if err := c.Answer(&header, nil); err != nil {
		eventlogger.Error(err, eventlogger.CallerConnectionFailed, "request", id)
	}
}

// delegatedCaller is the node that has handed a request over, as the caller. Its answers say how the request went.
type delegatedCaller struct {
	*receiver.Call
	result delegator.Result
}

// note notes how the request goes, for the header of the answer.
func (c *delegatedCaller) note(r delegator.Result) { c.result = r }

// Answer writes a complete answer.
func (c *delegatedCaller) Answer(h *fasthttp.ResponseHeader, body []byte) error {
	if err := delegator.WriteResult(h, c.result); err != nil {
		return err
	}
	return c.Call.Answer(h, body)
}

// Begin writes the header of a stream.
func (c *delegatedCaller) Begin(h *fasthttp.ResponseHeader) error {
	if err := delegator.WriteResult(h, c.result); err != nil {
		return err
	}
	return c.Call.Begin(h)
}
