// Package fetcher gets configurations from peers, in small pieces.
package fetcher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/compressor"
	"fuchsiabridge.example/entry/internal/differ"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/publisher"
	"fuchsiabridge.example/platform/decoder"
)

const (
	// pieceTimeout bounds a call for a piece, also one that waits for a place among those that are served.
	pieceTimeout = time.Second
	// wholeTimeout bounds a call for all of a configuration.
	wholeTimeout = 3 * time.Second
	// busyDelay is the time until a peer that is busy is asked again.
	busyDelay = 20 * time.Millisecond
)

var (
	errDamaged = errors.New("the configuration of a peer is not the one that it names")
	errPiece   = errors.New("the peer has sent another piece than the next one")
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Base is the configuration that this node knows.
type Base struct {
	ID    identifier.ConfigurationFingerprint
	Parts []describer.ConfigurationPart
}

// Fetched is a configuration that a peer has sent.
type Fetched struct {
	Parts    []describer.ConfigurationPart
	Position identifier.StorePosition
	// ID and BaseID are its fingerprint and that of the configuration to which Packed is the compressed difference; Packed is nil if a peer of
	// an earlier version has sent it.
	ID, BaseID identifier.ConfigurationFingerprint
	Packed     []byte
	// Address is that of the peer.
	Address string
	// Took is the time since the first call.
	Took time.Duration
}

// Fetcher gets configurations from peers.
type Fetcher struct {
	peers Peers
	// self is the address of this node.
	self string
}

// NewFetcher returns a fetcher for the node at an address.
func NewFetcher(peers Peers, self string) *Fetcher { return &Fetcher{peers: peers, self: self} }

// Fetch gets the newest configuration that the peer at an address knows, which is that up to a position at least. While the peer is busy, others
// that it names are asked.
func (f *Fetcher) Fetch(ctx context.Context, address string, base Base, wanted identifier.StorePosition) (Fetched, error) {
	began := bootclock.Now()
	q := publisher.Query{Next: wanted.Offset, Era: wanted.Era, Base: base.ID, Address: f.self}
	at := address
	for {
		d, err := f.read(ctx, at, q)
		switch {
		case errors.Is(err, peercaller.ErrNoMethod):
			return f.whole(ctx, address, began)
		case err != nil && at != address:
			// The other one does not have the configuration any more, or not yet.
			at = address
		case err != nil:
			return Fetched{}, err
		case !d.isBusy:
			return d.fetched(base, at, began)
		case d.askAt != "":
			at = d.askAt
		default:
			at = address
			if !sleeper.Sleep(ctx, busyDelay) {
				return Fetched{}, errors.Wrap(ctx.Err(), "waiting for a busy peer")
			}
		}
	}
}

// download is what a peer has sent.
type download struct {
	isBusy bool
	askAt  string
	last   publisher.Piece
	packed []byte
}

// read reads one piece after the other, until the peer has sent all or is busy.
func (f *Fetcher) read(ctx context.Context, address string, q publisher.Query) (download, error) {
	var d download
	for ctx.Err() == nil {
		piece, err := f.piece(ctx, address, q)
		if err != nil {
			return d, err
		}
		if piece.IsBusy {
			return download{isBusy: true, askAt: piece.AskAt}, nil
		}
		if piece.Offset == 0 {
			// The first piece, or that of a newer configuration.
			d.packed = nil
		}
		isEmpty := len(piece.Bytes) == 0 && len(d.packed) < piece.Total
		if piece.Offset != len(d.packed) || isEmpty {
			return d, errPiece
		}
		d.packed, d.last = append(d.packed, piece.Bytes...), piece
		if len(d.packed) >= piece.Total {
			return d, nil
		}
		q.Configuration, q.Offset = piece.Configuration, len(d.packed)
	}
	return d, errors.Wrap(ctx.Err(), "reading the configuration of a peer")
}

func (f *Fetcher) piece(ctx context.Context, address string, q publisher.Query) (publisher.Piece, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	var piece publisher.Piece
	err := f.peers.Call(ctx, address, publisher.PieceMethod, q, &piece)
	return piece, err
}

// fetched makes the configuration from what a peer has sent.
func (d download) fetched(base Base, address string, began time.Time) (Fetched, error) {
	raw, err := compressor.Unpack(d.packed)
	if err != nil {
		return Fetched{}, err
	}
	var difference publisher.Difference
	if err := json.Unmarshal(raw, &difference); err != nil {
		return Fetched{}, errors.Wrap(err, "decoding the configuration of a peer")
	}
	var known []describer.ConfigurationPart
	if d.last.Base != 0 {
		known = base.Parts
	}
	parts, err := differ.Apply(known, difference.Steps)
	if err != nil {
		return Fetched{}, err
	}
	if differ.Fingerprint(parts) != d.last.Configuration {
		return Fetched{}, errDamaged
	}
	return Fetched{
		Parts: parts, Position: d.last.Position(), ID: d.last.Configuration, BaseID: d.last.Base, Packed: d.packed, Address: address,
		Took: bootclock.Now().Sub(began),
	}, nil
}

// whole gets all of the configuration from a peer of an earlier version.
func (f *Fetcher) whole(ctx context.Context, address string, began time.Time) (Fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	var received publisher.Whole
	if err := f.peers.Call(ctx, address, publisher.WholeMethod, struct{}{}, &received); err != nil {
		return Fetched{}, err
	}
	source, err := compressor.Unpack(received.Packed)
	if err != nil {
		return Fetched{}, err
	}
	parts, err := decoder.Split(source)
	return Fetched{Parts: parts, Position: received.Position(), ID: differ.Fingerprint(parts), Address: address, Took: bootclock.Now().Sub(began)}, err
}
