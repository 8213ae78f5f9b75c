// Package printer prints the output of fbctl as tables or JSON.
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

const columnPadding = 2

// Rows is a table; Cells holds its rows.
type Rows struct {
	Header []string
	Cells  [][]string
}

// Add adds one row.
func (r *Rows) Add(cells ...string) { r.Cells = append(r.Cells, cells) }

// Sort sorts the rows by their first column.
func (r *Rows) Sort() {
	sort.Slice(r.Cells, func(i, j int) bool { return r.Cells[i][0] < r.Cells[j][0] })
}

// Printer prints in one format.
type Printer struct {
	w      io.Writer
	isJSON bool
}

// NewPrinter returns a printer for the format "table" or "json".
func NewPrinter(w io.Writer, format string) *Printer { return &Printer{w: w, isJSON: format == "json"} }

// Print prints a table, or in JSON an array with one object per row, keyed by the header.
func (p *Printer) Print(rows Rows) error {
	if p.isJSON {
		return p.printJSON(rows)
	}
	w := tabwriter.NewWriter(p.w, 0, 0, columnPadding, ' ', 0)
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

// PrintPreview prints a table ahead of the command's result. It prints nothing in JSON, where the
// output holds only the result.
func (p *Printer) PrintPreview(rows Rows) error {
	if p.isJSON || len(rows.Cells) == 0 {
		return nil
	}
	if err := p.Print(rows); err != nil {
		return err
	}
	fmt.Fprintln(p.w)
	return nil
}

// PrintText prints a line of text before a table. It prints nothing in JSON.
func (p *Printer) PrintText(text string) {
	if !p.isJSON {
		fmt.Fprintln(p.w, text+"\n")
	}
}
