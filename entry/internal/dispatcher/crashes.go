package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/pathtracker"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// maxLeftRun is how long a target is expected to go on at most with an attempt that the node has left.
	maxLeftRun = time.Second
	// writtenEvents is how many events of an answer prove that no part of the prompt crashes targets: a target may
	// deliver the first ones before it crashes.
	writtenEvents = 5
	// suspicionTime is how long requests go around a target that other nodes have seen fail. By then its entry has lapsed.
	suspicionTime = 4 * time.Second
)

// notePoisonCandidate records an attempt that ended, or was left, without a complete answer: the
// request may have crashed a target. It reports whether the attempt counts, with the effects of the
// crashes that are known by it.
func (d *Dispatcher) notePoisonCandidate(now time.Time, r *request, ev AttemptReported) (bool, []messenger.Effect) {
	if r.target == "" {
		return false, nil
	}
	crashes := d.crashTracker.AddAttempt(now, crashtracker.Attempt{
		Key: r.key, Targets: r.targets(), Before: r.before, SentAt: r.sent, RunsUntil: r.runsUntil(now, ev),
		HasEvents: ev.Events > r.eventsBefore, IsBroken: ev.isBroken(),
	})
	d.trials.End(now, r.key)
	return true, append(d.reportCrashes(now, crashes), d.startChecks(now)...)
}

// hasWritten reports whether an attempt has delivered so much that no part of the request's prompt crashes targets.
func (r *request) hasWritten(ev AttemptReported) bool {
	events := ev.Events - r.eventsBefore
	isDelivered := ev.Outcome == Delivered && isSuccess(ev.Status)
	return events >= writtenEvents || (isDelivered && events > 0)
}

func isSuccess(status int) bool { return status/100 == http.StatusOK/100 }

// noteWritten drops the crashes of the parts of a request's prompt if an attempt shows that they crash no targets.
func (d *Dispatcher) noteWritten(now time.Time, r *request, ev AttemptReported) []messenger.Effect {
	if len(r.key.Parts) == 0 || !r.hasWritten(ev) {
		return nil
	}
	return d.reportCleared(r, d.crashTracker.NoteWritten(now, r.key))
}

// isBroken reports whether the target, or the way to it, has ended the attempt.
func (ev AttemptReported) isBroken() bool { return ev.Outcome == Broken && !ev.IsLeft }

// runsUntil returns until when targets may run an attempt that has ended now or is left.
func (r *request) runsUntil(now time.Time, ev AttemptReported) time.Time {
	switch left := now.Add(maxLeftRun); {
	case ev.isBroken() || r.deadline.Before(now):
		return now
	case r.deadline.Before(left):
		return r.deadline
	default:
		return left
	}
}

// recordAlive records which targets an attempt proves to be alive: one that answers, and those of a
// chain from which events arrived. A misdirected request may have met another target at the address.
func (d *Dispatcher) recordAlive(r *request, ev AttemptReported) {
	switch {
	case r.target == "":
	case ev.Events > r.eventsBefore:
		d.crashTracker.RecordAlive(r.sent, r.targets()...)
		if ev.Outcome == Delivered {
			d.chooser.ClearSuspicion(r.targets()...)
		}
	case ev.Status != 0 && ev.Status != http.StatusMisdirectedRequest:
		d.crashTracker.RecordAlive(r.sent, r.target)
	}
}

// startChecks starts the checks of targets that are due.
func (d *Dispatcher) startChecks(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range d.crashTracker.DueChecks(now) {
		effects = append(effects, CheckTarget{Target: c.Target, Address: c.Address})
	}
	for _, s := range d.crashTracker.TakeSurvivals() {
		effects = append(effects, s.Log())
	}
	return effects
}

// targetChecked applies the result of a check. A target that does not answer is ejected.
func (d *Dispatcher) targetChecked(now time.Time, ev TargetChecked) []messenger.Effect {
	if !ev.IsUnanswered {
		// It may have answered another node, which says nothing of this node's path.
		return d.applyFindings(now, d.crashTracker.CheckAnswered(now, ev.Target, ev.Incarnation))
	}
	effects := pathtracker.Log(d.paths.Failed(now, ev.Target))
	effects = append(effects, d.applyFindings(now, d.crashTracker.CheckUnanswered(now, ev.Target))...)
	return append(effects, d.eject(now, ev.Address, registrar.Unresponsive, "target did not answer a check")...)
}

// targetsChanged applies the current state of the targets, and reports the crashes that it reveals.
func (d *Dispatcher) targetsChanged(now time.Time, targets []registrar.Target) []messenger.Effect {
	d.chooser.SetTargets(targets)
	d.keepTargets(targets)
	return append(d.setPathTargets(now, targets), d.applyFindings(now, d.crashTracker.SetTargets(now, targets))...)
}

