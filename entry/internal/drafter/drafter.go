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
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/stepestimator"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// endedRetention is how long an ended draft still answers callers that reconnect.
	endedRetention = time.Minute
	// retryAfter is the delay after which a caller may retry a draft that failed or did not run.
	retryAfter = time.Second
	// pipelineRetryInterval is the delay before the next attempt to find targets that cover the
	// model.
	pipelineRetryInterval = 100 * time.Millisecond
	// reconnectTimeout is how long a draft without callers runs before it is cancelled.
	reconnectTimeout = 5 * time.Second
	// deadlineScanInterval is the interval between two checks of the deadlines of all running
	// drafts.
	deadlineScanInterval = 50 * time.Millisecond
	// maxRecoveries limits the recoveries of one draft, so that their count fits in recoveryBits of
	// the epoch.
	maxRecoveries = 1000
)

// Problem codes of drafts that end without a complete answer.
const (
	codeDeadline   = "deadline"
	codeNoPipeline = "no_pipeline"
	codeSuperseded = "superseded"
	codeCallerGone = "caller_gone"
	codeTokensLost = "tokens_lost"
	codeRecoveries = "too_many_recoveries"
	codeCrashes    = "crashes_targets"
)

// Recovery is a method of recovering a stage's KV cache at another target.
type Recovery string

// Recovery methods.
const (
	// Replay runs the lost layers again from the stage's kept inputs.
	Replay Recovery = "replay"
	// Import loads the last exported KV cache into the replacement and replays the positions after
	// it.
	Import Recovery = "import"
	// Restart runs all layers again from the prompt and the tokens generated so far.
	Restart Recovery = "restart"
)

// Config holds the settings of a Drafter.
type Config struct {
	Self     heartbeater.Heartbeat
	Recovery Recovery
	// Shards is the number of drafters on the node. Each assumes that the others load the targets
	// as much as it does.
	Shards int
	// HistoryBytes limits the inputs and KV caches that the drafter keeps for recovery.
	HistoryBytes int
}

// phase is what a running draft waits for.
type phase int

const (
	// phaseIdle: the draft waits for nothing. It lasts only while an event is applied.
	phaseIdle phase = iota
	// phaseAwaitingPipeline: no targets cover the model; tried again at retryAt.
	phaseAwaitingPipeline
	// phaseAwaitingCheckpoint: peers were asked for a checkpoint of the draft.
	phaseAwaitingCheckpoint
	// phaseStepping: a step is in flight.
	phaseStepping
	// phaseAwaitingDecision: a stage was lost and the isolator decides how the draft goes on.
	phaseAwaitingDecision
	// phaseExporting: the KV cache of a leaving target is being read.
	phaseExporting
	// phaseImporting: a KV cache is being loaded into a replacement.
	phaseImporting
	// phaseFetchingTokens: the last stage was asked for tokens that the checkpoint lacks.
	phaseFetchingTokens
)

// caller is one open call. It has the tokens up to number lastToken.
type caller struct {
	call      identifier.CallID
	lastToken int
}

// draft is the state of one draft at its driver, the node that runs it.
type draft struct {
	request Request
	epoch   identifier.Epoch
	phase   phase
	stages  []*stage
	// stageIndex is the index of the stage that runs the next step.
	stageIndex int
	tokens     []string
	callers    []caller

	stepSentAt time.Time
	// responseDeadline is when the result of the current step, KV transfer or token fetch is due.
	responseDeadline time.Time
	// stepRetries counts how often the current step was resumed on a new connection.
	stepRetries int
	// retryAt is when start is tried again while the draft awaits a pipeline or a checkpoint.
	retryAt time.Time
	// avoid holds the targets that failed or refused the draft since its last token.
	avoid map[identifier.TargetID]bool
	// kvMisses counts how often in a row an engine lacked the KV cache for the current step.
	kvMisses int
	// isolatedAt is the target where a RunAlone decision lets the draft's step run.
	isolatedAt identifier.TargetID
	recoveries int
	// historyDropped means that stage inputs are no longer kept for replay.
	historyDropped bool
	// established means that the driver generated a token or was frozen. A higher epoch then
	// belongs to a legitimate successor.
	established  bool
	historyBytes int

	// disconnectDeadline is when the draft is cancelled if it still has no caller.
	disconnectDeadline time.Time
	sent               sentCheckpoint
	// end is the final reply; nil while the draft runs.
	end *End
}

type endedDraft struct {
	draft     *draft
	expiresAt time.Time
}

// Drafter is the reducer for the drafts of one shard.
type Drafter struct {
	cfg Config
	// drafts holds the running drafts and the ended ones that are still retained.
	drafts  map[identifier.DraftID]*draft
	running map[identifier.DraftID]*draft
	// ended holds the ended drafts, oldest end first.
	ended       []endedDraft
	targets     []watcher.Target
	index       *planner.Index
	targetsByID map[identifier.TargetID]watcher.Target
	// load counts, for each target, the stages of this shard's drafts that are bound to it.
	load         map[identifier.TargetID]int
	estimator    *stepestimator.Estimator
	historyBytes int
	lastScan     time.Time
	// lastEventAt is the time of the last event.
	lastEventAt time.Time

	checkpoints outbox
	// settings is nil until the first settings arrive.
	settings *configurer.Settings
	// pipelineRequests counts the pipelines requested from the planner.
	pipelineRequests uint64
	// boundByPriority counts the drafts that have a pipeline, by priority.
	boundByPriority [configurer.MaxPriority + 1]int
}

