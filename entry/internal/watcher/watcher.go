// Package watcher tracks the state of each target: the layers it holds, its reported load, and
// whether it may be given work. A few observer nodes poll each target and share the results.
package watcher

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	// Intervals between reads of the VM list, polls of an engine, probes of a failed service, and
	// checks which polls are due.
	vmInterval     = 500 * time.Millisecond
	statusInterval = 250 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	scanInterval   = 50 * time.Millisecond
	// loadPublishInterval and loadPublishPerTarget limit how often changed loads are published,
	// since the cost of publishing is proportional to the number of targets.
	loadPublishInterval  = 50 * time.Millisecond
	loadPublishPerTarget = 50 * time.Microsecond
	// downThreshold is the number of consecutive failed polls after which a target is down.
	downThreshold = 3
	// maxPollsPerSecond limits the polls of a node that observes many targets.
	maxPollsPerSecond = 100
	// unreportedInterval is how often a node in a large fleet polls a target without current
	// reports.
	unreportedInterval = 5 * time.Second
	// refreshInterval is how often an observer repeats an unchanged report.
	refreshInterval = time.Second
	// fullMeshSize is the largest number of nodes at which each node receives every report of every
	// other. In larger fleets, a report stays valid as long as its observer is alive.
	fullMeshSize = 11
	// reportTTL is how long a report stays valid. A node without a valid report polls the target
	// itself.
	reportTTL = 2500 * time.Millisecond
	// missingGrace is how long a target that is absent from the VM list is kept.
	missingGrace = 2 * time.Second
	// pendingMarkTTL is how long a leaving mark is kept for a target that is not listed yet.
	pendingMarkTTL = time.Minute
)

// Watcher is the reducer that tracks target health.
type Watcher struct {
	self       identifier.NodeID
	observers  []Observer
	aliveNodes map[identifier.NodeID]bool
	targets    map[identifier.TargetID]*trackedTarget
	// pendingMarks holds leaving marks of targets that the VM list does not contain yet.
	pendingMarks map[identifier.TargetID]pendingMark
	// sequence is the number of this node's last report.
	sequence uint64
	// observedCount counts the targets that this node observes.
	observedCount int
	lastListRead  time.Time
	// listRead means that at least one VM list has been read.
	listRead bool
	lastScan time.Time
	// sortedIDs caches the sorted target ids; nil when it must be rebuilt.
	sortedIDs []identifier.TargetID
	// dirty means that the targets must be published.
	dirty bool
	// loadChanged means that a load changed since the last publication.
	loadChanged bool
	lastPublish time.Time
}

type pendingMark struct {
	report    Report
	expiresAt time.Time
}

// NewWatcher returns a Watcher without targets. Its reports are numbered from the node's
// incarnation on, so that numbers grow across restarts.
func NewWatcher(self Observer, incarnation identifier.Incarnation) *Watcher {
	return &Watcher{
		self: self.Node, observers: []Observer{self}, sequence: uint64(incarnation),
		aliveNodes: map[identifier.NodeID]bool{}, targets: map[identifier.TargetID]*trackedTarget{}, pendingMarks: map[identifier.TargetID]pendingMark{},
	}
}

// Apply applies one event and returns the effects to run.
func (w *Watcher) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case VMsRead:
		return w.handleVMs(now, ev.VMs)
	case StatusRead:
		return w.handleStatus(now, ev)
	case ServiceReached:
		return w.handleServiceReached(now, ev)
	case StatusFailed:
		return w.handleStatusFailed(now, ev)
	case TargetFailed:
		return w.handleTargetFailed(now, ev.Target)
	case ReportsReceived:
		return w.handleReports(now, ev.Reports)
	case ObserversChanged:
		w.assignObservers(ev.Observers)
	case messenger.Tick:
		return w.tick(now)
	}
	return nil
}

func (w *Watcher) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	if now.Sub(w.lastListRead) >= vmInterval {
		w.lastListRead = now
		effects = append(effects, ReadVMs{})
	}
	w.markLoadDue(now)
	if now.Sub(w.lastScan) < scanInterval {
		return w.publish(effects)
	}
	w.lastScan = now
	return w.publish(append(effects, w.scan(now)...))
}

// scan polls the targets that are due and expires old reports.
func (w *Watcher) scan(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, t := range w.sortedTargets() {
		effects = append(effects, w.poll(now, t)...)
		effects = append(effects, w.update(now, t, "reports expired")...)
	}
	for id, m := range w.pendingMarks {
		if now.After(m.expiresAt) {
			delete(w.pendingMarks, id)
		}
	}
	return effects
}

