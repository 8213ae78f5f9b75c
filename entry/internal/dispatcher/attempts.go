package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/registrar"
)

// reported takes how an attempt stands, and decides what comes next.
func (d *Dispatcher) reported(now time.Time, ev Reported) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	d.learn(now, r, ev)
	r.first, r.gap, r.events = ev.FirstByte, ev.LongestGap, ev.Events
	if ev.Outcome == Silent {
		return d.silent(now, ev, r)
	}
	effects := []messenger.Effect{}
	if ev.Outcome != Delivered {
		effects = append(effects, d.logAttempt(now, r, ev))
	}
	effects = append(effects, d.blame(now, r, ev)...)
	target := r.target
	d.release(r)
	switch ev.Outcome {
	case Delivered:
		r.runs++
		return append(effects, d.end(now, ev.Call, ev.Status, "delivered")...)
	case CallerGone:
		return append(effects, d.end(now, ev.Call, 0, "caller gone")...)
	case Expired:
		return append(effects, d.refuse(now, ev.Call, http.StatusGatewayTimeout, 0, "deadline passed")...)
	case NotSent, NotRun:
		if d.maySend(now, r) {
			return append(effects, d.send(now, ev.Call, r, ev.Seed)...)
		}
		return append(effects, d.giveUp(now, ev.Call, r, "no target took the request")...)
	default:
	}
	r.runs++
	if d.mayRepeat(now, r) && d.hasOther(r) {
		return append(effects, d.send(now, ev.Call, r, ev.Seed)...)
	}
	if ev.Outcome == Failed {
		return append(append(effects, Deliver{}), d.end(now, ev.Call, ev.Status, "failed at "+string(target))...)
	}
	return append(effects, d.refuse(now, ev.Call, http.StatusBadGateway, 0, "attempt broke")...)
}

// giveUp ends a request that has no place to go: only where no attempt of it may have run
// is it refused as not run.
func (d *Dispatcher) giveUp(now time.Time, call identifier.CallID, r *request, reason string) []messenger.Effect {
	if r.runs > 0 {
		return d.refuse(now, call, http.StatusBadGateway, 0, "attempt broke, "+reason)
	}
	return d.refuse(now, call, http.StatusServiceUnavailable, unreadyPause, reason)
}

// mayRepeat reports whether a request that may have run can run once more.
func (d *Dispatcher) mayRepeat(now time.Time, r *request) bool {
	return r.route.MayRepeat() && r.runs < r.route.MaxAttempts && d.maySend(now, r)
}

// maySend reports whether there is time and budget for another send.
func (d *Dispatcher) maySend(now time.Time, r *request) bool {
	if r.sends >= maxSends || !now.Before(r.deadline) {
		return false
	}
	s := d.services[r.service]
	return s != nil && s.budget.allows(now, d.cfg.RetryRatio, d.quota.repeats(now))
}

// learn takes in what an attempt shows of its target.
func (d *Dispatcher) learn(now time.Time, r *request, ev Reported) {
	if r.target == "" {
		return
	}
	if len(r.chain) > 0 {
		if r.first == 0 && ev.FirstByte > 0 {
			d.record(r.target).learnFirst(now, ev.FirstByte)
		}
		return
	}
	switch ev.Outcome {
	case Delivered:
		d.record(r.target).learn(now.Sub(r.sent), false)
	case Failed, Broken:
		d.record(r.target).learn(0, true)
	case Silent, Expired:
		d.record(r.target).learn(now.Sub(r.sent), true)
	default:
	}
}

// blame names the target that an attempt speaks against.
func (d *Dispatcher) blame(now time.Time, r *request, ev Reported) []messenger.Effect {
	address := ev.Fault
	if address == "" {
		address = d.address(r)
	}
	switch ev.Outcome {
	case NotSent:
		return d.doubt(now, d.services[r.service], d.address(r), registrar.Dead, ev.Reason)
	case NotRun:
		if ev.Status == http.StatusMisdirectedRequest {
			return d.doubt(now, d.services[r.service], address, registrar.Unfit, "it says it holds other layers")
		}
		if len(r.chain) > 0 {
			d.avoided[address] = now.Add(fullTime)
		}
	default:
	}
	return nil
}

