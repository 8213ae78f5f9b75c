package admitter

import (
	"slices"
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/drafter"
)

// flow identifies requests that are queued together: those of one client account and one priority.
// It does not use class names, because callers choose them and could get an extra share with each
// new name.
type flow struct {
	account  identifier.AccountID
	priority int
}

func flowOf(r drafter.Request) flow { return flow{r.Account, r.Priority} }

// waiter is one waiting request. Further calls for its draft wait with it.
type waiter struct {
	flow     flow
	calls    []drafter.Request
	startTag float64
	bytes    int
	sequence uint64
}

func (w *waiter) first() drafter.Request { return w.calls[0] }

// fairQueue orders waiting requests by start-time fair queueing: a flow that always has waiting
// requests is served in proportion to its weight, measured in tokens.
type fairQueue struct {
	// virtualTime is the start tag of the request that was served last.
	virtualTime float64
	// finishTags holds, for each flow, the earliest start tag of its next request.
	finishTags   map[flow]float64
	waiting      map[identifier.DraftID]*waiter
	bytes        int
	nextSequence uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{finishTags: map[flow]float64{}, waiting: map[identifier.DraftID]*waiter{}}
}

// startTag returns the start tag that the flow's next request would get.
func (q *fairQueue) startTag(f flow) float64 { return max(q.virtualTime, q.finishTags[f]) }

func (q *fairQueue) push(r drafter.Request, weight float64) {
	w := &waiter{flow: flowOf(r), calls: []drafter.Request{r}, bytes: len(r.Prompt), sequence: q.nextSequence}
	q.nextSequence++
	w.startTag = q.startTag(w.flow)
	q.finishTags[w.flow] = w.startTag + cost(r)/weight
	q.waiting[r.Draft] = w
	q.bytes += w.bytes
}

// cost returns what a request is charged to its flow, in tokens.
func cost(r drafter.Request) float64 { return float64(max(1, r.MaxTokens)) }

// pop removes and returns the request with the lowest start tag.
func (q *fairQueue) pop() (*waiter, bool) {
	var next *waiter
	for _, w := range q.waiting {
		if next == nil || w.startTag < next.startTag || w.startTag == next.startTag && w.sequence < next.sequence {
			next = w
		}
	}
	if next == nil {
		return nil, false
	}
	q.virtualTime = max(q.virtualTime, next.startTag)
	q.remove(next)
	return next, true
}

func (q *fairQueue) remove(w *waiter) {
	delete(q.waiting, w.first().Draft)
	q.bytes -= w.bytes
	if len(q.waiting) == 0 {
		clear(q.finishTags)
	}
}

// countAhead counts the requests of the same priority that would be served before one that the flow
// adds now.
func (q *fairQueue) countAhead(f flow) int {
	n, startTag := 0, q.startTag(f)
	for _, w := range q.waiting {
		if w.flow.priority == f.priority && w.startTag <= startTag {
			n++
		}
	}
	return n
}

// newestOfLongestFlow returns the newest request of the flow with the longest queue relative to its
// weight.
func (q *fairQueue) newestOfLongestFlow() *waiter {
	var longest *waiter
	for _, w := range q.waiting {
		if longest == nil || w.backlog(q) > longest.backlog(q) || w.backlog(q) == longest.backlog(q) && w.sequence > longest.sequence {
			longest = w
		}
	}
	return longest
}

// backlog returns how far the request's start tag is ahead of the virtual time. It grows with the
// queue of the request's flow.
func (w *waiter) backlog(q *fairQueue) float64 { return w.startTag - q.virtualTime }

// removeLate removes and returns, in order of arrival, the requests that can no longer meet their
// deadline.
func (q *fairQueue) removeLate(now time.Time, serviceTime func(drafter.Request) time.Duration) []*waiter {
	return q.removeIf(func(r drafter.Request) bool { return now.Add(serviceTime(r)).After(r.Deadline) })
}

// removePoison removes and returns, in order of arrival, the requests with the given fingerprints.
func (q *fairQueue) removePoison(fingerprints []string) []*waiter {
	return q.removeIf(func(r drafter.Request) bool { return slices.Contains(fingerprints, r.IsolationKey()) })
}

func (q *fairQueue) removeIf(matches func(drafter.Request) bool) []*waiter {
	var removed []*waiter
	for _, w := range q.waiting {
		if matches(w.first()) {
			removed = append(removed, w)
		}
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].sequence < removed[j].sequence })
	for _, w := range removed {
		q.remove(w)
	}
	return removed
}
