package publisher

import (
	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/differ"
)

// Names of the peer calls that ask for a piece of the newest configuration, and for all of it at once. Nodes of earlier versions know only the
// second one.
const (
	PieceMethod = "configuration_piece"
	WholeMethod = "configuration"
)

// ErrBehind is returned when this node does not know configurations up to the position that the peer asks for.
var ErrBehind = errors.New("this node does not know the configuration yet")

// Query asks for a piece of the newest configuration.
type Query struct {
	// Next is the position up to which the configuration must be known, in an era of the store.
	Next identifier.Offset `json:"next"`
	Era  identifier.Era    `json:"era,omitempty"`
	// Base is the configuration that the peer knows.
	Base identifier.ConfigurationFingerprint `json:"base,omitempty"`
	// Configuration is the one of which the peer reads pieces, and Offset the number of bytes that it has; both are 0 at first.
	Configuration identifier.ConfigurationFingerprint `json:"configuration,omitempty"`
	Offset        int                                 `json:"offset,omitempty"`
	// Address is that of the peer, empty if no others may ask it.
	Address string `json:"address,omitempty"`
}

func (q Query) position() identifier.StorePosition {
	return identifier.StorePosition{Era: q.Era, Offset: q.Next}
}

// Piece is a piece of the compressed difference between a base and a configuration.
type Piece struct {
	// IsBusy says that as many peers as may be are being sent pieces. AskAt is the address of a node that has the configuration, if one is
	// known. All other fields are then empty.
	IsBusy bool   `json:"is_busy,omitempty"`
	AskAt  string `json:"ask_at,omitempty"`
	// Next is the position up to which configurations are known, in an era of the store.
	Next identifier.Offset `json:"next"`
	Era  identifier.Era    `json:"era,omitempty"`
	// Configuration is the newest one, and Base the one that it is compared with, 0 if it is sent whole.
	Configuration identifier.ConfigurationFingerprint `json:"configuration"`
	Base          identifier.ConfigurationFingerprint `json:"base,omitempty"`
	// Offset is the place of Bytes in the compressed steps, and Total their length.
	Offset int    `json:"offset"`
	Total  int    `json:"total"`
	Bytes  []byte `json:"bytes"`
}

// Position returns the position up to which configurations are known.
func (p Piece) Position() identifier.StorePosition {
	return identifier.StorePosition{Era: p.Era, Offset: p.Next}
}

// Difference is what the pieces are of, as JSON.
type Difference struct {
	Steps []differ.Step `json:"steps"`
}

// Whole is the newest configuration as sent to nodes of earlier versions.
type Whole struct {
	Next identifier.Offset `json:"next"`
	Era  identifier.Era    `json:"era,omitempty"`
	// Packed is the compressed text in the format of the store.
	Packed []byte `json:"packed"`
}

// Position returns the position up to which no newer configuration exists.
func (w Whole) Position() identifier.StorePosition {
	return identifier.StorePosition{Era: w.Era, Offset: w.Next}
}
