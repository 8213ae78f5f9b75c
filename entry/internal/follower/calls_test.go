package follower_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// callKind is a kind of call to the store.
type callKind int

const (
	joinCall callKind = iota
	ownersCall
	newestConfigurationCall
	readConfigurationCall
	newestTargetsCall
	readTargetsCall
	callKinds
)

const (
	// countedNodes is the size of the fleet whose calls are counted.
	countedNodes = 128
	// countTime is how long calls are counted in each phase, and cutTime how long nodes are cut off.
	countTime = 6 * time.Second
	cutTime   = 12 * time.Second
	// maxCalmCalls is how many weighted calls the fleet may make in countTime in calm, of which its joins are 77, and maxTroubleFactor how
	// many times as many with trouble.
	maxCalmCalls     = 115
	maxTroubleFactor = 1.5
)

// weightedCalls returns the calls of all nodes that have reached the store since the last time, where a call that joins counts as a tenth, and logs them by kind.
func (f *fleet) weightedCalls(phase string) float64 {
	var counts [callKinds]int64
	failed := int64(0)
	for _, n := range f.order {
		for kind := range counts {
			counts[kind] += n.link.kinds[kind].Swap(0)
		}
		failed += n.link.failed.Swap(0)
	}
	weighted := float64(counts[joinCall]) / 10
	for _, count := range counts[joinCall+1:] {
		weighted += float64(count)
	}
	f.Logf("%-12s %7.1f weighted: join %d, owners %d, newest configuration %d, read configuration %d, newest targets %d, read targets %d; %d failed", phase, weighted,
		counts[joinCall], counts[ownersCall], counts[newestConfigurationCall], counts[readConfigurationCall], counts[newestTargetsCall], counts[readTargetsCall], failed)
	return weighted
}

// restart ends some nodes and starts them again without what they knew.
func (f *fleet) restart(nodes []*fleetNode) {
	for _, n := range nodes {
		n.isDead.Store(true)
		n.stop()
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		f.prepare(n)
		n.isDead.Store(false)
		f.run(n)
	}
}

// every returns the nodes whose number has a remainder, so that some of them read the store.
func (f *fleet) every(step, remainder int) []*fleetNode {
	var out []*fleetNode
	for i := remainder; i < len(f.order); i += step {
		out = append(out, f.order[i])
	}
	return out
}

// TestStoreCallsDoNotGrowWithTrouble guards against calls to the store that grow with nodes and seconds instead of with changes.
func TestStoreCallsDoNotGrowWithTrouble(t *testing.T) {
	f := startFleet(t, countedNodes, func(s *fleetStore) {
		s.setTarget(true)
		s.addMembers(countedNodes)
	})
	f.weightedCalls("start")
	time.Sleep(countTime)
	calm := f.weightedCalls("calm")
	f.restart(f.every(10, 1))
	time.Sleep(countTime)
	restarted := f.weightedCalls("restart")
	for _, n := range f.every(3, 0) {
		n.link.isCut.Store(true)
	}
	time.Sleep(cutTime)
	cut := f.weightedCalls("cut off")
	for _, n := range f.order {
		n.link.isCut.Store(false)
	}
	time.Sleep(countTime)
	f.weightedCalls("joined")
	f.store.setReaders(countedNodes / 2)
	time.Sleep(countTime)
	f.weightedCalls("rebalanced")
	f.checkFresh(1500 * time.Millisecond)
	f.Check(calm <= maxCalmCalls, qt.IsTrue, qt.Commentf("%v calls in calm", calm))
	f.Check(cut/2 <= maxTroubleFactor*calm, qt.IsTrue, qt.Commentf("%v calls of %v in calm while nodes are cut off", cut/2, calm))
	f.Check(restarted <= maxTroubleFactor*calm, qt.IsTrue, qt.Commentf("%v calls of %v in calm after a restart", restarted, calm))
}

// TestFollowersOutliveLeadOfReaders guards against nodes that answer with an old configuration, do not learn of a target or all read the
// store, because the reader that the other readers follow has ended, does not answer, or is cut off from the store.
func TestFollowersOutliveLeadOfReaders(t *testing.T) {
	const size, changeLimit, maxReads = 48, 2 * time.Second, 3 * fleetReaders
	for name, fail := range map[string]func(*fleetNode){
		"ended": func(n *fleetNode) {
			n.isDead.Store(true)
			n.stop()
		},
		"frozen": func(n *fleetNode) {
			n.isFrozen.Store(true)
			n.stop()
		},
		"cut off": func(n *fleetNode) { n.link.isCut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, size, func(s *fleetStore) { s.addMembers(size) })
			f.weightedCalls("start")
			lead := f.order[0]
			f.Assert(lead.joiner.IsLead() && !f.order[1].joiner.IsLead() && f.order[1].joiner.IsReader(), qt.IsTrue)
			fail(lead)
			f.order = f.order[1:]
			f.store.setTarget(true)
			f.store.change()
			for range 4 {
				time.Sleep(changeLimit)
				f.checkFresh(changeLimit)
				for _, n := range f.order {
					f.Check(n.knowsTarget(), qt.IsTrue, qt.Commentf("%s", n.id))
				}
			}
			f.weightedCalls(name)
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.Check(f.store.completeReads <= maxReads, qt.IsTrue, qt.Commentf("%d reads of all targets", f.store.completeReads))
		})
	}
}
