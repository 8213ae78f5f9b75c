package drafter

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
)

// mayRunAgain says whether a request starts the ended draft anew rather than joins it.
func (dr *draft) mayRunAgain(ev Arrived) bool {
	if dr.end == nil || dr.request.Fingerprint != ev.Fingerprint {
		return false
	}
	switch dr.end.Problem.Code {
	case codeSuperseded, codeCallerGone, codeTokensLost:
		return true
	}
	return false
}

// join gives a caller what a running or ended draft has so far.
func (d *Drafter) join(dr *draft, ev Arrived) []messenger.Effect {
	if dr.request.Fingerprint != ev.Fingerprint {
		p := responder.Problem{Code: "request_id_reused", Message: "the request id was used with another body", Place: "header X-Request-ID"}
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: End{Outcome: responder.Refused, Problem: p}}}
	}
	var effects []messenger.Effect
	for n := ev.LastToken; n < len(dr.tokens); n++ {
		effects = append(effects, messenger.Reply{Call: ev.Call, Answer: Token{Number: n + 1, Text: dr.tokens[n]}})
	}
	if dr.end != nil {
		return append(effects, messenger.Reply{Call: ev.Call, Answer: *dr.end})
	}
	dr.callers = append(dr.callers, caller{ev.Call, max(ev.LastToken, len(dr.tokens))})
	return effects
}

// lacksTokens says whether a caller has tokens that the driver does not know, and that
// no engine can tell any more: run again they could come out otherwise.
func (dr *draft) lacksTokens() bool {
	for _, c := range dr.callers {
		if c.after > len(dr.tokens) {
			return true
		}
	}
	return false
}

func (d *Drafter) callerGone(now time.Time, ev CallerGone) {
	dr, ok := d.running[ev.Draft]
	if !ok {
		return
	}
	dr.callers = slices.DeleteFunc(dr.callers, func(c caller) bool { return c.call == ev.Call })
	dr.goneAt = now.Add(reconnectTime)
}

func (d *Drafter) finish(now time.Time, dr *draft, end End) []messenger.Effect {
	d.settle(dr)
	effects := d.cancel(dr)
	d.bind(dr, nil)
	dr.end = &end
	delete(d.running, dr.request.Draft)
	d.ended = append(d.ended, dropping{dr, now.Add(keptAfterEnd)})
	d.checkpoints.finish(dr)
	for _, c := range dr.callers {
		effects = append(effects, messenger.Reply{Call: c.call, Answer: end})
	}
	dr.callers, dr.avoid = nil, nil
	dr.request.Prompt = ""
	return append(effects,
		messenger.Log{
			Event: eventlogger.DraftEnded, Subject: subject(dr),
			Values: []any{"outcome", end.Outcome, "tokens", end.Tokens, "reason", end.Problem.Code, "recoveries", dr.recoveries},
		},
		messenger.Raise{Event: Ended{
			Draft: dr.request.Draft, Account: dr.request.Account, Class: dr.request.Class,
			Outcome: end.Outcome, Late: now.After(dr.request.Deadline), Tokens: end.Tokens,
		}})
}

// fail ends a draft that began and cannot be completed here.
func (d *Drafter) fail(now time.Time, dr *draft, code, message string) []messenger.Effect {
	p := responder.Problem{Code: code, Message: message, Place: "model/" + string(dr.request.Model)}
	return d.finish(now, dr, End{Outcome: responder.Failed, Tokens: len(dr.tokens), Problem: p, RetryAfter: retryAfter})
}

func (d *Drafter) failTokensLost(now time.Time, dr *draft) []messenger.Effect {
	return d.fail(now, dr, codeTokensLost, "tokens that the caller has were lost with their node; ask again without Last-Event-ID")
}
