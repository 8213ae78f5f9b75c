// Package relayer executes the decisions of a relay node's reducer: it runs the effects and submits
// their results as events. A relay node forwards requests to targets that forward them along chains themselves.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/composer"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/entry/internal/granter"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/targetcaller"
	"fuchsiabridge.example/platform/translator"
)

const (
	tickInterval  = 50 * time.Millisecond
	sweepInterval = time.Second
	orderTimeout  = time.Second
	probeTimeout  = 200 * time.Millisecond
	// checkTimeout is how long a target may take to answer a check, after which it counts as failed.
	checkTimeout = 400 * time.Millisecond
	// maxCheckDelay is how long a check may be put off because of the target's request limit.
	maxCheckDelay = 5 * time.Second
	// minGrantDelay is the shortest time between two requests for a grant of one call.
	minGrantDelay = 10 * time.Millisecond
	// reportLag is how long a target's report may lag behind the target's state.
	reportLag = 250 * time.Millisecond
	// maxReportBytes limits the answer of a target to a call of the node itself, such as a report.
	maxReportBytes = 256 << 10
	// orderWorkers limits the concurrent calls to targets that are not requests of callers.
	orderWorkers = 64
)

var errNoGrant = errors.New("the target's request limit allows no call, or it wants none for now")

// Config holds the dependencies and settings of a relayer.
type Config struct {
	Meter    *meter.Meter
	Dispatch dispatcher.Config
	// ReportCrashes tells other nodes about requests that crash targets.
	ReportCrashes func(sharer.CrashReport)
	// ReportRejections tells other nodes of targets that reject requests.
	ReportRejections func([]avoider.Rejection)
	// SavePoison stores a crash that has confirmed its request as poison.
	SavePoison func(crashrecorder.Crash)
	// Grant asks whether a request may be sent to a target that names a request limit.
	Grant func(context.Context, limiter.Report) granter.Answer
	// ReportLimit tells other nodes of a request limit.
	ReportLimit func(context.Context, limiter.Report)
	// Heartbeat is how often targets write to the store that they are alive.
	Heartbeat time.Duration
	// Targets opens connections to targets.
	Targets connector.Dialer
	// Answers bounds what the process holds of answers.
	Answers *answerlimiter.Limiter
	// Delegates finds other nodes, and Peers calls them; nil if there are none. DelegateAddress is where this node takes the
	// requests of other nodes, empty if it does not.
	Delegates       Delegates
	Peers           Peers
	DelegateAddress string
}

// Relayer serves requests as the reducer decides.
type Relayer struct {
	ctx           context.Context
	targets       *targetcaller.Caller
	translator    translator.Translator
	pools         forwarder.Pools
	idle          *forwarder.IdleTracker
	answers       *answerlimiter.Limiter
	meter         *meter.Meter
	reportCrashes func(sharer.CrashReport)
	savePoison    func(crashrecorder.Crash)
	grant         func(context.Context, limiter.Report) granter.Answer
	reportLimit   func(context.Context, limiter.Report)
	workers       pond.Pool
	nextCall      atomic.Uint64
	isLeaving     atomic.Bool
	limits        atomic.Pointer[describer.Limits]
	// hasRequestLimits reports whether any target names a request limit.
	hasRequestLimits atomic.Bool
	delegates        Delegates
	peers            Peers
	delegateAddress  string
	gate             delegator.Gate

	reportRejections func([]avoider.Rejection)

	mu       sync.Mutex
	reducer  *composer.Composer
	dispatch *dispatcher.Dispatcher
	placer   *placer.Placer
}

// NewRelayer returns a relayer whose background calls end with ctx.
func NewRelayer(ctx context.Context, cfg Config) *Relayer {
	d := dispatcher.NewDispatcher(cfg.Dispatch)
	p := placer.NewPlacer()
	return &Relayer{
		ctx: ctx, targets: targetcaller.NewCaller(httpcaller.NewCallerWith(httpcaller.Config{Answers: cfg.Answers, MaxBytes: maxReportBytes, Dialer: cfg.Targets})), pools: forwarder.Pools{Targets: connector.NewConnectorWith(cfg.Targets), Nodes: connector.NewConnector()}, idle: forwarder.NewIdleTracker(), answers: forwarder.NewLimiter(cfg.Answers), meter: cfg.Meter, reportCrashes: cfg.ReportCrashes, reportRejections: cfg.ReportRejections, savePoison: cfg.SavePoison,
		grant: cfg.Grant, reportLimit: cfg.ReportLimit,
		workers:   pond.NewPool(orderWorkers, pond.WithContext(ctx)),
		delegates: cfg.Delegates, peers: cfg.Peers, delegateAddress: cfg.DelegateAddress,
		dispatch: d, placer: p,
		reducer: composer.NewControl(registrar.NewRegistrar(cfg.Heartbeat), d, p),
	}
}

// Run submits ticks to the reducer until ctx ends.
func (x *Relayer) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		x.Submit(messenger.Tick{})
		if now := time.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			x.pools.Targets.Sweep(now)
			x.pools.Nodes.Sweep(now)
		}
	}
}

// Submit applies an event that is not part of a request.
func (x *Relayer) Submit(event messenger.Event) { x.apply(event) }

