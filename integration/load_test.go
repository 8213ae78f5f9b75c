package integration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// TestOverloadIsShedImmediately sends far more drafts than a node runs and queues. The excess must be
// refused with Retry-After while the first drafts still run, and every admitted draft must be
// delivered in full.
func TestOverloadIsShedImmediately(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	// A draft of 4 tokens over 3 stages of 8 layers of 10 ms takes at least 4*3*8*10 ms, about a second.
	f.AddEngine("engine-a", 0, 8, "--layer-micros", "10000")
	f.AddEngine("engine-b", 8, 16, "--layer-micros", "10000")
	f.AddEngine("engine-c", 16, 24, "--layer-micros", "10000")
	f.AddNode("node-1", "", "--draft-limit", "4")
	f.Configure(24)
	r := requester.NewRequester()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	const drafts = 60
	results := make([]requester.Result, drafts)
	errs := make([]error, drafts)
	var wg sync.WaitGroup
	for i := range drafts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], errs[i] = r.Stream(ctx, requester.DraftRequest{
				Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: fmt.Sprint("overload-", i), Class: "bulk",
				Model: launcher.Model, Prompt: "a blurb", MaxTokens: 4,
			}, nil)
		}()
	}
	wg.Wait()
	outcomes := map[responder.Outcome]int{}
	var lastShed, firstDelivered time.Time
	for i, result := range results {
		c.Assert(errs[i], qt.IsNil)
		outcomes[result.Outcome]++
		switch result.Outcome {
		case responder.Delivered:
			c.Check(result.IsComplete, qt.IsTrue)
			if firstDelivered.IsZero() || result.Finished.Before(firstDelivered) {
				firstDelivered = result.Finished
			}
		case responder.NotRun:
			c.Check(result.RetryAfter >= time.Second, qt.IsTrue)
			if result.Finished.After(lastShed) {
				lastShed = result.Finished
			}
		default:
			c.Errorf("draft %d ended as %q: %+v", i, result.Outcome, result.Problem)
		}
	}
	// With a draft limit of 4, four drafts run and four times as many are queued.
	c.Assert(outcomes, qt.DeepEquals, map[responder.Outcome]int{responder.Delivered: 20, responder.NotRun: 40})
	c.Assert(lastShed.Before(firstDelivered), qt.IsTrue, qt.Commentf("last refusal came %v after the first draft ended", lastShed.Sub(firstDelivered)))
}

// TestAnswerOfDefaultLengthIsWhole sends a draft without max_tokens twice under one id. The tokens of
// the second answer are all available at once, and none may be dropped because its buffer is full.
func TestAnswerOfDefaultLengthIsWhole(t *testing.T) {
	c := qt.New(t)
	f := newSmallFleet(t)
	r := requester.NewRequester()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	draft := requester.DraftRequest{Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: "default-length", Class: "counter", Model: launcher.Model, Prompt: "p"}
	for range 2 {
		result, err := r.Stream(ctx, draft, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(result.Outcome, qt.Equals, responder.Delivered)
		c.Assert(result.IsComplete, qt.IsTrue, qt.Commentf("%d tokens", len(result.Tokens)))
	}
}
