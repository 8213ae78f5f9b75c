package continuer

import (
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// maxMoves is how many streams of a node may leave a silent chain within moveWindow, so that a slow second of a whole chain does
	// not move all its streams.
	maxMoves   = 2
	moveWindow = time.Second
)

// MoveLimiter limits how many streams leave silent chains, for each first target.
type MoveLimiter struct {
	moves map[identifier.TargetID][]time.Time
}

// NewMoveLimiter returns a limiter that has seen no moves.
func NewMoveLimiter() *MoveLimiter {
	return &MoveLimiter{moves: map[identifier.TargetID][]time.Time{}}
}

// Allows reports whether a stream may leave a silent chain that begins at a target.
func (l *MoveLimiter) Allows(now time.Time, first identifier.TargetID) bool {
	recent := 0
	for _, at := range l.moves[first] {
		if now.Sub(at) < moveWindow {
			recent++
		}
	}
	return recent < maxMoves
}

// Count counts a stream that leaves a silent chain.
func (l *MoveLimiter) Count(now time.Time, first identifier.TargetID) {
	l.moves[first] = append(l.moves[first], now)
}

// Tick forgets the moves whose window is over.
func (l *MoveLimiter) Tick(now time.Time) {
	for first, moves := range l.moves {
		l.moves[first] = slices.DeleteFunc(moves, func(at time.Time) bool { return now.Sub(at) >= moveWindow })
	}
	maps.DeleteFunc(l.moves, func(_ identifier.TargetID, moves []time.Time) bool { return len(moves) == 0 })
}
