package sharer

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/avoider"
)

// maxRejections limits the targets whose rejections are kept for peers.
const maxRejections = 256

// rejection is what a node has told of a target that rejects requests, when the rejection was, and the revision that recorded it.
type rejection struct {
	avoider.Rejection
	at       time.Time
	revision Revision
}

// expiresAt is when the target is not avoided any more.
func (r rejection) expiresAt() time.Time {
	return r.at.Add(time.Duration(r.AvoidMS) * time.Millisecond)
}

// RecordRejections records what this node or a peer has told of targets that reject requests, for other peers. Of one target the one that
// ends last is kept.
func (s *Sharer) RecordRejections(told []avoider.Rejection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := bootclock.Now(), s.revision
	maps.DeleteFunc(s.rejections, func(_ identifier.TargetID, r rejection) bool { return !now.Before(r.expiresAt()) })
	for _, t := range told {
		s.recordRejection(now, t)
	}
	if s.revision != before {
		s.notify()
	}
}

func (s *Sharer) recordRejection(now time.Time, told avoider.Rejection) {
	known, ok := s.rejections[told.Target]
	r := rejection{Rejection: told, at: now.Add(-time.Duration(told.AgeMS) * time.Millisecond), revision: s.revision + 1}
	switch {
	case !told.IsValid() || (!ok && len(s.rejections) >= maxRejections):
		return
	case ok && (told.Incarnation < known.Incarnation || !r.expiresAt().After(known.expiresAt())):
		return
	}
	s.revision++
	s.rejections[told.Target] = r
}

// newRejections returns the rejections that have been recorded after a revision, with their ages. s.mu must be held.
func (s *Sharer) newRejections(now time.Time, since Revision) []avoider.Rejection {
	var out []avoider.Rejection
	for _, r := range s.rejections {
		if r.revision <= since || !now.Before(r.expiresAt()) {
			continue
		}
		told := r.Rejection
		told.AgeMS = now.Sub(r.at).Milliseconds()
		out = append(out, told)
	}
	return out
}
