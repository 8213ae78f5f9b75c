// Package logwriter writes log lines without ever blocking their author: a reader that is
// too slow costs lines, which are counted.
package logwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// waitingLines is how many lines may wait for the reader.
const waitingLines = 4096

// Writer hands lines to an output by a goroutine of its own.
type Writer struct {
	lines   chan []byte
	omitted atomic.Int64
	out     io.Writer
}

// NewWriter returns a writer to out; Run must be called for lines to be written.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, waitingLines), out: out}
}

// Write takes one line, or counts it as omitted when too many wait.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.omitted.Add(1)
	}
	return len(line), nil
}

// Omitted returns how many lines were left out so far.
func (w *Writer) Omitted() int64 { return w.omitted.Load() }

// Run writes lines until ctx ends, then what still waits.
func (w *Writer) Run(ctx context.Context) {
	var told int64
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-ctx.Done():
			w.drain()
			return
		}
		if n := w.omitted.Load(); n > told {
			w.put(fmt.Appendf(nil, "log lines omitted=%d\n", n-told))
			told = n
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// put gives up on a line that the output refuses: there is nowhere else to report it.
func (w *Writer) put(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.omitted.Add(1)
	}
}
