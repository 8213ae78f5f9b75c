// Package messenger declares what reducers take and give: events in, effects out.
package messenger

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
)

// Event is one thing that happened; each sub-reducer declares its own types.
type Event any

// Effect is one thing to be done, as data; the shell carries it out.
type Effect any

// Reducer decides without I/O, clocks, randomness, goroutines or locks.
type Reducer interface {
	// Apply takes one event at the instant now and returns what to do.
	Apply(now time.Time, event Event) []Effect
}

// Tick tells a reducer that time has passed.
type Tick struct{}

// Raise is an effect that hands an event to the control reducer of the same node.
type Raise struct{ Event Event }

// Broadcast is an effect that hands an event to the control reducer and to every shard.
type Broadcast struct{ Event Event }

// Reply is an effect that gives an answer to an open call; several may follow each other.
type Reply struct {
	Call   identifier.CallID
	Answer any
}

// Log is an effect that writes a numbered event about a subject, which "explain" shows again.
type Log struct {
	Event eventlogger.Event
	// Subject is "request/ID", "target/ID", "change/ID" or "peer/ID".
	Subject string
	// Values holds keys and values in turn.
	Values []any
}

// Later returns the later of two instants.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
