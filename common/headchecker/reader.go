package headchecker

import (
	"bufio"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Read reads the header of a final answer, after informational ones, from a connection that checks heads and limits their number.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for {
		// The library takes an error before the first byte of a header for the end of the connection.
		if _, err := r.Peek(1); err != nil {
			return errors.Wrap(err, "awaiting an answer")
		}
		if err := h.Read(r); err != nil {
			return errors.Wrap(err, "reading a header")
		}
		if IsFinal(h.StatusCode()) {
			return nil
		}
	}
}
