// Package enginefaker implements a stand-in for a model engine that serves a range of layers. It batches
// steps, caches prompt prefixes, resumes and cancels drafts (chat completions in progress), exports and
// imports KV caches, and accepts fenced orders. It records every layer that it runs in a ledger.
package enginefaker

import (
	"context"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/fbstandin/internal/ledgerwriter"
)

const (
	// perStepPercent is by how many percent of its base duration each further step prolongs a batch.
	perStepPercent = 2
	// prefillPercent is by how many percent of its base duration a batch is prolonged by one uncached prompt
	// token, and by one more position of a draft that is already in the batch.
	prefillPercent = 5
	// transferPercent is how long the export or import of one layer's KV cache takes for one position, in
	// percent of the layer's compute time.
	transferPercent = 1
	// maxResultsPerDraft is how many of a draft's latest results are kept, so that they can be resumed.
	maxResultsPerDraft = 64
	// maxDrafts is the maximum number of drafts whose state is kept.
	maxDrafts = 4096

	// exitCodeCrash is the exit code after a prompt that contains the crash mark.
	exitCodeCrash = 3
)

// Config holds the properties of the engine.
type Config struct {
	ID            identifier.TargetID
	Model         identifier.ModelID
	Layers        identifier.LayerRange
	Accelerator   string
	LayerDuration time.Duration
	BatchLimit    int
	CacheBlocks   int
	IgnoreFence   bool
	ReportLag     time.Duration
	LoadPerLayer  time.Duration
	Weights       string
	CrashMark     string
}

// LayerRun is a line of the ledger that records the run of a layer range for one position.
type LayerRun struct {
	Target identifier.TargetID `json:"target"`
	enginecaller.StepName
	Layers identifier.LayerRange `json:"layers"`
	Token  string                `json:"token,omitempty"`
	At     int64                 `json:"at_unix_ms"`
}

// LedgerEvent is a line of the ledger that records anything but a run.
type LedgerEvent struct {
	Target identifier.TargetID     `json:"target"`
	Event  string                  `json:"event"`
	Draft  identifier.DraftID      `json:"draft,omitempty"`
	Fence  identifier.FencingToken `json:"fence,omitempty"`
	Layers identifier.LayerRange   `json:"layers"`
	At     int64                   `json:"at_unix_ms"`
}

type draft struct {
	epoch     identifier.Epoch
	canceled  bool
	positions identifier.Position
	cache     layerhasher.Cache
	results   []enginecaller.StepResult
	lastUsed  time.Time
}

type queuedStep struct {
	step enginecaller.Step
	done chan enginecaller.StepResult
}

// Engine is a stand-in engine.
type Engine struct {
	cfg    Config
	ledger *ledgerwriter.Ledger
	wake   chan struct{}

	mu         sync.Mutex
	model      identifier.ModelID
	layers     identifier.LayerRange
	generation identifier.Generation
	fence      identifier.FencingToken
	role       string
	leaving    bool
	loading    bool
	slowdown   int
	drafts     map[identifier.DraftID]*draft
	queue      []queuedStep
	running    int
	prefixes   *prefixCache
	reported   enginecaller.Status
}

// NewEngine returns an engine with the configured layers loaded.
func NewEngine(cfg Config, ledger *ledgerwriter.Ledger) *Engine {
	e := &Engine{
		cfg:        cfg,
		ledger:     ledger,
		wake:       make(chan struct{}, 1),
		model:      cfg.Model,
		layers:     cfg.Layers,
		generation: identifier.Generation(time.Now().UnixNano()),
		role:       "both",
		slowdown:   1,
		drafts:     map[identifier.DraftID]*draft{},
		prefixes:   newPrefixCache(cfg.CacheBlocks),
	}
	e.reported = e.status()
	return e
}

// Run runs batches until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	go e.refreshReport(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		for batch := e.takeBatch(); len(batch) > 0; batch = e.takeBatch() {
			time.Sleep(e.batchTime(batch))
			e.runBatch(batch)
		}
	}
}

// refreshReport periodically updates the reported load, so that it lags behind the actual load.
func (e *Engine) refreshReport(ctx context.Context) {
	tick := time.NewTicker(max(e.cfg.ReportLag, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.mu.Lock()
			e.reported = e.status()
			e.mu.Unlock()
		}
	}
}

func (e *Engine) status() enginecaller.Status {
	return enginecaller.Status{
		Target: e.cfg.ID, Model: e.model, Layers: e.layers, Generation: e.generation,
		Accelerator: e.cfg.Accelerator, LayerMicros: int(e.cfg.LayerDuration.Microseconds()),
		BatchLimit: e.cfg.BatchLimit, Queued: len(e.queue) + e.running, Leaving: e.leaving,
		Role: e.role, Fence: e.fence,
	}
}

// enqueue appends steps to the queue and returns them with the channels on which their results arrive.
func (e *Engine) enqueue(steps []enginecaller.Step) []queuedStep {
	batch := make([]queuedStep, 0, len(steps))
	e.mu.Lock()
	for _, s := range steps {
		p := queuedStep{step: s, done: make(chan enginecaller.StepResult, 1)}
		batch = append(batch, p)
		e.queue = append(e.queue, p)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return batch
}

// takeBatch removes the next batch from the queue. Steps of a higher priority come first.
func (e *Engine) takeBatch() []queuedStep {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].step.Priority > e.queue[j].step.Priority })
	n := min(len(e.queue), e.cfg.BatchLimit)
	batch := append([]queuedStep(nil), e.queue[:n]...)
	e.queue = append([]queuedStep(nil), e.queue[n:]...)
	e.running = n
	return batch
}

