// Package headchecker checks the heads of HTTP answers: status lines and fields, by the grammar of RFC 9110 and RFC 9112. The HTTP library
// takes some heads for valid that are none.
package headchecker

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes limits the head of an answer, and maxInformational the informational answers before a final one.
	maxHeadBytes     = 64 << 10
	maxInformational = 8
)

var (
	// ErrInvalid is returned for an answer whose status line is not one of HTTP/1.0 or HTTP/1.1, or has a status outside 100 to 599, whose
	// head holds a line that is no field, or that does not say clearly where its body ends. It is no answer: nothing that it says holds.
	ErrInvalid = errors.New("answer without a valid head")
	// ErrTooLong is returned for an answer whose head, or the informational answers before it, exceed their limits.
	ErrTooLong = errors.New("head of an answer is too long")
)

// Scanner checks the head of one answer, including the informational answers before it. The zero value expects an answer.
type Scanner struct {
	// line is the current line as far as it was read.
	line []byte
	// status is that of the current head, 0 before its status line was read completely.
	status  int
	framing framing
	// headBytes counts the bytes of the current head, informational the informational answers.
	headBytes     int
	informational int
	isDone        bool
}

// Scan checks the next bytes of an answer as far as they belong to its head.
func (s *Scanner) Scan(b []byte) error {
	for len(b) > 0 && !s.isDone {
		n := bytes.IndexByte(b, '\n') + 1
		isComplete := n > 0
		if !isComplete {
			n = len(b)
		}
		if s.headBytes += n; s.headBytes > maxHeadBytes {
			return ErrTooLong
		}
		s.line, b = append(s.line, b[:n]...), b[n:]
		if err := s.checkLine(isComplete); err != nil {
			return err
		}
		if isComplete {
			s.line = s.line[:0]
		}
	}
	return nil
}

// IsDone reports whether the head of the final answer was read completely.
func (s *Scanner) IsDone() bool { return s.isDone }

// Status returns the status of the current head, or 0 while that is not known.
func (s *Scanner) Status() int { return s.status }

// checkLine checks the current line. The beginning of a status line is checked before the line is complete, so that bytes that are no
// answer are found early.
func (s *Scanner) checkLine(isComplete bool) error {
	if s.status == 0 && len(s.line) > statusBytes {
		if _, err := parseStatus(s.line); err != nil {
			return err
		}
	}
	if !isComplete {
		return nil
	}
	line, ok := bytes.CutSuffix(s.line, []byte("\r\n"))
	if !ok {
		return errors.Wrapf(ErrInvalid, "line without CR: %.20q", s.line)
	}
	switch {
	case s.status == 0:
		return s.begin(line)
	case len(line) == 0:
		return s.end()
	}
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	return s.framing.add(name, value)
}

// begin checks the complete status line of a head.
func (s *Scanner) begin(line []byte) error {
	status, err := parseStatus(line)
	if err != nil {
		return err
	}
	if !IsText(line) {
		return errors.Wrapf(ErrInvalid, "status line %.40q", line)
	}
	s.status, s.framing = status, framing{isHTTP10: line[versionAt] == '0'}
	return nil
}

// end ends a head. Another one follows after an informational answer.
func (s *Scanner) end() error {
	if IsFinal(s.status) {
		s.isDone = true
		return nil
	}
	if s.informational++; s.informational > maxInformational {
		return errors.Wrap(ErrTooLong, "too many informational answers")
	}
	s.status, s.headBytes = 0, 0
	return nil
}

// Conn is a connection on which a client reads answers. A read fails at an answer without a valid head.
type Conn struct {
	net.Conn
	scanner Scanner
}

// NewConn returns a connection that checks the answers to what is written to c. Requests must not be pipelined.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes a part of a request; the next bytes that are read are those of its answer.
func (c *Conn) Write(b []byte) (int, error) {
	c.scanner = Scanner{line: c.scanner.line[:0]}
	return c.Conn.Write(b)
}

// Read reads a part of an answer.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if invalid := c.scanner.Scan(b[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
