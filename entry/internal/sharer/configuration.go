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

// maxSourceBytes bounds the text of a configuration.
const maxSourceBytes = 64 << 20

// Configuration is a configuration as its peers get it, and the offset up to which there is none newer.
type Configuration struct {
	Next identifier.Offset `json:"next"`
	// Packed is the compressed text, as the store holds it.
	Packed []byte `json:"packed"`
}

// Source returns the text.
func (c Configuration) Source() ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(c.Packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpacking a configuration")
	}
	source, err := io.ReadAll(io.LimitReader(r, maxSourceBytes))
	return source, errors.Wrap(err, "unpacking a configuration")
}

// pack compresses a text, which a node's link carries to many peers; nil when that fails.
func pack(source []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(source)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "packing a configuration")
		return nil
	}
	return b.Bytes()
}

// ServeConfiguration answers a peer that has learnt that there is a newer configuration.
func (s *Sharer) ServeConfiguration(context.Context, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReading || s.packed == nil {
		return nil, ErrNotReading
	}
	return Configuration{Next: s.configuration, Packed: s.packed}, nil
}
