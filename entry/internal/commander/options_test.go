package commander_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/entry/internal/commander"
)

// TestSettingsPageMatchesTable compares docs/SETTINGS.md with the tables of options and of configuration paths.
func TestSettingsPageMatchesTable(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	var rows []string
	for _, o := range append(commander.Options(), commander.RelayOptions()...) {
		rows = append(rows, fmt.Sprintf("| `--%s` | `%s` | %s | %s |", o.Name, o.EnvName(), o.Default, o.Usage))
	}
	for _, r := range configurer.Rules() {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", r.Pattern, r.Meaning))
	}
	for _, row := range rows {
		c.Check(strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("the page lacks: %s", row))
	}
	c.Assert(strings.Count(string(page), "\n| `"), qt.Equals, len(rows))
}

// TestWrongRelaySettingsAreReportedTogether checks that one error names all invalid and all missing settings.
func TestWrongRelaySettingsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	_, _, err := optionparser.Parse("entry relay", commander.RelayOptions(), []string{
		"--node", "n", "--listen", "nowhere", "--retry-ratio", "2", "--heartbeat", "soon",
	})
	c.Assert(err, qt.ErrorMatches, "(?s).*data-centre: .*listen: .*store: .*retry-ratio: .*heartbeat: .*")
}

// TestWrongSettingsAreReportedTogether checks that one error names all three invalid settings.
func TestWrongSettingsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	_, _, err := optionparser.Parse("entry", commander.Options(), []string{
		"--node", "n", "--data-centre", "d", "--platform", "nowhere", "--shards", "0", "--operator-keys", "dakar=12",
	})
	c.Assert(err, qt.ErrorMatches, "(?s).*platform: .*operator-keys: .*shards: .*")
}