// doubt tells of a target in doubt; the next choice must not wait until that is taken in.
func (d *Dispatcher) doubt(now time.Time, s *service, address string, doubt registrar.Doubt, reason string) []messenger.Effect {
	effects := []messenger.Effect{messenger.Raise{Event: registrar.Doubted{Address: address, Doubt: doubt, Reason: reason}}}
	if s == nil {
		return effects
	}
	for _, known := range [][]registrar.Target{s.targets, d.targets} {
		for i := range known {
			known[i].IsDoubted = known[i].IsDoubted || known[i].Address == address
		}
	}
	if s.engine != nil {
		effects = append(effects, d.plan(now, s))
	}
	return effects
}

// address returns the address of the target that the request was sent to.
func (d *Dispatcher) address(r *request) string {
	if len(r.chain) > 0 {
		return r.chain[0].Address
	}
	for _, t := range d.targets {
		if t.ID == r.target {
			return t.Address
		}
	}
	return ""
}

// silent decides on an attempt from which nothing comes.
func (d *Dispatcher) silent(now time.Time, ev Reported, r *request) []messenger.Effect {
	if len(r.chain) == 0 {
		return d.silentPlain(now, ev, r)
	}
	if d.isDoubted(r.chain) {
		return d.switchOver(now, ev.Call, r, "a target of the chain is in doubt", ev.Seed)
	}
	entrance := r.chain[0]
	isQuiet := ev.ChainQuiet >= min(mostQuiet, max(leastQuiet, quietPauses*ev.ChainPace))
	isLeft := now.Before(d.quietUntil[entrance.Address])
	if isQuiet && (isLeft || d.record(entrance.Target).open >= witnesses) {
		return d.leaveSilent(now, ev, r)
	}
	if ev.ChainQuiet >= probePatience {
		return []messenger.Effect{Probe{Address: entrance.Address}}
	}
	return []messenger.Effect{Wait{Until: now.Add(lookInterval)}}
}

// leaveSilent leaves a chain from which no request gets anything, before it is known which of its targets is at fault.
func (d *Dispatcher) leaveSilent(now time.Time, ev Reported, r *request) []messenger.Effect {
	address := r.chain[0].Address
	var effects []messenger.Effect
	if !now.Before(d.quietUntil[address]) {
		d.quietUntil[address] = now.Add(suspectTime)
		d.avoided[address] = now.Add(suspectTime)
		effects = append(effects, Examine{Address: address})
	}
	if !d.hasOtherChain(now, r) {
		return append([]messenger.Effect{Wait{Until: now.Add(lookInterval)}}, effects...)
	}
	return append(d.switchOver(now, ev.Call, r, "nothing comes from the chain", ev.Seed), effects...)
}

// hasOtherChain reports whether a chain is known that is not to be avoided.
func (d *Dispatcher) hasOtherChain(now time.Time, r *request) bool {
	s := d.services[r.service]
	return s != nil && slices.ContainsFunc(s.chains, func(c chainer.Chain) bool { return !d.isAvoided(now, c.Parts) })
}

// examined takes for whom the requests at a silent chain's first target wait.
func (d *Dispatcher) examined(now time.Time, ev Examined) []messenger.Effect {
	faults := ev.Faults
	if ev.IsUnanswered {
		faults = []string{ev.Address}
	}
	var effects []messenger.Effect
	for _, address := range faults {
		effects = append(effects, d.doubt(now, d.serviceAt(address), address, registrar.Dead, "requests wait for it")...)
	}
	return effects
}

// serviceAt returns the service of the target at an address, nil when there is none.
func (d *Dispatcher) serviceAt(address string) *service {
	for _, t := range d.targets {
		if t.Address == address {
			return d.services[t.Service]
		}
	}
	return nil
}

