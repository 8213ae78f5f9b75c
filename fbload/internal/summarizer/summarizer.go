// Package summarizer counts what became of an experiment's requests.
package summarizer

import (
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/internal/ledgerreader"
	"fuchsiabridge.example/fbload/internal/runner"
	"fuchsiabridge.example/fbload/internal/scheduler"
	"fuchsiabridge.example/fbload/requester"
)

const (
	// highestMicros bounds the latencies of the histograms, in microseconds.
	highestMicros     = 120_000_000
	significantDigits = 3
	// RecoveredShare is the share of the throughput before a fault at which the fleet has recovered.
	RecoveredShare = 0.95
	// recoverySlice is the length of the slices in which throughput is compared.
	recoverySlice = 500 * time.Millisecond
)

// Ledger counts one class's requests by what became of them.
type Ledger struct {
	Requests  int `json:"requests"`
	Delivered int `json:"delivered"`
	Late      int `json:"late"`
	// Lost counts answers that were cut, wrong, failed or never came.
	Lost int `json:"lost"`
	// Doubled counts records that ran more than once.
	Doubled int `json:"doubled"`
	Refused int `json:"refused"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// FalseNotRun counts records of which the caller was told that they did not run, and that executed.
	FalseNotRun int `json:"false_not_run"`
}

// Percentiles are of latencies, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// Summary is what one run showed.
type Summary struct {
	Experiment string             `json:"experiment"`
	Label      string             `json:"label"`
	Choice     string             `json:"choice"`
	Mix        string             `json:"mix"`
	Offered    float64            `json:"offered_share_of_bound"`
	Rate       float64            `json:"requests_per_second"`
	Bound      float64            `json:"bound_tokens_per_second"`
	Tokens     float64            `json:"goodput_tokens_per_second"`
	Share      float64            `json:"share_of_bound"`
	CPUShare   float64            `json:"machine_cpu_share"`
	Classes    map[string]*Ledger `json:"classes"`
	All        Ledger             `json:"all"`
	// WeightedInTime is the share of all requests, by the weight of their class, that were delivered in time.
	WeightedInTime float64     `json:"weighted_in_time"`
	FirstToken     Percentiles `json:"first_token"`
	BetweenTokens  Percentiles `json:"between_tokens"`
	Refusals       Percentiles `json:"refusals"`
	// Watched is the first token of the account that the experiment watches.
	Watched  Percentiles    `json:"watched_first_token"`
	Problems []string       `json:"problems"`
	Codes    map[string]int `json:"codes"`
	Recovery *Recovery      `json:"recovery,omitempty"`
}

// Recovery is how a fleet came back from a fault.
type Recovery struct {
	Stalled   int         `json:"stalled_drafts"`
	NextToken Percentiles `json:"next_token"`
	// NeverWent counts the stalled drafts that got no further token.
	NeverWent int `json:"never_went_on"`
	// ThroughputMillis is the time until throughput was back; -1 when it was not in the run.
	ThroughputMillis int64 `json:"throughput_back_ms"`
}

// Window is the time of an experiment that is counted.
type Window struct{ From, To time.Time }

func (w Window) holds(t time.Time) bool { return !t.Before(w.From) && t.Before(w.To) }

// Config says how to count.
type Config struct {
	Window Window
	Layers identifier.Layer
	// Watched is the key of the account whose first tokens are counted apart.
	Watched string
}

type histograms struct{ first, between, refusals, watched *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicros, significantDigits)
}

// Summarize counts the results against what executed.
func Summarize(cfg Config, results []runner.Result, executed ledgerreader.Executions) Summary {
	s := Summary{Classes: map[string]*Ledger{}, Codes: map[string]int{}}
	h := histograms{newHistogram(), newHistogram(), newHistogram(), newHistogram()}
	tokens, weight, inTime := 0, 0, 0
	for _, r := range results {
		if r.Attempts == 0 {
			continue
		}
		tokens += goodTokens(cfg, r, executed)
		if !cfg.Window.holds(r.Intended) {
			s.count(cfg, r, executed, &Ledger{})
			continue
		}
		name := string(r.Arrival.Class.Name)
		if s.Classes[name] == nil {
			s.Classes[name] = &Ledger{}
		}
		before := s.Classes[name].Delivered
		s.count(cfg, r, executed, s.Classes[name])
		weight += r.Arrival.Class.Weight
		inTime += r.Arrival.Class.Weight * (s.Classes[name].Delivered - before)
		h.add(cfg, r)
	}
	s.Tokens = float64(tokens) / cfg.Window.To.Sub(cfg.Window.From).Seconds()
	s.WeightedInTime = float64(inTime) / float64(max(1, weight))
	s.FirstToken, s.BetweenTokens = percentiles(h.first), percentiles(h.between)
	s.Refusals, s.Watched = percentiles(h.refusals), percentiles(h.watched)
	return s
}

// goodTokens counts the tokens within the window of a draft that was delivered whole and in time.
func goodTokens(cfg Config, r runner.Result, executed ledgerreader.Executions) int {
	if r.Arrival.Class.Kind != scheduler.Draft || r.Outcome != responder.Delivered || r.Finished.After(r.Deadline) || !isRight(cfg, r, executed) {
		return 0
	}
	n := 0
	for _, at := range r.TokenAt {
		if cfg.Window.holds(at) {
			n++
		}
	}
	return n
}

// count enters one result in its class's ledger; what must never be, such as a doubled record, is also entered over all.
func (s *Summary) count(cfg Config, r runner.Result, executed ledgerreader.Executions, l *Ledger) {
	one := Ledger{Requests: 1}
	switch {
	case r.Outcome == responder.Delivered && !isRight(cfg, r, executed):
		one.Lost = 1
		s.problem(r, "the answer is not whole or not its own")
	case r.Outcome == responder.Delivered && r.Finished.After(r.Deadline):
		one.Late = 1
	case r.Outcome == responder.Delivered:
		one.Delivered = 1
	case r.Outcome == responder.Refused:
		one.Refused = 1
	case r.Outcome == responder.NotRun && len(r.Tokens) == 0:
		one.NotRun = 1
	case r.Outcome == responder.Unknown:
		one.Unknown = 1
	default:
		one.Lost = 1
		s.problem(r, "lost, outcome "+string(r.Outcome)+", code "+r.Code)
	}
	if r.Outcome != responder.Delivered {
		s.Codes[string(r.Outcome)+"/"+r.Code]++
	}
	if r.Arrival.Class.Kind == scheduler.Record {
		calls := executed.Calls[r.ID]
		if calls > 1 {
			one.Doubled = 1
			s.problem(r, "ran more than once")
		}
		if calls > 0 && one.NotRun == 1 {
			one.FalseNotRun = 1
			s.problem(r, "ran although the caller was told it did not")
		}
	}
	l.add(one)
	s.All.add(one)
}

// isRight reports whether a delivered answer is whole and is the request's own.
func isRight(cfg Config, r runner.Result, executed ledgerreader.Executions) bool {
	switch r.Arrival.Class.Kind {
	case scheduler.Draft:
		want := layerhasher.Answer(cfg.Layers, requester.Prompt(r.Arrival.Prompt), r.Arrival.MaxTokens)
		return r.IsComplete && strings.Join(want, " ") == strings.Join(r.Tokens, " ")
	case scheduler.Record:
		return executed.Calls[r.ID] > 0
	default:
		return true
	}
}

const problemsKept = 5

func (s *Summary) problem(r runner.Result, text string) {
	if len(s.Problems) < problemsKept {
		s.Problems = append(s.Problems, r.ID+": "+text)
	}
}

func (l *Ledger) add(o Ledger) {
	l.Requests += o.Requests
	l.Delivered += o.Delivered
	l.Late += o.Late
	l.Lost += o.Lost
	l.Doubled += o.Doubled
	l.Refused += o.Refused
	l.NotRun += o.NotRun
	l.Unknown += o.Unknown
	l.FalseNotRun += o.FalseNotRun
}

// add enters a result's latencies; the first token's is from the intended arrival.
func (h *histograms) add(cfg Config, r runner.Result) {
	for _, d := range r.RefusalLatencies {
		record(h.refusals, d)
	}
	if r.Arrival.Class.Kind != scheduler.Draft || len(r.TokenAt) == 0 {
		return
	}
	first := r.TokenAt[0].Sub(r.Intended)
	record(h.first, first)
	if r.Arrival.Account.Key == cfg.Watched {
		record(h.watched, first)
	}
	for i := 1; i < len(r.TokenAt); i++ {
		record(h.between, r.TokenAt[i].Sub(r.TokenAt[i-1]))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), highestMicros))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
