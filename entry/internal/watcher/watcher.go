// Package watcher keeps what is known of each target: what it holds, its reported
// load, and whether it may be given work.
package watcher

import (
	"reflect"
	"sort"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	vmInterval     = 500 * time.Millisecond
	statusInterval = 250 * time.Millisecond
	// failuresToDown is the number of failed polls in a row that take a target out.
	failuresToDown = 3
)

// State says whether a target may be given work.
type State string

// States of a target.
const (
	StateUnknown State = "unknown"
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateDown    State = "down"
)

// Target is what is known of one target. It is replaced, never changed, once published.
type Target struct {
	ID         identifier.TargetID
	Role       string
	Service    identifier.ServiceID
	Address    string
	DataCentre identifier.DataCentre
	State      State
	// Status is an engine's last report; its load lags.
	Status enginecaller.Status
}

// ReadVMs is the effect of reading the VM list; VMsRead follows if it succeeds.
type ReadVMs struct{}

// VMsRead brings the VM list.
type VMsRead struct{ VMs []platformcaller.VM }

// ReadStatus is the effect of polling an engine; StatusRead or StatusFailed follows.
type ReadStatus struct {
	Target  identifier.TargetID
	Address string
}

// StatusRead brings an engine's report.
type StatusRead struct{ Status enginecaller.Status }

// StatusFailed says that an engine did not answer its poll.
type StatusFailed struct{ Target identifier.TargetID }

// TargetFailed is evidence from work: a fresh connection to the target failed, or it timed out.
type TargetFailed struct{ Target identifier.TargetID }

// TargetsChanged brings all targets, in the order of their ids.
type TargetsChanged struct{ Targets []Target }

type entry struct {
	target   Target
	polled   time.Time
	polling  bool
	failures int
	listed   bool
}

// Watcher is the sub-reducer of target health.
type Watcher struct {
	targets map[identifier.TargetID]*entry
	vmsRead time.Time
}

// NewWatcher returns a watcher that knows no target.
func NewWatcher() *Watcher { return &Watcher{targets: map[identifier.TargetID]*entry{}} }

// Apply takes one event and returns what to do.
func (w *Watcher) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case VMsRead:
		return w.vms(ev.VMs)
	case StatusRead:
		return w.status(ev.Status)
	case StatusFailed:
		return w.statusFailed(ev.Target)
	case TargetFailed:
		return w.targetFailed(ev.Target)
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
	for _, e := range w.targets {
		if e.target.Role != platformcaller.RoleEngine || e.polling || now.Sub(e.polled) < statusInterval {
			continue
		}
		e.polled, e.polling = now, true
		effects = append(effects, ReadStatus{Target: e.target.ID, Address: e.target.Address})
	}
	return effects
}

func (w *Watcher) vms(vms []platformcaller.VM) []messenger.Effect {
	var effects []messenger.Effect
	for _, e := range w.targets {
		e.listed = false
	}
	for _, vm := range vms {
		if vm.Role == platformcaller.RoleEntry {
			continue
		}
		effects = append(effects, w.list(vm)...)
	}
	for id, e := range w.targets {
		if !e.listed {
			delete(w.targets, id)
			effects = append(effects, w.log(e.target, "gone"))
		}
	}
	return w.publish(effects)
}

func (w *Watcher) list(vm platformcaller.VM) []messenger.Effect {
	id := identifier.TargetID(vm.ID)
	e, ok := w.targets[id]
	if !ok {
		e = &entry{target: Target{ID: id, State: StateUnknown}}
		w.targets[id] = e
		if vm.Role == platformcaller.RoleService {
			e.target.State = StateUp
		}
	}
	e.listed = true
	e.target.Role, e.target.Service, e.target.Address = vm.Role, vm.Service, vm.Address
	e.target.DataCentre = vm.DataCentre
	if vm.Leaving {
		return w.move(e, StateLeaving)
	}
	return nil
}

func (w *Watcher) status(s enginecaller.Status) []messenger.Effect {
	e, ok := w.targets[s.Target]
	if !ok {
		return nil
	}
	e.polling, e.failures = false, 0
	before := e.target.Status
	e.target.Status = s
	var effects []messenger.Effect
	switch {
	case s.Leaving:
		effects = w.move(e, StateLeaving)
	case e.target.State != StateLeaving:
		effects = w.move(e, StateUp)
	}
	if len(effects) == 0 && reflect.DeepEqual(before, s) {
		return nil
	}
	return w.publish(effects)
}

func (w *Watcher) statusFailed(id identifier.TargetID) []messenger.Effect {
	e, ok := w.targets[id]
	if !ok {
		return nil
	}
	e.polling = false
	e.failures++
	if e.failures < failuresToDown {
		return nil
	}
	return w.publish(w.move(e, StateDown))
}

func (w *Watcher) targetFailed(id identifier.TargetID) []messenger.Effect {
	e, ok := w.targets[id]
	if !ok || e.target.Role != platformcaller.RoleEngine {
		return nil
	}
	e.failures = failuresToDown
	return w.publish(w.move(e, StateDown))
}

func (w *Watcher) move(e *entry, to State) []messenger.Effect {
	if e.target.State == to {
		return nil
	}
	from := e.target.State
	e.target.State = to
	return []messenger.Effect{w.log(e.target, string(from))}
}

func (w *Watcher) log(t Target, from string) messenger.Effect {
	return messenger.Log{Event: eventlogger.TargetStateChange, Subject: "target/" + string(t.ID), Values: []any{"state", t.State, "before", from}}
}

func (w *Watcher) publish(effects []messenger.Effect) []messenger.Effect {
	targets := make([]Target, 0, len(w.targets))
	for _, e := range w.targets {
		targets = append(targets, e.target)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	return append(effects, messenger.Broadcast{Event: TargetsChanged{Targets: targets}})
}
