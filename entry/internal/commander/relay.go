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
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/follower"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/receiver"
	"fuchsiabridge.example/entry/internal/relayer"
	"fuchsiabridge.example/entry/internal/server"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/entry/internal/tracer"
	"fuchsiabridge.example/platform/storecaller"
)

// relayCommand is the first argument of a node whose targets lead requests along chains themselves.
const relayCommand = "relay"

const (
	maxSlack = 1_000_000
	maxParts = 1000
	// sharedSlack is the part of the retry slack that is given out; the rest covers what rounds up.
	sharedSlack = 0.85
	// stopMargin is left of the stop limit for what comes after the last request.
	stopMargin = 500 * time.Millisecond
	healthStop = time.Second
)

// RelayOptions returns the table of the settings of a relaying node.
func RelayOptions() []optionparser.Option {
	return []optionparser.Option{
		{Name: "node", Usage: "id of this node", Check: optionparser.IsPresent},
		{Name: "data-centre", Usage: "data centre of this node's VM", Check: optionparser.IsPresent},
		{Name: "listen", Usage: "address for callers, host:port", Check: optionparser.IsAddress},
		{Name: "health-listen", Usage: "address that tells the balancer whether the node is ready, host:port", Check: optionparser.IsAddress},
		{Name: "peer-listen", Usage: "address for other nodes, which share what they read from the store, host:port; none when empty: the node reads alone", Check: optionparser.IsOptionalAddress},
		{Name: "metrics-listen", Usage: "address of counters and histograms, host:port", Check: optionparser.IsAddress},
		{Name: "store", Usage: "address of the platform's store, host:port", Check: optionparser.IsAddress},
		{Name: "revocation-limit", Default: "5s", Usage: "time after which a key that was taken away must not be used; 0s when a node may go on with what it last read", Check: optionparser.IsDuration},
		{Name: "retry-ratio", Default: "0.2", Usage: "repeats as a share of requests, 0 to 1", Check: optionparser.IsShare},
		{Name: "retry-slack", Default: "0", Usage: "repeats that all nodes together may send in a window beyond the ratio, 0 to 1000000", Check: optionparser.IsNumber(0, maxSlack)},
		{Name: "store-parts", Default: "12", Usage: "parts of a topic of the store, 1 to 1000; they share out the retry slack", Check: optionparser.IsNumber(1, maxParts)},
		{Name: "retry-window", Default: "10s", Usage: "window over which the retry ratio holds", Check: optionparser.IsDuration},
		{Name: "heartbeat", Default: "1200ms", Usage: "how often a target tells the store that it is alive", Check: optionparser.IsDuration},
		{Name: "balancer-lag", Default: "2600ms", Usage: "time for which a stopping node still accepts requests, so that the balancer can see it is unready", Check: optionparser.IsDuration},
		{Name: "stop-limit", Default: "8s", Usage: "longest time a stopping node waits for requests in progress", Check: optionparser.IsDuration},
		{Name: "trace-endpoint", Usage: "OTLP over HTTP endpoint for spans, host:port; none when empty"},
		{Name: "check", Default: "false", Usage: "check the settings and stop", Check: optionparser.IsBool},
	}
}

// logToStandardOutput makes the log bounded and keeps it from blocking; the function
// that it returns writes what still waits.
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
	// Each line is written once, and to standard output alone.
	for name, value := range map[string]string{"one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			eventlogger.Error(err, eventlogger.SettingsWrong, "doing", "setting up the log", "flag", name)
		}
	}
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		cancel()
		<-done
	}
}

// relayNode is one relaying node with all that it is made of.
type relayNode struct {
	values   optionparser.Values
	id       identifier.NodeID
	relayer  *relayer.Relayer
	receiver *receiver.Receiver
	follower *follower.Follower
	peers    *peercaller.Caller
}

// newRelayNode returns a node whose calls end with ctx.
func newRelayNode(ctx context.Context, values optionparser.Values) *relayNode {
	http := httpcaller.NewCaller()
	requests := meter.NewMeter()
	requests.Publish("requests")
	n := &relayNode{values: values, id: identifier.NodeID(values.Text("node"))}
	dc := identifier.DataCentre(values.Text("data-centre"))
	n.relayer = relayer.NewRelayer(ctx, relayer.Config{
		Meter: requests,
		Dispatch: dispatcher.Config{
			DataCentre:      dc,
			RevocationLimit: values.Duration("revocation-limit"),
			RetryRatio:      values.Share("retry-ratio"),
			RetryWindow:     values.Duration("retry-window"),
		},
		ReportCrashes: func(crashes []accuser.Crash) { n.follower.ReportCrashes(crashes) },
		Heartbeat:     values.Duration("heartbeat"),
	}, http)
	server.Publish("relay", func() any {
		status := n.relayer.Status()
		status.Node = n.id
		return status
	})
	n.receiver = receiver.NewReceiver(n.relayer)
	updates := sharer.NewSharer()
	n.peers = peercaller.NewCaller(map[string]peercaller.Handler{
		sharer.WatchMethod: updates.ServeWatch, sharer.ConfigurationMethod: updates.ServeConfiguration,
		sharer.CrashReportMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			return n.follower.ServeReportCrashes(ctx, params)
		},
	}, nil)
	n.follower = follower.NewFollower(storecaller.NewCaller(http, values.Text("store")), n.peers, updates, follower.Config{
		Self:            storecaller.Member{Node: n.id, DataCentre: dc, Address: values.Text("peer-listen")},
		StorePartitions: values.Number("store-parts"),
		RetrySlack:      int(sharedSlack * float64(values.Number("retry-slack"))),
	}, n.relayer.Submit)
	return n
}

