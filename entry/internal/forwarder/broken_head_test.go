package forwarder_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/platform/answerfaker"
)

// brokenLines are lines that no head of an answer may hold.
func brokenLines() map[string]string {
	lines := map[string]string{
		"blank in a name": "X Field: v", "blank before the colon": "X-Field : v", "tab before the colon": "X-Field\t: v", "no name": ": v", "no colon": "X-Field v",
		"folded line": "X-Field: v\r\n more", "folded by a tab": "X-Field: v\r\n\tmore", "folded first line": " X-Field: v", "quotes in a name": "X\"Field: v", "letter outside ASCII in a name": "X-Fi\xe9ld: v",
		"length behind a blank": "Content-Length : 3", "length in a folded line": " Content-Length: 3", "chunks behind a blank": "Transfer-Encoding : chunked",
		"bare CR in a value": "X-Field: a\rb", "line that ends with LF": "X-Field: a\nX-Other: b",
	}
	for _, char := range []byte{0, 1, 8, 0x0b, 0x0c, 0x1b, 0x1f, 0x7f} {
		lines[fmt.Sprintf("%#x in a name", char)] = "X-F" + string(rune(char)) + "ield: v"
		lines[fmt.Sprintf("%#x in a value", char)] = "X-Field: a" + string(rune(char)) + "b"
	}
	return lines
}

// TestAnswerWithBrokenHeadIsNoAnswer guards against a target in trouble whose answer reaches the caller with a line that is no field, or
// with a part of the body since the library takes such a line for a length.
func TestAnswerWithBrokenHeadIsNoAnswer(t *testing.T) {
	for name, line := range brokenLines() {
		for framing, raw := range map[string]string{
			"with a length": answerfaker.Plain(id, http.StatusOK, "body of the answer"),
			"in chunks":     answerfaker.Stream(id, event(1)) + "0\r\n\r\n",
			"neither":       answerfaker.Unframed(id, "body") + "|",
			"not run":       answerfaker.NotRunFor(id),
			"informational": "HTTP/1.1 103 X\r\n" + line + "\r\n\r\n" + answerfaker.Plain(id, http.StatusOK, "body"),
		} {
			if framing != "informational" {
				status, rest, _ := strings.Cut(raw, "\r\n")
				raw = status + "\r\n" + line + "\r\n" + rest
			}
			for _, isStream := range []bool{false, true} {
				comment := qt.Commentf("%s, %s, stream %t", name, framing, isStream)
				f := newFixture(t)
				address, later := serveLater(t, raw[:len(raw)/3])
				later <- raw[len(raw)/3:]
				r := f.attempt(t.Context(), address, isStream)
				f.Check(r.Outcome, qt.Equals, dispatcher.Broken, comment)
				f.Check(r.IsLeft, qt.IsTrue, comment)
				f.Check(f.caller.isComplete || f.caller.isBegun || f.caller.isEnded, qt.IsFalse, comment)
				f.Check(f.answers, qt.HasLen, 0, comment)
			}
		}
	}
}

// fieldCaller records the fields of the answer that it gets, as they are written.
type fieldCaller struct {
	caller
	lines []string
}

func (c *fieldCaller) Answer(h *fasthttp.ResponseHeader, body []byte) error {
	h.SetNoDefaultContentType(true)
	c.lines = strings.Split(h.String(), "\r\n")
	return c.caller.Answer(h, body)
}

// values returns the values of a field, as they are written.
func (c *fieldCaller) values(name string) []string {
	var values []string
	for _, line := range c.lines {
		if n, v, _ := strings.Cut(line, ":"); strings.EqualFold(n, name) {
			values = append(values, strings.TrimPrefix(v, " "))
		}
	}
	return values
}

// drawHead draws the head of an answer with the given fields, without the empty line that ends it.
func drawHead(t *rapid.T, fields map[string][]string) string {
	head := answerfaker.SealedHead(id, http.StatusOK)
	for name, values := range fields {
		for i, value := range values {
			if value == "" && !strings.HasPrefix(name, "x") {
				// The grammar of these fields asks for a value.
				value, values[i] = "v", "v"
			}
			head += name + rapid.SampledFrom([]string{":", ": ", ":\t "}).Draw(t, "colon") + value + rapid.SampledFrom([]string{"", " ", " \t"}).Draw(t, "blanks") + "\r\n"
		}
	}
	return head
}

