package crashtracker

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
)

const (
	// minReporters is how many other nodes must have seen a target fail for this one to believe it: a single node may have
	// lost its way to targets that are sound.
	minReporters = 2
	// maxReportAge is the age from which on the report of a failure says nothing of the target's present state.
	maxReportAge = time.Second
)

// failureReports are the reports of other nodes that one incarnation of a target has failed.
type failureReports struct {
	incarnation int64
	reporters   map[string]bool
	lastAt      time.Time
}

// NoteReport notes that another node has detected a crash of a target, and reports whether enough of them have seen its
// current incarnation fail, while nothing shows this node that it has lived since.
func (t *Tracker) NoteReport(now time.Time, c crashrecorder.Crash) bool {
	age := time.Duration(c.AgeMS) * time.Millisecond
	s, ok := t.targets[c.Target]
	if !ok || c.Reporter == "" || age >= maxReportAge {
		return false
	}
	if s.isFailed || s.incarnation+s.revivals > c.Incarnation || s.aliveAt.After(now.Add(-age)) {
		return false
	}
	r := t.reported[c.Target]
	if r == nil || r.incarnation != c.Incarnation || now.Sub(r.lastAt) >= maxReportAge {
		r = &failureReports{incarnation: c.Incarnation, reporters: map[string]bool{}}
		t.reported[c.Target] = r
	}
	r.reporters[c.Reporter], r.lastAt = true, now
	return len(r.reporters) >= minReporters
}

// dropReports forgets what was reported of targets that are gone.
func (t *Tracker) dropReports(isPresent map[identifier.TargetID]bool) {
	for id := range t.reported {
		if !isPresent[id] {
			delete(t.reported, id)
		}
	}
}
