// Package operatorcaller calls the operators' interface of the nodes, trying one
// after another.
package operatorcaller

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/httpcaller"
)

// Caller calls the first of the nodes that answers.
type Caller struct {
	http  *httpcaller.Caller
	nodes []string
	key   string
}

// NewCaller returns a caller of the nodes (host:port) with the operator's bearer key.
func NewCaller(nodes []string, key string) *Caller {
	return &Caller{http: httpcaller.NewCaller(), nodes: nodes, key: key}
}

// Tree reads the configuration in force.
func (c *Caller) Tree(ctx context.Context) (*configurer.Tree, error) {
	tree := configurer.NewTree()
	return tree, c.call(ctx, "GET", "/operator/tree", nil, tree)
}

// Change publishes a change and returns its verdict. Sent again under the same id it is applied once.
func (c *Caller) Change(ctx context.Context, change configurer.Change) (configurer.Verdict, error) {
	var verdict configurer.Verdict
	return verdict, c.call(ctx, "POST", "/operator/changes", change, &verdict)
}

// Status reads the fleet's status as one node sees it.
func (c *Caller) Status(ctx context.Context) (json.RawMessage, error) {
	var status json.RawMessage
	return status, c.call(ctx, "GET", "/operator/status", nil, &status)
}

// Explain reads what the first node that answers knows of a subject.
func (c *Caller) Explain(ctx context.Context, subject string) (json.RawMessage, error) {
	var events json.RawMessage
	return events, c.call(ctx, "GET", "/operator/explain?"+url.Values{"subject": {subject}}.Encode(), nil, &events)
}

func (c *Caller) call(ctx context.Context, method, path string, in, out any) error {
	var last error
	for _, node := range c.nodes {
		r := httpcaller.Request{
			Method: method, URL: "http://" + node + path,
			Header: map[string]string{"Authorization": "Bearer " + c.key},
		}
		last = c.http.JSONWith(ctx, r, in, out)
		if !errors.Is(last, httpcaller.ErrNotSent) {
			return last
		}
	}
	return last
}
