// Package operatorcaller is a client for the operator API of the nodes. It calls the nodes one after
// another until one answers, or all of them in parallel.
package operatorcaller

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/responder"
)

const (
	// readTimeout bounds a read from one node.
	readTimeout = 3 * time.Second
	// changeTimeout bounds one attempt to publish a change.
	changeTimeout = 10 * time.Second
	// retryInterval is the pause before all nodes are called again.
	retryInterval = 200 * time.Millisecond
	// readyTimeout bounds the wait for a node to become ready or to reach a revision.
	readyTimeout = 3 * time.Second
	// stragglerTimeout bounds the wait for the other nodes after the first has answered.
	stragglerTimeout = 300 * time.Millisecond

	codeUnready = "unready"
)

// ErrUnknown marks a change that may have been published.
var ErrUnknown = errors.New("the change may have been published")

// Caller is a client for the nodes.
type Caller struct {
	http  *httpcaller.Caller
	nodes []string
	key   string
}

// NewCaller returns a caller of the nodes (host:port) with the operator's bearer key.
func NewCaller(nodes []string, key string) *Caller {
	return &Caller{http: httpcaller.NewCaller(answerlimiter.NewDefault()), nodes: nodes, key: key}
}

// Answer is the answer of one node, or the error of its call.
type Answer struct {
	Node string
	Body json.RawMessage
	Err  error
}

// RefusalOf returns the refusal in a node's response, if the error holds one.
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

// Tree returns the configuration in force, which is the newest one among the nodes that answer within
// stragglerTimeout of the first. It moves these nodes to the front of the list, so that later calls start
// with them. If no node is ready, it calls them again, for at most readyTimeout.
func (c *Caller) Tree(ctx context.Context) (*configurer.Tree, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		newest, err := c.newestTree(ctx)
		refusal, _ := RefusalOf(err)
		if refusal.Error.Code != codeUnready || time.Now().After(deadline) || ctx.Err() != nil {
			return newest, err
		}
		time.Sleep(retryInterval)
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
	var lastErr error
	var answered []string
	var stragglerTimer <-chan time.Time
	for range c.nodes {
		select {
		case a := <-answers:
			if a.err != nil {
				lastErr = preferRefusal(lastErr, a.err)
				continue
			}
			answered = append(answered, a.node)
			if stragglerTimer == nil {
				stragglerTimer = time.After(stragglerTimeout)
			}
			if newest == nil || a.tree.Offset > newest.Offset {
				newest = a.tree
			}
		case <-stragglerTimer:
			return c.putFirst(answered, newest), nil
		}
	}
	if newest == nil {
		return nil, lastErr
	}
	return c.putFirst(answered, newest), nil
}

// putFirst moves the nodes that answered to the front of the list, and returns the tree.
func (c *Caller) putFirst(answered []string, tree *configurer.Tree) *configurer.Tree {
	for _, node := range c.nodes {
		if !slices.Contains(answered, node) {
			answered = append(answered, node)
		}
	}
	c.nodes = answered
	return tree
}

// preferRefusal returns a if it holds a node's refusal, which says more than a failed call, and b
// otherwise.
func preferRefusal(a, b error) error {
	if _, ok := RefusalOf(a); ok {
		return a
	}
	return b
}

// Begin makes the first node start from the configuration state it has, without the records that the
// log has trimmed.
func (c *Caller) Begin(ctx context.Context) error {
	return c.call(ctx, c.nodes[0], readTimeout, "POST", "/operator/begin", struct{}{}, nil)
}

// Change publishes a change through one node after another until one accepts the call, and returns the
// decision. A change that is resubmitted under the same id is applied once. The error is marked
// ErrUnknown if this call, or an earlier one with the same id, may have published the change. A refusal
// with the outcome responder.Refused ends the call and is returned without the mark.
func (c *Caller) Change(ctx context.Context, change configurer.Change, isResubmitted bool) (configurer.Decision, error) {
	var decision configurer.Decision
	mayBePublished := isResubmitted
	err := c.untilReady(ctx, func(node string) error {
		err := c.call(ctx, node, changeTimeout, "POST", "/operator/changes", change, &decision)
		refusal, isRefused := RefusalOf(err)
		isNotPublished := errors.Is(err, httpcaller.ErrNotSent) || (isRefused && refusal.Outcome != responder.Unknown)
		mayBePublished = mayBePublished || (err != nil && !isNotPublished)
		return err
	})
	if refusal, ok := RefusalOf(err); ok && refusal.Outcome == responder.Refused {
		return decision, err
	}
	if err != nil && mayBePublished {
		err = errors.Mark(err, ErrUnknown)
	}
	return decision, err
}

// untilReady calls the nodes in turn until one answers or refuses. If at least one of them reported
// that it is not ready yet or behind, it calls all of them again, for at most readyTimeout.
func (c *Caller) untilReady(ctx context.Context, call func(node string) error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		isWorthRetrying := false
		var lastErr error
		for _, node := range c.nodes {
			err := call(node)
			refusal, ok := RefusalOf(err)
			if err == nil || (ok && refusal.Outcome == responder.Refused) {
				return err
			}
			isWorthRetrying = isWorthRetrying || refusal.Error.Code == codeUnready || refusal.Error.Code == "behind"
			lastErr = err
		}
		if !isWorthRetrying || time.Now().After(deadline) || ctx.Err() != nil {
			return lastErr
		}
		time.Sleep(retryInterval)
	}
}

// Statuses returns every node's status, in the order of the nodes.
func (c *Caller) Statuses(ctx context.Context) []Answer { return c.callAll(ctx, "/operator/status") }

// Explain returns every node's log events about a subject.
func (c *Caller) Explain(ctx context.Context, subject string) []Answer {
	return c.callAll(ctx, "/operator/explain?"+url.Values{"subject": {subject}}.Encode())
}

// Relays returns the state of relaying nodes, which they serve at their metrics addresses.
func (c *Caller) Relays(ctx context.Context) []Answer { return c.callAll(ctx, "/") }

func (c *Caller) callAll(ctx context.Context, path string) []Answer {
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
