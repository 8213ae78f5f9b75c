// Package publisher sends peers the newest configuration that this node knows, in small pieces, as the difference to one that they know.
package publisher

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/compressor"
	"fuchsiabridge.example/entry/internal/differ"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/decoder"
)

const (
	// maxPieceBytes is the size of a piece: a link of 10 Mbit/s carries one in 35 ms.
	maxPieceBytes = 32 << 10
	// maxKept is the number of configurations that are kept as bases.
	maxKept = 8
	// maxTexts is the number of compressed differences that are kept.
	maxTexts = 16
)

// kept is a configuration that peers may know.
type kept struct {
	id    identifier.ConfigurationFingerprint
	parts []describer.ConfigurationPart
}

// span names the difference between two configurations.
type span struct {
	base, next identifier.ConfigurationFingerprint
}

// text is a compressed difference.
type text struct {
	span   span
	packed []byte
}

// Publisher keeps the newest configuration, and those before it.
type Publisher struct {
	// packMu is held while a difference is compressed, so that peers that ask at the same moment share the result.
	packMu sync.Mutex

	mu      sync.Mutex
	version int64
	// configurations are those that are kept, the newest last, and texts the differences that were sent lately.
	configurations []kept
	texts          []text
	// whole is the newest configuration as sent to nodes of earlier versions, nil until one asks.
	whole []byte
	// position is that up to which no configuration is newer than the last one.
	position  identifier.StorePosition
	isReading bool
	counts    Counts
	transfers transfers
}

// NewPublisher returns a publisher that knows no configuration.
func NewPublisher() *Publisher { return &Publisher{transfers: newTransfers()} }

// SetReading sets whether this node reads the store for its peers. Nodes of earlier versions are answered only then.
func (p *Publisher) SetReading(isReading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isReading = isReading
}

// Keep keeps a configuration for peers, unless a newer version is kept.
func (p *Publisher) Keep(cfg *describer.Configuration) {
	id := differ.Fingerprint(cfg.Parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.configurations) > 0 && (cfg.Version <= p.version || id == p.newest().id) {
		return
	}
	p.configurations = append(p.configurations, kept{id: id, parts: cfg.Parts})
	p.configurations = p.configurations[max(0, len(p.configurations)-maxKept):]
	p.version, p.whole = cfg.Version, nil
	p.counts.Versions++
	p.transfers.reset()
}

// Confirm notes that all configurations up to a position are known.
func (p *Publisher) Confirm(position identifier.StorePosition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.position.Before(position) {
		p.position = position
	}
}

// KeepText keeps a compressed difference that this node has received, for peers that know the same base.
func (p *Publisher) KeepText(base, next identifier.ConfigurationFingerprint, packed []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepText(text{span: span{base, next}, packed: packed})
}

func (p *Publisher) keepText(t text) {
	p.texts = append(p.texts, t)
	p.texts = p.texts[max(0, len(p.texts)-maxTexts):]
}

// Newest returns the newest configuration, and no fingerprint if none is known.
func (p *Publisher) Newest() (identifier.ConfigurationFingerprint, []describer.ConfigurationPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.configurations) == 0 {
		return 0, nil
	}
	return p.newest().id, p.newest().parts
}

// newest returns the newest configuration. There must be one.
func (p *Publisher) newest() kept { return p.configurations[len(p.configurations)-1] }

func (p *Publisher) find(id identifier.ConfigurationFingerprint) (kept, bool) {
	i := slices.IndexFunc(p.configurations, func(k kept) bool { return k.id == id })
	if i < 0 {
		return kept{}, false
	}
	return p.configurations[i], true
}

// ServePiece answers a peer that has learned of a newer configuration.
func (p *Publisher) ServePiece(ctx context.Context, params json.RawMessage) (any, error) {
	var q Query
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decoding a query for a configuration")
	}
	base, next, position, err := p.choose(q)
	if err != nil {
		return nil, err
	}
	packed, err := p.pack(base, next)
	if err != nil {
		return nil, err
	}
	if len(packed) > maxPieceBytes && !p.transfers.admit(ctx, q.Address) {
		holder := p.transfers.holder(q.Address)
		p.countBusy(holder != "")
		return Piece{IsBusy: true, AskAt: holder}, nil
	}
	offset := q.Offset
	if q.Configuration != next.id || offset < 0 || offset > len(packed) {
		offset = 0
	}
	end := min(len(packed), offset+maxPieceBytes)
	if end == len(packed) {
		p.transfers.finish(q.Address)
	}
	p.countPiece(end - offset)
	return Piece{
		Next: position.Offset, Era: position.Era, Configuration: next.id, Base: base.id, Offset: offset, Total: len(packed), Bytes: packed[offset:end],
	}, nil
}

// choose returns the configuration that the peer gets, the one that it is compared with, and up to where configurations are known.
func (p *Publisher) choose(q Query) (base, next kept, position identifier.StorePosition, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.configurations) == 0 || p.position.Before(q.position()) {
		return base, next, position, ErrBehind
	}
	next = p.newest()
	base, _ = p.find(q.Base)
	return base, next, p.position, nil
}

// pack returns the compressed difference between two configurations.
func (p *Publisher) pack(base, next kept) ([]byte, error) {
	p.packMu.Lock()
	defer p.packMu.Unlock()
	wanted := span{base.id, next.id}
	p.mu.Lock()
	i := slices.IndexFunc(p.texts, func(t text) bool { return t.span == wanted })
	if i >= 0 {
		defer p.mu.Unlock()
		return p.texts[i].packed, nil
	}
	p.mu.Unlock()
	raw, err := json.Marshal(Difference{Steps: differ.Compare(base.parts, next.parts)})
	if err != nil {
		return nil, errors.Wrap(err, "encoding a configuration for a peer")
	}
	packed, err := compressor.Pack(raw)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Differences++
	p.keepText(text{span: wanted, packed: packed})
	return packed, nil
}

// ServeWhole answers a peer of an earlier version that has learned of a newer configuration.
func (p *Publisher) ServeWhole(context.Context, json.RawMessage) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isReading || len(p.configurations) == 0 {
		return nil, sharer.ErrNotReading
	}
	if p.whole == nil {
		source, err := decoder.Join(p.newest().parts)
		if err != nil {
			return nil, err
		}
		if p.whole, err = compressor.Pack(source); err != nil {
			return nil, err
		}
	}
	return Whole{Next: p.position.Offset, Era: p.position.Era, Packed: p.whole}, nil
}
