package crashtracker

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// checkDelay is how long other requests may show whether a target lives, after an attempt at it
	// ended without a broken connection, before it is checked.
	checkDelay = 300 * time.Millisecond
	// checkInterval is the least time between the starts of two checks of a target.
	checkInterval = 200 * time.Millisecond
	// checksPerSecond limits the checks of the node.
	checksPerSecond = 20
)

// Check asks for a check of a target: whether it answers, and under which incarnation.
type Check struct {
	Target  identifier.TargetID
	Address string
}

// checkLimit counts the checks of the current second.
type checkLimit struct {
	since time.Time
	n     int
}

func (l *checkLimit) allows(now time.Time) bool {
	if now.Sub(l.since) >= time.Second {
		l.since, l.n = now, 0
	}
	if l.n >= checksPerSecond {
		return false
	}
	l.n++
	return true
}

// DueChecks returns the checks that are due. A target is checked once an attempt that was sent to it
// has ended without an answer and nothing else tells whether the target has survived it.
func (t *Tracker) DueChecks(now time.Time) []Check {
	t.dropExpired(now)
	var due []Check
	for _, a := range t.candidates {
		if !a.IsBroken && now.Sub(a.RunsUntil) < checkDelay {
			continue
		}
		id := t.nextToCheck(a)
		if id != "" && id != a.Targets[0] {
			// Work that was cut off by a later target had begun there.
			t.RecordAlive(a.SentAt, id)
		}
		s, ok := t.targets[id]
		if !ok || s.isFailed || s.isChecked || now.Sub(s.checkedAt) < checkInterval {
			continue
		}
		if !t.checks.allows(now) {
			break
		}
		// The check begins after all attempts that have ended by now.
		s.isChecked, s.checkedAt = true, now.Add(time.Nanosecond)
		due = append(due, Check{Target: id, Address: s.address})
	}
	return due
}

// nextToCheck returns the target to check for an attempt, or an empty id: the one that it was sent
// to, and where a connection broke although that one has survived, the next one of its chain, until
// a crash by the attempt is known.
func (t *Tracker) nextToCheck(a candidate) identifier.TargetID {
	if a.hasCrashed {
		return ""
	}
	isOpen := func(id identifier.TargetID) bool { return !t.hasSurvived(id, a.Attempt) }
	i := slices.IndexFunc(a.open, isOpen)
	if i < 0 || (!a.IsBroken && a.open[i] != a.Targets[0]) {
		return ""
	}
	return a.open[i]
}

// dropExpired drops the attempts that are too old, or whose targets have all been alive after them.
func (t *Tracker) dropExpired(now time.Time) {
	t.candidates = slices.DeleteFunc(t.candidates, func(a candidate) bool {
		isOpen := func(id identifier.TargetID) bool { return !t.hasSurvived(id, a.Attempt) }
		if slices.ContainsFunc(a.open, isOpen) {
			return now.Sub(a.RunsUntil) > candidateMaxAge
		}
		t.noteSurvival(a)
		return true
	})
}

// Survival says that all targets of an attempt that ended without a complete answer were alive after it.
type Survival struct {
	Request identifier.Fingerprint
	// Target is the first target of the attempt.
	Target identifier.TargetID
	// AliveAfter is the time from the end of the attempt to when all of them were alive.
	AliveAfter time.Duration
}

func (t *Tracker) noteSurvival(a candidate) {
	s := Survival{Request: a.Key.Request, Target: a.Targets[0], AliveAfter: candidateMaxAge}
	for _, id := range a.open {
		s.AliveAfter = min(s.AliveAfter, t.targets[id].aliveAt.Sub(a.RunsUntil))
	}
	if len(t.survivals) < maxCandidates {
		t.survivals = append(t.survivals, s)
	}
}

// TakeSurvivals returns the survivals since the last call.
func (t *Tracker) TakeSurvivals() []Survival {
	out := t.survivals
	t.survivals = nil
	return out
}

// CheckAnswered applies the answer of a target to the last check: it lives, under the given
// incarnation, or the one that is known if that is 0.
func (t *Tracker) CheckAnswered(now time.Time, id identifier.TargetID, number int64) Findings {
	s, ok := t.targets[id]
	if !ok {
		return Findings{}
	}
	s.isChecked = false
	if number > s.incarnation {
		findings := t.match(now, t.fail(now, id, Restarted))
		s.incarnation, s.revivals, s.aliveAt, s.isFailed = number, 0, s.checkedAt, false
		return findings
	}
	t.RecordAlive(s.checkedAt, id)
	return Findings{}
}

// CheckSkipped applies that the last check of a target could not be sent.
func (t *Tracker) CheckSkipped(id identifier.TargetID) {
	if s, ok := t.targets[id]; ok {
		s.isChecked = false
	}
}

// CheckUnanswered applies that a target did not answer the last check.
func (t *Tracker) CheckUnanswered(now time.Time, id identifier.TargetID) Findings {
	s, ok := t.targets[id]
	if !ok {
		return Findings{}
	}
	s.isChecked = false
	return t.match(now, t.fail(now, id, Unresponsive))
}
