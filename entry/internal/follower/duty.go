package follower

import (
	"context"
	"sync"
	"time"

	"fuchsiabridge.example/common/bootclock"
)

// duty says whether the node has to read the store itself: for its peers, or as none of
// them tells it what is there.
type duty struct {
	mu       sync.Mutex
	isReader bool
	// fedUntil is until when the news of peers suffice.
	fedUntil time.Time
	// changed is closed with each change, and replaced.
	changed chan struct{}
}

func newDuty() *duty { return &duty{changed: make(chan struct{})} }

func (d *duty) setReader(isReader bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isReader != isReader {
		d.isReader = isReader
		d.wake()
	}
}

// feed notes until when the news of peers suffice.
func (d *duty) feed(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isSooner := until.Before(d.fedUntil)
	d.fedUntil = until
	if isSooner {
		d.wake()
	}
}

func (d *duty) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *duty) reads() (bool, time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReader, d.fedUntil, d.changed
}

// awaitTurn waits until the node has to read the store itself, and reports whether it had to wait.
func (d *duty) awaitTurn(ctx context.Context) bool {
	for hasWaited := false; ; hasWaited = true {
		isReader, fedUntil, changed := d.reads()
		left := fedUntil.Sub(bootclock.Now())
		if isReader || left <= 0 || ctx.Err() != nil {
			return hasWaited
		}
		d.await(ctx, left, changed)
	}
}

// awaitPeers waits while the node reads the store for its peers.
func (d *duty) awaitPeers(ctx context.Context) {
	for ctx.Err() == nil {
		isReader, _, changed := d.reads()
		if !isReader {
			return
		}
		d.await(ctx, leaseTerm, changed)
	}
}

func (d *duty) await(ctx context.Context, most time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-changed:
	}
}
