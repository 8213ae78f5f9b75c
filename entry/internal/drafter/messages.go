// Package drafter drives chat completions (drafts): it binds each to a pipeline of targets, issues
// its steps and recovers it when a stage fails. A stage is a range of the model's layers at one
// target. A step runs one stage for one position: the prompt or one generated token.
package drafter

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/checkpointer"
)

// DraftEvent is an event of one draft. The executor routes it to the draft's shard.
type DraftEvent interface{ DraftKey() identifier.DraftID }

// Request is a caller's request for a draft. Token and End are sent as replies to Call. If the
// draft is already running or has ended, the call joins it after LastToken. A draft that ended because
// another node took it over, its callers left or its tokens were lost is started again instead.
type Request struct {
	Call     identifier.CallID
	Draft    identifier.DraftID
	Account  identifier.AccountID
	Team     identifier.TeamID
	Class    identifier.Class
	Priority int
	// Fingerprint is a hash of the body: model, prompt and MaxTokens.
	Fingerprint string
	Model       identifier.ModelID
	// Layers is the number of layers of the model.
	Layers       identifier.Layer
	Prompt       string
	PromptTokens int
	MaxTokens    int
	// LastToken is the number of the last token the caller has, counted from 1; 0 for none.
	LastToken   int
	Deadline    time.Time
	Traceparent string
}

// IsolationKey identifies requests of the same client account with the same body. It is the fingerprint
// under which the isolator knows them.
func (r Request) IsolationKey() string { return string(r.Account) + "/" + r.Fingerprint }

// DraftKey returns the draft's id.
func (r Request) DraftKey() identifier.DraftID { return r.Draft }

// Token is one token of the answer. Number counts from 1.
type Token struct {
	Number int
	Text   string
}

// End is the final reply of a draft.
type End struct {
	Outcome    responder.Outcome
	Tokens     int
	Problem    responder.Problem
	RetryAfter time.Duration
}

// CallerGone reports that a call of a draft was closed.
type CallerGone struct {
	Draft identifier.DraftID
	Call  identifier.CallID
}

// DraftKey returns the draft's id.
func (c CallerGone) DraftKey() identifier.DraftID { return c.Draft }

// SendStep is the effect of sending one step to an engine. StepDone or StepFailed follows.
type SendStep struct {
	Target  identifier.TargetID
	Address string
	Step    enginecaller.Step
	// EarlierSteps holds steps of earlier positions, which rebuild the target's KV cache or fetch tokens
	// that it kept. They are sent in the same call, in order, before Step.
	EarlierSteps []enginecaller.Step
	// Deadline is when the result of the step is expected at the latest.
	Deadline time.Time
	// NewConn makes the call use a new connection.
	NewConn     bool
	Traceparent string
}

// StepDone carries the engine's results for a step and for the EarlierSteps sent with it.
type StepDone struct {
	Target         identifier.TargetID
	Result         enginecaller.StepResult
	EarlierResults []enginecaller.StepResult
}

// DraftKey returns the draft's id.
func (s StepDone) DraftKey() identifier.DraftID { return s.Result.Draft }

// StepFailed reports that a step had no result by its deadline, that the connection broke, that the
// target refused the call, or that this node was too busy to send it.
type StepFailed struct {
	Target identifier.TargetID
	Name   enginecaller.StepName
	// NewConn means that the step was sent on a new connection.
	NewConn bool
	// Status is the HTTP status of a refusal; 0 if there was no response.
	Status int
	// Alive means that the target answered a probe on a new connection while the step was pending, or that nothing says that it has
	// failed, as this node reaches no target at all.
	Alive bool
}

// DraftKey returns the draft's id.
func (s StepFailed) DraftKey() identifier.DraftID { return s.Name.Draft }

// CancelDraft is the effect of cancelling a draft at an engine, including its steps up to Epoch.
type CancelDraft struct {
	Address string
	Draft   identifier.DraftID
	Epoch   identifier.Epoch
}

// ExportKV is the effect of reading a stage's KV cache. KVExported follows.
type ExportKV struct {
	Target   identifier.TargetID
	Address  string
	Draft    identifier.DraftID
	Epoch    identifier.Epoch
	Deadline time.Time
}

// KVExported carries a stage's KV cache, or reports that it could not be read.
type KVExported struct {
	Target identifier.TargetID
	Draft  identifier.DraftID
	Epoch  identifier.Epoch
	KV     enginecaller.KV
	Failed bool
}

// DraftKey returns the draft's id.
func (k KVExported) DraftKey() identifier.DraftID { return k.Draft }

// ImportKV is the effect of loading a KV cache into a target. KVImported follows.
type ImportKV struct {
	Target   identifier.TargetID
	Address  string
	KV       enginecaller.KV
	Deadline time.Time
}

// KVImported reports whether a target loaded a KV cache.
type KVImported struct {
	Target identifier.TargetID
	Draft  identifier.DraftID
	Epoch  identifier.Epoch
	Failed bool
}

// DraftKey returns the draft's id.
func (k KVImported) DraftKey() identifier.DraftID { return k.Draft }

// FindCheckpoint is the effect of asking peers for a draft's newest checkpoint. CheckpointFound
// follows.
type FindCheckpoint struct {
	Draft     identifier.DraftID
	Addresses []string
	Deadline  time.Time
}

// CheckpointFound carries the newest checkpoint that the peers hold. Its Epoch is 0 if there is
// none.
type CheckpointFound struct {
	Draft      identifier.DraftID
	Checkpoint checkpointer.Checkpoint
}

// DraftKey returns the draft's id.
func (c CheckpointFound) DraftKey() identifier.DraftID { return c.Draft }

// SendCheckpoints is the effect of sending checkpoints to the peer at Address.
type SendCheckpoints struct {
	Address     string
	Checkpoints []checkpointer.Checkpoint
}

// CheckpointLost reports that a checkpoint did not reach its peer.
type CheckpointLost struct{ Draft identifier.DraftID }

// DraftKey returns the draft's id.
func (c CheckpointLost) DraftKey() identifier.DraftID { return c.Draft }

// Ended informs the node's other components how a draft ended.
type Ended struct {
	Draft   identifier.DraftID
	Account identifier.AccountID
	Class   identifier.Class
	Outcome responder.Outcome
	Late    bool
	Tokens  int
}
