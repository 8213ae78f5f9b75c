// Package platformfaker implements a stand-in for the platform: an append-only log with a rate limit,
// retention and outages, a VM list that lags behind, and a rate-limited weight store.
package platformfaker

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
)

const (
	maxPageRecords = 1000
	maxWait        = 10 * time.Second
	// burstDivisor sets the burst of appends: one second's appends divided by it.
	burstDivisor = 4
)

// Config holds the platform's rates and times. Keep is the retention of log records.
type Config struct {
	AppendsPerSecond int
	Keep             time.Duration
	VMLag            time.Duration
	LayersPerSecond  int
}

// Fault is the body of POST /fault.
type Fault struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every response, except those of an outage (Down). Appends take effect before the
	// delay.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is how many of the next appends take effect and get no response.
	LoseAnswers int `json:"lose_answers"`
	// DropAppends is how many of the next appends have no effect and get no response.
	DropAppends int `json:"drop_appends"`
}

type storedRecord struct {
	platformcaller.Record
	expiresAt time.Time
}

type vmVersion struct {
	since   time.Time
	vm      platformcaller.VM
	deleted bool
}

// Platform is a stand-in platform.
type Platform struct {
	cfg     Config
	appends *rate.Limiter
	weights *rate.Limiter

	mu       sync.Mutex
	fault    Fault
	records  []storedRecord
	end      identifier.Offset
	appended chan struct{}
	vms      map[string][]vmVersion
}

// NewPlatform returns a platform with an empty log and VM list.
func NewPlatform(cfg Config) *Platform {
	return &Platform{
		cfg:      cfg,
		appends:  rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendsPerSecond/burstDivisor+1),
		weights:  rate.NewLimiter(rate.Limit(cfg.LayersPerSecond), cfg.LayersPerSecond),
		appended: make(chan struct{}),
		vms:      map[string][]vmVersion{},
	}
}

// Handle serves one call.
func (p *Platform) Handle(c *fasthttp.RequestCtx) {
	path, method := string(c.Path()), string(c.Method())
	if path == "/fault" {
		p.setFault(c)
		return
	}
	f := p.takeFault(path, method)
	if f.Down {
		c.Error("outage", fasthttp.StatusServiceUnavailable)
		return
	}
	if f.DropAppends > 0 {
		_ = c.Conn().Close()
		return
	}
	switch {
	case path == "/v1/log" && method == "POST":
		p.append(c)
	case path == "/v1/log":
		p.read(c)
	case path == "/v1/vms" && method == "PUT":
		p.putVM(c)
	case path == "/v1/vms" && method == "DELETE":
		p.deleteVM(string(c.QueryArgs().Peek("id")))
	case path == "/v1/vms":
		responder.JSON(c, fasthttp.StatusOK, platformcaller.VMs{VMs: p.listVMs(time.Now())})
	case path == "/v1/weights":
		p.serveWeights(c)
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.LoseAnswers > 0 {
		_ = c.Conn().Close()
	}
}

func (p *Platform) setFault(c *fasthttp.RequestCtx) {
	var f Fault
	if err := responder.Decode(c, &f); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// takeFault returns the fault that applies to one call. The counted faults apply only to appends, and are
// decremented.
func (p *Platform) takeFault(path, method string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fault
	if path != "/v1/log" || method != "POST" {
		f.LoseAnswers, f.DropAppends = 0, 0
		return f
	}
	if p.fault.DropAppends > 0 {
		p.fault.DropAppends--
		return f
	}
	if p.fault.LoseAnswers > 0 {
		p.fault.LoseAnswers--
	}
	return f
}

func (p *Platform) append(c *fasthttp.RequestCtx) {
	var r platformcaller.AppendRequest
	if err := responder.Decode(c, &r); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !p.appends.Allow() {
		c.Error("too many appends", fasthttp.StatusTooManyRequests)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.end
	expiresAt := time.Now().Add(p.cfg.Keep)
	for _, record := range r.Records {
		record.Offset = p.end
		p.end++
		p.records = append(p.records, storedRecord{record, expiresAt})
	}
	close(p.appended)
	p.appended = make(chan struct{})
	responder.JSON(c, fasthttp.StatusOK, platformcaller.AppendAnswer{First: first})
}

func (p *Platform) read(c *fasthttp.RequestCtx) {
	from := identifier.Offset(c.QueryArgs().GetUintOrZero("from"))
	wait := time.Duration(c.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	timeout := time.After(min(wait, maxWait))
	for {
		page, appended := p.page(from)
		if len(page.Records) > 0 || page.Next != from || wait == 0 {
			responder.JSON(c, fasthttp.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			wait = 0
		}
	}
}

func (p *Platform) page(from identifier.Offset) (platformcaller.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(time.Now())
	first := p.end - identifier.Offset(len(p.records))
	start := max(from, first)
	page := platformcaller.Page{Next: start, First: first, End: p.end}
	for i := int(start - first); i < len(p.records) && len(page.Records) < maxPageRecords; i++ {
		page.Records = append(page.Records, p.records[i].Record)
		page.Next = p.records[i].Offset + 1
	}
	return page, p.appended
}

func (p *Platform) dropExpired(now time.Time) {
	n := 0
	for n < len(p.records) && p.records[n].expiresAt.Before(now) {
		n++
	}
	p.records = p.records[n:]
}

func (p *Platform) putVM(c *fasthttp.RequestCtx) {
	var vm platformcaller.VM
	if err := responder.Decode(c, &vm); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.ID] = append(p.vms[vm.ID], vmVersion{since: time.Now(), vm: vm})
}

func (p *Platform) deleteVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[id] = append(p.vms[id], vmVersion{since: time.Now(), deleted: true})
}

// listVMs returns the VM list as it was VMLag ago.
func (p *Platform) listVMs(now time.Time) []platformcaller.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := now.Add(-p.cfg.VMLag)
	vms := []platformcaller.VM{}
	for _, versions := range p.vms {
		var current *vmVersion
		for i := range versions {
			if !versions[i].since.After(asOf) {
				current = &versions[i]
			}
		}
		if current != nil && !current.deleted {
			vms = append(vms, current.vm)
		}
	}
	return vms
}

// serveWeights responds once the rate limit allows the requested number of layers.
func (p *Platform) serveWeights(c *fasthttp.RequestCtx) {
	layers, err := strconv.Atoi(string(c.QueryArgs().Peek("layers")))
	if err != nil || layers < 0 || layers > p.cfg.LayersPerSecond {
		c.Error("layers must be a number from 0 to the layers per second", fasthttp.StatusBadRequest)
		return
	}
	r := p.weights.ReserveN(time.Now(), layers)
	time.Sleep(r.Delay())
	c.SetStatusCode(fasthttp.StatusNoContent)
}
