// Package pathtracker infers from a node's own attempts whether it has lost its path to the targets of a service. A target that does
// not answer may have failed; if several do not and no other one does either, the fault is more likely this node's.
package pathtracker

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// minFailures is how many targets must have failed, with no other one reached since, for a path to count as lost. A service
	// with fewer targets must have lost all.
	minFailures = 3
	// maxChecks is how many targets are checked at the same time, and checkInterval the time between two checks.
	maxChecks     = 3
	checkInterval = 150 * time.Millisecond
	// minSamples is how many targets of a lost path are checked that no request has failed to reach: all others may have failed.
	minSamples = 2
	// maxFailureAge is how long a failure counts that is not seen again.
	maxFailureAge = 15 * time.Second
)

// Target is a target, and the service that it belongs to.
type Target struct {
	ID      identifier.TargetID
	Address string
	Service identifier.ServiceID
}

// failure is a target that this node does not reach.
type failure struct {
	Target
	// failedAt is when the target was last not reached, zero if that is only presumed, as the path is lost. notedAt is when
	// either was last found.
	failedAt  time.Time
	notedAt   time.Time
	checkedAt time.Time
	// hasRequest says that a request has failed to reach the target. If the path was lost since, it is checked until it is reached.
	hasRequest bool
	isChecked  bool
}

// Change is a path that was lost or is there again.
type Change struct {
	Service identifier.ServiceID
	IsLost  bool
	// Failures counts the targets that have failed. SinceReached is how long no target of the service has been reached, and
	// SinceLost, for a path that is there again, how long it was lost.
	Failures     int
	SinceReached time.Duration
	SinceLost    time.Duration
}

// Tracker tracks the paths of one node.
type Tracker struct {
	// targets holds the known targets by id, counts their number by service.
	targets map[identifier.TargetID]Target
	counts  map[identifier.ServiceID]int
	// reachedAt is when a target of a service was last reached.
	reachedAt map[identifier.ServiceID]time.Time
	failures  map[identifier.TargetID]*failure
	// lost holds since when paths are lost, provenAt since when the failures of their own targets prove it.
	lost      map[identifier.ServiceID]time.Time
	provenAt  map[identifier.ServiceID]time.Time
	checkedAt time.Time
	// sampled is the target of each service that was taken last as one of minSamples.
	sampled map[identifier.ServiceID]identifier.TargetID
}

// NewTracker returns a tracker to which all paths count as there.
func NewTracker() *Tracker {
	return &Tracker{
		targets: map[identifier.TargetID]Target{}, counts: map[identifier.ServiceID]int{}, reachedAt: map[identifier.ServiceID]time.Time{},
		failures: map[identifier.TargetID]*failure{}, lost: map[identifier.ServiceID]time.Time{}, provenAt: map[identifier.ServiceID]time.Time{},
		sampled: map[identifier.ServiceID]identifier.TargetID{},
	}
}

// SetTargets applies the targets that may get requests.
func (t *Tracker) SetTargets(now time.Time, targets []Target) []Change {
	clear(t.targets)
	clear(t.counts)
	for _, target := range targets {
		t.targets[target.ID] = target
		t.counts[target.Service]++
	}
	maps.DeleteFunc(t.failures, func(id identifier.TargetID, _ *failure) bool {
		_, ok := t.targets[id]
		return !ok
	})
	for _, since := range []map[identifier.ServiceID]time.Time{t.lost, t.provenAt, t.reachedAt} {
		maps.DeleteFunc(since, func(service identifier.ServiceID, _ time.Time) bool { return t.counts[service] == 0 })
	}
	return t.update(now)
}

// Reached records that a target was reached at a time: a connection was opened, or bytes have arrived.
func (t *Tracker) Reached(now, at time.Time, id identifier.TargetID) []Change {
	target, ok := t.targets[id]
	if !ok {
		return nil
	}
	if f, ok := t.failures[id]; ok && !f.failedAt.After(at) {
		delete(t.failures, id)
	}
	t.reachedAt[target.Service] = later(t.reachedAt[target.Service], at)
	if len(t.lost) == 0 {
		return nil
	}
	return t.update(now)
}

// Failed records that a request did not reach a target.
func (t *Tracker) Failed(now time.Time, id identifier.TargetID) []Change {
	return t.fail(now, id, true)
}

// CheckFailed records that a check did not reach a target.
func (t *Tracker) CheckFailed(now time.Time, id identifier.TargetID) []Change {
	return t.fail(now, id, false)
}

