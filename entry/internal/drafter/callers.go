package drafter

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
)

// mayRestart reports whether the request starts the ended draft again instead of joining it.
func (dr *draft) mayRestart(ev Request) bool {
	if dr.end == nil || dr.request.Fingerprint != ev.Fingerprint {
		return false
	}
	switch dr.end.Problem.Code {
	case codeSuperseded, codeCallerGone, codeTokensLost:
		return true
	}
	return false
}

// join sends a caller the tokens of a running or ended draft that it does not have yet.
func (d *Drafter) join(dr *draft, ev Request) []messenger.Effect {
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

// lacksTokens reports whether a caller has tokens that the driver does not have. Generating them
// again could give different ones, so they must come from results that an engine kept.
func (dr *draft) lacksTokens() bool {
	for _, c := range dr.callers {
		if c.lastToken > len(dr.tokens) {
			return true
		}
	}
	return false
}

func (d *Drafter) handleCallerGone(now time.Time, ev CallerGone) {
	dr, ok := d.running[ev.Draft]
	if !ok {
		return
	}
	dr.callers = slices.DeleteFunc(dr.callers, func(c caller) bool { return c.call == ev.Call })
	dr.disconnectDeadline = now.Add(reconnectTimeout)
}

// finish ends a draft, releases its targets and sends its callers the final reply.
func (d *Drafter) finish(now time.Time, dr *draft, end End) []messenger.Effect {
	d.endWait(dr)
	effects := d.cancel(dr)
	d.bind(dr, nil)
	dr.end = &end
	delete(d.running, dr.request.Draft)
	d.ended = append(d.ended, endedDraft{dr, now.Add(endedRetention)})
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

// fail ends a draft that was started and cannot be completed on this node.
func (d *Drafter) fail(now time.Time, dr *draft, code, message string) []messenger.Effect {
	p := responder.Problem{Code: code, Message: message, Place: "model/" + string(dr.request.Model)}
	return d.finish(now, dr, End{Outcome: responder.Failed, Tokens: len(dr.tokens), Problem: p, RetryAfter: retryAfter})
}

func (d *Drafter) failTokensLost(now time.Time, dr *draft) []messenger.Effect {
	return d.fail(now, dr, codeTokensLost, "the node that held the caller's latest tokens failed; retry without Last-Event-ID")
}
