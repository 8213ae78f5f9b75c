package drafter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/pacer"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// keptAfterEnd is how long an ended draft answers a caller that asks again.
	keptAfterEnd = time.Minute
	retryAfter   = time.Second
	// waitForPipeline is how long a draft waits for targets that cover its model.
	waitForPipeline = 100 * time.Millisecond
	// reconnectTime is how long a draft without a caller goes on before it is cancelled.
	reconnectTime = 5 * time.Second
	// scanInterval is how often the deadlines of all running drafts are looked at.
	scanInterval = 50 * time.Millisecond
	// mostRecoveries bounds the recoveries of one draft; the epoch has room for them.
	mostRecoveries = 1000
)

// Codes of problems that end a draft.
const (
	codeDeadline   = "deadline"
	codeNoPipeline = "no_pipeline"
	codeSuperseded = "superseded"
	codeCallerGone = "caller_gone"
	codeTokensLost = "tokens_lost"
	codeRecoveries = "too_many_recoveries"
	codeCrashes    = "crashes_targets"
)

// Recovery is a way to recover a stage's KV cache at another target.
type Recovery string

// Ways of recovery.
const (
	// Replay runs the lost layers again from the kept inputs of the stage.
	Replay Recovery = "replay"
	// Import gives the replacement the last exported KV cache and replays what followed.
	Import Recovery = "import"
	// Restart runs all layers again from the prompt and the tokens so far.
	Restart Recovery = "restart"
)

// Config holds what a drafter decides with.
type Config struct {
	Self     heartbeater.Heartbeat
	Recovery Recovery
	// Shards is the number of drafters of the node; each counts on the others to load targets as it does.
	Shards int
	// HistoryBytes bounds the inputs and KV caches that the drafter keeps for recovery.
	HistoryBytes int
}

// phase says what a running draft waits for.
type phase int

const (
	// idle: for nothing, while an event is applied.
	idle phase = iota
	// waiting: for targets that cover the model, until retryAt.
	waiting
	// asking: for peers to say what they know of the draft.
	asking
	// stepping: for the answer to a step.
	stepping
	// ruling: for the isolator's ruling on a lost stage.
	ruling
	// exporting: for the KV cache of a leaving target.
	exporting
	// importing: for a replacement to take a KV cache.
	importing
	// recalling: for the last stage to tell tokens again that the checkpoint lacks.
	recalling
)

// caller is one open call; it has the tokens up to number after.
type caller struct {
	call  identifier.CallID
	after int
}

// draft is the state of one draft at its driver.
type draft struct {
	request Arrived
	epoch   identifier.Epoch
	phase   phase
	stages  []*stage
	// stage is the index of the stage that runs the position after tokens.
	stage   int
	tokens  []string
	callers []caller

	sent     time.Time
	deadline time.Time
	// resends counts how often the current step was sent again on a new connection.
	resends int
	retryAt time.Time
	avoid   map[identifier.TargetID]bool
	// missing counts how often in a row an engine lacked the KV cache of the current step.
	missing int
	// aloneAt is the target at which a ruling RunAlone lets the draft's step run.
	aloneAt    identifier.TargetID
	recoveries int
	// unkept says that the draft's stage inputs are not kept for replay.
	unkept bool
	// established says that the driver brought a token, or was frozen: another may have the draft by right.
	established bool
	bytes       int

	goneAt     time.Time
	checkpoint checkpointed
	end        *End
}

type dropping struct {
	draft *draft
	at    time.Time
}

// Drafter is the sub-reducer of the drafts of one shard.
type Drafter struct {
	cfg     Config
	drafts  map[identifier.DraftID]*draft
	running map[identifier.DraftID]*draft
	// ended holds the ended drafts, first ended first.
	ended   []dropping
	targets []watcher.Target
	index   *planner.Index
	byID    map[identifier.TargetID]watcher.Target
	load    map[identifier.TargetID]int
	pace    *pacer.Pacer
	bytes   int
	scanned time.Time
	// seen is the instant of the last event.
	seen time.Time

	checkpoints outbox
	// settings is nil until the first is read.
	settings *configurer.Settings
	// turn counts the pipelines that were wanted.
	turn uint64
	// bound counts the drafts that have a pipeline, by priority.
	bound [configurer.MostPriority + 1]int
}

// NewDrafter returns a drafter with no draft.
func NewDrafter(cfg Config) *Drafter {
	return &Drafter{
		cfg:     cfg,
		drafts:  map[identifier.DraftID]*draft{},
		running: map[identifier.DraftID]*draft{},
		byID:    map[identifier.TargetID]watcher.Target{},
		index:   planner.NewIndex(nil),
		load:    map[identifier.TargetID]int{},
		pace:    pacer.NewPacer(cfg.Shards),

		checkpoints: newOutbox(),
	}
}

// Apply takes one event and returns what to do.
func (d *Drafter) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	effects := d.confirm(now)
	return append(effects, d.apply(now, event)...)
}

