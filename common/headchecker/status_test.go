package headchecker_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/headchecker"
)

// statusLines are what was tried as the beginning of an answer, and the status that it has; 0 for one that is no answer.
var statusLines = map[string]int{
	"HTTP/1.1 200 OK": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 200": 200, "HTTP/1.0 599 X": 599, "HTTP/1.1 100 Continue": 100, "HTTP/1.1 199 X": 199,
	"HTTP/1.1 000": 0, "HTTP/1.1 000 OK": 0, "HTTP/1.1 001 X": 0, "HTTP/1.1 042 X": 0, "HTTP/1.1 099 X": 0, "HTTP/1.1 600 X": 0, "HTTP/1.1 666 X": 0, "HTTP/1.1 999 X": 0,
	"HTTP/1.1 20 OK": 0, "HTTP/1.1 2000 OK": 0, "HTTP/1.1 +20 OK": 0, "HTTP/1.1 -20 OK": 0, "HTTP/1.1 2x0 OK": 0, "HTTP/1.1 0x2 OK": 0, "HTTP/1.1  200 OK": 0, "HTTP/1.1\t200 OK": 0, "HTTP/1.1 200OK": 0,
	"HTTP/2.0 200 OK": 0, "HTTP/1.2 200 OK": 0, "HTTP/1.9 200 OK": 0, "HTTP/1 200 OK": 0, "HTTP/11 200 OK": 0, "http/1.1 200 OK": 0, "ICY 200 OK": 0, "200 OK": 0, " HTTP/1.1 200 OK": 0, "": 0,
}

// TestStatusLines guards against an answer without a valid status that is taken for one: the library takes 000 for 200, lets spaces and empty
// lines come first, and passes on any three digits.
func TestStatusLines(t *testing.T) {
	c := qt.New(t)
	for line, want := range statusLines {
		var s headchecker.Scanner
		err := s.Scan([]byte(line + "\r\nContent-Length: 0\r\n\r\n"))
		if want > 0 {
			c.Check(err, qt.IsNil, qt.Commentf("%q", line))
		}
		c.Check(s.IsDone(), qt.Equals, want >= 200, qt.Commentf("%q", line))
		if want >= 200 {
			c.Check(s.Status(), qt.Equals, want, qt.Commentf("%q", line))
		}
		if want == 0 {
			c.Check(err, qt.ErrorIs, headchecker.ErrInvalid, qt.Commentf("%q", line))
		}
	}
}

// TestConnFailsAtInvalidStatus guards against such an answer on a connection that is read by a library, however it is divided, as the first
// answer, a later one or one after informational ones.
func TestConnFailsAtInvalidStatus(t *testing.T) {
	c := qt.New(t)
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const informational = "HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 100\r\n\r\n"
	for line, want := range statusLines {
		for _, before := range []string{"", informational} {
			for _, size := range []int{1, 5, 4096} {
				client, server := net.Pipe()
				conn := headchecker.NewConn(client)
				answer := before + line + "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 in a body\r\n"
				isSound := exchange(conn, server, sound, size) == nil
				err := exchange(conn, server, answer, size)
				c.Check(isSound, qt.IsTrue, qt.Commentf("%q", line))
				if want >= 200 {
					c.Check(err, qt.IsNil, qt.Commentf("%q after %q, %d bytes at a time", line, before, size))
				} else if want == 0 {
					c.Check(err, qt.ErrorIs, headchecker.ErrInvalid, qt.Commentf("%q after %q, %d bytes at a time", line, before, size))
				}
				_, _ = client.Close(), server.Close()
			}
		}
	}
}

// exchange writes a request to conn, and reads its answer, which server writes a number of bytes at a time.
func exchange(conn net.Conn, server net.Conn, answer string, size int) error {
	request := make([]byte, 4)
	go func() {
		if _, err := io.ReadFull(server, request); err != nil {
			return
		}
		for rest := answer; rest != ""; {
			n := min(size, len(rest))
			if _, err := io.WriteString(server, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}()
	if _, err := io.WriteString(conn, "GET "); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len(answer)))
	return err
}
