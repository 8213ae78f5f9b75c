package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/registrar"
)

// fingerprintKey is the key in logs under which all events name a request's fingerprint.
const fingerprintKey = "fingerprint"

// notePoisonCandidate records an attempt that broke, or was left as stalled, before its first
// byte: the request may have crashed a target. It reports whether the attempt counts.
func (d *Dispatcher) notePoisonCandidate(now time.Time, r *request) bool {
	if r.firstByte != 0 || r.target == "" {
		return false
	}
	d.crashTracker.AddCandidate(now, r.fingerprint, r.targets())
	return true
}

// targetsChanged applies the current state of the targets, and reports the crashes that it reveals.
func (d *Dispatcher) targetsChanged(now time.Time, targets []registrar.Target) []messenger.Effect {
	d.chooser.SetTargets(targets)
	found := d.crashTracker.SetTargets(now, targets)
	var effects []messenger.Effect
	for _, f := range found.Failures {
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetFailed, Subject: "target/" + string(f.Target),
			Values: []any{"born", f.Incarnation, "cause", f.Cause, "candidates", found.Candidates, "crashes", len(found.Crashes)},
		})
	}
	return append(effects, d.reportCrashes(now, found.Crashes)...)
}

// reportCrashes logs crashes that this node has detected, and reports them to the other nodes.
func (d *Dispatcher) reportCrashes(now time.Time, crashes []crashtracker.Crash) []messenger.Effect {
	if len(crashes) == 0 {
		return nil
	}
	effects := []messenger.Effect{ReportCrashes{Crashes: crashes}}
	for _, c := range crashes {
		effects = append(effects, d.logCrash(now, c, "this node")...)
	}
	return effects
}

func (d *Dispatcher) crashesReported(now time.Time, ev CrashesReported) []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range ev.Crashes {
		if d.crashTracker.RecordCrash(now, c) {
			effects = append(effects, d.logCrash(now, c, "a peer")...)
		}
	}
	return effects
}

// logCrash logs a crash, and that the request is confirmed as poison if it now is.
func (d *Dispatcher) logCrash(now time.Time, c crashtracker.Crash, seenBy string) []messenger.Effect {
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RequestCrashedTarget, Subject: "target/" + string(c.Target),
		Values: []any{fingerprintKey, c.Request, "born", c.Incarnation, "age_ms", c.AgeMS, "seen_by", seenBy},
	}}
	if d.crashTracker.IsConfirmed(now, c.Request) {
		effects = append(effects, messenger.Log{
			Event: eventlogger.RelayedPoisonConfirmed, Subject: "target/" + string(c.Target),
			Values: []any{fingerprintKey, c.Request, "seen_by", seenBy},
		})
	}
	return effects
}
