package summarizer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbload/internal/ledgerreader"
	"fuchsiabridge.example/fbload/internal/runner"
	"fuchsiabridge.example/fbload/internal/scheduler"
	"fuchsiabridge.example/fbload/internal/summarizer"
	"fuchsiabridge.example/fbload/requester"
)

const layers = 24

var start = time.Unix(1_000_000, 0)

func result(id string, kind scheduler.Kind, outcome responder.Outcome, took time.Duration) runner.Result {
	r := runner.Result{
		ID: id, Attempts: 1, Outcome: outcome, Intended: start, Deadline: start.Add(4 * time.Second), Finished: start.Add(took),
		Arrival: scheduler.Arrival{Class: scheduler.Class{Name: "c", Kind: kind, Weight: 1}, Prompt: "p", MaxTokens: 3},
	}
	if kind == scheduler.Draft && outcome == responder.Delivered {
		r.IsComplete = true
		r.Tokens = layerhasher.Answer(layers, requester.ModelPrompt("p"), 3)
		for i := range r.Tokens {
			r.TokenAt = append(r.TokenAt, start.Add(took-time.Duration(2-i)*100*time.Millisecond))
		}
	}
	return r
}

// TestEachResultCountsOnce summarizes one result of each kind and checks the totals.
func TestEachResultCountsOnce(t *testing.T) {
	c := qt.New(t)
	wrong := result("wrong", scheduler.Draft, responder.Delivered, time.Second)
	wrong.Tokens[1] = "other"
	cut := result("cut", scheduler.Draft, responder.Delivered, time.Second)
	cut.IsComplete = false
	results := []runner.Result{
		result("in-time", scheduler.Draft, responder.Delivered, time.Second),
		result("late", scheduler.Draft, responder.Delivered, 5*time.Second),
		wrong, cut,
		result("failed", scheduler.Draft, responder.Failed, 4*time.Second),
		result("never", scheduler.Draft, "", 6*time.Second),
		result("shed", scheduler.Draft, responder.NotRun, time.Millisecond),
		result("once", scheduler.Record, responder.Delivered, time.Second),
		result("twice", scheduler.Record, responder.Delivered, time.Second),
		result("missing", scheduler.Record, responder.Delivered, time.Second),
		result("told-not-run", scheduler.Record, responder.NotRun, time.Second),
		result("unknown", scheduler.Record, responder.Unknown, time.Second),
		result("refused", scheduler.Record, responder.Refused, time.Second),
	}
	executed := ledgerreader.Executions{Calls: map[string]int{"once": 1, "twice": 2, "told-not-run": 1}}
	w := summarizer.Window{From: start, To: start.Add(10 * time.Second)}
	s := summarizer.Summarize(summarizer.Config{Window: w, Layers: layers}, results, executed)
	c.Assert(s.All, qt.Equals, summarizer.Counts{
		Requests: 13, Delivered: 3, Late: 1, Lost: 5, Doubled: 1, Refused: 1, NotRun: 2, Unknown: 1, FalseNotRun: 1,
	})
	// Only the complete draft that was in time counts as goodput: 3 tokens in 10 s.
	c.Assert(s.GoodputTokens, qt.Equals, 0.3)
}

// TestRecoveryCountsFromFault stalls one draft on the failed target; a second draft on another target must
// not be counted. The time to the next token counts from the fault.
func TestRecoveryCountsFromFault(t *testing.T) {
	c := qt.New(t)
	at := start.Add(2 * time.Second)
	stalled := result("stalled", scheduler.Draft, responder.Delivered, 3*time.Second)
	stalled.TokenAt = []time.Time{at.Add(-time.Second), at.Add(-500 * time.Millisecond), at.Add(800 * time.Millisecond)}
	other := result("other", scheduler.Draft, responder.Delivered, 3*time.Second)
	executed := ledgerreader.Executions{Targets: map[string]map[string]int64{
		"stalled": {"engine": at.Add(-600 * time.Millisecond).UnixMilli()},
		"other":   {"another": at.UnixMilli()},
	}}
	w := summarizer.Window{From: start, To: start.Add(10 * time.Second)}
	r := summarizer.MeasureRecovery(at, "engine", w, []runner.Result{stalled, other}, executed)
	c.Assert(r.Stalled, qt.Equals, 1)
	c.Assert(r.NeverResumed, qt.Equals, 0)
	c.Assert(r.NextToken.P50 > 799 && r.NextToken.P50 < 802, qt.IsTrue, qt.Commentf("%v ms", r.NextToken.P50))
}
