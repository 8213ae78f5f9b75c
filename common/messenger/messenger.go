// Package messenger declares the interface of reducers, which consume events and return effects, and
// the events and effects that all of them share.
package messenger

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
)

// Event is something that happened; each reducer declares its own event types.
type Event any

// Effect describes an action as data; the executor around the reducers carries it out.
type Effect any

// Reducer is a deterministic state machine: it uses no I/O, clocks, randomness, goroutines or locks.
type Reducer interface {
	// Apply processes one event at the instant now and returns the effects to carry out.
	Apply(now time.Time, event Event) []Effect
}

// Tick is a periodic event for work that depends on time, such as timeouts.
type Tick struct{}

// Raise is an effect that delivers an event to the control reducer of the same node, which handles all
// events except those of single drafts.
type Raise struct{ Event Event }

// Broadcast is an effect that delivers an event to the control reducer and to every shard of drafts.
type Broadcast struct{ Event Event }

// Reply is an effect that sends an answer to an open call; one call may get several in sequence.
type Reply struct {
	Call   identifier.CallID
	Answer any
}

// Log is an effect that writes a numbered log event about a subject; operators can list the events
// of a subject with "explain".
type Log struct {
	Event eventlogger.Event
	// Subject is "request/ID", "target/ID", "change/ID", "peer/ID", "log", "configuration" or "targets".
	Subject string
	// Values holds alternating keys and values.
	Values []any
}

// Later returns the later of two instants.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
