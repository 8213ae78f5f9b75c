package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxChunkLine bounds the line that gives a chunk's size, and a line of the trailer.
const maxChunkLine = 1024

// errChunk says that a body is not in chunks as its header says.
var errChunk = errors.New("malformed chunk")

// newBody returns the reader of a body by its framing: its length, -1 for chunks, less for
// one that ends with the connection. A read that times out may be repeated.
func newBody(r *bufio.Reader, length int) io.Reader {
	switch {
	case length == -1:
		return &chunkReader{r: r}
	case length >= 0:
		return &exactReader{r: r, left: length}
	default:
		return r
	}
}

// exactReader reads a body of a known length; an end before it is an error.
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

// chunkReader reads a body in chunks. Unlike the standard library's it loses nothing when
// the connection times out in the middle of a line.
type chunkReader struct {
	r *bufio.Reader
	// left is what is left of the chunk, inChunk says that its final line break is still due.
	left    int
	inChunk bool
	// isTrailer says that the last chunk was read, isOver that the trailer was too.
	isTrailer bool
	isOver    bool
}

func (c *chunkReader) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.isOver {
			return 0, io.EOF
		}
		if err := c.advance(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// advance reads the next line between the chunks.
func (c *chunkReader) advance() error {
	line, err := c.line()
	if err != nil {
		return unexpected(err)
	}
	switch {
	case c.inChunk:
		if len(line) > 0 {
			return errChunk
		}
		c.inChunk = false
	case c.isTrailer:
		c.isOver = len(line) == 0
	default:
		return c.begin(line)
	}
	return nil
}

// begin takes the line that gives a chunk's size.
func (c *chunkReader) begin(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "reading a chunk's size"), errChunk)
	}
	c.left, c.inChunk, c.isTrailer = int(n), n > 0, n == 0
	return nil
}

// line returns the next whole line without its break; nothing is taken before it is whole.
func (c *chunkReader) line() ([]byte, error) {
	for n := 1; n <= maxChunkLine; n++ {
		b, err := c.r.Peek(n)
		if err != nil {
			return nil, err
		}
		if b[n-1] != '\n' {
			continue
		}
		line := bytes.TrimSuffix(bytes.Clone(b[:n-1]), []byte("\r"))
		_, err = c.r.Discard(n)
		return line, err
	}
	return nil, errChunk
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
