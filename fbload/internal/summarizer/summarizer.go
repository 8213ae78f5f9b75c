// Package summarizer computes the counts, latencies and throughput of an experiment from its results and
// from the stand-ins' ledgers.
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
	// maxLatencyMicros is the highest latency that the histograms record, in microseconds.
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
	// RecoveredShare is the share of the throughput before a fault at which the fleet counts as recovered.
	RecoveredShare = 0.95
	// recoverySlice is the length of the time slices over which throughput is measured after a fault.
	recoverySlice = 500 * time.Millisecond
)

// Counts counts requests by outcome.
type Counts struct {
	Requests  int `json:"requests"`
	Delivered int `json:"delivered"`
	Late      int `json:"late"`
	// Lost counts answers that were interrupted, wrong, failed or missing.
	Lost int `json:"lost"`
	// Doubled counts records that ran more than once.
	Doubled int `json:"doubled"`
	Refused int `json:"refused"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// FalseNotRun counts records that ran although the caller received the outcome not_run.
	FalseNotRun int `json:"false_not_run"`
}

// Percentiles holds percentiles of latencies, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// Summary is the result of one run.
type Summary struct {
	Experiment    string  `json:"experiment"`
	Label         string  `json:"label"`
	Choice        string  `json:"choice"`
	Mix           string  `json:"mix"`
	Offered       float64 `json:"offered_share_of_bound"`
	Rate          float64 `json:"requests_per_second"`
	Bound         float64 `json:"bound_tokens_per_second"`
	GoodputTokens float64 `json:"goodput_tokens_per_second"`
	ShareOfBound  float64 `json:"share_of_bound"`
	CPUShare      float64 `json:"machine_cpu_share"`
	// Classes counts the requests that arrived within the window, by class; All counts all requests of the
	// run, those of the warm-up included.
	Classes map[string]*Counts `json:"classes"`
	All     Counts             `json:"all"`
	// WeightedInTime is the share of requests that were delivered in time, weighted by class.
	WeightedInTime float64     `json:"weighted_in_time"`
	FirstToken     Percentiles `json:"first_token"`
	BetweenTokens  Percentiles `json:"between_tokens"`
	Refusals       Percentiles `json:"refusals"`
	// Watched is the time to first token of the watched account.
	Watched  Percentiles    `json:"watched_first_token"`
	Problems []string       `json:"problems"`
	Codes    map[string]int `json:"codes"`
	Recovery *Recovery      `json:"recovery,omitempty"`
}

// Recovery describes how a fleet recovered from a fault.
type Recovery struct {
	Stalled   int         `json:"stalled_drafts"`
	NextToken Percentiles `json:"next_token"`
	// NeverResumed counts the stalled drafts that received no further token.
	NeverResumed int `json:"never_went_on"`
	// ThroughputRecoveryMillis is the time until throughput had recovered; -1 if it did not during the run.
	ThroughputRecoveryMillis int64 `json:"throughput_back_ms"`
}

// Window is the part of an experiment that is measured.
type Window struct{ From, To time.Time }

func (w Window) contains(t time.Time) bool { return !t.Before(w.From) && t.Before(w.To) }

// Config holds the parameters of a summary.
type Config struct {
	Window Window
	Layers identifier.Layer
	// Watched is the key of the account whose time to first token is also reported separately.
	Watched string
}

type histograms struct{ first, between, refusals, watched *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// Summarize summarizes the results, and checks them against the recorded executions.
func Summarize(cfg Config, results []runner.Result, executed ledgerreader.Executions) Summary {
	s := Summary{Classes: map[string]*Counts{}, Codes: map[string]int{}}
	h := histograms{newHistogram(), newHistogram(), newHistogram(), newHistogram()}
	tokens, weight, inTime := 0, 0, 0
	for _, r := range results {
		if r.Attempts == 0 {
			continue
		}
		tokens += goodTokens(cfg, r, executed)
		if !cfg.Window.contains(r.Intended) {
			s.count(cfg, r, executed, &Counts{})
			continue
		}
		name := string(r.Arrival.Class.Name)
		if s.Classes[name] == nil {
			s.Classes[name] = &Counts{}
		}
		deliveredBefore := s.Classes[name].Delivered
		s.count(cfg, r, executed, s.Classes[name])
		weight += r.Arrival.Class.Weight
		inTime += r.Arrival.Class.Weight * (s.Classes[name].Delivered - deliveredBefore)
		h.add(cfg, r)
	}
	s.GoodputTokens = float64(tokens) / cfg.Window.To.Sub(cfg.Window.From).Seconds()
	s.WeightedInTime = float64(inTime) / float64(max(1, weight))
	s.FirstToken, s.BetweenTokens = percentiles(h.first), percentiles(h.between)
	s.Refusals, s.Watched = percentiles(h.refusals), percentiles(h.watched)
	return s
}

// goodTokens counts the tokens that arrived within the window, if the draft was delivered correctly and in
// time; otherwise it returns 0.
func goodTokens(cfg Config, r runner.Result, executed ledgerreader.Executions) int {
	if r.Arrival.Class.Kind != scheduler.Draft || r.Outcome != responder.Delivered || r.Finished.After(r.Deadline) || !isCorrect(cfg, r, executed) {
		return 0
	}
	n := 0
	for _, at := range r.TokenAt {
		if cfg.Window.contains(at) {
			n++
		}
	}
	return n
}

// count adds one result to the counts of its class and to the totals, and notes a problem if the result
// violates a guarantee, such as a record that ran more than once.
func (s *Summary) count(cfg Config, r runner.Result, executed ledgerreader.Executions, counts *Counts) {
	one := Counts{Requests: 1}
	switch {
	case r.Outcome == responder.Delivered && !isCorrect(cfg, r, executed):
		one.Lost = 1
		s.addProblem(r, "the answer is incomplete or wrong")
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
		s.addProblem(r, "lost, outcome "+string(r.Outcome)+", code "+r.Code)
	}
	if r.Outcome != responder.Delivered {
		s.Codes[string(r.Outcome)+"/"+r.Code]++
	}
	if r.Arrival.Class.Kind == scheduler.Record {
		calls := executed.Calls[r.ID]
		if calls > 1 {
			one.Doubled = 1
			s.addProblem(r, "ran more than once")
		}
		if calls > 0 && one.NotRun == 1 {
			one.FalseNotRun = 1
			s.addProblem(r, "ran although the caller received not_run")
		}
	}
	counts.add(one)
	s.All.add(one)
}

// isCorrect reports whether a delivered draft is complete and has the expected tokens, or whether a
// delivered record has run.
func isCorrect(cfg Config, r runner.Result, executed ledgerreader.Executions) bool {
	switch r.Arrival.Class.Kind {
	case scheduler.Draft:
		want := layerhasher.Answer(cfg.Layers, requester.ModelPrompt(r.Arrival.Prompt), r.Arrival.MaxTokens)
		return r.IsComplete && strings.Join(want, " ") == strings.Join(r.Tokens, " ")
	case scheduler.Record:
		return executed.Calls[r.ID] > 0
	default:
		return true
	}
}

const maxProblems = 5

func (s *Summary) addProblem(r runner.Result, text string) {
	if len(s.Problems) < maxProblems {
		s.Problems = append(s.Problems, r.ID+": "+text)
	}
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Delivered += o.Delivered
	c.Late += o.Late
	c.Lost += o.Lost
	c.Doubled += o.Doubled
	c.Refused += o.Refused
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.FalseNotRun += o.FalseNotRun
}

// add records a result's latencies. The time to first token counts from the intended arrival.
func (h *histograms) add(cfg Config, r runner.Result) {
	for _, d := range r.RefusalLatencies {
		recordLatency(h.refusals, d)
	}
	if r.Arrival.Class.Kind != scheduler.Draft || len(r.TokenAt) == 0 {
		return
	}
	first := r.TokenAt[0].Sub(r.Intended)
	recordLatency(h.first, first)
	if r.Arrival.Account.Key == cfg.Watched {
		recordLatency(h.watched, first)
	}
	for i := 1; i < len(r.TokenAt); i++ {
		recordLatency(h.between, r.TokenAt[i].Sub(r.TokenAt[i-1]))
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}
