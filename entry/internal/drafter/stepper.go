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
	// maxStepRetries limits how often a step is retried at a target that answers probes.
	maxStepRetries = 3
	// maxKVMisses limits how often in a row an engine may lack the KV cache for one step.
	maxKVMisses = 2
	// maxEpochRaises is the number of recoveries of all kinds after which a new driver no longer
	// raises its epoch above one it did not know.
	maxEpochRaises = 3
)

// step runs the current stage for the next position, and before it the positions that the stage's
// target lacks. With newConn it sends the current step again on a new connection.
func (d *Drafter) step(now time.Time, dr *draft, newConn bool) []messenger.Effect {
	s := dr.stages[dr.stageIndex]
	if !newConn {
		dr.stepRetries = 0
		switch d.targetsByID[s.Target].State {
		case watcher.StateDown:
			return d.recover(now, dr, "target down")
		case watcher.StateLeaving:
			if effects, ok := d.startMove(now, dr); ok {
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
	dr.phase, dr.stepSentAt = phaseStepping, now
	dr.responseDeadline = d.stepDeadline(now, dr, s)
	d.estimator.Start(s.Target, dr.promptLoad())
	return []messenger.Effect{SendStep{
		Target: s.Target, Address: s.Address, Step: steps[last], EarlierSteps: steps[:last:last],
		Deadline: dr.responseDeadline, NewConn: newConn, Traceparent: dr.request.Traceparent,
	}}
}

// endWait stops waiting for the result of the current step.
func (d *Drafter) endWait(dr *draft) {
	if dr.phase == phaseStepping {
		d.estimator.Finish(dr.stages[dr.stageIndex].Target, dr.promptLoad())
	}
	dr.phase = phaseIdle
}

// promptLoad counts the prompt tokens and replayed positions in the current step.
func (dr *draft) promptLoad() int {
	have := dr.stages[dr.stageIndex].cachedPositions
	n := int(max(0, dr.position()-have))
	if have == 0 {
		n += dr.request.PromptTokens
	}
	return n
}

// steps returns the steps for the positions that the current stage's target lacks, up to the
// current one. It returns false if an input is not kept.
func (dr *draft) steps() ([]enginecaller.Step, bool) {
	s := dr.stages[dr.stageIndex]
	var steps []enginecaller.Step
	for p := min(s.cachedPositions, dr.position()); p <= dr.position(); p++ {
		input, ok := dr.input(dr.stageIndex, p)
		if !ok {
			return nil, false
		}
		steps = append(steps, dr.makeStep(s, p, input))
	}
	return steps, true
}

func (dr *draft) makeStep(s *stage, p identifier.Position, input []byte) enginecaller.Step {
	step := enginecaller.Step{
		StepName:   enginecaller.StepName{Draft: dr.request.Draft, Epoch: dr.epoch, Position: p, Stage: dr.stageIndex},
		Generation: s.Generation,
		Layers:     s.Layers,
		Input:      input,
		Priority:   dr.request.Priority,
		Last:       dr.stageIndex == len(dr.stages)-1 && p == dr.position(),
	}
	if p == 0 {
		step.PromptTokens = dr.request.PromptTokens
		step.PrefixBlocks = prefixBlocks(dr.request.Prompt)
	}
	return step
}

// awaitingStep returns the draft that waits for the step, if there is one.
func (d *Drafter) awaitingStep(target identifier.TargetID, name enginecaller.StepName) (*draft, bool) {
	dr, ok := d.running[name.Draft]
	if !ok || dr.phase != phaseStepping || name != dr.stepName() || dr.stages[dr.stageIndex].Target != target {
		return nil, false
	}
	return dr, true
}

func (d *Drafter) handleStepDone(now time.Time, ev StepDone) []messenger.Effect {
	dr, ok := d.awaitingStep(ev.Target, ev.Result.StepName)
	if !ok {
		return nil
	}
	for _, r := range append(ev.EarlierResults, ev.Result) {
		if r.Code != enginecaller.StepOK {
			d.endWait(dr)
			return d.handleStepRefused(now, dr, r)
		}
	}
	s := dr.stages[dr.stageIndex]
	if int(dr.position()-min(s.cachedPositions, dr.position())) != len(ev.EarlierResults) {
		// This is the result of an earlier call of the step, which replayed other positions.
		return nil
	}
	d.endWait(dr)
	if dr.stageIndex == len(dr.stages)-1 && ev.Result.Token == "" {
		// The engine returned the kept result of a replayed step, for which no token was sampled.
		return d.restart(now, dr, "token not retained")
	}
	if len(ev.EarlierResults) == 0 && dr.position() > 0 {
		d.estimator.Observe(ev.Target, now.Sub(dr.stepSentAt))
	}
	d.storeOutputs(dr, s, append(ev.EarlierResults, ev.Result))
	effects := d.reportPassed(dr, s)
	dr.stageIndex++
	if dr.stageIndex < len(dr.stages) {
		return append(effects, d.step(now, dr, false)...)
	}
	return append(effects, d.emitToken(now, dr, ev.Result.Token)...)
}

// storeOutputs makes a stage's outputs the next stage's inputs. It drops the stage's own inputs if the
// draft's history is no longer kept.
func (d *Drafter) storeOutputs(dr *draft, s *stage, results []enginecaller.StepResult) {
	if dr.stageIndex+1 < len(dr.stages) {
		next := dr.stages[dr.stageIndex+1]
		for _, r := range results {
			d.keepInput(dr, next, r.Position, r.Output)
		}
	}
	s.cachedPositions = dr.position() + 1
	dr.kvMisses = 0
	if dr.historyDropped {
		d.dropInputs(dr, s, s.cachedPositions)
		return
	}
	d.limitHistory(dr)
}

// reportPassed reports to the isolator that a step which ran alone succeeded.
func (d *Drafter) reportPassed(dr *draft, s *stage) []messenger.Effect {
	if dr.isolatedAt != s.Target {
		return nil
	}
	dr.isolatedAt = ""
	return []messenger.Effect{messenger.Raise{Event: isolator.StagePassed{
		Draft: dr.request.Draft, Fingerprint: dr.request.IsolationKey(), Target: s.Target,
	}}}
}

// handleStepRefused handles an engine's response that it did not run the step. None of these
// responses means that the target failed.
func (d *Drafter) handleStepRefused(now time.Time, dr *draft, r enginecaller.StepResult) []messenger.Effect {
	s := dr.stages[dr.stageIndex]
	switch r.Code {
	case enginecaller.StepSuperseded:
		if !dr.established && r.Seen > dr.epoch && dr.recoveries < maxEpochRaises {
			return d.raiseEpoch(now, dr, r.Seen)
		}
		return d.superseded(now, dr)
	case enginecaller.StepKVMissing:
		dr.kvMisses++
		if dr.kvMisses > maxKVMisses {
			dr.avoid[s.Target] = true
			return d.recover(now, dr, "kv cache missing")
		}
		return d.replayMissing(now, dr, s, r.Have)
	case enginecaller.StepReloaded, enginecaller.StepOK:
	}
	if t := d.targetsByID[s.Target]; t.Status.Generation == s.Generation {
		// The known status is older than the reload; a step based on it would be refused again.
		dr.avoid[s.Target] = true
	}
	return d.recover(now, dr, "target reloaded")
}

// raiseEpoch continues above an epoch that this driver did not know. This driver serves the
// caller's newest request, so it is the legitimate one.
func (d *Drafter) raiseEpoch(now time.Time, dr *draft, supersededBy identifier.Epoch) []messenger.Effect {
	dr.recoveries++
	dr.epoch = newEpoch(now, d.cfg.Self, supersededBy) + 1
	return d.step(now, dr, false)
}

// replayMissing sends an engine the positions its KV cache lacks. An engine that is ahead but did
// not keep the result of the step starts again from position 0.
func (d *Drafter) replayMissing(now time.Time, dr *draft, s *stage, have identifier.Position) []messenger.Effect {
	if have > dr.position() {
		have = 0
		dr.recoveries++
		dr.advanceEpoch(now, d.cfg.Self)
	}
	s.cachedPositions = have
	return d.step(now, dr, false)
}

// superseded ends the draft on this node because another node drives it.
func (d *Drafter) superseded(now time.Time, dr *draft) []messenger.Effect {
	effects := []messenger.Effect{messenger.Log{Event: eventlogger.DraftSuperseded, Subject: subject(dr), Values: []any{"epoch", dr.epoch}}}
	return append(effects, d.fail(now, dr, codeSuperseded, "another node has taken over the draft; retry with the same request id")...)
}

// handleStepFailed sends the step again on a new connection, more than once if the target answers
// probes. If that fails too, the stage is replaced; if the target did not answer a probe either, it is
// reported as failed and the isolator decides how the draft continues. A target that refused the call
// is replaced at once.
func (d *Drafter) handleStepFailed(now time.Time, ev StepFailed) []messenger.Effect {
	dr, ok := d.awaitingStep(ev.Target, ev.Name)
	if !ok || ev.NewConn != (dr.stepRetries > 0) {
		return nil
	}
	d.endWait(dr)
	switch {
	case ev.Status != 0:
		dr.avoid[ev.Target] = true
		return d.recover(now, dr, "target refused the call")
	case !ev.NewConn || (ev.Alive && dr.stepRetries < maxStepRetries):
		dr.stepRetries++
		return d.step(now, dr, true)
	case ev.Alive:
		dr.avoid[ev.Target] = true
		return d.recover(now, dr, "target did not respond")
	}
	effects := []messenger.Effect{messenger.Raise{Event: watcher.TargetFailed{Target: ev.Target}}}
	return append(effects, d.awaitDecision(dr)...)
}
