package differ_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/entry/internal/differ"
)

// drawParts draws a configuration whose parts may occur in others, and more than once.
func drawParts(t *rapid.T, label string) []describer.ConfigurationPart {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) describer.ConfigurationPart {
		return describer.ConfigurationPart(rapid.StringMatching("[a-e]").Draw(t, "part"))
	}), 0, 20).Draw(t, label)
}

// TestDifferenceMakesConfiguration guards against a node that puts other routes in force than the newest version has, because it made that
// from a difference.
func TestDifferenceMakesConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawParts(t, "base"), drawParts(t, "next")
		got, err := differ.Apply(base, differ.Compare(base, next))
		if err != nil {
			t.Fatal(err)
		}
		if differ.Fingerprint(got) != differ.Fingerprint(next) || len(got) != len(next) {
			t.Fatalf("%q from %q, expected %q", got, base, next)
		}
	})
}

// TestDifferenceIsSmall guards against a change of one route that is sent like a whole configuration.
func TestDifferenceIsSmall(t *testing.T) {
	c := qt.New(t)
	var base []describer.ConfigurationPart
	for i := range 1000 {
		base = append(base, describer.ConfigurationPart(rune('a'+i)))
	}
	next := append([]describer.ConfigurationPart{}, base...)
	next[500] = "changed"
	steps := differ.Compare(base, next)
	c.Check(steps, qt.DeepEquals, []differ.Step{{Count: 500, New: []describer.ConfigurationPart{"changed"}}, {From: 501, Count: 499}})
}

// TestForeignDifferenceIsRefused guards against a difference to another base that ends the process, or makes it hold any number of parts.
func TestForeignDifferenceIsRefused(t *testing.T) {
	c := qt.New(t)
	base := []describer.ConfigurationPart{"a", "b"}
	for _, s := range []differ.Step{{From: 1, Count: 2}, {From: -1, Count: 1}, {Count: -1}, {From: 3}, {From: 1, Count: int(^uint(0) >> 1)}} {
		_, err := differ.Apply(base, []differ.Step{s})
		c.Check(err, qt.ErrorIs, differ.ErrMismatch)
	}
}
