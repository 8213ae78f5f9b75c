package filereader_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/fbctl/internal/filereader"
)

// TestFormatsAgree checks that lines, flat JSON and nested JSON with the same settings give the same
// result.
func TestFormatsAgree(t *testing.T) {
	c := qt.New(t)
	lines, findings := filereader.Read("f", []byte("# classes\nclasses/bulk/priority = 3\n\npolicy/choice=random\nclasses/old/priority=null\n"))
	c.Assert(findings, qt.HasLen, 0)
	for _, text := range []string{
		`{"classes/bulk/priority": 3, "policy/choice": "random", "classes/old/priority": null}`,
		`{"classes": {"bulk": {"priority": 3}, "old": {"priority": null}}, "policy": {"choice": "random"}}`,
	} {
		f, findings := filereader.Read("f", []byte(text))
		c.Assert(findings, qt.HasLen, 0)
		c.Assert(f.Set, qt.DeepEquals, lines.Set)
	}
}

// TestFindingsHavePlaces checks that every invalid line and value is reported with its line number.
func TestFindingsHavePlaces(t *testing.T) {
	c := qt.New(t)
	f, findings := filereader.Read("team.conf", []byte("classes/bulk/priority=3\nnothing\nclasses/bulk/priority=4\nnowhere=1\n"))
	c.Assert(findings.Error(), qt.Equals, "team.conf:2: must be PATH=VALUE\n"+
		"team.conf:3: classes/bulk/priority: duplicate path, first set at team.conf:1")
	checked := f.Check(configurer.Change{ID: "c", Team: "dakar", Set: f.Set})
	c.Assert(checked.Error(), qt.Equals, "team.conf:4: nowhere: no such path")
	_, findings = filereader.Read("team.json", []byte(`{"a": `))
	c.Assert(findings, qt.HasLen, 1)
}
