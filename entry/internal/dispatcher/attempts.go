package dispatcher

import (
	"math/rand/v2"
	"net/http"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/registrar"
)

// reported takes how an attempt stands, and decides what comes next.
func (d *Dispatcher) reported(now time.Time, ev Reported) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	d.learn(now, r, ev)
	if ev.Events > r.events {
		r.former = nil
	}
	r.first, r.gap, r.events = ev.FirstByte, ev.LongestGap, ev.Events
	switch ev.Outcome {
	case Broken:
		d.suspect(now, r)
	case Delivered:
		d.accuser.Clear(r.fingerprint)
	default:
	}
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
		if reason := d.bars(now, r); reason != "" {
			return append(effects, d.giveUp(now, ev.Call, r, "no target took the request, "+reason)...)
		}
		return append(effects, d.send(now, ev.Call, r, ev.Seed)...)
	default:
	}
	r.runs++
	if d.mayRepeat(now, r) && d.hasOther(r) {
		return append(effects, d.send(now, ev.Call, r, ev.Seed)...)
	}
	if r.former != nil && (ev.Outcome != Failed || r.events > 0) {
		return append(effects, d.goBack(now, r)...)
	}
	if ev.Outcome == Failed {
		return append(append(effects, Deliver{}), d.end(now, ev.Call, ev.Status, "failed at "+string(target))...)
	}
	return append(effects, d.refuse(now, ev.Call, http.StatusBadGateway, 0, "attempt broke")...)
}

// giveUp ends a request that has no place to go: only where no attempt of it may have run
// is it refused as not run.
func (d *Dispatcher) giveUp(now time.Time, call identifier.CallID, r *request, reason string) []messenger.Effect {
	if r.former != nil {
		return d.goBack(now, r)
	}
	if r.runs > 0 {
		return d.refuse(now, call, http.StatusBadGateway, 0, "attempt broke, "+reason)
	}
	return d.refuse(now, call, http.StatusServiceUnavailable, r.pause(), reason)
}

// pause returns when the caller of a request that found no room may come back.
func (r *request) pause() time.Duration {
	usual := plainPause
	if r.route.Kind == describer.Streaming {
		usual = streamPause
	}
	spread := pauseSpread * rand.New(rand.NewPCG(r.seed, 0)).Float64()
	return time.Duration((1 - pauseSpread/2 + spread) * float64(usual))
}

// goBack waits again for the silent attempt that was kept, as no other place took the request.
func (d *Dispatcher) goBack(now time.Time, r *request) []messenger.Effect {
	r.place, r.former = *r.former, nil
	r.runs--
	d.chooser.Occupy(r.targets())
	return []messenger.Effect{GoBack{Until: now.Add(fullTime)}, messenger.Log{
		Event: eventlogger.RequestWentBack, Subject: "request/" + string(r.id),
		Values: []any{"target", r.target, "silent_ms", now.Sub(r.sent).Milliseconds(), "sends", r.sends, "runs", r.runs},
	}}
}

// mayRepeat reports whether a request that may have run can run once more.
func (d *Dispatcher) mayRepeat(now time.Time, r *request) bool {
	return r.route.MayRepeat() && r.runs < r.route.MaxAttempts && d.bars(now, r) == ""
}

// bars returns what bars another send, empty when nothing does.
func (d *Dispatcher) bars(now time.Time, r *request) string {
	switch {
	case r.sends >= maxSends:
		return "all sends used"
	case !now.Before(r.deadline):
		return "deadline passed"
	case d.accuser.IsGuilty(now, r.fingerprint):
		return "it crashes targets"
	case !d.budget(r.service).Allows(now, d.cfg.RetryRatio, d.quota.Repeats(now)):
		return "no repeats left"
	}
	return ""
}

// learn takes in what an attempt shows of its target.
func (d *Dispatcher) learn(now time.Time, r *request, ev Reported) {
	if r.target == "" {
		return
	}
	if len(r.chain) > 0 {
		if r.first == 0 && ev.FirstByte > 0 {
			d.chooser.LearnFirst(now, r.target, ev.FirstByte)
		}
		return
	}
	switch ev.Outcome {
	case Delivered:
		d.chooser.Learn(r.target, now.Sub(r.sent), false)
	case Failed, Broken:
		d.chooser.Learn(r.target, 0, true)
	case Silent, Expired:
		d.chooser.Learn(r.target, now.Sub(r.sent), true)
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
		return d.doubt(now, d.address(r), registrar.Dead, ev.Reason)
	case NotRun:
		if ev.Status == http.StatusMisdirectedRequest {
			return d.doubt(now, address, registrar.Unfit, "it says it holds other layers")
		}
		if len(r.chain) > 0 {
			d.chooser.Avoid(address, now.Add(fullTime))
		}
	default:
	}
	return nil
}

