// Package demonstrator runs the demonstration: a draft that passes through several stages, a payment
// that is sent twice and recorded once, and a configuration change.
package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
)

const (
	draftTokens    = 12
	draftLayers    = 24
	minStages      = 3
	inForceTimeout = 8 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// Config holds the addresses and keys of the fleet.
type Config struct {
	Nodes       []string
	Key         string
	OperatorKey string
	// Ledgers is the directory of the stand-ins' ledgers.
	Ledgers string
}

type demonstration struct {
	cfg Config
	out io.Writer
	r   *requester.Requester
}

// Run runs all steps, prints the outcome of each, and returns the error of the first that fails.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	d := demonstration{cfg: cfg, out: out, r: requester.NewRequester()}
	for _, step := range []func(context.Context) error{d.draft, d.payment, d.configuration} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "all checks passed")
	return nil
}

// draft requests a chat completion and compares it with the model's expected answer.
func (d demonstration) draft(ctx context.Context) error {
	id := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	prompt := "a reminder for the second instalment of the portrait session"
	fmt.Fprintf(d.out, "draft %s:", id)
	result, err := d.r.Stream(ctx, requester.DraftRequest{
		Node: d.cfg.Nodes[0], Key: d.cfg.Key, ID: id, Model: "atlas", Prompt: prompt, MaxTokens: draftTokens,
	}, func(_ int, text string) { fmt.Fprint(d.out, " ", text) })
	fmt.Fprintln(d.out)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "  outcome %s, complete %t, first token %v\n", result.Outcome, result.IsComplete, result.FirstToken.Sub(result.Started).Round(time.Millisecond))
	want := layerhasher.Answer(draftLayers, requester.ModelPrompt(prompt), draftTokens)
	if !result.IsComplete || strings.Join(result.Tokens, " ") != strings.Join(want, " ") {
		return errors.Newf("the answer to the draft differs from the expected tokens %v: %+v", want, result.Problem)
	}
	return d.checkLayerRuns(id)
}

type layerRun struct {
	Target   string                `json:"target"`
	Draft    string                `json:"draft"`
	Position int                   `json:"position"`
	Layers   identifier.LayerRange `json:"layers"`
}

// checkLayerRuns checks in the ledgers that every layer ran exactly once for each token, and prints which
// target ran which layers.
func (d demonstration) checkLayerRuns(id string) error {
	runs, err := d.runs(id)
	if err != nil {
		return err
	}
	byPosition := map[int][]layerRun{}
	for _, r := range runs {
		byPosition[r.Position] = append(byPosition[r.Position], r)
	}
	for position := range draftTokens {
		stages := byPosition[position]
		sort.Slice(stages, func(i, j int) bool { return stages[i].Layers.From < stages[j].Layers.From })
		next := identifier.Layer(0)
		line := make([]string, 0, len(stages))
		for _, s := range stages {
			if s.Layers.From != next {
				return errors.Newf("position %d: layer %d did not run exactly once: %+v", position, next, stages)
			}
			next = s.Layers.To
			line = append(line, fmt.Sprintf("%d-%d on %s", s.Layers.From, s.Layers.To, s.Target))
		}
		if next != draftLayers || len(stages) < minStages {
			return errors.Newf("position %d: too few layers or stages: %d layers ran in %d stages", position, next, len(stages))
		}
		if position == 0 {
			fmt.Fprintf(d.out, "  layers of each token: %s\n", strings.Join(line, ", "))
		}
	}
	return nil
}

func (d demonstration) runs(id string) ([]layerRun, error) {
	files, err := filepath.Glob(filepath.Join(d.cfg.Ledgers, "*.ledger"))
	if err != nil {
		return nil, errors.Wrap(err, "listing ledgers")
	}
	var runs []layerRun
	for _, name := range files {
		found, err := runsIn(name, id)
		if err != nil {
			return nil, err
		}
		runs = append(runs, found...)
	}
	return runs, nil
}

