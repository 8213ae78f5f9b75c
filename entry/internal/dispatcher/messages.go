// Package dispatcher decides which target or chain of targets serves each request, whether a
// failed attempt is retried, and how the request ends if it cannot be served.
package dispatcher

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/meter"
	"fuchsiabridge.example/entry/internal/router"
	"fuchsiabridge.example/entry/internal/shedder"
	"fuchsiabridge.example/entry/internal/workestimator"
)

// ConfigurationRead is the event that a version of the configuration was read.
type ConfigurationRead struct {
	Table *router.Table
	// Source says where it was read, and Position up to which place of the store the source had read, for logs.
	Source   string
	Position identifier.StorePosition
}

// ConfigurationConfirmed is the event that the store had no newer configuration as of the given time.
type ConfigurationConfirmed struct{ AsOf time.Time }

// RequestArrived is the event that a request was read completely.
type RequestArrived struct {
	Call identifier.CallID
	ID   identifier.RequestID
	Host string
	Path string
	Key  string
	// Deadline is when the caller stops waiting; zero if the request does not say.
	Deadline time.Time
	// Fingerprint is the same for requests with the same method, host, path and body.
	Fingerprint identifier.Fingerprint
	// Group is the same for requests with the same path, without its query, and body.
	Group identifier.Fingerprint
	// Parts are those of the prompt that other requests share.
	Parts []identifier.PromptPart
	// Size is what the request says of its prompt and its answer.
	Size      workestimator.Size
	BodyBytes int
	// Terms are those under which another node has handed the request over, nil for a request of this node's own caller.
	Terms *delegator.Terms
	// Seed is a random number for weighted and randomized choices.
	Seed uint64
}

// LoadsLearned is the event that targets have reported their load, to this node or to one that it follows.
type LoadsLearned struct{ Reports []loadtracker.Report }

// CrashesReported is the event that other nodes have reported requests that crashed targets, or requests and traits that
// have been answered since they seemed to.
type CrashesReported struct {
	Crashes []crashrecorder.Crash
	Cleared []identifier.Fingerprint
}

// ReportCrashes is the effect that tells the other nodes of crashes that this node has detected, and of
// requests and traits whose crashes count no more since.
type ReportCrashes struct {
	Crashes []crashrecorder.Crash
	Cleared []identifier.Fingerprint
}

// SavePoison is the effect that stores a crash which has confirmed its request as poison. The request may be a trait.
type SavePoison struct{ Crash crashrecorder.Crash }

// CheckTarget is the effect that checks whether a target answers, since an attempt at it ended without an answer.
type CheckTarget struct {
	Target  identifier.TargetID
	Address string
}

// CheckSkipped is the event that a check of a target could not be sent.
type CheckSkipped struct{ Target identifier.TargetID }

// TargetChecked is the event that a target has answered a check, or has not.
type TargetChecked struct {
	Target  identifier.TargetID
	Address string
	// Incarnation is the one that the target reports, 0 if it does not say.
	Incarnation int64
	// IsUnanswered says that the target gave no answer.
	IsUnanswered bool
}

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
	// Stalled: the attempt delivered nothing within its idle timeout.
	Stalled
	// Expired: the request's deadline passed.
	Expired
	// CallerGone: the caller closed its connection.
	CallerGone
)

