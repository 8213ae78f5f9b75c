package tailer

import (
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
)

// ReadLog is the effect of one read of the log; LogRead or ReadFailed follows.
type ReadLog struct {
	From identifier.Offset
	// Wait is how long the log may wait for a record.
	Wait time.Duration
	// Deadline is the instant at which the read is given up.
	Deadline time.Time
	// Fresh makes the read on a new connection, as the pooled ones may be silent.
	Fresh bool
}

// LogRead brings one page of the log.
type LogRead struct{ Page platformcaller.Page }

// ReadFailed says that the log could not be read.
type ReadFailed struct{ Err string }

// RecordSeen hands on one record that is no change of configuration, in log order and once.
// It may come from a peer: it is in the log, but nothing follows from a record not seen.
type RecordSeen struct{ Record platformcaller.Record }

// GapFound says that this node will not see the records of From..To-1 in order.
type GapFound struct{ From, To identifier.Offset }

// SettingsChanged brings the settings now in force.
type SettingsChanged struct{ Settings *configurer.Settings }

// CaughtUp says that the log itself was read to its end as of the read.
type CaughtUp struct{ Offset identifier.Offset }

// OffsetApplied is the effect of a grown applied offset.
type OffsetApplied struct{ Offset identifier.Offset }

// WriteSnapshot is the effect of writing the state to the log.
type WriteSnapshot struct {
	ID       string
	Snapshot configurer.Snapshot
	Deadline time.Time
}

// Record returns the record of the snapshot.
func (w WriteSnapshot) Record() (platformcaller.Record, error) {
	body, err := configurer.EncodeSnapshot(w.Snapshot)
	return platformcaller.Record{ID: w.ID, Stream: configurer.SnapshotStream, Body: body}, err
}

// PullRecords is the effect of asking a peer for records; RecordsPulled or PullFailed follows.
type PullRecords struct {
	Address string
	From    identifier.Offset
}

// RecordsPulled brings a peer's answer.
type RecordsPulled struct {
	Address string
	Answer  PullAnswer
}

// PullFailed says that a peer gave no answer.
type PullFailed struct{ Address string }

// PullWanted is a peer's question; a PullAnswer is replied to Call.
type PullWanted struct {
	Call identifier.CallID
	From identifier.Offset
}

// PullAnswer holds the records that a node keeps from an offset on, as the log would give
// them; Page.First is the oldest it keeps and Page.End its own position.
type PullAnswer struct {
	Page platformcaller.Page `json:"page"`
	// Tree is the node's state, set when it does not keep the wanted records any more.
	Tree *configurer.Tree `json:"tree,omitempty"`
}

// ChangeProposed is an operator's change; a ChangeAnswer is replied to Call.
type ChangeProposed struct {
	Call     identifier.CallID
	Change   configurer.Change
	Deadline time.Time
}

// ChangeAnswer tells the operator how the change went.
type ChangeAnswer struct {
	// Outcome is Delivered when the verdict is known, Refused when the id was used
	// for another change, else NotRun or Unknown.
	Outcome responder.Outcome
	Verdict configurer.Verdict
	Reason  string
}

// TreeWanted asks for a copy of the tree, which is replied to Call as a *configurer.Tree;
// it is nil while the node has not read the log to its end.
type TreeWanted struct{ Call identifier.CallID }

// BeginWanted asks a node that found no state to begin from what it has; whether it
// does is replied to Call as a bool.
type BeginWanted struct{ Call identifier.CallID }
