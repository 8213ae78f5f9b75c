package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

// unreadableLogInterval is the least time between two log lines about one target's unreadable header fields.
const unreadableLogInterval = 10 * time.Second

// QuietWanted is the event that a target has refused a request, and wants none from this node until the given time.
type QuietWanted struct {
	Target identifier.TargetID
	Until  time.Time
	// Answer is the kind of answer, for logs.
	Answer string
}

// AnnouncementUnreadable is the event that a header field in which a target says something about itself has no usable value.
type AnnouncementUnreadable struct {
	Target identifier.TargetID
	Field  string
}

// unreadableFields counts the unreadable fields of a target since the last log line.
type unreadableFields struct {
	loggedAt time.Time
	skipped  int
}

// quietWanted notes that a target wants no requests. A later refusal may extend the time, or shorten it.
func (d *Dispatcher) quietWanted(now time.Time, ev QuietWanted) []messenger.Effect {
	d.chooser.Quiet(ev.Target, ev.Until)
	d.refusals[ev.Target]++
	if d.refusals[ev.Target] > 1 {
		return nil
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(ev.Target),
		Values: []any{"answer", ev.Answer, "quiet_ms", ev.Until.Sub(now).Milliseconds()},
	}}
}

// endQuiet logs the quiet times that are over.
func (d *Dispatcher) endQuiet(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, refusals := range d.refusals {
		if d.chooser.IsQuiet(now, id) {
			continue
		}
		delete(d.refusals, id)
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id), Values: []any{"state", "ended", "refusals", refusals},
		})
	}
	return effects
}

// IsQuiet reports whether a target wants no requests now.
func (d *Dispatcher) IsQuiet(now time.Time, target identifier.TargetID) bool {
	return d.chooser.IsQuiet(now, target)
}

// quietStatus returns the targets that want no requests, for the status page.
func (d *Dispatcher) quietStatus(now time.Time) []describer.QuietStatus {
	var out []describer.QuietStatus
	for id, refusals := range d.refusals {
		if d.chooser.IsQuiet(now, id) {
			out = append(out, describer.QuietStatus{Target: id, LeftMS: d.chooser.QuietUntil(id).Sub(now).Milliseconds(), Refusals: refusals})
		}
	}
	return out
}

// announcementUnreadable logs that a field cannot be read, rarely for each target.
func (d *Dispatcher) announcementUnreadable(now time.Time, ev AnnouncementUnreadable) []messenger.Effect {
	u := d.unreadable[ev.Target]
	if !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unreadableLogInterval {
		u.skipped++
		d.unreadable[ev.Target] = u
		return nil
	}
	d.unreadable[ev.Target] = unreadableFields{loggedAt: now}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.AnnouncementUnreadable, Subject: "target/" + string(ev.Target), Values: []any{"field", ev.Field, "skipped", u.skipped},
	}}
}