var outcomeNames = [...]string{"delivered", "not_sent", "not_run", "failed", "broken", "silent", "expired", "caller_gone"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// AttemptReported is the event that an attempt has ended or is stalled.
type AttemptReported struct {
	Call    identifier.CallID
	Outcome Outcome
	// IsLeft says that the node has left an attempt that did not break, so that its target may go on with it.
	IsLeft bool
	// Result is what a delegate has said of a request that was handed over to it, nil if it has not answered.
	Result *delegator.Result
	// Status is the status code of the target's response, 0 if there was none.
	Status int
	// FaultAddress is the address of the target that a refusal names as its cause.
	FaultAddress string
	// Reason is written to the log.
	Reason string
	// Events counts the events that were written to the caller so far.
	Events int
	// ChainIdleTime is the time since any request of this node last received data from the first
	// target, at most the time since the attempt began. It is set if the attempt is stalled.
	ChainIdleTime time.Duration
	// ChainTypicalGap is the typical gap between two events of a request at the first target. It is
	// set if the attempt is stalled.
	ChainTypicalGap time.Duration
	// ChainLongestGap is the longest such gap lately seen, 0 if none was. It is set if the attempt is stalled.
	ChainLongestGap time.Duration
	// IsStalledReadable says that the stalled attempt that was kept has received a further event. It is set if the attempt is stalled too.
	IsStalledReadable bool
	// FirstByte is the time from the start of the attempt to the first byte of the response, 0 if none was received.
	FirstByte time.Duration
	// LongestGap is the longest gap so far between two events written to the caller.
	LongestGap time.Duration
	Seed       uint64
}

// RetryQuotaChanged is the event that this node's share of the retries beyond the ratio has changed.
type RetryQuotaChanged struct {
	Retries int
	// Partitions is the number of partitions from which the share follows, and Generation that of the group.
	Partitions int
	Generation identifier.FencingToken
}

// ChainProbed is the event that the first target of a stalled chain answered which targets its
// requests wait for, or gave no answer.
type ChainProbed struct {
	Target  identifier.TargetID
	Address string
	// FaultAddresses are the addresses of the targets that requests wait for.
	FaultAddresses []string
	// IsUnanswered says that the first target itself gave no answer.
	IsUnanswered bool
}

// ProbeChain is the effect that asks the first target of a stalled chain which targets its
// requests wait for. The target is asked after a short delay, because its report lags behind.
type ProbeChain struct {
	Target  identifier.TargetID
	Address string
}

// Probed is the event that the first target of a stalled stream's chain was probed.
type Probed struct {
	Call identifier.CallID
	// FaultAddress is the address of the target that the request waits for, empty if there is none.
	FaultAddress string
	// IsUnanswered says that the first target itself gave no answer.
	IsUnanswered bool
	// IsUnreached says that it was not asked, as the path to the targets is lost.
	IsUnreached bool
	Seed        uint64
}

// Send is the effect that sends a request to a target.
type Send struct {
	Call    identifier.CallID
	Target  identifier.TargetID
	Address string
	// Chain is the chain of stages through all layers along which the target forwards the
	// request; empty for a plain service.
	Chain   []describer.Stage
	Account identifier.AccountID
	// Deadline ends the request; if no data has arrived by IdleDeadline, the attempt is reported as stalled.
	Deadline     time.Time
	IdleDeadline time.Time
	IsStream     bool
	// KeepsStalled keeps the stalled attempt in progress open until this one has delivered something.
	KeepsStalled bool
	// NewConn makes the attempt use a new connection. It is set if the request must not run twice.
	NewConn bool
	// Priority orders the requests that wait at the target, if the request IsRanked.
	IsRanked bool
	Priority shedder.Priority
	// Runs counts the attempts that may have run the request, with this one.
	Runs int
	// Delegate is the node that the request is handed over to in place of a target, under the Terms; empty if it is sent to one.
	Delegate identifier.NodeID
	Terms    delegator.Terms
}

// AskDelegate is the effect that looks for another node that reaches the targets of a service, none of the tried ones.
type AskDelegate struct {
	Service identifier.ServiceID
	Tried   []identifier.NodeID
}

// DelegateFound is the event that a search for a delegate has ended.
type DelegateFound struct {
	Call identifier.CallID
	// Node is the delegate, empty if there is none, and Address where it takes requests.
	Node         identifier.NodeID
	Address      string
	IsCallerGone bool
	Seed         uint64
}

// DropDelegate is the effect that forgets a delegate for a while: it has refused a request, or did not answer.
type DropDelegate struct {
	Service identifier.ServiceID
	Node    identifier.NodeID
}

// CheckPath is the effect that opens a connection to a target that this node does not reach, to find out whether it does again.
type CheckPath struct {
	Target  identifier.TargetID
	Address string
}

// PathChecked is the event that a target was reached, or was not.
type PathChecked struct {
	Target    identifier.TargetID
	Address   string
	IsReached bool
}

// ChainsWanted is the event that the chains of a service are looked at, or those of all services if it is empty. Requests plan the chains
// that they need themselves.
type ChainsWanted struct{ Service identifier.ServiceID }

// AskGrant is the effect that asks whether a request may be sent to a target that names a request limit.
type AskGrant struct{ Limit limiter.Report }

// GrantAnswered is the event that a grant was given or denied.
type GrantAnswered struct {
	Call      identifier.CallID
	IsGranted bool
	// Until is until when the request may be sent, or when the next grant may be asked for.
	Until time.Time
	// Known is what the node that grants knows of the limit; nil if it did not answer.
	Known *limiter.Report
	// Reason says why a grant was denied.
	Reason       string
	IsCallerGone bool
	Seed         uint64
}

// ReportLimit is the effect that tells other nodes of a limit that a target names, or no longer names.
type ReportLimit struct{ Limit limiter.Report }

// Hold is the effect that waits before the request is sent, because another copy of it is being tried.
type Hold struct{ Until time.Time }

// HoldEnded is the event that the time of a hold is over, or that its caller has disconnected.
type HoldEnded struct {
	Call         identifier.CallID
	IsCallerGone bool
	Seed         uint64
}

// Wait is the effect that goes on waiting for a stalled attempt, with Until as its idle deadline.
type Wait struct{ Until time.Time }

// ResumeStalled is the effect that ends the current attempt and resumes the stalled one that was
// kept, with Until as its idle deadline.
type ResumeStalled struct{ Until time.Time }

// Probe is the effect that asks the first target of a stalled stream's chain which target the
// stream waits for.
type Probe struct {
	Target  identifier.TargetID
	Address string
}

// Reroute is the effect that asks the first target of a running request to forward it along
// another chain, which begins with the same stage.
type Reroute struct {
	Address string
	Chain   []describer.Stage
}

// Rerouted is the event that a reroute was accepted, or refused with a reason.
type Rerouted struct {
	Call       identifier.CallID
	Chain      []describer.Stage
	IsAccepted bool
	Reason     string
	// FaultAddress is the address of the target of the chain that a refusal names as its cause: it does not hold the
	// layers, or has no room.
	FaultAddress string
	// IsUnanswered says that the first target gave no answer.
	IsUnanswered bool
	Seed         uint64
}

// Deliver is the effect that writes the error response that was held back to the caller.
type Deliver struct{}

// RecordMove is the effect that adds how a stream was continued to the metrics.
type RecordMove struct{ Move meter.Move }

// RecordSample is the effect that adds an ended request to the metrics.
type RecordSample struct{ Sample meter.Sample }

// Refuse is the effect that ends a request with a response generated by this node; a stream
// that has begun is aborted instead.
type Refuse struct {
	Status     int
	RetryAfter time.Duration
	Reason     string
	// Result is for the node that has handed the request over.
	Result delegator.Result
}
