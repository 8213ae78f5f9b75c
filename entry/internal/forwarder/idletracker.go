package forwarder

import (
	"sync"
	"time"
)

const (
	// newestWeight is the weight of the newest gap in the moving average.
	newestWeight = 0.05
	// gapWindow is the length of a window for which the longest gap is kept. With the window before it, a gap counts for one to two of
	// them: long enough to know a target that is slow now, and short enough to forget a fault.
	gapWindow = 2 * time.Second
)

// IdleTracker records when any request last received bytes from each target, and the target's typical and longest gap between events.
type IdleTracker struct {
	mu      sync.Mutex
	targets map[string]activity
}

type activity struct {
	lastReceived time.Time
	typicalGap   time.Duration
	// longest and formerLongest are the longest gaps of the window that began at windowAt and of the one before it.
	longest       time.Duration
	formerLongest time.Duration
	windowAt      time.Time
}

// advance begins a new window if the current one is over.
func (a *activity) advance(now time.Time) {
	switch age := now.Sub(a.windowAt); {
	case age < gapWindow:
		return
	case age < 2*gapWindow:
		a.formerLongest = a.longest
	default:
		a.formerLongest = 0
	}
	a.longest, a.windowAt = 0, now
}

// Gaps are what is known of a target's gaps between two events.
type Gaps struct {
	Typical time.Duration
	// Longest is the longest one lately seen.
	Longest time.Duration
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

// recordGap records a gap between two events.
func (t *IdleTracker) recordGap(address string, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.targets[address]
	if a.typicalGap == 0 {
		a.typicalGap = gap
	}
	a.typicalGap += time.Duration(newestWeight * float64(gap-a.typicalGap))
	a.advance(now)
	a.longest = max(a.longest, gap)
	t.targets[address] = a
}

// idleTime returns for how long nothing was received from a target, counted from since at the earliest, and its gaps.
func (t *IdleTracker) idleTime(address string, since, now time.Time) (time.Duration, Gaps) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.targets[address]
	if a.lastReceived.After(since) {
		since = a.lastReceived
	}
	a.advance(now)
	return now.Sub(since), Gaps{Typical: a.typicalGap, Longest: max(a.longest, a.formerLongest)}
}
