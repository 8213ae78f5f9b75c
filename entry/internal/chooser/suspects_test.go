package chooser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chooser"
	"fuchsiabridge.example/entry/internal/registrar"
)

// TestFewTargetsAreSuspectedAtOnce guards against nodes that leave ever more targets since those that are left are overloaded
// and seem to fail too, in small and in large fleets of targets.
func TestFewTargetsAreSuspectedAtOnce(t *testing.T) {
	for _, row := range []struct{ targets, most int }{{6, 1}, {41, 2}, {221, 11}} {
		t.Run(fmt.Sprint(row.targets), func(t *testing.T) {
			c := chooser.NewChooser("a")
			var targets []registrar.Target
			for i := range row.targets {
				targets = append(targets, registrar.Target{Target: describer.Target{ID: identifier.TargetID(fmt.Sprint(i)), Address: fmt.Sprint("a:", i)}})
			}
			c.SetTargets(targets)
			suspected := 0
			for _, target := range targets {
				if c.Suspect(target.ID, 0, time.Unix(10, 0)) {
					suspected++
				}
			}
			qt.Assert(t, suspected, qt.Equals, row.most)
		})
	}
}
