package watcher

import (
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

// State says whether a target may be given work.
type State string

// States of a target.
const (
	StateUnknown State = "unknown"
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateDown    State = "down"
)

// Target is what is known of one target. It is replaced, never changed, once published.
type Target struct {
	ID         identifier.TargetID
	Role       string
	Service    identifier.ServiceID
	Address    string
	DataCentre identifier.DataCentre
	State      State
	// Status is an engine's last report; its load lags.
	Status enginecaller.Status
}

// ReadVMs is the effect of reading the VM list; VMsRead follows if it succeeds.
type ReadVMs struct{}

// VMsRead brings the VM list.
type VMsRead struct{ VMs []platformcaller.VM }

// ReadStatus is the effect of polling an engine; StatusRead or StatusFailed follows.
type ReadStatus struct {
	Target  identifier.TargetID
	Address string
}

// StatusRead brings an engine's report.
type StatusRead struct {
	Address string
	Status  enginecaller.Status
}

// StatusFailed says that a target did not answer its poll or probe.
type StatusFailed struct {
	Target  identifier.TargetID
	Address string
}

// ProbeService is the effect of dialling a plain service that failed; ServiceReached or StatusFailed follows.
type ProbeService struct {
	Target  identifier.TargetID
	Address string
}

// ServiceReached says that a plain service accepts connections again.
type ServiceReached struct {
	Target  identifier.TargetID
	Address string
}

// TargetFailed is evidence from work: a fresh connection to the target failed, or it timed out.
type TargetFailed struct{ Target identifier.TargetID }

// TargetsChanged brings all targets, in the order of their ids.
type TargetsChanged struct{ Targets []Target }

// Observer is a node that may watch targets for the others.
type Observer struct {
	Node       identifier.NodeID
	DataCentre identifier.DataCentre
}

// ObserversChanged brings the nodes that may observe: those that are alive, and this one.
type ObserversChanged struct{ Observers []Observer }

// Report is what one node tells the others of one target.
type Report struct {
	Target   identifier.TargetID `json:"target"`
	Observer identifier.NodeID   `json:"observer"`
	// Sequence orders the reports of one observer, over its restarts too.
	Sequence uint64 `json:"sequence"`
	// Down says that the observer cannot reach the target.
	Down bool `json:"down,omitempty"`
	// Unseen says that the sender has not reached the target itself; it only passes on that it is leaving.
	Unseen bool `json:"unseen,omitempty"`
	// Leaving says that the target is leaving in this generation and all before it.
	Leaving    bool                  `json:"leaving,omitempty"`
	Generation identifier.Generation `json:"generation"`
	Queued     int                   `json:"queued"`
	// Status is left out where only the load changed since the last report.
	Status *enginecaller.Status `json:"status,omitempty"`
}

// Urgency says how soon a report is to be told.
type Urgency int

// Urgencies: with the next heartbeat, within a few tens of milliseconds, at once.
const (
	Later Urgency = iota
	Soon
	AtOnce
)

// Spread asks for reports to be told to the other nodes.
type Spread struct {
	Reports []Report
	Urgency Urgency
}

// ReportsHeard brings reports of other nodes.
type ReportsHeard struct{ Reports []Report }
