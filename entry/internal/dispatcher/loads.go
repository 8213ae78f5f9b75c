package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

// learnLoads applies reports of targets' load and pace.
func (d *Dispatcher) learnLoads(now time.Time, reports []loadtracker.Report) {
	d.loads.Learn(now, reports)
	for _, r := range reports {
		d.chooser.SetPace(now, r.Target, loadtracker.ClampPace(r.Pace))
	}
}

// Holders calls use with each target that may be a stage of a chain and be called now.
func (d *Dispatcher) Holders(now time.Time, use func(target identifier.TargetID, address string)) {
	d.chooser.Holders(func(target identifier.TargetID, address string) {
		if !d.limits.IsLimited(target) && !d.chooser.IsQuiet(now, target) {
			use(target, address)
		}
	})
}

// FirstTargets calls use with the first target of each planned chain that may be called now: it wants requests, and names no request limit.
func (d *Dispatcher) FirstTargets(now time.Time, use func(target identifier.TargetID, address string)) {
	d.chooser.FirstTargets(now, func(target identifier.TargetID, address string) {
		if !d.limits.IsLimited(target) {
			use(target, address)
		}
	})
}

// ReportLag returns how old the values in a target's report are when it is given.
func (d *Dispatcher) ReportLag(target identifier.TargetID) time.Duration {
	if d.table == nil {
		return 0
	}
	s, ok := d.table.Services[d.chooser.ServiceOf(target)]
	if !ok || s.Engine == nil {
		return 0
	}
	return s.Engine.ReportLag
}

// checkLoads logs that there are no recent reports of targets' load any more, or that there are again.
func (d *Dispatcher) checkLoads(now time.Time) []messenger.Effect {
	event := eventlogger.LoadsRecent
	switch d.loads.Check(now) {
	case loadtracker.None:
		return nil
	case loadtracker.WentStale:
		event = eventlogger.LoadsStale
	case loadtracker.Recovered:
	}
	return []messenger.Effect{messenger.Log{
		Event: event, Subject: "loads", Values: []any{"learned_ms_ago", now.Sub(d.loads.LearnedAt()).Milliseconds()},
	}}
}
