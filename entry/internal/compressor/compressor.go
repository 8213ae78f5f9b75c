// Package compressor compresses the texts that nodes send to each other.
package compressor

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// maxBytes limits the decompressed size of a text.
const maxBytes = 64 << 20

// ErrTooLarge is returned for a text that is larger than any that a node sends.
var ErrTooLarge = errors.New("the text of a peer is too large")

// Pack compresses a text.
func Pack(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compressing a text for peers")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a text for peers")
	}
	return b.Bytes(), nil
}

// Unpack decompresses a text.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a text of a peer")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && len(text) > maxBytes {
		err = ErrTooLarge
	}
	return text, errors.Wrap(err, "decompressing a text of a peer")
}
