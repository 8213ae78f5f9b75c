package configurer

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits on one change.
const (
	maxPathsPerChange    = 10_000
	maxNameLength        = 64
	maxChangeIDBytes     = 128
	maxLayers            = 1_000
	maxWeight            = 1_000
	maxDeadlineMillis    = 600_000
	maxRequestsPerSecond = 1_000_000
	sha256Length         = 32
)

// MaxPriority is the highest priority of a class.
const MaxPriority = 9

// Finding is one validation error of a change; Path names the offending field or path.
type Finding struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Findings lists all validation errors of a change, sorted by path.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.Path+": "+finding.Message)
	}
	return strings.Join(lines, "\n")
}

// Rule describes one kind of path that a team's subtree may contain.
type Rule struct {
	// Pattern is a path in which "*" stands for a name chosen by the operator.
	Pattern string
	// Meaning describes the value and its unit.
	Meaning string
	check   func(json.RawMessage) error
}

// Rules returns the rules for all known paths.
func Rules() []Rule {
	return []Rule{
		{"accounts/*/key_sha256", "hex SHA-256 of the client account's bearer key", isSHA256},
		{"accounts/*/weight", "relative share of the client account, 1 to 1000", isIntBetween(1, maxWeight)},
		{"accounts/*/requests_per_second", "maximum requests per second at one node", isIntBetween(1, maxRequestsPerSecond)},
		{"operators/*/key_sha256", "hex SHA-256 of an operator's bearer key", isSHA256},
		{"models/*/layers", "number of layers of the model", isIntBetween(1, maxLayers)},
		{"services/*/idempotent", "whether calls may be retried", isBool},
		{"services/*/ask_path", "path that reports whether the call with a given key ran", isPath},
		{"classes/*/priority", "priority from 0 to 9; higher values are served first", isIntBetween(0, MaxPriority)},
		{"classes/*/deadline_ms", "time from arrival to the deadline, in milliseconds", isIntBetween(1, maxDeadlineMillis)},
		{"policy/choice", "how a pipeline is selected for a request", isOneOf("expected", "random", "round_robin", "least_reported")},
	}
}

// Check validates a change and returns all findings. It does not check the expected revision.
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

// checkShape checks the limits that are the same in every version of the rules.
func checkShape(c Change) Findings {
	var findings Findings
	if c.ID == "" || len(c.ID) > maxChangeIDBytes {
		findings = append(findings, Finding{"id", fmt.Sprintf("must be 1 to %d bytes", maxChangeIDBytes)})
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
	want, got := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		if want[i] == "*" && isName(got[i]) {
			continue
		}
		if want[i] != got[i] {
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

func isIntBetween(lowest, highest int) func(json.RawMessage) error {
	return func(value json.RawMessage) error {
		var n int
		if json.Unmarshal(value, &n) != nil || n < lowest || n > highest {
			return errors.Newf("must be an integer from %d to %d", lowest, highest)
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
		return errors.New("must be a hex-encoded SHA-256")
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
