// Package budgeter limits the retries of a node with a retry budget.
package budgeter

import "time"

// bucketCount is the number of buckets: those of the window and the one that has just begun.
const bucketCount = 11

// Budget counts the requests of a service and their retries in a sliding window.
type Budget struct {
	bucket   time.Duration
	at       int64
	requests [bucketCount]int
	retries  [bucketCount]int
}

// NewBudget returns an empty budget.
func NewBudget(window time.Duration) *Budget { return &Budget{bucket: window / (bucketCount - 1)} }

func (b *Budget) slot(now time.Time) int {
	at := now.UnixNano() / int64(b.bucket)
	if at-b.at > bucketCount {
		b.at = at - bucketCount
	}
	for b.at < at {
		b.at++
		b.requests[b.at%bucketCount] = 0
		b.retries[b.at%bucketCount] = 0
	}
	return int(at % bucketCount)
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) { b.requests[b.slot(now)]++ }

// CountRetry counts a retry.
func (b *Budget) CountRetry(now time.Time) { b.retries[b.slot(now)]++ }

// Allows reports whether one more retry stays within ratio times the requests in the window, plus share.
func (b *Budget) Allows(now time.Time, ratio float64, share int) bool {
	b.slot(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return float64(retries+1) <= ratio*float64(requests)+float64(share)
}

// Quota is this node's share of the retries that all nodes have in common beyond the ratio.
// Shares move between nodes. The smallest share that the node held during a whole window
// counts, so that the sum over all nodes never exceeds the common number.
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

// Set records the share that the node holds from now on.
func (q *Quota) Set(now time.Time, retries int) {
	if n := len(q.shares); n > 0 && q.shares[n-1].retries == retries {
		return
	}
	q.shares = append(q.shares, heldShare{since: now, retries: retries})
}

// Retries returns the smallest share that was held in the window that ends now.
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
