// Package logwriter writes log lines without blocking the code that logs. If the output is too slow,
// lines are dropped and counted.
package logwriter

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueSize is the maximum number of lines that wait to be written.
const queueSize = 4096

// Writer queues lines and writes them to an output from a separate goroutine.
type Writer struct {
	lines   chan []byte
	omitted atomic.Int64
	out     io.Writer
}

// NewWriter returns a writer to out; Run must be called for lines to be written.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, queueSize), out: out}
}

// Write queues one line. If the queue is full, it drops the line and counts it as omitted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.omitted.Add(1)
	}
	return len(line), nil
}

// Omitted returns the number of lines dropped so far.
func (w *Writer) Omitted() int64 { return w.omitted.Load() }

// Run writes queued lines until ctx ends, then writes the rest of the queue and returns.
func (w *Writer) Run(ctx context.Context) {
	var reported int64
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.drain()
			return
		}
		if n := w.omitted.Load(); n > reported {
			w.writeLine(fmt.Appendf(nil, "log lines omitted=%d\n", n-reported))
			reported = n
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line. If that fails, the line is only counted as omitted, as the error cannot be
// logged anywhere else.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.omitted.Add(1)
	}
}
