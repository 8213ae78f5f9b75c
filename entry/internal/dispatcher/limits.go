package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/registrar"
)

// answerRead notes what the head of an answer says of its target's request limit, and logs a change.
func (d *Dispatcher) answerRead(now time.Time, ev limiter.AnswerRead) []messenger.Effect {
	before := d.limits.Status(now, ev.Target)
	state := d.limits.Read(now, ev)
	if state == limiter.Unchanged {
		return nil
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetLimitChanged, Subject: "target/" + string(ev.Target),
		Values: []any{
			"state", state, "rate", ev.Limit.Rate, "former", before.Rate, "answer", ev.Kind, "answered_ms", now.Sub(ev.SentAt).Milliseconds(),
			"limited_ms", before.LimitedMS, "sends", before.Sends,
		},
	}}
}

// keepLimits forgets the limits of targets that are gone.
func (d *Dispatcher) keepLimits(targets []registrar.Target) {
	known := make(map[identifier.TargetID]bool, len(targets))
	for _, t := range targets {
		known[t.ID] = true
	}
	d.limits.Keep(func(id identifier.TargetID) bool { return known[id] })
}
