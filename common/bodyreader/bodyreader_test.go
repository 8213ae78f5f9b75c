package bodyreader_test

import (
	"bufio"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/bodyreader"
)

// TestChunksAreReadByGrammar guards against a body in chunks whose sizes, line breaks or trailer are no such, and against refusing what a
// sound sender may write (RFC 9112, 7.1).
func TestChunksAreReadByGrammar(t *testing.T) {
	c := qt.New(t)
	for raw, isSound := range map[string]bool{
		"4\r\nbody\r\n0\r\n\r\n": true, "04\r\nbody\r\n000\r\n\r\n": true, "2\r\nbo\r\n2;x\r\ndy\r\n0;a=\"b\"\r\n\r\n": true, "4 \t;x\r\nbody\r\n0\r\n\r\n": true,
		"4\r\nbody\r\n0\r\nX-Field: caf\xe9\r\nx:\r\n\r\n": true,
		" 4\r\nbody\r\n0\r\n\r\n":                          false, "+4\r\nbody\r\n0\r\n\r\n": false, "0x4\r\nbody\r\n0\r\n\r\n": false, "4x\r\nbody\r\n0\r\n\r\n": false, "4_\r\nbody\r\n0\r\n\r\n": false,
		"\r\nbody\r\n0\r\n\r\n": false, "4\nbody\r\n0\r\n\r\n": false, "4\r\nbody\n0\r\n\r\n": false, "4\r\nbody\r\n0\n\r\n": false, "4\r\nbody\r\n0\r\n\n": false,
		"4;\x00\r\nbody\r\n0\r\n\r\n": false, "4;x\ry\r\nbody\r\n0\r\n\r\n": false, "4\r\nbody!\r\n0\r\n\r\n": false, "4\r\nbody\r\n0\r\n": false,
		"4\r\nbody\r\n0\r\nX Field: v\r\n\r\n": false, "4\r\nbody\r\n0\r\nX-Field : v\r\n\r\n": false, "4\r\nbody\r\n0\r\nno field\r\n\r\n": false,
		"4\r\nbody\r\n0\r\nX-Field: v\r\n more\r\n\r\n": false, "4\r\nbody\r\n0\r\nX-Field: \x00\r\n\r\n": false,
	} {
		body, err := bodyreader.ReadAll(bodyreader.NewBody(bufio.NewReader(strings.NewReader(raw)), -1), 100)
		c.Check(err == nil, qt.Equals, isSound, qt.Commentf("%q: %v", raw, err))
		if isSound {
			c.Check(string(body), qt.Equals, "body", qt.Commentf("%q", raw))
		}
	}
}
