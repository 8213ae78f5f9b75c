// Package dispatcher decides which target or chain of targets serves each request, whether a
// failed attempt is retried, and how the request ends if it cannot be served.
package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/router"
)

// TableRead is the event that a new version of the configuration was read.
type TableRead struct{ Table *router.Table }

// Confirmed is the event that the store had no newer configuration as of the given time.
type Confirmed struct{ AsOf time.Time }

// Arrived is the event that a request was read completely.
type Arrived struct {
	Call identifier.CallID
	ID   identifier.RequestID
	Host string
	Path string
	Key  string
	// Deadline is when the caller stops waiting; zero if the request does not say.
	Deadline time.Time
	// Fingerprint is the same for requests with the same route, caller and body.
	Fingerprint identifier.Fingerprint
	// Seed is a random number for weighted and randomized choices.
	Seed uint64
}

// CrashesTold is the event that other nodes have reported requests that crashed targets.
type CrashesTold struct{ Crashes []accuser.Crash }

// Accused is the effect that reports crashes that this node has detected to the other nodes.
type Accused struct{ Crashes []accuser.Crash }

// Stopping is the event that the node is about to shut down; it refuses requests from RefuseAt on.
type Stopping struct{ RefuseAt time.Time }

// Outcome is the state or the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Delivered: the complete response was written to the caller.
	Delivered Outcome = iota
	// NotSent: no byte can have reached the target.
	NotSent
	// NotRun: a target answered that the request has not run and never will.
	NotRun
	// Failed: the target answered with an error, which is held back until it is known that no retry follows.
	Failed
	// Broken: the connection broke, or the response was missing or belonged to another request.
	Broken
	// Silent: the attempt is stalled, it delivered nothing within its idle timeout.
	Silent
	// Expired: the request's deadline passed.
	Expired
	// CallerGone: the caller closed its connection.
	CallerGone
)

var outcomeNames = [...]string{"delivered", "not_sent", "not_run", "failed", "broken", "silent", "expired", "caller_gone"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Reported is the event that an attempt has ended or is stalled.
type Reported struct {
	Call    identifier.CallID
	Outcome Outcome
	// Status is the status code of the target's response, 0 if there was none.
	Status int
	// Fault is the address of the target that a refusal names as its cause.
	Fault string
	// Reason is written to the log.
	Reason string
	// Events counts the events that were written to the caller so far.
	Events int
	// ChainQuiet is the time since any request of this node last received data from the first target.
	ChainQuiet time.Duration
	// ChainPace is the typical gap between two events of a request at the first target.
	ChainPace time.Duration
	// FirstByte is the time from the start of the attempt to the first byte of the response, 0 if none was received.
	FirstByte time.Duration
	// LongestGap is the longest gap so far between two events written to the caller.
	LongestGap time.Duration
	Seed       uint64
}

// BudgetShared is the event that this node's share of the retries beyond the ratio has changed.
type BudgetShared struct{ Repeats int }

// Examined is the event that the first target of a stalled chain answered which targets its
// requests wait for, or gave no answer.
type Examined struct {
	Address string
	// Faults are the addresses of the targets that requests wait for.
	Faults []string
	// IsUnanswered says that the first target itself gave no answer.
	IsUnanswered bool
}

// Examine is the effect that asks the first target of a stalled chain which targets its
// requests wait for, once the target's own report can show the stall.
type Examine struct{ Address string }

// Probed is the event that the first target of a stalled stream's chain was probed.
type Probed struct {
	Call identifier.CallID
	// Fault is the address of the target that the request waits for, empty if there is none.
	Fault string
	// IsUnanswered says that the first target itself gave no answer.
	IsUnanswered bool
	Seed         uint64
}

// Send is the effect that sends a request to a target.
type Send struct {
	Call    identifier.CallID
	Target  identifier.TargetID
	Address string
	// Chain is the chain of stages through all layers along which the target forwards the
	// request; empty for a plain service.
	Chain   []describer.Part
	Account identifier.AccountID
	// Deadline ends the request; if no data has arrived by Patience, the attempt is reported as stalled.
	Deadline time.Time
	Patience time.Time
	IsStream bool
	// KeepsSilent keeps the stalled attempt in progress open until this one has delivered something.
	KeepsSilent bool
	// IsFresh requires a new connection, because the request must not run twice.
	IsFresh bool
}

// Wait is the effect that goes on waiting for a stalled attempt.
type Wait struct{ Until time.Time }

// GoBack is the effect that ends the current attempt and resumes the stalled one that was kept.
type GoBack struct{ Until time.Time }

// Probe is the effect that asks a target which targets its requests wait for.
type Probe struct{ Address string }

// Reroute is the effect that asks the first target of a running request to forward it along
// another chain, which begins with the same stage.
type Reroute struct {
	Address string
	Chain   []describer.Part
}

// Rerouted is the event that a reroute was accepted, or refused with a reason.
type Rerouted struct {
	Call    identifier.CallID
	Chain   []describer.Part
	IsTaken bool
	Reason  string
}

// Deliver is the effect that writes the error response that was held back to the caller.
type Deliver struct{}

// Measured is the effect that adds an ended request to the metrics.
type Measured struct{ Sample meter.Sample }

// Refuse is the effect that ends a request with a response generated by this node; a stream
// that has begun is aborted instead.
type Refuse struct {
	Status     int
	RetryAfter time.Duration
	Reason     string
}
