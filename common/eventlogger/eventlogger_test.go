package eventlogger_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/eventlogger"
)

// TestCatalogueMatchesPage checks that docs/EVENTS.md lists exactly the events in the code, and that
// event numbers are unique.
func TestCatalogueMatchesPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	seen := map[int]bool{}
	for _, e := range eventlogger.Catalogue() {
		c.Check(seen[e.Number], qt.IsFalse, qt.Commentf("event number %d is used twice", e.Number))
		seen[e.Number] = true
		c.Check(string(page), qt.Contains, fmt.Sprintf("| %d | %s |", e.Number, e.Message))
	}
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && line[2] >= '1' && line[2] <= '9' {
			rows++
		}
	}
	c.Assert(rows, qt.Equals, len(seen))
}
