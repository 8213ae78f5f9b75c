package continuer

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

// LogSilence logs that a stream leaves a silent chain.
func LogSilence(id identifier.RequestID, first identifier.TargetID, s State, objective time.Duration) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.SilentChainLeft, Subject: "request/" + string(id),
		Values: []any{
			"first", first, "silent_ms", s.Silence.Milliseconds(), "longest_ms", s.LongestGap.Milliseconds(),
			"typical_ms", s.TypicalGap.Milliseconds(), "objective_ms", objective.Milliseconds(),
		},
	}
}

// LogReroute logs the result of a reroute.
func LogReroute(id identifier.RequestID, r Result, isAccepted bool) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.RequestRerouted, Subject: "request/" + string(id),
		Values: []any{"taken", isAccepted, "reason", r.Reason, "fault", r.FaultAddress, "parts", len(r.Chain)},
	}
}
