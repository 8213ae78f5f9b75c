package follower_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/platform/storefaker"
)

// configurationLimit is the time within which a confirmed configuration must be in force.
const configurationLimit = 2 * time.Second

// version returns the newest version that was submitted.
func (e *events) version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := int64(0)
	for _, ev := range e.submitted {
		if read, ok := ev.(dispatcher.ConfigurationRead); ok {
			newest = max(newest, read.Table.Version)
		}
	}
	return newest
}

// awaitVersion waits until a node has read a version, which was published just before.
func awaitVersion(c *qt.C, e *events, version int64) {
	for until := time.Now().Add(configurationLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if e.version() == version {
			return
		}
	}
	c.Fatalf("version %d is in force, not %d, %v after that was published", e.version(), version, configurationLimit)
}

// restoration is how a store comes back from a copy.
type restoration struct {
	// lost is how many versions were published after the copy was made, rewritten how many the operator publishes again.
	lost, rewritten int
	// outage is how long the store is away, and isRead whether it can be read before the next version is published.
	outage time.Duration
	isRead bool
}

func (r restoration) String() string {
	return fmt.Sprintf("%d lost, %d written again, away %v, read before: %t", r.lost, r.rewritten, r.outage, r.isRead)
}

// restorations are those after which the topic ends before, at and after the offset up to which it had been read.
func restorations() []restoration {
	var out []restoration
	for _, lost := range []int{1, 2} {
		for rewritten := range 3 {
			for _, outage := range []time.Duration{0, 300 * time.Millisecond} {
				out = append(out, restoration{lost: lost, rewritten: rewritten, outage: outage}, restoration{lost: lost, rewritten: rewritten, outage: outage, isRead: true})
			}
		}
	}
	return out
}

// TestVersionAfterRestorationIsRead guards against a version that is never read because the store was restored from a
// copy and has grown again to the offset from which nodes go on reading: by nodes that read the store and their peers.
func TestVersionAfterRestorationIsRead(t *testing.T) {
	for _, r := range restorations() {
		t.Run(r.String(), func(t *testing.T) {
			t.Parallel()
			c, store, first, second := startTwo(t)
			version := 1
			for range 2 {
				version = restore(c, store, r, version, first.events, second.events)
			}
		})
	}
}

// restore restores the store from a copy that is older than the newest versions, publishes a further one and waits until
// the nodes have it. It returns its number.
func restore(c *qt.C, store *storefaker.Store, r restoration, version int, nodes ...*events) int {
	publish := func(version int) {
		c.Assert(store.PutConfiguration(storefaker.Sample(version, "key")), qt.IsNil)
	}
	awaitAll := func(version int) {
		for _, e := range nodes {
			awaitVersion(c, e, int64(version))
		}
	}
	store.BackUp()
	for range r.lost {
		version++
		publish(version)
	}
	awaitAll(version)
	if r.outage > 0 {
		store.SetFault(storefaker.Busy)
		time.Sleep(r.outage)
	}
	store.Restore()
	if r.isRead {
		store.SetFault(storefaker.None)
		time.Sleep(r.outage)
	}
	for range r.rewritten {
		publish(version)
	}
	version++
	publish(version)
	store.SetFault(storefaker.None)
	awaitAll(version)
	return version
}

// restoreOlderCopy restores the store from a copy that lacks version 2, which both nodes know.
func restoreOlderCopy(t *testing.T) (*qt.C, *storefaker.Store) {
	t.Helper()
	c, store, first, second := startTwo(t)
	store.BackUp()
	c.Assert(store.PutConfiguration(storefaker.Sample(2, "key")), qt.IsNil)
	awaitVersion(c, first.events, 2)
	awaitVersion(c, second.events, 2)
	store.Restore()
	return c, store
}

// TestNewPeerLearnsVersionThatCopyLacks guards against a node that starts after a restoration and gets the older version
// of the copy from the node that it follows, although that one has a newer version in force.
func TestNewPeerLearnsVersionThatCopyLacks(t *testing.T) {
	c, store := restoreOlderCopy(t)
	awaitVersion(c, startNode(t, store, "third").events, 2)
}

// TestNewReaderLearnsVersionThatCopyLacks guards against a node that starts after a restoration, reads the older version
// of the copy from the store, and puts it in force.
func TestNewReaderLearnsVersionThatCopyLacks(t *testing.T) {
	c, store := restoreOlderCopy(t)
	third, _ := startReader(t, store, "third")
	awaitVersion(c, third.events, 2)
}

