package drafter

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// exportIntervalTokens is the number of tokens between two exports of a stage's KV cache.
	exportIntervalTokens = 16
	// minTokensToMove is the least number of remaining tokens for which a stage is moved off a
	// leaving target.
	minTokensToMove = 8
	// kvTimeout limits one export or import of a KV cache.
	kvTimeout = 2 * time.Second
	// methodMove is logged as the method when a stage is moved off a leaving target.
	methodMove = "move"
)

// awaitDecision reports that the current stage of a draft was lost and pauses the draft until the
// isolator's decision.
func (d *Drafter) awaitDecision(dr *draft) []messenger.Effect {
	s := dr.stages[dr.stageIndex]
	dr.avoid[s.Target] = true
	dr.phase = phaseAwaitingDecision
	wasAlone := dr.isolatedAt == s.Target
	dr.isolatedAt = ""
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.StageLost, Subject: subject(dr),
			Values: []any{"target", s.Target, "position", dr.position(), "stage", dr.stageIndex},
		},
		messenger.Raise{Event: isolator.StageLost{
			Draft: dr.request.Draft, Fingerprint: dr.request.IsolationKey(), Target: s.Target, WasAlone: wasAlone,
			Candidates: planner.Candidates(d.targets, d.pipelineRequest(dr, s.Layers, d.excludedTargets(dr))),
		}},
	}
}

func (d *Drafter) handleDecision(now time.Time, ev isolator.Decision) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok || dr.phase != phaseAwaitingDecision {
		return nil
	}
	switch ev.Kind {
	case isolator.Refuse:
		p := responder.Problem{Code: codeCrashes, Message: "the request crashes the targets that run it", Place: "body"}
		return d.finish(now, dr, End{Outcome: responder.Refused, Tokens: len(dr.tokens), Problem: p})
	case isolator.RunAlone:
		return d.recoverAt(now, dr, ev.Target)
	case isolator.RunUnrestricted:
	}
	return d.recover(now, dr, "target failed")
}

// excludedTargets returns the targets that may not replace the current stage: those to avoid, and
// those of the draft's other stages, since an engine holds one layer range of a draft.
func (d *Drafter) excludedTargets(dr *draft) map[identifier.TargetID]bool {
	avoid := maps.Clone(dr.avoid)
	for i, s := range dr.stages {
		if i != dr.stageIndex {
			avoid[s.Target] = true
		}
	}
	return avoid
}

// recover replaces the current stage, or restarts the whole pipeline if that is not possible.
func (d *Drafter) recover(now time.Time, dr *draft, reason string) []messenger.Effect {
	chosen, ok := planner.Choose(d.targets, d.pipelineRequest(dr, dr.stages[dr.stageIndex].Layers, d.excludedTargets(dr)))
	if !ok || d.cfg.Recovery == Restart {
		return d.restart(now, dr, reason)
	}
	return d.recoverWith(now, dr, chosen, reason)
}

// recoverAt replaces the current stage at the target of a RunAlone decision.
func (d *Drafter) recoverAt(now time.Time, dr *draft, target identifier.TargetID) []messenger.Effect {
	chosen, ok := planner.ChooseAt(d.targets, target, d.pipelineRequest(dr, dr.stages[dr.stageIndex].Layers, d.excludedTargets(dr)))
	if !ok {
		return d.recover(now, dr, "target failed")
	}
	dr.isolatedAt = target
	return d.recoverWith(now, dr, chosen, "target failed, stage runs isolated")
}

