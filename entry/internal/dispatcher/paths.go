package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/pathtracker"
	"fuchsiabridge.example/entry/internal/registrar"
)

// setPathTargets tells the tracker of paths which targets there are.
func (d *Dispatcher) setPathTargets(now time.Time, targets []registrar.Target) []messenger.Effect {
	var known []pathtracker.Target
	for _, t := range targets {
		if !t.IsLeaving {
			known = append(known, pathtracker.Target{ID: t.ID, Address: t.Address, Service: t.Service})
		}
	}
	return d.logPaths(d.paths.SetTargets(now, known))
}

// noteReached records what an attempt shows of the path to its first target.
func (d *Dispatcher) noteReached(now time.Time, r *request, ev AttemptReported) []messenger.Effect {
	switch {
	case r.target == "" || ev.Outcome == CallerGone:
		return nil
	case ev.Outcome == NotSent:
		return d.logPaths(d.paths.Failed(now, r.target))
	case ev.Outcome == Stalled:
		if reachedAt := now.Add(-ev.ChainIdleTime); reachedAt.After(r.sent) {
			return d.logPaths(d.paths.Reached(now, reachedAt, r.target))
		}
	case ev.Status != 0:
		return d.logPaths(d.paths.Reached(now, now, r.target))
	}
	return nil
}

func (d *Dispatcher) logPaths(changes []pathtracker.Change) []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range changes {
		event, values := eventlogger.PathLost, []any{"failed", c.Failures, "reached_ms_ago", c.SinceReached.Milliseconds()}
		if !c.IsLost {
			event, values = eventlogger.PathRestored, []any{"lost_ms", c.SinceLost.Milliseconds()}
		}
		effects = append(effects, messenger.Log{Event: event, Subject: "service/" + string(c.Service), Values: values})
	}
	return effects
}
