// Package commander implements the commands and flags of fbctl.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbctl/internal/completer"
	"fuchsiabridge.example/fbctl/internal/operatorcaller"
	"fuchsiabridge.example/fbctl/internal/printer"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitRejected = 3
	ExitUnknown  = 4
	ExitNotRun   = 5
)

const commandTimeout = 30 * time.Second

const usage = `usage: fbctl COMMAND [flags] [arguments]

  get [PATH]            print a team's subtree, or the values below PATH
  set PATH=VALUE …      change values; VALUE is JSON, or text; null deletes
  diff PATH=VALUE …     print what set would change
  apply FILE            change what FILE sets: JSON, or lines of PATH=VALUE; prints the
                        difference first; --dry-run stops there
  history               print the decisions on the team's changes
  status                print every node and target on one screen
  relays                print the state of relaying nodes: configuration, targets and chains;
                        --nodes lists their metrics addresses, no key is needed
  explain SUBJECT       print all nodes' events about SUBJECT: change/ID, request/ID,
                        target/ID, peer/ID or log
  begin                 let the first node of --nodes start from the state it has if the log
                        has trimmed records that it needs; read docs/OPERATIONS.md first
  completion            print the completion script: source <(fbctl completion)

Flags follow the command; fbctl COMMAND -h lists them. Each can be set by an environment
variable, such as FUCHSIABRIDGE_NODES or FUCHSIABRIDGE_TEAM. Set the key only by
FUCHSIABRIDGE_KEY: command lines are visible to other users.

Exit codes: 0 done, 1 error, 2 usage, 3 rejected, 4 unknown (repeat the command with the
same --change-id and --expected), 5 not run.

Examples:
  export FUCHSIABRIDGE_NODES=127.0.0.1:8080,127.0.0.1:8090 FUCHSIABRIDGE_TEAM=dakar
  fbctl set models/atlas/layers=24
  fbctl apply --dry-run team.conf
  fbctl set --change-id 5f0c --expected 7 classes/bulk/priority=1
  fbctl explain change/5f0c
  fbctl history --output json
`

type session struct {
	caller *operatorcaller.Caller
	values optionparser.Values
	args   []string
	out    *printer.Printer
	stderr io.Writer
}

type command func(ctx context.Context, s session) (int, error)

func commands() map[string]command {
	return map[string]command{
		"get": get, "set": set, "diff": diff, "apply": apply, "history": history,
		"status": status, "relays": relays, "explain": explain, "begin": begin,
	}
}

func options() []optionparser.Option {
	return []optionparser.Option{
		{Name: "nodes", Default: "127.0.0.1:8080", Usage: "nodes to call, as comma-separated host:port", Check: optionparser.IsPresent},
		{Name: "key", Usage: "the operator's bearer key; prefer the environment variable", Check: optionparser.IsPresent},
		{Name: "team", Usage: "team whose subtree to read or change"},
		{Name: "output", Default: "table", Usage: "table or json", Check: optionparser.IsOneOf("table", "json")},
		{Name: "change-id", Usage: "id of an earlier change to resubmit; empty generates a new id"},
		{Name: "expected", Default: "-1", Usage: "subtree revision that the change expects; -1 for the current one", Check: optionparser.IsNumber(-1, 1<<31)},
		{Name: "author", Usage: "author of the change, recorded in the history"},
		{Name: "dry-run", Default: "false", Usage: "only validate a change and print its differences", Check: optionparser.IsBool},
	}
}

// optionsOf returns the options of a command. The key is optional for relays.
func optionsOf(command string) []optionparser.Option {
	all := options()
	for i := range all {
		if command == "relays" && all[i].Name == "key" {
			all[i].Check = nil
		}
	}
	return all
}

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "--help":
		fmt.Fprint(stdout, usage)
		return ExitOK
	case "completion":
		fmt.Fprint(stdout, completion())
		return ExitOK
	}
	run, ok := commands()[args[0]]
	if !ok {
		fmt.Fprintf(stderr, "fbctl: unknown command: %q\n\n%s", args[0], usage)
		return ExitUsage
	}
	// Options are parsed as strings, so a boolean flag without a value gets one here.
	for i, arg := range args {
		if arg == "--dry-run" || arg == "-dry-run" {
			args[i] = "--dry-run=true"
		}
	}
	values, rest, err := optionparser.Parse("fbctl "+args[0], optionsOf(args[0]), args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	s := session{
		caller: operatorcaller.NewCaller(strings.Split(values.Text("nodes"), ","), values.Text("key")),
		values: values, args: rest, out: printer.NewPrinter(stdout, values.Text("output")), stderr: stderr,
	}
	code, err := run(ctx, s)
	if err != nil {
		fmt.Fprintln(stderr, "fbctl "+args[0]+":", err)
	}
	return code
}

func completion() string {
	names := append(slices.Collect(maps.Keys(commands())), "completion", "help")
	slices.Sort(names)
	var flags []string
	for _, o := range options() {
		flags = append(flags, "--"+o.Name)
	}
	return completer.Bash(names, flags)
}

// exitCode returns the exit code for an error. It distinguishes calls that were not run, that were refused,
// and whose outcome is unknown from other errors.
func exitCode(err error) int {
	if errors.Is(err, operatorcaller.ErrUnknown) {
		return ExitUnknown
	}
	if errors.Is(err, errNoTeam) {
		return ExitUsage
	}
	if errors.Is(err, httpcaller.ErrNotSent) {
		return ExitNotRun
	}
	refusal, _ := operatorcaller.RefusalOf(err)
	switch refusal.Outcome {
	case responder.Unknown:
		return ExitUnknown
	case responder.NotRun:
		return ExitNotRun
	case responder.Refused:
		return ExitRejected
	default:
		return ExitError
	}
}
