package configurer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

// SnapshotStream is the log stream that holds snapshots of the tree.
const SnapshotStream = "config_snapshot"

// Snapshot is the tree as of its offset: all that decides later changes, the verdicts
// remembered included. A reader that starts from it decides as one that read every record.
type Snapshot struct {
	Tree *Tree `json:"tree"`
	// At is the writer's wall clock, a hint of the snapshot's age.
	At time.Time `json:"at"`
}

// DecodeSnapshot reads the snapshot that stands at the given offset of the log.
func DecodeSnapshot(at identifier.Offset, body []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errors.Wrap(err, "decoding a snapshot")
	}
	if s.Tree == nil || s.Tree.Offset > at || s.Tree.Offset < 0 {
		return s, errors.New("a snapshot must hold a tree as of an offset before its own")
	}
	s.Tree.complete()
	return s, nil
}

// complete makes the maps that a decoder leaves nil.
func (t *Tree) complete() {
	if t.Teams == nil {
		t.Teams = map[identifier.TeamID]*Subtree{}
	}
	for id, sub := range t.Teams {
		if sub == nil {
			delete(t.Teams, id)
			continue
		}
		if sub.Values == nil {
			sub.Values = map[string]json.RawMessage{}
		}
	}
}

// Skip moves the tree over offsets that the log dropped before any node had read them.
func (t *Tree) Skip(to identifier.Offset) {
	t.Lost = append(t.Lost, Span{From: t.Offset, To: to})
	t.Offset = to
}

// Covers reports whether the tree holds all that other does: no offset that other
// applied is lost in it.
func (t *Tree) Covers(other *Tree) bool {
	if t.Offset < other.Offset {
		return false
	}
	for _, span := range t.Lost {
		if span.From < other.Offset && !slices.Contains(other.Lost, span) {
			return false
		}
	}
	return true
}
