// Package quietreporter logs what targets say of themselves in answers, once for each change: that they want no requests for a while, and
// fields that cannot be read.
package quietreporter

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

// Targets knows which targets want no requests.
type Targets interface {
	IsQuiet(now time.Time, id identifier.TargetID) bool
	QuietUntil(id identifier.TargetID) time.Time
}

// unreadableFields counts the unreadable fields of a target since the last log line.
type unreadableFields struct {
	loggedAt time.Time
	skipped  int
}

// Reporter counts refusals and unreadable fields.
type Reporter struct {
	targets Targets
	// refusals counts the requests that targets have refused since they began to want none.
	refusals   map[identifier.TargetID]int
	unreadable map[identifier.TargetID]unreadableFields
}

// NewReporter returns a reporter that has seen nothing.
func NewReporter(targets Targets) *Reporter {
	return &Reporter{targets: targets, refusals: map[identifier.TargetID]int{}, unreadable: map[identifier.TargetID]unreadableFields{}}
}

// Refused logs that a target wants no requests until the given time, at its first refusal.
func (r *Reporter) Refused(now time.Time, id identifier.TargetID, until time.Time, answer string) []messenger.Effect {
	r.refusals[id]++
	if r.refusals[id] > 1 {
		return nil
	}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id),
		Values: []any{"answer", answer, "quiet_ms", until.Sub(now).Milliseconds()},
	}}
}

// LogEnds logs the quiet times that are over.
func (r *Reporter) LogEnds(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, refusals := range r.refusals {
		if r.targets.IsQuiet(now, id) {
			continue
		}
		delete(r.refusals, id)
		effects = append(effects, messenger.Log{
			Event: eventlogger.TargetWantsQuiet, Subject: "target/" + string(id), Values: []any{"state", "ended", "refusals", refusals},
		})
	}
	return effects
}

// Status returns the targets that want no requests, for the status page.
func (r *Reporter) Status(now time.Time) []describer.QuietStatus {
	var out []describer.QuietStatus
	for id, refusals := range r.refusals {
		if r.targets.IsQuiet(now, id) {
			out = append(out, describer.QuietStatus{Target: id, LeftMS: r.targets.QuietUntil(id).Sub(now).Milliseconds(), Refusals: refusals})
		}
	}
	return out
}

// Unreadable logs that a field cannot be read, rarely for each target.
func (r *Reporter) Unreadable(now time.Time, id identifier.TargetID, field string) []messenger.Effect {
	u := r.unreadable[id]
	if !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unreadableLogInterval {
		u.skipped++
		r.unreadable[id] = u
		return nil
	}
	r.unreadable[id] = unreadableFields{loggedAt: now}
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.AnnouncementUnreadable, Subject: "target/" + string(id), Values: []any{"field", field, "skipped", u.skipped},
	}}
}

// Keep forgets the unreadable fields of targets that are not kept.
func (r *Reporter) Keep(isKept func(identifier.TargetID) bool) {
	maps.DeleteFunc(r.unreadable, func(id identifier.TargetID, _ unreadableFields) bool { return !isKept(id) })
}