// apply applies an event, runs the effects that do not concern a request, and returns the others.
func (x *Relayer) apply(event messenger.Event) []messenger.Effect {
	x.mu.Lock()
	effects := x.reducer.Apply(bootclock.Now(), event)
	if _, ok := event.(dispatcher.ConfigurationRead); ok {
		limits := x.dispatch.Limits()
		x.limits.Store(&limits)
	}
	x.hasRequestLimits.Store(x.dispatch.HasRequestLimits())
	x.mu.Unlock()
	var rest []messenger.Effect
	for _, effect := range effects {
		switch e := effect.(type) {
		case messenger.Log:
			eventlogger.Info(e.Event, append([]any{"subject", e.Subject}, e.Values...)...)
		case dispatcher.RecordSample:
			x.meter.Add(e.Sample)
		case dispatcher.RecordMove:
			x.meter.AddMove(e.Move)
		case dispatcher.ReportCrashes:
			x.reportCrashes(sharer.CrashReport{Crashes: e.Crashes, Cleared: e.Cleared})
		case avoider.TellRejections:
			x.reportRejections(e.Rejections)
		case dispatcher.SavePoison:
			x.savePoison(e.Crash)
		case placer.SendOrder:
			x.start(func() { x.sendOrder(e) })
		case dispatcher.ProbeChain:
			x.start(func() { x.probeChain(e) })
		case dispatcher.CheckTarget:
			x.start(func() { x.checkTarget(e) })
		case dispatcher.CheckPath:
			x.start(func() { x.checkPath(e) })
		case dispatcher.DropDelegate:
			x.delegates.Drop(e.Service, e.Node)
		case dispatcher.ReportLimit:
			x.start(func() { x.reportLimit(x.ctx, e.Limit) })
		case placer.QueryState:
			x.start(func() { x.queryState(e) })
		default:
			rest = append(rest, effect)
		}
	}
	return rest
}

// start runs a call in the background. The pool rejects it only when the node stops.
func (x *Relayer) start(call func()) {
	if err := x.workers.Go(call); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "starting a background call")
	}
}

// answerRead submits what the head of an answer says about its target.
func (x *Relayer) answerRead(h forwarder.AnswerHead) {
	if h.Said.Limit.Kind != describer.NoLimit || x.hasRequestLimits.Load() {
		x.Submit(limiter.AnswerRead{Target: h.Target, Kind: h.Kind, Limit: h.Said.Limit, SentAt: h.SentAt})
	}
	if h.Said.IsLeaving {
		x.Submit(registrar.LeavingSaid{Target: h.Target, Answer: h.Kind.String(), SentAt: h.SentAt})
	}
	if h.Said.RetryAfter > 0 {
		x.Submit(dispatcher.QuietWanted{Target: h.Target, Until: bootclock.Now().Add(h.Said.RetryAfter), Answer: h.Kind.String()})
	}
	for _, field := range h.Said.Malformed {
		x.Submit(dispatcher.AnnouncementUnreadable{Target: h.Target, Field: field})
	}
}

func (x *Relayer) isQuiet(target identifier.TargetID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.IsQuiet(bootclock.Now(), target)
}

// requestLimit returns what is known of a target's request limit, and false if it names none.
func (x *Relayer) requestLimit(target identifier.TargetID) (limiter.Report, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.RequestLimit(bootclock.Now(), target)
}

// awaitGrant waits until a call to a target is within the target's request limit, and returns false if that takes too long.
func (x *Relayer) awaitGrant(ctx context.Context, target identifier.TargetID, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		known, isLimited := x.requestLimit(target)
		if !isLimited {
			return true
		}
		answer := x.grant(ctx, known)
		if answer.IsGranted {
			return true
		}
		sleeper.Sleep(ctx, max(minGrantDelay, answer.Until.Sub(bootclock.Now())))
	}
	return false
}

// patience is how long a call may wait for a grant, if the target's request limit makes one necessary, and then for
// the answer.
type patience struct {
	grant  time.Duration
	answer time.Duration
}

// Limits returns the limits that apply to callers.
func (x *Relayer) Limits() describer.Limits {
	if l := x.limits.Load(); l != nil {
		return *l
	}
	return describer.Limits{}
}

// Status returns the node's view of the system and the state of its work.
func (x *Relayer) Status() describer.RelayStatus {
	x.Submit(dispatcher.ChainsWanted{})
	x.mu.Lock()
	defer x.mu.Unlock()
	now := bootclock.Now()
	s := x.dispatch.Status(now)
	s.IsReady = s.IsReady && !x.isLeaving.Load()
	s.HoldsLease, s.Fence = x.placer.Lease(now)
	s.DelegatedOpen, _ = x.gate.Open()
	return s
}

// Leave makes the node unready. After the lag it rejects new requests.
func (x *Relayer) Leave(lag time.Duration) {
	x.isLeaving.Store(true)
	x.Submit(dispatcher.Stopping{RefuseAt: bootclock.Now().Add(lag)})
}

// IsReady reports whether the load balancer may send requests to this node. A leaving node is not ready, but
// accepts requests until the lag has passed.
func (x *Relayer) IsReady() bool {
	if x.isLeaving.Load() {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.IsReady(bootclock.Now())
}
