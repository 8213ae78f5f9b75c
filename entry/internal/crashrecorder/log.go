package crashrecorder

import (
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// Keys in logs that the events of crashes share.
const (
	requestKey = "fingerprint"
	seenByKey  = "seen_by"
)

// Log logs a crash, and that the request is confirmed as poison if it now is.
func (c Crash) Log(seenBy string, isConfirmed bool) []messenger.Effect {
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RequestCrashedTarget, Subject: "target/" + string(c.Target),
		Values: []any{
			requestKey, c.Request, "group", c.Group, "born", c.Incarnation, "depth", c.Depth, "group_depth", c.GroupDepth, "shared_parts", c.Parts,
			"age_ms", c.AgeMS, seenByKey, seenBy,
		},
	}}
	if isConfirmed {
		effects = append(effects, c.LogConfirmation(seenBy))
	}
	return effects
}

// LogConfirmation logs that a request or a trait is confirmed as poison.
func (c Crash) LogConfirmation(seenBy string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.RelayedPoisonConfirmed, Subject: "target/" + string(c.Target),
		Values: []any{requestKey, c.Request, seenByKey, seenBy},
	}
}
