package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/fbctl/internal/operatorcaller"
	"fuchsiabridge.example/fbctl/internal/printer"
)

var errNoTeam = errors.New("--team must be set")

func get(ctx context.Context, s session) (int, error) {
	sub, err := s.subtree(ctx)
	if err != nil {
		return exitCode(err), err
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
		return exitCode(err), err
	}
	rows := printer.Rows{Header: []string{"offset", "change", "accepted", "revision", "author", "reason"}}
	for _, v := range sub.History {
		rows.Add(fmt.Sprint(v.Offset), string(v.ID), fmt.Sprint(v.Accepted), fmt.Sprint(v.Revision), v.Author, v.Reason)
	}
	return ExitOK, s.out.Print(rows)
}

// status prints the status of every node; a node that does not answer is listed as such.
func status(ctx context.Context, s session) (int, error) {
	answers := s.caller.Statuses(ctx)
	if err := firstError(answers); err != nil {
		return exitCode(err), err
	}
	return ExitOK, s.out.PrintStatuses(answers)
}

// explain prints all nodes' events about a subject and, for a change, the decision on it.
func explain(ctx context.Context, s session) (int, error) {
	if len(s.args) != 1 {
		return ExitUsage, errors.New("expected exactly one SUBJECT argument, such as target/engine-1")
	}
	answers := s.caller.Explain(ctx, s.args[0])
	if err := firstError(answers); err != nil {
		return exitCode(err), err
	}
	for _, a := range answers {
		if a.Err != nil {
			fmt.Fprintf(s.stderr, "fbctl explain: node %s did not answer: %v\n", a.Node, a.Err)
		}
	}
	if id, ok := strings.CutPrefix(s.args[0], "change/"); ok {
		s.explainDecision(ctx, identifier.ChangeID(id))
	}
	return ExitOK, s.out.PrintExplanations(answers)
}

func relays(ctx context.Context, s session) (int, error) {
	answers := s.caller.Relays(ctx)
	if err := firstError(answers); err != nil {
		return exitCode(err), err
	}
	return ExitOK, s.out.PrintRelays(answers)
}

// explainDecision prints the decision from the history in the configuration, because the nodes that
// logged it may be gone.
func (s session) explainDecision(ctx context.Context, id identifier.ChangeID) {
	tree, err := s.caller.Tree(ctx)
	if err != nil {
		return
	}
	for team := range tree.Teams {
		if v, ok := tree.Decision(team, id); ok {
			s.out.PrintText(decisionText(v))
		}
	}
}

func decisionText(v configurer.Decision) string {
	if v.Accepted {
		return fmt.Sprintf("change %s of team %s was accepted at offset %d as revision %d", v.ID, v.Team, v.Offset, v.Revision)
	}
	return fmt.Sprintf("change %s of team %s was rejected at offset %d: %s", v.ID, v.Team, v.Offset, v.Reason)
}

// firstError returns the first node's error if no node answered, and nil otherwise.
func firstError(answers []operatorcaller.Answer) error {
	for _, a := range answers {
		if a.Err == nil {
			return nil
		}
	}
	return answers[0].Err
}

func (s session) subtree(ctx context.Context) (configurer.Subtree, error) {
	if s.values.Text("team") == "" {
		return configurer.Subtree{}, errNoTeam
	}
	tree, err := s.caller.Tree(ctx)
	if err != nil {
		return configurer.Subtree{}, err
	}
	return tree.Get(identifier.TeamID(s.values.Text("team"))), nil
}
