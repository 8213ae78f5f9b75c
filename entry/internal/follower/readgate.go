package follower

import (
	"context"
	"sync"
	"time"

	"fuchsiabridge.example/common/bootclock"
)

// maxGateWait is how long a node that reads the store for its peers waits until it looks again whether it still does.
const maxGateWait = 2500 * time.Millisecond

// readGate decides whether this node must read the store itself: because it is a reader for its
// peers, or because no peer currently provides updates.
type readGate struct {
	mu       sync.Mutex
	isReader bool
	// isLead says that a reader follows no other reader, and leadFreshUntil until when the updates received from the lead are recent enough.
	isLead         bool
	leadFreshUntil time.Time
	// peersFreshUntil is the time until which the updates received from peers are recent enough.
	peersFreshUntil time.Time
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newReadGate() *readGate { return &readGate{changed: make(chan struct{})} }

func (g *readGate) setReader(isReader, isLead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isReader != isReader || g.isLead != isLead {
		g.isReader, g.isLead, g.leadFreshUntil = isReader, isLead, time.Time{}
		g.notify()
	}
}

// relays reports whether this node reads the store for its peers, but follows the lead of the readers.
func (g *readGate) relays() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isReader && !g.isLead
}

// isFed reports whether this node relays updates of the lead that are recent enough.
func (g *readGate) isFed(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isReader && !g.isLead && now.Before(g.leadFreshUntil)
}

// setLeadFresh sets the time until which the updates received from the lead are recent enough.
func (g *readGate) setLeadFresh(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isSooner := until.Before(g.leadFreshUntil)
	g.leadFreshUntil = until
	if isSooner {
		g.notify()
	}
}

// setPeersFresh sets the time until which the updates received from peers are recent enough.
func (g *readGate) setPeersFresh(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isSooner := until.Before(g.peersFreshUntil)
	g.peersFreshUntil = until
	if isSooner {
		g.notify()
	}
}

// limitPeersFresh shortens the time until which the updates received from peers are recent enough.
func (g *readGate) limitPeersFresh(until time.Time) {
	g.mu.Lock()
	isSooner := until.Before(g.peersFreshUntil)
	g.mu.Unlock()
	if isSooner {
		g.setPeersFresh(until)
	}
}

func (g *readGate) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// snapshot returns isReader, the time until which the updates that this node follows are recent enough, and the channel that is closed on the next change.
func (g *readGate) snapshot() (bool, time.Time, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.isReader:
		return false, g.peersFreshUntil, g.changed
	case g.isLead:
		return true, time.Time{}, g.changed
	}
	return true, g.leadFreshUntil, g.changed
}

// awaitReading waits until the node has to read the store itself, and reports whether it had to wait. It calls pause before it waits
// without relaying the updates of the lead.
func (g *readGate) awaitReading(ctx context.Context, pause func()) bool {
	hasPaused := false
	for hasWaited := false; ; hasWaited = true {
		isReader, freshUntil, changed := g.snapshot()
		left := freshUntil.Sub(bootclock.Now())
		if left <= 0 || ctx.Err() != nil {
			return hasWaited
		}
		if !isReader && !hasPaused {
			pause()
			hasPaused = true
		}
		g.wait(ctx, left, changed)
	}
}

// awaitFollowing waits while the node reads the store for its peers and follows no other reader.
func (g *readGate) awaitFollowing(ctx context.Context) {
	for ctx.Err() == nil {
		isReader, _, changed := g.snapshot()
		if !isReader || g.relays() {
			return
		}
		g.wait(ctx, maxGateWait, changed)
	}
}

func (g *readGate) wait(ctx context.Context, limit time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-changed:
	}
}