// TestFieldsOfSoundAnswerArePassedOn guards against a check of heads that refuses what a sound target may send, and against fields that
// reach the caller changed in a byte of their value, or without a part of them that came in a field of its own.
func TestFieldsOfSoundAnswerArePassedOn(t *testing.T) {
	values := rapid.OneOf(
		rapid.SampledFrom([]string{"", "v", "a, b;c=\"d\"", "a\tb  c", "caf\xc3\xa9", "\xe9\xff\x80", "name=value; Path=/; HttpOnly", ":", "a:b"}),
		rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]byte("aZ0 \t!~,;:=\"\\\x80\xff")), 0, 20), func(b []byte) string { return strings.Trim(string(b), " \t") }),
	)
	names := rapid.OneOf(
		rapid.SampledFrom([]string{"Content-Type", "Server", "ETag", "Set-Cookie", "Location", "Content-Encoding", "Content-Language", "Cache-Control", "Retry-After", "Via", "X-Weight-Versions"}),
		rapid.StringMatching("X[-!#$%&'*+.^_`|~0-9A-Za-z]{0,10}"),
	)
	rapid.Check(t, func(rt *rapid.T) {
		fields := rapid.MapOfN(rapid.Map(names, strings.ToLower), rapid.SliceOfN(values, 1, 2), 0, 6).Draw(rt, "fields")
		fields["x-long"] = []string{strings.Repeat("long ", 200) + "end"}
		head := drawHead(rt, fields)
		c := &fieldCaller{}
		f := newFixtureFor(t, c, &c.caller, forwarder.NewLimiter(answerlimiter.NewDefault()))
		got := f.attempt(t.Context(), serve(t, head+"Content-Length: 4\r\n\r\nbody|"), false)
		if got.Outcome != dispatcher.Delivered || f.caller.body != "body" {
			rt.Fatalf("%q: %v, %s", head, got.Outcome, got.Reason)
		}
		for name, want := range fields {
			if name != "set-cookie" {
				want = []string{strings.Join(want, ",")}
			}
			if got := c.values(name); !slices.Equal(got, want) {
				rt.Fatalf("%s: %q instead of %q", name, got, want)
			}
		}
	})
}

// TestBrokenHeadAmidStreamIsNoAnswer guards against a stream that goes on with an answer whose head is broken.
func TestBrokenHeadAmidStreamIsNoAnswer(t *testing.T) {
	f := newFixture(t)
	f.attempt(t.Context(), serve(t, answerfaker.Stream(id, event(1))+"|"), true)
	status, rest, _ := strings.Cut(answerfaker.Stream(id, event(2))+"0\r\n\r\n", "\r\n")
	f.Check(f.attempt(t.Context(), serve(t, status+"\r\nX Field: v\r\n"+rest), true).Outcome, qt.Equals, dispatcher.Broken)
	f.Check(f.caller.received, qt.Equals, event(1))
	f.Check(f.attempt(t.Context(), serve(t, status+"\r\n"+rest), true).Outcome, qt.Equals, dispatcher.Delivered)
	f.Check(f.caller.received, qt.Equals, event(1)+event(2))
}

// TestBrokenHeadOfDelegateIsNoAnswer guards against the same in the answer of a node that has taken a request over.
func TestBrokenHeadOfDelegateIsNoAnswer(t *testing.T) {
	status, rest, _ := strings.Cut(answerfaker.Plain(id, http.StatusOK, "body"), "\r\n")
	result := "\r\n" + delegator.Field + ": {}\r\n"
	for fields, want := range map[string]dispatcher.Outcome{"": dispatcher.Delivered, "X-Field : v\r\n": dispatcher.Broken} {
		f := newFixture(t)
		end := bootclock.Now().Add(deadline)
		send := dispatcher.Send{Target: "i-1", Delegate: "n-2", Address: serve(t, status+result+fields+rest), Deadline: end, IdleDeadline: end}
		got := f.exchange.Attempt(t.Context(), send)
		f.Check(got.Outcome, qt.Equals, want, qt.Commentf("%q: %s", fields, got.Reason))
	}
}
