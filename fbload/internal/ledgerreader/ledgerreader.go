// Package ledgerreader reads the stand-ins' ledgers, which record every execution of a request.
package ledgerreader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
)

// Line is one line of a ledger: a step that an engine ran, another event of an engine, such as an order, or
// a call that a service served.
type Line struct {
	Target   string                `json:"target"`
	Draft    string                `json:"draft"`
	Epoch    identifier.Epoch      `json:"epoch"`
	Position int                   `json:"position"`
	Layers   identifier.LayerRange `json:"layers"`
	Token    string                `json:"token"`
	Service  string                `json:"service"`
	Key      string                `json:"key"`
	Method   string                `json:"method"`
	AtUnixMs int64                 `json:"at_unix_ms"`
}

// Executions holds the recorded executions by request id.
type Executions struct {
	// Calls counts the service calls by idempotency key.
	Calls map[string]int
	// Targets maps each draft to the engines that ran it, with the time of their last step in Unix
	// milliseconds.
	Targets map[string]map[string]int64
	// LayerRuns counts the layers that ran, over all steps of all drafts.
	LayerRuns int
}

// Read reads all ledgers in the directory, for requests whose ids begin with prefix.
func Read(dir, prefix string) (Executions, error) {
	executed := Executions{Calls: map[string]int{}, Targets: map[string]map[string]int64{}}
	files, err := filepath.Glob(filepath.Join(dir, "*.ledger"))
	if err != nil {
		return executed, errors.Wrap(err, "listing ledgers")
	}
	for _, name := range files {
		if err := executed.readFile(name, prefix); err != nil {
			return executed, err
		}
	}
	return executed, nil
}

func (e *Executions) readFile(name, prefix string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "opening a ledger")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(prefix)) {
			continue
		}
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return errors.Wrapf(err, "reading %s", name)
		}
		e.add(l, prefix)
	}
	return errors.Wrapf(lines.Err(), "reading %s", name)
}

func (e *Executions) add(l Line, prefix string) {
	if strings.HasPrefix(l.Key, prefix) {
		e.Calls[l.Key]++
	}
	id := l.Draft[strings.LastIndex(l.Draft, "/")+1:]
	if id == "" || !strings.HasPrefix(id, prefix) || l.Layers.Len() == 0 {
		return
	}
	if e.Targets[id] == nil {
		e.Targets[id] = map[string]int64{}
	}
	e.Targets[id][l.Target] = max(e.Targets[id][l.Target], l.AtUnixMs)
	e.LayerRuns += l.Layers.Len()
}
