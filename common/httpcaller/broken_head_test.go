package httpcaller_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
)

// TestBrokenHeadIsAnError guards against reports, orders and calls of the store that count as answered while a line of the head is no
// field, also in an informational answer that comes before, or while the end of the body is unclear.
func TestBrokenHeadIsAnError(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\n{}",
	}
	for _, line := range []string{
		"X Field: v", "X-Field : v", "X-Field\t: v", ": v", "X-Field v", "X-Field: v\r\n more", " X-Field: v", "X\"Field: v", "X-Fi\xe9ld: v", "Content-Length : 1", " Content-Length: 1",
		"X-Field: a\rb", "X-Field: a\nX-Other: b", "X-F\x00ield: v", "X-F\x1field: v", "X-Field: a\x00b", "X-Field: a\x01b", "X-Field: a\x7fb",
	} {
		answers = append(answers,
			"HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line+"\r\n\r\n{}",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+line+"\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			"HTTP/1.1 103 X\r\n"+line+"\r\n\r\n"+sound,
		)
	}
	for _, answer := range answers {
		for _, newConn := range []bool{false, true} {
			c := qt.New(t)
			request := httpcaller.Request{Method: http.MethodGet, URL: "http://" + serveOnce(c, answer) + "/x", NewConn: newConn}
			r, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(t.Context(), request)
			c.Check(err, qt.IsNotNil, qt.Commentf("%q: %+v", answer, r))
			c.Check(err, qt.Not(qt.ErrorIs), httpcaller.ErrNotSent)
		}
	}
}

// TestSoundHeadIsRead guards against a check that refuses what a sound server may send.
func TestSoundHeadIsRead(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRetry-After:\t1.5 \r\nX_!#$%&'*+.^`|~-9:\r\nx: caf\xe9\t\x80\r\nContent-Length:2\r\n\r\n{}",
		"HTTP/1.1 200\r\nTRANSFER-ENCODING: Chunked\r\nRetry-After: 1.5\r\n\r\n2;x=y\r\n{}\r\n0\r\nX-Field: v\r\n\r\n",
		"HTTP/1.0 200 \r\nretry-after: 1.5\r\n\r\n{}",
	} {
		for _, newConn := range []bool{false, true} {
			c := qt.New(t)
			request := httpcaller.Request{Method: http.MethodGet, URL: "http://" + serveOnce(c, answer) + "/x", NewConn: newConn}
			r, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(t.Context(), request)
			c.Assert(err, qt.IsNil, qt.Commentf("%q", answer))
			c.Check(string(r.Body), qt.Equals, "{}")
			c.Check(r.Header["Retry-After"], qt.Equals, "1.5")
		}
	}
}

// TestFieldAfterBodyIsNoFieldOfHead guards against a field after a body in chunks that stands in for one of the head, such as the era of
// the store or a Retry-After, and against lines there that are no fields.
func TestFieldAfterBodyIsNoFieldOfHead(t *testing.T) {
	for _, head := range []string{"", "Trailer: Retry-After, X-Era\r\n"} {
		for trailer, isSound := range map[string]bool{"Retry-After: 60\r\nX-Era: 9\r\n": true, "X Era: 9\r\n": false, " X-Era: 9\r\n": false} {
			c := qt.New(t)
			answer := "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + trailer + "\r\n"
			request := httpcaller.Request{Method: http.MethodGet, URL: "http://" + serveOnce(c, answer) + "/x", AnswerFields: []string{"X-Era"}}
			r, err := httpcaller.NewCaller(answerlimiter.NewDefault()).Do(t.Context(), request)
			c.Check(err == nil, qt.Equals, isSound, qt.Commentf("%q: %v", trailer, err))
			c.Check(r.Header["Retry-After"]+r.Header["X-Era"], qt.Equals, "")
		}
	}
}
