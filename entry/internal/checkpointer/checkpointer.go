// Package checkpointer keeps soft checkpoints of the drafts that peers drive, so that
// any node can take up a draft whose node died.
package checkpointer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

const (
	// keptFor is how long a checkpoint is kept after its last change.
	keptFor = 2 * time.Minute
	// checkpointsKept bounds the checkpoints that are kept.
	checkpointsKept = 20_000
)

// Stage is one stage of a draft's pipeline.
type Stage struct {
	Target     identifier.TargetID   `json:"target"`
	Generation identifier.Generation `json:"generation"`
	Layers     identifier.LayerRange `json:"layers"`
}

// Checkpoint is what a draft's next driver needs; the engines keep the rest.
type Checkpoint struct {
	Draft identifier.DraftID `json:"draft"`
	Epoch identifier.Epoch   `json:"epoch"`
	// Fingerprint and Stages are sent when they changed.
	Fingerprint string  `json:"fingerprint,omitempty"`
	Stages      []Stage `json:"stages,omitempty"`
	// From counts the tokens before Tokens.
	From   int      `json:"from"`
	Tokens []string `json:"tokens,omitempty"`
	// Ended says that the draft needs no checkpoint any more.
	Ended bool `json:"ended,omitempty"`
}

// Received brings a peer's checkpoints.
type Received struct{ Checkpoints []Checkpoint }

// Asked asks for the checkpoint of a draft; a Checkpoint is replied to Call, with epoch 0 for none.
type Asked struct {
	Call  identifier.CallID
	Draft identifier.DraftID
}

type kept struct {
	checkpoint Checkpoint
	dropAt     time.Time
}

// Keeper is the sub-reducer of the checkpoints of peers' drafts.
type Keeper struct {
	kept map[identifier.DraftID]*kept
	// order holds the drafts as they were first kept; the oldest makes room.
	order []identifier.DraftID
}

// NewKeeper returns a keeper of no checkpoint.
func NewKeeper() *Keeper { return &Keeper{kept: map[identifier.DraftID]*kept{}} }

// Apply takes one event and returns what to do.
func (k *Keeper) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Received:
		for _, c := range ev.Checkpoints {
			k.receive(now, c)
		}
	case Asked:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: k.find(ev.Draft)}}
	case messenger.Tick:
		k.drop(now)
	}
	return nil
}

func (k *Keeper) receive(now time.Time, c Checkpoint) {
	known, ok := k.kept[c.Draft]
	if !ok {
		if c.Ended {
			return
		}
		known = &kept{checkpoint: Checkpoint{Draft: c.Draft}}
		k.kept[c.Draft] = known
		k.order = append(k.order, c.Draft)
	}
	if c.Epoch < known.checkpoint.Epoch {
		return
	}
	if c.Ended {
		known.dropAt = now
		known.checkpoint = Checkpoint{Draft: c.Draft}
		return
	}
	known.dropAt = now.Add(keptFor)
	known.checkpoint.merge(c)
}

// merge brings the checkpoint up to a newer one; tokens that follow a gap are left out.
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

func (k *Keeper) find(id identifier.DraftID) Checkpoint {
	if known, ok := k.kept[id]; ok {
		return known.checkpoint
	}
	return Checkpoint{Draft: id}
}

// drop forgets checkpoints from the oldest on, as far as they are due or too many.
func (k *Keeper) drop(now time.Time) {
	for len(k.order) > 0 {
		oldest := k.order[0]
		known := k.kept[oldest]
		if len(k.order) <= checkpointsKept && now.Before(known.dropAt) {
			return
		}
		delete(k.kept, oldest)
		k.order = k.order[1:]
	}
}
