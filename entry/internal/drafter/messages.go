// Package drafter decides drafts: the pipeline each runs on, its next step, and
// what to do when a stage fails.
package drafter

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
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
	// Deadline is the instant by which the step's answer is expected.
	Deadline time.Time
	// Fresh asks for a new connection.
	Fresh       bool
	Traceparent string
}

// StepDone brings the engine's answer to a step.
type StepDone struct {
	Target identifier.TargetID
	Result enginecaller.StepResult
}

// DraftKey names the draft.
func (s StepDone) DraftKey() identifier.DraftID { return s.Result.Draft }

// StepFailed says that a step brought no answer by its deadline, or that the connection broke.
type StepFailed struct {
	Target identifier.TargetID
	Name   enginecaller.StepName
	Fresh  bool
}

// DraftKey names the draft.
func (s StepFailed) DraftKey() identifier.DraftID { return s.Name.Draft }

// CancelDraft is the effect of dropping a draft at an engine, with its steps up to Epoch.
type CancelDraft struct {
	Address string
	Draft   identifier.DraftID
	Epoch   identifier.Epoch
}

// Ended tells the node's other concerns how a draft ended.
type Ended struct {
	Draft   identifier.DraftID
	Account identifier.AccountID
	Class   identifier.Class
	Outcome responder.Outcome
	Late    bool
	Tokens  int
}
