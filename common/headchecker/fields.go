package headchecker

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// nameSymbols are the characters of a name other than letters and digits (RFC 9110, 5.6.2).
const nameSymbols = "!#$%&'*+-.^_`|~"

// The fields that say where a body ends, and the only encoding that does.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// parseField returns the name and the value of a field line without its line break. A line that begins with a blank would continue the
// one before it (RFC 9112, 5.2); it is as invalid as any other without a name.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, errors.Wrapf(ErrInvalid, "field name %.20q", name)
	}
	if !IsText(value) {
		return nil, nil, errors.Wrapf(ErrInvalid, "value of the field %.40s", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// CheckField returns ErrInvalid unless a line, without its line break, is a field.
func CheckField(line []byte) error {
	_, _, err := parseField(line)
	return err
}

func isToken(b []byte) bool {
	for _, char := range b {
		isAlphanumeric := '0' <= char && char <= '9' || 'A' <= char && char <= 'Z' || 'a' <= char && char <= 'z'
		if !isAlphanumeric && strings.IndexByte(nameSymbols, char) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// IsText reports whether the bytes may stand in the value of a field: blanks, visible characters and characters outside ASCII.
func IsText(b []byte) bool {
	for _, char := range b {
		if char != '\t' && (char < ' ' || char == 0x7f) {
			return false
		}
	}
	return true
}

// framing is what the fields of one head say about the end of its body.
type framing struct {
	fields int
	// isHTTP10 says that the version of the head knows no encodings.
	isHTTP10 bool
}

// add notes a field. It returns ErrInvalid if the end of the body is unclear then.
func (f *framing) add(name, value []byte) error {
	var isValid bool
	switch {
	case bytes.EqualFold(name, contentLength):
		isValid = isNumber(value)
	case bytes.EqualFold(name, transferEncoding):
		isValid = !f.isHTTP10 && bytes.EqualFold(value, chunked)
	default:
		return nil
	}
	if f.fields++; f.fields > 1 || !isValid {
		return errors.Wrapf(ErrInvalid, "unclear end of the body: %s %.20q", name, value)
	}
	return nil
}

func isNumber(b []byte) bool {
	for _, char := range b {
		if char < '0' || char > '9' {
			return false
		}
	}
	return len(b) > 0
}
