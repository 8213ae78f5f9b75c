package router_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/entry/internal/router"
)

// TestRankFollowsAccountsThenRoutes guards against ranks by routes where the configuration ranks accounts, and against ranks that routes
// of other services or kinds bring about.
func TestRankFollowsAccountsThenRoutes(t *testing.T) {
	c := qt.New(t)
	at := func(id string, kind describer.Kind, priority int) describer.Route {
		return describer.Route{Prefix: id, Kind: kind, Priority: priority, Services: []describer.ServiceShare{{Service: "s", Weight: 1}}}
	}
	cfg := &describer.Configuration{
		Routes:   []describer.Route{at("a", describer.Streaming, 4), at("b", describer.Streaming, 0), at("c", describer.Streaming, 4), at("d", describer.Idempotent, 2)},
		Accounts: []describer.Account{{ID: "x", Priority: 7}, {ID: "y", Priority: 7}},
	}
	check := func(r *describer.Route, a *describer.Account, wantRank, wantRanks int) {
		rank, ranks := router.NewTable(cfg).Rank("s", r, a)
		c.Check([]int{rank, ranks}, qt.DeepEquals, []int{wantRank, wantRanks})
	}
	check(&cfg.Routes[0], &cfg.Accounts[0], 1, 2)
	check(&cfg.Routes[1], &cfg.Accounts[0], 0, 2)
	cfg.Accounts[1].Priority = 3
	check(&cfg.Routes[0], &cfg.Accounts[1], 0, 2)
	check(&cfg.Routes[1], &cfg.Accounts[0], 1, 2)
	check(&cfg.Routes[1], nil, 1, 2)
	_, ranks := router.NewTable(cfg).Rank("other", &cfg.Routes[0], nil)
	c.Check(ranks, qt.Equals, 0)
}