// poll polls a target if this node observes it, if it failed recently, or if there are no valid
// reports about it.
func (w *Watcher) poll(now time.Time, t *trackedTarget) []messenger.Effect {
	if t.polling {
		return nil
	}
	if t.target.Role == platformcaller.RoleService {
		if t.failures == 0 || now.Sub(t.lastPoll) < probeInterval {
			return nil
		}
		t.lastPoll, t.polling = now, true
		return []messenger.Effect{ProbeService{Target: t.target.ID, Address: t.target.Address}}
	}
	if now.Sub(t.lastPoll) < w.pollInterval(t) || (!t.isObserver && t.failures == 0 && w.hasCurrent(now, t)) {
		return nil
	}
	t.lastPoll, t.polling = now, true
	return []messenger.Effect{ReadStatus{Target: t.target.ID, Address: t.target.Address}}
}

// pollInterval grows with the number of targets that the node observes, and is longest for targets
// of other observers in a large fleet.
func (w *Watcher) pollInterval(t *trackedTarget) time.Duration {
	if !t.isObserver && t.failures == 0 && len(w.observers) > fullMeshSize {
		return unreportedInterval
	}
	return max(statusInterval, time.Second*time.Duration(w.observedCount)/maxPollsPerSecond)
}

func (w *Watcher) handleStatus(now time.Time, ev StatusRead) []messenger.Effect {
	s := ev.Status
	t, ok := w.targets[s.Target]
	if !ok || t.target.Address != ev.Address {
		return nil
	}
	t.polling, t.failures = false, 0
	t.observations[w.self] = observation{receivedAt: now, status: s}
	effects := w.markLeaving(t, s.Leaving, s.Generation, "reported by the engine")
	effects = append(effects, w.update(now, t, "answered a poll")...)
	return w.publish(append(effects, w.shareReport(now, t)...))
}

func (w *Watcher) handleServiceReached(now time.Time, ev ServiceReached) []messenger.Effect {
	t, ok := w.targets[ev.Target]
	if !ok || t.target.Address != ev.Address {
		return nil
	}
	t.polling, t.failures = false, 0
	return w.publish(w.update(now, t, "accepts connections"))
}

func (w *Watcher) handleStatusFailed(now time.Time, ev StatusFailed) []messenger.Effect {
	t, ok := w.targets[ev.Target]
	if !ok || t.target.Address != ev.Address {
		return nil
	}
	t.polling = false
	t.failures++
	return w.publish(w.handleFailure(now, t, "polls failed"))
}

// handleTargetFailed treats the target as down on this node until it answers a poll or probe of
// this node.
func (w *Watcher) handleTargetFailed(now time.Time, id identifier.TargetID) []messenger.Effect {
	t, ok := w.targets[id]
	if !ok {
		return nil
	}
	t.failures = max(t.failures, downThreshold)
	return w.publish(w.handleFailure(now, t, "a request failed on a new connection"))
}

func (w *Watcher) handleFailure(now time.Time, t *trackedTarget, reason string) []messenger.Effect {
	if t.failures < downThreshold {
		return nil
	}
	delete(t.observations, w.self)
	effects := w.update(now, t, reason)
	return append(effects, w.shareReport(now, t)...)
}

// setState changes the state and logs the reason.
func (w *Watcher) setState(t *trackedTarget, to State, reason string) []messenger.Effect {
	if t.target.State == to {
		return nil
	}
	from := t.target.State
	t.target.State = to
	w.dirty = true
	return []messenger.Effect{w.logState(t, to, from, reason)}
}

func (w *Watcher) logState(t *trackedTarget, to, from State, reason string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.TargetStateChanged, Subject: "target/" + string(t.target.ID),
		Values: []any{"state", to, "before", from, "reason", reason, "generation", t.target.Status.Generation},
	}
}

// markLoadDue schedules the publication of changed loads if the last one was long enough ago.
func (w *Watcher) markLoadDue(now time.Time) {
	interval := max(loadPublishInterval, time.Duration(len(w.targets))*loadPublishPerTarget)
	if w.loadChanged && now.Sub(w.lastPublish) >= interval {
		w.dirty, w.lastPublish = true, now
	}
}

// publish broadcasts all targets if any of them changed.
func (w *Watcher) publish(effects []messenger.Effect) []messenger.Effect {
	if !w.dirty {
		return effects
	}
	w.dirty, w.loadChanged = false, false
	targets := make([]Target, 0, len(w.targets))
	for _, t := range w.sortedTargets() {
		targets = append(targets, t.target)
	}
	return append(effects, messenger.Broadcast{Event: TargetsChanged{Targets: targets}})
}

func (w *Watcher) sortedTargets() []*trackedTarget {
	if w.sortedIDs == nil {
		for id := range w.targets {
			w.sortedIDs = append(w.sortedIDs, id)
		}
		sort.Slice(w.sortedIDs, func(i, j int) bool { return w.sortedIDs[i] < w.sortedIDs[j] })
	}
	all := make([]*trackedTarget, 0, len(w.sortedIDs))
	for _, id := range w.sortedIDs {
		all = append(all, w.targets[id])
	}
	return all
}
