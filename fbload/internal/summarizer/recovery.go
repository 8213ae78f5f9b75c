package summarizer

import (
	"time"

	"fuchsiabridge.example/fbload/internal/ledgerreader"
	"fuchsiabridge.example/fbload/internal/runner"
)

// Recover measures how the drafts that target executed, or all that were cut when target is
// empty, went on after the fault at the instant at.
func Recover(at time.Time, target string, w Window, results []runner.Result, executed ledgerreader.Executions) *Recovery {
	r := &Recovery{}
	next := newHistogram()
	for _, result := range results {
		if !wasStalled(result, at, target, executed) {
			continue
		}
		r.Stalled++
		if resumed, ok := resumedAt(result, at); ok {
			record(next, resumed.Sub(at))
		} else {
			r.NeverWent++
		}
	}
	r.NextToken = percentiles(next)
	r.ThroughputMillis = throughputBack(at, w, results)
	return r
}

// wasStalled reports whether a draft had begun before the fault and was open at it, on the target.
func wasStalled(r runner.Result, at time.Time, target string, executed ledgerreader.Executions) bool {
	n := len(r.TokenAt)
	if n == 0 || r.TokenAt[0].After(at) || r.Finished.Before(at) || len(r.Tokens) >= r.Arrival.MaxTokens && r.TokenAt[n-1].Before(at) {
		return false
	}
	if target == "" {
		return r.Attempts > 1
	}
	last, ok := executed.Targets[r.ID][target]
	return ok && last <= at.UnixMilli()
}

// resumedAt returns the end of the longest pause between tokens that ends after the fault.
func resumedAt(r runner.Result, at time.Time) (time.Time, bool) {
	var longest time.Duration
	var resumed time.Time
	for i := 1; i < len(r.TokenAt); i++ {
		if pause := r.TokenAt[i].Sub(r.TokenAt[i-1]); r.TokenAt[i].After(at) && pause > longest {
			longest, resumed = pause, r.TokenAt[i]
		}
	}
	return resumed, longest > 0
}

// throughputBack returns the milliseconds until the tokens of one slice were back at the
// share that counts as recovered, or -1.
func throughputBack(at time.Time, w Window, results []runner.Result) int64 {
	count := func(from, to time.Time) int {
		n := 0
		for _, r := range results {
			for _, t := range r.TokenAt {
				if !t.Before(from) && t.Before(to) {
					n++
				}
			}
		}
		return n
	}
	before := float64(count(w.From, at)) / at.Sub(w.From).Seconds()
	for from := at; !from.Add(recoverySlice).After(w.To); from = from.Add(recoverySlice / 5) {
		if float64(count(from, from.Add(recoverySlice)))/recoverySlice.Seconds() >= RecoveredShare*before {
			return from.Sub(at).Milliseconds()
		}
	}
	return -1
}
