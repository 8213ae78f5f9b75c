package forwarder_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/answerrepeater"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/platform/answerfaker"
)

const (
	// maxEndlessBytes is how much of an answer without end a target may write before it is cut off: what is read, and what
	// the connection buffers.
	maxEndlessBytes = 24 << 20
	// maxHeap is the memory of a node at the planned size.
	maxHeap      = 64 << 20
	endlessConns = 50
	// ordinaryTimeout is when an ordinary answer that comes beside them counts as lost.
	ordinaryTimeout = time.Minute
)

// endlessAnswer is an answer without end, plain or a stream.
type endlessAnswer struct {
	answerrepeater.Answer
	isStream bool
}

func endlessAnswers() map[string]endlessAnswer {
	plain := answerfaker.SealedHead(id, http.StatusOK)
	filler := strings.Repeat("x", 4096)
	return map[string]endlessAnswer{
		"status line":        {Answer: answerrepeater.Answer{Head: "HTTP/1.1 200 ", Part: filler}},
		"head":               {Answer: answerrepeater.Answer{Head: plain, Part: "X-Field: " + filler[:200] + "\r\n"}},
		"informational":      {Answer: answerrepeater.Answer{Part: "HTTP/1.1 100 X\r\n\r\n"}},
		"early hints":        {Answer: answerrepeater.Answer{Part: answerfaker.SealedHead(id, http.StatusEarlyHints) + "\r\n"}},
		"body until close":   {Answer: answerrepeater.Answer{Head: plain + "\r\n", Part: filler}},
		"body with length":   {Answer: answerrepeater.Answer{Head: plain + "Content-Length: 1000000000000\r\n\r\n", Part: filler}},
		"chunks":             {Answer: answerrepeater.Answer{Head: plain + "Transfer-Encoding: chunked\r\n\r\n", Part: answerfaker.Chunk(filler)}},
		"small chunks":       {Answer: answerrepeater.Answer{Head: plain + "Transfer-Encoding: chunked\r\n\r\n", Part: strings.Repeat(answerfaker.Chunk("x"), 500)}},
		"chunk line":         {Answer: answerrepeater.Answer{Head: plain + "Transfer-Encoding: chunked\r\n\r\n1;", Part: filler}},
		"trailers":           {Answer: answerrepeater.Answer{Head: plain + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Part: strings.Repeat("X-Field: y\r\n", 300)}},
		"event":              {Answer: answerrepeater.Answer{Head: answerfaker.Stream(id), Part: answerfaker.Chunk(filler)}, isStream: true},
		"chunk of an event":  {Answer: answerrepeater.Answer{Head: answerfaker.Stream(id) + "7fffffff\r\n", Part: filler}, isStream: true},
		"trailers of stream": {Answer: answerrepeater.Answer{Head: answerfaker.Stream(id, event(1)) + "0\r\n", Part: strings.Repeat("X-Field: y\r\n", 300)}, isStream: true},
	}
}

// serveEndless serves an answer without end.
func serveEndless(t *testing.T, a endlessAnswer) *answerrepeater.Server {
	t.Helper()
	s, err := answerrepeater.Serve(t.Context(), a.Answer)
	qt.New(t).Assert(err, qt.IsNil)
	return s
}

// TestAnswerWithoutEndIsCutOff guards against an answer without end, in any of its parts, that is read until the deadline or
// counts as a success.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	for name, a := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			s := serveEndless(t, a)
			began := time.Now()
			got := f.attempt(context.Background(), s.Address, a.isStream)
			f.Check(got.Outcome, qt.Equals, dispatcher.Broken, qt.Commentf("%s", got.Reason))
			f.Check(got.IsLeft, qt.IsTrue, qt.Commentf("%s", got.Reason))
			f.Check(time.Since(began) < deadline/2, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			f.Check(f.caller.isComplete, qt.IsFalse)
			f.Check(s.Written.Load() < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", s.Written.Load()))
		})
	}
}

// TestAnswersWithoutEndStayWithinMemory guards against a node that runs out of memory because many targets send answers
// without end at the same time, and against failing ordinary answers beside them.
func TestAnswersWithoutEndStayWithinMemory(t *testing.T) {
	ordinary := answerfaker.Plain(id, http.StatusOK, "body")
	for name, a := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			runtime.GC()
			answers := forwarder.NewLimiter(answerlimiter.NewDefault())
			s := serveEndless(t, a)
			var wg sync.WaitGroup
			for range endlessConns {
				wg.Go(func() { newFixtureWith(t, answers).attempt(context.Background(), s.Address, a.isStream) })
			}
			peak, done := uint64(0), make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			for isRunning := true; isRunning; {
				select {
				case <-done:
					isRunning = false
				case <-time.After(5 * time.Millisecond):
				}
				f := newFixtureWith(t, answers)
				// How soon a connection opens and the answer comes depends on the machine.
				end := bootclock.Now().Add(ordinaryTimeout)
				send := dispatcher.Send{Target: "i-1", Address: serve(t, ordinary), Deadline: end, IdleDeadline: end}
				got := f.exchange.Attempt(context.Background(), send)
				for got.Outcome == dispatcher.NotSent && bootclock.Now().Before(end) {
					got = f.exchange.Attempt(context.Background(), send)
				}
				f.exchange.Drop()
				c.Check(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
			t.Logf("at most %d MB", peak>>20)
			c.Check(peak < maxHeap, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
		})
	}
}
