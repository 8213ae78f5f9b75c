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
	// exportEvery is the number of tokens between two exports of a stage's KV cache.
	exportEvery = 16
	// moveTokens is the number of tokens to come from which on a stage is moved off a leaving target.
	moveTokens = 8
	// kvTimeout bounds one export or import of a KV cache.
	kvTimeout = 2 * time.Second
	wayMove   = "move"
)

// lost holds a draft whose current stage died, until the isolator's ruling.
func (d *Drafter) lost(dr *draft) []messenger.Effect {
	s := dr.stages[dr.stage]
	dr.avoid[s.Target] = true
	dr.phase = ruling
	ruled := dr.aloneAt == s.Target
	dr.aloneAt = ""
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.StageLost, Subject: subject(dr),
			Values: []any{"target", s.Target, "position", dr.position(), "stage", dr.stage},
		},
		messenger.Raise{Event: isolator.StageLost{
			Draft: dr.request.Draft, Fingerprint: dr.fingerprint(), Target: s.Target, Ruled: ruled,
			Candidates: planner.Candidates(d.targets, d.wanted(dr, s.Layers, d.avoided(dr))),
		}},
	}
}

func (d *Drafter) ruled(now time.Time, ev isolator.Ruling) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok || dr.phase != ruling {
		return nil
	}
	switch ev.Kind {
	case isolator.Refuse:
		p := responder.Problem{Code: codeCrashes, Message: "the request crashes the targets that run it", Place: "body"}
		return d.finish(now, dr, End{Outcome: responder.Refused, Tokens: len(dr.tokens), Problem: p})
	case isolator.RunAlone:
		return d.recoverAt(now, dr, ev.Target)
	case isolator.RunFreely:
	}
	return d.recover(now, dr, "target died")
}

// avoided returns the targets that a replacement of the current stage must not be at: those
// that failed, and those of the draft's other stages, as an engine holds one range of a draft.
func (d *Drafter) avoided(dr *draft) map[identifier.TargetID]bool {
	avoid := maps.Clone(dr.avoid)
	for i, s := range dr.stages {
		if i != dr.stage {
			avoid[s.Target] = true
		}
	}
	return avoid
}

// recover replaces the current stage, or starts the whole pipeline again when that can't be done.
func (d *Drafter) recover(now time.Time, dr *draft, reason string) []messenger.Effect {
	chosen, ok := planner.Choose(d.targets, d.wanted(dr, dr.stages[dr.stage].Layers, d.avoided(dr)))
	if !ok || d.cfg.Recovery == Restart {
		return d.restart(now, dr, reason)
	}
	return d.recoverWith(now, dr, chosen, reason)
}

// recoverAt replaces the current stage at the target of a ruling RunAlone.
func (d *Drafter) recoverAt(now time.Time, dr *draft, target identifier.TargetID) []messenger.Effect {
	chosen, ok := planner.ChooseAt(d.targets, target, d.wanted(dr, dr.stages[dr.stage].Layers, d.avoided(dr)))
	if !ok {
		return d.recover(now, dr, "target died")
	}
	dr.aloneAt = target
	return d.recoverWith(now, dr, chosen, "target died, runs alone")
}

// recoverWith puts the chosen stages in the place of the current one. Only their layers run
// again when the inputs or the KV cache are kept; otherwise every stage starts again at its target.
func (d *Drafter) recoverWith(now time.Time, dr *draft, chosen []planner.Stage, reason string) []messenger.Effect {
	s := dr.stages[dr.stage]
	if dr.lacksTokens() && !dr.mayReplay() && s.kv == nil {
		return d.failTokensLost(now, dr)
	}
	if dr.recoveries++; dr.recoveries > mostRecoveries {
		return d.fail(now, dr, codeRecoveries, "too many stages were lost")
	}
	effects := []messenger.Effect{
		CancelDraft{Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch},
		d.replaced(dr, s, chosen, d.way(dr, s), reason),
	}
	d.replace(dr, newStages(chosen))
	dr.advanceEpoch(now, d.cfg.Self)
	if kv := dr.stages[dr.stage].kv; kv != nil && len(chosen) == 1 {
		return append(effects, d.importKV(now, dr, *kv))
	}
	d.keepKV(dr, dr.stages[dr.stage], nil)
	if !dr.mayReplay() {
		d.resetStages(dr)
	}
	return append(effects, d.step(now, dr, false)...)
}

// mayReplay says whether all inputs of the current stage are kept.
func (dr *draft) mayReplay() bool {
	_, ok := dr.input(dr.stage, 0)
	return ok
}

// resetStages makes every stage start again at its target, from the first stage on.
func (d *Drafter) resetStages(dr *draft) {
	dr.stage = 0
	for _, s := range dr.stages {
		d.forget(dr, s, s.base+identifier.Position(len(s.inputs)))
		d.keepKV(dr, s, nil)
		s.have, s.base = 0, 0
	}
}

func (d *Drafter) way(dr *draft, s *stage) Recovery {
	switch {
	case s.kv != nil:
		return Import
	case dr.mayReplay():
		return Replay
	}
	return Restart
}

func (d *Drafter) replaced(dr *draft, s *stage, chosen []planner.Stage, way Recovery, reason string) messenger.Effect {
	return messenger.Log{
		Event: eventlogger.StageReplaced, Subject: subject(dr),
		Values: []any{"way", way, "reason", reason, "from", s.Target, "to", chosen[0].Target, "position", dr.position()},
	}
}

