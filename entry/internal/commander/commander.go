// Package commander implements the command line of an entry node: it parses the settings, runs the node, and
// stops it without cutting off requests.
package commander

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/executor"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/server"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2

	// readTimeout is how long a caller may take to send one request.
	readTimeout = 30 * time.Second
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 90 * time.Second

	// traceFlushTimeout is how long the export of the last spans may take.
	traceFlushTimeout = 2 * time.Second
)

// Run parses the command line, runs the node, and returns the exit code.
func Run(args []string) int {
	if isRelay(args) {
		return RunWith(args, connector.NewDialer())
	}
	return RunWith(args, &net.Dialer{})
}

// RunWith is Run for a node whose connections to targets are opened by targets.
func RunWith(args []string, targets connector.Dialer) int {
	if isRelay(args) {
		return run("entry "+relayCommand, RelayOptions(), args[1:], func(values optionparser.Values) error { return relay(values, targets) })
	}
	defer klog.Flush()
	return run("entry", Options(), args, func(values optionparser.Values) error { return serve(values, targets) })
}

// isRelay reports whether the command line asks for a node in relay mode.
func isRelay(args []string) bool { return len(args) > 0 && args[0] == relayCommand }

// run validates the settings and calls serve with them, unless only validation was requested.
func run(program string, options []optionparser.Option, args []string, serve func(optionparser.Values) error) int {
	values, _, err := optionparser.Parse(program, options, args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if values.Bool("check") {
		fmt.Println("settings are valid")
		for _, o := range options {
			fmt.Printf("%s = %s\n", o.Name, values.Text(o.Name))
		}
		return exitOK
	}
	if err := serve(values); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitError
	}
	return exitOK
}

func serve(values optionparser.Values, targets connector.Dialer) error {
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	guard := newGuard(values)
	listener, err := listenForCallers(ctx, values, guard)
	if err != nil {
		return err
	}
	peers, err := peerTLS(values)
	if err != nil {
		return err
	}
	peerListener, err := listen(ctx, values.Text("peer-listen"), peers, guard, peerCalls)
	if err != nil {
		return errors.Wrap(err, "listening for peers")
	}
	flush, err := tracer.SetUp(ctx, values.Text("trace-endpoint"), values.Text("node"))
	if err != nil {
		return err
	}
	x := executor.NewExecutor(ctx, executor.Config{
		Self: heartbeater.Heartbeat{
			Node:        identifier.NodeID(values.Text("node")),
			Incarnation: identifier.Incarnation(time.Now().UnixNano()),
			Address:     peerListener.Addr().String(),
			DataCentre:  identifier.DataCentre(values.Text("data-centre")),
		},
		Targets:    targets,
		Answers:    newAnswerLimiter(values),
		Platform:   values.Text("platform"),
		LogKeep:    values.Duration("log-keep"),
		PeerTLS:    peers,
		Peers:      splitList(values.Text("peers")),
		Shards:     values.Number("shards"),
		DraftLimit: values.Number("draft-limit"),

		Recovery:     drafter.Recovery(values.Text("recovery")),
		LogBatch:     values.Number("log-batch"),
		HistoryBytes: values.Number("history-megabytes") << 20,
		WeightRate:   values.Number("weight-layers-per-second"),
	})
	go x.Run()
	go x.Peers().Serve(ctx, peerListener)
	eventlogger.Info(eventlogger.NodeStarted, "node", values.Text("node"), "listen", listener.Addr().String())
	err = serveCallers(signals, values, x, listener)
	cancel()
	flushed, stopFlush := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer stopFlush()
	return errors.CombineErrors(err, flush(flushed))
}

// serveCallers serves until a signal, then stops without cutting off requests: the node becomes unready, accepts
// requests for the balancer lag, and waits for requests in progress.
func serveCallers(signals context.Context, values optionparser.Values, x *executor.Executor, l net.Listener) error {
	keys, err := parseKeys(values.Text("operator-keys"))
	if err != nil {
		return err
	}
	tracker := &requestTracker{}
	callers := server.NewServer(x, keys)
	s := &fasthttp.Server{
		Handler:               tracker.wrap(callers.Handle),
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                eventlogger.Printer{Event: eventlogger.CallerConnectionFailed},
		StreamRequestBody:     true,
		ErrorHandler:          server.HandleError,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ConnState:             endRequest,
	}
	stopped, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	go func() {
		<-signals.Done()
		eventlogger.Info(eventlogger.NodeStopping, "open_requests", x.Open())
		tracker.stop(x, callers.Close, values.Duration("balancer-lag"), time.Now().Add(values.Duration("stop-limit")))
		stopServing()
	}()
	err = responder.Serve(stopped, s, l, values.Duration("stop-limit"))
	eventlogger.Info(eventlogger.NodeStopped, "open_requests", x.Open())
	return err
}
