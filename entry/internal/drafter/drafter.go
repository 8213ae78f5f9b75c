package drafter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// stepGrace is what a step may take beyond its expected time.
	stepGrace = time.Second
	// stepFactor multiplies a step's expected time in its deadline.
	stepFactor = 20
	// keptAfterEnd is how long an ended draft answers a caller that asks again.
	keptAfterEnd = time.Minute
	retryAfter   = time.Second
	// waitForPipeline is how long a draft waits for targets that cover its model.
	waitForPipeline = 100 * time.Millisecond
)

// draft is the state of one draft at its driver.
type draft struct {
	request  Arrived
	epoch    identifier.Epoch
	stages   []planner.Stage
	position identifier.Position
	stage    int
	input    []byte
	tokens   []string
	calls    map[identifier.CallID]bool
	// resent says that the current step was sent again on a new connection.
	resent  bool
	avoid   map[identifier.TargetID]bool
	retryAt time.Time
	end     *End
	dropAt  time.Time
}

// Drafter is the sub-reducer of the drafts of one shard.
type Drafter struct {
	drafts  map[identifier.DraftID]*draft
	targets []watcher.Target
	load    map[identifier.TargetID]int
	// settings is nil until the first is read.
	settings *configurer.Settings
	// turn counts the pipelines that were wanted.
	turn uint64
}

// NewDrafter returns a drafter with no draft.
func NewDrafter() *Drafter {
	return &Drafter{drafts: map[identifier.DraftID]*draft{}, load: map[identifier.TargetID]int{}}
}

// Apply takes one event and returns what to do.
func (d *Drafter) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Arrived:
		return d.arrived(now, ev)
	case StepDone:
		return d.stepDone(now, ev)
	case StepFailed:
		return d.stepFailed(now, ev)
	case CallerGone:
		return d.callerGone(ev)
	case watcher.TargetsChanged:
		d.targets = ev.Targets
	case tailer.SettingsChanged:
		d.settings = ev.Settings
	case messenger.Tick:
		return d.tick(now)
	}
	return nil
}

func (d *Drafter) arrived(now time.Time, ev Arrived) []messenger.Effect {
	if dr, ok := d.drafts[ev.Draft]; ok {
		return d.join(dr, ev)
	}
	dr := &draft{request: ev, calls: map[identifier.CallID]bool{ev.Call: true}, avoid: map[identifier.TargetID]bool{}}
	d.drafts[ev.Draft] = dr
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.DraftStarted, Subject: "request/" + string(ev.Draft),
		Values: []any{"model", ev.Model, "class", ev.Class, "max_tokens", ev.MaxTokens},
	}}
	return append(effects, d.start(now, dr)...)
}

// join gives a caller what a running or ended draft has so far.
func (d *Drafter) join(dr *draft, ev Arrived) []messenger.Effect {
	if dr.request.Fingerprint != ev.Fingerprint {
		p := responder.Problem{Code: "request_id_reused", Message: "the request id was used with another body", Place: "header X-Request-ID"}
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: End{Outcome: responder.Refused, Problem: p}}}
	}
	var effects []messenger.Effect
	for n := ev.LastToken; n < len(dr.tokens); n++ {
		effects = append(effects, messenger.Reply{Call: ev.Call, Answer: Token{Number: n + 1, Text: dr.tokens[n]}})
	}
	if dr.end != nil {
		return append(effects, messenger.Reply{Call: ev.Call, Answer: *dr.end})
	}
	dr.calls[ev.Call] = true
	return effects
}

// start binds the draft to a pipeline under a new epoch and runs it from the prompt.
func (d *Drafter) start(now time.Time, dr *draft) []messenger.Effect {
	whole := identifier.LayerRange{To: dr.request.Layers}
	stages, ok := planner.Choose(d.targets, d.wanted(dr, whole, dr.avoid))
	if !ok {
		d.bind(dr, nil)
		dr.retryAt = now.Add(waitForPipeline)
		clear(dr.avoid)
		return nil
	}
	d.bind(dr, stages)
	dr.epoch++
	dr.position, dr.stage = 0, 0
	dr.input = []byte(dr.request.Prompt)
	return []messenger.Effect{d.send(now, dr, false)}
}

// wanted says what pipeline the draft needs, chosen as its team's settings say.
func (d *Drafter) wanted(dr *draft, layers identifier.LayerRange, avoid map[identifier.TargetID]bool) planner.Request {
	d.turn++
	r := planner.Request{
		Model: dr.request.Model, Layers: layers, Load: d.load, Avoid: avoid,
		Seed: xxhash.Sum64String(string(dr.request.Draft)) + uint64(dr.epoch), Turn: d.turn,
	}
	if d.settings != nil && d.settings.Teams[dr.request.Team] != nil {
		r.Choice = planner.Choice(d.settings.Teams[dr.request.Team].Choice)
	}
	return r
}

func (d *Drafter) bind(dr *draft, stages []planner.Stage) {
	for _, s := range dr.stages {
		d.load[s.Target]--
	}
	dr.stages = stages
	for _, s := range stages {
		d.load[s.Target]++
	}
}

