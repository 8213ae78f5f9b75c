// Package isolator finds requests that crash the targets that run them. Requests that ran on a
// failed target become poison candidates and are retried one at a time per target; one whose target
// fails again is confirmed as poison and refused.
package isolator

import "fuchsiabridge.example/common/identifier"

// StageLost reports that a target failed while it ran a step of a draft: one stage of its pipeline, for
// one position. The draft's shard pauses the draft until the Decision.
type StageLost struct {
	Draft identifier.DraftID
	// Fingerprint identifies the request by client account and body; a retry has the same one.
	Fingerprint string
	Target      identifier.TargetID
	// WasAlone means that the lost step ran under an earlier RunAlone decision.
	WasAlone bool
	// Candidates holds the targets that could run the lost step, best first.
	Candidates []identifier.TargetID
}

// StagePassed reports that a draft under a RunAlone decision completed the step for which it was a
// poison candidate.
type StagePassed struct {
	Draft       identifier.DraftID
	Fingerprint string
	Target      identifier.TargetID
}

// DecisionKind tells how a draft continues.
type DecisionKind int

// Decision kinds.
const (
	// RunUnrestricted lets the draft continue like any other.
	RunUnrestricted DecisionKind = iota
	// RunAlone lets the lost step run at Target, where no other poison candidate runs. StagePassed
	// or StageLost follows.
	RunAlone
	// Refuse ends the draft because its request crashes targets.
	Refuse
)

// Decision is the reply to a StageLost. It is routed to the draft's shard.
type Decision struct {
	Draft  identifier.DraftID
	Kind   DecisionKind
	Target identifier.TargetID
}

// DraftKey returns the draft's id.
func (r Decision) DraftKey() identifier.DraftID { return r.Draft }

// PoisonConfirmed tells this node's admission which fingerprints to refuse.
type PoisonConfirmed struct{ Fingerprints []string }

// PoisonCandidates tells this node's admission which fingerprints to hold, since there is no decision
// about them yet.
type PoisonCandidates struct{ Fingerprints []string }

// Trial is the run of a poison candidate at a target without other candidates.
type Trial struct {
	Fingerprint string              `json:"fingerprint"`
	Target      identifier.TargetID `json:"target"`
}

// Notice is what a node reports to its peers about poison candidates. It may be duplicated,
// reordered or lost.
type Notice struct {
	Node identifier.NodeID `json:"node"`
	// Number increases with each notice of a node.
	Number int64 `json:"number"`
	// Candidates, Queued and Trials are the node's complete state at the time of the notice. Queued
	// are the trials that it starts when no peer has precedence.
	Candidates []string `json:"suspects,omitempty"`
	Queued     []Trial  `json:"wanted,omitempty"`
	Trials     []Trial  `json:"trials,omitempty"`
	// Cleared and Confirmed hold recent decisions.
	Cleared   []string `json:"cleared,omitempty"`
	Confirmed []string `json:"convicted,omitempty"`
}

// NoticeReceived carries a peer's notice.
type NoticeReceived struct{ Notice Notice }

// NotifyPeers is the effect of sending one notice to each address. The executor fills in the node.
type NotifyPeers struct {
	Addresses []string
	Notice    Notice
}
