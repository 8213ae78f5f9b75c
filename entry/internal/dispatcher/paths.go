package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/pathtracker"
	"fuchsiabridge.example/entry/internal/registrar"
)

// pathChecked applies the result of a check of a path.
func (d *Dispatcher) pathChecked(now time.Time, ev PathChecked) []messenger.Effect {
	if !ev.IsReached {
		return pathtracker.Log(d.paths.CheckFailed(now, ev.Target))
	}
	return append(pathtracker.Log(d.paths.Reached(now, now, ev.Target)), messenger.Raise{Event: registrar.Reached{Address: ev.Address}})
}

// checkPaths checks the targets that this node does not reach since it has lost a path.
func (d *Dispatcher) checkPaths(now time.Time) []messenger.Effect {
	due, changes := d.paths.DueChecks(now)
	effects := pathtracker.Log(changes)
	for _, t := range due {
		effects = append(effects, CheckPath{Target: t.ID, Address: t.Address})
	}
	return effects
}

// setPathTargets tells the tracker of paths which targets there are.
func (d *Dispatcher) setPathTargets(now time.Time, targets []registrar.Target) []messenger.Effect {
	var known []pathtracker.Target
	for _, t := range targets {
		if !t.IsLeaving {
			known = append(known, pathtracker.Target{ID: t.ID, Address: t.Address, Service: t.Service})
		}
	}
	return pathtracker.Log(d.paths.SetTargets(now, known))
}

// noteReached records what an attempt shows of the path to its first target.
func (d *Dispatcher) noteReached(now time.Time, r *request, ev AttemptReported) []messenger.Effect {
	switch {
	case r.target == "" || ev.Outcome == CallerGone:
		return nil
	case ev.Outcome == NotSent:
		return pathtracker.Log(d.paths.Failed(now, r.target))
	case ev.Outcome == Stalled:
		if reachedAt := now.Add(-ev.ChainIdleTime); reachedAt.After(r.sent) {
			return pathtracker.Log(d.paths.Reached(now, reachedAt, r.target))
		}
	case ev.Status != 0:
		return pathtracker.Log(d.paths.Reached(now, now, r.target))
	}
	return nil
}

// LostPath returns the service of a target, and whether the path to it is lost and other nodes may have one.
func (d *Dispatcher) LostPath(target identifier.TargetID) (identifier.ServiceID, bool) {
	service := d.chooser.ServiceOf(target)
	return service, d.cfg.HasPeers && d.paths.IsLost(service)
}
