package reporter

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fuchsiabridge.example/fbload/internal/summarizer"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter / 2
)

// barChart is one plot with a bar for each group of runs.
type barChart struct {
	file, title, unit string
	value             func(summarizer.Summary) float64
}

func barCharts() []barChart {
	return []barChart{
		{"share_of_bound.png", "Goodput, share of the bound", "share", func(s summarizer.Summary) float64 { return s.ShareOfBound }},
		{"first_token_p95.png", "First token, 95th percentile", "ms", func(s summarizer.Summary) float64 { return s.FirstToken.P95 }},
		{"between_tokens_p95.png", "Between tokens, 95th percentile", "ms", func(s summarizer.Summary) float64 { return s.BetweenTokens.P95 }},
		{"in_time.png", "Requests delivered in time, by weight", "share", func(s summarizer.Summary) float64 { return s.WeightedInTime }},
	}
}

// Write writes the table and the plots to the directory.
func Write(dir string, runs []summarizer.Summary) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "creating the report directory")
	}
	file, err := os.Create(filepath.Join(dir, "report.md"))
	if err != nil {
		return errors.Wrap(err, "creating the report")
	}
	defer file.Close()
	Table(file, runs)
	for _, b := range barCharts() {
		if err := b.draw(dir, runs); err != nil {
			return err
		}
	}
	return nil
}

func (b barChart) draw(dir string, runs []summarizer.Summary) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = b.title, b.unit
	var values plotter.Values
	var names []string
	for _, g := range groups(runs) {
		first := g.runs[0]
		values = append(values, g.median(b.value))
		names = append(names, first.Experiment+"\n"+first.Mix+"\n"+first.Choice+"\n"+first.Label)
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return errors.Wrap(err, "drawing a bar chart")
	}
	chart.Color = plotutil.Color(0)
	p.Add(chart, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Tick.Label.Font.Size = vg.Points(6)
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, b.file)), "writing a plot")
}
