// Package meter counts requests by status and measures their durations, for the metrics endpoint.
package meter

import (
	"expvar"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiabridge.example/common/eventlogger"
)

const (
	// minMicros and maxMicros bound the range of the histograms.
	minMicros          = 100
	maxMicros          = 60_000_000
	significantFigures = 2
	// maxSeries limits the kinds and accounts with a series of their own. All others are counted as "other".
	maxSeries = 64
	other     = "other"
)

// Sample describes a request that has ended.
type Sample struct {
	// Kind is the kind of the request's route, or "none" if no route matched.
	Kind    string
	Account string
	Status  int
	Took    time.Duration
	// First is the time from the start of the last attempt to its first byte, or zero if there was none.
	First time.Duration
}

// Move describes how a stream was continued that has left its chain, or could not be.
type Move struct {
	// Cause says why the stream has left its chain, and how it was continued.
	Cause string
	// Tokens is how many tokens of its prompt are read again, as a share of all layers.
	Tokens int
}

// series holds the metrics of one kind or account.
type series struct {
	took     *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	byStatus map[int]int64
}

// Meter keeps counters and histograms.
type Meter struct {
	mu       sync.Mutex
	kinds    map[string]*series
	accounts map[string]*series
	// moves counts the streams that were moved to another chain, or could not be, and reread the tokens of prompts read again for that.
	moves  map[string]int64
	reread map[string]int64
}

// NewMeter returns a meter without samples.
func NewMeter() *Meter {
	return &Meter{kinds: map[string]*series{}, accounts: map[string]*series{}, moves: map[string]int64{}, reread: map[string]int64{}}
}

// Publish registers the metrics with expvar under a name.
func (m *Meter) Publish(name string) { expvar.Publish(name, expvar.Func(m.snapshot)) }

// Add records a sample.
func (m *Meter) Add(s Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seriesOf(m.kinds, s.Kind).add(s)
	seriesOf(m.accounts, s.Account).add(s)
}

// AddMove records a move.
func (m *Meter) AddMove(move Move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moves[move.Cause]++
	m.reread[move.Cause] += int64(move.Tokens)
}

func seriesOf(all map[string]*series, name string) *series {
	if _, ok := all[name]; !ok && len(all) >= maxSeries {
		name = other
	}
	s, ok := all[name]
	if !ok {
		s = &series{
			took: hdrhistogram.New(minMicros, maxMicros, significantFigures), first: hdrhistogram.New(minMicros, maxMicros, significantFigures),
			byStatus: map[int]int64{},
		}
		all[name] = s
	}
	return s
}

func (s *series) add(sample Sample) {
	s.byStatus[sample.Status]++
	record(s.took, sample.Took)
	if sample.First > 0 {
		record(s.first, sample.First)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds()))); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "recording a sample")
	}
}

// snapshot returns the published values.
func (m *Meter) snapshot() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]any{
		"by_kind": export(m.kinds), "by_account": export(m.accounts), "moves": maps.Clone(m.moves), "reread_tokens": maps.Clone(m.reread),
	}
}

func export(all map[string]*series) map[string]any {
	out := make(map[string]any, len(all))
	for name, s := range all {
		counts := make(map[string]int64, len(s.byStatus))
		for status, n := range s.byStatus {
			counts[strconv.Itoa(status)] = n
		}
		out[name] = map[string]any{"by_status": counts, "took_us": quantiles(s.took), "first_us": quantiles(s.first)}
	}
	return out
}

func quantiles(h *hdrhistogram.Histogram) map[string]int64 {
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p95": h.ValueAtQuantile(95), "p99": h.ValueAtQuantile(99), "max": h.Max(),
	}
}
