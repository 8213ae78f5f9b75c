package sharer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
)

// maxSourceBytes limits the decompressed size of a configuration.
const maxSourceBytes = 64 << 20

// Configuration is the newest configuration as sent to peers, and the offset up to which no newer one exists in an era.
type Configuration struct {
	Next identifier.Offset `json:"next"`
	Era  identifier.Era    `json:"era,omitempty"`
	// Packed is the compressed text in the format of the store.
	Packed []byte `json:"packed"`
}

// Position returns the position up to which no newer configuration exists.
func (c Configuration) Position() identifier.StorePosition {
	return identifier.StorePosition{Era: c.Era, Offset: c.Next}
}

// Source returns the decompressed text.
func (c Configuration) Source() ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(c.Packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a configuration")
	}
	source, err := io.ReadAll(io.LimitReader(r, maxSourceBytes))
	return source, errors.Wrap(err, "decompressing a configuration")
}

// pack compresses a text, because this node sends it to many peers. It returns nil on failure.
func pack(source []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(source)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "compressing a configuration")
		return nil
	}
	return b.Bytes()
}

// ServeConfiguration answers a peer that has learned of a newer configuration.
func (s *Sharer) ServeConfiguration(context.Context, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReading || s.source == nil {
		return nil, ErrNotReading
	}
	if s.packed == nil {
		s.packed = pack(s.source)
	}
	return Configuration{Next: s.configuration.Offset, Era: s.configuration.Era, Packed: s.packed}, nil
}
