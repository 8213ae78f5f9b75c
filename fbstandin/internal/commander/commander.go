// Package commander is the command line of the stand-ins.
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

	stopGrace = 100 * time.Millisecond
	maxBody   = 64 << 20
	most      = 1_000_000
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
	ledger := optionparser.Option{Name: "ledger", Usage: "file to which what ran is appended; none when empty"}
	return map[string]command{
		"engine": {run: runEngine, options: []optionparser.Option{
			listen, id, ledger,
			{Name: "model", Default: "atlas", Usage: "model that is loaded"},
			{Name: "from", Default: "0", Usage: "first layer that is loaded", Check: optionparser.IsNumber(0, most)},
			{Name: "to", Default: "8", Usage: "layer after the last that is loaded; equal to from for none", Check: optionparser.IsNumber(0, most)},
			{Name: "accelerator", Default: "a", Usage: "kind of accelerator that is reported"},
			{Name: "layer-micros", Default: "200", Usage: "time of one layer for one batch, microseconds", Check: optionparser.IsNumber(0, most)},
			{Name: "batch-limit", Default: "32", Usage: "steps in one batch", Check: optionparser.IsNumber(1, most)},
			{Name: "cache-blocks", Default: "256", Usage: "prompt blocks in the prefix cache", Check: optionparser.IsNumber(0, most)},
			{Name: "fencing", Default: "enforce", Usage: "enforce refuses orders of an old fencing number, ignore takes them", Check: optionparser.IsOneOf("enforce", "ignore")},
			{Name: "report-lag", Default: "500ms", Usage: "age of the reported load and cache events", Check: optionparser.IsDuration},
			{Name: "load-per-layer", Default: "20ms", Usage: "time to load one layer when no weight store is set", Check: optionparser.IsDuration},
			{Name: "weights", Usage: "host:port of the weight store; none when empty"},
			{Name: "crash-mark", Default: "CRASH-ENGINE", Usage: "a prompt that holds this text ends the process"},
		}},
		"service": {run: runService, options: []optionparser.Option{
			listen, id, ledger,
			{Name: "delay", Default: "2ms", Usage: "time of one call", Check: optionparser.IsDuration},
		}},
		"platform": {run: runPlatform, options: []optionparser.Option{
			listen,
			{Name: "appends-per-second", Default: "400", Usage: "appends taken a second", Check: optionparser.IsNumber(1, most)},
			{Name: "keep", Default: "10m", Usage: "time for which log records are kept", Check: optionparser.IsDuration},
			{Name: "vm-lag", Default: "500ms", Usage: "age of the VM list", Check: optionparser.IsDuration},
			{Name: "weight-layers-per-second", Default: "100", Usage: "layers the weight store gives out a second", Check: optionparser.IsNumber(1, most)},
		}},
		"proxy": {run: runProxy, options: []optionparser.Option{
			listen,
			{Name: "control", Default: "127.0.0.1:0", Usage: "address on which faults are set, host:port", Check: optionparser.IsAddress},
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
		ID:           identifier.TargetID(v.Text("id")),
		Model:        identifier.ModelID(v.Text("model")),
		Layers:       identifier.LayerRange{From: identifier.Layer(v.Number("from")), To: identifier.Layer(v.Number("to"))},
		Accelerator:  v.Text("accelerator"),
		LayerTime:    time.Duration(v.Number("layer-micros")) * time.Microsecond,
		BatchLimit:   v.Number("batch-limit"),
		CacheBlocks:  v.Number("cache-blocks"),
		IgnoreFence:  v.Text("fencing") == "ignore",
		ReportLag:    v.Duration("report-lag"),
		LoadPerLayer: v.Duration("load-per-layer"),
		Weights:      v.Text("weights"),
		CrashMark:    v.Text("crash-mark"),
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
	s := &fasthttp.Server{Handler: handle, MaxRequestBodySize: maxBody, NoDefaultServerHeader: true}
	return responder.Serve(ctx, s, l, stopGrace)
}
