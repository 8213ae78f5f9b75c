package configurer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
)

const team = identifier.TeamID("dakar")

func change(id string, expected identifier.Revision, set map[string]string) configurer.Change {
	c := configurer.Change{ID: identifier.ChangeID(id), Team: team, Expected: expected, Set: map[string]json.RawMessage{}}
	for path, value := range set {
		c.Set[path] = json.RawMessage(value)
	}
	return c
}

// TestChangesAreComparedAndSet decides random changes drawn from a few ids and revisions: each id
// keeps its first decision, each accepted change increments the revision by one, and a rejected
// change modifies nothing.
func TestChangesAreComparedAndSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := configurer.NewTree()
		decisions := map[identifier.ChangeID]configurer.Decision{}
		for offset := range rapid.IntRange(1, 50).Draw(t, "changes") {
			id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id"))
			expected := identifier.Revision(rapid.IntRange(0, 8).Draw(t, "expected"))
			before := tree.Clone().Get(team)
			v := tree.Decide(identifier.Offset(offset), change(id, expected, map[string]string{"models/atlas/layers": fmt.Sprint(offset + 1)}))
			after := tree.Get(team)
			first, isResubmitted := decisions[v.ID]
			if isResubmitted && first != v {
				t.Fatalf("change %s got %+v, then %+v", id, first, v)
			}
			decisions[v.ID] = v
			value, increment := string(after.Values["models/atlas/layers"]), after.Revision-before.Revision
			wantAccepted := !isResubmitted && expected == before.Revision
			if wantAccepted != (increment == 1) || wantAccepted != (value == fmt.Sprint(offset+1)) || increment > 1 {
				t.Fatalf("change %s (want accepted %t): revision %d to %d, value %s", id, wantAccepted, before.Revision, after.Revision, value)
			}
			if !isResubmitted && v.Accepted != wantAccepted {
				t.Fatalf("change %s: decision %+v", id, v)
			}
		}
	})
}

// TestIDOutsideHistoryIsNotAppliedAgain resubmits an accepted change after its decision has been
// dropped from the history: the expected revision no longer matches, so the change is rejected.
func TestIDOutsideHistoryIsNotAppliedAgain(t *testing.T) {
	c := qt.New(t)
	tree := configurer.NewTree()
	for n := range 1100 {
		v := tree.Decide(identifier.Offset(n), change(fmt.Sprint(n), identifier.Revision(n), map[string]string{"models/atlas/layers": "7"}))
		c.Assert(v.Accepted, qt.IsTrue)
	}
	_, known := tree.Decision(team, "0")
	c.Assert(known, qt.IsFalse)
	c.Assert(tree.Decide(1100, change("0", 0, map[string]string{"models/atlas/layers": "7"})).Accepted, qt.IsFalse)
	c.Assert(tree.Get(team).Revision, qt.Equals, identifier.Revision(1100))
}

// TestDecisionDoesNotDependOnRules accepts a path that this version does not know, as every version
// must, and leaves it out of the settings.
func TestDecisionDoesNotDependOnRules(t *testing.T) {
	c := qt.New(t)
	tree := configurer.NewTree()
	v := tree.Decide(0, change("a", 0, map[string]string{"policy/of_next_year": "1", "accounts/x": "2", "models/atlas/layers": `"many"`, "classes/bulk/priority": "3"}))
	c.Assert(v.Accepted, qt.IsTrue)
	settings := tree.Settings(nil).Teams[team]
	c.Assert(settings.Models, qt.HasLen, 0)
	c.Assert(settings.Classes["bulk"].Priority, qt.Equals, 3)
}

// TestDuplicateKeyBelongsToFirstAccount sets the same key for several accounts: every node must map
// it to the same account, so the order of map iteration must not matter.
func TestDuplicateKeyBelongsToFirstAccount(t *testing.T) {
	c := qt.New(t)
	tree := configurer.NewTree()
	key := `"` + strings.Repeat("ab", 32) + `"`
	for _, id := range []identifier.TeamID{"zarqa", "amman", "dakar"} {
		ch := change("a", 0, map[string]string{"accounts/studio/key_sha256": key, "accounts/atelier/key_sha256": key})
		ch.Team = id
		c.Assert(tree.Decide(0, ch).Accepted, qt.IsTrue)
	}
	for range 20 {
		c.Assert(tree.Settings(nil).Accounts[strings.Repeat("ab", 32)].ID, qt.Equals, identifier.AccountID("amman/atelier"))
	}
}

