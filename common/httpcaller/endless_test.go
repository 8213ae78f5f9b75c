package httpcaller_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerlimiter"
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

// endlessAnswers are answers by their heads, and the part that follows until the caller closes. An empty part stands for silence.
func endlessAnswers() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\n"
	filler := strings.Repeat("x", 32<<10)
	return map[string][2]string{
		"length":                {head + "Content-Length: 60000000\r\n\r\n", filler},
		"length over the limit": {head + "Content-Length: 1000000000000\r\n\r\n", filler},
		"length and silence":    {head + "Content-Length: 60000000\r\n\r\n" + strings.Repeat(filler, 40), ""},
		"until close":           {head + "\r\n", filler},
		"chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		"small chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
		"one chunk":             {head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", filler},
		"chunk line":            {head + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
		"trailers":              {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Field: v\r\n", 1000)},
		"fields":                {head, strings.Repeat("X-Field: v\r\n", 1000)},
		"status line":           {"HTTP/1.1 200 ", filler},
		"informational":         {"", strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 1000)},
		"noise":                 {"", filler},
	}
}

// serveRaw answers all connections with the given bytes, and then repeats the part until the caller closes.
func serveRaw(c *qt.C, head, part string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	first, next := []byte(head), []byte(part)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := conn.Write(first)
				for err == nil && part != "" {
					_, err = conn.Write(next)
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Read(make([]byte, 1))
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/x"
}

// TestAnswersWithoutEndStayWithinMemory guards against a process that runs out of memory because many calls at once get answers without
// end, and against failing sound answers beside them.
func TestAnswersWithoutEndStayWithinMemory(t *testing.T) {
	page := strings.Repeat("p", pageBytes)
	for name, a := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			url := serveRaw(c, a[0], a[1])
			sound := serveRaw(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n"+page+"\r\n0\r\n\r\n", "")
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
