package recorder

import (
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
)

func log(event eventlogger.Event, key identifier.RecordKey, values ...any) messenger.Effect {
	return messenger.Log{Event: event, Subject: "request/" + string(key), Values: values}
}

func logEnded(key identifier.RecordKey, a Answer, callers int) messenger.Effect {
	return log(eventlogger.RecordEnded, key, "outcome", a.Outcome, "status", a.Status, "reason", a.Problem.Code, "replayed", a.Replayed, "callers", callers)
}

// replay returns the answer to a request whose key already has a recorded outcome.
func replay(ev Requested, e Entry) Answer {
	if e.Outcome != responder.Delivered {
		return unknown(ev, "no_answer")
	}
	if e.Truncated {
		a := unknown(ev, "answer_not_kept")
		a.Problem.Message = "the request ran; its answer was too long to be kept"
		return a
	}
	return Answer{Outcome: responder.Delivered, Status: e.Status, Body: e.Body, ContentType: e.ContentType, Replayed: true}
}

// unknown returns the answer to a request that may have run or may still run, or that ran without an
// answer that could be recorded.
func unknown(ev Requested, code string) Answer {
	p := problem(ev, code, "the request may have run; retry with the same key")
	p.Key = string(ev.Key)
	return Answer{Outcome: responder.Unknown, Problem: p, RetryAfter: retryAfter}
}

// notRun returns the answer to a request that has not run and will not run for this caller.
func notRun(ev Requested, code, message string) Answer {
	return Answer{Outcome: responder.NotRun, Problem: problem(ev, code, message), RetryAfter: retryAfter}
}

// reused returns the refusal of a request whose key was used with another body.
func reused(ev Requested) Answer {
	return Answer{Outcome: responder.Refused, Problem: problem(ev, "key_reused", "the key was used with another body")}
}

func problem(ev Requested, code, message string) responder.Problem {
	return responder.Problem{Code: code, Message: message, Place: "services/" + string(ev.Service)}
}
