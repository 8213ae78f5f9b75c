// Package enginefaker is the stand-in of a model engine that holds a range of
// layers: it batches steps, caches prompt prefixes, resumes and cancels drafts,
// exports and imports KV cache, and takes fenced orders. Every layer it runs goes to a ledger.
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
	// perStepShare is the share of a batch's time that each further step adds, in percent.
	perStepShare = 2
	// prefillShare is the share of a layer's time that one uncached prompt token takes, in
	// percent, and one more position of a draft that is in the batch already.
	prefillShare = 5
	// transferShare is the share of a layer's time that the export or import of its KV cache
	// takes for one position, in percent.
	transferShare = 1
	// resultsKept bounds the results of one draft that can be resumed.
	resultsKept = 64
	// draftsKept bounds the drafts whose state is kept.
	draftsKept = 4096

	exitCrashed = 3
)

// Config holds what the engine is.
type Config struct {
	ID           identifier.TargetID
	Model        identifier.ModelID
	Layers       identifier.LayerRange
	Accelerator  string
	LayerTime    time.Duration
	BatchLimit   int
	CacheBlocks  int
	IgnoreFence  bool
	ReportLag    time.Duration
	LoadPerLayer time.Duration
	Weights      string
	CrashMark    string
}

// Run is one line of the ledger: a range of layers that ran for one position.
type Run struct {
	Target identifier.TargetID `json:"target"`
	enginecaller.StepName
	Layers identifier.LayerRange `json:"layers"`
	Token  string                `json:"token,omitempty"`
	At     int64                 `json:"at_unix_ms"`
}

// Note is one line of the ledger: anything but a run.
type Note struct {
	Target identifier.TargetID      `json:"target"`
	Event  string                   `json:"event"`
	Draft  identifier.DraftID       `json:"draft,omitempty"`
	Fence  identifier.FencingNumber `json:"fence,omitempty"`
	Layers identifier.LayerRange    `json:"layers"`
	At     int64                    `json:"at_unix_ms"`
}

type draft struct {
	epoch     identifier.Epoch
	canceled  bool
	positions identifier.Position
	cache     layerhasher.Cache
	results   []enginecaller.StepResult
	used      time.Time
}

type pending struct {
	step enginecaller.Step
	done chan enginecaller.StepResult
}

// Engine is one stand-in engine.
type Engine struct {
	cfg    Config
	ledger *ledgerwriter.Ledger
	wake   chan struct{}

	mu         sync.Mutex
	model      identifier.ModelID
	layers     identifier.LayerRange
	generation identifier.Generation
	fence      identifier.FencingNumber
	role       string
	leaving    bool
	loading    bool
	slowdown   int
	drafts     map[identifier.DraftID]*draft
	queue      []pending
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
	go e.report(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		for batch := e.take(); len(batch) > 0; batch = e.take() {
			time.Sleep(e.batchTime(batch))
			e.runBatch(batch)
		}
	}
}

// report refreshes the load that is reported, so that it lags.
func (e *Engine) report(ctx context.Context) {
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
		Accelerator: e.cfg.Accelerator, LayerMicros: int(e.cfg.LayerTime.Microseconds()),
		BatchLimit: e.cfg.BatchLimit, Queued: len(e.queue) + e.running, Leaving: e.leaving,
		Role: e.role, Fence: e.fence,
	}
}

// enqueue puts steps in the queue and returns where each result will arrive.
func (e *Engine) enqueue(steps []enginecaller.Step) []pending {
	batch := make([]pending, 0, len(steps))
	e.mu.Lock()
	for _, s := range steps {
		p := pending{step: s, done: make(chan enginecaller.StepResult, 1)}
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

// take removes the next batch from the queue, higher priority first.
func (e *Engine) take() []pending {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].step.Priority > e.queue[j].step.Priority })
	n := min(len(e.queue), e.cfg.BatchLimit)
	batch := append([]pending(nil), e.queue[:n]...)
	e.queue = append([]pending(nil), e.queue[n:]...)
	e.running = n
	return batch
}

