package drafter

import (
	"time"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
)

// scan looks at the deadlines of all running drafts.
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

// nextDeadline returns the next instant at which the draft must act by itself.
func (dr *draft) nextDeadline() time.Time {
	next := dr.request.Deadline
	if len(dr.callers) == 0 && dr.goneAt.Before(next) {
		next = dr.goneAt
	}
	switch dr.phase {
	case waiting, asking:
		if dr.retryAt.Before(next) {
			next = dr.retryAt
		}
	case stepping, exporting, importing, recalling:
		if overdue := dr.deadline.Add(shellGrace); overdue.Before(next) {
			next = overdue
		}
	case idle, ruling:
	}
	return next
}

func (d *Drafter) expire(now time.Time, dr *draft) []messenger.Effect {
	switch {
	case !now.Before(dr.request.Deadline):
		return d.giveUp(now, dr)
	case len(dr.callers) == 0 && !now.Before(dr.goneAt):
		return d.fail(now, dr, codeCallerGone, "no caller was connected")
	}
	switch dr.phase {
	case waiting, asking:
		return d.start(now, dr)
	case stepping:
		return d.stepFailed(now, StepFailed{Target: dr.stages[dr.stage].Target, Name: dr.stepName(), Fresh: dr.resends > 0, Alive: true})
	case exporting:
		return d.exported(now, KVExported{Target: dr.stages[dr.stage].Target, Draft: dr.request.Draft, Epoch: dr.epoch, Failed: true})
	case importing:
		return d.imported(now, KVImported{Target: dr.stages[dr.stage].Target, Draft: dr.request.Draft, Epoch: dr.epoch, Failed: true})
	case recalling:
		return d.goOn(now, dr)
	case idle, ruling:
	}
	return nil
}

// giveUp ends a draft at its deadline; one that never got a pipeline was not run.
func (d *Drafter) giveUp(now time.Time, dr *draft) []messenger.Effect {
	if dr.epoch > 0 || dr.request.LastToken > 0 {
		return d.fail(now, dr, codeDeadline, "the deadline passed before the draft was whole")
	}
	p := responder.Problem{Code: codeNoPipeline, Message: "no pipeline covers the model", Place: "model/" + string(dr.request.Model)}
	return d.finish(now, dr, End{Outcome: responder.NotRun, Problem: p, RetryAfter: retryAfter})
}
