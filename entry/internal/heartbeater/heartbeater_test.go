package heartbeater_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/watcher"
)

// maxMeshNodes is the size of the largest fleet that uses a full mesh.
const maxMeshNodes = 11

// TestViewsConverge makes engines fail, leave and return while messages are lost. After the losses
// stop, every node's view must match the engines, and no node may have undone a leaving state.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 16).Draw(t, "nodes"), 5)
		f.advance(2 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			f.drawFault(t)
			f.advance(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		f.lossPercent = 0
		f.advance(12 * time.Second)
		for _, n := range f.nodes {
			for id, e := range f.engines {
				f.assertView(t, n, n.targets[id], e)
			}
		}
	})
}

func (f *fleet) drawFault(t *rapid.T) {
	e := f.engines[identifier.TargetID(fmt.Sprintf("engine-%03d", rapid.IntRange(0, 4).Draw(t, "engine")))]
	switch rapid.IntRange(0, 4).Draw(t, "fault") {
	case 0:
		e.dead = true
	case 1:
		e.dead, e.status.Leaving = false, false
		e.status.Generation++
	case 2:
		e.status.Leaving = true
	case 3:
		// Above the full mesh a lost message is not sent again; see docs/CAPACITY.md.
		if len(f.nodes) <= maxMeshNodes {
			f.lossPercent = rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "lost")
		}
	case 4:
		e.status.Queued++
	}
}

func (f *fleet) assertView(t *rapid.T, n *node, got watcher.Target, e *engine) {
	want := watcher.StateUp
	switch {
	case e.dead && (e.status.Leaving || e.lastReported < e.status.Generation) && got.State == watcher.StateLeaving:
		// A dead engine stays marked as leaving if that was reported before, even if it was
		// restarted and died before it could report the later load to any node.
		want = watcher.StateLeaving
	case e.dead:
		want = watcher.StateDown
	case e.status.Leaving:
		want = watcher.StateLeaving
	}
	if got.State != want {
		t.Fatalf("%s has %s as %s, not %s; generation %d, reported %d", n.id, e.status.Target, got.State, want, e.status.Generation, e.lastReported)
	}
	if want == watcher.StateUp && got.Status != e.status && len(f.nodes) <= maxMeshNodes {
		t.Fatalf("%s has the status %+v of %s, not %+v", n.id, got.Status, e.status.Target, e.status)
	}
}

// TestLeavingMarkSurvivesUnseenRestart covers a target that left, returned, and died before any node
// had polled it (found by rapid seed 11199347725459832758). It must stay marked as leaving until a
// node sees a later load, and be up after that.
func TestLeavingMarkSurvivesUnseenRestart(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12, 5)
	f.advance(2 * time.Second)
	e := f.engines["engine-003"]
	e.status.Leaving = true
	f.advance(911 * time.Millisecond)
	e.status.Leaving = false
	e.status.Generation++
	e.dead = true
	f.advance(12 * time.Second)
	c.Assert(e.lastReported < e.status.Generation, qt.IsTrue)
	for _, n := range f.nodes {
		c.Assert(n.targets["engine-003"].State, qt.Equals, watcher.StateLeaving)
	}
	e.dead = false
	f.advance(12 * time.Second)
	for _, n := range f.nodes {
		c.Assert(n.targets["engine-003"].State, qt.Equals, watcher.StateUp)
	}
}

// TestLeavingReachesAllNodesQuickly measures the time until all of 8 nodes know that an engine is leaving.
func TestLeavingReachesAllNodesQuickly(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 40)
	f.advance(3 * time.Second)
	f.engines["engine-007"].status.Leaving = true
	start := f.now
	for remaining := 8; remaining > 0; {
		f.advance(step)
		remaining = 0
		for _, n := range f.nodes {
			if n.targets["engine-007"].State != watcher.StateLeaving {
				remaining++
			}
		}
		c.Assert(f.now.Sub(start) < time.Second, qt.IsTrue, qt.Commentf("%d nodes do not know", remaining))
	}
	t.Logf("known to all 8 nodes after %v", f.now.Sub(start))
}

