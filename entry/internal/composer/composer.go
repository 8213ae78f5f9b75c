// Package composer composes a node's control reducer of its sub-reducers, and the
// reducer of each shard of drafts.
package composer

import (
	"time"

	"fuchsiabridge.example/common/messenger"
)

// Composer applies each event to every sub-reducer, in order, and feeds raised and
// broadcast events back before it returns.
type Composer struct {
	parts []messenger.Reducer
	// raisesLeave says that raised events belong to another reducer and are returned as effects.
	raisesLeave bool
}

// NewControl returns a composer that handles raised events itself.
func NewControl(parts ...messenger.Reducer) *Composer { return &Composer{parts: parts} }

// NewShard returns a composer that returns raised events as effects, for the control reducer.
func NewShard(parts ...messenger.Reducer) *Composer {
	return &Composer{parts: parts, raisesLeave: true}
}

// Apply takes one event and returns what to do.
func (c *Composer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	var out []messenger.Effect
	events := []messenger.Event{event}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		for _, part := range c.parts {
			for _, effect := range part.Apply(now, next) {
				raised, isKept := c.sort(effect)
				if raised != nil {
					events = append(events, raised)
				}
				if isKept {
					out = append(out, effect)
				}
			}
		}
	}
	return out
}

// sort returns the event that an effect feeds back, if any, and whether the shell must see the effect.
func (c *Composer) sort(effect messenger.Effect) (messenger.Event, bool) {
	switch e := effect.(type) {
	case messenger.Raise:
		if c.raisesLeave {
			return nil, true
		}
		return e.Event, false
	case messenger.Broadcast:
		if c.raisesLeave {
			return nil, true
		}
		return e.Event, true
	}
	return nil, true
}
