// Package composer combines reducers into one: a node's control reducer, and the reducer of each
// shard of drafts.
package composer

import (
	"time"

	"fuchsiabridge.example/common/messenger"
)

// Composer applies each event to all its reducers in order. A control composer also applies the
// events that they raise or broadcast, before it returns.
type Composer struct {
	reducers []messenger.Reducer
	// returnsRaised reports that raised and broadcast events are returned as effects and not applied
	// by this composer.
	returnsRaised bool
}

// NewControl returns a control composer, which applies raised and broadcast events itself.
func NewControl(reducers ...messenger.Reducer) *Composer { return &Composer{reducers: reducers} }

// NewShard returns a composer that returns raised and broadcast events as effects.
func NewShard(reducers ...messenger.Reducer) *Composer {
	return &Composer{reducers: reducers, returnsRaised: true}
}

// Apply applies one event and returns the resulting effects.
func (c *Composer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	var out []messenger.Effect
	events := []messenger.Event{event}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, reducer := range c.reducers {
			for _, effect := range reducer.Apply(now, next) {
				raised, isReturned := c.route(effect)
				if raised != nil {
					events = append(events, raised)
				}
				if isReturned {
					out = append(out, effect)
				}
			}
		}
	}
	return out
}

// route returns the event that the effect raises for this composer, if any, and whether the effect
// is returned to the executor.
func (c *Composer) route(effect messenger.Effect) (messenger.Event, bool) {
	switch e := effect.(type) {
	case messenger.Raise:
		if c.returnsRaised {
			return nil, true
		}
		return e.Event, false
	case messenger.Broadcast:
		if c.returnsRaised {
			return nil, true
		}
		return e.Event, true
	}
	return nil, true
}
