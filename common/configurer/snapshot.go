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

// maxTreeBytes limits the decompressed size of a snapshot's tree.
const maxTreeBytes = 256 << 20

// Snapshot is the complete tree as of its offset, including the history of decisions. A reader that
// starts from it reaches the same decisions as one that has read every record.
type Snapshot struct {
	Tree *Tree
	// At is the writer's wall-clock time; it only indicates the snapshot's age.
	At time.Time
}

// snapshotBody is the body of a record in SnapshotStream.
type snapshotBody struct {
	At time.Time `json:"at"`
	// TreeGzip is the tree as gzipped JSON.
	TreeGzip []byte `json:"tree_gzip"`
}

// EncodeSnapshot returns the record body for a snapshot.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing a snapshot")
	}
	if err := errors.CombineErrors(json.NewEncoder(w).Encode(s.Tree), w.Close()); err != nil {
		return nil, errors.Wrap(err, "encoding a snapshot")
	}
	body, err := json.Marshal(snapshotBody{At: s.At, TreeGzip: compressed.Bytes()})
	return body, errors.Wrap(err, "encoding a snapshot")
}

// SnapshotTime returns the time, by the writer's clock, at which a snapshot was written. It does not
// decompress the tree.
func SnapshotTime(body []byte) (time.Time, error) {
	var b struct {
		At time.Time `json:"at"`
	}
	return b.At, errors.Wrap(json.Unmarshal(body, &b), "decoding a snapshot")
}

// DecodeSnapshot decodes the record body of the snapshot at the given log offset.
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
		return s, errors.New("snapshot has no tree, or its tree's offset is not between 0 and the snapshot's own offset")
	}
	s.Tree.initMaps()
	return s, nil
}

// initMaps allocates the maps that the JSON decoder leaves nil.
func (t *Tree) initMaps() {
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

// Skip advances the tree past offsets that the log trimmed before they were applied to the tree, and
// records them as lost.
func (t *Tree) Skip(to identifier.Offset) {
	t.Lost = append(t.Lost, Span{From: t.Offset, To: to})
	t.Offset = to
}

// Covers reports whether the tree includes every record that other has applied: its offset is not
// lower, and none of its lost offsets was applied by other.
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
