package summarizer

import (
	"time"

	"fuchsiabridge.example/fbload/internal/ledgerreader"
	"fuchsiabridge.example/fbload/internal/runner"
)

// MeasureRecovery measures how drafts resumed after a fault at the time at: those that were running on
// target, or all that were interrupted if target is empty.
func MeasureRecovery(at time.Time, target string, w Window, results []runner.Result, executed ledgerreader.Executions) *Recovery {
	r := &Recovery{}
	nextToken := newHistogram()
	for _, result := range results {
		if !wasStalled(result, at, target, executed) {
			continue
		}
		r.Stalled++
		if resumed, ok := resumedAt(result, at); ok {
			recordLatency(nextToken, resumed.Sub(at))
		} else {
			r.NeverResumed++
		}
	}
	r.NextToken = percentiles(nextToken)
	r.ThroughputRecoveryMillis = throughputRecoveryMillis(at, w, results)
	return r
}

// wasStalled reports whether a draft had delivered its first token before the fault, was in progress when it
// happened, and had run on the target before the fault but not since. If target is empty, it does not check
// the target but whether the draft needed more than one attempt.
func wasStalled(r runner.Result, at time.Time, target string, executed ledgerreader.Executions) bool {
	n := len(r.TokenAt)
	if n == 0 || r.TokenAt[0].After(at) || r.Finished.Before(at) || len(r.Tokens) >= r.Arrival.MaxTokens && r.TokenAt[n-1].Before(at) {
		return false
	}
	if target == "" {
		return r.Attempts > 1
	}
	lastStep, ok := executed.Targets[r.ID][target]
	return ok && lastStep <= at.UnixMilli()
}

// resumedAt returns the end of the longest gap between two tokens that ends after the fault.
func resumedAt(r runner.Result, at time.Time) (time.Time, bool) {
	var longest time.Duration
	var resumed time.Time
	for i := 1; i < len(r.TokenAt); i++ {
		if gap := r.TokenAt[i].Sub(r.TokenAt[i-1]); r.TokenAt[i].After(at) && gap > longest {
			longest, resumed = gap, r.TokenAt[i]
		}
	}
	return resumed, longest > 0
}

// throughputRecoveryMillis returns the milliseconds from the fault to the first slice whose throughput
// reaches RecoveredShare of the throughput before the fault, or -1 if there is none in the window.
func throughputRecoveryMillis(at time.Time, w Window, results []runner.Result) int64 {
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