// missing reports whether a read of all targets lacked one before the node was told that entries may be missing.
func (e *events) missing(id identifier.TargetID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	wasThere, wasTold := false, false
	for _, ev := range e.submitted {
		switch ev := ev.(type) {
		case registrar.StoreReachable:
			wasTold = true
		case registrar.TargetsRead:
			isThere := slices.ContainsFunc(ev.Changes, func(c describer.TargetChange) bool { return c.ID == id && c.Target != nil })
			isRemoved := slices.ContainsFunc(ev.Changes, func(c describer.TargetChange) bool { return c.ID == id && c.Target == nil })
			if isThere {
				wasThere, wasTold = true, false
			}
			if wasThere && (isRemoved || (ev.IsComplete && !isThere)) {
				return !wasTold
			}
		}
	}
	return false
}

// TestTargetsThatCopyLacksAreKept guards against nodes that drop targets at once whose entries were written after the copy was
// made from which the store is restored: the targets write them again.
func TestTargetsThatCopyLacksAreKept(t *testing.T) {
	c, store, first, second := startTwo(t)
	store.BackUp()
	c.Assert(store.PutTarget("young", sampleTarget()), qt.IsNil)
	awaitTarget(c, first, "young", waitLimit)
	awaitTarget(c, second, "young", waitLimit)
	store.Restore()
	time.Sleep(configurationLimit)
	c.Check(first.missing("young"), qt.IsFalse)
	c.Check(second.missing("young"), qt.IsFalse)
}

// leases returns the changes of the lease that were submitted.
func (e *events) leases() []placer.LeaseChanged {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []placer.LeaseChanged
	for _, ev := range e.submitted {
		if lease, ok := ev.(placer.LeaseChanged); ok {
			out = append(out, lease)
		}
	}
	return out
}

// TestFenceGrowsThroughRestoration guards against orders with a lower fencing token than targets have seen, and against two nodes
// that order at the same time, because the store was restored from a copy that knows another holder of the lease.
func TestFenceGrowsThroughRestoration(t *testing.T) {
	_, c, store := startStore(t)
	first := startNode(t, store, "first")
	await[placer.LeaseChanged](c, first.events, 0)
	store.BackUp()
	second := startNode(t, store, "second")
	await[placer.LeaseChanged](c, second.events, 0)
	// The group has changed often since the copy was made; then the holder of the lease ends, and the other one has it.
	first.stop()
	awaitLease(c, second.events)
	store.SetFault(storefaker.Busy)
	time.Sleep(pause)
	store.Restore()
	store.SetFault(storefaker.None)
	third := startNode(t, store, "third")
	awaitLease(c, third.events, second.events)
	time.Sleep(configurationLimit)
	highest := identifier.FencingToken(0)
	for _, lease := range second.leases() {
		if lease.IsHeld {
			c.Check(lease.Fence >= highest, qt.IsTrue, qt.Commentf("fence %d after %d", lease.Fence, highest))
			highest = lease.Fence
		}
	}
}

const (
	// pause is how long a store is away, and joinInterval is longer than the time between two joins of a node.
	pause        = 300 * time.Millisecond
	joinInterval = 800 * time.Millisecond
)

// awaitLease waits until one of some nodes holds the lease.
func awaitLease(c *qt.C, nodes ...*events) {
	for until := time.Now().Add(2 * waitLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, e := range nodes {
			if leases := e.leases(); len(leases) > 0 && leases[len(leases)-1].IsHeld {
				return
			}
		}
	}
	c.Fatalf("no node holds the lease")
}

// holds reports whether a node believes that it holds the lease.
func (e *events) holds() bool {
	leases := e.leases()
	if len(leases) == 0 {
		return false
	}
	last := leases[len(leases)-1]
	return last.IsHeld && bootclock.Now().Before(last.Until)
}

// TestOneNodeHoldsLeaseThroughRestoration guards against two nodes that hold the lease at the same time, because the store was
// restored from a copy that knows another holder than the one before.
func TestOneNodeHoldsLeaseThroughRestoration(t *testing.T) {
	c, store, first, second := startTwo(t)
	store.BackUp()
	// The node that joins first after a redistribution gets the lease, so the other one can't join for a while.
	first.link.isCut.Store(true)
	store.Rebalance()
	for until := time.Now().Add(waitLimit); !second.holds() || first.holds(); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("the lease does not move within %v", waitLimit))
	}
	first.link.isCut.Store(false)
	time.Sleep(2 * joinInterval)
	c.Assert(second.holds() && !first.holds(), qt.IsTrue)
	// The second node learns late what the copy knows, while its lease still runs.
	second.link.isCut.Store(true)
	time.AfterFunc(2*joinInterval, func() { second.link.isCut.Store(false) })
	store.Restore()
	both, held := 0, 0
	for until := time.Now().Add(waitLimit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		switch {
		case first.holds() && second.holds():
			both++
		case first.holds() || second.holds():
			held++
		}
	}
	c.Check(both, qt.Equals, 0)
	c.Check(held > 0, qt.IsTrue)
	awaitLease(c, first.events, second.events)
}
