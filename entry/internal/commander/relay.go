package commander

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
	"k8s.io/klog/v2"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/logwriter"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/callerguard"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/crashreporter"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/granter"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/loadpoller"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/publisher"
	"fuchsiabridge.example/entry/internal/receiver"
	"fuchsiabridge.example/entry/internal/rejectionreporter"
	"fuchsiabridge.example/entry/internal/relayer"
	"fuchsiabridge.example/entry/internal/server"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/entry/internal/tracer"
	"fuchsiabridge.example/platform/storecaller"
)

// relayCommand is the first argument of a relay node, whose targets forward requests along chains themselves.
const relayCommand = "relay"

const (
	maxSlack      = 1_000_000
	maxPartitions = 1000
	// slackShare is the share of the retry slack that is distributed; the rest is a margin for rounding.
	slackShare = 0.85
	// stopMargin is the part of the stop limit that is reserved for the steps after the last request.
	stopMargin        = 500 * time.Millisecond
	healthStopTimeout = time.Second
)

// RelayOptions returns the settings of a relay node.
func RelayOptions() []optionparser.Option {
	return []optionparser.Option{
		{Name: "node", Usage: "id of this node", Check: optionparser.IsPresent},
		{Name: "data-centre", Usage: "data centre of this node's VM", Check: optionparser.IsPresent},
		{Name: "listen", Usage: "address for callers, host:port", Check: optionparser.IsAddress},
		{Name: "health-listen", Usage: "address of the readiness check for the load balancer, host:port", Check: optionparser.IsAddress},
		{Name: "peer-listen", Usage: "address for other nodes, to share updates from the store, host:port; when empty, the node always reads the store itself", Check: optionparser.IsOptionalAddress},
		{Name: "delegate-listen", Usage: "address for requests that other nodes hand over because they do not reach the targets, host:port; when empty, the node takes none, and hands over none", Check: optionparser.IsOptionalAddress},
		{Name: "metrics-listen", Usage: "address of the metrics endpoint, host:port", Check: optionparser.IsAddress},
		{Name: "store", Usage: "address of the platform's store, host:port", Check: optionparser.IsAddress},
		{Name: "revocation-limit", Default: "5s", Usage: "maximum time for which a revoked key is still accepted; 0s lets a node keep using the configuration it last read", Check: optionparser.IsDuration},
		{Name: "change-limit", Default: "2s", Usage: "time within which an accepted configuration must be in force; a node that has not heard from the store for as long answers 503 instead of 401 and 404; 0s for no limit", Check: optionparser.IsDuration},
		{Name: "retry-ratio", Default: "0.2", Usage: "retries as a share of requests, 0 to 1", Check: optionparser.IsAmount(0, 1)},
		{Name: "retry-slack", Default: "0", Usage: "retries that all nodes together may make per window in addition to the ratio, 0 to 1000000", Check: optionparser.IsAmount(0, maxSlack)},
		{Name: "store-parts", Default: "12", Usage: "partitions of a topic of the store, 1 to 1000; the retry slack is divided among them; a fraction is rounded down", Check: optionparser.IsAmount(1, maxPartitions), IsRoundedDown: true},
		{Name: "retry-window", Default: "10s", Usage: "window over which the retry ratio is enforced", Check: optionparser.IsDuration},
		{Name: "heartbeat", Default: "1200ms", Usage: "interval at which a target reports to the store that it is alive", Check: optionparser.IsDuration},
		{Name: "load-interval", Default: "0s", Usage: "interval at which, in fleets of more than 16 nodes, load reports of the first targets of chains are requested, by which chains are chosen; 0s requests none, chains are chosen by what each node sees itself, and nodes do not tell each other of targets that reject requests", Check: optionparser.IsDuration},
		callerMemory,
		answerMemory,
		callerConnections,
		{Name: "balancer-lag", Default: "2600ms", Usage: "how long a stopping node still accepts requests, so that the load balancer can detect that it is unready", Check: optionparser.IsDuration},
		{Name: "stop-limit", Default: "8s", Usage: "maximum time a stopping node waits for requests in progress", Check: optionparser.IsDuration},
		{Name: "trace-endpoint", Usage: "OTLP over HTTP endpoint for spans, host:port; disabled when empty"},
		{Name: "check", Default: "false", Usage: "validate the settings and exit", Check: optionparser.IsBool},
	}
}

// logToStandardOutput redirects the log to a bounded writer that never blocks. The returned function
// writes the lines that are still buffered.
func logToStandardOutput() func() {
	ctx, cancel := context.WithCancel(context.Background())
	w := logwriter.NewWriter(os.Stdout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	klog.LogToStderr(false)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// Each line is written once, and only to standard output.
	for name, value := range map[string]string{"one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			eventlogger.Error(err, eventlogger.InvalidSettings, "doing", "setting up the log", "flag", name)
		}
	}
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		cancel()
		<-done
	}
}

