package forwarder

import (
	"strconv"
	"strings"
	"time"

	"fuchsiabridge.example/common/bodyreader"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/connector"
)

// pool returns the pool that the current attempt uses.
func (x *Exchange) pool() *connector.Connector {
	if x.send.Delegate != "" {
		return x.pools.Nodes
	}
	return x.pools.Targets
}

// release returns the connection to the pool if it can carry another request.
func (x *Exchange) release() {
	if x.conn == nil || !x.stopWatch() || x.answer.Complete() != nil {
		x.drop()
		return
	}
	idle := connector.DefaultIdle
	if v := string(x.resp.Header.Peek("Keep-Alive")); v != "" {
		idle = keepAliveTimeout(v)
	}
	conn := x.conn
	x.conn = nil
	if x.resp.ConnectionClose() || !x.isFramed() || idle <= 0 {
		conn.Drop()
		return
	}
	x.pool().Put(conn, idle)
}

func keepAliveTimeout(v string) time.Duration {
	for field := range strings.SplitSeq(v, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if n, err := strconv.Atoi(seconds); ok && err == nil {
			return time.Duration(idleFraction * float64(n) * float64(time.Second))
		}
	}
	return connector.DefaultIdle
}

// noteReceived notes that bytes have arrived.
func (x *Exchange) noteReceived() {
	x.receivedAt = bootclock.Now()
	x.idle.received(x.send.Address, x.receivedAt)
}

// hasEnded reports whether the end of the connection is that of the answer. An answer with neither a length nor chunks ends with its
// connection, but a connection may also have ended because its other end was silent for too long.
func (x *Exchange) hasEnded() bool {
	return x.isFramed() || bootclock.Now().Sub(x.receivedAt) < connector.SilenceLimit
}

// isFramed reports whether the answer has a length or chunks; otherwise it ends with its connection.
func (x *Exchange) isFramed() bool { return bodyreader.IsFramed(x.resp.Header.ContentLength()) }
