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
	leaser *leaser.Leaser
	// clockPercent is the rate of the node's clock, in percent of the true rate.
	clockPercent int
	pausedSteps  int
	recordsRead  int
	lease        leaser.Changed
	// heldUntil is the latest true time at which the node may have believed that it holds the lease.
	heldUntil time.Duration
}

// clock returns the node's own time at the true time t.
func (c *contender) clock(t time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(t * time.Duration(c.clockPercent) / 100)
}

func (c *contender) holds(t time.Duration) bool {
	return c.lease.IsHolder && c.clock(t).Before(c.lease.Until)
}

type simulation struct {
	now      time.Duration
	nodes    []*contender
	log      []platformcaller.Record
	inFlight []platformcaller.Record
	grants   int
}

func (s *simulation) apply(c *contender, event messenger.Event) {
	for _, effect := range c.leaser.Apply(c.clock(s.now), event) {
		raise, ok := effect.(messenger.Raise)
		if !ok {
			continue
		}
		switch e := raise.Event.(type) {
		case committer.Append:
			s.inFlight = append(s.inFlight, e.Record)
		case leaser.Changed:
			c.lease = e
			s.grants++
		}
	}
}

// readLog delivers to a node up to maxRecords records that it has not read yet.
func (s *simulation) readLog(c *contender, maxRecords int) {
	for c.recordsRead < len(s.log) && maxRecords > 0 {
		s.apply(c, tailer.RecordSeen{Record: s.log[c.recordsRead]})
		c.recordsRead++
		maxRecords--
	}
	if c.recordsRead == len(s.log) {
		s.apply(c, tailer.CaughtUp{Offset: identifier.Offset(len(s.log))})
	}
}

// TestAtMostOneHolder runs nodes with different clock rates, pauses, slow reads, and appends that
// arrive late or never. Two nodes must never hold the lease at once, and a new holder's lease must
// start after the last order of the previous holder can have arrived.
func TestAtMostOneHolder(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 400 {
			s.now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			s.deliver(t)
			for i, c := range s.nodes {
				if c.pausedSteps > 0 {
					c.pausedSteps--
					continue
				}
				switch rapid.IntRange(0, 59).Draw(t, "node") {
				case 0:
					c.pausedSteps = rapid.IntRange(1, 200).Draw(t, "pause")
				case 1, 2:
					s.readLog(c, 1)
				default:
					s.readLog(c, 1000)
				}
				s.apply(c, messenger.Tick{})
				s.check(t, i)
			}
		}
		granted += s.grants
	})
	if granted == 0 {
		t.Fatal("no lease was ever granted")
	}
	t.Logf("%d grants read", granted)
}

// TestGapEndsTheLease reports lost records to a holder. A grant to another node may be among them,
// so the holder must give up the lease and request it again only after such a grant has ended.
func TestGapEndsTheLease(t *testing.T) {
	c := qt.New(t)
	n := &contender{leaser: leaser.NewLeaser("node-0", 1), clockPercent: 100}
	s := &simulation{nodes: []*contender{n}}
	s.readLog(n, 1)
	s.apply(n, messenger.Tick{})
	s.log, s.inFlight = s.inFlight, nil
	s.readLog(n, 1)
	c.Assert(n.holds(s.now), qt.IsTrue)
	s.apply(n, tailer.GapFound{From: 1, To: 9})
	c.Assert(n.holds(s.now), qt.IsFalse)
	s.now = leaser.Term
	s.apply(n, messenger.Tick{})
	c.Assert(s.inFlight, qt.HasLen, 0)
	s.now = 2 * leaser.Term
	s.apply(n, messenger.Tick{})
	c.Assert(s.inFlight, qt.HasLen, 1)
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{}
	var observers []watcher.Observer
	for i := range nodes {
		id := identifier.NodeID(fmt.Sprint("node-", i))
		observers = append(observers, watcher.Observer{Node: id})
		s.nodes = append(s.nodes, &contender{leaser: leaser.NewLeaser(id, 1), clockPercent: rapid.IntRange(99, 101).Draw(t, "rate")})
	}
	for _, c := range s.nodes {
		s.apply(c, watcher.ObserversChanged{Observers: observers})
	}
	return s
}

// deliver appends, delays or drops each append in flight.
func (s *simulation) deliver(t *rapid.T) {
	remaining := s.inFlight[:0]
	for _, r := range s.inFlight {
		switch result := rapid.IntRange(0, 9).Draw(t, "fate"); {
		case result == 0:
		case result < 3:
			remaining = append(remaining, r)
		default:
			r.Offset = identifier.Offset(len(s.log))
			s.log = append(s.log, r)
		}
	}
	s.inFlight = remaining
}

func (s *simulation) check(t *rapid.T, i int) {
	c := s.nodes[i]
	if !c.holds(s.now) {
		return
	}
	for j, other := range s.nodes {
		if j == i {
			continue
		}
		if other.holds(s.now) {
			t.Fatalf("node-%d and node-%d both hold the lease at %v", i, j, s.now)
		}
		if other.heldUntil > 0 && s.now < other.heldUntil+leaser.OrderTimeout {
			t.Fatalf("node-%d holds the lease at %v, node-%d did until %v", i, s.now, j, other.heldUntil)
		}
	}
	left := c.lease.Until.Sub(c.clock(s.now)) * 100 / time.Duration(c.clockPercent)
	c.heldUntil = s.now + left
}
