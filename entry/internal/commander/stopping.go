package commander

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	stopPollInterval = 20 * time.Millisecond
	// flushTimeout is how long a stopping node waits for records that have not been written to the log.
	flushTimeout = 5 * time.Second
)

// requestTracker counts the requests that the server is handling.
type requestTracker struct {
	open      atomic.Int64
	isLeaving atomic.Bool
}

// wrap counts each request. While the node is leaving, every answer asks the caller to close the connection,
// so that no later request is sent on a connection that is being closed.
func (g *requestTracker) wrap(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		g.open.Add(1)
		defer g.open.Add(-1)
		handle(c)
		if g.isLeaving.Load() {
			c.SetConnectionClose()
		}
	}
}

// stoppable is the part of the node that a graceful stop uses.
type stoppable interface {
	Leave()
	Open() int64
	Unwritten() int
}

// stop makes the node unready, keeps serving for the balancer lag, and then refuses further requests and waits until no request is open or
// the limit has passed. Last, it waits for records that still have to be written to the log.
func (g *requestTracker) stop(n stoppable, refuse func(), lag time.Duration, limit time.Time) {
	n.Leave()
	g.isLeaving.Store(true)
	time.Sleep(lag)
	refuse()
	waitUntil(limit, func() bool { return n.Open() == 0 && g.open.Load() == 0 })
	flushDeadline := time.Now().Add(flushTimeout)
	if limit.Before(flushDeadline) {
		flushDeadline = limit
	}
	waitUntil(flushDeadline, func() bool { return n.Unwritten() == 0 })
}

func waitUntil(limit time.Time, condition func() bool) {
	for !condition() && time.Now().Before(limit) {
		time.Sleep(stopPollInterval)
	}
}
