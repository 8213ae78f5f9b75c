package router

import (
	"slices"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// collectPriorities notes which priorities occur at each service: those of accounts if these differ, else those of the service's streamed
// routes.
func (t *Table) collectPriorities(cfg *describer.Configuration) {
	var ofAccounts []int
	for _, a := range cfg.Accounts {
		ofAccounts = append(ofAccounts, a.Priority)
	}
	ofAccounts = sorted(ofAccounts)
	t.ranksAccounts = len(ofAccounts) > 1
	t.priorities = map[identifier.ServiceID][]int{}
	for _, r := range cfg.Routes {
		if r.Kind != describer.Streaming {
			continue
		}
		for _, s := range r.Services {
			t.priorities[s.Service] = append(t.priorities[s.Service], r.Priority)
		}
	}
	for id, ofRoutes := range t.priorities {
		t.priorities[id] = sorted(ofRoutes)
		if t.ranksAccounts {
			t.priorities[id] = ofAccounts
		}
	}
}

func sorted(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}

// Rank returns the position of a request's priority among those that occur at a service, 0 for the most urgent, and their number. If
// accounts are ranked, a request without one is among the least urgent.
func (t *Table) Rank(service identifier.ServiceID, r *describer.Route, a *describer.Account) (rank, ranks int) {
	known := t.priorities[service]
	switch {
	case len(known) == 0:
		return 0, 0
	case !t.ranksAccounts:
		rank, _ = slices.BinarySearch(known, r.Priority)
	case a != nil:
		rank, _ = slices.BinarySearch(known, a.Priority)
	default:
		rank = len(known) - 1
	}
	return min(rank, len(known)-1), len(known)
}
