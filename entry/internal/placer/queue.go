package placer

import (
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/arranger"
	"fuchsiabridge.example/entry/internal/registrar"
)

// maxStateQueries limits the queries of states that wait for an answer. More would wait for a free worker of the node.
const maxStateQueries = 64

// queue holds assignments of empty targets until the targets have reported their states. It keeps them also if the targets do
// not answer before the next decision: the first placement assigns all targets at once, and what is left of it later would be
// taken for spares. Loading an empty target takes layers from nobody, whatever has changed since.
type queue struct {
	// waiting are the assignments whose targets were not queried yet, in order, and queried those that were.
	waiting []arranger.Assignment
	queried map[identifier.TargetID]arranger.Assignment
}

func newQueue() queue { return queue{queried: map[identifier.TargetID]arranger.Assignment{}} }

// addTo adds the queued ranges to those of pending orders.
func (q *queue) addTo(pending map[identifier.TargetID]identifier.LayerRange) {
	for _, a := range q.waiting {
		pending[a.Target.ID] = a.Layers
	}
	for id, a := range q.queried {
		pending[id] = a.Layers
	}
}

// keep drops the assignments whose targets are not among the given ones any more, or not as they were.
func (q *queue) keep(targets map[identifier.TargetID]registrar.Target) {
	isOutdated := func(a arranger.Assignment) bool {
		t, ok := targets[a.Target.ID]
		return !ok || t.Incarnation != a.Target.Incarnation || t.Layers != a.Target.Layers || t.IsLeaving || t.IsEjected
	}
	q.waiting = slices.DeleteFunc(q.waiting, isOutdated)
	for id, a := range q.queried {
		if isOutdated(a) {
			delete(q.queried, id)
		}
	}
}

// clear drops all assignments.
func (q *queue) clear() {
	q.waiting = nil
	clear(q.queried)
}

// advanceQueue queries the next targets in the queue, and those again that have not answered in time.
func (p *Placer) advanceQueue(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, a := range p.queue.queried {
		effects = append(effects, p.queryState(now, a.Target)...)
	}
	for len(p.queue.queried) < maxStateQueries && len(p.queue.waiting) > 0 {
		a := p.queue.waiting[0]
		p.queue.waiting = p.queue.waiting[1:]
		if state, ok := p.reportedState(now, a.Target); ok {
			effects = append(effects, p.order(now, a, state.Orders)...)
			continue
		}
		p.queue.queried[a.Target.ID] = a
		effects = append(effects, p.queryState(now, a.Target)...)
	}
	return effects
}

// orderQueued orders a queued target that has reported its state, and queries the next one. One whose state does not fit is left
// to the next decision.
func (p *Placer) orderQueued(now time.Time, id identifier.TargetID) []messenger.Effect {
	a, ok := p.queue.queried[id]
	if !ok || !p.mayOrder(now) {
		return nil
	}
	delete(p.queue.queried, id)
	var effects []messenger.Effect
	if state, ok := p.reportedState(now, a.Target); ok {
		effects = p.order(now, a, state.Orders)
	}
	return append(effects, p.advanceQueue(now)...)
}
