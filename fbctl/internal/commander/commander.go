// Package commander is the command line of fbctl.
package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/common/responder"
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

const (
	callTimeout   = 12 * time.Second
	changeIDBytes = 12
)

const usage = `usage: fbctl COMMAND [flags] [arguments]

  get [PATH]            print a team's subtree, or the values below PATH
  set PATH=VALUE …      change values; VALUE is JSON, or text; null deletes
  diff PATH=VALUE …     print what set would change
  history               print the verdicts on the team's changes
  status                print the fleet on one screen
  explain SUBJECT       print why request/ID, target/ID, change/ID or peer/ID went as it did

Exit codes: 0 done, 1 error, 2 usage, 3 rejected, 4 unknown (ask again with the same --change-id), 5 not run.
Example: fbctl set --nodes 127.0.0.1:8080 --key KEY --team dakar models/atlas/layers=24
`

type session struct {
	caller *operatorcaller.Caller
	values optionparser.Values
	args   []string
	out    *printer.Printer
}

type command func(ctx context.Context, s session) (int, error)

func commands() map[string]command {
	return map[string]command{
		"get": get, "set": set, "diff": diff, "history": history, "status": status, "explain": explain,
	}
}

func options() []optionparser.Option {
	return []optionparser.Option{
		{Name: "nodes", Default: "127.0.0.1:8080", Usage: "nodes to try in turn, host:port by comma", Check: optionparser.IsPresent},
		{Name: "key", Usage: "the operator's bearer key", Check: optionparser.IsPresent},
		{Name: "team", Usage: "team whose subtree is meant"},
		{Name: "output", Default: "table", Usage: "table or json", Check: optionparser.IsOneOf("table", "json")},
		{Name: "change-id", Usage: "id of the change; a new one when empty"},
		{Name: "expected", Default: "-1", Usage: "revision the change expects; -1 for the one in force", Check: optionparser.IsNumber(-1, 1<<31)},
		{Name: "author", Usage: "who publishes the change, for the history"},
	}
}

// Run runs the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	run, ok := commands()[args[0]]
	if !ok {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	values, rest, err := optionparser.Parse("fbctl "+args[0], options(), args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s := session{
		caller: operatorcaller.NewCaller(strings.Split(values.Text("nodes"), ","), values.Text("key")),
		values: values, args: rest, out: printer.NewPrinter(stdout, values.Text("output")),
	}
	code, err := run(ctx, s)
	if err != nil {
		fmt.Fprintln(stderr, "fbctl "+args[0]+":", err)
	}
	return code
}

func get(ctx context.Context, s session) (int, error) {
	sub, err := s.subtree(ctx)
	if err != nil {
		return exitOf(err), err
	}
	prefix := ""
	if len(s.args) > 0 {
		prefix = s.args[0]
	}
	rows := printer.Rows{Header: []string{"path", "value"}}
	for _, path := range sub.Paths() {
		if strings.HasPrefix(path, prefix) {
			rows.Add(path, string(sub.Values[path]))
		}
	}
	return ExitOK, s.out.Print(rows)
}

func history(ctx context.Context, s session) (int, error) {
	sub, err := s.subtree(ctx)
	if err != nil {
		return exitOf(err), err
	}
	rows := printer.Rows{Header: []string{"offset", "change", "accepted", "revision", "author", "reason"}}
	for _, v := range sub.History {
		rows.Add(fmt.Sprint(v.Offset), string(v.ID), fmt.Sprint(v.Accepted), fmt.Sprint(v.Revision), v.Author, v.Reason)
	}
	return ExitOK, s.out.Print(rows)
}

func diff(ctx context.Context, s session) (int, error) {
	change, sub, err := s.change(ctx)
	if err != nil {
		return exitOf(err), err
	}
	rows := printer.Rows{Header: []string{"path", "in force", "proposed"}}
	for path, value := range change.Set {
		if string(sub.Values[path]) != string(value) {
			rows.Add(path, string(sub.Values[path]), string(value))
		}
	}
	rows.Sort()
	return ExitOK, s.out.Print(rows)
}

func set(ctx context.Context, s session) (int, error) {
	change, _, err := s.change(ctx)
	if err != nil {
		return exitOf(err), err
	}
	if findings := configurer.Check(change); len(findings) > 0 {
		return ExitRejected, findings
	}
	verdict, err := s.caller.Change(ctx, change)
	if err != nil {
		return exitOf(err), errors.Wrapf(err, "change %s", change.ID)
	}
	rows := printer.Rows{Header: []string{"change", "accepted", "revision", "reason"}}
	rows.Add(string(verdict.ID), fmt.Sprint(verdict.Accepted), fmt.Sprint(verdict.Revision), verdict.Reason)
	code := ExitOK
	if !verdict.Accepted {
		code = ExitRejected
	}
	return code, s.out.Print(rows)
}

func status(ctx context.Context, s session) (int, error) {
	raw, err := s.caller.Status(ctx)
	if err != nil {
		return exitOf(err), err
	}
	return ExitOK, s.out.PrintStatus(raw)
}

func explain(ctx context.Context, s session) (int, error) {
	if len(s.args) != 1 {
		return ExitUsage, errors.New("one subject is wanted, such as target/engine-1")
	}
	raw, err := s.caller.Explain(ctx, s.args[0])
	if err != nil {
		return exitOf(err), err
	}
	return ExitOK, s.out.PrintExplanations(raw)
}

func (s session) subtree(ctx context.Context) (configurer.Subtree, error) {
	if s.values.Text("team") == "" {
		return configurer.Subtree{}, errors.New("--team must be set")
	}
	tree, err := s.caller.Tree(ctx)
	if err != nil {
		return configurer.Subtree{}, err
	}
	return tree.Get(identifier.TeamID(s.values.Text("team"))), nil
}

// change makes the change that the arguments describe, against the subtree in force.
func (s session) change(ctx context.Context) (configurer.Change, configurer.Subtree, error) {
	sub, err := s.subtree(ctx)
	if err != nil {
		return configurer.Change{}, sub, err
	}
	change := configurer.Change{
		ID: identifier.ChangeID(s.values.Text("change-id")), Team: identifier.TeamID(s.values.Text("team")),
		Expected: sub.Revision, Set: map[string]json.RawMessage{}, Author: s.values.Text("author"),
	}
	if n := s.values.Number("expected"); n >= 0 {
		change.Expected = identifier.Revision(n)
	}
	if change.ID == "" {
		change.ID = newChangeID()
	}
	for _, arg := range s.args {
		path, value, ok := strings.Cut(arg, "=")
		if !ok {
			return change, sub, errors.Newf("%q must be PATH=VALUE", arg)
		}
		change.Set[path] = jsonOf(value)
	}
	return change, sub, nil
}

// jsonOf takes a value as JSON when it is, else as text.
func jsonOf(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	text, _ := json.Marshal(value)
	return text
}

func newChangeID() identifier.ChangeID {
	var raw [changeIDBytes]byte
	_, _ = rand.Read(raw[:])
	return identifier.ChangeID(hex.EncodeToString(raw[:]))
}

// exitOf tells a call that was not run and one whose end is unknown from other errors.
func exitOf(err error) int {
	if errors.Is(err, httpcaller.ErrNotSent) {
		return ExitNotRun
	}
	var status *httpcaller.StatusError
	if !errors.As(err, &status) {
		return ExitError
	}
	var refusal responder.Refusal
	_ = json.Unmarshal(status.Body, &refusal)
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
