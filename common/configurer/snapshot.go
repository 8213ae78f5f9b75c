package configurer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

// SnapshotStream is the log stream that holds snapshots of the tree.
const SnapshotStream = "config_snapshot"

// maxTreeBytes bounds a snapshot's tree once it is decompressed.
const maxTreeBytes = 256 << 20

// Snapshot is the tree as of its offset: all that decides later changes, the verdicts
// remembered included. A reader that starts from it decides as one that read every record.
type Snapshot struct {
	Tree *Tree
	// At is the writer's wall clock, a hint of the snapshot's age.
	At time.Time
}

// snapshotBody is the body of a record of the snapshots' stream.
type snapshotBody struct {
	At time.Time `json:"at"`
	// TreeGzip is the tree as compressed JSON.
	TreeGzip []byte `json:"tree_gzip"`
}

// EncodeSnapshot returns the body of a snapshot's record.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing a snapshot")
	}
	if err := errors.CombineErrors(json.NewEncoder(w).Encode(s.Tree), w.Close()); err != nil {
		return nil, errors.Wrap(err, "encoding a snapshot")
	}
	body, err := json.Marshal(snapshotBody{At: s.At, TreeGzip: packed.Bytes()})
	return body, errors.Wrap(err, "encoding a snapshot")
}

// SnapshotTime returns when the snapshot was written, by its writer's clock.
func SnapshotTime(body []byte) (time.Time, error) {
	var b struct {
		At time.Time `json:"at"`
	}
	return b.At, errors.Wrap(json.Unmarshal(body, &b), "decoding a snapshot")
}

// DecodeSnapshot reads the snapshot that stands at the given offset of the log.
func DecodeSnapshot(at identifier.Offset, body []byte) (Snapshot, error) {
	var b snapshotBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Snapshot{}, errors.Wrap(err, "decoding a snapshot")
	}
	s := Snapshot{At: b.At}
	r, err := gzip.NewReader(bytes.NewReader(b.TreeGzip))
	if err != nil {
		return s, errors.Wrap(err, "decompressing a snapshot")
	}
	if err := json.NewDecoder(io.LimitReader(r, maxTreeBytes)).Decode(&s.Tree); err != nil {
		return s, errors.Wrap(err, "decoding a snapshot's tree")
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
