// Package proxier implements a TCP proxy that injects faults: refused, closed, slow and stalled connections.
package proxier

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/responder"
)

const (
	chunkBytes  = 16 << 10
	dialTimeout = time.Second
)

// Fault is the body of POST /fault.
type Fault struct {
	// Refuse closes new connections immediately.
	Refuse bool `json:"refuse"`
	// DelayMillis delays each chunk in both directions.
	DelayMillis int `json:"delay_ms"`
	// BytesPerSecond limits the rate of each direction of each connection; 0 means no limit.
	BytesPerSecond int `json:"bytes_per_second"`
	// CutOpen closes the connections that are open when the fault is set.
	CutOpen bool `json:"cut_open"`
	// StallOpen permanently stops forwarding on the connections that are open when the fault is set, without
	// closing them.
	StallOpen bool `json:"silence_open"`
	// StallAll stops forwarding on all connections until the next fault is set, without closing them.
	StallAll bool `json:"silence_all"`
}

// connPair is a client's connection and the proxy's connection to the target.
type connPair struct {
	client, upstream net.Conn
	stalled          bool
}

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target string

	mu    sync.Mutex
	fault Fault
	pairs map[*connPair]bool
}

// NewProxy returns a proxy for the target at host:port.
func NewProxy(target string) *Proxy {
	return &Proxy{target: target, pairs: map[*connPair]bool{}}
}

// Handle sets the fault that POST /fault describes.
func (p *Proxy) Handle(c *fasthttp.RequestCtx) {
	var f Fault
	if err := responder.Decode(c, &f); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for pair := range p.pairs {
		if f.CutOpen {
			pair.close()
		}
		pair.stalled = pair.stalled || f.StallOpen
	}
}

// Relay accepts and forwards connections until ctx ends.
func (p *Proxy) Relay(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn)
	}
}

func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	if p.currentFault().Refuse {
		_ = client.Close()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	upstream, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	pair := &connPair{client: client, upstream: upstream}
	p.mu.Lock()
	p.pairs[pair] = true
	p.mu.Unlock()
	go p.copy(pair, client, upstream)
	p.copy(pair, upstream, client)
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

func (p *Proxy) copy(pair *connPair, to io.Writer, from io.Reader) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		p.delay(pair, n)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil && !p.isStalled(pair) {
			pair.close()
			return
		}
		if err != nil {
			return
		}
	}
}

// delay sleeps for as long as the current fault delays the forwarding of n bytes.
func (p *Proxy) delay(pair *connPair, n int) {
	for p.isStalled(pair) {
		time.Sleep(50 * time.Millisecond)
	}
	f := p.currentFault()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.BytesPerSecond > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(f.BytesPerSecond))
	}
}

func (p *Proxy) isStalled(pair *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pair.stalled || p.fault.StallAll
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (pair *connPair) close() {
	_ = pair.client.Close()
	_ = pair.upstream.Close()
}
