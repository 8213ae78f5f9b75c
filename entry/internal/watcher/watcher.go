// Package watcher keeps what is known of each target: what it holds, its reported
// load, and whether it may be given work. Each target is polled by a few observer
// nodes, which tell the others.
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
	vmInterval     = 500 * time.Millisecond
	statusInterval = 250 * time.Millisecond
	probeInterval  = 250 * time.Millisecond
	scanInterval   = 50 * time.Millisecond
	// loadInterval and loadPerTarget bound how often changed loads are published, as each
	// time costs in proportion to the targets.
	loadInterval  = 50 * time.Millisecond
	loadPerTarget = 50 * time.Microsecond
	// failuresToDown is the number of failed polls in a row that take a target out.
	failuresToDown = 3
	// pollsPerSecond bounds the polls of a node that observes many targets.
	pollsPerSecond = 100
	// unheardInterval is how often a node of many polls a target of which it has heard nothing.
	unheardInterval = 5 * time.Second
	// refreshInterval is how often an observer tells a target's state again, changed or not.
	refreshInterval = time.Second
	// fullMesh is the number of nodes up to which each hears every report of every other;
	// above it a report counts as long as its observer lives.
	fullMesh = 11
	// staleAfter is how long a report counts; a node that has none younger polls the target itself.
	staleAfter = 2500 * time.Millisecond
	// missingGrace is how long a target that is missing from the VM list is kept.
	missingGrace = 2 * time.Second
	// markKept is how long a leaving mark waits for its target to be listed.
	markKept = time.Minute
)

// Watcher is the sub-reducer of target health.
type Watcher struct {
	self      identifier.NodeID
	observers []Observer
	alive     map[identifier.NodeID]bool
	entries   map[identifier.TargetID]*entry
	// marks holds leaving marks of targets that the VM list has not shown yet.
	marks    map[identifier.TargetID]waitingMark
	sequence uint64
	observed int
	vmsRead  time.Time
	// isListed says that a VM list was read at all.
	isListed bool
	scanned  time.Time
	// order holds the entries' ids in order; it is nil when it must be made again.
	order []identifier.TargetID
	dirty bool
	// loadChanged says that only loads have changed since published.
	loadChanged bool
	published   time.Time
}

type waitingMark struct {
	report Report
	until  time.Time
}

// NewWatcher returns a watcher that knows no target. Its reports are numbered from the node's incarnation on.
func NewWatcher(self Observer, incarnation identifier.Incarnation) *Watcher {
	return &Watcher{
		self: self.Node, observers: []Observer{self}, sequence: uint64(incarnation),
		alive: map[identifier.NodeID]bool{}, entries: map[identifier.TargetID]*entry{}, marks: map[identifier.TargetID]waitingMark{},
	}
}

// Apply takes one event and returns what to do.
func (w *Watcher) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case VMsRead:
		return w.vms(now, ev.VMs)
	case StatusRead:
		return w.status(now, ev)
	case ServiceReached:
		return w.serviceReached(now, ev)
	case StatusFailed:
		return w.statusFailed(now, ev)
	case TargetFailed:
		return w.targetFailed(now, ev.Target)
	case ReportsHeard:
		return w.heard(now, ev.Reports)
	case ObserversChanged:
		w.assign(ev.Observers)
	case messenger.Tick:
		return w.tick(now)
	}
	return nil
}

func (w *Watcher) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	if now.Sub(w.vmsRead) >= vmInterval {
		w.vmsRead = now
		effects = append(effects, ReadVMs{})
	}
	w.loadDue(now)
	if now.Sub(w.scanned) < scanInterval {
		return w.publish(effects)
	}
	w.scanned = now
	return w.publish(append(effects, w.scan(now)...))
}

// scan polls what is due and lets reports grow old.
func (w *Watcher) scan(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, e := range w.ordered() {
		effects = append(effects, w.poll(now, e)...)
		effects = append(effects, w.decide(now, e, "reports are too old")...)
	}
	for id, m := range w.marks {
		if now.After(m.until) {
			delete(w.marks, id)
		}
	}
	return effects
}

