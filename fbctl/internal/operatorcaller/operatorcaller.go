// Package operatorcaller calls the operators' interface of the nodes: one after another
// until one answers, or all at once.
package operatorcaller

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/responder"
)

const (
	// readTimeout bounds a read from one node; another is asked after it.
	readTimeout = 3 * time.Second
	// changeTimeout bounds one attempt to publish a change.
	changeTimeout = 10 * time.Second
	// roundPause is the pause before the nodes are asked again.
	roundPause = 200 * time.Millisecond
	// readyWait is how long nodes may take to become ready or to reach a revision.
	readyWait = 3 * time.Second
	// othersWait is how long other nodes may take once one has answered.
	othersWait = 300 * time.Millisecond

	codeUnready = "unready"
)

// ErrUnknown marks a change that may have been published.
var ErrUnknown = errors.New("the change may have been published")

// Caller calls the nodes.
type Caller struct {
	http  *httpcaller.Caller
	nodes []string
	key   string
}

// NewCaller returns a caller of the nodes (host:port) with the operator's bearer key.
func NewCaller(nodes []string, key string) *Caller {
	return &Caller{http: httpcaller.NewCaller(), nodes: nodes, key: key}
}

// Answer is what one node said, or why it said nothing.
type Answer struct {
	Node string
	Body json.RawMessage
	Err  error
}

// RefusalOf returns the refusal that an error carries.
func RefusalOf(err error) (responder.Refusal, bool) {
	var status *httpcaller.StatusError
	var refusal responder.Refusal
	if !errors.As(err, &status) || json.Unmarshal(status.Body, &refusal) != nil {
		return refusal, false
	}
	return refusal, refusal.Outcome != ""
}

type treeAnswer struct {
	node string
	tree *configurer.Tree
	err  error
}

// Tree reads the configuration in force: the newest that the nodes have. Nodes that
// answered are asked first from then on.
func (c *Caller) Tree(ctx context.Context) (*configurer.Tree, error) {
	until := time.Now().Add(readyWait)
	for {
		newest, err := c.newestTree(ctx)
		refusal, _ := RefusalOf(err)
		if refusal.Error.Code != codeUnready || time.Now().After(until) || ctx.Err() != nil {
			return newest, err
		}
		time.Sleep(roundPause)
	}
}

func (c *Caller) newestTree(ctx context.Context) (*configurer.Tree, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answers := make(chan treeAnswer, len(c.nodes))
	for _, node := range c.nodes {
		go func() {
			tree := configurer.NewTree()
			err := c.call(ctx, node, readTimeout, "GET", "/operator/tree", nil, tree)
			answers <- treeAnswer{node, tree, err}
		}()
	}
	var newest *configurer.Tree
	var last error
	var answered []string
	var enough <-chan time.Time
	for range c.nodes {
		select {
		case a := <-answers:
			if a.err != nil {
				last = moreTelling(last, a.err)
				continue
			}
			answered = append(answered, a.node)
			if enough == nil {
				enough = time.After(othersWait)
			}
			if newest == nil || a.tree.Offset > newest.Offset {
				newest = a.tree
			}
		case <-enough:
			return c.first(answered, newest), nil
		}
	}
	if newest == nil {
		return nil, last
	}
	return c.first(answered, newest), nil
}

// first puts the nodes that answered before the others, and returns the tree.
func (c *Caller) first(answered []string, tree *configurer.Tree) *configurer.Tree {
	for _, node := range c.nodes {
		if !slices.Contains(answered, node) {
			answered = append(answered, node)
		}
	}
	c.nodes = answered
	return tree
}

// moreTelling prefers a node's refusal to a call that brought no answer.
func moreTelling(a, b error) error {
	if _, told := RefusalOf(a); told {
		return a
	}
	return b
}

// Begin lets the first node begin from the state it has.
func (c *Caller) Begin(ctx context.Context) error {
	return c.call(ctx, c.nodes[0], readTimeout, "POST", "/operator/begin", struct{}{}, nil)
}

// Change publishes a change and returns its verdict, asking one node after another. Asked
// again under the same id it is applied once. Its error is marked ErrUnknown when an
// attempt, or an earlier one of the same id, may have published the change.
func (c *Caller) Change(ctx context.Context, change configurer.Change, askedBefore bool) (configurer.Verdict, error) {
	var verdict configurer.Verdict
	maybe := askedBefore
	err := c.untilReady(ctx, func(node string) error {
		err := c.call(ctx, node, changeTimeout, "POST", "/operator/changes", change, &verdict)
		refusal, told := RefusalOf(err)
		isSafe := errors.Is(err, httpcaller.ErrNotSent) || (told && refusal.Outcome != responder.Unknown)
		maybe = maybe || (err != nil && !isSafe)
		return err
	})
	if refusal, told := RefusalOf(err); told && refusal.Outcome == responder.Refused {
		return verdict, err
	}
	if err != nil && maybe {
		err = errors.Mark(err, ErrUnknown)
	}
	return verdict, err
}

// untilReady asks the nodes in turn until one answers or refuses. While they only say that
// they are not ready it goes round again for a while.
func (c *Caller) untilReady(ctx context.Context, ask func(node string) error) error {
	until := time.Now().Add(readyWait)
	for {
		isWorthAgain := false
		var last error
		for _, node := range c.nodes {
			err := ask(node)
			refusal, told := RefusalOf(err)
			if err == nil || (told && refusal.Outcome == responder.Refused) {
				return err
			}
			isWorthAgain = isWorthAgain || refusal.Error.Code == codeUnready || refusal.Error.Code == "behind"
			last = err
		}
		if !isWorthAgain || time.Now().After(until) || ctx.Err() != nil {
			return last
		}
		time.Sleep(roundPause)
	}
}

// Statuses reads every node's status, in the order of the nodes.
func (c *Caller) Statuses(ctx context.Context) []Answer { return c.all(ctx, "/operator/status") }

// Explain reads what every node knows of a subject.
func (c *Caller) Explain(ctx context.Context, subject string) []Answer {
	return c.all(ctx, "/operator/explain?"+url.Values{"subject": {subject}}.Encode())
}

// Relays asks relaying nodes, at their metrics addresses, what they believe.
func (c *Caller) Relays(ctx context.Context) []Answer { return c.all(ctx, "/") }

func (c *Caller) all(ctx context.Context, path string) []Answer {
	answers := make([]Answer, len(c.nodes))
	var wg sync.WaitGroup
	for i, node := range c.nodes {
		wg.Go(func() {
			answers[i].Node = node
			answers[i].Err = c.call(ctx, node, readTimeout, "GET", path, nil, &answers[i].Body)
		})
	}
	wg.Wait()
	return answers
}

func (c *Caller) call(ctx context.Context, node string, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := httpcaller.Request{
		Method: method, URL: "http://" + node + path,
		Header: map[string]string{"Authorization": "Bearer " + c.key},
	}
	return c.http.JSONWith(ctx, r, in, out)
}
