package printer

import (
	"encoding/json"
	"fmt"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/fbctl/internal/operatorcaller"
)

// PrintRelays prints the state of every relaying node, and the chains as planned by the first node that
// answered.
func (p *Printer) PrintRelays(answers []operatorcaller.Answer) error {
	if p.isJSON {
		return p.encode(nodeAnswers(answers))
	}
	nodes := Rows{Header: []string{"node", "address", "ready", "version", "confirmed ms ago", "targets", "leaving", "doubted", "open", "repeats", "gives orders"}}
	var first *describer.RelayStatus
	for _, a := range answers {
		var vars struct {
			Relay *describer.RelayStatus `json:"relay"`
		}
		if a.Err != nil || json.Unmarshal(a.Body, &vars) != nil || vars.Relay == nil {
			nodes.Add("-", a.Node, "no answer", "-", "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		s := vars.Relay
		if first == nil {
			first = s
		}
		nodes.Add(string(s.Node), a.Node, fmt.Sprint(s.IsReady), fmt.Sprint(s.Version), fmt.Sprint(s.ConfirmedMSAgo), fmt.Sprint(s.Targets),
			fmt.Sprint(s.Leaving), fmt.Sprint(s.Ejected), fmt.Sprint(s.Open), fmt.Sprint(s.RetryQuota), leaseText(s))
	}
	if err := p.Print(nodes); err != nil || first == nil {
		return err
	}
	fmt.Fprintln(p.w)
	return p.Print(chainRows(first.Chains))
}

// leaseText says whether the node holds the lease to send orders.
func leaseText(s *describer.RelayStatus) string {
	if !s.HoldsLease {
		return "no"
	}
	return fmt.Sprintf("yes, fence %d", s.Fence)
}

func chainRows(chains []describer.ChainStatus) Rows {
	rows := Rows{Header: []string{"service", "data centre", "parts", "crossings", "step ms", "room", "open here", "way"}}
	for _, c := range chains {
		path := ""
		for i, t := range c.Targets {
			path += fmt.Sprintf(" %s=%d-%d", t, c.Layers[i].From, c.Layers[i].To)
		}
		rows.Add(string(c.Service), string(c.DataCentre), fmt.Sprint(len(c.Targets)), fmt.Sprint(c.Hops),
			fmt.Sprintf("%.1f", c.StepMS), fmt.Sprintf("%.0f", c.Capacity), fmt.Sprint(c.Open), path)
	}
	return rows
}
