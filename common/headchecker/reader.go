package headchecker

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// keptOnce are fields of which the library keeps the last only.
var keptOnce = [...]string{fasthttp.HeaderContentType, fasthttp.HeaderContentEncoding, fasthttp.HeaderServer}

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Read reads the header of a final answer, after informational ones, from a connection that checks heads and limits their number.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for {
		head, err := peekHead(r)
		if err != nil {
			return errors.Wrap(err, "awaiting the head of an answer")
		}
		repeated := joinKeptOnce(head)
		if err := h.Read(r); err != nil {
			return errors.Wrap(err, "reading a header")
		}
		if !IsFinal(h.StatusCode()) {
			continue
		}
		for name, values := range repeated {
			h.Set(name, values)
		}
		return nil
	}
}

// peekHead waits for a head and returns it without its last line break, until the next read.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if n > 1 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.Index(b, headEnd); end >= 0 {
			return b[:end], nil
		}
	}
}

// joinKeptOnce returns lists of the values of those fields that the head holds more than once and the library keeps once (RFC 9110, 5.3).
func joinKeptOnce(head []byte) map[string]string {
	var values [len(keptOnce)][][]byte
	for line := range bytes.SplitSeq(head, lineEnd) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		for i := range keptOnce {
			if bytes.EqualFold(name, []byte(keptOnce[i])) {
				values[i] = append(values[i], bytes.Trim(value, " \t"))
			}
		}
	}
	var joined map[string]string
	for i := range keptOnce {
		if len(values[i]) < 2 {
			continue
		}
		if joined == nil {
			joined = map[string]string{}
		}
		joined[keptOnce[i]] = string(bytes.Join(values[i], []byte(",")))
	}
	return joined
}
