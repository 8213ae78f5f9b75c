package crashtracker

import (
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// Log logs a survival.
func (s Survival) Log() messenger.Effect {
	return messenger.Log{
		Event: eventlogger.AttemptSurvived, Subject: "target/" + string(s.Target),
		Values: []any{"fingerprint", s.Request, "alive_ms", s.AliveAfter.Milliseconds()},
	}
}
