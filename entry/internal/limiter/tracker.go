// Package limiter keeps to the request limits that targets name: what a node knows of them, and the grants
// that keep the requests of all nodes together within them.
package limiter

import (
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// AnswerKind is the kind of an answer that may name a limit.
type AnswerKind int

// Kinds of answers.
const (
	// RequestAnswer is the answer of a target that has run a request.
	RequestAnswer AnswerKind = iota
	// RefusalAnswer is an answer of a target that has not run the request.
	RefusalAnswer
	// ReportAnswer is the answer to a request for a report.
	ReportAnswer
)

var answerKindNames = [...]string{"request", "refusal", "report"}

// String returns the name of the kind in logs.
func (k AnswerKind) String() string { return answerKindNames[k] }

// AnswerRead is the event that the head of a target's answer was read.
type AnswerRead struct {
	Target identifier.TargetID
	Kind   AnswerKind
	Limit  describer.NamedLimit
	// SentAt is when the request was sent.
	SentAt time.Time
}

// State is how an answer has changed what is known of a limit.
type State string

// States of a limit, in logs.
const (
	Unchanged State = ""
	Named     State = "named"
	Changed   State = "changed"
	Ended     State = "ended"
	Malformed State = "malformed"
)

// limit is what is known of a target's limit.
type limit struct {
	Knowledge
	// namedAt is when an answer that named the limit was last read, here or at another node.
	namedAt time.Time
	// since is when the limit became known, and sends counts the requests sent since then.
	since time.Time
	sends int
	// isMalformed says that the last answer named a limit that cannot be read.
	isMalformed bool
}

// Tracker keeps what this node knows of the limits of targets.
type Tracker struct {
	limits map[identifier.TargetID]*limit
}

// NewTracker returns a tracker that knows of no limit.
func NewTracker() *Tracker { return &Tracker{limits: map[identifier.TargetID]*limit{}} }

// Read applies the head of an answer and returns how it has changed the target's limit.
func (t *Tracker) Read(now time.Time, a AnswerRead) State {
	l := t.limits[a.Target]
	switch a.Limit.Kind {
	case describer.Limited:
		return t.named(now, a.Target, a.Limit.Rate)
	case describer.MalformedLimit:
		return t.malformed(a.Target)
	case describer.NoLimit:
	}
	// An answer to a request that was sent before the limit was last named may be older than that.
	if l == nil || l.IsEnded || a.Kind != RequestAnswer || !a.SentAt.After(l.namedAt) {
		return Unchanged
	}
	l.IsEnded, l.At = true, now
	return Ended
}

// Learn applies what another node knows of a target's limit, if it is newer.
func (t *Tracker) Learn(now time.Time, target identifier.TargetID, k Knowledge) State {
	l := t.limits[target]
	if l == nil {
		l = &limit{Knowledge: Knowledge{IsEnded: true}}
		t.limits[target] = l
	}
	if !k.At.After(l.At) || k.IsSameAs(l.Knowledge) {
		return Unchanged
	}
	wasEnded := l.IsEnded
	l.Knowledge = k
	if k.IsEnded {
		return Ended
	}
	l.namedAt = k.At
	if !wasEnded {
		return Changed
	}
	l.since, l.sends = now, 0
	return Named
}

func (t *Tracker) named(now time.Time, target identifier.TargetID, rate describer.RequestRate) State {
	l := t.limits[target]
	k := Knowledge{Rate: rate, At: now}
	if l == nil || l.IsEnded {
		t.limits[target] = &limit{Knowledge: k, namedAt: now, since: now}
		return Named
	}
	isSame := k.IsSameAs(l.Knowledge)
	l.Knowledge, l.namedAt, l.isMalformed = k, now, false
	if isSame {
		return Unchanged
	}
	return Changed
}

// malformed notes an answer whose limit cannot be read: it neither names a limit nor ends one.
func (t *Tracker) malformed(target identifier.TargetID) State {
	l := t.limits[target]
	if l == nil {
		l = &limit{Knowledge: Knowledge{IsEnded: true}}
		t.limits[target] = l
	}
	if l.isMalformed {
		return Unchanged
	}
	l.isMalformed = true
	return Malformed
}

// IsLimited reports whether a target names a limit.
func (t *Tracker) IsLimited(target identifier.TargetID) bool {
	l := t.limits[target]
	return l != nil && !l.IsEnded
}

// HasLimits reports whether any target names a limit.
func (t *Tracker) HasLimits() bool {
	for _, l := range t.limits {
		if !l.IsEnded {
			return true
		}
	}
	return false
}

// Known returns what is known of a target's limit.
func (t *Tracker) Known(target identifier.TargetID) Knowledge {
	if l := t.limits[target]; l != nil {
		return l.Knowledge
	}
	return Knowledge{IsEnded: true}
}

// CountSend counts a request that is sent to a target.
func (t *Tracker) CountSend(target identifier.TargetID) {
	if l := t.limits[target]; l != nil {
		l.sends++
	}
}

// Keep forgets the limits of all targets but those that are known.
func (t *Tracker) Keep(isKnown func(identifier.TargetID) bool) {
	maps.DeleteFunc(t.limits, func(id identifier.TargetID, _ *limit) bool { return !isKnown(id) })
}

// Status returns what is known of a target's limit; it has no rate if the target names none.
func (t *Tracker) Status(now time.Time, target identifier.TargetID) describer.LimitStatus {
	if !t.IsLimited(target) {
		return describer.LimitStatus{Target: target}
	}
	l := t.limits[target]
	return describer.LimitStatus{
		Target: target, Rate: l.Rate, LimitedMS: now.Sub(l.since).Milliseconds(), NamedMSAgo: now.Sub(l.namedAt).Milliseconds(), Sends: l.sends,
	}
}

// Limits returns the limits in force, in the order of their targets.
func (t *Tracker) Limits(now time.Time) []describer.LimitStatus {
	var out []describer.LimitStatus
	for _, id := range slices.Sorted(maps.Keys(t.limits)) {
		if t.IsLimited(id) {
			out = append(out, t.Status(now, id))
		}
	}
	return out
}
