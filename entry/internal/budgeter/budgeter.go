// Package budgeter bounds how many requests a node sends again.
package budgeter

import "time"

// budgetBuckets cover the window and the bucket that has just begun.
const budgetBuckets = 11

// Budget counts the requests of a service in a sliding window, and how many were sent again.
type Budget struct {
	bucket time.Duration
	at     int64
	first  [budgetBuckets]int
	again  [budgetBuckets]int
}

// NewBudget returns a budget without requests.
func NewBudget(window time.Duration) *Budget { return &Budget{bucket: window / (budgetBuckets - 1)} }

func (b *Budget) slot(now time.Time) int {
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

// NoteFirst counts a request that is sent for the first time.
func (b *Budget) NoteFirst(now time.Time) { b.first[b.slot(now)]++ }

// NoteAgain counts one that is sent again.
func (b *Budget) NoteAgain(now time.Time) { b.again[b.slot(now)]++ }

// Allows reports whether one more repeat keeps the share of repeats.
func (b *Budget) Allows(now time.Time, ratio float64, share int) bool {
	b.slot(now)
	first, again := 0, 0
	for i := range budgetBuckets {
		first += b.first[i]
		again += b.again[i]
	}
	return float64(again+1) <= ratio*float64(first)+float64(share)
}

// Quota is this node's part of the repeats that all nodes share. Parts move between
// nodes; what counts is the least that the node had during a whole window, so that the
// sum over all nodes never exceeds what is shared.
type Quota struct {
	window time.Duration
	held   []holding
}

// NewQuota returns a quota that counts over a window, of which nothing is held yet.
func NewQuota(window time.Duration) *Quota { return &Quota{window: window} }

// holding is a part that was held from an instant on.
type holding struct {
	since   time.Time
	repeats int
}

// Set takes in the part that the node holds from now on.
func (q *Quota) Set(now time.Time, repeats int) {
	if n := len(q.held); n > 0 && q.held[n-1].repeats == repeats {
		return
	}
	q.held = append(q.held, holding{since: now, repeats: repeats})
}

// Repeats returns the least part during the window that ends now.
func (q *Quota) Repeats(now time.Time) int {
	from := now.Add(-q.window)
	for len(q.held) > 1 && !q.held[1].since.After(from) {
		q.held = q.held[1:]
	}
	if len(q.held) == 0 || q.held[0].since.After(from) {
		return 0
	}
	least := q.held[0].repeats
	for _, h := range q.held {
		least = min(least, h.repeats)
	}
	return least
}
