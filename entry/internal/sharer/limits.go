package sharer

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/limiter"
)

// endedLimitAge is how long the end of a limit is kept for peers.
const endedLimitAge = 5 * time.Minute

// limit is what is known of a target's request limit, and the revision that recorded it.
type limit struct {
	limiter.Knowledge
	revision Revision
}

// RecordLimits records what this node or a peer knows of limits, for other peers.
func (s *Sharer) RecordLimits(reports []limiter.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	now := bootclock.Now()
	maps.DeleteFunc(s.limits, func(_ identifier.TargetID, l limit) bool { return l.IsEnded && now.Sub(l.At) > endedLimitAge })
	for _, r := range reports {
		s.recordLimit(r.Target, r.Knowledge(now))
	}
	if s.revision != before {
		s.notify()
	}
}

func (s *Sharer) recordLimit(target identifier.TargetID, k limiter.Knowledge) {
	known, ok := s.limits[target]
	if !k.At.After(known.At) || (ok && k.IsSameAs(known.Knowledge)) || (!ok && k.IsEnded) {
		return
	}
	s.revision++
	s.limits[target] = limit{Knowledge: k, revision: s.revision}
}

// newLimits returns the limits that have been recorded after a revision. s.mu must be held.
func (s *Sharer) newLimits(since Revision) []limiter.Report {
	var out []limiter.Report
	now := bootclock.Now()
	for target, l := range s.limits {
		if l.revision > since {
			out = append(out, limiter.NewReport(now, target, l.Knowledge))
		}
	}
	return out
}
