// Package drafter decides drafts: the pipeline each runs on, its next step, and
// what to do when a stage fails.
package drafter

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/checkpointer"
)

// Keyed is an event of one draft; the shell routes it to the draft's shard.
type Keyed interface{ DraftKey() identifier.DraftID }

// Arrived is a caller's request for a draft; Token and End are replied to Call. A
// request whose draft runs or has ended joins it after LastToken.
type Arrived struct {
	Call        identifier.CallID
	Draft       identifier.DraftID
	Account     identifier.AccountID
	Team        identifier.TeamID
	Class       identifier.Class
	Priority    int
	Fingerprint string
	Model       identifier.ModelID
	Layers      identifier.Layer
	Prompt      string
	// PromptTokens counts the prompt's tokens.
	PromptTokens int
	MaxTokens    int
	// LastToken is the number of the last token the caller has, from 1; 0 for none.
	LastToken   int
	Deadline    time.Time
	Traceparent string
}

// DraftKey names the draft.
func (a Arrived) DraftKey() identifier.DraftID { return a.Draft }

// Token is one token of the answer; Number counts from 1.
type Token struct {
	Number int
	Text   string
}

// End is the end of a draft.
type End struct {
	Outcome    responder.Outcome
	Tokens     int
	Problem    responder.Problem
	RetryAfter time.Duration
}

// CallerGone says that a call of a draft is no longer open.
type CallerGone struct {
	Draft identifier.DraftID
	Call  identifier.CallID
}

// DraftKey names the draft.
func (c CallerGone) DraftKey() identifier.DraftID { return c.Draft }

// SendStep is the effect of one step; StepDone or StepFailed follows.
type SendStep struct {
	Target  identifier.TargetID
	Address string
	Step    enginecaller.Step
	// Before holds the steps of earlier positions that rebuild the target's KV cache;
	// they go in the same call, in order, before Step.
	Before []enginecaller.Step
	// Deadline is the instant by which the step's answer is expected.
	Deadline time.Time
	// Fresh asks for a new connection.
	Fresh       bool
	Traceparent string
}

// StepDone brings the engine's answer to a step and to the steps before it.
type StepDone struct {
	Target identifier.TargetID
	Result enginecaller.StepResult
	Before []enginecaller.StepResult
}

// DraftKey names the draft.
func (s StepDone) DraftKey() identifier.DraftID { return s.Result.Draft }

// StepFailed says that a step brought no answer by its deadline, that the connection
// broke, or that the target refused the call.
type StepFailed struct {
	Target identifier.TargetID
	Name   enginecaller.StepName
	Fresh  bool
	// Status is the HTTP status of a refusal; 0 when there was no answer.
	Status int
	// Alive says that the target answered a probe on a new connection while the step waited.
	Alive bool
}

// DraftKey names the draft.
func (s StepFailed) DraftKey() identifier.DraftID { return s.Name.Draft }

// CancelDraft is the effect of dropping a draft at an engine, with its steps up to Epoch.
type CancelDraft struct {
	Address string
	Draft   identifier.DraftID
	Epoch   identifier.Epoch
}

// ExportKV is the effect of reading a stage's KV cache; KVExported follows.
type ExportKV struct {
	Target   identifier.TargetID
	Address  string
	Draft    identifier.DraftID
	Epoch    identifier.Epoch
	Deadline time.Time
}

// KVExported brings a stage's KV cache, or says that it could not be read.
type KVExported struct {
	Target identifier.TargetID
	Draft  identifier.DraftID
	Epoch  identifier.Epoch
	KV     enginecaller.KV
	Failed bool
}

// DraftKey names the draft.
func (k KVExported) DraftKey() identifier.DraftID { return k.Draft }

// ImportKV is the effect of giving a stage's KV cache to a target; KVImported follows.
type ImportKV struct {
	Target   identifier.TargetID
	Address  string
	KV       enginecaller.KV
	Deadline time.Time
}

// KVImported says that a target took a KV cache, or failed to.
type KVImported struct {
	Target identifier.TargetID
	Draft  identifier.DraftID
	Epoch  identifier.Epoch
	Failed bool
}

// DraftKey names the draft.
func (k KVImported) DraftKey() identifier.DraftID { return k.Draft }

// FindCheckpoint is the effect of asking peers for a draft's newest checkpoint; CheckpointFound follows.
type FindCheckpoint struct {
	Draft     identifier.DraftID
	Addresses []string
	Deadline  time.Time
}

// CheckpointFound brings the newest checkpoint that the peers have; its Epoch is 0 when they have none.
type CheckpointFound struct {
	Draft      identifier.DraftID
	Checkpoint checkpointer.Checkpoint
}

// DraftKey names the draft.
func (c CheckpointFound) DraftKey() identifier.DraftID { return c.Draft }

// SendCheckpoints is the effect of giving checkpoints to the peer at Address.
type SendCheckpoints struct {
	Address     string
	Checkpoints []checkpointer.Checkpoint
}

// CheckpointLost says that a checkpoint did not reach its peer.
type CheckpointLost struct{ Draft identifier.DraftID }

// DraftKey names the draft.
func (c CheckpointLost) DraftKey() identifier.DraftID { return c.Draft }

// Ended tells the node's other concerns how a draft ended.
type Ended struct {
	Draft   identifier.DraftID
	Account identifier.AccountID
	Class   identifier.Class
	Outcome responder.Outcome
	Late    bool
	Tokens  int
}
