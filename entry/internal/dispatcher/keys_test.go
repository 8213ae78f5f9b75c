package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

// startWith returns a node that has read some versions of the configuration, the last of which is confirmed.
func startWith(versions ...*describer.Configuration) *harness {
	d := newHarness()
	for _, cfg := range versions {
		d.apply(0, dispatcher.ConfigurationRead{Table: router.NewTable(cfg)})
	}
	d.apply(0, dispatcher.ConfigurationConfirmed{AsOf: start})
	d.apply(0, registrar.TargetsChanged{Targets: targets()})
	return d
}

// withAccounts returns a version of the configuration with a list of client accounts, which may be empty.
func withAccounts(version int64, accounts ...describer.Account) *describer.Configuration {
	cfg := configuration(version)
	cfg.Accounts = accounts
	return cfg
}

// TestLastKeyTakenAwayLetsNobodyIn guards against requests with a revoked key, an unknown one or none that run once the last key of
// all client accounts has been taken away, on any route but a public one, at a running node, one that has just started and one that
// is cut off from the store.
func TestLastKeyTakenAwayLetsNobodyIn(t *testing.T) {
	for name, newest := range map[string]*describer.Configuration{
		"account without keys":      withAccounts(2, describer.Account{ID: "studio"}),
		"account with an empty key": withAccounts(2, describer.Account{ID: "studio", Keys: []string{""}}),
		"no account left":           withAccounts(2),
	} {
		for start, d := range map[string]*harness{"running": startWith(configuration(1, "key"), newest), "started": startWith(newest)} {
			for after, want := range map[time.Duration]int{0: 401, changeLimit: 503, revocationLimit: 503} {
				for _, path := range []string{"/post/", "/view/", "/draft/", "/once/"} {
					for _, key := range []string{"key", "unknown", ""} {
						t.Run(fmt.Sprintf("%s, %s, after %s, %s with %q", name, start, after, path, key), func(t *testing.T) {
							_, e := d.sendRequest(after, path, key)
							qt.New(t).Assert(status(e), qt.Equals, want, qt.Commentf("%+v", e))
						})
					}
				}
			}
			_, e := d.sendRequest(0, "/open/", "")
			_, isSent := e.(dispatcher.Send)
			qt.New(t).Check(isSent, qt.IsTrue, qt.Commentf("public route, %s, %s: %+v", name, start, e))
		}
	}
}

// TestConfigurationWithoutAccountListNeedsNoKeys guards against a deployment without client accounts that denies all its requests,
// also while it is cut off from the store: there is no key to revoke.
func TestConfigurationWithoutAccountListNeedsNoKeys(t *testing.T) {
	c := qt.New(t)
	cfg := withAccounts(1)
	cfg.IsOpen = true
	d := startWith(cfg)
	for _, after := range []time.Duration{0, revocationLimit} {
		for _, key := range []string{"", "any"} {
			_, e := d.sendRequest(after, "/post/", key)
			sent, ok := e.(dispatcher.Send)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", e))
			c.Check(string(sent.Account), qt.Equals, "")
		}
	}
}
