package sharer

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/entry/internal/compressor"
)

const (
	// packedMaxAge is how long a compressed update is sent to further peers: the ages of its crashes are as of its start.
	packedMaxAge = time.Second
	// minPackedItems is how many items an update must hold to be compressed.
	minPackedItems = 16
)

// updateSpan names the changes that an update holds: those since a revision, up to another one. A complete one holds all.
type updateSpan struct {
	isComplete  bool
	since, upTo Revision
}

// packedUpdate holds the compressed contents of an update, nil if they could not be compressed.
type packedUpdate struct {
	packedAt time.Time
	text     []byte
}

func (c Contents) countItems() int {
	return len(c.Changes) + len(c.Crashes) + len(c.Cleared) + len(c.Limits)
}

// packContents replaces the contents of a large update by the compressed ones, which are kept for further peers.
func (s *Sharer) packContents(since Revision, u *Update) {
	if u.countItems() < minPackedItems {
		return
	}
	span := updateSpan{isComplete: u.IsComplete, since: since, upTo: u.Revision}
	if u.IsComplete {
		span.since = 0
	}
	s.packMu.Lock()
	defer s.packMu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(s.packedUpdates, func(_ updateSpan, p packedUpdate) bool { return now.Sub(p.packedAt) >= packedMaxAge })
	kept, ok := s.packedUpdates[span]
	if !ok {
		kept = packedUpdate{packedAt: now, text: packJSON(u.Contents)}
		s.packedUpdates[span] = kept
	}
	if kept.text != nil {
		u.Contents, u.Packed = Contents{}, kept.text
	}
}

// packJSON encodes and compresses the contents of an update. It returns nil on failure.
func packJSON(c Contents) []byte {
	text, err := json.Marshal(c)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "encoding an update")
		return nil
	}
	packed, err := compressor.Pack(text)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "compressing an update")
	}
	return packed
}

// Unpack decompresses the contents of an update that were compressed.
func (u *Update) Unpack() error {
	if len(u.Packed) == 0 {
		return nil
	}
	text, err := compressor.Unpack(u.Packed)
	if err != nil {
		return err
	}
	u.Packed = nil
	return errors.Wrap(json.Unmarshal(text, &u.Contents), "decoding the contents of an update")
}
