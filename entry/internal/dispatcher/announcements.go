package dispatcher

import (
	"time"

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

// IsQuiet reports whether a target wants no requests now.
func (d *Dispatcher) IsQuiet(now time.Time, target identifier.TargetID) bool {
	return d.chooser.IsQuiet(now, target)
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