func (d *Drafter) send(now time.Time, dr *draft, fresh bool) messenger.Effect {
	s := dr.stages[dr.stage]
	dr.resent = fresh
	step := enginecaller.Step{
		StepName:   dr.stepName(),
		Generation: s.Generation,
		Layers:     s.Layers,
		Input:      dr.input,
		Priority:   dr.request.Priority,
		Last:       dr.stage == len(dr.stages)-1,
	}
	expected := s.LayerTime * time.Duration(s.Layers.Len())
	if dr.position == 0 {
		step.PromptTokens = dr.request.PromptTokens
		step.PrefixBlocks = prefixBlocks(dr.request.Prompt)
		expected += expected * time.Duration(dr.request.PromptTokens)
	}
	return SendStep{
		Target: s.Target, Address: s.Address, Step: step, Fresh: fresh,
		Deadline: now.Add(stepGrace + expected*stepFactor), Traceparent: dr.request.Traceparent,
	}
}

func (dr *draft) stepName() enginecaller.StepName {
	return enginecaller.StepName{Draft: dr.request.Draft, Epoch: dr.epoch, Position: dr.position, Stage: dr.stage}
}

func (d *Drafter) stepDone(now time.Time, ev StepDone) []messenger.Effect {
	dr, ok := d.drafts[ev.Result.Draft]
	if !ok || dr.end != nil || ev.Result.StepName != dr.stepName() {
		return nil
	}
	if ev.Result.Code != enginecaller.StepOK {
		return d.restart(now, dr, ev.Target)
	}
	dr.input = ev.Result.Output
	dr.stage++
	if dr.stage < len(dr.stages) {
		return []messenger.Effect{d.send(now, dr, false)}
	}
	return d.tokenDone(now, dr, ev.Result.Token)
}

// tokenDone gives the token to the callers, unless a restart ran it again, and goes on.
func (d *Drafter) tokenDone(now time.Time, dr *draft, token string) []messenger.Effect {
	var effects []messenger.Effect
	if int(dr.position) == len(dr.tokens) {
		dr.tokens = append(dr.tokens, token)
		for call := range dr.calls {
			effects = append(effects, messenger.Reply{Call: call, Answer: Token{Number: len(dr.tokens), Text: token}})
		}
	}
	if len(dr.tokens) >= dr.request.MaxTokens {
		return append(effects, d.finish(now, dr, End{Outcome: responder.Delivered, Tokens: len(dr.tokens)})...)
	}
	dr.position++
	dr.stage = 0
	dr.input = []byte(token)
	return append(effects, d.send(now, dr, false))
}

// stepFailed resumes the step on a new connection; when that fails too the target is given up.
func (d *Drafter) stepFailed(now time.Time, ev StepFailed) []messenger.Effect {
	dr, ok := d.drafts[ev.Name.Draft]
	if !ok || dr.end != nil || ev.Name != dr.stepName() {
		return nil
	}
	if !ev.Fresh {
		return []messenger.Effect{d.send(now, dr, true)}
	}
	effects := []messenger.Effect{messenger.Raise{Event: watcher.TargetFailed{Target: ev.Target}}}
	return append(effects, d.restart(now, dr, ev.Target)...)
}

func (d *Drafter) restart(now time.Time, dr *draft, failed identifier.TargetID) []messenger.Effect {
	dr.avoid[failed] = true
	effects := d.cancel(dr)
	return append(effects, d.start(now, dr)...)
}

func (d *Drafter) cancel(dr *draft) []messenger.Effect {
	var effects []messenger.Effect
	for _, s := range dr.stages {
		effects = append(effects, CancelDraft{Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch})
	}
	return effects
}

func (d *Drafter) callerGone(ev CallerGone) []messenger.Effect {
	dr, ok := d.drafts[ev.Draft]
	if !ok {
		return nil
	}
	delete(dr.calls, ev.Call)
	return nil
}

func (d *Drafter) finish(now time.Time, dr *draft, end End) []messenger.Effect {
	dr.end = &end
	dr.dropAt = now.Add(keptAfterEnd)
	effects := d.cancel(dr)
	d.bind(dr, nil)
	for call := range dr.calls {
		effects = append(effects, messenger.Reply{Call: call, Answer: end})
	}
	clear(dr.calls)
	return append(effects,
		messenger.Log{
			Event: eventlogger.DraftEnded, Subject: "request/" + string(dr.request.Draft),
			Values: []any{"outcome", end.Outcome, "tokens", end.Tokens, "reason", end.Problem.Code, "epoch", dr.epoch},
		},
		messenger.Raise{Event: Ended{
			Draft: dr.request.Draft, Account: dr.request.Account, Class: dr.request.Class,
			Outcome: end.Outcome, Late: now.After(dr.request.Deadline), Tokens: end.Tokens,
		}})
}

func (d *Drafter) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, dr := range d.drafts {
		switch {
		case dr.end != nil && !now.Before(dr.dropAt):
			delete(d.drafts, id)
		case dr.end != nil:
		case !now.Before(dr.request.Deadline):
			effects = append(effects, d.giveUp(now, dr)...)
		case len(dr.stages) == 0 && !now.Before(dr.retryAt):
			effects = append(effects, d.start(now, dr)...)
		}
	}
	return effects
}

// giveUp ends a draft at its deadline; one that never got a pipeline was not run.
func (d *Drafter) giveUp(now time.Time, dr *draft) []messenger.Effect {
	end := End{Outcome: responder.Failed, Tokens: len(dr.tokens), RetryAfter: retryAfter}
	end.Problem = responder.Problem{Code: "deadline", Message: "the deadline passed before the draft was whole", Place: "model/" + string(dr.request.Model)}
	if dr.epoch == 0 {
		end.Outcome = responder.NotRun
		end.Problem.Message = "no pipeline covers the model"
		end.Problem.Code = "no_pipeline"
	}
	return d.finish(now, dr, end)
}
