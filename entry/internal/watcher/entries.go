package watcher

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

// view is what one node last said of a target.
type view struct {
	sequence uint64
	down     bool
	heard    time.Time
	status   enginecaller.Status
}

type entry struct {
	target Target
	listed bool
	// missing is since when VM lists have not had the target.
	missing time.Time
	// listLeaving says that the newest VM list has the target as leaving.
	listLeaving bool
	// leaving marks the target as leaving in leftGeneration and all generations before it.
	leaving        bool
	leftGeneration identifier.Generation

	// watchers are the nodes that poll the target for all; observed says that this node is one.
	watchers []identifier.NodeID
	observed bool
	polled   time.Time
	polling  bool
	failures int

	views  map[identifier.NodeID]view
	told   Report
	toldAt time.Time
}

// counts reports whether what the node said of a target still counts.
func (w *Watcher) counts(now time.Time, e *entry, node identifier.NodeID, v view) bool {
	if len(w.observers) <= fullMesh || node == w.self {
		return now.Sub(v.heard) < staleAfter
	}
	return slices.Contains(e.watchers, node)
}

func (w *Watcher) isFresh(now time.Time, e *entry) bool {
	for node, v := range e.views {
		if w.counts(now, e, node, v) {
			return true
		}
	}
	return false
}

// vms takes a VM list. An empty one is no news of a fleet that has targets.
func (w *Watcher) vms(now time.Time, vms []platformcaller.VM) []messenger.Effect {
	w.dirty = w.dirty || !w.isListed
	w.isListed = true
	if len(vms) == 0 {
		return w.publish(nil)
	}
	for _, e := range w.entries {
		e.listed = false
	}
	var effects []messenger.Effect
	for _, vm := range vms {
		if vm.Role != platformcaller.RoleEntry {
			effects = append(effects, w.list(now, vm)...)
		}
	}
	return w.publish(append(effects, w.dropMissing(now)...))
}

// dropMissing drops targets that lists have not had for some time, as one list may miss some.
func (w *Watcher) dropMissing(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, e := range w.ordered() {
		switch {
		case e.listed:
			e.missing = time.Time{}
		case e.missing.IsZero():
			e.missing = now
		case now.Sub(e.missing) >= missingGrace:
			w.remove(e.target.ID)
			effects = append(effects, w.explain(e, "gone", e.target.State, "missing from the VM list"))
		}
	}
	return effects
}

func (w *Watcher) list(now time.Time, vm platformcaller.VM) []messenger.Effect {
	id := identifier.TargetID(vm.ID)
	e, ok := w.entries[id]
	if !ok || e.target.Role != vm.Role || e.target.Address != vm.Address || e.target.Service != vm.Service {
		e = w.add(now, vm)
	}
	e.listed, e.listLeaving = true, vm.Leaving
	if e.target.DataCentre != vm.DataCentre {
		e.target.DataCentre = vm.DataCentre
		w.dirty = true
		w.assignOne(e)
	}
	effects := w.leave(e, vm.Leaving, e.target.Status.Generation, "the VM list says so")
	return append(effects, w.decide(now, e, "listed")...)
}

// add starts a target afresh; one whose role or address changed is another VM.
func (w *Watcher) add(now time.Time, vm platformcaller.VM) *entry {
	id := identifier.TargetID(vm.ID)
	w.remove(id)
	e := &entry{views: map[identifier.NodeID]view{}, target: Target{
		ID: id, Role: vm.Role, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, State: StateUnknown,
	}}
	w.entries[id] = e
	w.assignOne(e)
	if m, ok := w.marks[id]; ok && now.Before(m.until) {
		delete(w.marks, id)
		e.leaving, e.leftGeneration = true, m.report.Generation
	}
	return e
}

func (w *Watcher) remove(id identifier.TargetID) {
	if e, ok := w.entries[id]; ok && e.observed {
		w.observed--
	}
	delete(w.entries, id)
	w.order = nil
	w.dirty = true
}

// leave marks the target as leaving when there is a sign of it, and tells everyone at
// once. The mark goes only with a later generation, once every sign of it has gone.
func (w *Watcher) leave(e *entry, sign bool, generation identifier.Generation, reason string) []messenger.Effect {
	if !sign && !e.listLeaving {
		w.stay(e, generation)
		return nil
	}
	before, known := e.leftGeneration, e.leaving
	e.leaving = true
	e.leftGeneration = max(e.leftGeneration, generation)
	effects := w.move(e, StateLeaving, reason)
	if known && before == e.leftGeneration {
		return effects
	}
	return append(effects, w.tellLeaving(e))
}