// recoverWith replaces the current stage with the chosen ones. Only their layers run again if the
// inputs or the KV cache are kept; otherwise every stage starts again at its target.
func (d *Drafter) recoverWith(now time.Time, dr *draft, chosen []planner.Stage, reason string) []messenger.Effect {
	s := dr.stages[dr.stageIndex]
	if dr.lacksTokens() && !dr.canReplay() && s.kv == nil {
		return d.failTokensLost(now, dr)
	}
	if dr.recoveries++; dr.recoveries > maxRecoveries {
		return d.fail(now, dr, codeRecoveries, "the draft exceeded the limit of stage recoveries")
	}
	effects := []messenger.Effect{
		CancelDraft{Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch},
		d.logReplaced(dr, s, chosen, d.recoveryMethod(dr, s), reason),
	}
	d.replaceStage(dr, newStages(chosen))
	dr.advanceEpoch(now, d.cfg.Self)
	if kv := dr.stages[dr.stageIndex].kv; kv != nil && len(chosen) == 1 {
		return append(effects, d.importKV(now, dr, *kv))
	}
	d.setKV(dr, dr.stages[dr.stageIndex], nil)
	if !dr.canReplay() {
		d.resetStages(dr)
	}
	return append(effects, d.step(now, dr, false)...)
}

// canReplay reports whether all inputs of the current stage are kept.
func (dr *draft) canReplay() bool {
	_, ok := dr.input(dr.stageIndex, 0)
	return ok
}

// resetStages makes every stage start again at its target, beginning with the first stage.
func (d *Drafter) resetStages(dr *draft) {
	dr.stageIndex = 0
	for _, s := range dr.stages {
		d.dropInputs(dr, s, s.inputsFrom+identifier.Position(len(s.inputs)))
		d.setKV(dr, s, nil)
		s.cachedPositions, s.inputsFrom = 0, 0
	}
}

func (d *Drafter) recoveryMethod(dr *draft, s *stage) Recovery {
	switch {
	case s.kv != nil:
		return Import
	case dr.canReplay():
		return Replay
	}
	return Restart
}

func (d *Drafter) logReplaced(dr *draft, s *stage, chosen []planner.Stage, method Recovery, reason string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.StageReplaced, Subject: subject(dr),
		Values: []any{"way", method, "reason", reason, "from", s.Target, "to", chosen[0].Target, "position", dr.position()},
	}
}

// restart restarts the whole pipeline from the prompt and the tokens so far.
func (d *Drafter) restart(now time.Time, dr *draft, reason string) []messenger.Effect {
	if dr.recoveries++; dr.recoveries > maxRecoveries {
		return d.fail(now, dr, codeRecoveries, "the draft exceeded the limit of stage recoveries")
	}
	dr.isolatedAt = ""
	effects := append(d.cancel(dr), messenger.Log{
		Event: eventlogger.StageReplaced, Subject: subject(dr),
		Values: []any{"way", Restart, "reason", reason, "from", dr.stages[dr.stageIndex].Target, "position", dr.position()},
	})
	return append(effects, d.start(now, dr)...)
}

// importKV loads a KV cache into the current stage's target under the draft's epoch.
func (d *Drafter) importKV(now time.Time, dr *draft, kv enginecaller.KV) messenger.Effect {
	s := dr.stages[dr.stageIndex]
	kv.Epoch = dr.epoch
	s.cachedPositions = kv.Positions
	dr.phase, dr.responseDeadline = phaseImporting, now.Add(kvTimeout)
	return ImportKV{Target: s.Target, Address: s.Address, KV: kv, Deadline: dr.responseDeadline}
}

func (d *Drafter) handleKVImported(now time.Time, ev KVImported) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok || dr.phase != phaseImporting || dr.epoch != ev.Epoch || dr.stages[dr.stageIndex].Target != ev.Target {
		return nil
	}
	if ev.Failed {
		dr.avoid[ev.Target] = true
		return d.restart(now, dr, "import failed")
	}
	return d.step(now, dr, false)
}

// exportDue starts the periodic exports of the stages' KV caches.
func (d *Drafter) exportDue(now time.Time, dr *draft) []messenger.Effect {
	if d.cfg.Recovery != Import || dr.historyDropped || len(dr.tokens)%exportIntervalTokens != 0 {
		return nil
	}
	var effects []messenger.Effect
	for _, s := range dr.stages {
		if s.exporting {
			continue
		}
		s.exporting = true
		effects = append(effects, ExportKV{
			Target: s.Target, Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch, Deadline: now.Add(kvTimeout),
		})
	}
	return effects
}

