package sharer

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

// load is a report of a target's load, the time of its values, and the revision that recorded it.
type load struct {
	report   loadtracker.Report
	at       time.Time
	revision Revision
}

// RecordLoads records reports of targets' load that this node has just received, for its peers. Peers that ask at that time get all of
// them with one answer.
func (s *Sharer) RecordLoads(reports []loadtracker.Report) {
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(s.loads, func(_ identifier.TargetID, l load) bool { return now.Sub(l.at) >= loadtracker.MaxAge })
	s.revision++
	for _, r := range reports {
		s.loads[r.Target] = load{report: r, at: now.Add(-time.Duration(r.AgeMS) * time.Millisecond), revision: s.revision}
	}
	s.notify()
}

// newLoads returns the reports that have been recorded after a revision, with their ages. s.mu must be held.
func (s *Sharer) newLoads(now time.Time, since Revision) []loadtracker.Report {
	var out []loadtracker.Report
	for _, l := range s.loads {
		age := now.Sub(l.at)
		if l.revision <= since || age >= loadtracker.MaxAge {
			continue
		}
		r := l.report
		r.AgeMS = age.Milliseconds()
		out = append(out, r)
	}
	return out
}