// relayNode is one relay node with its components.
type relayNode struct {
	values   optionparser.Values
	id       identifier.NodeID
	relayer  *relayer.Relayer
	receiver *receiver.Receiver
	// delegated serves the requests of other nodes.
	delegated  *receiver.Receiver
	joiner     *joiner.Joiner
	follower   *follower.Follower
	reporter   *crashreporter.Reporter
	granter    *granter.Granter
	peers      *peercaller.Caller
	loads      *loadpoller.Poller
	rejections *rejectionreporter.Reporter
	guard      *callerguard.Guard
	updates    *sharer.Sharer
}

// newRelayNode returns a node whose calls end with ctx.
func newRelayNode(ctx context.Context, values optionparser.Values, targets connector.Dialer) *relayNode {
	answers := newAnswerLimiter(values)
	http := httpcaller.NewCaller(answers)
	requests := meter.NewMeter()
	requests.Publish("requests")
	n := &relayNode{values: values, id: identifier.NodeID(values.Text("node")), guard: newGuard(values)}
	dc := identifier.DataCentre(values.Text("data-centre"))
	store := storecaller.NewCaller(http, values.Text("store"))
	self := storecaller.Member{Node: n.id, DataCentre: dc, Address: values.Text("peer-listen")}
	// A call that gets no answer in time closes its connection, so calls with different timeouts have connections of their own.
	newCaller := func() *peercaller.Caller { return peercaller.NewCaller(nil, nil, answers) }
	questions, offers, targetCalls, loadCalls, configurations := newCaller(), newCaller(), newCaller(), newCaller(), newCaller()
	hasPeers := values.Text("peer-listen") != "" && values.Text("delegate-listen") != ""
	var delegates relayer.Delegates
	if hasPeers {
		delegates = delegator.NewFinder(ctx, self, offers, store)
	}
	n.relayer = relayer.NewRelayer(ctx, relayer.Config{
		Meter: requests,
		Dispatch: dispatcher.Config{
			DataCentre:      dc,
			RevocationLimit: values.Duration("revocation-limit"),
			ChangeLimit:     values.Duration("change-limit"),
			RetryRatio:      values.Amount("retry-ratio"),
			RetryWindow:     values.Duration("retry-window"),
			HasPeers:        hasPeers,
			LoadInterval:    values.Duration("load-interval"),
		},
		ReportCrashes:    func(r sharer.CrashReport) { n.reporter.ReportCrashes(r) },
		ReportRejections: n.reportRejections,
		SavePoison:       func(c crashrecorder.Crash) { n.reporter.SavePoison(c) },
		Grant: func(ctx context.Context, r limiter.Report) granter.Answer {
			return n.granter.Grant(ctx, r)
		},
		ReportLimit: func(ctx context.Context, r limiter.Report) { n.granter.Report(ctx, r) },
		Heartbeat:   values.Duration("heartbeat"),
		Targets:     targets,
		Answers:     answers,

		Delegates: delegates, Peers: targetCalls, DelegateAddress: values.Text("delegate-listen"),
	})
	server.Publish("relay", func() any {
		status := n.relayer.Status()
		status.Node = n.id
		return status
	})
	n.receiver = receiver.NewReceiver(n.relayer)
	n.delegated = receiver.NewNodeReceiver(n.relayer.DelegatedHandler())
	updates := sharer.NewSharer()
	n.updates = updates
	published := publisher.NewPublisher()
	n.peers = peercaller.NewCaller(map[string]peercaller.Handler{
		sharer.WatchMethod: updates.ServeWatch, publisher.PieceMethod: published.ServePiece, publisher.WholeMethod: published.ServeWhole,
		sharer.CrashReportMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.reporter.ServeReportCrashes(ctx, params)
		},
		sharer.ClearMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.reporter.ServeClear(ctx, params)
		},
		rejectionreporter.RejectMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.rejections.Serve(ctx, params)
		},
		sharer.CrashesMethod:  updates.ServeCrashes,
		delegator.OfferMethod: n.relayer.ServeOffer, relayer.ReportMethod: n.relayer.ServeReport, relayer.OrderMethod: n.relayer.ServeOrder,
		loadpoller.LoadsMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.loads.ServeLoads(ctx, params)
		},
		granter.GrantMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.granter.ServeGrant(ctx, params)
		},
		granter.LimitsMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.granter.ServeLimits(ctx, params)
		},
	}, nil, answers)
	n.joiner = joiner.NewJoiner(store, joiner.Config{
		Self: self, StorePartitions: values.Number("store-parts"), RetrySlack: int(slackShare * values.Amount("retry-slack")),
	}, n.relayer.Submit)
	usesLoads := values.Duration("load-interval") > 0
	learnLoads := func(r []loadtracker.Report) {
		if usesLoads {
			n.relayer.Submit(dispatcher.LoadsLearned{Reports: r})
		}
	}
	n.loads = loadpoller.NewPoller(loadpoller.Config{
		Interval: values.Duration("load-interval"), Targets: n.relayer,
		Duty: n.loadDuty, Peers: loadCalls, Readers: n.readerAddresses,
		Record: func(r []loadtracker.Report) {
			updates.RecordLoads(r)
			learnLoads(r)
		},
	})
	n.follower = follower.NewFollower(store, n.peers, n.joiner, updates, follower.Config{
		Self:            self,
		Configurations:  configurations,
		Publisher:       published,
		LearnCrashes:    func(r sharer.CrashReport) { n.reporter.Learn(r) },
		LearnLimits:     func(r []limiter.Report) { n.granter.Learn(r) },
		LearnLoads:      learnLoads,
		LearnRejections: func(r []avoider.Rejection) { n.rejections.Learn(r) },
		Demand:          n.relayer.Demand,
		LearnShare:      n.learnShare,
	}, n.relayer.Submit)
	server.Publish("fb_configurations_sent", func() any { return published.Counts() })
	server.Publish("fb_configurations_received", func() any { return n.follower.Transfers() })
	n.reporter = crashreporter.NewReporter(crashreporter.Config{
		Self: values.Text("peer-listen"), Peers: n.peers, Readers: n.joiner, Store: store, Sharer: updates, Submit: n.relayer.Submit,
	})
	n.rejections = rejectionreporter.NewReporter(rejectionreporter.Config{
		Peers: n.peers, Readers: n.joiner, Recorder: updates, Submit: n.relayer.Submit,
		IsOn: usesLoads && values.Text("peer-listen") != "",
	})
	n.granter = granter.NewGranter(granter.Config{
		Self: values.Text("peer-listen"), Partitions: values.Number("store-parts"), Peers: questions, Holders: n.joiner, Recorder: updates, Submit: n.relayer.Submit,
	})
	return n
}

