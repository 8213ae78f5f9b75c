package heartbeater

import (
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

// State says what is believed of a peer.
type State string

// States of a peer.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Heartbeat is what nodes tell each other.
type Heartbeat struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Refutation counts the suspicions of this incarnation that the node has denied.
	Refutation uint64                `json:"refutation,omitempty"`
	Address    string                `json:"address"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Leaving    bool                  `json:"leaving"`
	// Offset is the node's applied offset of the log.
	Offset identifier.Offset `json:"offset"`
	// AskAll asks for all members and the VM list in the answer; a node that has just started sets it.
	AskAll bool `json:"ask_all,omitempty"`
	// Listed says that VMs is the VM list that the node has, be it empty.
	Listed  bool                `json:"listed,omitempty"`
	VMs     []platformcaller.VM `json:"vms,omitempty"`
	Members []Member            `json:"members,omitempty"`
	Reports []watcher.Report    `json:"reports,omitempty"`
}

// Member is what a node tells of another.
type Member struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Refutation  uint64                 `json:"refutation,omitempty"`
	Address     string                 `json:"address"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	State       State                  `json:"state"`
}

// SendHeartbeat is the effect of one heartbeat; Heard or Unanswered follows.
type SendHeartbeat struct {
	Address   string
	Heartbeat Heartbeat
}

// Heard brings a peer's answer to our heartbeat.
type Heard struct{ Heartbeat Heartbeat }

// Asked brings a peer's heartbeat; this node's own is replied to Call.
type Asked struct {
	Call      identifier.CallID
	Heartbeat Heartbeat
}

// Unanswered says that a heartbeat got no answer in time.
type Unanswered struct{ Address string }

// Peer is what is known of one peer.
type Peer struct {
	Heartbeat
	State State `json:"state"`
}

// PeersChanged brings all peers, in the order of their ids.
type PeersChanged struct{ Peers []Peer }

// LeavingStarted says that this node has begun to stop.
type LeavingStarted struct{}

// OffsetApplied tells the node's applied offset of the log.
type OffsetApplied struct{ Offset identifier.Offset }