// TestMembersConverge kills, restarts and isolates nodes. In the end all nodes must agree on who is alive.
func TestMembersConverge(t *testing.T) {
	for _, nodes := range []int{8, 24} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(nodes, 0)
			f.advance(15 * time.Second)
			f.assertAlive(c, nodes)
			killed, isolated := f.nodes[3], f.nodes[5]
			killed.dead = true
			for _, n := range f.nodes {
				f.partitions[[2]string{n.address, isolated.address}] = true
				f.partitions[[2]string{isolated.address, n.address}] = true
			}
			f.advance(25 * time.Second)
			c.Assert(f.nodes[0].peers[killed.id], qt.Equals, heartbeater.StateDead)
			c.Assert(f.nodes[0].peers[isolated.id], qt.Equals, heartbeater.StateDead)
			// The isolated node returns in its old incarnation. The killed one returns in a lower
			// incarnation, as if its clock were behind.
			clear(f.partitions)
			f.nodes[3] = f.addNode(string(killed.id), 0)
			f.nodes = f.nodes[:len(f.nodes)-1]
			f.advance(25 * time.Second)
			f.assertAlive(c, nodes)
		})
	}
}

func (f *fleet) assertAlive(c *qt.C, nodes int) {
	for _, n := range f.nodes {
		alive := 0
		for _, state := range n.peers {
			if state == heartbeater.StateAlive {
				alive++
			}
		}
		c.Assert(alive, qt.Equals, nodes-1, qt.Commentf("%s sees %v", n.id, n.peers))
	}
}

// TestUnlistedDeadPeerIsDropped removes a dead node from the VM list. The other nodes must first
// mark it as dead and later drop it.
func TestUnlistedDeadPeerIsDropped(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3, 0)
	f.advance(2 * time.Second)
	f.nodes[2].dead = true
	f.vms = f.vms[:2]
	f.advance(10 * time.Second)
	c.Assert(f.nodes[0].peers["node-002"], qt.Equals, heartbeater.StateDead)
	f.advance(time.Minute)
	_, known := f.nodes[0].peers["node-002"]
	c.Assert(known, qt.IsFalse)
}

// TestLatestIncarnationWins delivers one peer's heartbeats in random order. The latest incarnation
// must win, and within it a leaving state must not be undone.
func TestLatestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := heartbeater.NewHeartbeater(heartbeater.Heartbeat{Node: "self", Incarnation: 1})
		now := time.Unix(1_000_000, 0)
		var latest identifier.Incarnation
		hasLeft := map[identifier.Incarnation]bool{}
		var peer heartbeater.Peer
		for range rapid.IntRange(1, 20).Draw(t, "beats") {
			beat := heartbeater.Heartbeat{Node: "peer", Address: "a", Incarnation: identifier.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")), Leaving: rapid.Bool().Draw(t, "leaving")}
			effects := h.Apply(now, heartbeater.HeartbeatAnswered{Heartbeat: beat})
			if beat.Incarnation >= latest {
				latest = beat.Incarnation
				hasLeft[latest] = hasLeft[latest] || beat.Leaving
			}
			for _, e := range effects {
				if b, ok := e.(messenger.Broadcast); ok {
					peer = b.Event.(heartbeater.PeersChanged).Peers[0]
				}
			}
			if isLeaving := peer.State == heartbeater.StateLeaving; isLeaving != hasLeft[latest] {
				t.Fatalf("incarnation %d leaving=%t, but the state is %s", latest, hasLeft[latest], peer.State)
			}
		}
	})
}

// TestSlopes measures each node's heartbeat traffic, sent and received, in bytes per second.
func TestSlopes(t *testing.T) {
	const maxBytesPerSecond = 19_000
	c := qt.New(t)
	t.Log("| nodes | idle, B/s a node | one engine in four leaving within 5 s, B/s a node | polls/s a node |")
	for _, nodes := range []int{8, 16, 32, 64} {
		f := newFleet(nodes, nodes)
		f.advance(20 * time.Second)
		idle, polls := f.measure(5*time.Second, func() {})
		busy, _ := f.measure(5*time.Second, func() {
			index := 0
			for _, vm := range f.vms {
				if e, ok := f.engines[identifier.TargetID(vm.ID)]; ok && index%4 == 0 {
					e.status.Leaving = true
				}
				index++
			}
		})
		t.Logf("| %d | %d | %d | %d |", nodes, idle, busy, polls)
		if nodes > maxMeshNodes {
			c.Check(idle < maxBytesPerSecond, qt.IsTrue, qt.Commentf("%d nodes spend %d B/s each", nodes, idle))
			c.Check(busy < maxBytesPerSecond, qt.IsTrue, qt.Commentf("%d nodes spend %d B/s each", nodes, busy))
		}
	}
}

func (f *fleet) measure(d time.Duration, change func()) (bytes, polls int) {
	for _, n := range f.nodes {
		n.bytes, n.polls = 0, 0
	}
	change()
	f.advance(d)
	for _, n := range f.nodes {
		bytes += n.bytes
		polls += n.polls
	}
	divisor := len(f.nodes) * int(d/time.Second)
	return bytes / divisor, polls / divisor
}