// targetEjected notes the failure of a target that does not answer. One that answers that it holds
// other layers has not failed.
func (d *Dispatcher) targetEjected(now time.Time, ev registrar.Ejected) []messenger.Effect {
	if ev.Cause != registrar.Unresponsive {
		return nil
	}
	return d.applyFindings(now, d.crashTracker.SetUnresponsive(now, ev.Address))
}

// applyFindings logs failures of targets, and reports the crashes that they show.
func (d *Dispatcher) applyFindings(now time.Time, found crashtracker.Findings) []messenger.Effect {
	var effects []messenger.Effect
	for _, f := range found.Failures {
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetFailed, Subject: "target/" + string(f.Target),
			Values: []any{"born", f.Incarnation, "cause", f.Cause, "candidates", found.Candidates, "crashes", len(found.Crashes)},
		})
	}
	return append(effects, d.reportCrashes(now, found.Crashes)...)
}

// noteAnswer drops the crashes of a request that was answered, and those of its traits if they count no more, here and
// at the other nodes.
func (d *Dispatcher) noteAnswer(now time.Time, r *request, status int) []messenger.Effect {
	cleared := d.crashTracker.NoteAnswer(now, r.key, isSuccess(status))
	d.trials.Drop(r.key)
	return d.reportCleared(r, cleared)
}

// reportCleared reports requests and traits whose crashes count no more to the other nodes.
func (d *Dispatcher) reportCleared(r *request, cleared []identifier.Fingerprint) []messenger.Effect {
	if len(cleared) == 0 {
		return nil
	}
	effects := []messenger.Effect{ReportCrashes{Cleared: cleared}}
	for _, id := range cleared {
		effects = append(effects, messenger.Log{
			Event: eventlogger.RelayedRequestCleared, Subject: "request/" + string(r.id), Values: []any{fingerprintKey, id, "is_group", id == r.key.Group, "is_part", slices.Contains(r.key.Parts, id)},
		})
	}
	return effects
}

// confirmTraits logs the traits that have become confirmed as poison, and stores them if this node has seen a crash, or
// holds the lease.
func (d *Dispatcher) confirmTraits(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, t := range d.crashTracker.TakeConfirmedTraits(now) {
		seenBy := "different requests"
		if t.IsPart {
			seenBy = "different requests with one part in their prompts"
		}
		effects = append(effects, crashrecorder.LogConfirmation(t.Crash, seenBy))
		if t.IsOwn || d.trials.HoldsLease(now) {
			effects = append(effects, SavePoison{Crash: t.Crash})
		}
	}
	return effects
}

// reportCrashes logs crashes that this node has detected, and reports them to the other nodes.
func (d *Dispatcher) reportCrashes(now time.Time, crashes []crashrecorder.Crash) []messenger.Effect {
	if len(crashes) == 0 {
		return nil
	}
	effects := []messenger.Effect{ReportCrashes{Crashes: crashes}}
	for _, c := range crashes {
		d.trials.Drop(c.Key())
		isConfirmed := d.crashTracker.IsRequestConfirmed(now, c.Request)
		effects = append(effects, crashrecorder.LogCrash(c, "this node", isConfirmed)...)
		if isConfirmed {
			effects = append(effects, SavePoison{Crash: c})
		}
	}
	return effects
}

// crashesReported records the crashes that another node has found. A single crash beside many requests
// makes many reports, so only those of further crashes in a row are logged one by one.
func (d *Dispatcher) crashesReported(now time.Time, ev CrashesReported) []messenger.Effect {
	for _, id := range ev.Cleared {
		d.crashTracker.Clear(id)
		d.trials.Clear(id)
	}
	var effects []messenger.Effect
	newCrashes := 0
	for _, c := range ev.Crashes {
		effects = append(effects, d.noteReport(now, c)...)
		if !d.crashTracker.RecordCrash(now, c) {
			continue
		}
		newCrashes++
		d.trials.Drop(c.Key())
		isConfirmed := d.crashTracker.IsRequestConfirmed(now, c.Request)
		if c.MaxDepth() > 1 {
			effects = append(effects, crashrecorder.LogCrash(c, "a peer", isConfirmed)...)
		}
		// Crashes of several nodes may confirm a request together, so that none of these nodes stores it.
		if d.trials.HoldsLease(now) && isConfirmed {
			effects = append(effects, SavePoison{Crash: c})
		}
	}
	if newCrashes == 0 {
		return effects
	}
	return append(effects, messenger.Log{
		Event: eventlogger.CrashesLearned, Subject: "peers", Values: []any{"crashes", len(ev.Crashes), "new", newCrashes},
	})
}

// noteReport lets requests go around a target that several other nodes have seen fail, before this node loses requests there.
func (d *Dispatcher) noteReport(now time.Time, c crashrecorder.Crash) []messenger.Effect {
	if !d.crashTracker.NoteReport(now, c) || !d.chooser.Suspect(c.Target, c.Incarnation, now.Add(suspicionTime)) {
		return nil
	}
	return []messenger.Effect{crashrecorder.LogSuspicion(c)}
}
