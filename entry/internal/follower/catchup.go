package follower

import (
	"context"
	"sync"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/fetcher"
	"fuchsiabridge.example/entry/internal/publisher"
)

const (
	// fetchTimeout bounds the time until a peer has sent a configuration.
	fetchTimeout = 8 * time.Second
	// askTimeout bounds the time until the other readers have sent theirs, after a restoration of the store.
	askTimeout = 1500 * time.Millisecond
)

// Transfers are the configurations that peers have sent to this node since its start.
type Transfers struct {
	Received    int64 `json:"received"`
	Differences int64 `json:"differences"`
	Failed      int64 `json:"failed"`
	// Bytes is their compressed size, LongestMS the time that the slowest one took, in milliseconds.
	Bytes     int64 `json:"bytes"`
	LongestMS int64 `json:"longest_ms"`
}

// Transfers returns what peers have sent to this node since its start.
func (f *Follower) Transfers() Transfers {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.transfers
}

// countTransfer counts a configuration that a peer has sent, or failed to send.
func (f *Follower) countTransfer(got fetcher.Fetched, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &f.transfers
	if err != nil {
		t.Failed++
		return
	}
	t.Received++
	if got.BaseID != 0 {
		t.Differences++
	}
	t.Bytes += int64(len(got.Packed))
	t.LongestMS = max(t.LongestMS, got.Took.Milliseconds())
}

// catchUp gets the newer configurations that a peer knows, while its other updates are applied.
type catchUp struct {
	follower *Follower
	address  string

	mu sync.Mutex
	// wanted is the position up to which the peer knows configurations.
	wanted    identifier.StorePosition
	isRunning bool
	err       error
}

// want reports whether this node knows the configurations up to a position. If it does not, it begins to get them. It returns the error of
// an earlier attempt.
func (c *catchUp) want(ctx context.Context, position identifier.StorePosition) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false, c.err
	}
	if c.wanted.Before(position) {
		c.wanted = position
	}
	isKnown := !c.follower.known().Before(c.wanted)
	if !isKnown && !c.isRunning {
		c.isRunning = true
		go c.run(ctx)
	}
	return isKnown, nil
}

// run gets configurations until no newer one is wanted.
func (c *catchUp) run(ctx context.Context) {
	for {
		c.mu.Lock()
		wanted := c.wanted
		if !c.follower.known().Before(wanted) || c.err != nil {
			c.isRunning = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if err := c.follower.fetch(ctx, c.address, wanted); err != nil {
			c.mu.Lock()
			c.err = err
			c.mu.Unlock()
		}
	}
}

// fetch gets the newest configuration from a peer that knows it up to a position, and applies it.
func (f *Follower) fetch(ctx context.Context, address string, wanted identifier.StorePosition) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var base fetcher.Base
	base.ID, base.Parts = f.publisher.Newest()
	got, err := f.fetcher.Fetch(ctx, address, base, wanted)
	f.countTransfer(got, err)
	if err != nil {
		return err
	}
	if got.Position.Before(wanted) {
		return publisher.ErrBehind
	}
	var cfg *describer.Configuration
	if got.ID != base.ID {
		if cfg, err = f.decoder.Decode(got.Parts); err != nil {
			return err
		}
		eventlogger.Info(eventlogger.ConfigurationReceived, "source", got.Address, "version", cfg.Version, "bytes", len(got.Packed),
			"is_difference", got.BaseID != 0, "took_ms", got.Took.Milliseconds())
	}
	if got.Packed != nil {
		f.publisher.KeepText(got.BaseID, got.ID, got.Packed)
	}
	f.applyConfiguration(cfg, got.Position, got.Address)
	f.publisher.Confirm(got.Position)
	return nil
}

// askReaders applies newer configurations that other readers know, as the store may have been restored from a copy that is
// older than these.
func (f *Follower) askReaders(ctx context.Context) {
	if f.cfg.Self.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	known, err := f.group.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up the peers that read the store")
	}
	var wg sync.WaitGroup
	for _, m := range known {
		wg.Go(func() {
			if err := f.fetch(ctx, m.Address, identifier.StorePosition{}); err != nil {
				eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for the configuration", "address", m.Address)
			}
		})
	}
	wg.Wait()
}
