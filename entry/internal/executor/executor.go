// Package executor is the shell around the reducers: it runs their effects on pools
// of workers and feeds what came of them back as events.
package executor

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/checkpointer"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/composer"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/gatekeeper"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/leaser"
	"fuchsiabridge.example/entry/internal/orderer"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/retrier"
	"fuchsiabridge.example/entry/internal/stepsender"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// Workers and waiting tasks of each pool, so that one slow outside system does not hold up another.
	stepWorkers     = 512
	serviceWorkers  = 256
	platformWorkers = 16
	controlWorkers  = 64
	waitingTasks    = 16_384
)

// Config holds what the executor is made of.
type Config struct {
	Self     heartbeater.Heartbeat
	Platform string
	// LogKeep is how long the platform's log keeps a record.
	LogKeep time.Duration
	// LogBatch bounds the records of one append.
	LogBatch int
	// PeerTLS is for connections between nodes; nil makes them plain TCP.
	PeerTLS *tls.Config
	// Peers are addresses of nodes to ask before the VM list can be read.
	Peers      []string
	Shards     int
	DraftLimit int
	Recovery   drafter.Recovery
	// HistoryBytes bounds what the node keeps of drafts for recovery.
	HistoryBytes int
	// WeightRate is the number of layers a second that the weight store gives out.
	WeightRate int
}

// Executor runs one node's reducers and their effects.
type Executor struct {
	ctx      context.Context
	engine   *enginecaller.Caller
	platform *platformcaller.Caller
	services *httpcaller.Caller
	peers    *peercaller.Caller
	steps    *stepsender.Sender

	control *loop
	shards  []*loop

	stepPool     pond.Pool
	servicePool  pond.Pool
	platformPool pond.Pool
	controlPool  pond.Pool
	askPool      pond.Pool

	nextCall atomic.Uint64
	calls    sync.Map
	open     atomic.Int64

	settings  atomic.Pointer[configurer.Settings]
	targets   atomic.Pointer[[]watcher.Target]
	peerList  atomic.Pointer[[]heartbeater.Peer]
	self      heartbeater.Heartbeat
	offset    atomic.Int64
	leaving   atomic.Bool
	primed    atomic.Bool
	explainer *explainer
}

// NewExecutor returns an executor whose work ends with ctx.
func NewExecutor(ctx context.Context, cfg Config) *Executor {
	http := httpcaller.NewCaller()
	x := &Executor{
		ctx:          ctx,
		engine:       enginecaller.NewCaller(http),
		platform:     platformcaller.NewCaller(http, cfg.Platform),
		services:     http,
		stepPool:     newPool(ctx, stepWorkers),
		servicePool:  newPool(ctx, serviceWorkers),
		platformPool: newPool(ctx, platformWorkers),
		controlPool:  newPool(ctx, controlWorkers),
		askPool:      newPool(ctx, controlWorkers),
		self:         cfg.Self,
		explainer:    newExplainer(),
	}
	x.peers = peercaller.NewCaller(x.peerHandlers(), cfg.PeerTLS)
	x.steps = stepsender.NewSender(ctx, x.engine, x.stepPool, x.Submit)
	owner := recorder.Owner{Node: cfg.Self.Node, Incarnation: cfg.Self.Incarnation}
	x.control = newLoop(composer.NewControl(
		committer.NewCommitter(committer.Config{BatchLimit: cfg.LogBatch}),
		tailer.NewTailer(tailer.Config{Node: cfg.Self.Node, LogKeep: cfg.LogKeep, Seeds: cfg.Peers}),
		watcher.NewWatcher(watcher.Observer{Node: cfg.Self.Node, DataCentre: cfg.Self.DataCentre}, cfg.Self.Incarnation),
		heartbeater.NewHeartbeater(cfg.Self, cfg.Peers...),
		leaser.NewLeaser(cfg.Self.Node, cfg.Self.Incarnation),
		orderer.NewOrderer(cfg.Self.Node, cfg.Self.Incarnation, cfg.WeightRate),
		recorder.NewRecorder(owner, recorder.ConfigFor(cfg.LogKeep)),
		retrier.NewRetrier(),
		isolator.NewIsolator(),
		gatekeeper.NewGatekeeper(),
		admitter.NewAdmitter(cfg.DraftLimit),
		checkpointer.NewKeeper(),
	), x.run)
	drafts := drafter.Config{
		Self: cfg.Self, Recovery: cfg.Recovery, Shards: cfg.Shards, HistoryBytes: cfg.HistoryBytes / cfg.Shards,
	}
	for range cfg.Shards {
		x.shards = append(x.shards, newLoop(composer.NewShard(drafter.NewDrafter(drafts)), x.run))
	}
	return x
}

func newPool(ctx context.Context, workers int) pond.Pool {
	return pond.NewPool(workers, pond.WithContext(ctx), pond.WithQueueSize(waitingTasks))
}

