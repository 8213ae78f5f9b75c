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
	typicalGap   time.Duration
}

// NewIdleTracker returns a tracker without any targets.
func NewIdleTracker() *IdleTracker { return &IdleTracker{targets: map[string]activity{}} }

func (t *IdleTracker) received(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.targets[address]
	a.lastReceived = now
	t.targets[address] = a
}

// recordGap adds a gap between two events to the moving average.
func (t *IdleTracker) recordGap(address string, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.targets[address]
	if a.typicalGap == 0 {
		a.typicalGap = gap
	}
	a.typicalGap += time.Duration(newestWeight * float64(gap-a.typicalGap))
	t.targets[address] = a
}

// idleTime returns for how long nothing was received from a target, counted from since at the earliest, and its typical gap.
func (t *IdleTracker) idleTime(address string, since, now time.Time) (time.Duration, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.targets[address]
	if a.lastReceived.After(since) {
		since = a.lastReceived
	}
	return now.Sub(since), a.typicalGap
}
