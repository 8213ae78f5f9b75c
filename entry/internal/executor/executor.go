// Package executor drives the reducers: it runs their effects on worker pools and submits the
// results as events.
package executor

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/answerlimiter"
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
	"fuchsiabridge.example/entry/internal/rerouter"
	"fuchsiabridge.example/entry/internal/retrier"
	"fuchsiabridge.example/entry/internal/stepsender"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// Workers and queued tasks of each pool. The pools are separate, so that one slow external
	// system does not delay calls to another.
	stepWorkers     = 512
	serviceWorkers  = 256
	platformWorkers = 16
	controlWorkers  = 64
	maxQueuedTasks  = 16_384
)

// Config holds the settings of an Executor.
type Config struct {
	Self heartbeater.Heartbeat
	// Targets opens connections to targets.
	Targets  httpcaller.Dialer
	Platform string
	// LogKeep is how long the platform's log keeps a record.
	LogKeep time.Duration
	// LogBatch is the maximum number of records in one append.
	LogBatch int
	// PeerTLS secures the connections between nodes. If nil, they are plain TCP.
	PeerTLS *tls.Config
	// Peers are addresses of nodes to ask until the VM list can be read.
	Peers []string
	// Answers bounds what the process holds of answers.
	Answers *answerlimiter.Limiter
	// Shards is the number of reducers that the drafts are distributed over.
	Shards int
	// DraftLimit is the maximum number of drafts that run on this node at a time.
	DraftLimit int
	Recovery   drafter.Recovery
	// HistoryBytes bounds the memory for the history of drafts, which is kept for recovery.
	HistoryBytes int
	// WeightRate is the number of layers per second that the weight store can serve.
	WeightRate int
}

// Executor runs one node's reducers and their effects.
type Executor struct {
	ctx      context.Context
	engine   *enginecaller.Caller
	platform *platformcaller.Caller
	rerouter *rerouter.Caller
	peers    *peercaller.Caller
	steps    *stepsender.Sender

	control *loop
	shards  []*loop

	stepPool       pond.Pool
	servicePool    pond.Pool
	platformPool   pond.Pool
	controlPool    pond.Pool
	checkpointPool pond.Pool

	nextCall atomic.Uint64
	// calls maps a call id to the channel of the call's answers.
	calls     sync.Map
	openCalls atomic.Int64

	settings       atomic.Pointer[configurer.Settings]
	targets        atomic.Pointer[[]watcher.Target]
	peerList       atomic.Pointer[[]heartbeater.Peer]
	self           heartbeater.Heartbeat
	offset         atomic.Int64
	leaving        atomic.Bool
	hasSeenTargets atomic.Bool
	explainer      *explainer
}

