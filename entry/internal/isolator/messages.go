// Package isolator decides which requests crash the targets that run them: what a
// target ran when it died is suspect, a suspect runs beside no other suspect, and
// one whose target dies again is convicted.
package isolator

import "fuchsiabridge.example/common/identifier"

// StageLost says that a target died while it ran a step of a draft. The draft's
// shard holds the draft until the Ruling.
type StageLost struct {
	Draft identifier.DraftID
	// Fingerprint is the request's, of client account and body; a request sent again has the same.
	Fingerprint string
	Target      identifier.TargetID
	// Ruled says that the lost step ran under an earlier ruling RunAlone.
	Ruled bool
	// Candidates holds the targets that could run the lost step, best first.
	Candidates []identifier.TargetID
}

// StagePassed says that a draft under the ruling RunAlone got past the step it was suspected for.
type StagePassed struct {
	Draft       identifier.DraftID
	Fingerprint string
	Target      identifier.TargetID
}

// RulingKind says how a draft goes on.
type RulingKind int

// Kinds of rulings.
const (
	// RunFreely lets the draft go on as any other.
	RunFreely RulingKind = iota
	// RunAlone lets the lost step run at Target, where no other suspect runs; StagePassed or StageLost follows.
	RunAlone
	// Refuse ends the draft: its request crashes targets.
	Refuse
)

// Ruling answers a StageLost; it is routed to the draft's shard.
type Ruling struct {
	Draft  identifier.DraftID
	Kind   RulingKind
	Target identifier.TargetID
}

// DraftKey names the draft.
func (r Ruling) DraftKey() identifier.DraftID { return r.Draft }

// Convicted brings, to the admission of every node, the fingerprints that are refused.
type Convicted struct{ Fingerprints []string }

// Suspected brings, to the admission of this node, the fingerprints that wait for a verdict.
type Suspected struct{ Fingerprints []string }

// Trial is the run of a suspect alone at a target.
type Trial struct {
	Fingerprint string              `json:"fingerprint"`
	Target      identifier.TargetID `json:"target"`
}

// Notice is what nodes tell each other of suspects. It may come twice, out of order or not at all.
type Notice struct {
	Node identifier.NodeID `json:"node"`
	// Number grows with each notice of a node.
	Number int64 `json:"number"`
	// Suspects, Wanted and Trials are all of the node's as of the notice; wanted are the
	// trials that it would begin when it is their turn.
	Suspects []string `json:"suspects,omitempty"`
	Wanted   []Trial  `json:"wanted,omitempty"`
	Trials   []Trial  `json:"trials,omitempty"`
	// Cleared and Convicted came up of late.
	Cleared   []string `json:"cleared,omitempty"`
	Convicted []string `json:"convicted,omitempty"`
}

// Heard brings a peer's notice.
type Heard struct{ Notice Notice }

// TellPeers is the effect of one notice to each address; the shell sets its node.
type TellPeers struct {
	Addresses []string
	Notice    Notice
}
