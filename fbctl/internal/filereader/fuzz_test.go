package filereader_test

import (
	"testing"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/fbctl/internal/filereader"
)

// FuzzRead parses arbitrary files: every path that a file sets has a place, and validating the result
// does not panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte("models/atlas/layers=24\n# a comment\naccounts/a/weight = 3\n"))
	f.Add([]byte(`{"models":{"atlas":{"layers":24}},"policy/choice":"random"}`))
	f.Add([]byte(`{"a":{"a":{"a":{}}},"":null}`))
	f.Add([]byte("=\n==\n\x00=1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		file, _ := filereader.Read("team.conf", content)
		for path := range file.Set {
			if file.Places[path] == "" {
				t.Fatalf("%q has no place", path)
			}
		}
		_ = file.Check(configurer.Change{ID: "c", Team: "dakar", Set: file.Set})
	})
}
