// Package loadpoller requests the load reports of the first targets of chains, for this node and for the nodes that follow it.
package loadpoller

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

const (
	// reportTimeout bounds one request for a report. A later answer would be older than the next one.
	reportTimeout = 200 * time.Millisecond
	// maxConcurrent limits the requests for reports that are open at the same time.
	maxConcurrent = 16
)

// Target is a target whose load is asked for.
type Target struct {
	ID      identifier.TargetID
	Address string
}

// Targets knows and calls the targets.
type Targets interface {
	// FirstTargets returns the first targets of the planned chains that may be asked now.
	FirstTargets() []Target
	// ReportLoad requests a target's report.
	ReportLoad(ctx context.Context, t Target) (loadtracker.Report, error)
}

// Config holds what a poller works with.
type Config struct {
	// Interval is the time from one round of requests to the next.
	Interval time.Duration
	// IsAsking reports whether this node asks now: it reads the store for its peers, or has none.
	IsAsking func() bool
	Targets  Targets
	// Record takes the reports of one round.
	Record func([]loadtracker.Report)
}

// Poller requests reports.
type Poller struct {
	cfg  Config
	pool pond.Pool
}

// NewPoller returns a poller. It polls nothing if the interval is not positive.
func NewPoller(cfg Config) *Poller {
	return &Poller{cfg: cfg, pool: pond.NewPool(maxConcurrent)}
}

// Run requests reports until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.pool.Stop()
	if p.cfg.Interval <= 0 {
		return
	}
	for sleeper.Sleep(ctx, p.cfg.Interval) {
		if p.cfg.IsAsking() {
			p.poll(ctx)
		}
	}
}

// poll requests a report of each target. A target that does not answer in time is left out.
func (p *Poller) poll(ctx context.Context) {
	var mu sync.Mutex
	var reports []loadtracker.Report
	calls := p.pool.NewGroup()
	for _, t := range p.cfg.Targets.FirstTargets() {
		calls.Submit(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			report, err := p.cfg.Targets.ReportLoad(ctx, t)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	// A call that is not made, as the node stops, leaves its target out.
	_ = calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(reports) > 0 {
		p.cfg.Record(reports)
	}
}