func (t *Tracker) fail(now time.Time, id identifier.TargetID, isRequest bool) []Change {
	target, ok := t.targets[id]
	if !ok {
		return nil
	}
	f, ok := t.failures[id]
	if !ok {
		f = &failure{Target: target}
		t.failures[id] = f
	}
	f.failedAt, f.notedAt = now, now
	f.hasRequest = f.hasRequest || isRequest
	// Another target takes its place among those that are checked as a sample.
	f.isChecked = f.isChecked && f.hasRequest
	return t.update(now)
}

// IsLost reports whether the path to the targets of a service is lost.
func (t *Tracker) IsLost(service identifier.ServiceID) bool {
	_, ok := t.lost[service]
	return ok
}

// Lost returns the services to whose targets the path is lost, in order.
func (t *Tracker) Lost() []identifier.ServiceID { return slices.Sorted(maps.Keys(t.lost)) }

// DueChecks returns the targets to be checked now, those first that were checked longest ago: of lost paths, and those that failed
// while a path was lost.
func (t *Tracker) DueChecks(now time.Time) ([]Target, []Change) {
	maps.DeleteFunc(t.failures, func(_ identifier.TargetID, f *failure) bool { return now.Sub(f.notedAt) > maxFailureAge })
	changes := t.update(now)
	if now.Sub(t.checkedAt) < checkInterval {
		return nil, changes
	}
	t.chooseChecks(now)
	var due []*failure
	for _, f := range t.failures {
		if f.isChecked {
			due = append(due, f)
		}
	}
	if len(due) == 0 {
		return nil, changes
	}
	slices.SortFunc(due, func(a, b *failure) int {
		return cmp.Or(a.checkedAt.Compare(b.checkedAt), strings.Compare(string(a.ID), string(b.ID)))
	})
	t.checkedAt = now
	var out []Target
	for _, f := range due[:min(maxChecks, len(due))] {
		f.checkedAt = now
		out = append(out, f.Target)
	}
	return out, changes
}

// chooseChecks marks the targets of lost paths that are checked: those that requests failed to reach, and a few others in turn.
func (t *Tracker) chooseChecks(now time.Time) {
	samples := map[identifier.ServiceID]int{}
	for _, f := range t.failures {
		if t.IsLost(f.Service) && f.hasRequest {
			f.isChecked = true
		}
		if f.isChecked && !f.hasRequest {
			samples[f.Service]++
		}
	}
	for service := range t.lost {
		for range minSamples - samples[service] {
			t.addSample(now, service)
		}
	}
}

// addSample marks the next target of a service, in the order of ids, to be checked.
func (t *Tracker) addSample(now time.Time, service identifier.ServiceID) {
	var first, next identifier.TargetID
	for id, target := range t.targets {
		if f := t.failures[id]; target.Service != service || (f != nil && f.isChecked) {
			continue
		}
		if first == "" || id < first {
			first = id
		}
		if id > t.sampled[service] && (next == "" || id < next) {
			next = id
		}
	}
	id := cmp.Or(next, first)
	if id == "" {
		return
	}
	t.sampled[service] = id
	if t.failures[id] == nil {
		t.failures[id] = &failure{Target: t.targets[id]}
	}
	t.failures[id].notedAt, t.failures[id].isChecked = now, true
}

// update finds out which paths are lost, and returns what has changed.
func (t *Tracker) update(now time.Time) []Change {
	failed := t.countFailures()
	var lastProven time.Time
	for service, n := range t.counts {
		if failed[service] < min(minFailures, n) {
			delete(t.provenAt, service)
			continue
		}
		if t.provenAt[service].IsZero() {
			t.provenAt[service] = now
		}
		lastProven = later(lastProven, t.provenAt[service])
	}
	var changes []Change
	for service := range t.counts {
		// A service whose targets have not been reached since another path was lost shares its fate until they are.
		isLost := !t.provenAt[service].IsZero() || (!lastProven.IsZero() && !t.reachedAt[service].After(lastProven))
		if isLost == t.IsLost(service) {
			continue
		}
		changes = append(changes, Change{
			Service: service, IsLost: isLost, Failures: failed[service], SinceReached: now.Sub(t.reachedAt[service]), SinceLost: now.Sub(t.lost[service]),
		})
		if isLost {
			t.lost[service] = now
		} else {
			delete(t.lost, service)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return changes
}

// countFailures counts the targets of each service that have failed since one of them was reached.
func (t *Tracker) countFailures() map[identifier.ServiceID]int {
	counts := map[identifier.ServiceID]int{}
	for _, f := range t.failures {
		if !f.failedAt.IsZero() && f.failedAt.After(t.reachedAt[f.Service]) {
			counts[f.Service]++
		}
	}
	return counts
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
