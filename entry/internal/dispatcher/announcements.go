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

// quietTime is the time in which a target wants no requests.
type quietTime struct {
	until    time.Time
	refusals int
}

// unreadableFields counts the unreadable fields of a target since the last log line.
type unreadableFields struct {
	loggedAt time.Time
	skipped  int
}

// quietWanted notes that a target wants no requests. A later refusal may extend the time, or shorten it.
func (d *Dispatcher) quietWanted(now time.Time, ev QuietWanted) []messenger.Effect {
	d.chooser.Quiet(ev.Target, ev.Until)
	q, ok := d.quiet[ev.Target]
	if ok {
		q.until = ev.Until
		q.refusals++
		return nil
	}
	d.quiet[ev.Target] = &quietTime{until: ev.Until, refusals: 1}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(ev.Target),
		Values: []any{"answer", ev.Answer, "quiet_ms", ev.Until.Sub(now).Milliseconds()},
	}}
}

// endQuiet logs the quiet times that are over.
func (d *Dispatcher) endQuiet(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, q := range d.quiet {
		if now.Before(q.until) {
			continue
		}
		delete(d.quiet, id)
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id), Values: []any{"state", "ended", "refusals", q.refusals},
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
	for id, q := range d.quiet {
		if now.Before(q.until) {
			out = append(out, describer.QuietStatus{Target: id, LeftMS: q.until.Sub(now).Milliseconds(), Refusals: q.refusals})
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
