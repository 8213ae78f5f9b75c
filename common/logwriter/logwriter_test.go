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

// TestSlowReaderBlocksNobody writes far more than may wait to a reader that does not read:
// no write blocks, and what was left out is counted.
func TestSlowReaderBlocksNobody(t *testing.T) {
	c := qt.New(t)
	r, out := io.Pipe()
	w := logwriter.NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	began := time.Now()
	for range 20_000 {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	c.Assert(w.Omitted() > 10_000, qt.IsTrue)
	cancel()
	c.Assert(r.Close(), qt.IsNil)
}

// TestWhatWaitsIsWrittenAtTheEnd writes all lines in order before Run returns.
func TestWhatWaitsIsWrittenAtTheEnd(t *testing.T) {
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
