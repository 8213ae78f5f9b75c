// Package dispatcher decides where each request goes, whether it goes again, and how it
// ends when it cannot be served.
package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/router"
)

// TableRead is the event that a version of the configuration was read.
type TableRead struct{ Table *router.Table }

// Confirmed is the event that the store has shown the newest configuration as of an instant.
type Confirmed struct{ AsOf time.Time }

// Arrived is the event that a request was read whole.
type Arrived struct {
	Call identifier.CallID
	ID   identifier.RequestID
	Host string
	Path string
	Key  string
	// Deadline is how long the caller waits; zero when it does not say.
	Deadline time.Time
	// Fingerprint tells requests with the same route, caller and body.
	Fingerprint identifier.Fingerprint
	// Seed is a random number.
	Seed uint64
}

// CrashesTold is the event that other nodes have seen requests crash targets.
type CrashesTold struct{ Crashes []accuser.Crash }

// Accused is the effect that tells other nodes of crashes that this one has seen.
type Accused struct{ Crashes []accuser.Crash }

// Stopping is the event that the node will stop; from the instant RefuseAt it takes no more requests.
type Stopping struct{ RefuseAt time.Time }

// Outcome says how an attempt stands or ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Delivered: the whole answer was handed to the caller.
	Delivered Outcome = iota
	// NotSent: no byte can have reached the target.
	NotSent
	// NotRun: a target said that the request did not run and never will.
	NotRun
	// Failed: the target answered with a failure, which is held back.
	Failed
	// Broken: the connection broke, or the answer was none or another request's.
	Broken
	// Silent: nothing came by the instant that the attempt was given.
	Silent
	// Expired: the request's deadline passed.
	Expired
	// CallerGone: the caller closed its connection.
	CallerGone
)

var outcomeNames = [...]string{"delivered", "not_sent", "not_run", "failed", "broken", "silent", "expired", "caller_gone"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Reported is the event that an attempt stands or ended so.
type Reported struct {
	Call    identifier.CallID
	Outcome Outcome
	// Status is what the target answered, 0 when it did not.
	Status int
	// Fault is the address that a target blames for a refusal.
	Fault string
	// Reason is for the logs.
	Reason string
	// Events counts the events that the caller was handed so far.
	Events int
	// ChainQuiet is how long no request of this node got anything from the first target.
	ChainQuiet time.Duration
	// ChainPace is the usual pause between two events of a request there.
	ChainPace time.Duration
	// FirstByte is the time from the send to the answer's first byte, 0 when none came.
	FirstByte time.Duration
	// LongestGap is the longest pause so far between two events that the caller was handed.
	LongestGap time.Duration
	Seed       uint64
}

// BudgetShared is the event that this node's part of the repeats that are allowed beyond the ratio changed.
type BudgetShared struct{ Repeats int }

// Examined is the event that the first target of a silent chain was asked for whom its requests wait.
type Examined struct {
	Address string
	// Faults are the addresses of the targets waited for.
	Faults []string
	// IsUnanswered says that the first target itself gave no answer.
	IsUnanswered bool
}

// Examine is the effect that asks the first target of a silent chain, once its report can show the silence.
type Examine struct{ Address string }

// Probed is the event that the first target of a silent stream's chain was asked.
type Probed struct {
	Call identifier.CallID
	// Fault is the address of the target that the request waits for, empty when there is none.
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
	// Chain is the way through the layers that the target leads the request on, empty for a plain service.
	Chain   []describer.Part
	Account identifier.AccountID
	// Deadline ends the request, Patience is when silence is to be reported.
	Deadline time.Time
	Patience time.Time
	IsStream bool
	// KeepsSilent asks that the silent attempt in hand be kept until this one hands on something.
	KeepsSilent bool
	// IsFresh asks for a new connection, as the request must not run twice.
	IsFresh bool
}

// Wait is the effect that goes on waiting for a silent attempt.
type Wait struct{ Until time.Time }

// GoBack is the effect that ends the attempt and waits again for the silent one that was kept.
type GoBack struct{ Until time.Time }

// Probe is the effect that asks a target which requests wait for whom.
type Probe struct{ Address string }

// Reroute is the effect that has the first target of a running request lead it along
// another chain, which begins with the same part.
type Reroute struct {
	Address string
	Chain   []describer.Part
}

// Rerouted is the event that a reroute was taken, or refused for a reason.
type Rerouted struct {
	Call    identifier.CallID
	Chain   []describer.Part
	IsTaken bool
	Reason  string
}

// Deliver is the effect that hands the caller the failure that was held back.
type Deliver struct{}

// Measured is the effect that counts a request that has ended.
type Measured struct{ Sample meter.Sample }

// Refuse is the effect that ends a request with an answer of the node's own; a stream that
// has begun is broken off instead.
type Refuse struct {
	Status     int
	RetryAfter time.Duration
	Reason     string
}
