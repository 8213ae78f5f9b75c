package watcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// heard takes other nodes' reports.
func (w *Watcher) heard(now time.Time, reports []Report) []messenger.Effect {
	var effects []messenger.Effect
	for _, r := range reports {
		if r.Observer != w.self {
			effects = append(effects, w.hear(now, r)...)
		}
	}
	return w.publish(effects)
}

func (w *Watcher) hear(now time.Time, r Report) []messenger.Effect {
	e, ok := w.entries[r.Target]
	if !ok {
		w.markUnlisted(now, r)
		return nil
	}
	isNew := w.see(now, e, r)
	effects := w.leaveReported(e, r)
	isNew = isNew || len(effects) > 0
	effects = append(effects, w.decide(now, e, "reported by "+string(r.Observer))...)
	if isNew && len(w.observers) > fullMesh {
		effects = append(effects, messenger.Raise{Event: Spread{Reports: []Report{r}, Urgency: AtOnce}})
	}
	return effects
}

func (w *Watcher) markUnlisted(now time.Time, r Report) {
	known, ok := w.marks[r.Target]
	if r.Leaving && (!ok || r.Generation >= known.report.Generation) {
		w.marks[r.Target] = waitingMark{report: r, until: now.Add(markKept)}
	}
}

// see keeps what the observer saw, unless a later report of it came before. It
// reports whether that is news to pass on.
func (w *Watcher) see(now time.Time, e *entry, r Report) bool {
	known, ok := e.views[r.Observer]
	if r.Unseen || (ok && r.Sequence <= known.sequence) {
		return false
	}
	v := view{sequence: r.Sequence, down: r.Down, heard: now, status: known.status}
	switch {
	case r.Status != nil:
		v.status = *r.Status
	case r.Down:
	case known.status.Generation == r.Generation:
		v.status.Queued = r.Queued
	default:
		// The report that told this generation was lost; the next whole one will do.
		return false
	}
	e.views[r.Observer] = v
	if !ok {
		return r.Down || !sameButLoad(&v.status, &e.target.Status)
	}
	return v.down != known.down || !sameButLoad(&v.status, &known.status)
}

// leaveReported joins two marks to the later one, in whichever order they come.
func (w *Watcher) leaveReported(e *entry, r Report) []messenger.Effect {
	if !r.Leaving {
		if r.Status != nil {
			w.stay(e, r.Generation)
		}
		return nil
	}
	if e.leaving && r.Generation <= e.leftGeneration {
		return nil
	}
	if !e.leaving && e.target.Status.Generation > r.Generation && r.Generation > 0 {
		return nil
	}
	e.leaving = true
	e.leftGeneration = max(e.leftGeneration, r.Generation)
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetReported, Subject: "target/" + string(r.Target),
		Values: []any{"leaving", true, "observer", r.Observer, "generation", r.Generation, "sequence", r.Sequence},
	}}
}