// poll polls a target that this node observes, has evidence against, or hears nothing about.
func (w *Watcher) poll(now time.Time, e *entry) []messenger.Effect {
	if e.polling {
		return nil
	}
	if e.target.Role == platformcaller.RoleService {
		if e.failures == 0 || now.Sub(e.polled) < probeInterval {
			return nil
		}
		e.polled, e.polling = now, true
		return []messenger.Effect{ProbeService{Target: e.target.ID, Address: e.target.Address}}
	}
	if now.Sub(e.polled) < w.pollInterval(e) || (!e.observed && e.failures == 0 && w.isFresh(now, e)) {
		return nil
	}
	e.polled, e.polling = now, true
	return []messenger.Effect{ReadStatus{Target: e.target.ID, Address: e.target.Address}}
}

// pollInterval grows with the number of targets that the node observes, and for
// targets of which it waits to hear.
func (w *Watcher) pollInterval(e *entry) time.Duration {
	if !e.observed && e.failures == 0 && len(w.observers) > fullMesh {
		return unheardInterval
	}
	return max(statusInterval, time.Second*time.Duration(w.observed)/pollsPerSecond)
}

func (w *Watcher) status(now time.Time, ev StatusRead) []messenger.Effect {
	s := ev.Status
	e, ok := w.entries[s.Target]
	if !ok || e.target.Address != ev.Address {
		return nil
	}
	e.polling, e.failures = false, 0
	e.views[w.self] = view{heard: now, status: s}
	effects := w.leave(e, s.Leaving, s.Generation, "the engine says so")
	effects = append(effects, w.decide(now, e, "answered a poll")...)
	return w.publish(append(effects, w.tell(now, e)...))
}

func (w *Watcher) serviceReached(now time.Time, ev ServiceReached) []messenger.Effect {
	e, ok := w.entries[ev.Target]
	if !ok || e.target.Address != ev.Address {
		return nil
	}
	e.polling, e.failures = false, 0
	return w.publish(w.decide(now, e, "accepts connections"))
}

func (w *Watcher) statusFailed(now time.Time, ev StatusFailed) []messenger.Effect {
	e, ok := w.entries[ev.Target]
	if !ok || e.target.Address != ev.Address {
		return nil
	}
	e.polling = false
	e.failures++
	return w.publish(w.failed(now, e, "does not answer polls"))
}

// targetFailed takes the target out at this node until it answers a poll or probe of this node.
func (w *Watcher) targetFailed(now time.Time, id identifier.TargetID) []messenger.Effect {
	e, ok := w.entries[id]
	if !ok {
		return nil
	}
	e.failures = max(e.failures, failuresToDown)
	return w.publish(w.failed(now, e, "work failed on a new connection"))
}

func (w *Watcher) failed(now time.Time, e *entry, reason string) []messenger.Effect {
	if e.failures < failuresToDown {
		return nil
	}
	delete(e.views, w.self)
	effects := w.decide(now, e, reason)
	return append(effects, w.tell(now, e)...)
}

// move changes the state and says why.
func (w *Watcher) move(e *entry, to State, reason string) []messenger.Effect {
	if e.target.State == to {
		return nil
	}
	from := e.target.State
	e.target.State = to
	w.dirty = true
	return []messenger.Effect{w.explain(e, to, from, reason)}
}

func (w *Watcher) explain(e *entry, to, from State, reason string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.TargetStateChange, Subject: "target/" + string(e.target.ID),
		Values: []any{"state", to, "before", from, "reason", reason, "generation", e.target.Status.Generation},
	}
}

// loadDue lets changed loads be published when the last time was long enough ago.
func (w *Watcher) loadDue(now time.Time) {
	interval := max(loadInterval, time.Duration(len(w.entries))*loadPerTarget)
	if w.loadChanged && now.Sub(w.published) >= interval {
		w.dirty, w.published = true, now
	}
}

// publish brings the targets to everyone when one has changed.
func (w *Watcher) publish(effects []messenger.Effect) []messenger.Effect {
	if !w.dirty {
		return effects
	}
	w.dirty, w.loadChanged = false, false
	targets := make([]Target, 0, len(w.entries))
	for _, e := range w.ordered() {
		targets = append(targets, e.target)
	}
	return append(effects, messenger.Broadcast{Event: TargetsChanged{Targets: targets}})
}

func (w *Watcher) ordered() []*entry {
	if w.order == nil {
		for id := range w.entries {
			w.order = append(w.order, id)
		}
		sort.Slice(w.order, func(i, j int) bool { return w.order[i] < w.order[j] })
	}
	all := make([]*entry, 0, len(w.order))
	for _, id := range w.order {
		all = append(all, w.entries[id])
	}
	return all
}