// handleKVExported continues a move, or stores the KV cache of a periodic export.
func (d *Drafter) handleKVExported(now time.Time, ev KVExported) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok {
		return nil
	}
	if dr.phase == phaseExporting && dr.epoch == ev.Epoch && dr.stages[dr.stageIndex].Target == ev.Target {
		return d.finishMove(now, dr, ev)
	}
	for _, s := range dr.stages {
		if s.Target != ev.Target {
			continue
		}
		s.exporting = false
		if !ev.Failed && !dr.historyDropped && ev.KV.Positions <= s.cachedPositions && ev.Epoch == dr.epoch {
			d.setKV(dr, s, &ev.KV)
			d.dropInputs(dr, s, ev.KV.Positions)
		}
	}
	return nil
}

// startMove starts to move the current stage off its leaving target, if that is possible and enough
// tokens remain.
func (d *Drafter) startMove(now time.Time, dr *draft) ([]messenger.Effect, bool) {
	s := dr.stages[dr.stageIndex]
	request := d.pipelineRequest(dr, s.Layers, d.excludedTargets(dr))
	request.Avoid[s.Target] = true
	if s.cannotMove || dr.request.MaxTokens-len(dr.tokens) < minTokensToMove || len(planner.Candidates(d.targets, request)) == 0 {
		return nil, false
	}
	if s.cachedPositions == 0 {
		return d.recover(now, dr, "target leaving"), true
	}
	dr.phase, dr.responseDeadline = phaseExporting, now.Add(kvTimeout)
	return []messenger.Effect{ExportKV{
		Target: s.Target, Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch, Deadline: dr.responseDeadline,
	}}, true
}

// finishMove loads the exported KV cache of the current stage into another target. If that is not
// possible, the stage stays where it is.
func (d *Drafter) finishMove(now time.Time, dr *draft, ev KVExported) []messenger.Effect {
	s := dr.stages[dr.stageIndex]
	request := d.pipelineRequest(dr, s.Layers, d.excludedTargets(dr))
	candidates := planner.Candidates(d.targets, request)
	if ev.Failed || ev.KV.Positions != s.cachedPositions || len(candidates) == 0 {
		s.cannotMove = true
		return d.step(now, dr, false)
	}
	chosen, ok := planner.ChooseAt(d.targets, candidates[0], request)
	if !ok {
		s.cannotMove = true
		return d.step(now, dr, false)
	}
	effects := []messenger.Effect{
		CancelDraft{Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch},
		d.logReplaced(dr, s, chosen, methodMove, "target leaving"),
	}
	d.replaceStage(dr, newStages(chosen))
	dr.advanceEpoch(now, d.cfg.Self)
	return append(effects, d.importKV(now, dr, ev.KV))
}

// handleTargetsChanged stores the new targets. A draft whose step runs at a target that went down
// loses its stage at once.
func (d *Drafter) handleTargetsChanged(targets []watcher.Target) []messenger.Effect {
	down := map[identifier.TargetID]bool{}
	known := make(map[identifier.TargetID]watcher.Target, len(targets))
	for _, t := range targets {
		known[t.ID] = t
		if before, ok := d.targetsByID[t.ID]; ok && t.State == watcher.StateDown && before.State != watcher.StateDown {
			down[t.ID] = true
		}
	}
	d.targets, d.targetsByID, d.index = targets, known, planner.NewIndex(targets)
	d.estimator.Prune(known)
	if len(down) == 0 {
		return nil
	}
	var affected []*draft
	for _, dr := range d.running {
		if dr.phase == phaseStepping && down[dr.stages[dr.stageIndex].Target] {
			affected = append(affected, dr)
		}
	}
	var effects []messenger.Effect
	for _, dr := range sorted(affected) {
		d.endWait(dr)
		effects = append(effects, d.awaitDecision(dr)...)
	}
	return effects
}
