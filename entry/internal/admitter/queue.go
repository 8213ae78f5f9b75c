package admitter

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/drafter"
)

// flow names what is queued together: the classes of one priority of one client account.
// Class names are the callers' own, so that a flow for each would be a share for each.
type flow struct {
	account  identifier.AccountID
	priority int
}

func flowOf(a drafter.Arrived) flow { return flow{a.Account, a.Priority} }

// waiter is one request that waits; further calls for its draft wait with it.
type waiter struct {
	flow   flow
	calls  []drafter.Arrived
	start  float64
	bytes  int
	number uint64
}

func (w *waiter) first() drafter.Arrived { return w.calls[0] }

// fairQueue orders waiting requests by start-time fair queueing: a flow that always has
// requests waiting is served in proportion to its weight, counted in tokens.
type fairQueue struct {
	// virtual is the start tag of the request that was served last.
	virtual float64
	// finish holds the tag at which each flow's next request may start.
	finish  map[flow]float64
	waiting map[identifier.DraftID]*waiter
	bytes   int
	numbers uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{finish: map[flow]float64{}, waiting: map[identifier.DraftID]*waiter{}}
}

// tag returns the start tag that the flow's next request would have.
func (q *fairQueue) tag(f flow) float64 { return max(q.virtual, q.finish[f]) }

func (q *fairQueue) push(a drafter.Arrived, weight float64) {
	w := &waiter{flow: flowOf(a), calls: []drafter.Arrived{a}, bytes: len(a.Prompt), number: q.numbers}
	q.numbers++
	w.start = q.tag(w.flow)
	q.finish[w.flow] = w.start + cost(a)/weight
	q.waiting[a.Draft] = w
	q.bytes += w.bytes
}

// cost is what a request counts against its flow.
func cost(a drafter.Arrived) float64 { return float64(max(1, a.MaxTokens)) }

// pop removes the request with the least tag.
func (q *fairQueue) pop() (*waiter, bool) {
	var next *waiter
	for _, w := range q.waiting {
		if next == nil || w.start < next.start || w.start == next.start && w.number < next.number {
			next = w
		}
	}
	if next == nil {
		return nil, false
	}
	q.virtual = max(q.virtual, next.start)
	q.remove(next)
	return next, true
}

func (q *fairQueue) remove(w *waiter) {
	delete(q.waiting, w.first().Draft)
	q.bytes -= w.bytes
	if len(q.waiting) == 0 {
		clear(q.finish)
	}
}

// ahead counts the requests of the same priority that would be served before one that the flow adds now.
func (q *fairQueue) ahead(f flow) int {
	n, tag := 0, q.tag(f)
	for _, w := range q.waiting {
		if w.flow.priority == f.priority && w.start <= tag {
			n++
		}
	}
	return n
}

// longest returns the newest request of the flow with the most waiting for its weight.
func (q *fairQueue) longest() *waiter {
	var longest *waiter
	for _, w := range q.waiting {
		if longest == nil || w.lag(q) > longest.lag(q) || w.lag(q) == longest.lag(q) && w.number > longest.number {
			longest = w
		}
	}
	return longest
}

// lag is how far ahead of the served ones the request starts: the more its flow has waiting, the later.
func (w *waiter) lag(q *fairQueue) float64 { return w.start - q.virtual }

// late removes and returns, in the order they came, the requests that can't be in time any more.
func (q *fairQueue) late(now time.Time, service func(drafter.Arrived) time.Duration) []*waiter {
	var late []*waiter
	for _, w := range q.waiting {
		if now.Add(service(w.first())).After(w.first().Deadline) {
			late = append(late, w)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].number < late[j].number })
	for _, w := range late {
		q.remove(w)
	}
	return late
}
