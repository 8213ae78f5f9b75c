// Package ledgerwriter writes the ledger of a stand-in: a file that records its executions, one JSON object
// per line.
package ledgerwriter

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

const fileMode = 0o600

// Ledger is an append-only file. The zero value discards all entries.
type Ledger struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the ledger at path for appending. With an empty path it returns a ledger that discards all
// entries.
func Open(path string) (*Ledger, error) {
	if path == "" {
		return &Ledger{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "opening the ledger")
	}
	return &Ledger{file: file}, nil
}

// Write appends all entries with a single write, so that a killed process leaves only complete lines.
func (l *Ledger) Write(entries ...any) error {
	if l.file == nil {
		return nil
	}
	var lines []byte
	for _, e := range entries {
		line, err := json.Marshal(e)
		if err != nil {
			return errors.Wrap(err, "encoding a ledger entry")
		}
		lines = append(append(lines, line...), '\n')
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.file.Write(lines)
	return errors.Wrap(err, "writing the ledger")
}
