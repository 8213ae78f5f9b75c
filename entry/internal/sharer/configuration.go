package sharer

import (
	"context"
	"encoding/json"

	"fuchsiabridge.example/common/identifier"
)

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
func (c Configuration) Source() ([]byte, error) { return unpack(c.Packed) }

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
