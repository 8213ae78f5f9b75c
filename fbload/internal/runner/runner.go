// Package runner sends the requests of an experiment as real callers would. It is an open-loop generator:
// each request starts at its intended time, regardless of the others. Callers honor Retry-After and
// resume streams that were interrupted.
package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/fbload/internal/scheduler"
	"fuchsiabridge.example/fbload/requester"
)

const (
	// defaultRetryDelay is the delay before a retry if the failed attempt brought no response.
	defaultRetryDelay = 100 * time.Millisecond
	// jitterSteps is the resolution of the jitter, which adds at most half of the delay to a retry delay.
	jitterSteps = 1024
	// lateGrace is how long a caller still waits for its answer after its deadline.
	lateGrace = 2 * time.Second
)

// Config describes the fleet and the behavior of the callers.
type Config struct {
	Name  string
	Nodes []string
	Model string
	// Retry says whether callers retry after a refusal that has a Retry-After header. They always retry an
	// attempt that ended without an outcome.
	Retry bool
}

// Result is the result of one request.
type Result struct {
	Arrival scheduler.Arrival
	// ID is the request's id. For a record it is also the idempotency key.
	ID string
	// Intended is the intended time of arrival. All times are from the clock of the load generator.
	Intended time.Time
	Deadline time.Time
	Outcome  responder.Outcome
	// IsComplete says that the answer was marked as complete and that all tokens arrived in order.
	IsComplete bool
	Tokens     []string
	TokenAt    []time.Time
	Finished   time.Time
	// RefusalLatencies holds, for each refusal, the time from sending the request to the refusal.
	RefusalLatencies []time.Duration
	Code             string
	Attempts         int
}

// Run sends all requests and returns their results in the order of the arrivals.
func Run(ctx context.Context, cfg Config, r *requester.Requester, start time.Time, arrivals []scheduler.Arrival) []Result {
	results := make([]Result, len(arrivals))
	var wg sync.WaitGroup
	for i, a := range arrivals {
		intended := start.Add(a.At)
		if !sleeper.Sleep(ctx, time.Until(intended)) {
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

// caller sends one request and its retries.
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
		delay, mayRetry := c.attempt(ctx, &result)
		if !mayRetry || !c.cfg.Retry && result.Outcome != "" {
			break
		}
		delay += delay / 2 * time.Duration((a.RandomValue+uint64(result.Attempts))%jitterSteps) / jitterSteps
		next := time.Now().Add(delay)
		if !next.Before(result.Deadline) || !sleeper.Sleep(ctx, time.Until(next)) {
			break
		}
	}
	result.Finished = time.Now()
	return result
}

// attempt sends the request once. It returns the delay before a retry, and whether to retry.
func (c caller) attempt(ctx context.Context, result *Result) (time.Duration, bool) {
	sentAt := time.Now()
	node := c.cfg.Nodes[(result.Arrival.RandomValue+uint64(result.Attempts))%uint64(len(c.cfg.Nodes))]
	result.Attempts++
	answer, err := c.send(ctx, node, result)
	result.Tokens = append(result.Tokens, answer.Tokens...)
	result.TokenAt = append(result.TokenAt, answer.TokenAt...)
	result.Outcome, result.IsComplete, result.Code = answer.Outcome, answer.IsComplete, answer.Problem.Code
	if err != nil || answer.Outcome == "" {
		result.Outcome = ""
		return defaultRetryDelay, ctx.Err() == nil
	}
	if answer.Outcome == responder.Delivered {
		return 0, false
	}
	if answer.Outcome == responder.NotRun || answer.Outcome == responder.Refused {
		result.RefusalLatencies = append(result.RefusalLatencies, time.Since(sentAt))
	}
	return answer.RetryAfter, answer.RetryAfter > 0
}

func (c caller) send(ctx context.Context, node string, result *Result) (requester.Result, error) {
	a := result.Arrival
	if a.Class.Kind == scheduler.Draft {
		return c.requester.Stream(ctx, requester.DraftRequest{
			Node: node, Key: a.Account.Key, ID: result.ID, Class: string(a.Class.Name), Model: c.cfg.Model,
			Prompt: a.Prompt, MaxTokens: a.MaxTokens, LastToken: len(result.Tokens), Deadline: result.Deadline,
		}, nil)
	}
	service := requester.ServiceRequest{
		Node: node, Key: a.Account.Key, Method: "GET", Service: string(a.Class.Service), Path: "/items",
		Class: string(a.Class.Name), Deadline: result.Deadline,
	}
	if a.Class.Kind == scheduler.Record {
		service.Method, service.Path, service.IdempotencyKey = "POST", "/entries", result.ID
	}
	return c.requester.Call(ctx, service)
}