func runsIn(name, id string) ([]layerRun, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "opening a ledger")
	}
	defer file.Close()
	var runs []layerRun
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var r layerRun
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errors.Wrapf(err, "reading %s", name)
		}
		if strings.HasSuffix(r.Draft, "/"+id) {
			runs = append(runs, r)
		}
	}
	return runs, errors.Wrapf(lines.Err(), "reading %s", name)
}

// payment sends one payment, retries it with the same key through another node, and checks that both
// answers are equal.
func (d demonstration) payment(ctx context.Context) error {
	key := fmt.Sprintf("payment-%d", time.Now().UnixNano())
	var bodies []string
	for i, node := range []string{d.cfg.Nodes[0], d.cfg.Nodes[1]} {
		result, err := d.r.Call(ctx, requester.ServiceRequest{
			Node: node, Key: d.cfg.Key, Method: "POST", Service: "ledger", Path: "/payments",
			Body: `{"amount":50000}`, IdempotencyKey: key,
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(d.out, "payment %s through node %d: outcome %s, replayed %t, %s\n", key, i+1, result.Outcome, result.Replayed, result.Body)
		if result.Outcome != responder.Delivered {
			return errors.Newf("the outcome of the payment is %q: %+v", result.Outcome, result.Problem)
		}
		bodies = append(bodies, string(result.Body))
	}
	if bodies[0] != bodies[1] {
		return errors.New("the answers to both payment requests differ")
	}
	return nil
}

// configuration changes a value through one node and waits until the change is in force on all nodes.
func (d demonstration) configuration(ctx context.Context) error {
	started := time.Now()
	caller := httpcaller.NewCaller(answerlimiter.NewDefault())
	tree, err := d.tree(ctx, caller, d.cfg.Nodes[0])
	if err != nil {
		return err
	}
	weight := started.UnixNano()%100 + 1
	change := configurer.Change{
		ID: identifier.ChangeID(fmt.Sprintf("demo-%d", started.UnixNano())), Team: "dakar", Expected: tree.Get("dakar").Revision,
		Set: map[string]json.RawMessage{"accounts/studio/weight": json.RawMessage(fmt.Sprint(weight))},
	}
	var decision configurer.Decision
	if err := caller.JSONWith(ctx, d.operatorRequest("POST", d.cfg.Nodes[0], "/operator/changes"), change, &decision); err != nil {
		return err
	}
	if !decision.Accepted {
		return errors.Newf("the change was rejected: %s", decision.Reason)
	}
	for _, node := range d.cfg.Nodes {
		if err := d.awaitWeight(ctx, caller, node, fmt.Sprint(weight), started.Add(inForceTimeout)); err != nil {
			return err
		}
	}
	fmt.Fprintf(d.out, "change %s: accepted, in force on %d nodes after %v\n", change.ID, len(d.cfg.Nodes), time.Since(started).Round(time.Millisecond))
	return nil
}

func (d demonstration) awaitWeight(ctx context.Context, caller *httpcaller.Caller, node, weight string, deadline time.Time) error {
	for time.Now().Before(deadline) {
		tree, err := d.tree(ctx, caller, node)
		if err == nil && string(tree.Get("dakar").Values["accounts/studio/weight"]) == weight {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Newf("the change is not in force on %s", node)
}

func (d demonstration) tree(ctx context.Context, caller *httpcaller.Caller, node string) (*configurer.Tree, error) {
	tree := configurer.NewTree()
	return tree, caller.JSONWith(ctx, d.operatorRequest("GET", node, "/operator/tree"), nil, tree)
}

func (d demonstration) operatorRequest(method, node, path string) httpcaller.Request {
	return httpcaller.Request{
		Method: method, URL: "http://" + node + path,
		Header: map[string]string{"Authorization": "Bearer " + d.cfg.OperatorKey},
	}
}
