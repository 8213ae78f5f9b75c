package leaser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/leaser"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const nodes = 3

// contender is a node whose clock runs at its own rate.
type contender struct {
	leaser  *leaser.Leaser
	percent int
	paused  int
	read    int
	lease   leaser.Changed
	// heldUntil is the latest true time at which the node may have believed that it holds the lease.
	heldUntil time.Duration
}

// clock returns the node's own time at the true time t.
func (c *contender) clock(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(t * time.Duration(c.percent) / 100)
}

func (c *contender) holds(t time.Duration) bool {
	return c.lease.Mine && c.clock(t).Before(c.lease.Until)
}

type simulation struct {
	now      time.Duration
	nodes    []*contender
	log      []platformcaller.Record
	inFlight []platformcaller.Record
	grants   int
}

func (w *simulation) apply(c *contender, event messenger.Event) {
	for _, effect := range c.leaser.Apply(c.clock(w.now), event) {
		raise, ok := effect.(messenger.Raise)
		if !ok {
			continue
		}
		switch e := raise.Event.(type) {
		case committer.Append:
			w.inFlight = append(w.inFlight, e.Record)
		case leaser.Changed:
			c.lease = e
			w.grants++
		}
	}
}

// readLog delivers to a node up to maxRecords records that it has not read yet.
func (w *simulation) readLog(c *contender, maxRecords int) {
	for c.read < len(w.log) && maxRecords > 0 {
		w.apply(c, tailer.RecordSeen{Record: w.log[c.read]})
		c.read++
		maxRecords--
	}
	if c.read == len(w.log) {
		w.apply(c, tailer.CaughtUp{Offset: identifier.Offset(len(w.log))})
	}
}

// TestAtMostOneHolder runs nodes with different clock rates, pauses, slow reads, and appends that
// arrive late or never. Two nodes must never hold the lease at once, and a new holder's lease must
// start after the last order of the previous holder can have arrived.
func TestAtMostOneHolder(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range 400 {
			w.now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			w.deliver(t)
			for i, c := range w.nodes {
				if c.paused > 0 {
					c.paused--
					continue
				}
				switch rapid.IntRange(0, 59).Draw(t, "node") {
				case 0:
					c.paused = rapid.IntRange(1, 200).Draw(t, "pause")
				case 1, 2:
					w.readLog(c, 1)
				default:
					w.readLog(c, 1000)
				}
				w.apply(c, messenger.Tick{})
				w.check(t, i)
			}
		}
		granted += w.grants
	})
	if granted == 0 {
		t.Fatal("no lease was ever granted")
	}
	t.Logf("%d grants read", granted)
}

// TestGapEndsTheLease reports lost records to a holder. A grant to another node may be among them.
func TestGapEndsTheLease(t *testing.T) {
	c := qt.New(t)
	n := &contender{leaser: leaser.NewLeaser("node-0", 1), percent: 100}
	w := &simulation{nodes: []*contender{n}}
	w.readLog(n, 1)
	w.apply(n, messenger.Tick{})
	w.log, w.inFlight = w.inFlight, nil
	w.readLog(n, 1)
	c.Assert(n.holds(w.now), qt.IsTrue)
	w.apply(n, tailer.GapFound{From: 1, To: 9})
	c.Assert(n.holds(w.now), qt.IsFalse)
	w.now = leaser.Term
	w.apply(n, messenger.Tick{})
	c.Assert(w.inFlight, qt.HasLen, 0)
	w.now = 2 * leaser.Term
	w.apply(n, messenger.Tick{})
	c.Assert(w.inFlight, qt.HasLen, 1)
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{}
	var observers []watcher.Observer
	for i := range nodes {
		id := identifier.NodeID(fmt.Sprint("node-", i))
		observers = append(observers, watcher.Observer{Node: id})
		w.nodes = append(w.nodes, &contender{leaser: leaser.NewLeaser(id, 1), percent: rapid.IntRange(99, 101).Draw(t, "rate")})
	}
	for _, c := range w.nodes {
		w.apply(c, watcher.ObserversChanged{Observers: observers})
	}
	return w
}

// deliver appends, delays or drops each append in flight.
func (w *simulation) deliver(t *rapid.T) {
	remaining := w.inFlight[:0]
	for _, r := range w.inFlight {
		switch result := rapid.IntRange(0, 9).Draw(t, "fate"); {
		case result == 0:
		case result < 3:
			remaining = append(remaining, r)
		default:
			r.Offset = identifier.Offset(len(w.log))
			w.log = append(w.log, r)
		}
	}
	w.inFlight = remaining
}

func (w *simulation) check(t *rapid.T, i int) {
	c := w.nodes[i]
	if !c.holds(w.now) {
		return
	}
	for j, other := range w.nodes {
		if j == i {
			continue
		}
		if other.holds(w.now) {
			t.Fatalf("node-%d and node-%d both hold the lease at %v", i, j, w.now)
		}
		if other.heldUntil > 0 && w.now < other.heldUntil+leaser.OrderTimeout {
			t.Fatalf("node-%d holds the lease at %v, node-%d did until %v", i, w.now, j, other.heldUntil)
		}
	}
	left := c.lease.Until.Sub(c.clock(w.now)) * 100 / time.Duration(c.percent)
	c.heldUntil = w.now + left
}
