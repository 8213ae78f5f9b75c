// Package recorder decides requests that must run at most once: the platform's log
// arbitrates who may dispatch a key, and what came of it is answered again.
package recorder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
)

// Stream is the log stream that holds claims, releases and outcomes.
const Stream = "records"

// Requested is a caller's request that must run at most once; an Answer is replied to Call.
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

// Answer is the one answer to a Requested.
type Answer struct {
	Outcome responder.Outcome
	Problem responder.Problem
	// Status, Body and ContentType are the service's, with the outcome Delivered.
	Status      int
	Body        []byte
	ContentType string
	// Replayed says that the answer was recorded earlier.
	Replayed   bool
	RetryAfter time.Duration
}

// CallService is the effect of one call to a service; ServiceAnswered or ServiceFailed follows.
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

// ServiceAnswered brings the service's answer.
type ServiceAnswered struct {
	Key         identifier.RecordKey
	Status      int
	Body        []byte
	ContentType string
}

// ServiceFailed says that the call brought no answer; with NotSent it cannot have run.
type ServiceFailed struct {
	Key     identifier.RecordKey
	Target  identifier.TargetID
	NotSent bool
}

// EntryKind says what a log entry of the stream means.
type EntryKind string

// Kinds of log entries.
const (
	// EntryClaim asks for the right to dispatch the key; the first in log order wins.
	EntryClaim EntryKind = "claim"
	// EntryRelease gives the right back; the owner has not dispatched and will not.
	EntryRelease EntryKind = "release"
	// EntryOutcome holds what came of the dispatch.
	EntryOutcome EntryKind = "outcome"
	// EntryCarry tells a key's state again, before the log forgets it.
	EntryCarry EntryKind = "carry"
	// EntryRound ends a round of such records.
	EntryRound EntryKind = "round"
)

// Owner names one incarnation of a node.
type Owner struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
}

// Entry is the body of one log record of the stream.
type Entry struct {
	Kind EntryKind            `json:"kind"`
	Key  identifier.RecordKey `json:"key"`
	// Claim is the id of the claim's log record that a release or an outcome is about.
	Claim       string `json:"claim,omitempty"`
	Fingerprint string `json:"fingerprint,omitempty"`
	Owner       Owner  `json:"owner"`
	// At is when the key was claimed, by its owner's clock, in milliseconds since the Unix epoch.
	At          int64             `json:"at_unix_ms,omitempty"`
	Outcome     responder.Outcome `json:"outcome,omitempty"`
	Status      int               `json:"status,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	// Truncated says that the answer was too long to be kept.
	Truncated bool `json:"truncated,omitempty"`
	// From and Low say of a round that each key whose newest record lay below the offset
	// Low was told again at an offset of at least From.
	From identifier.Offset `json:"from,omitempty"`
	Low  identifier.Offset `json:"low,omitempty"`
}
