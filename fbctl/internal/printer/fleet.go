package printer

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/fbctl/internal/operatorcaller"
)

type status struct {
	Node struct {
		Node       string `json:"node"`
		DataCentre string `json:"data_centre"`
		Leaving    bool   `json:"leaving"`
	} `json:"node"`
	Ready  bool  `json:"ready"`
	Offset int64 `json:"offset"`
	Open   int64 `json:"open_requests"`
	Peers  []struct {
		State string `json:"state"`
	} `json:"peers"`
	Targets []target `json:"targets"`
}

type target struct {
	ID         string                `json:"id"`
	Role       string                `json:"role"`
	State      string                `json:"state"`
	DataCentre string                `json:"data_centre"`
	Model      string                `json:"model"`
	Layers     identifier.LayerRange `json:"layers"`
	Queued     int                   `json:"queued"`
}

// nodeAnswer is one node's answer in JSON output.
type nodeAnswer struct {
	Address string          `json:"address"`
	Status  json.RawMessage `json:"status,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// PrintStatuses prints the status of every node, and the targets as seen by the first node that
// answered.
func (p *Printer) PrintStatuses(answers []operatorcaller.Answer) error {
	if p.isJSON {
		return p.encode(nodeAnswers(answers))
	}
	nodes := Rows{Header: []string{"node", "address", "data centre", "state", "offset", "open", "alive peers", "targets up"}}
	var first *status
	for _, a := range answers {
		var s status
		if a.Err != nil || json.Unmarshal(a.Body, &s) != nil {
			nodes.Add("-", a.Node, "-", "no answer", "-", "-", "-", "-")
			continue
		}
		if first == nil {
			first = &s
		}
		nodes.Add(s.Node.Node, a.Node, s.Node.DataCentre, s.state(), fmt.Sprint(s.Offset), fmt.Sprint(s.Open), s.alivePeers(), s.targetsUp())
	}
	if err := p.Print(nodes); err != nil || first == nil {
		return err
	}
	fmt.Fprintln(p.w)
	return p.Print(targetRows(first.Targets))
}

func targetRows(all []target) Rows {
	rows := Rows{Header: []string{"target", "role", "state", "data centre", "model", "layers", "queued"}}
	for _, t := range all {
		layers := "-"
		if t.Layers.Len() > 0 {
			layers = fmt.Sprintf("%d-%d", t.Layers.From, t.Layers.To-1)
		}
		rows.Add(t.ID, t.Role, t.State, t.DataCentre, t.Model, layers, fmt.Sprint(t.Queued))
	}
	rows.Sort()
	return rows
}

func nodeAnswers(answers []operatorcaller.Answer) []nodeAnswer {
	all := make([]nodeAnswer, 0, len(answers))
	for _, a := range answers {
		n := nodeAnswer{Address: a.Node, Status: a.Body}
		if a.Err != nil {
			n.Error = a.Err.Error()
		}
		all = append(all, n)
	}
	return all
}

func (s status) state() string {
	switch {
	case s.Node.Leaving:
		return "leaving"
	case s.Ready:
		return "ready"
	}
	return "unready"
}

func (s status) alivePeers() string {
	alive := 0
	for _, peer := range s.Peers {
		if peer.State == "alive" {
			alive++
		}
	}
	return fmt.Sprintf("%d of %d", alive, len(s.Peers))
}

func (s status) targetsUp() string {
	up := 0
	for _, t := range s.Targets {
		if t.State == "up" {
			up++
		}
	}
	return fmt.Sprintf("%d of %d", up, len(s.Targets))
}

type explanation struct {
	Node    string    `json:"node"`
	At      time.Time `json:"at"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	Details []string  `json:"details"`
}

// PrintExplanations prints the log events of all nodes, ordered by the time that each node's clock gave
// them.
func (p *Printer) PrintExplanations(answers []operatorcaller.Answer) error {
	all := []explanation{}
	for _, a := range answers {
		var events []explanation
		if a.Err != nil || json.Unmarshal(a.Body, &events) != nil {
			continue
		}
		for _, e := range events {
			e.Node = a.Node
			all = append(all, e)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	if p.isJSON {
		return p.encode(all)
	}
	rows := Rows{Header: []string{"at", "node", "event", "message", "details"}}
	for _, e := range all {
		rows.Add(e.At.Format(time.RFC3339Nano), e.Node, fmt.Sprint(e.Event), e.Message, strings.Join(e.Details, " "))
	}
	return p.Print(rows)
}

func (p *Printer) encode(v any) error {
	return errors.Wrap(json.NewEncoder(p.w).Encode(v), "printing")
}
