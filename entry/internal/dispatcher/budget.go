package dispatcher

import "time"

const (
	budgetBuckets = 10
	// budgetFloor is how many repeats a node may send in a window whatever its requests and share.
	budgetFloor = 3
)

// budget counts the requests of a service in a sliding window, and how many were sent again.
type budget struct {
	bucket time.Duration
	at     int64
	first  [budgetBuckets]int
	again  [budgetBuckets]int
}

func newBudget(window time.Duration) *budget { return &budget{bucket: window / budgetBuckets} }

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
	return float64(again+1) <= ratio*float64(first)+float64(max(budgetFloor, share))
}
