// Package commander implements the commands and flags of fbstandin.
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

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbstandin/internal/enginefaker"
	"fuchsiabridge.example/fbstandin/internal/ledgerwriter"
	"fuchsiabridge.example/fbstandin/internal/platformfaker"
	"fuchsiabridge.example/fbstandin/internal/proxier"
	"fuchsiabridge.example/fbstandin/internal/servicefaker"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2

	// stopGrace bounds the wait for open requests when a stand-in stops.
	stopGrace    = 100 * time.Millisecond
	maxBodyBytes = 64 << 20
	// maxNumber is the highest value of numeric flags.
	maxNumber = 1_000_000
)

const usage = `usage: fbstandin engine|service|platform|proxy [flags]
"fbstandin engine -h" lists the flags of the engine.
`

type command struct {
	options []optionparser.Option
	run     func(ctx context.Context, v optionparser.Values) error
}

func commands() map[string]command {
	listen := optionparser.Option{Name: "listen", Default: "127.0.0.1:0", Usage: "address to serve on, host:port", Check: optionparser.IsAddress}
	id := optionparser.Option{Name: "id", Usage: "id of this stand-in", Check: optionparser.IsPresent}
	ledger := optionparser.Option{Name: "ledger", Usage: "ledger file to which executions are appended; empty for none"}
	return map[string]command{
		"engine": {run: runEngine, options: []optionparser.Option{
			listen, id, ledger,
			{Name: "model", Default: "atlas", Usage: "model that the engine runs"},
			{Name: "from", Default: "0", Usage: "first loaded layer", Check: optionparser.IsNumber(0, maxNumber)},
			{Name: "to", Default: "8", Usage: "end of the loaded layer range, exclusive; equal to from for no layers", Check: optionparser.IsNumber(0, maxNumber)},
			{Name: "accelerator", Default: "a", Usage: "reported kind of accelerator"},
			{Name: "layer-micros", Default: "200", Usage: "compute time of one layer for one batch, in microseconds", Check: optionparser.IsNumber(0, maxNumber)},
			{Name: "batch-limit", Default: "32", Usage: "maximum number of steps in one batch", Check: optionparser.IsNumber(1, maxNumber)},
			{Name: "cache-blocks", Default: "256", Usage: "number of prompt blocks that the prefix cache holds", Check: optionparser.IsNumber(0, maxNumber)},
			{Name: "fencing", Default: "enforce", Usage: "enforce refuses orders with an outdated fencing token, ignore accepts them", Check: optionparser.IsOneOf("enforce", "ignore")},
			{Name: "report-lag", Default: "500ms", Usage: "interval at which the reported load is refreshed, and delay of cache events", Check: optionparser.IsDuration},
			{Name: "load-per-layer", Default: "20ms", Usage: "time to load one layer if no weight store is set", Check: optionparser.IsDuration},
			{Name: "weights", Usage: "host:port of the weight store; empty for none"},
			{Name: "crash-mark", Default: "CRASH-ENGINE", Usage: "a prompt that contains this text crashes the process"},
		}},
		"service": {run: runService, options: []optionparser.Option{
			listen, id, ledger,
			{Name: "delay", Default: "2ms", Usage: "duration of one call", Check: optionparser.IsDuration},
		}},
		"platform": {run: runPlatform, options: []optionparser.Option{
			listen,
			{Name: "appends-per-second", Default: "400", Usage: "maximum appends per second", Check: optionparser.IsNumber(1, maxNumber)},
			{Name: "keep", Default: "10m", Usage: "retention time of log records", Check: optionparser.IsDuration},
			{Name: "vm-lag", Default: "500ms", Usage: "age of the VM list", Check: optionparser.IsDuration},
			{Name: "weight-layers-per-second", Default: "100", Usage: "layers that the weight store serves per second", Check: optionparser.IsNumber(1, maxNumber)},
		}},
		"proxy": {run: runProxy, options: []optionparser.Option{
			listen,
			{Name: "control", Default: "127.0.0.1:0", Usage: "address of the API that sets faults, host:port", Check: optionparser.IsAddress},
			{Name: "target", Usage: "host:port to relay to", Check: optionparser.IsAddress},
		}},
	}
}

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	values, _, err := optionparser.Parse("fbstandin "+args[0], cmd.options, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.run(ctx, values); err != nil {
		fmt.Fprintln(os.Stderr, "fbstandin "+args[0]+":", err)
		return exitError
	}
	return exitOK
}

func runEngine(ctx context.Context, v optionparser.Values) error {
	ledger, err := ledgerwriter.Open(v.Text("ledger"))
	if err != nil {
		return err
	}
	e := enginefaker.NewEngine(enginefaker.Config{
		ID:            identifier.TargetID(v.Text("id")),
		Model:         identifier.ModelID(v.Text("model")),
		Layers:        identifier.LayerRange{From: identifier.Layer(v.Number("from")), To: identifier.Layer(v.Number("to"))},
		Accelerator:   v.Text("accelerator"),
		LayerDuration: time.Duration(v.Number("layer-micros")) * time.Microsecond,
		BatchLimit:    v.Number("batch-limit"),
		CacheBlocks:   v.Number("cache-blocks"),
		IgnoreFence:   v.Text("fencing") == "ignore",
		ReportLag:     v.Duration("report-lag"),
		LoadPerLayer:  v.Duration("load-per-layer"),
		Weights:       v.Text("weights"),
		CrashMark:     v.Text("crash-mark"),
	}, ledger)
	go e.Run(ctx)
	return serve(ctx, v.Text("listen"), e.Handle)
}

func runService(ctx context.Context, v optionparser.Values) error {
	ledger, err := ledgerwriter.Open(v.Text("ledger"))
	if err != nil {
		return err
	}
	return serve(ctx, v.Text("listen"), servicefaker.NewService(v.Text("id"), v.Duration("delay"), ledger).Handle)
}

func runPlatform(ctx context.Context, v optionparser.Values) error {
	p := platformfaker.NewPlatform(platformfaker.Config{
		AppendsPerSecond: v.Number("appends-per-second"),
		Keep:             v.Duration("keep"),
		VMLag:            v.Duration("vm-lag"),
		LayersPerSecond:  v.Number("weight-layers-per-second"),
	})
	return serve(ctx, v.Text("listen"), p.Handle)
}

func runProxy(ctx context.Context, v optionparser.Values) error {
	p := proxier.NewProxy(v.Text("target"))
	var listen net.ListenConfig
	l, err := listen.Listen(ctx, "tcp", v.Text("listen"))
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	go p.Relay(ctx, l)
	return serve(ctx, v.Text("control"), p.Handle)
}

func serve(ctx context.Context, address string, handle fasthttp.RequestHandler) error {
	var listen net.ListenConfig
	l, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	eventlogger.Info(eventlogger.StandInStarted, "address", l.Addr().String())
	s := &fasthttp.Server{Handler: handle, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true}
	return responder.Serve(ctx, s, l, stopGrace)
}