// loadDuty returns whether this node requests load reports: the holder of the lease does for all nodes, other readers while they get none.
// In a small fleet nobody does: each node has enough requests of its own at each chain to know its load.
func (n *relayNode) loadDuty() loadpoller.Duty {
	switch {
	case n.values.Text("peer-listen") == "":
		return loadpoller.FullDuty
	case !n.joiner.KnowsLargeFleet():
		return loadpoller.NoDuty
	case n.joiner.HoldsLease():
		return loadpoller.FullDuty
	case n.joiner.IsReader():
		return loadpoller.ReaderDuty
	}
	return loadpoller.NoDuty
}

// reportRejections tells the other nodes of a large fleet of targets that reject requests. In a small one each node soon learns it by itself.
func (n *relayNode) reportRejections(r []avoider.Rejection) {
	if n.joiner.KnowsLargeFleet() {
		n.rejections.Report(r)
	}
}

// readerAddresses returns the addresses of the other nodes that read the store, as far as they are known.
func (n *relayNode) readerAddresses(ctx context.Context) []string {
	readers, err := n.joiner.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up the peers that load reports are passed on to")
	}
	addresses := make([]string, 0, len(readers))
	for _, r := range readers {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// listen opens all listeners, serves all but the callers' one until ctx ends, and returns the callers' one.
func (n *relayNode) listen(ctx context.Context) (net.Listener, error) {
	callers, err := listen(ctx, n.values.Text("listen"), nil, n.guard, relayCallers)
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	if err := serveHealth(ctx, n.values, n.relayer, n.guard); err != nil {
		return nil, err
	}
	if address := n.values.Text("delegate-listen"); address != "" {
		l, err := listen(ctx, address, nil, n.guard, delegates)
		if err != nil {
			return nil, errors.Wrap(err, "listening for requests of other nodes")
		}
		go n.delegated.Serve(ctx, l)
	}
	return callers, servePeers(ctx, n.values.Text("peer-listen"), n.peers, n.guard)
}

// open counts the requests in progress.
func (n *relayNode) open() int64 { return n.receiver.Open() + n.delegated.Open() }

// start starts the node's work, which ends with ctx. The returned function leaves the group of nodes and waits
// until that is done.
func (n *relayNode) start(ctx context.Context, callers net.Listener) (leaveGroup func()) {
	go n.follower.FollowConfiguration(ctx)
	go n.follower.FollowTargets(ctx)
	go n.reporter.LoadPoison(ctx)
	go n.reporter.KeepPoison(ctx)
	go n.granter.KeepHolders(ctx)
	go n.loads.Run(ctx)
	go n.divideCapacity(ctx)
	if n.values.Text("peer-listen") != "" {
		go n.follower.FollowPeers(ctx)
		go n.reporter.SendCrashReports(ctx)
		go n.reporter.SyncCrashes(ctx)
		go n.rejections.Run(ctx)
	}
	joined, stop := context.WithCancel(ctx)
	hasLeft := make(chan struct{})
	go func() {
		defer close(hasLeft)
		n.joiner.KeepLease(joined, n.follower.SetReader)
	}()
	go n.relayer.Run(ctx)
	go n.receiver.Serve(ctx, callers)
	return func() {
		stop()
		<-hasLeft
	}
}

// stop makes the node unready and leaves the group, accepts requests for the balancer lag, and then waits for
// requests in progress, at most until the stop limit.
func (n *relayNode) stop(callers net.Listener, leave func()) {
	limit := time.Now().Add(n.values.Duration("stop-limit") - stopMargin)
	lag := n.values.Duration("balancer-lag")
	eventlogger.Info(eventlogger.NodeStopping, "open_requests", n.open())
	n.relayer.Leave(lag)
	n.receiver.Leave()
	n.delegated.Leave()
	lagTimer := time.NewTimer(lag)
	defer lagTimer.Stop()
	leave()
	<-lagTimer.C
	n.receiver.CloseIdle()
	waitUntil(limit, func() bool { return n.open() == 0 })
	if err := callers.Close(); err != nil {
		eventlogger.Error(err, eventlogger.CallerConnectionFailed, "doing", "closing the listener")
	}
	eventlogger.Info(eventlogger.NodeStopped, "open_requests", n.open())
}

// relay runs a relay node whose connections to targets are opened by targets.
func relay(values optionparser.Values, targets connector.Dialer) error {
	defer logToStandardOutput()()
	// A SIGHUP that nobody waits for would end the process, so this comes before the node listens.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	flush, err := tracer.SetUp(ctx, values.Text("trace-endpoint"), values.Text("node"))
	if err != nil {
		return err
	}
	defer flushTraces(flush)
	n := newRelayNode(ctx, values, targets)
	callers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	leave := n.start(ctx, callers)
	go logReloadSignals(ctx, hangups)
	eventlogger.Info(eventlogger.NodeStarted, "node", n.id, "listen", values.Text("listen"), "store", values.Text("store"))
	<-signals.Done()
	n.stop(callers, leave)
	return nil
}

// flushTraces exports the remaining spans.
func flushTraces(flush func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := flush(ctx); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "exporting spans")
	}
}

