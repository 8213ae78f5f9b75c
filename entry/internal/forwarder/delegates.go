package forwarder

import (
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/platform/translator"
)

// writeFields sets the fields of the attempt in the header of a request. A delegate gets those of the caller, with the terms.
func (x *Exchange) writeFields(h *fasthttp.RequestHeader) error {
	a := translator.Attempt{
		Target: x.send.Target, Account: x.send.Account, Timeout: x.send.Deadline.Sub(x.sentAt), LastEvent: x.lastEvent(), Chain: x.send.Chain,
		IsRanked: x.send.IsRanked, Priority: int(x.send.Priority),
	}
	// A caller cannot set what only nodes exchange.
	h.Del(delegator.Field)
	if x.send.Delegate == "" {
		x.translator.WriteRequest(h, a)
		return nil
	}
	x.translator.WriteDelegated(h, a)
	return delegator.WriteTerms(h, x.send.Terms)
}

// readResult reads what a delegate says of the request.
func (x *Exchange) readResult() error {
	if x.send.Delegate == "" {
		x.resp.Header.Del(delegator.Field)
		return nil
	}
	result, err := delegator.ReadResult(&x.resp.Header)
	if err != nil {
		return err
	}
	x.result = &result
	return nil
}

// readAnswer reads the header of the answer. Whether a delegate's request has run is for it to say.
func (x *Exchange) readAnswer() translator.Answer {
	answer := x.translator.ReadAnswer(&x.resp.Header)
	if x.result != nil {
		answer.IsNotRun = x.result.IsNotRun
	}
	return answer
}
