// Package commander implements the commands and flags of fbload.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/fbload/internal/demonstrator"
	"fuchsiabridge.example/fbload/internal/experimenter"
	"fuchsiabridge.example/fbload/internal/reporter"
	"fuchsiabridge.example/fbload/internal/scheduler"
)

const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2

	demoTimeout = 45 * time.Second
	// runGrace is how long a run may take beyond its warm-up and length.
	runGrace = 30 * time.Second
	// maxNumber is the highest value of numeric flags.
	maxNumber = 1_000_000_000
)

const usage = `usage: fbload demo|run|report [flags]

  demo     run the demonstration against a running fleet; exits 0 only if all checks pass
  run      run one experiment against a running fleet and append its results to a file
  report   write a table and plots of the runs in a file

"fbload COMMAND -h" lists the flags.
`

type command struct {
	options []optionparser.Option
	run     func(v optionparser.Values, out io.Writer) error
}

func commands() map[string]command {
	nodes := optionparser.Option{Name: "nodes", Usage: "the nodes, as comma-separated host:port", Check: optionparser.IsPresent}
	ledgers := optionparser.Option{Name: "ledgers", Usage: "directory of the stand-ins' ledgers", Check: optionparser.IsPresent}
	runs := optionparser.Option{Name: "runs", Default: "reports/runs.jsonl", Usage: "file with the results of runs"}
	return map[string]command{
		"demo": {run: demo, options: []optionparser.Option{
			nodes, ledgers,
			{Name: "key", Usage: "a client account's bearer key", Check: optionparser.IsPresent},
			{Name: "operator-key", Usage: "an operator's bearer key", Check: optionparser.IsPresent},
		}},
		"run": {run: run, options: []optionparser.Option{
			nodes, ledgers, runs,
			{Name: "experiment", Default: "run", Usage: "name of the experiment"},
			{Name: "label", Usage: "label that distinguishes this run from others of the experiment"},
			{Name: "choice", Default: "expected", Usage: "the policy in force, as shown in the table"},
			{Name: "mix", Default: "teranga", Usage: "deployment whose request classes are used", Check: optionparser.IsOneOf("teranga", "guild")},
			{Name: "platform", Usage: "the platform, host:port", Check: optionparser.IsAddress},
			{Name: "model", Default: "atlas", Usage: "model of the drafts"},
			{Name: "layers", Default: "24", Usage: "number of layers of the model", Check: optionparser.IsNumber(1, maxNumber)},
			{Name: "accounts", Usage: "client accounts' bearer keys and shares, as comma-separated key=share", Check: checkAccounts},
			{Name: "watched", Usage: "key of an account whose time to first token is also reported separately; empty for none"},
			{Name: "offered", Default: "1", Usage: "rate of drafts as a share of the bound", Check: checkOffered},
			{Name: "rate", Default: "0", Usage: "requests per second; 0 derives the rate from offered", Check: optionparser.IsNumber(0, maxNumber)},
			{Name: "seed", Default: "1", Usage: "seed of the arrivals", Check: optionparser.IsNumber(0, maxNumber)},
			{Name: "warm-up", Default: "4s", Usage: "time before the measurement starts", Check: optionparser.IsDuration},
			{Name: "length", Default: "8s", Usage: "duration of the measurement", Check: optionparser.IsDuration},
			{Name: "repeat", Default: "true", Usage: "whether callers retry when a response has a Retry-After header", Check: optionparser.IsBool},
			{Name: "fault-file", Usage: "file that holds, after the run, the time of an injected fault in Unix milliseconds; empty for none"},
			{Name: "fault-target", Usage: "engine that the fault stopped; empty if it was a node"},
		}},
		"report": {run: report, options: []optionparser.Option{
			runs,
			{Name: "folder", Default: "reports", Usage: "directory to write to"},
		}},
	}
}

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	values, _, err := optionparser.Parse("fbload "+args[0], cmd.options, args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := cmd.run(values, stdout); err != nil {
		fmt.Fprintln(stderr, "fbload "+args[0]+":", err)
		return exitError
	}
	return exitOK
}

func demo(v optionparser.Values, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	return demonstrator.Run(ctx, demonstrator.Config{
		Nodes: strings.Split(v.Text("nodes"), ","), Key: v.Text("key"),
		OperatorKey: v.Text("operator-key"), Ledgers: v.Text("ledgers"),
	}, out)
}

func run(v optionparser.Values, out io.Writer) error {
	accounts, err := scheduler.ParseAccounts(v.Text("accounts"))
	if err != nil {
		return err
	}
	offered, err := strconv.ParseFloat(v.Text("offered"), 64)
	if err != nil {
		return errors.Wrap(err, "parsing the offered share")
	}
	cfg := experimenter.Config{
		Experiment: v.Text("experiment"), Label: v.Text("label"), Choice: v.Text("choice"), MixName: v.Text("mix"),
		Nodes: strings.Split(v.Text("nodes"), ","), Platform: v.Text("platform"),
		Model: identifier.ModelID(v.Text("model")), Layers: identifier.Layer(v.Number("layers")),
		Accounts: accounts, Watched: v.Text("watched"), Offered: offered, Rate: v.Number("rate"), Seed: uint64(v.Number("seed")),
		WarmUp: v.Duration("warm-up"), Length: v.Duration("length"), Retry: v.Bool("repeat"), Ledgers: v.Text("ledgers"),
		FaultFile: v.Text("fault-file"), FaultTarget: v.Text("fault-target"),
	}
	ctx, cancel := context.WithTimeout(context.Background(), cfg.WarmUp+cfg.Length+runGrace)
	defer cancel()
	s, err := experimenter.Run(ctx, cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s %s %s: offered %.2f, %.3f of the bound (%.0f tokens/s), in time %.3f, first token p95 %.0f ms, between p95 %.0f ms, late %d, lost %d, doubled %d, refused %d, not run %d, refusal p95 %.0f ms, CPU %.0f%%\n",
		s.Experiment, s.Mix, s.Choice, s.Label, s.Offered, s.ShareOfBound, s.Bound, s.WeightedInTime, s.FirstToken.P95, s.BetweenTokens.P95,
		s.All.Late, s.All.Lost, s.All.Doubled, s.All.Refused, s.All.NotRun, s.Refusals.P95, 100*s.CPUShare)
	return reporter.Append(v.Text("runs"), s)
}

func report(v optionparser.Values, out io.Writer) error {
	runs, err := reporter.Read(v.Text("runs"))
	if err != nil {
		return err
	}
	reporter.Table(out, runs)
	return reporter.Write(v.Text("folder"), runs)
}

func checkAccounts(value string) error {
	_, err := scheduler.ParseAccounts(value)
	return err
}

func checkOffered(value string) error {
	if share, err := strconv.ParseFloat(value, 64); err != nil || share <= 0 {
		return errors.New("must be a number above 0")
	}
	return nil
}
