package sharer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
)

const (
	// maxUnpackedBytes limits the decompressed size of a text.
	maxUnpackedBytes = 64 << 20
	// packedMaxAge is how long a compressed update is sent to further peers: the ages of its crashes are as of its start.
	packedMaxAge = time.Second
)

// packedUpdate is a compressed complete update of a revision.
type packedUpdate struct {
	revision Revision
	packedAt time.Time
	text     []byte
}

// packContents replaces the contents of a complete update by the compressed ones, which are kept for further peers.
func (s *Sharer) packContents(u *Update) {
	s.packMu.Lock()
	defer s.packMu.Unlock()
	kept := &s.complete
	if now := bootclock.Now(); kept.text == nil || kept.revision != u.Revision || now.Sub(kept.packedAt) >= packedMaxAge {
		text, err := json.Marshal(u.Contents)
		if err != nil {
			eventlogger.Error(err, eventlogger.CallFailed, "doing", "encoding a complete update")
			return
		}
		*kept = packedUpdate{revision: u.Revision, packedAt: now, text: pack(text)}
	}
	if kept.text != nil {
		u.Contents, u.Packed = Contents{}, kept.text
	}
}

// Unpack decompresses the contents of an update that were compressed.
func (u *Update) Unpack() error {
	if len(u.Packed) == 0 {
		return nil
	}
	text, err := unpack(u.Packed)
	if err != nil {
		return err
	}
	u.Packed = nil
	return errors.Wrap(json.Unmarshal(text, &u.Contents), "decoding the contents of an update")
}

// pack compresses a text that this node sends to many peers. It returns nil on failure.
func pack(text []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(text)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "compressing a text for peers")
		return nil
	}
	return b.Bytes()
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a text of a peer")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	return text, errors.Wrap(err, "decompressing a text of a peer")
}
