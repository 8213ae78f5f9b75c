package watcher

import (
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

// State tells whether a target may be given work.
type State string

// Target states.
const (
	StateUnknown State = "unknown"
	StateUp      State = "up"
	StateLeaving State = "leaving"
	StateDown    State = "down"
)

// Target is the known state of one target. Once published, a Target is replaced and never modified.
type Target struct {
	ID         identifier.TargetID
	Role       string
	Service    identifier.ServiceID
	Address    string
	DataCentre identifier.DataCentre
	State      State
	// Status is an engine's last report. Its load may be out of date.
	Status enginecaller.Status
}

// ReadVMs is the effect of reading the VM list. VMsRead follows if it succeeds.
type ReadVMs struct{}

// VMsRead carries the VM list.
type VMsRead struct{ VMs []platformcaller.VM }

// ReadStatus is the effect of polling an engine. StatusRead or StatusFailed follows.
type ReadStatus struct {
	Target  identifier.TargetID
	Address string
}

// StatusRead carries an engine's status.
type StatusRead struct {
	Address string
	Status  enginecaller.Status
}

// StatusFailed reports that a target did not answer a poll or probe.
type StatusFailed struct {
	Target  identifier.TargetID
	Address string
}

// ProbeService is the effect of dialling a plain service (one without layers) that failed.
// ServiceReached or StatusFailed follows.
type ProbeService struct {
	Target  identifier.TargetID
	Address string
}

// ServiceReached reports that a plain service accepts connections again.
type ServiceReached struct {
	Target  identifier.TargetID
	Address string
}

// TargetFailed reports a failed request: a new connection to the target failed, or the target timed
// out.
type TargetFailed struct{ Target identifier.TargetID }

// TargetsChanged carries all targets, ordered by id.
type TargetsChanged struct{ Targets []Target }

// Observer is a node that may poll targets on behalf of the others.
type Observer struct {
	Node       identifier.NodeID
	DataCentre identifier.DataCentre
}

// ObserversChanged carries the nodes that may observe: the live ones, including this node.
type ObserversChanged struct{ Observers []Observer }

// Report is one node's report to the others about one target.
type Report struct {
	Target   identifier.TargetID `json:"target"`
	Observer identifier.NodeID   `json:"observer"`
	// Sequence orders the reports of one observer, across restarts too.
	Sequence uint64 `json:"sequence"`
	// Down means that the observer cannot reach the target.
	Down bool `json:"down,omitempty"`
	// NoPollResult means that the report carries no poll result of its observer, at most that the target
	// is leaving.
	NoPollResult bool `json:"unseen,omitempty"`
	// Leaving means that the target is leaving in Generation and all earlier ones.
	Leaving    bool                  `json:"leaving,omitempty"`
	Generation identifier.Generation `json:"generation"`
	Queued     int                   `json:"queued"`
	// Status is omitted if at most the load changed since the last report.
	Status *enginecaller.Status `json:"status,omitempty"`
}

// Urgency tells how soon a report must be sent.
type Urgency int

// Urgency levels: with the next heartbeat, within a few tens of milliseconds, immediately. In a fleet
// too large for a full mesh, only AtOnce reports are sent, by gossip.
const (
	Later Urgency = iota
	Soon
	AtOnce
)

// ShareReports is the event that asks for reports to be sent to the other nodes.
type ShareReports struct {
	Reports []Report
	Urgency Urgency
}

// ReportsReceived carries reports received from other nodes.
type ReportsReceived struct{ Reports []Report }
