package drafter

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// mostResends bounds how often a step is sent again to a target that answers probes.
	mostResends = 3
	// mostMissing bounds how often in a row an engine may lack the KV cache of one step.
	mostMissing = 2
	// mostOvertakes bounds how often a new driver goes above an epoch it did not know.
	mostOvertakes = 3
)

// step runs the current stage for the position after the tokens so far, and before it
// the positions that the stage's target lacks.
func (d *Drafter) step(now time.Time, dr *draft, fresh bool) []messenger.Effect {
	s := dr.stages[dr.stage]
	if !fresh {
		dr.resends = 0
		switch d.byID[s.Target].State {
		case watcher.StateDown:
			return d.recover(now, dr, "target down")
		case watcher.StateLeaving:
			if effects, ok := d.move(now, dr); ok {
				return effects
			}
		case watcher.StateUp, watcher.StateUnknown:
		}
	}
	steps, ok := dr.steps()
	if !ok {
		return d.restart(now, dr, "stage inputs not kept")
	}
	last := len(steps) - 1
	dr.phase, dr.sent = stepping, now
	dr.deadline = d.stepDeadline(now, dr, s)
	d.pace.Begin(s.Target, dr.prompt())
	return []messenger.Effect{SendStep{
		Target: s.Target, Address: s.Address, Step: steps[last], Before: steps[:last:last],
		Deadline: dr.deadline, Fresh: fresh, Traceparent: dr.request.Traceparent,
	}}
}

// settle ends the wait for the current step's answer.
func (d *Drafter) settle(dr *draft) {
	if dr.phase == stepping {
		d.pace.End(dr.stages[dr.stage].Target, dr.prompt())
	}
	dr.phase = idle
}

// prompt counts the prompt tokens and replayed positions that the current step brings.
func (dr *draft) prompt() int {
	have := dr.stages[dr.stage].have
	n := int(max(0, dr.position()-have))
	if have == 0 {
		n += dr.request.PromptTokens
	}
	return n
}

// steps returns the steps for the positions that the current stage's target lacks, up to
// the current one; it fails when an input is not kept.
func (dr *draft) steps() ([]enginecaller.Step, bool) {
	s := dr.stages[dr.stage]
	var steps []enginecaller.Step
	for p := min(s.have, dr.position()); p <= dr.position(); p++ {
		input, ok := dr.input(dr.stage, p)
		if !ok {
			return nil, false
		}
		steps = append(steps, dr.makeStep(s, p, input))
	}
	return steps, true
}

func (dr *draft) makeStep(s *stage, p identifier.Position, input []byte) enginecaller.Step {
	step := enginecaller.Step{
		StepName:   enginecaller.StepName{Draft: dr.request.Draft, Epoch: dr.epoch, Position: p, Stage: dr.stage},
		Generation: s.Generation,
		Layers:     s.Layers,
		Input:      input,
		Priority:   dr.request.Priority,
		Last:       dr.stage == len(dr.stages)-1 && p == dr.position(),
	}
	if p == 0 {
		step.PromptTokens = dr.request.PromptTokens
		step.PrefixBlocks = prefixBlocks(dr.request.Prompt)
	}
	return step
}

// current returns the draft that waits for the step, if any does.
func (d *Drafter) current(target identifier.TargetID, name enginecaller.StepName) (*draft, bool) {
	dr, ok := d.running[name.Draft]
	if !ok || dr.phase != stepping || name != dr.stepName() || dr.stages[dr.stage].Target != target {
		return nil, false
	}
	return dr, true
}

func (d *Drafter) stepDone(now time.Time, ev StepDone) []messenger.Effect {
	dr, ok := d.current(ev.Target, ev.Result.StepName)
	if !ok {
		return nil
	}
	for _, r := range append(ev.Before, ev.Result) {
		if r.Code != enginecaller.StepOK {
			d.settle(dr)
			return d.stepRefused(now, dr, r)
		}
	}
	s := dr.stages[dr.stage]
	if int(dr.position()-min(s.have, dr.position())) != len(ev.Before) {
		return nil
	}
	d.settle(dr)
	if dr.stage == len(dr.stages)-1 && ev.Result.Token == "" {
		// The engine kept the result of a replay, which samples no token.
		return d.restart(now, dr, "token not kept")
	}
	if len(ev.Before) == 0 && dr.position() > 0 {
		d.pace.Learn(ev.Target, now.Sub(dr.sent))
	}
	d.takeOutputs(dr, s, append(ev.Before, ev.Result))
	effects := d.passed(dr, s)
	dr.stage++
	if dr.stage < len(dr.stages) {
		return append(effects, d.step(now, dr, false)...)
	}
	return append(effects, d.tokenDone(now, dr, ev.Result.Token)...)
}

