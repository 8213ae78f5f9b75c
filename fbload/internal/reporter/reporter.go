// Package reporter stores the summaries of runs in a file and renders them as a table and as plots.
package reporter

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/fbload/internal/summarizer"
)

const (
	dirMode      = 0o755
	fileMode     = 0o644
	maxLineBytes = 1 << 20
)

// Append appends a summary to the file of runs at path, which holds one JSON object per line.
func Append(path string, s summarizer.Summary) error {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return errors.Wrap(err, "creating the directory of runs")
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the file of runs")
	}
	defer file.Close()
	return errors.Wrap(json.NewEncoder(file).Encode(s), "writing a run")
}

// Read reads the file of runs at path.
func Read(path string) ([]summarizer.Summary, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening the file of runs")
	}
	defer file.Close()
	var runs []summarizer.Summary
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var s summarizer.Summary
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, errors.Wrap(err, "reading a run")
		}
		runs = append(runs, s)
	}
	return runs, errors.Wrap(lines.Err(), "reading the file of runs")
}

// group holds the runs of one experiment that share mix, policy and label, that is, its repetitions.
type group struct {
	key  string
	runs []summarizer.Summary
}

func groups(runs []summarizer.Summary) []group {
	var found []group
	indexes := map[string]int{}
	for _, s := range runs {
		key := strings.Join([]string{s.Experiment, s.Mix, s.Choice, s.Label}, "|")
		i, ok := indexes[key]
		if !ok {
			i = len(found)
			indexes[key] = i
			found = append(found, group{key: key})
		}
		found[i].runs = append(found[i].runs, s)
	}
	return found
}

func (g group) median(value func(summarizer.Summary) float64) float64 {
	values := make([]float64, 0, len(g.runs))
	for _, s := range g.runs {
		values = append(values, value(s))
	}
	sort.Float64s(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

func (g group) sum(value func(summarizer.Summary) int) int {
	n := 0
	for _, s := range g.runs {
		n += value(s)
	}
	return n
}

// Table writes the runs as a Markdown table with one row per group. Shares and latencies are medians over
// the group, counts are sums.
func Table(out io.Writer, runs []summarizer.Summary) {
	fmt.Fprintln(out, "| experiment | mix | policy | setting | runs | offered | share of bound | in time, weighted | first token p50/p95/p99 ms | between tokens p50/p95/p99 ms | requests | late | lost | doubled | refused | not run | false not run | unknown | refusal p95 ms | recovery: stalled, next token p50/p95 ms, throughput back ms | CPU |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, g := range groups(runs) {
		first := g.runs[0]
		fmt.Fprintf(out, "| %s | %s | %s | %s | %d | %.2f | %.3f | %.3f | %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %.0f | %s | %.0f%% |\n",
			first.Experiment, first.Mix, first.Choice, first.Label, len(g.runs), first.Offered,
			g.median(func(s summarizer.Summary) float64 { return s.ShareOfBound }),
			g.median(func(s summarizer.Summary) float64 { return s.WeightedInTime }),
			g.percentilesText(func(s summarizer.Summary) summarizer.Percentiles { return s.FirstToken }),
			g.percentilesText(func(s summarizer.Summary) summarizer.Percentiles { return s.BetweenTokens }),
			g.sum(func(s summarizer.Summary) int { return s.All.Requests }),
			g.sum(func(s summarizer.Summary) int { return s.All.Late }),
			g.sum(func(s summarizer.Summary) int { return s.All.Lost }),
			g.sum(func(s summarizer.Summary) int { return s.All.Doubled }),
			g.sum(func(s summarizer.Summary) int { return s.All.Refused }),
			g.sum(func(s summarizer.Summary) int { return s.All.NotRun }),
			g.sum(func(s summarizer.Summary) int { return s.All.FalseNotRun }),
			g.sum(func(s summarizer.Summary) int { return s.All.Unknown }),
			g.median(func(s summarizer.Summary) float64 { return s.Refusals.P95 }),
			g.recoveryText(),
			100*g.median(func(s summarizer.Summary) float64 { return s.CPUShare }),
		)
	}
	writeWatched(out, runs)
	writeProblems(out, runs)
}

func (g group) percentilesText(of func(summarizer.Summary) summarizer.Percentiles) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f",
		g.median(func(s summarizer.Summary) float64 { return of(s).P50 }),
		g.median(func(s summarizer.Summary) float64 { return of(s).P95 }),
		g.median(func(s summarizer.Summary) float64 { return of(s).P99 }))
}

func (g group) recoveryText() string {
	if g.runs[0].Recovery == nil {
		return "-"
	}
	stalled := g.sum(func(s summarizer.Summary) int { return s.Recovery.Stalled })
	neverResumed := g.sum(func(s summarizer.Summary) int { return s.Recovery.NeverResumed })
	return fmt.Sprintf("%d (%d never), %.0f/%.0f, %.0f", stalled, neverResumed,
		g.median(func(s summarizer.Summary) float64 { return s.Recovery.NextToken.P50 }),
		g.median(func(s summarizer.Summary) float64 { return s.Recovery.NextToken.P95 }),
		g.median(func(s summarizer.Summary) float64 { return float64(s.Recovery.ThroughputRecoveryMillis) }))
}

// writeWatched writes the time to first token of the watched account of each experiment that has one.
func writeWatched(out io.Writer, runs []summarizer.Summary) {
	for _, g := range groups(runs) {
		if g.runs[0].Watched.Count == 0 {
			continue
		}
		fmt.Fprintf(out, "\nWatched account, %s: first token p50/p95/p99 %s ms\n", strings.ReplaceAll(g.key, "|", " "),
			g.percentilesText(func(s summarizer.Summary) summarizer.Percentiles { return s.Watched }))
	}
}

func writeProblems(out io.Writer, runs []summarizer.Summary) {
	for _, s := range runs {
		if len(s.Problems) > 0 {
			fmt.Fprintf(out, "\n%s %s %s: %s; codes %v\n", s.Experiment, s.Choice, s.Label, strings.Join(s.Problems, "; "), s.Codes)
		}
	}
}