// NewExecutor returns an executor whose work stops when ctx ends.
func NewExecutor(ctx context.Context, cfg Config) *Executor {
	x := &Executor{
		ctx:            ctx,
		platform:       platformcaller.NewCaller(httpcaller.NewCaller(cfg.Answers), cfg.Platform),
		stepPool:       newPool(ctx, stepWorkers),
		servicePool:    newPool(ctx, serviceWorkers),
		platformPool:   newPool(ctx, platformWorkers),
		controlPool:    newPool(ctx, controlWorkers),
		checkpointPool: newPool(ctx, controlWorkers),
		self:           cfg.Self,
		explainer:      newExplainer(),
	}
	x.rerouter = x.newRerouter(cfg)
	x.engine = enginecaller.NewCaller(x.rerouter)
	x.peers = peercaller.NewCaller(x.peerHandlers(), cfg.PeerTLS, cfg.Answers)
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
		checkpointer.NewStore(),
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
	return pond.NewPool(workers, pond.WithContext(ctx), pond.WithQueueSize(maxQueuedTasks))
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

// Peers returns the caller, which also serves connections from peers.
func (x *Executor) Peers() *peercaller.Caller { return x.peers }

// Submit delivers an event to the shard of its draft or to the control reducer.
func (x *Executor) Submit(event messenger.Event) {
	counter.Events.Add(1)
	if draftEvent, ok := event.(drafter.DraftEvent); ok {
		x.shard(draftEvent.DraftKey()).submit(event)
		return
	}
	x.control.submit(event)
}

func (x *Executor) shard(id identifier.DraftID) *loop {
	return x.shards[xxhash.Sum64String(string(id))%uint64(len(x.shards))]
}

// Call opens a call: it submits the event made for the call's id. Answers, at most maxAnswers of
// them, arrive on the channel. The call must be closed.
func (x *Executor) Call(maxAnswers int, event func(identifier.CallID) messenger.Event) (identifier.CallID, <-chan any) {
	id := identifier.CallID(x.nextCall.Add(1))
	answers := make(chan any, maxAnswers)
	x.calls.Store(id, answers)
	x.openCalls.Add(1)
	x.Submit(event(id))
	return id, answers
}

// Close ends a call. Later answers to it are dropped.
func (x *Executor) Close(id identifier.CallID) {
	if _, ok := x.calls.LoadAndDelete(id); ok {
		x.openCalls.Add(-1)
	}
}

// Open returns the number of open calls, with those that are made for other nodes.
func (x *Executor) Open() int64 { return x.openCalls.Load() + int64(x.rerouter.Open()) }

// Settings returns the settings in force, or nil if none have been read yet.
func (x *Executor) Settings() *configurer.Settings { return x.settings.Load() }

// Offset returns the applied offset of the log.
func (x *Executor) Offset() identifier.Offset { return identifier.Offset(x.offset.Load()) }

// Ready reports whether the node has a configuration, knows the state of its targets and is not leaving.
func (x *Executor) Ready() bool {
	s := x.settings.Load()
	return s != nil && len(s.Accounts) > 0 && x.hasSeenTargets.Load() && !x.leaving.Load()
}

// Leave makes the node unready and announces to its peers that it is leaving.
func (x *Executor) Leave() {
	x.leaving.Store(true)
	x.Submit(heartbeater.LeavingStarted{})
}

// Status is the state of a node, its peers and its targets, as shown to operators.
type Status struct {
	Node    heartbeater.Heartbeat `json:"node"`
	Ready   bool                  `json:"ready"`
	Offset  identifier.Offset     `json:"offset"`
	Open    int64                 `json:"open_requests"`
	Peers   []heartbeater.Peer    `json:"peers"`
	Targets []TargetStatus        `json:"targets"`
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	ID         identifier.TargetID   `json:"id"`
	Role       string                `json:"role"`
	State      watcher.State         `json:"state"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Model      identifier.ModelID    `json:"model,omitempty"`
	Layers     identifier.LayerRange `json:"layers"`
	Queued     int                   `json:"queued"`
}

// Status returns the node's current state.
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
func (x *Executor) Explain(subject string) []Explanation { return x.explainer.eventsOf(subject) }

// broadcast submits an event to every shard and stores the data that the server reads. It does not
// submit the event to the control reducer, which applies its own broadcasts itself.
func (x *Executor) broadcast(event messenger.Event) {
	switch ev := event.(type) {
	case tailer.SettingsChanged:
		x.settings.Store(ev.Settings)
	case watcher.TargetsChanged:
		x.targets.Store(&ev.Targets)
		x.markTargetsSeen(ev.Targets)
	case heartbeater.PeersChanged:
		x.peerList.Store(&ev.Peers)
	}
	for _, l := range x.shards {
		l.submit(event)
	}
}

// reply delivers an answer to an open call, whose channel has capacity for all its answers.
func (x *Executor) reply(r messenger.Reply) {
	answers, ok := x.calls.Load(r.Call)
	if !ok {
		return
	}
	select {
	case answers.(chan any) <- r.Answer:
	default:
		eventlogger.Info(eventlogger.CallFailed, "call", r.Call, "reason", "more answers than the call expects")
	}
}

func (x *Executor) log(l messenger.Log) {
	eventlogger.Info(l.Event, append([]any{"subject", l.Subject}, l.Values...)...)
	x.explainer.add(l, time.Now())
}
