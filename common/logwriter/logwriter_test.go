package logwriter_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/logwriter"
)

// TestSlowReaderDoesNotBlockWrites writes many more lines than the queue holds while nothing reads
// the output: no write blocks, and dropped lines are counted.
func TestSlowReaderDoesNotBlockWrites(t *testing.T) {
	c := qt.New(t)
	r, out := io.Pipe()
	w := logwriter.NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	start := time.Now()
	for range 20_000 {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
	c.Assert(w.Omitted() > 10_000, qt.IsTrue)
	cancel()
	c.Assert(r.Close(), qt.IsNil)
}

// TestQueuedLinesAreWrittenAtTheEnd checks that Run writes all queued lines in order before it
// returns.
func TestQueuedLinesAreWrittenAtTheEnd(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := logwriter.NewWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		c.Assert(err, qt.IsNil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	c.Assert(strings.Contains(out.String(), "a\nb\nc\n"), qt.IsTrue)
}
