package headchecker_test

import (
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/headchecker"
)

// The grammar of heads, read plainly from RFC 9112 (2.1, 4, 5) and RFC 9110 (5.5, 5.6.2), and the fields that frame a body. Characters are
// bytes, written as the code points of the same number.
var (
	text  = "[\\t -~\u0080-\u00ff]*"
	token = "[-!#$%&'*+.^_`|~0-9A-Za-z]+"
	field = token + ":" + text + "\r\n"
	head  = func(status string) string {
		return `HTTP/1\.[01] ` + status + "( " + text + ")?\r\n(" + field + ")*\r\n"
	}
	soundAnswers = regexp.MustCompile("^(" + head("1(0[02-9]|[1-9][0-9])") + "){0,8}" + head("[2-5][0-9][0-9]"))
	framings     = regexp.MustCompile("(?i)\r\n(content-length|transfer-encoding):[ \t]*(.*?)[ \t]*\r")
	lengths      = regexp.MustCompile("^[0-9]+$")
)

// isSound reports whether an answer begins with a head by the grammar, after informational ones, each of which says in one way at most
// where its body ends.
func isSound(answer string) bool {
	points := make([]rune, len(answer))
	for i := range len(answer) {
		points[i] = rune(answer[i])
	}
	heads := soundAnswers.FindString(string(points))
	if heads == "" {
		return false
	}
	for h := range strings.SplitSeq(strings.TrimSuffix(heads, "\r\n\r\n"), "\r\n\r\n") {
		found := framings.FindAllStringSubmatch(overlapping(h), -1)
		if len(found) > 1 {
			return false
		}
		for _, f := range found {
			isLength := strings.EqualFold(f[1], "content-length") && lengths.MatchString(f[2])
			isChunked := strings.EqualFold(f[1], "transfer-encoding") && strings.EqualFold(f[2], "chunked") && strings.HasPrefix(h, "HTTP/1.1")
			if !isLength && !isChunked {
				return false
			}
		}
	}
	return true
}

// overlapping doubles the line breaks, so that each line has one of its own before it and after it.
func overlapping(head string) string {
	return "\r\n" + strings.ReplaceAll(head, "\r\n", "\r\n\r\n") + "\r\n"
}

// drawAnswer draws a sound answer with at most two informational answers before it.
func drawAnswer(t *rapid.T) string {
	bytesOf := func(chars, label string) string {
		return string(rapid.SliceOfN(rapid.SampledFrom([]byte(chars)), 0, 8).Draw(t, label))
	}
	var b strings.Builder
	for i := rapid.IntRange(0, 2).Draw(t, "informational"); i >= 0; i-- {
		status := rapid.SampledFrom([]string{"200", "204", "404", "503", "599"}).Draw(t, "status")
		if i > 0 {
			status = rapid.SampledFrom([]string{"100", "103", "199"}).Draw(t, "informational status")
		}
		version := rapid.SampledFrom([]string{"HTTP/1.0 ", "HTTP/1.1 "}).Draw(t, "version")
		b.WriteString(version + status + rapid.SampledFrom([]string{"", " ", " OK", " Not \xe9 found\t"}).Draw(t, "reason") + "\r\n")
		for range rapid.IntRange(0, 4).Draw(t, "fields") {
			b.WriteString("X" + bytesOf("aZ09!#$%&'*+-.^_`|~", "name") + ":" + bytesOf(" \t:;,\"az~\x80\xff", "value") + "\r\n")
		}
		framings := []string{"", "Content-Length: 4\r\n", "content-length:4 \t\r\n"}
		if version == "HTTP/1.1 " {
			framings = append(framings, "Transfer-Encoding: chunked\r\n", "TRANSFER-ENCODING:Chunked\r\n")
		}
		b.WriteString(rapid.SampledFrom(framings).Draw(t, "framing") + "\r\n")
	}
	return b.String()
}

// breakAnswer changes an answer in one place.
func breakAnswer(t *rapid.T, answer string) string {
	at := rapid.IntRange(0, len(answer)-1).Draw(t, "at")
	added := rapid.OneOf(
		rapid.Map(rapid.Byte(), func(char byte) string { return string([]byte{char}) }),
		rapid.SampledFrom([]string{" ", "\t", "\r", "\n", "\r\n", "\x00", "\x7f", ":", "\r\n ", "\r\nContent-Length: 3", "\r\nContent-Length : 3", "\r\nTransfer-Encoding: chunked"}),
	).Draw(t, "added")
	switch rapid.SampledFrom([]string{"insert", "replace", "delete"}).Draw(t, "how") {
	case "insert":
		return answer[:at] + added + answer[at:]
	case "replace":
		return answer[:at] + added + answer[at+1:]
	default:
		return answer[:at] + answer[at+1:]
	}
}

// scan scans an answer in pieces of a number of bytes.
func scan(answer string, size int) (isDone bool, err error) {
	var s headchecker.Scanner
	for rest := answer; rest != "" && err == nil; {
		n := min(size, len(rest))
		err = s.Scan([]byte(rest[:n]))
		rest = rest[n:]
	}
	return s.IsDone() && err == nil, err
}

// TestHeadsAreCheckedByGrammar guards against heads that hold a line that is no field, a control character, a folded line or an unclear end
// of the body, wherever a sound one is broken and however it arrives; and against refusing sound ones.
func TestHeadsAreCheckedByGrammar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := drawAnswer(t)
		size := rapid.IntRange(1, 40).Draw(t, "size")
		if isDone, err := scan(answer, size); !isDone || !isSound(answer) {
			t.Fatalf("sound answer %q refused: %v", answer, err)
		}
		broken := breakAnswer(t, answer)
		isDone, err := scan(broken, size)
		if isDone != isSound(broken) {
			t.Fatalf("broken answer %q: taken for sound %t, by the grammar %t (%v)", broken, isDone, isSound(broken), err)
		}
	})
}

// TestHeadsWithoutEndAreCutOff guards against a head, or informational answers, without end.
func TestHeadsWithoutEndAreCutOff(t *testing.T) {
	c := qt.New(t)
	for _, part := range []string{"X-Field: v\r\n", "x", "HTTP/1.1 100 X\r\n\r\n"} {
		answer := "HTTP/1.1 100 X\r\n" + strings.Repeat(part, 100<<10)
		if strings.HasPrefix(part, "HTTP") {
			answer = strings.Repeat(part, 9)
		}
		_, err := scan(answer, 4096)
		c.Check(err, qt.ErrorIs, headchecker.ErrTooLong, qt.Commentf("%.20q", part))
	}
}
