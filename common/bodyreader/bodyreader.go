// Package bodyreader reads the bodies of requests and answers, and bounds their framing.
package bodyreader

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/headchecker"
)

const (
	// maxChunkLine limits the length of a chunk-size line and of a trailer line, in bytes.
	maxChunkLine = 1024
	// maxTrailerLines limits the lines of a trailer.
	maxTrailerLines = 64
	// The lines between the chunks may take maxFramingBytes, or framingFactor times the bytes of the chunks if that is more.
	maxFramingBytes = 256 << 10
	framingFactor   = 4
)

// errChunk is returned for a body that is not encoded in chunks although its header says so.
var errChunk = errors.New("malformed chunk")

// NewBody returns the reader of a body: length is the content length, -1 for a chunked body, or less for
// one that ends with the connection. A read that times out can be repeated.
func NewBody(r *bufio.Reader, length int) io.Reader {
	switch {
	case length == -1:
		return &chunkReader{r: r}
	case length >= 0:
		return &exactReader{r: r, left: length}
	default:
		return r
	}
}

// IsFramed reports whether a body with a content length as for NewBody has a length or chunks; otherwise it ends with its connection.
func IsFramed(length int) bool { return length >= -1 }

// HasBody reports whether a body follows the header of an answer with the given status, to a HEAD request or another one.
func HasBody(isHead bool, status int) bool {
	return !isHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// ErrTooLarge is returned for a body that is larger than its limit.
var ErrTooLarge = errors.New("body is too large")

// ReadAll reads a body to its end. It returns ErrTooLarge as soon as there are more bytes than the limit.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	return ReadHeld(body, limit, func(int) error { return nil })
}

// ReadHeld is ReadAll for a body whose memory is counted while it is read: hold is called with the bytes taken for it, before they are
// filled, and its error ends reading.
func ReadHeld(body io.Reader, limit int, hold func(n int) error) ([]byte, error) {
	var out pieces
	defer out.release()
	for {
		if out.isFull() {
			out.grow()
			if err := hold(out.capacity); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(out.room())
		out.add(n)
		if out.length > limit {
			return nil, ErrTooLarge
		}
		switch {
		case errors.Is(err, io.EOF):
			return out.join(), nil
		case err != nil:
			return nil, err
		}
	}
}

// exactReader reads a body of a known length. An earlier end of the stream is an error.
type exactReader struct {
	r    io.Reader
	left int
}

func (r *exactReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.r.Read(b[:min(len(b), r.left)])
	r.left -= n
	if errors.Is(err, io.EOF) && r.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkReader reads a chunked body. Unlike the standard library's reader it loses nothing when the
// connection times out in the middle of a line.
type chunkReader struct {
	r *bufio.Reader
	// left is the number of bytes left in the chunk. isInChunk reports that the chunk's final line break has not been read.
	left      int
	isInChunk bool
	// isTrailer reports that the last chunk was read, isDone that the trailer was read as well.
	isTrailer bool
	isDone    bool
	// trailerLines counts the lines of the trailer, framingBytes the bytes of all lines, dataBytes those of all chunks.
	trailerLines int
	framingBytes int
	dataBytes    int
}

func (c *chunkReader) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.isDone {
			return 0, io.EOF
		}
		if err := c.advance(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	c.dataBytes += n
	return n, unexpectedEOF(err)
}

// advance reads the next line between the chunks.
func (c *chunkReader) advance() error {
	line, err := c.line()
	if err != nil {
		return unexpectedEOF(err)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return errors.Wrap(errChunk, "line without CR")
	}
	if c.framingBytes > max(maxFramingBytes, framingFactor*c.dataBytes) {
		return errors.Wrap(errChunk, "too many lines between the chunks")
	}
	switch {
	case c.isInChunk:
		if len(line) > 0 {
			return errChunk
		}
		c.isInChunk = false
	case c.isTrailer:
		if c.trailerLines++; c.trailerLines > maxTrailerLines {
			return errors.Wrap(errChunk, "too many lines in the trailer")
		}
		if c.isDone = len(line) == 0; !c.isDone {
			return headchecker.CheckField(line)
		}
	default:
		return c.begin(line)
	}
	return nil
}

// begin parses the line that contains a chunk's size, behind which blanks and extensions may follow.
func (c *chunkReader) begin(line []byte) error {
	if !headchecker.IsText(line) {
		return errors.Wrap(errChunk, "control character")
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "parsing a chunk size"), errChunk)
	}
	c.left, c.isInChunk, c.isTrailer = int(n), n > 0, n == 0
	return nil
}

// line returns the next complete line without its LF, until the next read. It consumes nothing before the line is complete.
func (c *chunkReader) line() ([]byte, error) {
	for {
		b, err := c.r.Peek(min(c.r.Buffered(), maxChunkLine))
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(b, '\n'); end >= 0 {
			c.framingBytes += end + 1
			_, err = c.r.Discard(end + 1)
			return b[:end], err
		}
		if len(b) >= maxChunkLine {
			return nil, errChunk
		}
		if _, err := c.r.Peek(len(b) + 1); err != nil {
			return nil, err
		}
	}
}

// unexpectedEOF turns an end of the stream inside a body into an error.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
