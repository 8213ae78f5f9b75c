package forwarder

import (
	"sync"
	"time"
)

// newestWeight is the weight of the newest gap in the moving average.
const newestWeight = 0.05

// IdleTracker records when any request last received bytes from each target, and the target's typical gap between events.
type IdleTracker struct {
	mu      sync.Mutex
	targets map[string]activity
}

type activity struct {
	lastReceived time.Time
	gap          time.Duration
}

// NewIdleTracker returns a tracker without any targets.
func NewIdleTracker() *IdleTracker { return &IdleTracker{targets: map[string]activity{}} }

func (w *IdleTracker) received(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.targets[address]
	s.lastReceived = now
	w.targets[address] = s
}

// recordGap adds a gap between two events to the moving average.
func (w *IdleTracker) recordGap(address string, gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.targets[address]
	if s.gap == 0 {
		s.gap = gap
	}
	s.gap += time.Duration(newestWeight * float64(gap-s.gap))
	w.targets[address] = s
}

// idle returns for how long nothing was received from a target, counted from since at the earliest, and its typical gap.
func (w *IdleTracker) idleTime(address string, since, now time.Time) (time.Duration, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.targets[address]
	if s.lastReceived.After(since) {
		since = s.lastReceived
	}
	return now.Sub(since), s.gap
}
