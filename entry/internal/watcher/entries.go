package watcher

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

// observation is what one node last reported about a target.
type observation struct {
	sequence   uint64
	down       bool
	receivedAt time.Time
	status     enginecaller.Status
}

type trackedTarget struct {
	target Target
	// listed means that the newest VM list contains the target.
	listed bool
	// missingSince is when the target was first absent from the VM list; zero if it is listed.
	missingSince time.Time
	// leavingInList means that the newest VM list marks the target as leaving.
	leavingInList bool
	// leaving marks the target as leaving in leavingGeneration and all earlier generations.
	leaving           bool
	leavingGeneration identifier.Generation

	// observers are the nodes that poll the target on behalf of all; isObserver means that this
	// node is one of them.
	observers  []identifier.NodeID
	isObserver bool
	lastPoll   time.Time
	polling    bool
	failures   int

	observations map[identifier.NodeID]observation
	lastReport   Report
	lastReportAt time.Time
}

// isCurrent reports whether a node's observation of a target is still valid.
func (w *Watcher) isCurrent(now time.Time, t *trackedTarget, node identifier.NodeID, o observation) bool {
	if len(w.observers) <= fullMeshSize || node == w.self {
		return now.Sub(o.receivedAt) < reportTTL
	}
	return slices.Contains(t.observers, node)
}

func (w *Watcher) hasCurrent(now time.Time, t *trackedTarget) bool {
	for node, o := range t.observations {
		if w.isCurrent(now, t, node, o) {
			return true
		}
	}
	return false
}

// handleVMs applies a VM list. An empty list is ignored, since it does not prove that all targets
// are gone.
func (w *Watcher) handleVMs(now time.Time, vms []platformcaller.VM) []messenger.Effect {
	w.dirty = w.dirty || !w.listRead
	w.listRead = true
	if len(vms) == 0 {
		return w.publish(nil)
	}
	for _, t := range w.targets {
		t.listed = false
	}
	var effects []messenger.Effect
	for _, vm := range vms {
		if vm.Role != platformcaller.RoleEntry {
			effects = append(effects, w.listVM(now, vm)...)
		}
	}
	return w.publish(append(effects, w.dropMissing(now)...))
}

// dropMissing removes targets that have been absent from the VM list for missingGrace. A single
// list may be incomplete.
func (w *Watcher) dropMissing(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, t := range w.sortedTargets() {
		switch {
		case t.listed:
			t.missingSince = time.Time{}
		case t.missingSince.IsZero():
			t.missingSince = now
		case now.Sub(t.missingSince) >= missingGrace:
			w.removeTarget(t.target.ID)
			effects = append(effects, w.logState(t, "gone", t.target.State, "missing from the VM list"))
		}
	}
	return effects
}

func (w *Watcher) listVM(now time.Time, vm platformcaller.VM) []messenger.Effect {
	id := identifier.TargetID(vm.ID)
	t, ok := w.targets[id]
	if !ok || t.target.Role != vm.Role || t.target.Address != vm.Address || t.target.Service != vm.Service {
		t = w.addTarget(now, vm)
	}
	t.listed, t.leavingInList = true, vm.Leaving
	if t.target.DataCentre != vm.DataCentre {
		t.target.DataCentre = vm.DataCentre
		w.dirty = true
		w.assignTarget(t)
	}
	effects := w.markLeaving(t, vm.Leaving, t.target.Status.Generation, "reported by the VM list")
	return append(effects, w.update(now, t, "listed")...)
}

// addTarget starts tracking a target from scratch. A target whose role, service or address changed
// is a different VM.
func (w *Watcher) addTarget(now time.Time, vm platformcaller.VM) *trackedTarget {
	id := identifier.TargetID(vm.ID)
	w.removeTarget(id)
	t := &trackedTarget{observations: map[identifier.NodeID]observation{}, target: Target{
		ID: id, Role: vm.Role, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, State: StateUnknown,
	}}
	w.targets[id] = t
	w.assignTarget(t)
	if m, ok := w.pendingMarks[id]; ok && now.Before(m.expiresAt) {
		delete(w.pendingMarks, id)
		t.leaving, t.leavingGeneration = true, m.report.Generation
	}
	return t
}

func (w *Watcher) removeTarget(id identifier.TargetID) {
	if t, ok := w.targets[id]; ok && t.isObserver {
		w.observedCount--
	}
	delete(w.targets, id)
	w.sortedIDs = nil
	w.dirty = true
}

// markLeaving marks the target as leaving if isLeaving is set or the VM list says so, and informs the
// other nodes immediately. The mark is cleared only by a later generation that is not leaving.
func (w *Watcher) markLeaving(t *trackedTarget, isLeaving bool, generation identifier.Generation, reason string) []messenger.Effect {
	if !isLeaving && !t.leavingInList {
		w.clearLeaving(t, generation)
		return nil
	}
	previousGeneration, wasLeaving := t.leavingGeneration, t.leaving
	t.leaving = true
	t.leavingGeneration = max(t.leavingGeneration, generation)
	effects := w.setState(t, StateLeaving, reason)
	if wasLeaving && previousGeneration == t.leavingGeneration {
		return effects
	}
	return append(effects, w.shareLeaving(t))
}

