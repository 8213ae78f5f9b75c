package integration_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/storefaker"
)

// TestRelayLastKeyTakenAway guards against requests that run without a valid key once the last key of all client accounts has been
// taken away: at the node that reads that version, after its restart, and while it cannot reach the store.
func TestRelayLastKeyTakenAway(t *testing.T) {
	t.Parallel()
	for name, newest := range map[string]map[string]any{
		"account without keys": storefaker.Sample(2),
		"no account left":      storefaker.SampleWithoutAccounts(2),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newRelayFixture(t, "--revocation-limit", "2500ms")
			status, _ := b.send(http.MethodPost, "/post/1", "before", relayKey)
			b.Assert(status, qt.Equals, http.StatusOK)
			b.Assert(b.store.PutConfiguration(newest), qt.IsNil)
			time.Sleep(changeLimit)
			b.letsNobodyIn("running", http.StatusUnauthorized)

			b.node.Kill()
			b.node.Process = b.node.Fleet().Restart(b.node.Process)
			launcher.Await(t, relayStartTimeout, "the restarted node is ready", b.node.IsReady)
			b.letsNobodyIn("started", http.StatusUnauthorized)

			b.store.SetFault(storefaker.Unresponsive)
			launcher.Await(t, 5*time.Second, "the node is unready", func() bool { return !b.node.IsReady() })
			b.letsNobodyIn("cut-off", http.StatusServiceUnavailable)
		})
	}
}

// letsNobodyIn checks that requests with a revoked key, an unknown one and none get the given status, and that none of them runs.
func (b *relayFixture) letsNobodyIn(name string, want int) {
	for i, key := range []string{relayKey, "unknown", ""} {
		for _, path := range []string{"/post/1", "/view/1", "/draft/1"} {
			id := fmt.Sprintf("%s-%d%s", name, i, path)
			status, _ := b.send(http.MethodPost, path, id, key)
			b.Check(status, qt.Equals, want, qt.Commentf("%s with the key %q", id, key))
			b.Check(b.fleet.Attempts(id), qt.HasLen, 0)
		}
	}
}