// TestSettingsReuseMatchesFullBuild compares settings that reuse unchanged teams of an earlier view
// with settings built from scratch.
func TestSettingsReuseMatchesFullBuild(t *testing.T) {
	c := qt.New(t)
	tree := configurer.NewTree()
	var previous *configurer.Settings
	for n := range 12 {
		ch := change(fmt.Sprint(n), identifier.Revision(n/3), map[string]string{"accounts/studio/key_sha256": fmt.Sprintf(`"%064d"`, n), "accounts/studio/weight": fmt.Sprint(n + 1)})
		ch.Team = []identifier.TeamID{"amman", "dakar", "zarqa"}[n%3]
		c.Assert(tree.Decide(identifier.Offset(n), ch).Accepted, qt.IsTrue)
		after := tree.Settings(previous)
		c.Assert(after.Accounts, qt.DeepEquals, tree.Settings(nil).Accounts)
		c.Assert(after.Teams, qt.CmpEquals(cmpopts.IgnoreUnexported(configurer.Team{})), tree.Settings(nil).Teams)
		previous = after
	}
}

// TestFindingsAreReportedTogether checks that all four errors of a change are reported at once.
func TestFindingsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	findings := configurer.Check(change("", 0, map[string]string{"nowhere/a": "1", "classes/bulk/priority": "10", "models/atlas/layers": "0", "classes/bulk/deadline_ms": "5"}))
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	c.Assert(paths, qt.DeepEquals, []string{"classes/bulk/priority", "id", "models/atlas/layers", "nowhere/a"})
}

// TestFingerprintDependsOnContentOnly checks that a fingerprint depends on the change's content and
// not on its JSON formatting or its author.
func TestFingerprintDependsOnContentOnly(t *testing.T) {
	c := qt.New(t)
	a := change("a", 1, map[string]string{"policy/choice": `[1, 2]`})
	b := change("a", 1, map[string]string{"policy/choice": `[1,2]`})
	b.Author = "amina"
	c.Assert(a.Fingerprint(), qt.Equals, b.Fingerprint())
	b.Expected = 2
	c.Assert(a.Fingerprint(), qt.Not(qt.Equals), b.Fingerprint())
}

// largeTree returns a tree with 1,900 client accounts in 20 teams, each with a full history.
func largeTree() *configurer.Tree {
	tree := configurer.NewTree()
	const teams, accounts, changes = 20, 95, 1000
	for t := range teams {
		for n := range changes {
			c := configurer.Change{
				ID: identifier.ChangeID(randomHex(12, "change", t, n)), Team: identifier.TeamID(fmt.Sprintf("team-%d", t)),
				Expected: identifier.Revision(n), Set: map[string]json.RawMessage{}, Author: "operator@example",
			}
			account := fmt.Sprintf("accounts/account-%d/", n%accounts)
			c.Set[account+"key_sha256"] = json.RawMessage(`"` + randomHex(32, "key", t, n%accounts) + `"`)
			c.Set[account+"weight"] = json.RawMessage(fmt.Sprint(1 + n%7))
			c.Set[account+"requests_per_second"] = json.RawMessage("40")
			tree.Decide(identifier.Offset(t*changes+n), c)
		}
	}
	return tree
}

// randomHex returns n bytes, hex-encoded. They are a hash of the other arguments, so they are the same in
// every run and compress as poorly as random bytes.
func randomHex(n int, of ...any) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(of...)))
	return hex.EncodeToString(sum[:n])
}

func BenchmarkDecide(b *testing.B) {
	tree := largeTree()
	revision := tree.Get("team-3").Revision
	b.ReportAllocs()
	for b.Loop() {
		c := change(fmt.Sprintf("n-%d", revision), revision, map[string]string{"accounts/account-1/weight": "5"})
		c.Team = "team-3"
		if !tree.Decide(identifier.Offset(revision), c).Accepted {
			b.Fatal("rejected")
		}
		revision++
	}
}

func BenchmarkSettings(b *testing.B) {
	tree := largeTree()
	b.ReportAllocs()
	for b.Loop() {
		tree.Settings(nil)
	}
}

// BenchmarkSettingsAfterOneChange reuses the 19 teams that have not changed.
func BenchmarkSettingsAfterOneChange(b *testing.B) {
	tree := largeTree()
	previous := tree.Settings(nil)
	previous.Teams["team-3"].Revision--
	b.ReportAllocs()
	for b.Loop() {
		tree.Settings(previous)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	tree := largeTree()
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		raw, err := configurer.EncodeSnapshot(configurer.Snapshot{Tree: tree, At: time.Unix(0, 0)})
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
	}
	b.ReportMetric(float64(size), "bytes/snapshot")
}
