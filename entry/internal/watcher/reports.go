package watcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
)

// handleReports applies other nodes' reports.
func (w *Watcher) handleReports(now time.Time, reports []Report) []messenger.Effect {
	var effects []messenger.Effect
	for _, r := range reports {
		if r.Observer != w.self {
			effects = append(effects, w.handleReport(now, r)...)
		}
	}
	return w.publish(effects)
}

func (w *Watcher) handleReport(now time.Time, r Report) []messenger.Effect {
	t, ok := w.targets[r.Target]
	if !ok {
		w.keepPendingMark(now, r)
		return nil
	}
	shouldForward := w.recordObservation(now, t, r)
	effects := w.applyLeavingReport(t, r)
	shouldForward = shouldForward || len(effects) > 0
	effects = append(effects, w.update(now, t, "reported by "+string(r.Observer))...)
	if shouldForward && len(w.observers) > fullMeshSize {
		// In a large fleet, an observer does not send its reports to every node.
		effects = append(effects, messenger.Raise{Event: ShareReports{Reports: []Report{r}, Urgency: AtOnce}})
	}
	return effects
}

func (w *Watcher) keepPendingMark(now time.Time, r Report) {
	known, ok := w.pendingMarks[r.Target]
	if r.Leaving && (!ok || r.Generation >= known.report.Generation) {
		w.pendingMarks[r.Target] = pendingMark{report: r, expiresAt: now.Add(pendingMarkTTL)}
	}
}

// recordObservation stores a report, unless a later one from the same observer was already
// received. It returns whether the report changes more than the load and should be forwarded.
func (w *Watcher) recordObservation(now time.Time, t *trackedTarget, r Report) bool {
	known, ok := t.observations[r.Observer]
	if r.NoPollResult || (ok && r.Sequence <= known.sequence) {
		return false
	}
	o := observation{sequence: r.Sequence, down: r.Down, receivedAt: now, status: known.status}
	switch {
	case r.Status != nil:
		o.status = *r.Status
	case r.Down:
	case known.status.Generation == r.Generation:
		o.status.Queued = r.Queued
	default:
		// The report that announced this generation was lost; the next full report replaces it.
		return false
	}
	t.observations[r.Observer] = o
	if !ok {
		return r.Down || !equalExceptLoad(&o.status, &t.target.Status)
	}
	return o.down != known.down || !equalExceptLoad(&o.status, &known.status)
}

// applyLeavingReport merges a reported leaving mark with the known one. The later generation is
// kept, regardless of the order of arrival.
func (w *Watcher) applyLeavingReport(t *trackedTarget, r Report) []messenger.Effect {
	if !r.Leaving {
		if r.Status != nil {
			w.clearLeaving(t, r.Generation)
		}
		return nil
	}
	if t.leaving && r.Generation <= t.leavingGeneration {
		return nil
	}
	if !t.leaving && t.target.Status.Generation > r.Generation && r.Generation > 0 {
		return nil
	}
	t.leaving = true
	t.leavingGeneration = max(t.leavingGeneration, r.Generation)
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.TargetLeavingReported, Subject: "target/" + string(r.Target),
		Values: []any{"leaving", true, "observer", r.Observer, "generation", r.Generation, "sequence", r.Sequence},
	}}
}