func (e *Engine) batchTime(batch []pending) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	percent := 100
	seen := map[identifier.DraftID]bool{}
	for i, p := range batch {
		switch {
		case seen[p.step.Draft]:
			percent += prefillShare
		case i > 0:
			percent += perStepShare
		}
		seen[p.step.Draft] = true
		cached := e.prefixes.hits(p.step.PrefixBlocks) * BlockTokens
		percent += prefillShare * max(0, p.step.PromptTokens-cached)
	}
	full := time.Duration(e.layers.Len()) * e.cfg.LayerTime * time.Duration(e.slowdown)
	return full * time.Duration(percent) / 100
}

func (e *Engine) runBatch(batch []pending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var lines []any
	for _, p := range batch {
		result, line := e.runStep(p.step)
		if line != nil {
			lines = append(lines, *line)
		}
		p.done <- result
	}
	if err := e.ledger.Write(lines...); err != nil {
		klog.Fatal(err)
	}
	e.running = 0
}

func (e *Engine) runStep(s enginecaller.Step) (enginecaller.StepResult, *Run) {
	refuse := func(code enginecaller.StepCode, have identifier.Position) (enginecaller.StepResult, *Run) {
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
	d.used = time.Now()
	if r, ok := d.result(s.StepName); ok {
		return r, nil
	}
	if s.Resume || s.Position != d.positions {
		return refuse(enginecaller.StepKVMissing, d.positions)
	}
	if e.cfg.CrashMark != "" && s.Position == 0 && strings.Contains(string(s.Input), e.cfg.CrashMark) {
		os.Exit(exitCrashed)
	}
	return e.compute(d, s)
}

// supersede moves the draft to a step's higher epoch. A step at position 0 starts the
// draft afresh; any other goes on from the cache, with the results still to be resumed.
func (d *draft) supersede(s enginecaller.Step) {
	if s.Epoch <= d.epoch {
		return
	}
	if s.Position == 0 || d.canceled {
		*d = draft{cache: layerhasher.Cache{}}
	}
	d.epoch = s.Epoch
}

// result returns what the draft's step computed before, under this epoch or an older one.
func (d *draft) result(name enginecaller.StepName) (enginecaller.StepResult, bool) {
	for _, r := range d.results {
		if r.Position == name.Position && r.Stage == name.Stage {
			r.StepName = name
			return r, true
		}
	}
	return enginecaller.StepResult{}, false
}

func (e *Engine) compute(d *draft, s enginecaller.Step) (enginecaller.StepResult, *Run) {
	r := enginecaller.StepResult{StepName: s.StepName, Code: enginecaller.StepOK}
	r.Output = layerhasher.Run(d.cache, s.Layers, s.Input)
	if s.Last {
		r.Token = layerhasher.Token(r.Output)
	}
	d.positions++
	d.results = append(d.results, r)
	if len(d.results) > resultsKept {
		d.results = d.results[1:]
	}
	e.prefixes.add(s.PrefixBlocks)
	return r, &Run{Target: e.cfg.ID, StepName: s.StepName, Layers: s.Layers, Token: r.Token, At: time.Now().UnixMilli()}
}

func (e *Engine) draft(id identifier.DraftID) *draft {
	d, ok := e.drafts[id]
	if ok {
		return d
	}
	if len(e.drafts) >= draftsKept {
		e.dropOldest()
	}
	d = &draft{cache: layerhasher.Cache{}}
	e.drafts[id] = d
	return d
}

func (e *Engine) dropOldest() {
	var oldest identifier.DraftID
	for id, d := range e.drafts {
		if o, ok := e.drafts[oldest]; !ok || d.used.Before(o.used) {
			oldest = id
		}
	}
	delete(e.drafts, oldest)
}

func (e *Engine) cancel(id identifier.DraftID, epoch identifier.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.draft(id)
	if epoch >= d.epoch {
		*d = draft{epoch: epoch, canceled: true, cache: layerhasher.Cache{}, used: time.Now()}
	}
}