// restart starts the whole pipeline again from the prompt and the tokens so far.
func (d *Drafter) restart(now time.Time, dr *draft, reason string) []messenger.Effect {
	if dr.recoveries++; dr.recoveries > mostRecoveries {
		return d.fail(now, dr, codeRecoveries, "too many stages were lost")
	}
	dr.aloneAt = ""
	effects := append(d.cancel(dr), messenger.Log{
		Event: eventlogger.StageReplaced, Subject: subject(dr),
		Values: []any{"way", Restart, "reason", reason, "from", dr.stages[dr.stage].Target, "position", dr.position()},
	})
	return append(effects, d.start(now, dr)...)
}

// importKV gives the current stage's target a KV cache under the draft's epoch.
func (d *Drafter) importKV(now time.Time, dr *draft, kv enginecaller.KV) messenger.Effect {
	s := dr.stages[dr.stage]
	kv.Epoch = dr.epoch
	s.have = kv.Positions
	dr.phase, dr.deadline = importing, now.Add(kvTimeout)
	return ImportKV{Target: s.Target, Address: s.Address, KV: kv, Deadline: dr.deadline}
}

func (d *Drafter) imported(now time.Time, ev KVImported) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok || dr.phase != importing || dr.epoch != ev.Epoch || dr.stages[dr.stage].Target != ev.Target {
		return nil
	}
	if ev.Failed {
		dr.avoid[ev.Target] = true
		return d.restart(now, dr, "import failed")
	}
	return d.step(now, dr, false)
}

// exportDue begins the periodic exports of the stages' KV caches.
func (d *Drafter) exportDue(now time.Time, dr *draft) []messenger.Effect {
	if d.cfg.Recovery != Import || dr.unkept || len(dr.tokens)%exportEvery != 0 {
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

func (d *Drafter) exported(now time.Time, ev KVExported) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok {
		return nil
	}
	if dr.phase == exporting && dr.epoch == ev.Epoch && dr.stages[dr.stage].Target == ev.Target {
		return d.moveTo(now, dr, ev)
	}
	for _, s := range dr.stages {
		if s.Target != ev.Target {
			continue
		}
		s.exporting = false
		if !ev.Failed && !dr.unkept && ev.KV.Positions <= s.have && ev.Epoch == dr.epoch {
			d.keepKV(dr, s, &ev.KV)
			d.forget(dr, s, ev.KV.Positions)
		}
	}
	return nil
}

// move begins to move the current stage off its leaving target, if that can be done and is worth it.
func (d *Drafter) move(now time.Time, dr *draft) ([]messenger.Effect, bool) {
	s := dr.stages[dr.stage]
	wanted := d.wanted(dr, s.Layers, d.avoided(dr))
	wanted.Avoid[s.Target] = true
	if s.stay || dr.request.MaxTokens-len(dr.tokens) < moveTokens || len(planner.Candidates(d.targets, wanted)) == 0 {
		return nil, false
	}
	if s.have == 0 {
		return d.recover(now, dr, "target leaving"), true
	}
	dr.phase, dr.deadline = exporting, now.Add(kvTimeout)
	return []messenger.Effect{ExportKV{
		Target: s.Target, Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch, Deadline: dr.deadline,
	}}, true
}

// moveTo gives the exported KV cache of the current stage to another target; when that
// can't be, the stage stays where it is.
func (d *Drafter) moveTo(now time.Time, dr *draft, ev KVExported) []messenger.Effect {
	s := dr.stages[dr.stage]
	wanted := d.wanted(dr, s.Layers, d.avoided(dr))
	candidates := planner.Candidates(d.targets, wanted)
	if ev.Failed || ev.KV.Positions != s.have || len(candidates) == 0 {
		s.stay = true
		return d.step(now, dr, false)
	}
	chosen, ok := planner.ChooseAt(d.targets, candidates[0], wanted)
	if !ok {
		s.stay = true
		return d.step(now, dr, false)
	}
	effects := []messenger.Effect{
		CancelDraft{Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch},
		d.replaced(dr, s, chosen, wayMove, "target leaving"),
	}
	d.replace(dr, newStages(chosen))
	dr.advanceEpoch(now, d.cfg.Self)
	return append(effects, d.importKV(now, dr, ev.KV))
}

// targetsChanged takes in the targets; a draft whose step runs at one that went down loses its stage at once.
func (d *Drafter) targetsChanged(targets []watcher.Target) []messenger.Effect {
	down := map[identifier.TargetID]bool{}
	known := make(map[identifier.TargetID]watcher.Target, len(targets))
	for _, t := range targets {
		known[t.ID] = t
		if before, ok := d.byID[t.ID]; ok && t.State == watcher.StateDown && before.State != watcher.StateDown {
			down[t.ID] = true
		}
	}
	d.targets, d.byID, d.index = targets, known, planner.NewIndex(targets)
	d.pace.Forget(known)
	if len(down) == 0 {
		return nil
	}
	var lost []*draft
	for _, dr := range d.running {
		if dr.phase == stepping && down[dr.stages[dr.stage].Target] {
			lost = append(lost, dr)
		}
	}
	var effects []messenger.Effect
	for _, dr := range sorted(lost) {
		d.settle(dr)
		effects = append(effects, d.lost(dr)...)
	}
	return effects
}
