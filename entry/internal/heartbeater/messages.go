package heartbeater

import (
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

// State is the believed state of a peer.
type State string

// The states of a peer.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Heartbeat is the message that nodes exchange.
type Heartbeat struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Refutation counts the suspicions of this incarnation that the node has refuted.
	Refutation uint64                `json:"refutation,omitempty"`
	Address    string                `json:"address"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	Leaving    bool                  `json:"leaving"`
	// Offset is the node's applied offset of the log.
	Offset identifier.Offset `json:"offset"`
	// AskAll requests all members and the VM list in the answer. Set by a node that has just started.
	AskAll bool `json:"ask_all,omitempty"`
	// HasVMList reports that VMs is the sender's VM list, even if it is empty.
	HasVMList bool                `json:"listed,omitempty"`
	VMs       []platformcaller.VM `json:"vms,omitempty"`
	Members   []Member            `json:"members,omitempty"`
	Reports   []watcher.Report    `json:"reports,omitempty"`
}

// Member is what a node reports about another node.
type Member struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Refutation  uint64                 `json:"refutation,omitempty"`
	Address     string                 `json:"address"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	State       State                  `json:"state"`
}

// SendHeartbeat is the effect of one heartbeat. HeartbeatAnswered or HeartbeatFailed follows.
type SendHeartbeat struct {
	Address   string
	Heartbeat Heartbeat
}

// HeartbeatAnswered brings a peer's answer to this node's heartbeat.
type HeartbeatAnswered struct{ Heartbeat Heartbeat }

// HeartbeatReceived brings a peer's heartbeat. This node's own is replied to Call.
type HeartbeatReceived struct {
	Call      identifier.CallID
	Heartbeat Heartbeat
}

// HeartbeatFailed reports that a heartbeat got no answer in time.
type HeartbeatFailed struct{ Address string }

// Peer is what is known of one peer.
type Peer struct {
	Heartbeat
	State State `json:"state"`
}

// PeersChanged brings all peers, sorted by id.
type PeersChanged struct{ Peers []Peer }

// LeavingStarted reports that this node has begun to shut down.
type LeavingStarted struct{}

// OffsetApplied brings the node's applied offset of the log.
type OffsetApplied struct{ Offset identifier.Offset }
