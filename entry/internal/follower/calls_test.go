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
)

// weightedCalls returns the calls of all nodes since the last time, where a call that joins counts as a tenth, and logs them by kind.
func (f *fleet) weightedCalls(phase string) float64 {
	var counts [callKinds]int64
	for _, n := range f.order {
		for kind := range counts {
			counts[kind] += n.link.kinds[kind].Swap(0)
		}
	}
	weighted := float64(counts[joinCall]) / 10
	for _, count := range counts[joinCall+1:] {
		weighted += float64(count)
	}
	f.Logf("%-12s %7.1f weighted: join %d, owners %d, newest configuration %d, read configuration %d, newest targets %d, read targets %d", phase, weighted,
		counts[joinCall], counts[ownersCall], counts[newestConfigurationCall], counts[readConfigurationCall], counts[newestTargetsCall], counts[readTargetsCall])
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

// TestStoreCallsDoNotGrowWithTrouble guards against calls to the store that grow with nodes and seconds instead of with changes.
func TestStoreCallsDoNotGrowWithTrouble(t *testing.T) {
	f := startFleet(t, countedNodes, func(s *fleetStore) { s.setTarget(true) })
	f.weightedCalls("start")
	time.Sleep(countTime)
	calm := f.weightedCalls("calm")
	f.restart(f.order[:countedNodes/10])
	time.Sleep(countTime)
	f.weightedCalls("restart")
	for _, n := range f.order[:countedNodes/3] {
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
	f.checkFresh()
	f.Check(cut/2 <= 1.5*calm, qt.IsTrue)
}
