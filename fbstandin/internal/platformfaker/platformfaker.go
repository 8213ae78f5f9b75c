// Package platformfaker is the stand-in of the platform: the append-only log with
// its append limit, retention and outages, the VM list that lags, and the weight store.
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
	pageLimit = 1000
	maxWait   = 10 * time.Second
	// burstFraction of a second's appends may come at once.
	burstFraction = 4
)

// Config holds the platform's limits.
type Config struct {
	AppendsPerSecond int
	Keep             time.Duration
	VMLag            time.Duration
	LayersPerSecond  int
}

// Fault is the body of POST /fault.
type Fault struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMillis delays every answer; appends take effect before the delay.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers counts the next appends that take effect and get no answer.
	LoseAnswers int `json:"lose_answers"`
	// DropAppends counts the next appends that take no effect and get no answer.
	DropAppends int `json:"drop_appends"`
}

type kept struct {
	platformcaller.Record
	until time.Time
}

type vmVersion struct {
	from time.Time
	vm   platformcaller.VM
	gone bool
}

// Platform is one stand-in platform.
type Platform struct {
	cfg     Config
	appends *rate.Limiter
	weights *rate.Limiter

	mu      sync.Mutex
	fault   Fault
	records []kept
	end     identifier.Offset
	grown   chan struct{}
	vms     map[string][]vmVersion
}

// NewPlatform returns a platform with an empty log and VM list.
func NewPlatform(cfg Config) *Platform {
	return &Platform{
		cfg:     cfg,
		appends: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendsPerSecond/burstFraction+1),
		weights: rate.NewLimiter(rate.Limit(cfg.LayersPerSecond), cfg.LayersPerSecond),
		grown:   make(chan struct{}),
		vms:     map[string][]vmVersion{},
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
		p.giveWeights(c)
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

// takeFault returns the fault for one call; counted faults go to appends only.
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
	until := time.Now().Add(p.cfg.Keep)
	for _, record := range r.Records {
		record.Offset = p.end
		p.end++
		p.records = append(p.records, kept{record, until})
	}
	close(p.grown)
	p.grown = make(chan struct{})
	responder.JSON(c, fasthttp.StatusOK, platformcaller.AppendAnswer{First: first})
}

func (p *Platform) read(c *fasthttp.RequestCtx) {
	from := identifier.Offset(c.QueryArgs().GetUintOrZero("from"))
	wait := time.Duration(c.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	timeout := time.After(min(wait, maxWait))
	for {
		page, grown := p.page(from)
		if len(page.Records) > 0 || page.Next != from || wait == 0 {
			responder.JSON(c, fasthttp.StatusOK, page)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			wait = 0
		}
	}
}

func (p *Platform) page(from identifier.Offset) (platformcaller.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(time.Now())
	first := p.end - identifier.Offset(len(p.records))
	start := max(from, first)
	page := platformcaller.Page{Next: start, First: first, End: p.end}
	for i := int(start - first); i < len(p.records) && len(page.Records) < pageLimit; i++ {
		page.Records = append(page.Records, p.records[i].Record)
		page.Next = p.records[i].Offset + 1
	}
	return page, p.grown
}

func (p *Platform) forget(now time.Time) {
	n := 0
	for n < len(p.records) && p.records[n].until.Before(now) {
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
	p.vms[vm.ID] = append(p.vms[vm.ID], vmVersion{from: time.Now(), vm: vm})
}

func (p *Platform) deleteVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[id] = append(p.vms[id], vmVersion{from: time.Now(), gone: true})
}

// listVMs returns the list as it stood the configured lag before now.
func (p *Platform) listVMs(now time.Time) []platformcaller.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := now.Add(-p.cfg.VMLag)
	vms := []platformcaller.VM{}
	for _, versions := range p.vms {
		var current *vmVersion
		for i := range versions {
			if !versions[i].from.After(asOf) {
				current = &versions[i]
			}
		}
		if current != nil && !current.gone {
			vms = append(vms, current.vm)
		}
	}
	return vms
}

// giveWeights answers when the rate limit lets the asked number of layers out.
func (p *Platform) giveWeights(c *fasthttp.RequestCtx) {
	layers, err := strconv.Atoi(string(c.QueryArgs().Peek("layers")))
	if err != nil || layers < 0 || layers > p.cfg.LayersPerSecond {
		c.Error("layers must be a number within a second's rate", fasthttp.StatusBadRequest)
		return
	}
	r := p.weights.ReserveN(time.Now(), layers)
	time.Sleep(r.Delay())
	c.SetStatusCode(fasthttp.StatusNoContent)
}
