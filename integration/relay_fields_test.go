package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/targetfaker"
)

// spellings are ways to write the name of a field, all of which mean the same.
var spellings = map[string]func(string) string{
	"as on the pages": nil,
	"lower case":      strings.ToLower,
	"upper case":      strings.ToUpper,
	"mixed case": func(name string) string {
		var b strings.Builder
		for i, r := range strings.ToLower(name) {
			if i%2 == 1 {
				r = []rune(strings.ToUpper(string(r)))[0]
			}
			b.WriteRune(r)
		}
		return b.String()
	},
}

// TestRelayReadsFieldsInAnySpelling guards against a caller that forges its account, or hands its key to a target, by writing the names
// of fields in lower case, and against requests whose own fields are then not found.
func TestRelayReadsFieldsInAnySpelling(t *testing.T) {
	t.Parallel()
	b := newRelayFixture(t)
	n := 0
	for name, spelling := range spellings {
		for _, hasTrailer := range []bool{false, true} {
			for _, path := range []string{"/post/1", "/view/1", "/draft/1"} {
				n++
				id := fmt.Sprintf("spelled-%d", n)
				comment := qt.Commentf("%s, trailer %v, %s", name, hasTrailer, path)
				caller := callerfaker.Caller{Address: b.node.Address, Key: relayKey, Forged: "forged", Spelling: spelling, HasTrailer: hasTrailer}
				status, _, err := caller.Send(context.Background(), http.MethodPost, path, id)
				b.Assert(err, qt.IsNil, comment)
				b.Check(status, qt.Equals, http.StatusOK, comment)
				attempts := b.fleet.Attempts(id)
				b.Assert(attempts, qt.HasLen, 1, comment)
				b.Check(attempts[0].Account, qt.Equals, "studio", comment)
				b.Check(attempts[0].Key, qt.Equals, "", comment)
				b.Check(attempts[0].Repeated, qt.HasLen, 0, comment)
				b.Check(attempts[0].Trailer, qt.HasLen, 0, comment)
			}
		}
	}
}

// TestRelayPassesOnNoBrokenHead guards against a caller that gets 200 and 3 bytes of a longer body, since its target has written a length
// with a blank before the colon.
func TestRelayPassesOnNoBrokenHead(t *testing.T) {
	t.Parallel()
	b := newRelayFixture(t)
	for fault, want := range map[targetfaker.Fault]int{targetfaker.BrokenHeads: http.StatusBadGateway, targetfaker.None: http.StatusOK} {
		for _, target := range []string{"ledger-a", "ledger-b"} {
			b.fleet.SetFault(target, fault)
		}
		for _, path := range []string{"/post/1", "/view/1"} {
			status, body := b.send(http.MethodPost, path, fmt.Sprintf("broken-%d%s", fault, path[:5]), relayKey)
			b.Check(status, qt.Equals, want, qt.Commentf("%s: %q", path, body))
			b.Check(strings.HasPrefix(body, "answer"), qt.Equals, want == http.StatusOK, qt.Commentf("%q", body))
		}
	}
}
