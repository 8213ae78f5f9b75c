package rerouter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/entry/internal/delegator"
)

// CallMethod is the name of the peer call by which a node calls a target for another one. delegator.OfferMethod asks before whether it
// does; the service of that question is the address of the target.
const CallMethod = "target_call"

// maxAnswerBytes limits the body of an answer that is passed on to another node. As much room is kept for each call.
const maxAnswerBytes = 256 << 10

// targetCall is a call to a target that a node makes for another one.
type targetCall struct {
	Method       string            `json:"method"`
	URL          string            `json:"url"`
	Body         []byte            `json:"body,omitempty"`
	Header       map[string]string `json:"header,omitempty"`
	AnswerFields []string          `json:"answer_fields,omitempty"`
	NewConn      bool              `json:"new_conn,omitempty"`
	// TimeoutMS is how long the target may take to answer, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
}

func newTargetCall(r httpcaller.Request, timeout time.Duration) targetCall {
	return targetCall{
		Method: r.Method, URL: r.URL, Body: r.Body, Header: r.Header, AnswerFields: r.AnswerFields, NewConn: r.NewConn,
		TimeoutMS: timeout.Milliseconds(),
	}
}

func (t targetCall) request() httpcaller.Request {
	return httpcaller.Request{Method: t.Method, URL: t.URL, Body: t.Body, Header: t.Header, AnswerFields: t.AnswerFields, NewConn: t.NewConn}
}

// targetAnswer is the answer of a target, or why there is none.
type targetAnswer struct {
	Status int               `json:"status,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	// Reason says why there is no answer. IsNotSent promises that no byte of the call has reached the target.
	Reason    string `json:"reason,omitempty"`
	IsNotSent bool   `json:"is_not_sent,omitempty"`
	IsTimeout bool   `json:"is_timeout,omitempty"`
}

func (a targetAnswer) response() (httpcaller.Response, error) {
	if a.Reason == "" {
		return httpcaller.Response{Status: a.Status, Body: a.Body, Header: a.Header}, nil
	}
	err := errors.Newf("through another node: %s", a.Reason)
	if a.IsNotSent {
		err = errors.Mark(err, httpcaller.ErrNotSent)
	}
	if a.IsTimeout {
		err = errors.Mark(err, fasthttp.ErrTimeout)
	}
	return httpcaller.Response{}, err
}

// ServeOffer answers whether this node makes calls to a target for another node.
func (c *Caller) ServeOffer(ctx context.Context, params json.RawMessage) (any, error) {
	var q delegator.Question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decoding a question")
	}
	address := string(q.Service)
	open, hasRoom := c.gate.Open()
	offer := delegator.Offer{Open: open}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if hasRoom && c.cfg.Serves(address) && c.dial(ctx, address) == nil {
		offer.Address = address
	}
	return offer, nil
}

// ServeCall makes a call to a target for another node. It never goes by way of a third one.
func (c *Caller) ServeCall(ctx context.Context, params json.RawMessage) (any, error) {
	var call targetCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "decoding a call to a target")
	}
	address, err := addressOf(call.URL)
	if err != nil || !c.cfg.Serves(address) {
		return targetAnswer{IsNotSent: true, Reason: "this node does not call the target"}, nil
	}
	leave, hasRoom := c.gate.Enter(len(call.Body) + maxAnswerBytes)
	if !hasRoom {
		return targetAnswer{IsNotSent: true, Reason: delegator.ErrFull.Error()}, nil
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.TimeoutMS)*time.Millisecond)
	defer cancel()
	response, err := c.forOthers.Do(ctx, call.request())
	if err != nil {
		return targetAnswer{Reason: err.Error(), IsNotSent: errors.Is(err, httpcaller.ErrNotSent), IsTimeout: errors.Is(err, fasthttp.ErrTimeout)}, nil
	}
	return targetAnswer{Status: response.Status, Body: response.Body, Header: response.Header}, nil
}
