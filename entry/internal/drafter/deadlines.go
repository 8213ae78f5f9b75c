package drafter

import (
	"time"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
)

// scan checks the deadlines of all running drafts.
func (d *Drafter) scan(now time.Time) []messenger.Effect {
	var due []*draft
	for _, dr := range d.running {
		if !now.Before(dr.nextDeadline()) {
			due = append(due, dr)
		}
	}
	var effects []messenger.Effect
	for _, dr := range sorted(due) {
		effects = append(effects, d.expire(now, dr)...)
	}
	return effects
}

// nextDeadline returns the next instant at which a timer of the draft expires.
func (dr *draft) nextDeadline() time.Time {
	next := dr.request.Deadline
	if len(dr.callers) == 0 && dr.disconnectDeadline.Before(next) {
		next = dr.disconnectDeadline
	}
	switch dr.phase {
	case phaseAwaitingPipeline, phaseAwaitingCheckpoint:
		if dr.retryAt.Before(next) {
			next = dr.retryAt
		}
	case phaseStepping, phaseExporting, phaseImporting, phaseFetchingTokens:
		if overdue := dr.responseDeadline.Add(executorGrace); overdue.Before(next) {
			next = overdue
		}
	case phaseIdle, phaseAwaitingDecision:
	}
	return next
}

// expire ends a draft whose deadline or reconnect timeout has passed, and otherwise applies the timeout
// of its phase.
func (d *Drafter) expire(now time.Time, dr *draft) []messenger.Effect {
	switch {
	case !now.Before(dr.request.Deadline):
		return d.failDeadline(now, dr)
	case len(dr.callers) == 0 && !now.Before(dr.disconnectDeadline):
		return d.fail(now, dr, codeCallerGone, "no caller reconnected in time")
	}
	switch dr.phase {
	case phaseAwaitingPipeline, phaseAwaitingCheckpoint:
		return d.start(now, dr)
	case phaseStepping:
		// The executor did not report a result. That says nothing about the target, which therefore
		// counts as alive.
		return d.handleStepFailed(now, StepFailed{Target: dr.stages[dr.stageIndex].Target, Name: dr.stepName(), NewConn: dr.stepRetries > 0, Alive: true})
	case phaseExporting:
		return d.handleKVExported(now, KVExported{Target: dr.stages[dr.stageIndex].Target, Draft: dr.request.Draft, Epoch: dr.epoch, Failed: true})
	case phaseImporting:
		return d.handleKVImported(now, KVImported{Target: dr.stages[dr.stageIndex].Target, Draft: dr.request.Draft, Epoch: dr.epoch, Failed: true})
	case phaseFetchingTokens:
		return d.continueDraft(now, dr)
	case phaseIdle, phaseAwaitingDecision:
	}
	return nil
}

// failDeadline ends a draft at its deadline. A draft that never had a pipeline is reported as not
// run, unless its caller already has tokens from another node.
func (d *Drafter) failDeadline(now time.Time, dr *draft) []messenger.Effect {
	if dr.epoch > 0 || dr.request.LastToken > 0 {
		return d.fail(now, dr, codeDeadline, "the deadline passed before the answer was complete")
	}
	p := responder.Problem{Code: codeNoPipeline, Message: "no pipeline covers the model", Place: "model/" + string(dr.request.Model)}
	return d.finish(now, dr, End{Outcome: responder.NotRun, Problem: p, RetryAfter: retryAfter})
}
