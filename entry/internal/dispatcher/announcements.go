package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

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

// quietWanted notes that a target wants no requests. A later refusal may extend the time, or shorten it.
func (d *Dispatcher) quietWanted(now time.Time, ev QuietWanted) []messenger.Effect {
	d.chooser.Quiet(ev.Target, ev.Until)
	return d.quiet.Refused(now, ev.Target, ev.Until, ev.Answer)
}

// IsQuiet reports whether a target wants no requests now.
func (d *Dispatcher) IsQuiet(now time.Time, target identifier.TargetID) bool {
	return d.chooser.IsQuiet(now, target)
}
