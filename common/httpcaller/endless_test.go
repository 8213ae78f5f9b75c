package httpcaller_test

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
	"fuchsiabridge.example/common/httpcaller"
)

const (
	// endlessCalls calls are answered without end at once, by a process whose answers may take answerMB of memory.
	endlessCalls = 40
	answerMB     = 32
	// maxHeap is that memory, and as much for all else.
	maxHeap = 2 * answerMB << 20
	// pageBytes is the size of a page of the store, in which soundCalls calls get theirs meanwhile.
	pageBytes  = 1 << 20
	soundCalls = 20
	// endlessTime is how long the calls are repeated.
	endlessTime = time.Second
)

func endlessAnswers() map[string]answerrepeater.Answer {
	const head = "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("x", 32<<10)
	return map[string]answerrepeater.Answer{
		"length":                {Head: head + "Content-Length: 60000000\r\n\r\n", Part: filler},
		"length over the limit": {Head: head + "Content-Length: 1000000000000\r\n\r\n", Part: filler},
		"length and silence":    {Head: head + "Content-Length: 60000000\r\n\r\n" + strings.Repeat(filler, 40)},
		"until close":           {Head: head + "\r\n", Part: filler},
		"chunks":                {Head: head + "Transfer-Encoding: chunked\r\n\r\n", Part: "8000\r\n" + filler + "\r\n"},
		"small chunks":          {Head: head + "Transfer-Encoding: chunked\r\n\r\n", Part: strings.Repeat("1\r\nx\r\n", 1000)},
		"one chunk":             {Head: head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", Part: filler},
		"chunk line":            {Head: head + "Transfer-Encoding: chunked\r\n\r\n1;", Part: filler},
		"trailers":              {Head: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Part: strings.Repeat("X-Field: v\r\n", 1000)},
		"fields":                {Head: head, Part: strings.Repeat("X-Field: v\r\n", 1000)},
		"status line":           {Head: "HTTP/1.1 200 ", Part: filler},
		"informational":         {Part: strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 1000)},
		"noise":                 {Part: filler},
	}
}

// serve serves an answer, and returns a URL of it.
func serve(c *qt.C, a answerrepeater.Answer) string {
	s, err := answerrepeater.Serve(c.Context(), a)
	c.Assert(err, qt.IsNil)
	return "http://" + s.Address + "/x"
}

// TestAnswersWithoutEndStayWithinMemory guards against a process that runs out of memory because many calls at once get answers without
// end, and against failing sound answers beside them.
func TestAnswersWithoutEndStayWithinMemory(t *testing.T) {
	page := strings.Repeat("p", pageBytes)
	for name, a := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			url := serve(c, a)
			sound := serve(c, answerrepeater.Answer{Head: "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + page + "\r\n0\r\n\r\n"})
			limiter := answerlimiter.NewLimiter(answerlimiter.Bytes(answerMB))
			caller := httpcaller.NewCaller(limiter)
			runtime.GC()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			endless, stop := context.WithTimeout(ctx, endlessTime)
			defer stop()
			var wg sync.WaitGroup
			for range endlessCalls {
				wg.Go(func() {
					for endless.Err() == nil {
						_, err := caller.Do(endless, httpcaller.Request{Method: http.MethodGet, URL: url})
						c.Check(err, qt.IsNotNil)
					}
				})
			}
			peak := uint64(0)
			for n := 0; n < soundCalls || endless.Err() == nil; n++ {
				response, err := caller.Do(ctx, httpcaller.Request{Method: http.MethodGet, URL: sound})
				c.Check(err, qt.IsNil)
				c.Check(len(response.Body), qt.Equals, pageBytes)
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
			wg.Wait()
			held, dropped := limiter.Held()
			t.Logf("at most %d MB, %d answers given up", peak>>20, dropped)
			c.Check(held, qt.Equals, int64(0))
			c.Check(peak < maxHeap, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
		})
	}
}
