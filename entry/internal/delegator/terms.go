// Package delegator lets nodes hand requests over to other nodes, their delegates, while they do not reach the targets themselves.
package delegator

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

// Field is the header field in which a node tells its delegate the terms of a request, and the delegate how the request went.
const Field = "Fuchsiabridge-Delegated"

// Header is a header of a request or an answer.
type Header interface {
	Peek(name string) []byte
	Set(name, value string)
	Del(name string)
}

// Terms are what a node hands over with a request.
type Terms struct {
	// Version is that of the configuration by which the node has accepted the request. The delegate must not use an older one.
	Version int64 `json:"version"`
	// MaxRuns limits the attempts of the delegate that may run the request.
	MaxRuns int `json:"max_runs"`
	// IsCounted says that the request has been counted for the retry budget of its service.
	IsCounted bool `json:"is_counted,omitempty"`
	// HasArrived says that an earlier attempt may have reached a target, so that each further one is a retry.
	HasArrived bool `json:"has_arrived,omitempty"`
}

// Result is how a delegated request went, as far as the delegate knew when its answer began.
type Result struct {
	// IsNotRun promises that no target runs the request for this delegate.
	IsNotRun bool `json:"is_not_run,omitempty"`
	// Runs counts the attempts that may have run the request, HasArrived says that one has reached a target.
	Runs       int  `json:"runs"`
	HasArrived bool `json:"has_arrived,omitempty"`
	// Target is the target that has given the answer, empty if the delegate has.
	Target identifier.TargetID `json:"target,omitempty"`
}

// WriteTerms sets the terms in the header of a request.
func WriteTerms(h Header, t Terms) error { return write(h, t) }

// ReadTerms takes the terms out of the header of a request.
func ReadTerms(h Header) (Terms, error) { return read[Terms](h) }

// WriteResult sets the result in the header of an answer.
func WriteResult(h Header, r Result) error { return write(h, r) }

// ReadResult takes the result out of the header of an answer.
func ReadResult(h Header) (Result, error) { return read[Result](h) }

func write(h Header, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encoding a delegation")
	}
	h.Set(Field, string(raw))
	return nil
}

func read[T any](h Header) (T, error) {
	var value T
	err := json.Unmarshal(h.Peek(Field), &value)
	h.Del(Field)
	return value, errors.Wrap(err, "decoding a delegation")
}
