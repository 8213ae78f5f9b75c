package avoider

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

// Quiet makes a target get no requests until the given time, whatever its request limit allows, as it has refused one with an answer of
// some kind. A later refusal may extend the time, or shorten it.
func (a *Avoider) Quiet(now time.Time, id identifier.TargetID, until time.Time, answer string) []messenger.Effect {
	a.quiet[id] = until
	a.refusals[id]++
	if a.refusals[id] > 1 {
		return nil
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id),
		Values: []any{"answer", answer, "quiet_ms", until.Sub(now).Milliseconds()},
	}}
}

// EndQuiet logs the quiet times that are over.
func (a *Avoider) EndQuiet(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, refusals := range a.refusals {
		if a.IsQuiet(now, id) {
			continue
		}
		delete(a.refusals, id)
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id), Values: []any{"state", "ended", "refusals", refusals},
		})
	}
	return effects
}

// IsQuiet reports whether a target wants no requests now.
func (a *Avoider) IsQuiet(now time.Time, id identifier.TargetID) bool { return now.Before(a.quiet[id]) }

// QuietStatus returns the targets that want no requests, for the status page.
func (a *Avoider) QuietStatus(now time.Time) []describer.QuietStatus {
	var out []describer.QuietStatus
	for id, refusals := range a.refusals {
		if a.IsQuiet(now, id) {
			out = append(out, describer.QuietStatus{Target: id, LeftMS: a.quiet[id].Sub(now).Milliseconds(), Refusals: refusals})
		}
	}
	return out
}

// RejectionStatus returns how often targets were avoided for rejections, for the status page.
func (a *Avoider) RejectionStatus(now time.Time) describer.RejectionStatus {
	return describer.RejectionStatus{Avoided: a.countRejecting(now), Own: a.counts.Own, Learned: a.counts.Learned, Dropped: a.counts.Dropped}
}
