package integration_test

import (
	"math/rand/v2"
	"net"
	"time"
)

const (
	// hangUpStream is the stream of random numbers for SIGHUPs. They have their own, so that a seed draws the same other faults as
	// without them.
	hangUpStream = 1_000_000
	// maxHangUps is how many SIGHUPs follow each other at one node, maxHangUpGap the longest time between two of them, and
	// maxHangUpInterval that between two series.
	maxHangUps        = 4
	maxHangUpGap      = 120 * time.Millisecond
	maxHangUpInterval = 1500 * time.Millisecond
)

// hangUpNodes sends series of SIGHUPs to nodes until the run ends, whatever else happens to these meanwhile: they may just be
// stopping or paused, or apply a new configuration.
func (s *relaySoak) hangUpNodes(rnd *rand.Rand) {
	for time.Now().Before(s.until) {
		s.mu.Lock()
		node := s.nodes[rnd.IntN(len(s.nodes))]
		s.mu.Unlock()
		for range 1 + rnd.IntN(maxHangUps) {
			if isListening(node.Health) {
				node.HangUp()
			}
			time.Sleep(time.Duration(rnd.Int64N(int64(maxHangUpGap))))
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(maxHangUpInterval))))
	}
}

// isListening reports whether a process listens at an address. Before, a signal may come too early for any program to handle it.
func isListening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, maxHangUpGap)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
