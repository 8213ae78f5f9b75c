// Package announcementtracker keeps what targets say about themselves in their answers: that they want no requests for a while, or what
// cannot be read.
package announcementtracker

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

// unreadableLogInterval is the least time between two log lines about one target's unreadable header fields.
const unreadableLogInterval = 10 * time.Second

// Targets knows until when targets want no requests.
type Targets interface {
	Quiet(id identifier.TargetID, until time.Time)
	IsQuiet(now time.Time, id identifier.TargetID) bool
	QuietUntil(id identifier.TargetID) time.Time
}

// unreadableFields counts the unreadable fields of a target since the last log line.
type unreadableFields struct {
	loggedAt time.Time
	skipped  int
}

// Tracker counts what targets say about themselves.
type Tracker struct {
	targets Targets
	// refusals counts the requests that targets have refused since they began to want none.
	refusals   map[identifier.TargetID]int
	unreadable map[identifier.TargetID]unreadableFields
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(targets Targets) *Tracker {
	return &Tracker{targets: targets, refusals: map[identifier.TargetID]int{}, unreadable: map[identifier.TargetID]unreadableFields{}}
}

// WantQuiet notes that a target wants no requests until the given time. A later refusal may extend the time, or shorten it.
func (t *Tracker) WantQuiet(now time.Time, target identifier.TargetID, until time.Time, answer string) []messenger.Effect {
	t.targets.Quiet(target, until)
	t.refusals[target]++
	if t.refusals[target] > 1 {
		return nil
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(target),
		Values: []any{"answer", answer, "quiet_ms", until.Sub(now).Milliseconds()},
	}}
}

// EndQuiet logs the quiet times that are over.
func (t *Tracker) EndQuiet(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, refusals := range t.refusals {
		if t.targets.IsQuiet(now, id) {
			continue
		}
		delete(t.refusals, id)
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id), Values: []any{"state", "ended", "refusals", refusals},
		})
	}
	return effects
}

// Quiet returns the targets that want no requests, for the status page.
func (t *Tracker) Quiet(now time.Time) []describer.QuietStatus {
	var out []describer.QuietStatus
	for id, refusals := range t.refusals {
		if t.targets.IsQuiet(now, id) {
			out = append(out, describer.QuietStatus{Target: id, LeftMS: t.targets.QuietUntil(id).Sub(now).Milliseconds(), Refusals: refusals})
		}
	}
	return out
}

// Keep forgets the unreadable fields of targets that are not kept.
func (t *Tracker) Keep(isKept func(identifier.TargetID) bool) {
	maps.DeleteFunc(t.unreadable, func(id identifier.TargetID, _ unreadableFields) bool { return !isKept(id) })
}

// NoteUnreadable logs that a field cannot be read, rarely for each target.
func (t *Tracker) NoteUnreadable(now time.Time, target identifier.TargetID, field string) []messenger.Effect {
	u := t.unreadable[target]
	if !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unreadableLogInterval {
		u.skipped++
		t.unreadable[target] = u
		return nil
	}
	t.unreadable[target] = unreadableFields{loggedAt: now}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.AnnouncementUnreadable, Subject: "target/" + string(target), Values: []any{"field", field, "skipped", u.skipped},
	}}
}
