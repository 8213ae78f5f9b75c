// Package ledgerreader reads from the stand-ins' ledgers what ran.
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

// Line is one line of a ledger: a run of an engine, or a call of a service.
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

// Ran holds what ran, by the id of the request.
type Ran struct {
	// Calls counts the calls of services by key.
	Calls map[string]int
	// Targets holds the engines that ran each draft, with the instant of their last run in Unix milliseconds.
	Targets map[string]map[string]int64
	// LayerRuns counts the layers run over all drafts.
	LayerRuns int
}

// Read reads the ledgers in the folder for the requests whose ids begin with prefix.
func Read(dir, prefix string) (Ran, error) {
	ran := Ran{Calls: map[string]int{}, Targets: map[string]map[string]int64{}}
	files, err := filepath.Glob(filepath.Join(dir, "*.ledger"))
	if err != nil {
		return ran, errors.Wrap(err, "finding ledgers")
	}
	for _, name := range files {
		if err := ran.file(name, prefix); err != nil {
			return ran, err
		}
	}
	return ran, nil
}

func (r *Ran) file(name, prefix string) error {
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
		r.add(l, prefix)
	}
	return errors.Wrapf(lines.Err(), "reading %s", name)
}

func (r *Ran) add(l Line, prefix string) {
	if strings.HasPrefix(l.Key, prefix) {
		r.Calls[l.Key]++
	}
	id := l.Draft[strings.LastIndex(l.Draft, "/")+1:]
	if id == "" || !strings.HasPrefix(id, prefix) || l.Layers.Len() == 0 {
		return
	}
	if r.Targets[id] == nil {
		r.Targets[id] = map[string]int64{}
	}
	r.Targets[id][l.Target] = max(r.Targets[id][l.Target], l.AtUnixMs)
	r.LayerRuns += l.Layers.Len()
}
