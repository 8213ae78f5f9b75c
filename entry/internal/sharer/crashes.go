package sharer

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
)

const (
	// maxCrashes limits the crashes that are kept for peers. Those with the fewest crashes in a row
	// before them are dropped first, as a fault of many targets makes many of these.
	maxCrashes = 1024
	// maxCleared limits the requests that are remembered as cleared.
	maxCleared = 1024
)

// crash is a reported crash, when it became known, and the revision that recorded it.
type crash struct {
	crashrecorder.Crash
	at       time.Time
	revision Revision
}

// clearance is a request or a trait whose crashes count no more, and the revision that recorded that.
type clearance struct {
	id       identifier.Fingerprint
	revision Revision
}

// CrashReport tells a peer of crashes, and of requests and traits that have been answered since they seemed to cause some.
type CrashReport struct {
	// Sharer and Revision say up to where an answer to a query is complete; they are empty in a report that is sent unasked.
	Sharer   string                   `json:"sharer,omitempty"`
	Revision Revision                 `json:"revision,omitempty"`
	Crashes  []crashrecorder.Crash    `json:"crashes,omitempty"`
	Cleared  []identifier.Fingerprint `json:"cleared,omitempty"`
}

// IsEmpty reports whether the report tells of nothing.
func (r CrashReport) IsEmpty() bool { return len(r.Crashes)+len(r.Cleared) == 0 }

// RecordCrashes records what this node or a peer has found, for other peers.
func (s *Sharer) RecordCrashes(r CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	now := bootclock.Now()
	for _, c := range r.Crashes {
		s.recordCrash(now, c)
	}
	for _, id := range r.Cleared {
		s.recordClearance(id)
	}
	if s.revision == before {
		return
	}
	s.dropCrashes()
	s.notify()
}

func (s *Sharer) recordCrash(now time.Time, c crashrecorder.Crash) {
	isSame := func(known crash) bool {
		return known.Request == c.Request && known.Target == c.Target && known.Incarnation == c.Incarnation
	}
	i := slices.IndexFunc(s.crashes, isSame)
	if i >= 0 && !s.crashes[i].IsLessThan(c) {
		return
	}
	if i >= 0 {
		s.crashes = slices.Delete(s.crashes, i, i+1)
	}
	s.revision++
	s.crashes = append(s.crashes, crash{Crash: c, at: now.Add(-time.Duration(c.AgeMS) * time.Millisecond), revision: s.revision})
}

// recordClearance records that the crashes of a request count no more, or those of a trait as such.
func (s *Sharer) recordClearance(id identifier.Fingerprint) {
	isChanged := false
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool {
		isChanged = isChanged || c.Request == id
		return c.Request == id
	})
	for i, c := range s.crashes {
		if c.Group == id {
			s.crashes[i].Group, s.crashes[i].GroupDepth, isChanged = 0, 0, true
		}
		if isPart := func(p crashrecorder.TraitCrash) bool { return p.Trait == id }; slices.ContainsFunc(c.Parts, isPart) {
			s.crashes[i].Parts, isChanged = slices.DeleteFunc(slices.Clone(c.Parts), isPart), true
		}
	}
	if !isChanged {
		return
	}
	s.revision++
	s.cleared = append(s.cleared, clearance{id: id, revision: s.revision})
}

// dropCrashes keeps the crashes and clearances within their limits.
func (s *Sharer) dropCrashes() {
	s.cleared = s.cleared[max(0, len(s.cleared)-maxCleared):]
	if len(s.crashes) <= maxCrashes {
		return
	}
	slices.SortFunc(s.crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(b.MaxDepth(), a.MaxDepth()), cmp.Compare(b.revision, a.revision))
	})
	s.crashes = s.crashes[:maxCrashes]
}

// newCrashes returns what has been recorded after a revision. s.mu must be held.
func (s *Sharer) newCrashes(since Revision) CrashReport {
	out := CrashReport{Sharer: s.id, Revision: s.revision}
	now := bootclock.Now()
	for _, c := range s.crashes {
		if c.revision > since {
			c.AgeMS = now.Sub(c.at).Milliseconds()
			out.Crashes = append(out.Crashes, c.Crash)
		}
	}
	for _, c := range s.cleared {
		if c.revision > since {
			out.Cleared = append(out.Cleared, c.id)
		}
	}
	return out
}

// ServeCrashes answers a peer's query for crashes, also while this node does not read the store.
func (s *Sharer) ServeCrashes(_ context.Context, params json.RawMessage) (any, error) {
	var q Query
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decoding a query for crashes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since := q.Revision
	if q.Sharer != s.id || q.Revision > s.revision {
		since = 0
	}
	return s.newCrashes(since), nil
}
