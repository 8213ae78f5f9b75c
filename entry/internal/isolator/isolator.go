package isolator

import (
	"time"

	"fuchsiabridge.example/common/messenger"
)

// Route is an effect that hands an event to the shard of its draft.
type Route struct{ Event Ruling }

// Isolator is the sub-reducer of crashing requests.
type Isolator struct{}

// NewIsolator returns an isolator that suspects no request.
func NewIsolator() *Isolator { return &Isolator{} }

// Apply takes one event and returns what to do.
func (i *Isolator) Apply(_ time.Time, event messenger.Event) []messenger.Effect {
	if ev, ok := event.(StageLost); ok {
		return []messenger.Effect{Route{Event: Ruling{Draft: ev.Draft, Kind: RunFreely}}}
	}
	return nil
}
