// Package meter counts how requests end and how long they take, for the metrics address.
package meter

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiabridge.example/common/eventlogger"
)

const (
	// leastTime and mostTime bound what a histogram tells apart, in microseconds.
	leastTime = 100
	mostTime  = 60_000_000
	figures   = 2
	// maxSeries bounds the kinds and accounts that are told apart; the rest counts as "other".
	maxSeries = 64
	other     = "other"
)

// Sample is one request that has ended.
type Sample struct {
	Kind    string
	Account string
	Status  int
	Took    time.Duration
	// First is the time to the first byte, zero when none came.
	First time.Duration
}

// series is what is kept of one kind or account.
type series struct {
	took    *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	byState map[int]int64
}

// Meter keeps counters and histograms.
type Meter struct {
	mu       sync.Mutex
	kinds    map[string]*series
	accounts map[string]*series
}

// NewMeter returns a meter without samples.
func NewMeter() *Meter { return &Meter{kinds: map[string]*series{}, accounts: map[string]*series{}} }

// Publish shows the meter's figures under a name of the process's metrics.
func (m *Meter) Publish(name string) { expvar.Publish(name, expvar.Func(m.figures)) }

// Add takes in one sample.
func (m *Meter) Add(s Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at(m.kinds, s.Kind).add(s)
	at(m.accounts, s.Account).add(s)
}

func at(all map[string]*series, name string) *series {
	if _, ok := all[name]; !ok && len(all) >= maxSeries {
		name = other
	}
	s, ok := all[name]
	if !ok {
		s = &series{
			took: hdrhistogram.New(leastTime, mostTime, figures), first: hdrhistogram.New(leastTime, mostTime, figures),
			byState: map[int]int64{},
		}
		all[name] = s
	}
	return s
}

func (s *series) add(sample Sample) {
	s.byState[sample.Status]++
	record(s.took, sample.Took)
	if sample.First > 0 {
		record(s.first, sample.First)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(mostTime, max(leastTime, d.Microseconds()))); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "recording a sample")
	}
}

// figures returns what is published.
func (m *Meter) figures() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]any{"by_kind": shown(m.kinds), "by_account": shown(m.accounts)}
}

func shown(all map[string]*series) map[string]any {
	out := make(map[string]any, len(all))
	for name, s := range all {
		states := make(map[string]int64, len(s.byState))
		for status, n := range s.byState {
			states[strconv.Itoa(status)] = n
		}
		out[name] = map[string]any{"by_status": states, "took_us": quantiles(s.took), "first_us": quantiles(s.first)}
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p95": h.ValueAtQuantile(95), "p99": h.ValueAtQuantile(99), "max": h.Max(),
	}
}
