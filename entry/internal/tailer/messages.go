package tailer

import (
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
)

// ReadLog is the effect of one read of the log. LogRead or ReadFailed follows.
type ReadLog struct {
	From identifier.Offset
	// Wait is how long the log may hold the read open until a record arrives.
	Wait time.Duration
	// Deadline is when the read fails.
	Deadline time.Time
	// NewConn makes the read use a new connection, because pooled connections may be dead.
	NewConn bool
}

// LogRead brings one page of the log.
type LogRead struct{ Page platformcaller.Page }

// ReadFailed reports that the log could not be read.
type ReadFailed struct{ Err string }

// RecordSeen forwards one record that is neither a configuration change nor a snapshot, in log order
// and exactly once. The record may have been read from a peer: it is in the log, but the absence of a
// record does not mean that the log lacks it.
type RecordSeen struct{ Record platformcaller.Record }

// GapFound reports that the records From..To-1 are not forwarded as RecordSeen.
type GapFound struct{ From, To identifier.Offset }

// SettingsChanged brings the settings in force.
type SettingsChanged struct{ Settings *configurer.Settings }

// CaughtUp reports that the log was read to its end. It is never raised for records read from peers.
type CaughtUp struct{ Offset identifier.Offset }

// OffsetApplied is the effect of publishing the node's applied offset, which never decreases.
type OffsetApplied struct{ Offset identifier.Offset }

// WriteSnapshot is the effect of appending a snapshot of the state to the log.
type WriteSnapshot struct {
	ID       string
	Snapshot configurer.Snapshot
	Deadline time.Time
}

// Record returns the log record of the snapshot.
func (w WriteSnapshot) Record() (platformcaller.Record, error) {
	body, err := configurer.EncodeSnapshot(w.Snapshot)
	return platformcaller.Record{ID: w.ID, Stream: configurer.SnapshotStream, Body: body}, err
}

// PullRecords is the effect of asking a peer for records. RecordsPulled or PullFailed follows.
type PullRecords struct {
	Address string
	From    identifier.Offset
}

// RecordsPulled brings a peer's answer.
type RecordsPulled struct {
	Address string
	Answer  PullAnswer
}

// PullFailed reports that a peer gave no answer.
type PullFailed struct{ Address string }

// PullRequested is a peer's request for records. A PullAnswer is replied to Call.
type PullRequested struct {
	Call identifier.CallID
	From identifier.Offset
}

// PullAnswer holds the records that a node keeps from the requested offset on, in the same form
// as a read of the log. Page.First is the oldest record it keeps and Page.End its own position.
type PullAnswer struct {
	Page platformcaller.Page `json:"page"`
	// Tree is the node's state. Set if the node no longer keeps the requested records.
	Tree *configurer.Tree `json:"tree,omitempty"`
}

// ChangeProposed is a configuration change from an operator. A ChangeAnswer is replied to Call.
type ChangeProposed struct {
	Call     identifier.CallID
	Change   configurer.Change
	Deadline time.Time
}

// ChangeAnswer is the result of a proposed change.
type ChangeAnswer struct {
	// Outcome is Delivered if the decision is known, Refused if the id was used for another
	// change, and otherwise NotRun or Unknown.
	Outcome  responder.Outcome
	Decision configurer.Decision
	Reason   string
}

// TreeRequested requests a copy of the tree, which is replied to Call as a *configurer.Tree. The
// copy is nil until the node's state has once reached the end of the log or a peer's position.
type TreeRequested struct{ Call identifier.CallID }

// BeginRequested tells a node without a complete state to continue from the state that it has. Whether
// it does is replied to Call as a bool.
type BeginRequested struct{ Call identifier.CallID }