// logReloadSignals logs each SIGHUP. The settings of this node only change with a restart.
func logReloadSignals(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			eventlogger.Info(eventlogger.SettingsChanged, "outcome", "current settings stay in force until the restart")
		}
	}
}

// servePeers serves other nodes until ctx ends, if an address is set.
func servePeers(ctx context.Context, address string, peers *peercaller.Caller, g *callerguard.Guard) error {
	if address == "" {
		return nil
	}
	l, err := listen(ctx, address, nil, g, peerCalls)
	if err != nil {
		return errors.Wrap(err, "listening for peers")
	}
	go peers.Serve(ctx, l)
	return nil
}

// serveHealth serves the readiness check and the metrics until ctx ends.
func serveHealth(ctx context.Context, values optionparser.Values, x *relayer.Relayer, g *callerguard.Guard) error {
	health := func(c *fasthttp.RequestCtx) {
		if !x.IsReady() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
	for name, handle := range map[string]fasthttp.RequestHandler{
		"health-listen": health, "metrics-listen": expvarhandler.ExpvarHandler,
	} {
		l, err := listen(ctx, values.Text(name), nil, g, operators)
		if err != nil {
			return errors.Wrapf(err, "listening for %s", name)
		}
		go serveAuxiliary(ctx, l, handle)
	}
	return nil
}

func serveAuxiliary(ctx context.Context, l net.Listener, handle fasthttp.RequestHandler) {
	s := &fasthttp.Server{
		Handler: handle, NoDefaultServerHeader: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Logger: eventlogger.Printer{Event: eventlogger.CallerConnectionFailed}, ConnState: endRequest,
	}
	if err := responder.Serve(ctx, s, l, healthStopTimeout); err != nil {
		eventlogger.Error(err, eventlogger.CallerConnectionFailed, "address", l.Addr().String())
	}
}
