package configurer_test

import (
	"encoding/json"
	"testing"

	"fuchsiabridge.example/common/configurer"
)

// FuzzChange decides arbitrary decodable changes: a change without findings at the expected
// revision is accepted, deciding it a second time returns the same result and applies nothing, and
// the settings can be built afterwards.
func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"id":"c","team":"dakar","expected":0,"set":{"models/atlas/layers":24}}`))
	f.Add([]byte(`{"id":"c","team":"dakar","expected":0,"set":{"accounts/a/key_sha256":"zz","accounts/a/weight":0}}`))
	f.Add([]byte(`{"id":"","team":"../x","expected":-1,"set":{"":null,"services//idempotent":1}}`))
	f.Add([]byte(`{"id":"c","team":"a","set":{"classes/bulk/deadline_ms":1e99,"policy/choice":["random"]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var change configurer.Change
		if json.Unmarshal(raw, &change) != nil {
			return
		}
		findings := configurer.Check(change)
		tree := configurer.NewTree()
		decision := tree.Decide(0, change)
		if len(findings) == 0 && change.Expected == 0 && !decision.Accepted {
			t.Fatalf("change without findings was rejected: %s", decision.Reason)
		}
		revision := tree.Get(change.Team).Revision
		if again := tree.Decide(1, change); again.Accepted != decision.Accepted || tree.Get(change.Team).Revision != revision {
			t.Fatalf("same change decided twice: %+v, then %+v", decision, again)
		}
		_ = tree.Settings(nil)
	})
}
