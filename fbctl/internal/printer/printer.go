// Package printer prints what fbctl read, as tables or JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

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

func (p *Printer) raw(raw json.RawMessage) error {
	_, err := p.w.Write(append(raw, '\n'))
	return errors.Wrap(err, "printing")
}

type layerRange struct{ From, To int }

type status struct {
	Node struct {
		Node        string `json:"node"`
		Incarnation uint64 `json:"incarnation"`
	} `json:"node"`
	Ready  bool  `json:"ready"`
	Offset int64 `json:"offset"`
	Open   int64 `json:"open_requests"`
	Peers  []struct {
		Node       string `json:"node"`
		State      string `json:"state"`
		DataCentre string `json:"data_centre"`
		Offset     int64  `json:"offset"`
	} `json:"peers"`
	Targets []struct {
		ID         string     `json:"id"`
		Role       string     `json:"role"`
		State      string     `json:"state"`
		DataCentre string     `json:"data_centre"`
		Model      string     `json:"model"`
		Layers     layerRange `json:"layers"`
		Queued     int        `json:"queued"`
	} `json:"targets"`
}

// PrintStatus prints the fleet on one screen.
func (p *Printer) PrintStatus(raw json.RawMessage) error {
	if p.isJSON {
		return p.raw(raw)
	}
	var s status
	if err := json.Unmarshal(raw, &s); err != nil {
		return errors.Wrap(err, "decoding the status")
	}
	fmt.Fprintf(p.w, "node %s  ready %t  offset %d  open requests %d\n\n", s.Node.Node, s.Ready, s.Offset, s.Open)
	peers := Rows{Header: []string{"peer", "state", "data centre", "offset"}}
	for _, peer := range s.Peers {
		peers.Add(peer.Node, peer.State, peer.DataCentre, fmt.Sprint(peer.Offset))
	}
	if err := p.Print(peers); err != nil {
		return err
	}
	fmt.Fprintln(p.w)
	targets := Rows{Header: []string{"target", "role", "state", "data centre", "model", "layers", "queued"}}
	for _, t := range s.Targets {
		layers := fmt.Sprintf("%d-%d", t.Layers.From, t.Layers.To)
		targets.Add(t.ID, t.Role, t.State, t.DataCentre, t.Model, layers, fmt.Sprint(t.Queued))
	}
	return p.Print(targets)
}

// PrintExplanations prints numbered events, oldest first.
func (p *Printer) PrintExplanations(raw json.RawMessage) error {
	if p.isJSON {
		return p.raw(raw)
	}
	var events []struct {
		At      time.Time `json:"at"`
		Event   int       `json:"event"`
		Message string    `json:"message"`
		Details []string  `json:"details"`
	}
	if err := json.Unmarshal(raw, &events); err != nil {
		return errors.Wrap(err, "decoding the events")
	}
	rows := Rows{Header: []string{"at", "event", "message", "details"}}
	for _, e := range events {
		rows.Add(e.At.Format(time.RFC3339Nano), fmt.Sprint(e.Event), e.Message, strings.Join(e.Details, " "))
	}
	return p.Print(rows)
}