func (d *Drafter) apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Arrived:
		return d.arrived(now, ev)
	case StepDone:
		if dr, ok := d.recalls(ev.Target, ev.Result.StepName); ok {
			return d.recalled(now, dr, ev)
		}
		return d.stepDone(now, ev)
	case StepFailed:
		if dr, ok := d.recalls(ev.Target, ev.Name); ok {
			return d.goOn(now, dr)
		}
		return d.stepFailed(now, ev)
	case KVExported:
		return d.exported(now, ev)
	case KVImported:
		return d.imported(now, ev)
	case isolator.Ruling:
		return d.ruled(now, ev)
	case CheckpointFound:
		return d.checkpointFound(now, ev)
	case CheckpointLost:
		d.checkpointLost(ev)
	case CallerGone:
		d.callerGone(now, ev)
	case watcher.TargetsChanged:
		return d.targetsChanged(ev.Targets)
	case heartbeater.PeersChanged:
		d.checkpoints.peers = ev.Peers
	case tailer.SettingsChanged:
		d.settings = ev.Settings
	case messenger.Tick:
		return d.tick(now)
	}
	return nil
}

func (d *Drafter) arrived(now time.Time, ev Arrived) []messenger.Effect {
	if dr, ok := d.drafts[ev.Draft]; ok && !dr.mayRunAgain(ev) {
		return d.join(dr, ev)
	}
	dr := &draft{
		request: ev, callers: []caller{{ev.Call, ev.LastToken}}, avoid: map[identifier.TargetID]bool{},
		unkept: d.cfg.Recovery == Restart,
	}
	d.drafts[ev.Draft], d.running[ev.Draft] = dr, dr
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.DraftStarted, Subject: subject(dr),
		Values: []any{"model", ev.Model, "class", ev.Class, "max_tokens", ev.MaxTokens},
	}}
	if ev.LastToken > 0 {
		return append(effects, d.ask(now, dr)...)
	}
	return append(effects, d.start(now, dr)...)
}

// start binds the draft to a pipeline and runs it from the prompt and the tokens so far.
func (d *Drafter) start(now time.Time, dr *draft) []messenger.Effect {
	if dr.lacksTokens() {
		return d.failTokensLost(now, dr)
	}
	whole := identifier.LayerRange{To: dr.request.Layers}
	wanted := d.wanted(dr, whole, dr.avoid)
	stages, ok := planner.Choose(d.index.Sample(wanted), wanted)
	if !ok {
		d.bind(dr, nil)
		dr.phase, dr.retryAt = waiting, now.Add(waitForPipeline)
		clear(dr.avoid)
		return nil
	}
	dr.advanceEpoch(now, d.cfg.Self)
	d.bind(dr, newStages(stages))
	dr.stage, dr.resends = 0, 0
	return d.step(now, dr, false)
}

// wanted says what pipeline the draft needs, chosen as its team's settings say.
func (d *Drafter) wanted(dr *draft, layers identifier.LayerRange, avoid map[identifier.TargetID]bool) planner.Request {
	d.turn++
	r := planner.Request{
		Model: dr.request.Model, Layers: layers, Load: d.load, Avoid: avoid,
		Seed: xxhash.Sum64String(string(dr.request.Draft)) + uint64(dr.epoch), Turn: d.turn,
		Overtaken: d.overtaken(dr.request.Priority),
	}
	if d.settings != nil && d.settings.Teams[dr.request.Team] != nil {
		r.Choice = planner.Choice(d.settings.Teams[dr.request.Team].Choice)
	}
	return r
}

func (dr *draft) position() identifier.Position { return identifier.Position(len(dr.tokens)) }

func (dr *draft) stepName() enginecaller.StepName {
	return enginecaller.StepName{Draft: dr.request.Draft, Epoch: dr.epoch, Position: dr.position(), Stage: dr.stage}
}

// tokenDone gives the token to the callers and goes on.
func (d *Drafter) tokenDone(now time.Time, dr *draft, token string) []messenger.Effect {
	dr.tokens = append(dr.tokens, token)
	dr.stage, dr.established = 0, true
	clear(dr.avoid)
	var effects []messenger.Effect
	for _, c := range dr.callers {
		if c.after < len(dr.tokens) {
			effects = append(effects, messenger.Reply{Call: c.call, Answer: Token{Number: len(dr.tokens), Text: token}})
		}
	}
	if len(dr.tokens) >= dr.request.MaxTokens {
		return append(effects, d.finish(now, dr, End{Outcome: responder.Delivered, Tokens: len(dr.tokens)})...)
	}
	effects = append(effects, d.exportDue(now, dr)...)
	return append(effects, d.step(now, dr, false)...)
}

func (d *Drafter) cancel(dr *draft) []messenger.Effect {
	var effects []messenger.Effect
	for _, s := range dr.stages {
		effects = append(effects, CancelDraft{Address: s.Address, Draft: dr.request.Draft, Epoch: dr.epoch})
	}
	return effects
}

func (d *Drafter) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for len(d.ended) > 0 && !now.Before(d.ended[0].at) {
		old := d.ended[0].draft
		d.ended = d.ended[1:]
		if d.drafts[old.request.Draft] == old {
			delete(d.drafts, old.request.Draft)
		}
	}
	if now.Sub(d.scanned) >= scanInterval {
		d.scanned = now
		effects = append(effects, d.scan(now)...)
	}
	return append(effects, d.sendCheckpoints(now)...)
}

func sorted(drafts []*draft) []*draft {
	slices.SortFunc(drafts, func(a, b *draft) int { return cmp.Compare(a.request.Draft, b.request.Draft) })
	return drafts
}

func subject(dr *draft) string { return "request/" + string(dr.request.Draft) }
