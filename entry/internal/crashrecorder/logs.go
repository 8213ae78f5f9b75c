package crashrecorder

import (
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// LogCrash logs a crash, and that the request is confirmed as poison if it now is.
func LogCrash(c Crash, seenBy string, isConfirmed bool) []messenger.Effect {
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RequestCrashedTarget, Subject: "target/" + string(c.Target),
		Values: []any{
			"fingerprint", c.Request, "group", c.Group, "born", c.Incarnation, "depth", c.Depth, "group_depth", c.GroupDepth, "shared_parts", c.Parts,
			"age_ms", c.AgeMS, "seen_by", seenBy,
		},
	}}
	if isConfirmed {
		effects = append(effects, LogConfirmation(c, seenBy))
	}
	return effects
}

// LogConfirmation logs that a request or a trait is confirmed as poison.
func LogConfirmation(c Crash, seenBy string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.RelayedPoisonConfirmed, Subject: "target/" + string(c.Target),
		Values: []any{"fingerprint", c.Request, "seen_by", seenBy},
	}
}

// LogSuspicion logs that requests go around a target, since other nodes have reported a crash of it.
func LogSuspicion(c Crash) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.TargetSuspected, Subject: "target/" + string(c.Target), Values: []any{"born", c.Incarnation, "age_ms", c.AgeMS},
	}
}