// listen opens all listeners, serves all but callers until ctx ends, and returns the callers' one.
func (n *relayNode) listen(ctx context.Context) (net.Listener, error) {
	callers, err := listen(ctx, n.values.Text("listen"), nil)
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	if err := serveHealth(ctx, n.values, n.relayer); err != nil {
		return nil, err
	}
	return callers, servePeers(ctx, n.values.Text("peer-listen"), n.peers)
}

// start starts the node's work until ctx ends; the function that it returns leaves the
// group of the nodes and waits until that is done.
func (n *relayNode) start(ctx context.Context, callers net.Listener) (leave func()) {
	go n.follower.FollowConfiguration(ctx)
	go n.follower.FollowTargets(ctx)
	if n.values.Text("peer-listen") != "" {
		go n.follower.FollowPeers(ctx)
		go n.follower.SendCrashReports(ctx)
	}
	joined, stop := context.WithCancel(ctx)
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.follower.KeepLease(joined)
	}()
	go n.relayer.Run(ctx)
	go n.receiver.Serve(ctx, callers)
	go logReloads(ctx)
	return func() {
		stop()
		<-left
	}
}

// stop finishes what is open, as long as the stop limit allows.
func (n *relayNode) stop(callers net.Listener, leave func()) {
	limit := time.Now().Add(n.values.Duration("stop-limit") - stopMargin)
	lag := n.values.Duration("balancer-lag")
	eventlogger.Info(eventlogger.NodeStopping, "open_requests", n.receiver.Open())
	n.relayer.Leave(lag)
	n.receiver.Leave()
	unnoticed := time.NewTimer(lag)
	defer unnoticed.Stop()
	leave()
	<-unnoticed.C
	n.receiver.CloseIdle()
	await(limit, func() bool { return n.receiver.Open() == 0 })
	if err := callers.Close(); err != nil {
		eventlogger.Error(err, eventlogger.CallerBroken, "doing", "closing the listener")
	}
	eventlogger.Info(eventlogger.NodeStopped, "open_requests", n.receiver.Open())
}

func relay(values optionparser.Values) error {
	defer logToStandardOutput()()
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	flush, err := tracer.SetUp(ctx, values.Text("trace-endpoint"), values.Text("node"))
	if err != nil {
		return err
	}
	defer flushTraces(flush)
	n := newRelayNode(ctx, values)
	callers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	leave := n.start(ctx, callers)
	eventlogger.Info(eventlogger.NodeStarted, "node", n.id, "listen", values.Text("listen"), "store", values.Text("store"))
	<-signals.Done()
	n.stop(callers, leave)
	return nil
}

// flushTraces sends the spans that are left.
func flushTraces(flush func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), traceGrace)
	defer cancel()
	if err := flush(ctx); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "sending spans")
	}
}

// logReloads notes each signal that the settings have changed; this node's own need a restart.
func logReloads(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			eventlogger.Info(eventlogger.SettingsRead, "outcome", "settings in force stay until the restart")
		}
	}
}

// servePeers answers other nodes until ctx ends, where an address is set.
func servePeers(ctx context.Context, address string, peers *peercaller.Caller) error {
	if address == "" {
		return nil
	}
	l, err := listen(ctx, address, nil)
	if err != nil {
		return errors.Wrap(err, "listening for peers")
	}
	go peers.Serve(ctx, l)
	return nil
}

// serveHealth serves readiness and metrics until ctx ends.
func serveHealth(ctx context.Context, values optionparser.Values, x *relayer.Relayer) error {
	health := func(c *fasthttp.RequestCtx) {
		if !x.IsReady() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
	for name, handle := range map[string]fasthttp.RequestHandler{
		"health-listen": health, "metrics-listen": expvarhandler.ExpvarHandler,
	} {
		l, err := listen(ctx, values.Text(name), nil)
		if err != nil {
			return errors.Wrapf(err, "listening for %s", name)
		}
		go serveSmall(ctx, l, handle)
	}
	return nil
}

func serveSmall(ctx context.Context, l net.Listener, handle fasthttp.RequestHandler) {
	s := &fasthttp.Server{
		Handler: handle, NoDefaultServerHeader: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Logger: eventlogger.Printer{Event: eventlogger.CallerBroken},
	}
	if err := responder.Serve(ctx, s, l, healthStop); err != nil {
		eventlogger.Error(err, eventlogger.CallerBroken, "address", l.Addr().String())
	}
}
