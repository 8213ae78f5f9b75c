package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/fbctl/internal/filereader"
	"fuchsiabridge.example/fbctl/internal/operatorcaller"
	"fuchsiabridge.example/fbctl/internal/printer"
)

const changeIDBytes = 12

func diff(ctx context.Context, s session) (int, error) {
	set, err := s.arguments()
	if err != nil {
		return ExitUsage, err
	}
	_, sub, code, err := s.change(ctx, set)
	if err != nil {
		return code, err
	}
	return ExitOK, s.out.Print(differences(sub, set))
}

func set(ctx context.Context, s session) (int, error) {
	values, err := s.arguments()
	if err != nil {
		return ExitUsage, err
	}
	change, sub, code, err := s.change(ctx, values)
	if err != nil {
		return code, err
	}
	if findings := configurer.Check(change); len(findings) > 0 {
		return ExitRejected, findings
	}
	if s.values.Bool("dry-run") {
		return ExitOK, s.out.Print(differences(sub, values))
	}
	return s.publish(ctx, change)
}

// apply validates the whole file before it sends anything, and prints the differences before it
// publishes the change.
func apply(ctx context.Context, s session) (int, error) {
	if len(s.args) != 1 {
		return ExitUsage, errors.New("expected exactly one FILE argument")
	}
	content, err := os.ReadFile(s.args[0])
	if err != nil {
		return ExitUsage, errors.Wrap(err, "reading the file")
	}
	file, findings := filereader.Read(s.args[0], content)
	sample := configurer.Change{ID: "sample", Team: identifier.TeamID(s.values.Text("team")), Set: file.Set}
	findings = append(findings, file.Check(sample)...)
	if len(findings) > 0 {
		return ExitRejected, findings
	}
	change, sub, code, err := s.change(ctx, file.Set)
	if err != nil {
		return code, err
	}
	rows := differences(sub, file.Set)
	if s.values.Bool("dry-run") {
		return ExitOK, s.out.Print(rows)
	}
	if err := s.out.PrintPreview(rows); err != nil {
		return ExitError, err
	}
	if len(rows.Cells) == 0 && s.values.Text("change-id") == "" {
		fmt.Fprintln(s.stderr, "fbctl apply: nothing to change")
		return ExitOK, nil
	}
	return s.publish(ctx, change)
}

func begin(ctx context.Context, s session) (int, error) {
	if err := s.caller.Begin(ctx); err != nil {
		return exitCode(err), err
	}
	return ExitOK, nil
}

func (s session) publish(ctx context.Context, change configurer.Change) (int, error) {
	decision, err := s.caller.Change(ctx, change, s.values.Text("change-id") != "")
	if errors.Is(err, operatorcaller.ErrUnknown) {
		hint := fmt.Sprintf("the change may or may not be in force: repeat the command with --change-id %s --expected %d", change.ID, change.Expected)
		return ExitUnknown, errors.Wrap(err, hint)
	}
	if err != nil {
		return exitCode(err), errors.Wrapf(err, "change %s", change.ID)
	}
	rows := printer.Rows{Header: []string{"change", "accepted", "revision", "reason"}}
	rows.Add(string(decision.ID), fmt.Sprint(decision.Accepted), fmt.Sprint(decision.Revision), decision.Reason)
	code := ExitOK
	if !decision.Accepted {
		code = ExitRejected
	}
	return code, s.out.Print(rows)
}

// differences lists the paths whose values the change would modify.
func differences(sub configurer.Subtree, set map[string]json.RawMessage) printer.Rows {
	rows := printer.Rows{Header: []string{"path", "in force", "proposed"}}
	for path, value := range set {
		current := string(sub.Values[path])
		proposed := string(value)
		isDeletedAlready := current == "" && proposed == "null"
		if current != proposed && !isDeletedAlready {
			rows.Add(path, current, proposed)
		}
	}
	rows.Sort()
	return rows
}

// arguments parses arguments of the form PATH=VALUE and reports all invalid ones together.
func (s session) arguments() (map[string]json.RawMessage, error) {
	set := map[string]json.RawMessage{}
	var findings configurer.Findings
	for i, arg := range s.args {
		path, value, ok := strings.Cut(arg, "=")
		if !ok {
			findings = append(findings, configurer.Finding{Path: fmt.Sprintf("argument %d", i+1), Message: fmt.Sprintf("%q must be PATH=VALUE", arg)})
			continue
		}
		set[path] = filereader.ValueOf(value)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return set, nil
}

// change builds a change to the team's subtree in force. The third result is the exit code for the
// error.
func (s session) change(ctx context.Context, set map[string]json.RawMessage) (configurer.Change, configurer.Subtree, int, error) {
	change := configurer.Change{
		ID: identifier.ChangeID(s.values.Text("change-id")), Team: identifier.TeamID(s.values.Text("team")),
		Set: set, Author: s.values.Text("author"), Expected: identifier.Revision(s.values.Number("expected")),
	}
	isNew := change.ID == ""
	if !isNew && change.Expected < 0 {
		return change, configurer.Subtree{}, ExitUsage, errors.New("--change-id resubmits an earlier change, so --expected must be given too")
	}
	if isNew {
		change.ID = newChangeID()
	}
	sub, err := s.subtree(ctx)
	if err != nil {
		return change, sub, exitCode(err), err
	}
	if change.Expected < 0 {
		change.Expected = sub.Revision
	}
	return change, sub, ExitOK, nil
}

func newChangeID() identifier.ChangeID {
	var raw [changeIDBytes]byte
	_, _ = rand.Read(raw[:])
	return identifier.ChangeID(hex.EncodeToString(raw[:]))
}
