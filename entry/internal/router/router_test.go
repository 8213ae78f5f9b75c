package router_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/router"
)

func table() *router.Table {
	return router.NewTable(&describer.Configuration{
		Version: 3,
		Routes: []describer.Route{
			{ID: "short", Host: "a.example", Prefix: "/x/"},
			{ID: "long", Host: "a.example", Prefix: "/x/y/"},
			{ID: "other", Host: "b.example", Prefix: "/"},
		},
		Accounts: []describer.Account{{ID: "studio", Keys: []string{"k1", "k2"}}},
	})
}

// TestRouteHasLongestPrefixOfHost checks that the route with the longest matching prefix of
// the request's host is found; port, query and the case of the host don't matter.
func TestRouteHasLongestPrefixOfHost(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		host, path string
		want       identifier.RouteID
	}{
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z?q=/w/", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/anything", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/xx/y/", ""},
		{"c.example", "/x/", ""},
	} {
		got := identifier.RouteID("")
		if r := table().Route(row.host, row.path); r != nil {
			got = r.ID
		}
		c.Check(got, qt.Equals, row.want, qt.Commentf("%s%s", row.host, row.path))
	}
}

// TestAccountIsFoundByEachOfItsKeys checks that an account is found by each of its keys, and by no other.
func TestAccountIsFoundByEachOfItsKeys(t *testing.T) {
	c := qt.New(t)
	c.Assert(table().Account("k2").ID, qt.Equals, identifier.AccountID("studio"))
	c.Assert(table().Account(""), qt.IsNil)
	c.Assert(table().Account("k3"), qt.IsNil)
}

// TestNeedOfKeyDoesNotDependOnKeysLeft guards against routes that need no key once the last one of all accounts is gone.
func TestNeedOfKeyDoesNotDependOnKeysLeft(t *testing.T) {
	c := qt.New(t)
	private, public := &describer.Route{}, &describer.Route{IsPublic: true}
	for _, accounts := range [][]describer.Account{nil, {}, {{ID: "studio"}}, {{ID: "studio", Keys: []string{"k1"}}}} {
		listed := router.NewTable(&describer.Configuration{Accounts: accounts})
		c.Check(listed.NeedsKey(private), qt.IsTrue, qt.Commentf("%v", accounts))
		c.Check(listed.NeedsKey(public), qt.IsFalse)
	}
	c.Assert(router.NewTable(&describer.Configuration{IsOpen: true}).NeedsKey(private), qt.IsFalse)
}

// TestPickFollowsWeights checks that each service is picked in proportion to its weight.
func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := &describer.Route{Services: []describer.ServiceShare{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	const seeds = 1 << 20
	n := 0
	for seed := range uint64(seeds) {
		if router.Pick(r, seed) == "new" {
			n++
		}
	}
	c.Assert(n > seeds/11 && n < seeds/9, qt.IsTrue)
}
