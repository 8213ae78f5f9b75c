package integration_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// newSmallFleet starts one engine for each of three layer ranges, two ledger services and three nodes.
func newSmallFleet(t *testing.T) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t)
	f.AddEngine("engine-a", 0, 8)
	f.AddEngine("engine-b", 8, 16)
	f.AddEngine("engine-c", 16, 24)
	f.AddService("ledger", "ledger-1")
	f.AddService("ledger", "ledger-2")
	for _, id := range []string{"node-1", "node-2", "node-3"} {
		f.AddNode(id, "")
	}
	f.Configure(24)
	return f
}

// TestDraftStreamsOverThreeStages streams one draft over three stages without faults and compares it
// with the expected answer.
func TestDraftStreamsOverThreeStages(t *testing.T) {
	c := qt.New(t)
	f := newSmallFleet(t)
	r := requester.NewRequester()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	result, err := r.Stream(ctx, requester.DraftRequest{
		Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: "draft-1", Class: "counter",
		Model: launcher.Model, Prompt: "a quote for a wedding", MaxTokens: 16,
	}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Problem, qt.Equals, responder.Problem{})
	c.Assert(result.IsComplete, qt.IsTrue)
	c.Assert(result.Tokens, qt.DeepEquals, layerhasher.Answer(24, requester.ModelPrompt("a quote for a wedding"), 16))
}

// TestInvalidRequestsAreRefused sends invalid requests. Each must get a 4xx status and an error body with
// the code of its fault; refused drafts also get their request id.
func TestInvalidRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	f := newSmallFleet(t)
	r := requester.NewRequester()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	good := requester.DraftRequest{Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: "bad", Model: launcher.Model, Prompt: "p", MaxTokens: 4}
	unknownModel, wrongKey, tooMany, past, tooLarge := good, good, good, good, good
	unknownModel.Model = "none"
	wrongKey.Key = "none"
	tooMany.MaxTokens = 1_000_000
	tooLarge.Prompt = strings.Repeat("word ", 1<<19)
	past.Deadline = time.Now().Add(-time.Second)
	for _, tc := range []struct {
		name   string
		draft  requester.DraftRequest
		status int
		code   string
	}{
		{"unknown model", unknownModel, 400, "bad_request"},
		{"wrong key", wrongKey, 401, "unauthorized"},
		{"too many tokens", tooMany, 400, "bad_request"},
		{"deadline past", past, 400, "deadline_past"},
		{"body too large", tooLarge, 413, "body_too_large"},
	} {
		c.Run(tc.name, func(c *qt.C) {
			result, err := r.Stream(ctx, tc.draft, nil)
			c.Assert(err, qt.IsNil)
			c.Assert(result.Status, qt.Equals, tc.status)
			c.Assert(result.Outcome, qt.Equals, responder.Refused)
			c.Assert(result.Problem.Code, qt.Equals, tc.code)
			c.Assert(result.Problem.RequestID, qt.Equals, "bad")
		})
	}
	result, err := r.Call(ctx, requester.ServiceRequest{Node: f.Nodes[0].Address, Key: launcher.AccountKey, Method: "POST", Service: "ledger", Path: "/payments"})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Status, qt.Equals, 400)
	c.Assert(result.Problem.Code, qt.Equals, "bad_key")
}
