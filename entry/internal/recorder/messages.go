// Package recorder runs non-idempotent requests at most once. The platform's log decides which
// node may dispatch a key, and the recorded outcome is replayed to later requests with that key.
package recorder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
)

// Stream is the log stream of claims, releases, outcomes and carried keys.
const Stream = "records"

// Requested is a caller's request that must run at most once. An Answer is replied to Call.
type Requested struct {
	Call        identifier.CallID
	Key         identifier.RecordKey
	Fingerprint string
	Service     identifier.ServiceID
	Method      string
	Path        string
	Body        []byte
	Header      map[string]string
	Deadline    time.Time
	Traceparent string
}

// Answer is the reply to a Requested.
type Answer struct {
	Outcome responder.Outcome
	Problem responder.Problem
	// Status, Body and ContentType are those of the service's response. Set if Outcome is Delivered.
	Status      int
	Body        []byte
	ContentType string
	// Replayed reports that the answer is the recorded outcome of the key and not the response to a
	// call made for this request.
	Replayed   bool
	RetryAfter time.Duration
}

// CallService is the effect of one call to a service. ServiceAnswered or ServiceFailed follows.
type CallService struct {
	Key         identifier.RecordKey
	Target      identifier.TargetID
	Address     string
	Method      string
	Path        string
	Body        []byte
	Header      map[string]string
	Deadline    time.Time
	Traceparent string
}

// ServiceAnswered brings the service's response.
type ServiceAnswered struct {
	Key         identifier.RecordKey
	Status      int
	Body        []byte
	ContentType string
}

// ServiceFailed reports a call without a response. If NotSent is set, the request cannot have run.
type ServiceFailed struct {
	Key     identifier.RecordKey
	Target  identifier.TargetID
	NotSent bool
}

// EntryKind is the type of a log entry.
type EntryKind string

// The kinds of log entries.
const (
	// EntryClaim asks for the right to dispatch the key. The first claim in log order wins.
	EntryClaim EntryKind = "claim"
	// EntryRelease gives that right up: the owner has not dispatched the key and never will.
	EntryRelease EntryKind = "release"
	// EntryOutcome holds the outcome of the dispatch.
	EntryOutcome EntryKind = "outcome"
	// EntryCarry repeats a key's state before it falls out of the log's retention.
	EntryCarry EntryKind = "carry"
	// EntryRound ends a round of EntryCarry records.
	EntryRound EntryKind = "round"
)

// Owner identifies one incarnation of a node.
type Owner struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// Entry is the body of a log record of the stream.
type Entry struct {
	Kind EntryKind            `json:"kind"`
	Key  identifier.RecordKey `json:"key"`
	// Claim is the record id of the claim that a release or an outcome refers to.
	Claim       string `json:"claim,omitempty"`
	Fingerprint string `json:"fingerprint,omitempty"`
	Owner       Owner  `json:"owner"`
	// At is when the key was claimed, by the owner's clock, in milliseconds since the Unix epoch.
	At          int64             `json:"at_unix_ms,omitempty"`
	Outcome     responder.Outcome `json:"outcome,omitempty"`
	Status      int               `json:"status,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	// Truncated reports that the answer was too long to be recorded.
	Truncated bool `json:"truncated,omitempty"`
	// From and Low belong to a round: every key whose newest record was below the offset Low
	// was appended again at the offset From or later.
	From identifier.Offset `json:"from,omitempty"`
	Low  identifier.Offset `json:"low,omitempty"`
}
