package commander

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	stopPoll = 20 * time.Millisecond
	// flushLimit is how long a stopping node waits for records that are still on their way to the log.
	flushLimit = 5 * time.Second
)

// gate counts the requests that are in the server's hands, from their handler's start on.
type gate struct {
	open    atomic.Int64
	leaving atomic.Bool
}

// wrap counts each request. While the node is leaving, every answer asks the other
// side to close the connection, so that no later request meets one that is closing.
func (g *gate) wrap(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		g.open.Add(1)
		defer g.open.Add(-1)
		handle(c)
		if g.leaving.Load() {
			c.SetConnectionClose()
		}
	}
}

// stopping is what a graceful stop needs of the node.
type stopping interface {
	Leave()
	Open() int64
	Unwritten() int
}

// stop makes the node unready, goes on serving for the balancer's lag, and then until
// nothing is open or the limit has passed. What the log must still get goes there last.
func (g *gate) stop(n stopping, lag time.Duration, limit time.Time) {
	n.Leave()
	g.leaving.Store(true)
	time.Sleep(lag)
	await(limit, func() bool { return n.Open() == 0 && g.open.Load() == 0 })
	flushed := time.Now().Add(flushLimit)
	if limit.Before(flushed) {
		flushed = limit
	}
	await(flushed, func() bool { return n.Unwritten() == 0 })
}

func await(limit time.Time, holds func() bool) {
	for !holds() && time.Now().Before(limit) {
		time.Sleep(stopPoll)
	}
}
