// Package budgeter limits the retries of a node to a ratio of its requests, plus its share of a
// quota that all nodes have in common.
package budgeter

import "time"

const (
	// windowBuckets is the number of buckets that make up a window.
	windowBuckets = 10
	// bucketCount is the number of buckets: two windows and the current bucket, which is still being filled.
	bucketCount = 2*windowBuckets + 1
)

// Budget counts the requests of a service and their retries.
type Budget struct {
	bucketLength time.Duration
	// currentBucket is the number of the current bucket, counted from the Unix epoch.
	currentBucket int64
	requests      [bucketCount]int
	retries       [bucketCount]int
}

// NewBudget returns an empty budget.
func NewBudget(window time.Duration) *Budget {
	return &Budget{bucketLength: window / windowBuckets}
}

// advance clears the buckets that are too old and returns the index of the current one.
func (b *Budget) advance(now time.Time) int {
	at := now.UnixNano() / int64(b.bucketLength)
	if at-b.currentBucket > bucketCount {
		b.currentBucket = at - bucketCount
	}
	for b.currentBucket < at {
		b.currentBucket++
		b.requests[b.currentBucket%bucketCount] = 0
		b.retries[b.currentBucket%bucketCount] = 0
	}
	return int(at % bucketCount)
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) { b.requests[b.advance(now)]++ }

// CountRetry counts a retry.
func (b *Budget) CountRetry(now time.Time) { b.retries[b.advance(now)]++ }

// count returns the requests that earn retries now, and the retries of at least one window.
//
// The requests are those of a whole window, the one with the fewest of all that have ended within the last window. So
// for any window, the retries of all nodes are earned by the requests of one and the same window before it, also if
// requests have moved between nodes since, and a node that has just started has earned none.
func (b *Budget) count(now time.Time) (requests, retries int) {
	current := b.advance(now)
	bucket := func(age int) int { return (current - age + bucketCount) % bucketCount }
	for age := range windowBuckets + 1 {
		retries += b.retries[bucket(age)]
	}
	sum := 0
	for age := 1; age <= windowBuckets; age++ {
		sum += b.requests[bucket(age)]
	}
	requests = sum
	for age := 1; age <= windowBuckets; age++ {
		sum += b.requests[bucket(age+windowBuckets)] - b.requests[bucket(age)]
		requests = min(requests, sum)
	}
	return requests, retries
}

// Allows reports whether one more retry stays within ratio times the requests that count, plus quota.
func (b *Budget) Allows(now time.Time, ratio float64, quota int) bool {
	requests, retries := b.count(now)
	return float64(retries+1) <= ratio*float64(requests)+float64(quota)
}

// Quota is this node's share of the retries that all nodes together may make beyond the ratio.
// Shares move between nodes. Only the smallest share that the node held within the last window
// counts, so that the retries of all nodes never exceed the common limit.
type Quota struct {
	window time.Duration
	shares []heldShare
}

// NewQuota returns a quota over a window, with no share held yet.
func NewQuota(window time.Duration) *Quota { return &Quota{window: window} }

// heldShare is a share that is held from a given time on.
type heldShare struct {
	since   time.Time
	retries int
}

// Set records the share that the node holds from now on, and reports whether it has changed.
func (q *Quota) Set(now time.Time, retries int) bool {
	if n := len(q.shares); n > 0 && q.shares[n-1].retries == retries {
		return false
	}
	q.shares = append(q.shares, heldShare{since: now, retries: retries})
	return true
}

// Retries returns the smallest share that was held in the window that ends now, 0 if none was
// held yet when the window began.
func (q *Quota) Retries(now time.Time) int {
	from := now.Add(-q.window)
	for len(q.shares) > 1 && !q.shares[1].since.After(from) {
		q.shares = q.shares[1:]
	}
	if len(q.shares) == 0 || q.shares[0].since.After(from) {
		return 0
	}
	lowest := q.shares[0].retries
	for _, h := range q.shares {
		lowest = min(lowest, h.retries)
	}
	return lowest
}
