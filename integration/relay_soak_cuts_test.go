package integration_test

import (
	"math/rand/v2"
	"time"

	"fuchsiabridge.example/integration/launcher"
)

const (
	// cutStream is the stream of random numbers for cuts. They have their own, so that a seed draws the same other faults as without them.
	cutStream = 2_000_000
	// maxCutTime is how long a cut lasts at most, and maxCutInterval the longest time between two of them.
	maxCutTime     = 5 * time.Second
	maxCutInterval = 4 * time.Second
	// shortCutTime is how long a target that is not cut off may be silent.
	shortCutTime = 1200 * time.Millisecond
)

// cutNodes cuts some nodes, at times all but one, off from all targets, or makes a single target silent for a second, until the run ends,
// whatever else happens to the nodes meanwhile.
func (s *relaySoak) cutNodes(rnd *rand.Rand) {
	for time.Now().Before(s.until) {
		cut := launcher.Cut{Kind: []string{"hang", "reset", "refuse"}[rnd.IntN(3)]}
		length := time.Duration(rnd.Int64N(int64(maxCutTime)))
		count := 1 + rnd.IntN(max(1, len(s.nodes)-1))
		if rnd.IntN(3) == 0 {
			target := s.fleet.Any(string(rune('a'+rnd.IntN(3))), []string{"drafting", "ledger"}[rnd.IntN(2)], rnd.IntN(3))
			if target == "" {
				continue
			}
			cut, length, count = launcher.Cut{Kind: "hang", Addresses: []string{s.fleet.AddressOf(target)}}, min(length, shortCutTime), len(s.nodes)
		}
		first := rnd.IntN(len(s.nodes))
		s.t.Logf("%s cut %s %v at %d nodes from node %d on, for %v", time.Now().Format("05.000"), cut.Kind, cut.Addresses, count, first, length.Round(time.Millisecond))
		s.setCut(first, count, cut)
		time.Sleep(length)
		s.setCut(0, len(s.nodes), launcher.Cut{})
		time.Sleep(time.Duration(rnd.Int64N(int64(maxCutInterval))))
	}
}

// setCut sets the cut of some nodes. One that is not running starts without.
func (s *relaySoak) setCut(first, count int, cut launcher.Cut) {
	for i := range count {
		s.mu.Lock()
		node := s.nodes[(first+i)%len(s.nodes)]
		s.mu.Unlock()
		node.TrySetCut(cut)
	}
}
