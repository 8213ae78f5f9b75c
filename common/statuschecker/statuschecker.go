// Package statuschecker checks the status lines of HTTP answers. The HTTP library takes the status 000 for 200, and passes on others that
// are none.
package statuschecker

import (
	"bufio"
	"bytes"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// statusBytes is the length of the part of a status line that is checked, "HTTP/1.1 200".
	statusBytes = len("HTTP/1.1 200")
	// codeAt is where the status stands in it, versionAt the minor version.
	codeAt    = len("HTTP/1.1 ")
	versionAt = len("HTTP/1.")

	minInformational = 100
	minFinal         = 200
	maxFinal         = 599
)

// ErrInvalid is returned for an answer whose status line is not one of HTTP/1.0 or HTTP/1.1, or has a status outside 100 to 599. It is no
// answer: nothing that it says holds.
var ErrInvalid = errors.New("answer without a valid status")

// IsFinal reports whether a status is one of a final answer.
func IsFinal(status int) bool { return status >= minFinal && status <= maxFinal }

// parse returns the status at the beginning of a status line.
func parse(line []byte) (int, error) {
	if len(line) < statusBytes || !bytes.HasPrefix(line, []byte("HTTP/1.")) || (line[versionAt] != '0' && line[versionAt] != '1') || line[codeAt-1] != ' ' {
		return 0, errors.Wrapf(ErrInvalid, "status line %.20q", line)
	}
	status := 0
	for _, digit := range line[codeAt:statusBytes] {
		if digit < '0' || digit > '9' {
			return 0, errors.Wrapf(ErrInvalid, "status line %.20q", line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < minInformational || status > maxFinal {
		return 0, errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	if len(line) > statusBytes && !bytes.ContainsRune([]byte(" \r\n"), rune(line[statusBytes])) {
		return 0, errors.Wrapf(ErrInvalid, "status line %.20q", line)
	}
	return status, nil
}

// Peek returns the status of the answer that comes next from a reader, and consumes nothing.
func Peek(r *bufio.Reader) (int, error) {
	line, err := r.Peek(statusBytes + 1)
	if err != nil && len(line) < statusBytes {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, err
	}
	return parse(line)
}

// Conn is a connection on which a client reads answers. A read fails at an answer without a valid status.
type Conn struct {
	net.Conn
	// head collects the beginning of the head of the answer, up to what is checked.
	head []byte
	// isChecked says that the status of the answer was read, isInformational that another answer follows after the head.
	isChecked       bool
	isInformational bool
	// lineBytes counts the bytes of the current line of an informational head, without its line break.
	lineBytes int
}

// NewConn returns a connection that checks the answers to what is written to c. Requests must not be pipelined.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes a part of a request; the next bytes that are read are those of its answer.
func (c *Conn) Write(b []byte) (int, error) {
	c.expect()
	return c.Conn.Write(b)
}

func (c *Conn) expect() {
	c.head, c.isChecked, c.isInformational, c.lineBytes = c.head[:0], false, false, 0
}

// Read reads a part of an answer.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if checkErr := c.check(b[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check checks what was read, as far as it belongs to status lines.
func (c *Conn) check(b []byte) error {
	for len(b) > 0 {
		switch {
		case c.isInformational:
			b = c.skipHead(b)
		case c.isChecked:
			return nil
		default:
			n := min(len(b), statusBytes+1-len(c.head))
			c.head, b = append(c.head, b[:n]...), b[n:]
			if len(c.head) <= statusBytes && bytes.IndexByte(c.head, '\n') < 0 {
				continue
			}
			status, err := parse(c.head)
			if err != nil {
				return err
			}
			c.isChecked, c.isInformational = true, !IsFinal(status)
			// The line break may be a part of what was checked.
			c.lineBytes = 1
			if c.head[len(c.head)-1] == '\n' {
				c.lineBytes = 0
			}
		}
	}
	return nil
}

// skipHead returns what follows after the head of an informational answer, or nothing if the head goes on.
func (c *Conn) skipHead(b []byte) []byte {
	for i, char := range b {
		switch char {
		case '\r':
		case '\n':
			if c.lineBytes == 0 {
				c.expect()
				return b[i+1:]
			}
			c.lineBytes = 0
		default:
			c.lineBytes++
		}
	}
	return nil
}
