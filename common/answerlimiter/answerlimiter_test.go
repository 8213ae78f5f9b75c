package answerlimiter_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/answerlimiter"
)

const (
	kilobyte = 1 << 10
	limit    = 1 << 20
)

// TestSourceWithoutEndDisplacesNoOther guards against a sound answer that is given up while the answers of another source fill the memory,
// whether these go on or have stopped, and whichever comes first.
func TestSourceWithoutEndDisplacesNoOther(t *testing.T) {
	c := qt.New(t)
	l := answerlimiter.NewLimiter(limit)
	dropped := 0
	var endless []*answerlimiter.Answer
	for range 40 {
		endless = append(endless, l.Open("endless", 1, func() { dropped++ }))
	}
	sound := l.Open("sound", 1, func() { c.Error("the sound answer was given up") })
	for size := kilobyte; size <= 300*kilobyte; size += kilobyte {
		for _, a := range endless {
			_ = a.Hold(size)
		}
		c.Assert(sound.Hold(size), qt.IsNil)
		held, _ := l.Held()
		c.Assert(held <= 2*limit, qt.IsTrue, qt.Commentf("%d bytes", held))
	}
	c.Check(dropped > 30, qt.IsTrue, qt.Commentf("%d", dropped))
	for _, a := range endless {
		a.Close()
	}
	silent := l.Open("endless", 1, func() {})
	c.Assert(silent.Hold(600*kilobyte), qt.IsNil)
	c.Assert(sound.Hold(500*kilobyte), qt.IsNil)
	c.Check(silent.Complete(), qt.ErrorIs, answerlimiter.ErrMemory)
	c.Check(sound.Complete(), qt.IsNil)
}

// TestCompleteAnswerIsNotGivenUp guards against an answer that is ready and dropped, or a connection that is closed while another call
// uses it.
func TestCompleteAnswerIsNotGivenUp(t *testing.T) {
	c := qt.New(t)
	l := answerlimiter.NewLimiter(limit)
	ready := l.Open("a", 1, func() { c.Error("the complete answer was given up") })
	c.Assert(ready.Hold(900*kilobyte), qt.IsNil)
	c.Assert(ready.Complete(), qt.IsNil)
	next := l.Open("b", 1, func() {})
	c.Check(next.Hold(200*kilobyte), qt.ErrorIs, answerlimiter.ErrMemory)
	ready.Close()
	again := l.Open("b", 1, func() {})
	c.Check(again.Hold(200*kilobyte), qt.IsNil)
	again.Close()
	held, dropped := l.Held()
	c.Check(held, qt.Equals, int64(0))
	c.Check(dropped, qt.Equals, int64(1))
}

// TestLimitsAreKept guards against answers that hold more than the limits together, in whatever order they grow and end; ordinary ones are
// only given up beyond twice the limit, and what is held is counted to the end.
func TestLimitsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := answerlimiter.NewLimiter(limit)
		part := l.Part(limit / 2)
		open := map[*answerlimiter.Answer]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			from := rapid.SampledFrom([]*answerlimiter.Limiter{l, part}).Draw(t, "limiter")
			source := rapid.SampledFrom([]answerlimiter.Source{"a", "b", "c"}).Draw(t, "source")
			a := from.Open(source, rapid.IntRange(1, 3).Draw(t, "factor"), func() {})
			size := rapid.IntRange(1, 400*kilobyte).Draw(t, "size")
			before, _ := l.Held()
			err := a.Hold(size)
			if err != nil && size <= 64*kilobyte && before+int64(3*size) <= 2*limit {
				t.Fatalf("ordinary answer of %d bytes refused with %d held", size, before)
			}
			open[a] = size
			closeSome(t, open)
			held, _ := l.Held()
			inPart, _ := part.Held()
			if held > 2*limit || inPart > limit/2 {
				t.Fatalf("%d bytes held, %d of them in the part", held, inPart)
			}
		}
		for a := range open {
			a.Close()
		}
		if held, _ := l.Held(); held != 0 {
			t.Fatalf("%d bytes held at the end", held)
		}
	})
}

// closeSome ends some of the answers.
func closeSome(t *rapid.T, open map[*answerlimiter.Answer]int) {
	for a := range open {
		if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
			a.Close()
			delete(open, a)
		}
	}
}

// TestMessageWithoutEndClosesConnection guards against a peer whose message never ends, and against messages that count on after their end.
func TestMessageWithoutEndClosesConnection(t *testing.T) {
	c := qt.New(t)
	l := answerlimiter.NewLimiter(limit)
	here, there := net.Pipe()
	conn := l.NewConn(here, 4)
	go func() {
		for {
			if _, err := there.Write(make([]byte, 4*kilobyte)); err != nil {
				return
			}
		}
	}()
	for range 20 {
		_, err := io.ReadFull(conn, make([]byte, 200*kilobyte))
		c.Assert(err, qt.IsNil)
		conn.EndMessage()
	}
	_, err := io.ReadFull(conn, make([]byte, 300*kilobyte))
	c.Check(err, qt.ErrorIs, answerlimiter.ErrMemory)
	_, err = here.Read(make([]byte, 1))
	c.Check(err, qt.ErrorIs, io.ErrClosedPipe)
	held, _ := l.Held()
	c.Check(held, qt.Equals, int64(0))
}

// TestDefaultFollowsMachine guards against a default that is no bound, or that the largest relayed answer exceeds.
func TestDefaultFollowsMachine(t *testing.T) {
	c := qt.New(t)
	c.Check(answerlimiter.Bytes(32), qt.Equals, int64(16<<20))
	c.Check(answerlimiter.Bytes(0) >= 24<<20, qt.IsTrue)
	c.Check(answerlimiter.Bytes(0) <= 128<<20, qt.IsTrue)
}
