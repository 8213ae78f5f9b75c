package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/crashtracker"
)

// notePoisonCandidate records an attempt that broke, or was left as stalled, before its first
// byte: the request may have crashed a target.
func (d *Dispatcher) notePoisonCandidate(now time.Time, r *request) {
	if r.firstByte == 0 && r.target != "" {
		d.crashTracker.AddCandidate(now, r.fingerprint, r.targets())
	}
}

// reportCrashes logs crashes that this node has detected, and reports them to the other nodes.
func (d *Dispatcher) reportCrashes(crashes []crashtracker.Crash) []messenger.Effect {
	if len(crashes) == 0 {
		return nil
	}
	effects := []messenger.Effect{ReportCrashes{Crashes: crashes}}
	for _, c := range crashes {
		effects = append(effects, crashLog(c, "this node"))
	}
	return effects
}

func (d *Dispatcher) crashesReported(now time.Time, ev CrashesReported) []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range ev.Crashes {
		if d.crashTracker.RecordCrash(now, c) {
			effects = append(effects, crashLog(c, "a peer"))
		}
	}
	return effects
}

func crashLog(c crashtracker.Crash, seenBy string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.RequestCrashedTarget, Subject: "target/" + string(c.Target),
		Values: []any{"fingerprint", c.Request, "born", c.Incarnation, "seen_by", seenBy},
	}
}
