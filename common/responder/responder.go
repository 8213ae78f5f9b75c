// Package responder writes JSON answers of fasthttp servers in the project's one error shape.
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

// Outcome is the one machine-readable end of a request.
type Outcome string

// Outcomes.
const (
	// Delivered means the whole answer was given.
	Delivered Outcome = "delivered"
	// NotRun means no target can have acted on the request, nor will.
	NotRun Outcome = "not_run"
	// Unknown means the request may have run; ask again with the same key.
	Unknown Outcome = "unknown"
	// Failed means the request began and cannot be completed.
	Failed Outcome = "failed"
	// Refused means the request was not accepted, so it was not run either.
	Refused Outcome = "refused"
)

// Problem is the error shape of every answer that is none of a target's.
type Problem struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Place     string `json:"place,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Key is the key with which to ask again, set with the outcome unknown.
	Key string `json:"key,omitempty"`
}

// Refusal is the body of an answer that carries a problem.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Error   Problem `json:"error"`
}

// JSON answers with v.
func JSON(c *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error("encoding the answer failed", fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}

// Refuse answers with a problem; retryAfter above zero tells when to come back.
func Refuse(c *fasthttp.RequestCtx, status int, outcome Outcome, p Problem, retryAfter time.Duration) {
	if retryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	c.Response.Header.Set("X-Outcome", string(outcome))
	JSON(c, status, Refusal{Outcome: outcome, Error: p})
}

// Decode reads the request's JSON body into v.
func Decode(c *fasthttp.RequestCtx, v any) error {
	return errors.Wrap(json.Unmarshal(c.PostBody(), v), "decoding the body")
}

// Serve serves s on the listener until ctx ends, then waits for open requests until the grace has passed.
func Serve(ctx context.Context, s *fasthttp.Server, l net.Listener, grace time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serving")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return errors.Wrap(s.ShutdownWithContext(stop), "stopping the server")
}
