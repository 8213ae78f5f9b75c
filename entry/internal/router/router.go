// Package router looks up the route of a request and the client account of a bearer key in one
// version of the configuration.
package router

import (
	"strings"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// Table is an immutable lookup table of one version of the configuration.
type Table struct {
	Version  int64
	Limits   describer.Limits
	Services map[identifier.ServiceID]describer.Service

	routes   map[routeKey]*describer.Route
	accounts map[string]*describer.Account
	isOpen   bool
	// accountCount also counts the accounts without keys.
	accountCount int
	// priorities are those that occur at each service, in order. They are those of accounts if the configuration ranks accounts.
	priorities    map[identifier.ServiceID][]int
	ranksAccounts bool
}

type routeKey struct{ host, prefix string }

// NewTable builds the table of a configuration.
func NewTable(cfg *describer.Configuration) *Table {
	t := &Table{
		Version: cfg.Version, Limits: cfg.Limits, Services: cfg.Services,
		routes:   make(map[routeKey]*describer.Route, len(cfg.Routes)),
		accounts: map[string]*describer.Account{}, isOpen: cfg.IsOpen, accountCount: len(cfg.Accounts),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.routes[routeKey{r.Host, r.Prefix}] = r
		noteGapObjective(cfg, r)
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			t.accounts[key] = &cfg.Accounts[i]
		}
	}
	// A request without a key must not pass for one with an empty key.
	delete(t.accounts, "")
	t.collectPriorities(cfg)
	return t
}

// noteGapObjective notes the gap objective of a route at the engines of its services.
func noteGapObjective(cfg *describer.Configuration, r *describer.Route) {
	for _, share := range r.Services {
		e := cfg.Services[share.Service].Engine
		if e != nil && r.GapObjective > 0 && (e.GapObjective == 0 || r.GapObjective < e.GapObjective) {
			e.GapObjective = r.GapObjective
		}
	}
}

// Route returns the route with the longest path prefix for a host, nil if there is none.
func (t *Table) Route(host, path string) *describer.Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	path, _, _ = strings.Cut(path, "?")
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r, ok := t.routes[routeKey{host, path[:i+1]}]; ok {
			return r
		}
	}
	return nil
}

// CountAccounts returns the number of client accounts, and of the keys that all of them have.
func (t *Table) CountAccounts() (accounts, keys int) { return t.accountCount, len(t.accounts) }

// Account returns the client account of a bearer key, nil if there is none.
func (t *Table) Account(key string) *describer.Account { return t.accounts[key] }

// NeedsKey reports whether requests of a route need the key of a client account. That does not depend on whether any key is left.
func (t *Table) NeedsKey(r *describer.Route) bool { return !r.IsPublic && !t.isOpen }

// Pick chooses one of a route's services by weight; seed is a random number.
func Pick(r *describer.Route, seed uint64) identifier.ServiceID {
	var sum float64
	for _, s := range r.Services {
		sum += s.Weight
	}
	const resolution = 1 << 20
	point := sum * float64(seed%resolution) / resolution
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Size returns the number of routes.
func (t *Table) Size() int { return len(t.routes) }
