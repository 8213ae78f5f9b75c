// Package printer prints what fbctl read, as tables or JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

const columnGap = 2

// Rows is a table.
type Rows struct {
	Header []string
	Cells  [][]string
}

// Add adds one row.
func (r *Rows) Add(cells ...string) { r.Cells = append(r.Cells, cells) }

// Sort orders the rows by their first column.
func (r *Rows) Sort() {
	sort.Slice(r.Cells, func(i, j int) bool { return r.Cells[i][0] < r.Cells[j][0] })
}

// Printer prints in one format.
type Printer struct {
	w      io.Writer
	isJSON bool
}

// NewPrinter returns a printer in the format "table" or "json".
func NewPrinter(w io.Writer, format string) *Printer { return &Printer{w: w, isJSON: format == "json"} }

// Print prints a table, or an array of objects named by its header.
func (p *Printer) Print(rows Rows) error {
	if p.isJSON {
		return p.printJSON(rows)
	}
	w := tabwriter.NewWriter(p.w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(rows.Header, "\t")))
	for _, cells := range rows.Cells {
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return errors.Wrap(w.Flush(), "printing")
}

func (p *Printer) printJSON(rows Rows) error {
	objects := make([]map[string]string, 0, len(rows.Cells))
	for _, cells := range rows.Cells {
		o := map[string]string{}
		for i, cell := range cells {
			o[strings.ReplaceAll(rows.Header[i], " ", "_")] = cell
		}
		objects = append(objects, o)
	}
	return errors.Wrap(json.NewEncoder(p.w).Encode(objects), "printing")
}

// PrintNote prints a table that is no result of its own: nothing in JSON.
func (p *Printer) PrintNote(rows Rows) error {
	if p.isJSON || len(rows.Cells) == 0 {
		return nil
	}
	if err := p.Print(rows); err != nil {
		return err
	}
	fmt.Fprintln(p.w)
	return nil
}

// PrintSentence prints a sentence before a table; nothing in JSON.
func (p *Printer) PrintSentence(text string) {
	if !p.isJSON {
		fmt.Fprintln(p.w, text+"\n")
	}
}
