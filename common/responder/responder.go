// Package responder writes the JSON responses of fasthttp servers, with one format for all errors, and
// runs servers with a graceful shutdown.
package responder

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Outcome is the machine-readable outcome of a request.
type Outcome string

// Outcomes.
const (
	// Delivered means that the complete answer was sent.
	Delivered Outcome = "delivered"
	// NotRun means that no target has run the request or will run it, so it is safe to retry.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run; the caller may retry it with the same key to learn the
	// outcome.
	Unknown Outcome = "unknown"
	// Failed means that the request was started and cannot be completed.
	Failed Outcome = "failed"
	// Refused means that the request was rejected and therefore not run.
	Refused Outcome = "refused"
)

// Problem is the error in every response that does not come from a target. Place names what it concerns: a
// part of the request, such as "body", or of the system, such as "log", "admission" or "services/ID".
type Problem struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Place     string `json:"place,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Key is the idempotency key or the change id with which to retry the request; it is set if the
	// outcome is Unknown.
	Key string `json:"key,omitempty"`
}

// Refusal is the body of an error response.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Error   Problem `json:"error"`
}

// JSON responds with v encoded as JSON.
func JSON(c *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error("encoding the response failed", fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}

// Refuse responds with a problem. If retryAfter is positive, it sets the Retry-After header.
func Refuse(c *fasthttp.RequestCtx, status int, outcome Outcome, p Problem, retryAfter time.Duration) {
	if retryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	c.Response.Header.Set("X-Outcome", string(outcome))
	JSON(c, status, Refusal{Outcome: outcome, Error: p})
}

// Decode decodes the request's JSON body into v.
func Decode(c *fasthttp.RequestCtx, v any) error {
	return errors.Wrap(json.Unmarshal(c.PostBody(), v), "decoding the request body")
}

// Serve runs s on the listener until ctx ends. It then stops accepting connections and waits for open
// requests, for at most the grace period.
func Serve(ctx context.Context, s *fasthttp.Server, l net.Listener, grace time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return errors.Wrap(s.ShutdownWithContext(shutdownCtx), "stopping the server")
}
