// Package proxier is a fault-injecting TCP proxy.
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
	// Refuse closes new connections at once.
	Refuse bool `json:"refuse"`
	// DelayMillis delays each chunk in both directions.
	DelayMillis int `json:"delay_ms"`
	// BytesPerSecond limits each direction of each connection; 0 is no limit.
	BytesPerSecond int `json:"bytes_per_second"`
	// CutOpen closes the connections that are open now.
	CutOpen bool `json:"cut_open"`
	// SilenceOpen makes the connections that are open now relay nothing for good.
	SilenceOpen bool `json:"silence_open"`
	// SilenceAll makes every connection relay nothing until the next fault is set.
	SilenceAll bool `json:"silence_all"`
}

type link struct {
	near, far net.Conn
	silent    bool
}

// Proxy relays TCP connections to one target.
type Proxy struct {
	target string

	mu    sync.Mutex
	fault Fault
	links map[*link]bool
}

// NewProxy returns a proxy for the target at host:port.
func NewProxy(target string) *Proxy {
	return &Proxy{target: target, links: map[*link]bool{}}
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
	for l := range p.links {
		if f.CutOpen {
			l.close()
		}
		l.silent = l.silent || f.SilenceOpen
	}
}

// Relay accepts connections until ctx ends.
func (p *Proxy) Relay(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.open(ctx, conn)
	}
}

func (p *Proxy) open(ctx context.Context, near net.Conn) {
	if p.current().Refuse {
		_ = near.Close()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	go p.copy(l, near, far)
	p.copy(l, far, near)
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (p *Proxy) copy(l *link, to io.Writer, from io.Reader) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		p.hold(l, n)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil && !p.isSilent(l) {
			l.close()
			return
		}
		if err != nil {
			return
		}
	}
}

// hold waits as long as the fault says before n bytes go on.
func (p *Proxy) hold(l *link, n int) {
	for p.isSilent(l) {
		time.Sleep(50 * time.Millisecond)
	}
	f := p.current()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.BytesPerSecond > 0 {
		time.Sleep(time.Duration(n) * time.Second / time.Duration(f.BytesPerSecond))
	}
}

func (p *Proxy) isSilent(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent || p.fault.SilenceAll
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}