// takeOutputs makes a stage's outputs the next stage's inputs, and forgets what needs no replay.
func (d *Drafter) takeOutputs(dr *draft, s *stage, results []enginecaller.StepResult) {
	if dr.stage+1 < len(dr.stages) {
		next := dr.stages[dr.stage+1]
		for _, r := range results {
			d.keepInput(dr, next, r.Position, r.Output)
		}
	}
	s.have = dr.position() + 1
	dr.missing = 0
	if dr.unkept {
		d.forget(dr, s, s.have)
		return
	}
	d.limitHistory(dr)
}

// passed tells the isolator that a step which ran alone came back.
func (d *Drafter) passed(dr *draft, s *stage) []messenger.Effect {
	if dr.aloneAt != s.Target {
		return nil
	}
	dr.aloneAt = ""
	return []messenger.Effect{messenger.Raise{Event: isolator.StagePassed{
		Draft: dr.request.Draft, Fingerprint: dr.fingerprint(), Target: s.Target,
	}}}
}

// fingerprint names the request by client account and body.
func (dr *draft) fingerprint() string {
	return string(dr.request.Account) + "/" + dr.request.Fingerprint
}

// stepRefused acts on an engine's word that it did not run the step; none of it means a dead target.
func (d *Drafter) stepRefused(now time.Time, dr *draft, r enginecaller.StepResult) []messenger.Effect {
	s := dr.stages[dr.stage]
	switch r.Code {
	case enginecaller.StepSuperseded:
		if !dr.established && r.Seen > dr.epoch && dr.recoveries < mostOvertakes {
			return d.overtake(now, dr, r.Seen)
		}
		return d.superseded(now, dr)
	case enginecaller.StepKVMissing:
		dr.missing++
		if dr.missing > mostMissing {
			dr.avoid[s.Target] = true
			return d.recover(now, dr, "kv missing")
		}
		return d.refill(now, dr, s, r.Have)
	case enginecaller.StepReloaded, enginecaller.StepOK:
	}
	if t := d.byID[s.Target]; t.Status.Generation == s.Generation {
		dr.avoid[s.Target] = true
	}
	return d.recover(now, dr, "target reloaded")
}

// overtake goes on above an epoch that the driver, which is the caller's newest, could not know.
func (d *Drafter) overtake(now time.Time, dr *draft, seen identifier.Epoch) []messenger.Effect {
	dr.recoveries++
	dr.epoch = takeEpoch(now, d.cfg.Self, seen) + 1
	return d.step(now, dr, false)
}

// refill gives an engine the positions its KV cache lacks. One that is ahead, without the
// result of the step, starts over.
func (d *Drafter) refill(now time.Time, dr *draft, s *stage, have identifier.Position) []messenger.Effect {
	if have > dr.position() {
		have = 0
		dr.recoveries++
		dr.advanceEpoch(now, d.cfg.Self)
	}
	s.have = have
	return d.step(now, dr, false)
}

// superseded ends the draft here: another node drives it.
func (d *Drafter) superseded(now time.Time, dr *draft) []messenger.Effect {
	effects := []messenger.Effect{messenger.Log{Event: eventlogger.DraftSuperseded, Subject: subject(dr), Values: []any{"epoch", dr.epoch}}}
	return append(effects, d.fail(now, dr, codeSuperseded, "another node goes on with the draft; ask again with its request id")...)
}

// stepFailed resumes the step on a new connection; when that fails too the stage is lost.
func (d *Drafter) stepFailed(now time.Time, ev StepFailed) []messenger.Effect {
	dr, ok := d.current(ev.Target, ev.Name)
	if !ok || ev.Fresh != (dr.resends > 0) {
		return nil
	}
	d.settle(dr)
	switch {
	case ev.Status != 0:
		dr.avoid[ev.Target] = true
		return d.recover(now, dr, "target refused the call")
	case !ev.Fresh || (ev.Alive && dr.resends < mostResends):
		dr.resends++
		return d.step(now, dr, true)
	case ev.Alive:
		dr.avoid[ev.Target] = true
		return d.recover(now, dr, "target gives no answer")
	}
	effects := []messenger.Effect{messenger.Raise{Event: watcher.TargetFailed{Target: ev.Target}}}
	return append(effects, d.lost(dr)...)
}