// Run runs the reducers until the executor's context ends.
func (x *Executor) Run() {
	var wg sync.WaitGroup
	for _, l := range append([]*loop{x.control}, x.shards...) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.serve(x.ctx)
		}()
	}
	wg.Wait()
}

// Peers returns the caller that serves the peers' connections.
func (x *Executor) Peers() *peercaller.Caller { return x.peers }

// Submit hands an event to the reducer it belongs to.
func (x *Executor) Submit(event messenger.Event) {
	counter.Events.Add(1)
	if keyed, ok := event.(drafter.Keyed); ok {
		x.shard(keyed.DraftKey()).submit(event)
		return
	}
	x.control.submit(event)
}

func (x *Executor) shard(id identifier.DraftID) *loop {
	return x.shards[xxhash.Sum64String(string(id))%uint64(len(x.shards))]
}

// Call opens a call: event makes its event, and answers to it arrive on the channel,
// at most room of them. The call must be closed.
func (x *Executor) Call(room int, event func(identifier.CallID) messenger.Event) (identifier.CallID, <-chan any) {
	id := identifier.CallID(x.nextCall.Add(1))
	answers := make(chan any, room)
	x.calls.Store(id, answers)
	x.open.Add(1)
	x.Submit(event(id))
	return id, answers
}

// Close ends a call; answers to it are dropped from then on.
func (x *Executor) Close(id identifier.CallID) {
	if _, ok := x.calls.LoadAndDelete(id); ok {
		x.open.Add(-1)
	}
}

// Open returns the number of open calls.
func (x *Executor) Open() int64 { return x.open.Load() }

// Settings returns the settings in force, or nil before any was read.
func (x *Executor) Settings() *configurer.Settings { return x.settings.Load() }

// Offset returns the applied offset of the log.
func (x *Executor) Offset() identifier.Offset { return identifier.Offset(x.offset.Load()) }

// Ready reports whether the node has a configuration, has seen its targets and is not leaving.
func (x *Executor) Ready() bool {
	s := x.settings.Load()
	return s != nil && len(s.Accounts) > 0 && x.primed.Load() && !x.leaving.Load()
}

// Leave makes the node unready and tells its peers.
func (x *Executor) Leave() {
	x.leaving.Store(true)
	x.Submit(heartbeater.LeavingStarted{})
}

// Status is what the node tells operators of itself, its peers and its targets.
type Status struct {
	Node    heartbeater.Heartbeat `json:"node"`
	Ready   bool                  `json:"ready"`
	Offset  identifier.Offset     `json:"offset"`
	Open    int64                 `json:"open_requests"`
	Peers   []heartbeater.Peer    `json:"peers"`
	Targets []TargetStatus        `json:"targets"`
}

// TargetStatus is one row of the targets.
type TargetStatus struct {
	ID         identifier.TargetID   `json:"id"`
	Role       string                `json:"role"`
	State      watcher.State         `json:"state"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Model      identifier.ModelID    `json:"model,omitempty"`
	Layers     identifier.LayerRange `json:"layers"`
	Queued     int                   `json:"queued"`
}

// Status returns the node's state as of now.
func (x *Executor) Status() Status {
	s := Status{Node: x.self, Ready: x.Ready(), Offset: x.Offset(), Open: x.Open(), Peers: []heartbeater.Peer{}, Targets: []TargetStatus{}}
	s.Node.Leaving = x.leaving.Load()
	if peers := x.peerList.Load(); peers != nil {
		s.Peers = *peers
	}
	if targets := x.targets.Load(); targets != nil {
		for _, t := range *targets {
			s.Targets = append(s.Targets, TargetStatus{t.ID, t.Role, t.State, t.DataCentre, t.Status.Model, t.Status.Layers, t.Status.Queued})
		}
	}
	return s
}

// Explain returns the numbered events about a subject, oldest first.
func (x *Executor) Explain(subject string) []Explanation { return x.explainer.about(subject) }

// broadcast hands an event to every shard, and keeps what the server reads.
func (x *Executor) broadcast(event messenger.Event) {
	switch ev := event.(type) {
	case tailer.SettingsChanged:
		x.settings.Store(ev.Settings)
	case watcher.TargetsChanged:
		x.targets.Store(&ev.Targets)
		x.prime(ev.Targets)
	case heartbeater.PeersChanged:
		x.peerList.Store(&ev.Peers)
	}
	for _, l := range x.shards {
		l.submit(event)
	}
}

// reply gives an answer to an open call; its channel has room for all.
func (x *Executor) reply(r messenger.Reply) {
	answers, ok := x.calls.Load(r.Call)
	if !ok {
		return
	}
	select {
	case answers.(chan any) <- r.Answer:
	default:
		eventlogger.Info(eventlogger.CallFailed, "call", r.Call, "reason", "more answers than the call has room for")
	}
}

func (x *Executor) log(l messenger.Log) {
	eventlogger.Info(l.Event, append([]any{"subject", l.Subject}, l.Values...)...)
	x.explainer.add(l, time.Now())
}
