// Package loadpoller requests the load reports of the first targets of chains, for this node, for the other nodes that read the store, and
// for the nodes that follow these.
package loadpoller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

// LoadsMethod is the name of the peer call that passes reports on to a node that reads the store.
const LoadsMethod = "loads"

const (
	// All targets that may be stages of chains are asked once in allTargetsRounds rounds, as any of them may turn slow; the first targets
	// are asked in each.
	allTargetsRounds = 5
	// A reader that has got no reports for silentIntervals intervals requests them itself.
	silentIntervals = 3
	// shareTimeout bounds a call that passes reports on. Later reports follow soon.
	shareTimeout = 200 * time.Millisecond
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
	// Holders returns all targets that may be stages of chains and may be asked now.
	Holders() []Target
	// ReportLoad requests a target's report.
	ReportLoad(ctx context.Context, t Target) (loadtracker.Report, error)
}

// Duty says whether a node requests reports.
type Duty int

// Duties of a node.
const (
	// NoDuty is that of a node that follows a reader.
	NoDuty Duty = iota
	// ReaderDuty is that of a node that reads the store: it requests reports while it gets none from another node.
	ReaderDuty
	// FullDuty is that of the one reader that requests reports for all, and of a node without peers.
	FullDuty
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds what a poller works with.
type Config struct {
	// Interval is the time from one round of requests to the next.
	Interval time.Duration
	// Duty returns this node's present duty.
	Duty    func() Duty
	Targets Targets
	// Record takes the reports of one round, or those of another node.
	Record func([]loadtracker.Report)
	Peers  Peers
	// Readers returns the addresses of the other nodes that read the store.
	Readers func(context.Context) []string
}

// Poller requests reports.
type Poller struct {
	cfg  Config
	pool pond.Pool
	// slow holds the targets that were slow at their last report. Only Run uses it.
	slow map[identifier.TargetID]bool

	mu sync.Mutex
	// receivedAt is when another node last passed reports on to this one.
	receivedAt time.Time
}

// NewPoller returns a poller. It polls nothing if the interval is not positive.
func NewPoller(cfg Config) *Poller {
	return &Poller{cfg: cfg, pool: pond.NewPool(maxConcurrent), slow: map[identifier.TargetID]bool{}}
}

// Run requests reports until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	defer p.pool.Stop()
	if p.cfg.Interval <= 0 {
		return
	}
	for round := 0; sleeper.Sleep(ctx, p.cfg.Interval); round++ {
		duty := p.cfg.Duty()
		if duty == NoDuty || (duty == ReaderDuty && p.isSupplied(bootclock.Now())) {
			continue
		}
		first := p.cfg.Targets.FirstTargets()
		targets := first
		if round%allTargetsRounds == 0 {
			targets = p.cfg.Targets.Holders()
		}
		reports := p.selectNews(p.poll(ctx, targets), first)
		if len(reports) == 0 {
			continue
		}
		p.cfg.Record(reports)
		if duty == FullDuty {
			p.share(ctx, reports)
		}
	}
}

// selectNews returns the reports that other nodes need: those of first targets, and of other targets that are slow or were at their last
// report. With the reports of all targets, a reader with 25 followers sent 700 KB/s.
func (p *Poller) selectNews(reports []loadtracker.Report, first []Target) []loadtracker.Report {
	isFirst := make(map[identifier.TargetID]bool, len(first))
	for _, t := range first {
		isFirst[t.ID] = true
	}
	var news []loadtracker.Report
	for _, r := range reports {
		wasSlow, isSlow := p.slow[r.Target], r.Pace >= loadtracker.MinSlowPace
		if isSlow {
			p.slow[r.Target] = true
		} else {
			delete(p.slow, r.Target)
		}
		if isFirst[r.Target] || wasSlow || isSlow {
			news = append(news, r)
		}
	}
	return news
}

// isSupplied reports whether another node has passed reports on to this one lately.
func (p *Poller) isSupplied(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.receivedAt) < silentIntervals*p.cfg.Interval
}

// share passes reports on to the other readers. Those that do not answer request them themselves after some time, and those of the older
// build, which do not know the call, have no use for them.
func (p *Poller) share(ctx context.Context, reports []loadtracker.Report) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	calls := p.pool.NewGroup()
	for _, address := range p.cfg.Readers(ctx) {
		calls.Submit(func() {
			_ = p.cfg.Peers.Call(ctx, address, LoadsMethod, reports, nil)
		})
	}
	_ = calls.Wait()
}

// ServeLoads takes the reports that another node passes on.
func (p *Poller) ServeLoads(_ context.Context, params json.RawMessage) (any, error) {
	var reports []loadtracker.Report
	if err := json.Unmarshal(params, &reports); err != nil {
		return nil, errors.Wrap(err, "decoding load reports")
	}
	p.mu.Lock()
	p.receivedAt = bootclock.Now()
	p.mu.Unlock()
	p.cfg.Record(reports)
	return struct{}{}, nil
}

// poll requests a report of each target. A target that does not answer in time is left out.
func (p *Poller) poll(ctx context.Context, targets []Target) []loadtracker.Report {
	var mu sync.Mutex
	var reports []loadtracker.Report
	calls := p.pool.NewGroup()
	for _, t := range targets {
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
	return reports
}