// doubt tells of a target in doubt; the next choice must not wait until that is taken in.
func (d *Dispatcher) doubt(now time.Time, address string, doubt registrar.Doubt, reason string) []messenger.Effect {
	raised := messenger.Raise{Event: registrar.Doubted{Address: address, Doubt: doubt, Reason: reason}}
	return append([]messenger.Effect{raised}, d.chooser.Doubt(now, address)...)
}

// address returns the address of the target that the request was sent to.
func (d *Dispatcher) address(r *request) string {
	if len(r.chain) > 0 {
		return r.chain[0].Address
	}
	return d.chooser.Address(r.target)
}

// silent decides on an attempt from which nothing comes.
func (d *Dispatcher) silent(now time.Time, ev Reported, r *request) []messenger.Effect {
	if len(r.chain) == 0 {
		return d.silentPlain(now, ev, r)
	}
	if d.chooser.IsDoubted(r.chain) {
		return d.switchOver(now, ev.Call, r, "a target of the chain is in doubt", ev.Seed)
	}
	entrance := r.chain[0]
	isQuiet := ev.ChainQuiet >= min(mostQuiet, max(leastQuiet, quietPauses*ev.ChainPace))
	isLeft := d.chooser.IsSilent(now, entrance.Address)
	if isQuiet && (isLeft || d.chooser.Open(entrance.Target) >= witnesses) {
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
	if d.chooser.Silence(now, address, now.Add(suspectTime)) {
		effects = append(effects, Examine{Address: address})
	}
	if !d.chooser.HasOtherChain(now, r.service) {
		return append([]messenger.Effect{Wait{Until: now.Add(lookInterval)}}, effects...)
	}
	return append(d.switchOver(now, ev.Call, r, "nothing comes from the chain", ev.Seed), effects...)
}

// examined takes for whom the requests at a silent chain's first target wait.
func (d *Dispatcher) examined(now time.Time, ev Examined) []messenger.Effect {
	faults := ev.Faults
	if ev.IsUnanswered {
		faults = []string{ev.Address}
	}
	var effects []messenger.Effect
	for _, address := range faults {
		effects = append(effects, d.doubt(now, address, registrar.Dead, "requests wait for it")...)
	}
	return effects
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
	log := d.logAttempt(now, r, Reported{Outcome: Silent, Reason: reason, Events: r.events})
	d.suspect(now, r)
	silent := r.place
	r.former = &silent
	d.release(r)
	return append([]messenger.Effect{log}, d.sendBeside(now, call, r, seed, true)...)
}

// leadElsewhere has a request that must not be sent again go on along another chain after
// its first target, where one of its other targets is in doubt.
func (d *Dispatcher) leadElsewhere(now time.Time, r *request) []messenger.Effect {
	wait := []messenger.Effect{Wait{Until: now.Add(probePatience)}}
	if r.reroutes >= maxReroutes || !d.chooser.IsDoubted(r.chain) || d.chooser.IsDoubted(r.chain[:1]) {
		return wait
	}
	chain, ok := d.chooser.Continue(r.service, r.chain[0])
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
		d.chooser.Occupy(r.targets())
	}
	return []messenger.Effect{Wait{Until: now.Add(probePatience)}, messenger.Log{
		Event: eventlogger.RequestRerouted, Subject: "request/" + string(r.id),
		Values: []any{"taken", ev.IsTaken, "reason", ev.Reason, "parts", len(ev.Chain)},
	}}
}

// hasOther reports whether there is a place that the request was not at.
func (d *Dispatcher) hasOther(r *request) bool {
	return d.chooser.IsChained(r.service) || d.chooser.Target(r.service, r.tried, 1) != nil
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
	effects := d.doubt(now, fault, registrar.Dead, "a request waits for it")
	return append(effects, d.switchOver(now, ev.Call, r, "waits for "+fault, ev.Seed)...)
}

func (d *Dispatcher) logAttempt(now time.Time, r *request, ev Reported) messenger.Effect {
	return messenger.Log{Event: eventlogger.AttemptEnded, Subject: "request/" + string(r.id), Values: []any{
		"outcome", ev.Outcome, "target", r.target, "status", ev.Status, "reason", ev.Reason, "fault", ev.Fault,
		"took_ms", now.Sub(r.sent).Milliseconds(), "events", ev.Events,
	}}
}