// shareLeaving shares only the leaving mark. That keeps the message short, and the other nodes
// already know the target's layers.
func (w *Watcher) shareLeaving(t *trackedTarget) messenger.Effect {
	w.sequence++
	t.lastReport.Leaving, t.lastReport.Generation = true, max(t.lastReport.Generation, t.leavingGeneration)
	r := Report{Target: t.target.ID, Observer: w.self, Sequence: w.sequence, NoPollResult: true, Leaving: true, Generation: t.leavingGeneration}
	return messenger.Raise{Event: ShareReports{Reports: []Report{r}, Urgency: AtOnce}}
}

// clearLeaving clears the mark of an earlier generation. If the VM list still marks the target, or the
// mark has no generation yet, the mark takes the reported generation instead.
func (w *Watcher) clearLeaving(t *trackedTarget, generation identifier.Generation) {
	switch {
	case !t.leaving || generation <= t.leavingGeneration:
	case t.leavingInList, t.leavingGeneration == 0:
		t.leavingGeneration = generation
	default:
		t.leaving = false
	}
}

// update brings the target's state and status in line with the observations.
func (w *Watcher) update(now time.Time, t *trackedTarget, reason string) []messenger.Effect {
	if s, ok := w.newestStatus(now, t); ok && s != t.target.Status {
		w.setStatus(t, s)
	}
	return w.setState(t, w.deriveState(now, t), reason)
}

// setStatus stores a newer status. If only the load differs, it need not be published at once.
func (w *Watcher) setStatus(t *trackedTarget, s enginecaller.Status) {
	withNewLoad := t.target.Status
	withNewLoad.Queued = s.Queued
	if s == withNewLoad {
		w.loadChanged = true
	} else {
		w.dirty = true
	}
	t.target.Status = s
}

// deriveState returns the target's state. A leaving mark comes first, then this node's own failed
// requests and polls, its own poll results as an observer, and the reports of all observers.
func (w *Watcher) deriveState(now time.Time, t *trackedTarget) State {
	if t.leaving {
		return StateLeaving
	}
	if t.failures >= downThreshold {
		return StateDown
	}
	if t.target.Role == platformcaller.RoleService {
		return StateUp
	}
	if own, ok := t.observations[w.self]; ok && t.isObserver && w.isCurrent(now, t, w.self, own) {
		return StateUp
	}
	return w.majorityState(now, t)
}

// majorityState returns the state that most current observations support, since a single observer
// may have a broken link. A tie counts as up. Without current observations the state does not
// change, except that a target that is no longer leaving becomes unknown.
func (w *Watcher) majorityState(now time.Time, t *trackedTarget) State {
	up, down := 0, 0
	for node, o := range t.observations {
		switch {
		case !w.isCurrent(now, t, node, o):
		case o.down:
			down++
		default:
			up++
		}
	}
	switch {
	case down > up:
		return StateDown
	case up > 0:
		return StateUp
	case t.target.State == StateLeaving:
		return StateUnknown
	}
	return t.target.State
}

// newestStatus returns the most recently received status of the highest generation.
func (w *Watcher) newestStatus(now time.Time, t *trackedTarget) (enginecaller.Status, bool) {
	var best observation
	var node identifier.NodeID
	found := false
	for id, o := range t.observations {
		if o.down || !w.isCurrent(now, t, id, o) {
			continue
		}
		later := o.receivedAt.After(best.receivedAt) || (o.receivedAt.Equal(best.receivedAt) && id > node)
		if !found || o.status.Generation > best.status.Generation || (o.status.Generation == best.status.Generation && later) {
			best, node, found = o, id, true
		}
	}
	return best.status, found
}

// shareReport shares the state of an engine that this node observes: immediately if more than its
// load changed.
func (w *Watcher) shareReport(now time.Time, t *trackedTarget) []messenger.Effect {
	if !t.isObserver || t.target.Role != platformcaller.RoleEngine {
		return nil
	}
	r, last := w.report(t), t.lastReport
	switch {
	case last.Sequence == 0 || last.Down != r.Down || last.Leaving != r.Leaving || last.Generation != r.Generation || !equalExceptLoad(last.Status, r.Status):
		return []messenger.Effect{w.sendReport(now, t, AtOnce)}
	case last.Queued != r.Queued:
		return []messenger.Effect{w.sendReport(now, t, Soon)}
	case now.Sub(t.lastReportAt) >= refreshInterval:
		return []messenger.Effect{w.sendReport(now, t, Later)}
	}
	return nil
}

// equalExceptLoad reports whether two statuses differ only in load.
func equalExceptLoad(a, b *enginecaller.Status) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.Queued = y.Queued
	return x == y
}

// report returns what this node itself observed of a target.
func (w *Watcher) report(t *trackedTarget) Report {
	r := Report{Target: t.target.ID, Observer: w.self, Leaving: t.leaving, Generation: t.leavingGeneration, Down: t.failures >= downThreshold}
	own, ok := t.observations[w.self]
	r.NoPollResult = !ok && !r.Down
	if ok {
		s := own.status
		r.Status, r.Queued, r.Generation = &s, s.Queued, max(r.Generation, s.Generation)
	}
	return r
}

func (w *Watcher) sendReport(now time.Time, t *trackedTarget, urgency Urgency) messenger.Effect {
	w.sequence++
	r := w.report(t)
	r.Sequence = w.sequence
	t.lastReport, t.lastReportAt = r, now
	if urgency != AtOnce {
		r.Status = nil
	}
	return messenger.Raise{Event: ShareReports{Reports: []Report{r}, Urgency: urgency}}
}