// NewDrafter returns a Drafter without drafts.
func NewDrafter(cfg Config) *Drafter {
	return &Drafter{
		cfg:         cfg,
		drafts:      map[identifier.DraftID]*draft{},
		running:     map[identifier.DraftID]*draft{},
		targetsByID: map[identifier.TargetID]watcher.Target{},
		index:       planner.NewIndex(nil),
		load:        map[identifier.TargetID]int{},
		estimator:   stepestimator.NewEstimator(cfg.Shards),

		checkpoints: newOutbox(),
	}
}

// Apply applies one event and returns the effects to run.
func (d *Drafter) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	effects := d.checkAfterFreeze(now)
	return append(effects, d.apply(now, event)...)
}

func (d *Drafter) apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Request:
		return d.handleRequest(now, ev)
	case StepDone:
		if dr, ok := d.awaitingTokens(ev.Target, ev.Result.StepName); ok {
			return d.handleFetchedTokens(now, dr, ev)
		}
		return d.handleStepDone(now, ev)
	case StepFailed:
		if dr, ok := d.awaitingTokens(ev.Target, ev.Name); ok {
			return d.continueDraft(now, dr)
		}
		return d.handleStepFailed(now, ev)
	case KVExported:
		return d.handleKVExported(now, ev)
	case KVImported:
		return d.handleKVImported(now, ev)
	case isolator.Decision:
		return d.handleDecision(now, ev)
	case CheckpointFound:
		return d.handleCheckpointFound(now, ev)
	case CheckpointLost:
		d.handleCheckpointLost(ev)
	case CallerGone:
		d.handleCallerGone(now, ev)
	case watcher.TargetsChanged:
		return d.handleTargetsChanged(ev.Targets)
	case heartbeater.PeersChanged:
		d.checkpoints.peers = ev.Peers
	case tailer.SettingsChanged:
		d.settings = ev.Settings
	case messenger.Tick:
		return d.tick(now)
	}
	return nil
}

func (d *Drafter) handleRequest(now time.Time, ev Request) []messenger.Effect {
	if dr, ok := d.drafts[ev.Draft]; ok && !dr.mayRestart(ev) {
		return d.join(dr, ev)
	}
	dr := &draft{
		request: ev, callers: []caller{{ev.Call, ev.LastToken}}, avoid: map[identifier.TargetID]bool{},
		historyDropped: d.cfg.Recovery == Restart,
	}
	d.drafts[ev.Draft], d.running[ev.Draft] = dr, dr
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.DraftStarted, Subject: subject(dr),
		Values: []any{"model", ev.Model, "class", ev.Class, "max_tokens", ev.MaxTokens},
	}}
	if ev.LastToken > 0 {
		return append(effects, d.lookUpCheckpoint(now, dr)...)
	}
	return append(effects, d.start(now, dr)...)
}

// start binds the draft to a pipeline and runs it from the prompt and the tokens so far.
func (d *Drafter) start(now time.Time, dr *draft) []messenger.Effect {
	if dr.lacksTokens() {
		return d.failTokensLost(now, dr)
	}
	allLayers := identifier.LayerRange{To: dr.request.Layers}
	request := d.pipelineRequest(dr, allLayers, dr.avoid)
	stages, ok := planner.Choose(d.index.Sample(request), request)
	if !ok {
		d.bind(dr, nil)
		dr.phase, dr.retryAt = phaseAwaitingPipeline, now.Add(pipelineRetryInterval)
		clear(dr.avoid)
		return nil
	}
	dr.advanceEpoch(now, d.cfg.Self)
	d.bind(dr, newStages(stages))
	dr.stageIndex, dr.stepRetries = 0, 0
	return d.step(now, dr, false)
}

// pipelineRequest describes the pipeline the draft needs, with the load-balancing policy of its team.
func (d *Drafter) pipelineRequest(dr *draft, layers identifier.LayerRange, avoid map[identifier.TargetID]bool) planner.Request {
	d.pipelineRequests++
	r := planner.Request{
		Model: dr.request.Model, Layers: layers, Load: d.load, Avoid: avoid,
		Seed: xxhash.Sum64String(string(dr.request.Draft)) + uint64(dr.epoch), Sequence: d.pipelineRequests,
		LowerPriorityShare: d.lowerPriorityShare(dr.request.Priority),
	}
	if d.settings != nil && d.settings.Teams[dr.request.Team] != nil {
		r.Policy = planner.Policy(d.settings.Teams[dr.request.Team].Choice)
	}
	return r
}

func (dr *draft) position() identifier.Position { return identifier.Position(len(dr.tokens)) }

func (dr *draft) stepName() enginecaller.StepName {
	return enginecaller.StepName{Draft: dr.request.Draft, Epoch: dr.epoch, Position: dr.position(), Stage: dr.stageIndex}
}

// emitToken sends the token to the callers and starts the next position.
func (d *Drafter) emitToken(now time.Time, dr *draft, token string) []messenger.Effect {
	dr.tokens = append(dr.tokens, token)
	dr.stageIndex, dr.established = 0, true
	clear(dr.avoid)
	var effects []messenger.Effect
	for _, c := range dr.callers {
		if c.lastToken < len(dr.tokens) {
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
	for len(d.ended) > 0 && !now.Before(d.ended[0].expiresAt) {
		expired := d.ended[0].draft
		d.ended = d.ended[1:]
		if d.drafts[expired.request.Draft] == expired {
			delete(d.drafts, expired.request.Draft)
		}
	}
	if now.Sub(d.lastScan) >= deadlineScanInterval {
		d.lastScan = now
		effects = append(effects, d.scan(now)...)
	}
	return append(effects, d.sendCheckpoints(now)...)
}

func sorted(drafts []*draft) []*draft {
	slices.SortFunc(drafts, func(a, b *draft) int { return cmp.Compare(a.request.Draft, b.request.Draft) })
	return drafts
}

func subject(dr *draft) string { return "request/" + string(dr.request.Draft) }