// tellLeaving spreads the mark alone: it is short, and what the target holds is known.
func (w *Watcher) tellLeaving(e *entry) messenger.Effect {
	w.sequence++
	e.told.Leaving, e.told.Generation = true, max(e.told.Generation, e.leftGeneration)
	r := Report{Target: e.target.ID, Observer: w.self, Sequence: w.sequence, Unseen: true, Leaving: true, Generation: e.leftGeneration}
	return messenger.Raise{Event: Spread{Reports: []Report{r}, Urgency: AtOnce}}
}

// stay drops the mark of an older load. The first generation that is seen of a marked target is marked too.
func (w *Watcher) stay(e *entry, generation identifier.Generation) {
	switch {
	case !e.leaving || generation <= e.leftGeneration:
	case e.listLeaving, e.leftGeneration == 0:
		e.leftGeneration = generation
	default:
		e.leaving = false
	}
}

// decide brings the state and the status in line with what is known.
func (w *Watcher) decide(now time.Time, e *entry, reason string) []messenger.Effect {
	if s, ok := w.newest(now, e); ok && s != e.target.Status {
		w.renew(e, s)
	}
	return w.move(e, w.state(now, e), reason)
}

// renew takes a newer status; one in which only the load differs can wait to be published.
func (w *Watcher) renew(e *entry, s enginecaller.Status) {
	before := e.target.Status
	before.Queued = s.Queued
	if s == before {
		w.loadChanged = true
	} else {
		w.dirty = true
	}
	e.target.Status = s
}

func (w *Watcher) state(now time.Time, e *entry) State {
	if e.leaving {
		return StateLeaving
	}
	if e.failures >= failuresToDown {
		return StateDown
	}
	if e.target.Role == platformcaller.RoleService {
		return StateUp
	}
	if own, ok := e.views[w.self]; ok && e.observed && w.counts(now, e, w.self, own) {
		return StateUp
	}
	return w.vote(now, e)
}

// vote takes the word of most who count, as one observer's own link may be broken.
// Where none counts the state stays what it was.
func (w *Watcher) vote(now time.Time, e *entry) State {
	up, down := 0, 0
	for node, v := range e.views {
		switch {
		case !w.counts(now, e, node, v):
		case v.down:
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
	case e.target.State == StateLeaving:
		return StateUnknown
	}
	return e.target.State
}

// newest returns the status of the highest generation, the latest heard of those.
func (w *Watcher) newest(now time.Time, e *entry) (enginecaller.Status, bool) {
	var best view
	var node identifier.NodeID
	found := false
	for id, v := range e.views {
		if v.down || !w.counts(now, e, id, v) {
			continue
		}
		later := v.heard.After(best.heard) || (v.heard.Equal(best.heard) && id > node)
		if !found || v.status.Generation > best.status.Generation || (v.status.Generation == best.status.Generation && later) {
			best, node, found = v, id, true
		}
	}
	return best.status, found
}

// tell spreads an observed engine's state: at once when more than its load changed.
func (w *Watcher) tell(now time.Time, e *entry) []messenger.Effect {
	if !e.observed || e.target.Role != platformcaller.RoleEngine {
		return nil
	}
	r, t := w.report(e), e.told
	switch {
	case t.Sequence == 0 || t.Down != r.Down || t.Leaving != r.Leaving || t.Generation != r.Generation || !sameButLoad(t.Status, r.Status):
		return []messenger.Effect{w.spread(now, e, AtOnce)}
	case t.Queued != r.Queued:
		return []messenger.Effect{w.spread(now, e, Soon)}
	case now.Sub(e.toldAt) >= refreshInterval:
		return []messenger.Effect{w.spread(now, e, Later)}
	}
	return nil
}

// sameButLoad reports whether two reports differ in nothing but the load.
func sameButLoad(a, b *enginecaller.Status) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	x.Queued = y.Queued
	return x == y
}

// report returns what this node itself has seen of a target.
func (w *Watcher) report(e *entry) Report {
	r := Report{Target: e.target.ID, Observer: w.self, Leaving: e.leaving, Generation: e.leftGeneration, Down: e.failures >= failuresToDown}
	own, ok := e.views[w.self]
	r.Unseen = !ok && !r.Down
	if ok {
		s := own.status
		r.Status, r.Queued, r.Generation = &s, s.Queued, max(r.Generation, s.Generation)
	}
	return r
}

func (w *Watcher) spread(now time.Time, e *entry, urgency Urgency) messenger.Effect {
	w.sequence++
	r := w.report(e)
	r.Sequence = w.sequence
	e.told, e.toldAt = r, now
	if urgency != AtOnce {
		r.Status = nil
	}
	return messenger.Raise{Event: Spread{Reports: []Report{r}, Urgency: urgency}}
}
