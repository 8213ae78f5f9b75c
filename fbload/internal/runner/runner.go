// Package runner makes the requests of an experiment as its callers would: each at its
// intended instant, whatever became of the others, honouring Retry-After and asking
// again for the rest of a stream that was cut.
package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/internal/scheduler"
	"fuchsiabridge.example/fbload/requester"
)

const (
	// leastWait is a caller's wait before it asks again when no answer told it one.
	leastWait = 100 * time.Millisecond
	// jitterSteps divides the jitter of a caller's wait, at most half of the wait.
	jitterSteps = 1024
	// lateGrace is how long beyond its deadline a caller still listens.
	lateGrace = 2 * time.Second
)

// Config says where an experiment runs.
type Config struct {
	Name  string
	Nodes []string
	Model string
	// Repeat says whether callers come back after a refusal that names a time.
	Repeat bool
}

// Result is what became of one request.
type Result struct {
	Arrival scheduler.Arrival
	// ID is the request's id, and the record's key.
	ID string
	// Intended, and all other instants, are of the load process's clock.
	Intended time.Time
	Deadline time.Time
	Outcome  responder.Outcome
	// Whole says that the answer's end was marked, with all tokens in order.
	Whole    bool
	Tokens   []string
	TokenAt  []time.Time
	Finished time.Time
	// RefusedAfter holds how long each refusal took from its request.
	RefusedAfter []time.Duration
	Code         string
	Tries        int
}

// Run makes all requests and returns their results in the order of the arrivals.
func Run(ctx context.Context, cfg Config, r *requester.Requester, start time.Time, arrivals []scheduler.Arrival) []Result {
	results := make([]Result, len(arrivals))
	var wg sync.WaitGroup
	for i, a := range arrivals {
		intended := start.Add(a.At)
		if !sleepUntil(ctx, intended) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := caller{cfg: cfg, requester: r}
			results[i] = c.run(ctx, a, intended)
		}()
	}
	wg.Wait()
	return results
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// caller makes one request, as often as it takes.
type caller struct {
	cfg       Config
	requester *requester.Requester
}

func (c caller) run(ctx context.Context, a scheduler.Arrival, intended time.Time) Result {
	result := Result{
		Arrival: a, ID: fmt.Sprintf("%s-%d", c.cfg.Name, a.Number),
		Intended: intended, Deadline: intended.Add(a.Class.Deadline),
	}
	ctx, cancel := context.WithDeadline(ctx, result.Deadline.Add(lateGrace))
	defer cancel()
	for {
		wait, again := c.try(ctx, &result)
		if !again || !c.cfg.Repeat && result.Outcome != "" {
			break
		}
		wait += wait / 2 * time.Duration((a.Pick+uint64(result.Tries))%jitterSteps) / jitterSteps
		next := time.Now().Add(wait)
		if !next.Before(result.Deadline) || !sleepUntil(ctx, next) {
			break
		}
	}
	result.Finished = time.Now()
	return result
}

// try asks once; it returns whether to ask again and how long to wait before.
func (c caller) try(ctx context.Context, result *Result) (time.Duration, bool) {
	asked := time.Now()
	node := c.cfg.Nodes[(result.Arrival.Pick+uint64(result.Tries))%uint64(len(c.cfg.Nodes))]
	result.Tries++
	answer, err := c.ask(ctx, node, result)
	result.Tokens = append(result.Tokens, answer.Tokens...)
	result.TokenAt = append(result.TokenAt, answer.TokenAt...)
	result.Outcome, result.Whole, result.Code = answer.Outcome, answer.Whole, answer.Problem.Code
	if err != nil || answer.Outcome == "" {
		result.Outcome = ""
		return leastWait, ctx.Err() == nil
	}
	if answer.Outcome == responder.Delivered {
		return 0, false
	}
	if answer.Outcome == responder.NotRun || answer.Outcome == responder.Refused {
		result.RefusedAfter = append(result.RefusedAfter, time.Since(asked))
	}
	return answer.RetryAfter, answer.RetryAfter > 0
}

func (c caller) ask(ctx context.Context, node string, result *Result) (requester.Result, error) {
	a := result.Arrival
	if a.Class.Kind == scheduler.Draft {
		return c.requester.Stream(ctx, requester.Draft{
			Node: node, Key: a.Account.Key, ID: result.ID, Class: string(a.Class.Name), Model: c.cfg.Model,
			Prompt: a.Prompt, MaxTokens: a.MaxTokens, LastToken: len(result.Tokens), Deadline: result.Deadline,
		}, nil)
	}
	service := requester.Service{
		Node: node, Key: a.Account.Key, Method: "GET", Service: string(a.Class.Service), Path: "/items",
		Class: string(a.Class.Name), Deadline: result.Deadline,
	}
	if a.Class.Kind == scheduler.Record {
		service.Method, service.Path, service.IdempotencyKey = "POST", "/entries", result.ID
	}
	return c.requester.Call(ctx, service)
}
