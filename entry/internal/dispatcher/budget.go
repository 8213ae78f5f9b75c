package dispatcher

import "time"

// budgetBuckets cover the window and the bucket that has just begun.
const budgetBuckets = 11

// budget counts the requests of a service in a sliding window, and how many were sent again.
type budget struct {
	bucket time.Duration
	at     int64
	first  [budgetBuckets]int
	again  [budgetBuckets]int
}

func newBudget(window time.Duration) *budget { return &budget{bucket: window / (budgetBuckets - 1)} }

func (b *budget) slot(now time.Time) int {
	at := now.UnixNano() / int64(b.bucket)
	if at-b.at > budgetBuckets {
		b.at = at - budgetBuckets
	}
	for b.at < at {
		b.at++
		b.first[b.at%budgetBuckets] = 0
		b.again[b.at%budgetBuckets] = 0
	}
	return int(at % budgetBuckets)
}

func (b *budget) noteFirst(now time.Time) { b.first[b.slot(now)]++ }

func (b *budget) noteAgain(now time.Time) { b.again[b.slot(now)]++ }

// allows reports whether one more repeat keeps the share of repeats.
func (b *budget) allows(now time.Time, ratio float64, share int) bool {
	b.slot(now)
	first, again := 0, 0
	for i := range budgetBuckets {
		first += b.first[i]
		again += b.again[i]
	}
	return float64(again+1) <= ratio*float64(first)+float64(share)
}

// quota is this node's part of the repeats that all nodes share. Parts move between
// nodes; what counts is the least that the node had during a whole window, so that the
// sum over all nodes never exceeds what is shared.
type quota struct {
	window time.Duration
	held   []holding
}

type holding struct {
	since   time.Time
	repeats int
}

func (a *quota) set(now time.Time, repeats int) {
	if n := len(a.held); n > 0 && a.held[n-1].repeats == repeats {
		return
	}
	a.held = append(a.held, holding{since: now, repeats: repeats})
}

// repeats returns the least part during the window that ends now.
func (a *quota) repeats(now time.Time) int {
	from := now.Add(-a.window)
	for len(a.held) > 1 && !a.held[1].since.After(from) {
		a.held = a.held[1:]
	}
	if len(a.held) == 0 || a.held[0].since.After(from) {
		return 0
	}
	least := a.held[0].repeats
	for _, h := range a.held {
		least = min(least, h.repeats)
	}
	return least
}
