package pathtracker

import (
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// Log logs changes of paths.
func Log(changes []Change) []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range changes {
		event, values := eventlogger.PathLost, []any{"failed", c.Failures, "reached_ms_ago", c.SinceReached.Milliseconds()}
		if !c.IsLost {
			event, values = eventlogger.PathRestored, []any{"lost_ms", c.SinceLost.Milliseconds()}
		}
		effects = append(effects, messenger.Log{Event: event, Subject: "service/" + string(c.Service), Values: values})
	}
	return effects
}