func (d *Dispatcher) silentPlain(now time.Time, ev Reported, r *request) []messenger.Effect {
	if !r.route.MayRepeat() {
		return []messenger.Effect{Wait{Until: r.deadline}}
	}
	return d.switchOver(now, ev.Call, r, "no answer in time", ev.Seed)
}

// switchOver sends a silent request elsewhere, or goes on waiting where that is not allowed.
func (d *Dispatcher) switchOver(now time.Time, call identifier.CallID, r *request, reason string, seed uint64) []messenger.Effect {
	r.runs++
	if !d.mayRepeat(now, r) || !d.hasOther(r) {
		r.runs--
		if len(r.chain) > 0 {
			return d.leadElsewhere(now, r)
		}
		return []messenger.Effect{Wait{Until: r.deadline}}
	}
	log := d.logAttempt(now, r, Reported{Outcome: Silent, Reason: reason})
	d.release(r)
	return append([]messenger.Effect{log}, d.send(now, call, r, seed)...)
}

// leadElsewhere has a request that must not be sent again go on along another chain after
// its first target, where one of its other targets is in doubt.
func (d *Dispatcher) leadElsewhere(now time.Time, r *request) []messenger.Effect {
	wait := []messenger.Effect{Wait{Until: now.Add(probePatience)}}
	s := d.services[r.service]
	if s == nil || s.engine == nil || r.reroutes >= maxReroutes || !d.isDoubted(r.chain) || d.isDoubted(r.chain[:1]) {
		return wait
	}
	chain, ok := chainer.NewPlanner(s.engine, d.holders(s, false)).Continue(r.chain[0])
	if !ok {
		return wait
	}
	r.reroutes++
	return []messenger.Effect{Reroute{Address: r.chain[0].Address, Chain: chain.Parts}}
}

// rerouted takes whether a running request goes on along another chain.
func (d *Dispatcher) rerouted(now time.Time, ev Rerouted) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	if ev.IsTaken {
		target := r.target
		d.release(r)
		r.chain, r.target = ev.Chain, target
		for _, id := range r.places() {
			d.record(id).open++
		}
	}
	return []messenger.Effect{Wait{Until: now.Add(probePatience)}, messenger.Log{
		Event: eventlogger.RequestRerouted, Subject: "request/" + string(r.id),
		Values: []any{"taken", ev.IsTaken, "reason", ev.Reason, "parts", len(ev.Chain)},
	}}
}

// hasOther reports whether there is a place that the request was not at.
func (d *Dispatcher) hasOther(r *request) bool {
	s := d.services[r.service]
	if s == nil {
		return false
	}
	if s.engine != nil {
		return true
	}
	return d.chooseTarget(s, r.tried, 1) != nil
}

func (d *Dispatcher) isDoubted(chain []describer.Part) bool {
	for _, p := range chain {
		known := false
		for _, t := range d.targets {
			if t.ID == p.Target {
				known = !t.IsDoubted
			}
		}
		if !known {
			return true
		}
	}
	return false
}

// probed takes what the first target of a silent chain says.
func (d *Dispatcher) probed(now time.Time, ev Probed) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	fault := ev.Fault
	if ev.IsUnanswered {
		fault = d.address(r)
	}
	if fault == "" {
		return []messenger.Effect{Wait{Until: now.Add(streamPatience)}}
	}
	effects := d.doubt(now, d.services[r.service], fault, registrar.Dead, "a request waits for it")
	return append(effects, d.switchOver(now, ev.Call, r, "waits for "+fault, ev.Seed)...)
}

func (d *Dispatcher) logAttempt(now time.Time, r *request, ev Reported) messenger.Effect {
	return messenger.Log{Event: eventlogger.AttemptEnded, Subject: "request/" + string(r.id), Values: []any{
		"outcome", ev.Outcome, "target", r.target, "status", ev.Status, "reason", ev.Reason, "fault", ev.Fault,
		"took_ms", now.Sub(r.sent).Milliseconds(), "events", ev.Events,
	}}
}
