package follower

import (
	"context"
	"sync"
	"time"

	"fuchsiabridge.example/common/bootclock"
)

// readGate decides whether this node must read the store itself: because it is a reader for its
// peers, or because no peer currently provides updates.
type readGate struct {
	mu       sync.Mutex
	isReader bool
	// peersFreshUntil is the time until which the updates received from peers are recent enough.
	peersFreshUntil time.Time
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newReadGate() *readGate { return &readGate{changed: make(chan struct{})} }

func (d *readGate) setReader(isReader bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isReader != isReader {
		d.isReader = isReader
		d.wake()
	}
}

// setPeersFresh sets the time until which the updates received from peers are recent enough.
func (d *readGate) setPeersFresh(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isSooner := until.Before(d.peersFreshUntil)
	d.peersFreshUntil = until
	if isSooner {
		d.wake()
	}
}

func (d *readGate) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *readGate) state() (bool, time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReader, d.peersFreshUntil, d.changed
}

// awaitReading waits until the node has to read the store itself, and reports whether it had to wait.
func (d *readGate) awaitReading(ctx context.Context) bool {
	for hasWaited := false; ; hasWaited = true {
		isReader, fedUntil, changed := d.state()
		left := fedUntil.Sub(bootclock.Now())
		if isReader || left <= 0 || ctx.Err() != nil {
			return hasWaited
		}
		d.wait(ctx, left, changed)
	}
}

// awaitFollowing waits while the node reads the store for its peers.
func (d *readGate) awaitFollowing(ctx context.Context) {
	for ctx.Err() == nil {
		isReader, _, changed := d.state()
		if !isReader {
			return
		}
		d.wait(ctx, leaseTerm, changed)
	}
}

func (d *readGate) wait(ctx context.Context, most time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-changed:
	}
}
