// Package checkpointer stores checkpoints of the drafts (chat completions in progress) that peers
// drive, in memory only, so that another node can take over a draft whose node failed.
package checkpointer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

const (
	// checkpointTTL is how long a checkpoint is kept after its last change.
	checkpointTTL = 2 * time.Minute
	// maxCheckpoints limits the stored checkpoints.
	maxCheckpoints = 20_000
)

// Stage is one stage of a draft's pipeline.
type Stage struct {
	Target     identifier.TargetID   `json:"target"`
	Generation identifier.Generation `json:"generation"`
	Layers     identifier.LayerRange `json:"layers"`
}

// Checkpoint is what a draft's next driver, the node that takes it over, needs. The engines hold the
// rest of the state.
type Checkpoint struct {
	Draft identifier.DraftID `json:"draft"`
	Epoch identifier.Epoch   `json:"epoch"`
	// Fingerprint and Stages are sent only when they changed.
	Fingerprint string  `json:"fingerprint,omitempty"`
	Stages      []Stage `json:"stages,omitempty"`
	// From is the number of tokens before Tokens.
	From   int      `json:"from"`
	Tokens []string `json:"tokens,omitempty"`
	// Ended means that the checkpoint is no longer needed.
	Ended bool `json:"ended,omitempty"`
}

// Received carries a peer's checkpoints.
type Received struct{ Checkpoints []Checkpoint }

// Requested is a request for the checkpoint of a draft. A Checkpoint is sent as the reply to Call; its
// Epoch is 0 if there is none.
type Requested struct {
	Call  identifier.CallID
	Draft identifier.DraftID
}

type storedCheckpoint struct {
	checkpoint Checkpoint
	expiresAt  time.Time
}

// Store is the reducer that stores the checkpoints of peers' drafts.
type Store struct {
	checkpoints map[identifier.DraftID]*storedCheckpoint
	// insertionOrder holds the drafts in the order of their first checkpoint.
	insertionOrder []identifier.DraftID
}

// NewStore returns an empty Store.
func NewStore() *Store { return &Store{checkpoints: map[identifier.DraftID]*storedCheckpoint{}} }

// Apply applies one event and returns the effects to run.
func (s *Store) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Received:
		for _, c := range ev.Checkpoints {
			s.store(now, c)
		}
	case Requested:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: s.find(ev.Draft)}}
	case messenger.Tick:
		s.evict(now)
	}
	return nil
}

func (s *Store) store(now time.Time, c Checkpoint) {
	known, ok := s.checkpoints[c.Draft]
	if !ok {
		if c.Ended {
			return
		}
		known = &storedCheckpoint{checkpoint: Checkpoint{Draft: c.Draft}}
		s.checkpoints[c.Draft] = known
		s.insertionOrder = append(s.insertionOrder, c.Draft)
	}
	if c.Epoch < known.checkpoint.Epoch {
		return
	}
	if c.Ended {
		known.expiresAt = now
		known.checkpoint = Checkpoint{Draft: c.Draft}
		return
	}
	known.expiresAt = now.Add(checkpointTTL)
	known.checkpoint.merge(c)
}

// merge updates the checkpoint with a newer one. Tokens after a gap are ignored.
func (c *Checkpoint) merge(newer Checkpoint) {
	c.Epoch = newer.Epoch
	if newer.Fingerprint != "" {
		c.Fingerprint = newer.Fingerprint
	}
	if len(newer.Stages) > 0 {
		c.Stages = newer.Stages
	}
	if newer.From <= len(c.Tokens) {
		c.Tokens = append(c.Tokens[:newer.From:newer.From], newer.Tokens...)
	}
}

// Newer returns the newer of two checkpoints of a draft.
func (c Checkpoint) Newer(other Checkpoint) Checkpoint {
	if other.Epoch > c.Epoch || (other.Epoch == c.Epoch && len(other.Tokens) > len(c.Tokens)) {
		return other
	}
	return c
}

func (s *Store) find(id identifier.DraftID) Checkpoint {
	if known, ok := s.checkpoints[id]; ok {
		return known.checkpoint
	}
	return Checkpoint{Draft: id}
}

// evict drops checkpoints in insertion order, while the first one has expired or there are too many.
func (s *Store) evict(now time.Time) {
	for len(s.insertionOrder) > 0 {
		oldest := s.insertionOrder[0]
		known := s.checkpoints[oldest]
		if len(s.insertionOrder) <= maxCheckpoints && now.Before(known.expiresAt) {
			return
		}
		delete(s.checkpoints, oldest)
		s.insertionOrder = s.insertionOrder[1:]
	}
}
