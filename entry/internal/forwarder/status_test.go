package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/platform/answerfaker"
)

// TestAnswerWithoutValidStatusIsNoAnswer guards against a target in trouble whose answer has a status that is none, such as 000, which
// reached the caller as 200 with the target's seal. Nothing that such an answer says holds, also not that the request was not run.
func TestAnswerWithoutValidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "001 X", "042 X", "099 X", "101 X", "600 X", "666 X", "999 X", "+20 X", " 200 OK"} {
		for framing, raw := range map[string]string{
			"with a length": answerfaker.Plain(id, 200, "body"),
			"in chunks":     answerfaker.Stream(id, event(1)) + "0\r\n\r\n",
			"neither":       answerfaker.Unframed(id, "body") + "|",
			"not run":       answerfaker.NotRunFor(id),
		} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for _, isStream := range []bool{false, true} {
					name := fmt.Sprintf("%q, %s, %s, stream %t", status, framing, method, isStream)
					line, rest, _ := strings.Cut(raw, "\r\n")
					f := newFixture(t)
					f.caller.header.SetMethod(method)
					r := f.attempt(t.Context(), serve(t, line[:len("HTTP/1.1 ")]+status+"\r\n"+rest), isStream)
					f.Check(r.Outcome, qt.Equals, dispatcher.Broken, qt.Commentf(name))
					f.Check(r.Status, qt.Equals, 0, qt.Commentf(name))
					f.Check(f.caller.isComplete || f.caller.isBegun || f.caller.isEnded, qt.IsFalse, qt.Commentf(name))
					f.Check(f.answers, qt.HasLen, 0, qt.Commentf(name))
				}
			}
		}
	}
}

// TestAnswerWithUnclearLengthIsNoAnswer guards against a body that ends elsewhere than its target means, since the library uses one of
// several lengths, or a number that is none.
func TestAnswerWithUnclearLengthIsNoAnswer(t *testing.T) {
	head := answerfaker.SealedHead(id, 200)
	for name, row := range map[string]struct {
		fields string
		want   dispatcher.Outcome
	}{
		"one length":               {"Content-Length: 4\r\n", dispatcher.Delivered},
		"the same length twice":    {"Content-Length: 4\r\nContent-Length: 4\r\n", dispatcher.Broken},
		"two lengths":              {"Content-Length: 2\r\nContent-Length: 4\r\n", dispatcher.Broken},
		"two lengths in one field": {"Content-Length: 4, 4\r\n", dispatcher.Broken},
		"length and chunks":        {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", dispatcher.Broken},
		"a sign":                   {"Content-Length: +4\r\n", dispatcher.Broken},
		"negative":                 {"Content-Length: -4\r\n", dispatcher.Broken},
		"hexadecimal":              {"Content-Length: 0x4\r\n", dispatcher.Broken},
		"a space inside":           {"Content-Length: 0 4\r\n", dispatcher.Broken},
		"empty":                    {"Content-Length: \r\n", dispatcher.Broken},
		"larger than any number":   {"Content-Length: 99999999999999999999\r\n", dispatcher.Broken},
		// A proxy may remove this space (RFC 9112, 5.1). Here such a head is no answer.
		"a space before the colon":    {"Content-Length : 4\r\n", dispatcher.Broken},
		"another encoding than chunk": {"Transfer-Encoding: gzip\r\n", dispatcher.Broken},
	} {
		f := newFixture(t)
		r := f.attempt(t.Context(), serve(t, head+row.fields+"\r\nbody|"), false)
		f.Check(r.Outcome, qt.Equals, row.want, qt.Commentf(name))
		f.Check(f.caller.isComplete, qt.Equals, row.want == dispatcher.Delivered, qt.Commentf(name))
	}
}
