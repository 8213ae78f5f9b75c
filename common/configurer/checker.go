package configurer

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of one change.
const (
	maxPathsPerChange = 10_000
	maxNameLength     = 64
	maxChangeID       = 128
	maxLayers         = 1_000
	maxWeight         = 1_000
	maxDeadlineMillis = 600_000
	maxRate           = 1_000_000
	sha256Length      = 32
)

// MostPriority is the highest priority of a class.
const MostPriority = 9

// Finding is one thing wrong with a change, with its place.
type Finding struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Findings lists all that is wrong with a change, in the order of the paths.
type Findings []Finding

// Error joins the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.Path+": "+finding.Message)
	}
	return strings.Join(lines, "\n")
}

// Rule is one row of the table of paths that a team's subtree may hold.
type Rule struct {
	// Pattern has "*" for a name that the operator chooses.
	Pattern string
	// Meaning says what the value is, with its unit.
	Meaning string
	check   func(json.RawMessage) error
}

// Rules returns the table of paths.
func Rules() []Rule {
	return []Rule{
		{"accounts/*/key_sha256", "hex SHA-256 of the client account's bearer key", isSHA256},
		{"accounts/*/weight", "share of the client account, 1 to 1000", isWhole(1, maxWeight)},
		{"accounts/*/requests_per_second", "most requests a second at one node", isWhole(1, maxRate)},
		{"operators/*/key_sha256", "hex SHA-256 of an operator's bearer key", isSHA256},
		{"models/*/layers", "number of the model's layers", isWhole(1, maxLayers)},
		{"services/*/idempotent", "whether calls may be repeated", isBool},
		{"services/*/ask_path", "path that tells whether a key ran", isPath},
		{"classes/*/priority", "0 to 9, higher first", isWhole(0, MostPriority)},
		{"classes/*/deadline_ms", "time to the deadline in milliseconds", isWhole(1, maxDeadlineMillis)},
		{"policy/choice", "how pipelines are chosen", isOneOf("expected", "random", "round_robin", "least_reported")},
	}
}

// Check returns every finding on a change, whatever its expected revision.
func Check(c Change) Findings {
	findings := checkShape(c)
	rules := Rules()
	for path, value := range c.Set {
		if err := checkPath(rules, path, value); err != nil {
			findings = append(findings, Finding{path, err.Error()})
		}
	}
	sort.Slice(findings, func(i, j int) bool { return findings[i].Path < findings[j].Path })
	return findings
}

// checkShape finds what no version of the rules allows.
func checkShape(c Change) Findings {
	var findings Findings
	if c.ID == "" || len(c.ID) > maxChangeID {
		findings = append(findings, Finding{"id", fmt.Sprintf("must be 1 to %d bytes", maxChangeID)})
	}
	if !isName(string(c.Team)) {
		findings = append(findings, Finding{"team", "must be 1 to 64 of a-z, 0-9, - and _"})
	}
	if len(c.Set) == 0 || len(c.Set) > maxPathsPerChange {
		findings = append(findings, Finding{"set", fmt.Sprintf("must hold 1 to %d paths", maxPathsPerChange)})
	}
	return findings
}

func checkPath(rules []Rule, path string, value json.RawMessage) error {
	for _, rule := range rules {
		if !matches(rule.Pattern, path) {
			continue
		}
		if isNull(value) {
			return nil
		}
		return rule.check(value)
	}
	return errors.New("no such path")
}

func matches(pattern, path string) bool {
	want, have := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(have) {
		return false
	}
	for i := range want {
		if want[i] == "*" && isName(have[i]) {
			continue
		}
		if want[i] != have[i] {
			return false
		}
	}
	return true
}

func isName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

func isWhole(least, most int) func(json.RawMessage) error {
	return func(value json.RawMessage) error {
		var n int
		if json.Unmarshal(value, &n) != nil || n < least || n > most {
			return errors.Newf("must be a whole number from %d to %d", least, most)
		}
		return nil
	}
}

func isBool(value json.RawMessage) error {
	var b bool
	if json.Unmarshal(value, &b) != nil {
		return errors.New("must be true or false")
	}
	return nil
}

func isSHA256(value json.RawMessage) error {
	var s string
	raw, err := []byte(nil), json.Unmarshal(value, &s)
	if err == nil {
		raw, err = hex.DecodeString(s)
	}
	if err != nil || len(raw) != sha256Length {
		return errors.New("must be a SHA-256 in hex")
	}
	return nil
}

func isPath(value json.RawMessage) error {
	var s string
	if json.Unmarshal(value, &s) != nil || !strings.HasPrefix(s, "/") {
		return errors.New("must be a path that begins with /")
	}
	return nil
}

func isOneOf(words ...string) func(json.RawMessage) error {
	return func(value json.RawMessage) error {
		var s string
		if json.Unmarshal(value, &s) == nil {
			for _, w := range words {
				if s == w {
					return nil
				}
			}
		}
		return errors.Newf("must be one of %s", strings.Join(words, ", "))
	}
}