func (e *Engine) batchTime(batch []queuedStep) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	percent := 100
	isInBatch := map[identifier.DraftID]bool{}
	for i, p := range batch {
		switch {
		case isInBatch[p.step.Draft]:
			percent += prefillPercent
		case i > 0:
			percent += perStepPercent
		}
		isInBatch[p.step.Draft] = true
		cached := e.prefixes.hits(p.step.PrefixBlocks) * BlockTokens
		percent += prefillPercent * max(0, p.step.PromptTokens-cached)
	}
	base := time.Duration(e.layers.Len()) * e.cfg.LayerDuration * time.Duration(e.slowdown)
	return base * time.Duration(percent) / 100
}

// runBatch runs the steps of a batch. Their results are sent once the ledger holds them, so that it is complete when a
// caller has its answer.
func (e *Engine) runBatch(batch []queuedStep) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var lines []any
	results := make([]enginecaller.StepResult, 0, len(batch))
	for _, p := range batch {
		result, line := e.runStep(p.step)
		if line != nil {
			lines = append(lines, *line)
		}
		results = append(results, result)
	}
	if err := e.ledger.Write(lines...); err != nil {
		klog.Fatal(err)
	}
	for i, p := range batch {
		p.done <- results[i]
	}
	e.running = 0
}

func (e *Engine) runStep(s enginecaller.Step) (enginecaller.StepResult, *LayerRun) {
	refuse := func(code enginecaller.StepCode, have identifier.Position) (enginecaller.StepResult, *LayerRun) {
		return enginecaller.StepResult{StepName: s.StepName, Code: code, Have: have}, nil
	}
	if s.Generation != e.generation || !e.layers.Contains(s.Layers) {
		return refuse(enginecaller.StepReloaded, 0)
	}
	d := e.draft(s.Draft)
	if s.Epoch < d.epoch || (s.Epoch == d.epoch && d.canceled) {
		return enginecaller.StepResult{StepName: s.StepName, Code: enginecaller.StepSuperseded, Seen: d.epoch}, nil
	}
	d.supersede(s)
	d.lastUsed = time.Now()
	if r, ok := d.result(s.StepName); ok {
		return r, nil
	}
	if s.Resume || s.Position != d.positions {
		return refuse(enginecaller.StepKVMissing, d.positions)
	}
	if e.cfg.CrashMark != "" && s.Position == 0 && strings.Contains(string(s.Input), e.cfg.CrashMark) {
		os.Exit(exitCodeCrash)
	}
	return e.compute(d, s)
}

// supersede moves the draft to the step's epoch if that is higher. A step at position 0, and any step of a
// canceled draft, resets the draft; any other continues with the existing KV cache, and earlier results can
// still be resumed.
func (d *draft) supersede(s enginecaller.Step) {
	if s.Epoch <= d.epoch {
		return
	}
	if s.Position == 0 || d.canceled {
		*d = draft{cache: layerhasher.Cache{}}
	}
	d.epoch = s.Epoch
}

// result returns the stored result of a step, computed in this epoch or an older one.
func (d *draft) result(name enginecaller.StepName) (enginecaller.StepResult, bool) {
	for _, r := range d.results {
		if r.Position == name.Position && r.Stage == name.Stage {
			r.StepName = name
			return r, true
		}
	}
	return enginecaller.StepResult{}, false
}

func (e *Engine) compute(d *draft, s enginecaller.Step) (enginecaller.StepResult, *LayerRun) {
	r := enginecaller.StepResult{StepName: s.StepName, Code: enginecaller.StepOK}
	r.Output = layerhasher.Run(d.cache, s.Layers, s.Input)
	if s.Last {
		r.Token = layerhasher.Token(r.Output)
	}
	d.positions++
	d.results = append(d.results, r)
	if len(d.results) > maxResultsPerDraft {
		d.results = d.results[1:]
	}
	e.prefixes.add(s.PrefixBlocks)
	return r, &LayerRun{Target: e.cfg.ID, StepName: s.StepName, Layers: s.Layers, Token: r.Token, At: time.Now().UnixMilli()}
}

func (e *Engine) draft(id identifier.DraftID) *draft {
	d, ok := e.drafts[id]
	if ok {
		return d
	}
	if len(e.drafts) >= maxDrafts {
		e.evictLeastRecentlyUsedDraft()
	}
	d = &draft{cache: layerhasher.Cache{}}
	e.drafts[id] = d
	return d
}

func (e *Engine) evictLeastRecentlyUsedDraft() {
	var leastRecent identifier.DraftID
	for id, d := range e.drafts {
		if o, ok := e.drafts[leastRecent]; !ok || d.lastUsed.Before(o.lastUsed) {
			leastRecent = id
		}
	}
	delete(e.drafts, leastRecent)
}

func (e *Engine) cancel(id identifier.DraftID, epoch identifier.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.draft(id)
	if epoch >= d.epoch {
		*d = draft{epoch: epoch, canceled: true, cache: layerhasher.Cache{}, lastUsed: time.Now()}
	}
}
