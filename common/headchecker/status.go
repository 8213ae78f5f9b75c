package headchecker

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const (
	// statusBytes is the length of the part of a status line that comes before the reason, "HTTP/1.1 200".
	statusBytes = len("HTTP/1.1 200")
	// codeAt is where the status stands in it, versionAt the minor version.
	codeAt    = len("HTTP/1.1 ")
	versionAt = len("HTTP/1.")

	minInformational = 100
	minFinal         = 200
	maxFinal         = 599
	// switchingProtocols changes the protocol, which no request asks for.
	switchingProtocols = 101
)

// IsFinal reports whether a status is one of a final answer.
func IsFinal(status int) bool { return status >= minFinal && status <= maxFinal }

// parseStatus returns the status at the beginning of a status line.
func parseStatus(line []byte) (int, error) {
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
	if status < minInformational || status > maxFinal || status == switchingProtocols {
		return 0, errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	if len(line) > statusBytes && line[statusBytes] != ' ' && line[statusBytes] != '\r' {
		return 0, errors.Wrapf(ErrInvalid, "status line %.20q", line)
	}
	return status, nil
}
