package integration_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/integration/launcher"
)

const (
	// answerMemoryMB is the setting of the tested processes, given in the environment, which programs without it ignore.
	answerMemoryMB = 32
	// maxAnswerMemoryMB is the bound: what a process may need without answers, and those.
	maxAnswerMemoryMB = ownMemoryMB + answerMemoryMB
	// endlessCallers call a service whose answers do not end, in two rounds.
	endlessCallers = 40
	endlessTimeout = 30 * time.Second
	// chunkBytes is the size of the parts in which these answers come.
	chunkBytes = 64 << 10
)

// serveEndless answers each connection with a head, and with chunks until the caller closes.
func serveEndless(c *qt.C, head string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	first, next := []byte(head), []byte(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := conn.Write(first)
				for err == nil {
					_, err = conn.Write(next)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestNodeOutlivesAnswersWithoutEnd guards against a node that runs out of memory by the answers of a target in trouble that do not end, and
// against failing the calls of other targets meanwhile.
func TestNodeOutlivesAnswersWithoutEnd(t *testing.T) {
	t.Setenv("FUCHSIABRIDGE_ANSWER_MEMORY", fmt.Sprint(answerMemoryMB))
	for framing, fields := range map[string]string{"length": "Content-Length: 60000000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n", "until close": "\r\n"} {
		t.Run(framing, func(t *testing.T) {
			c := qt.New(t)
			f := launcher.NewFleet(t)
			f.AddService("catalogue", "catalogue-1")
			f.ListVM(platformcaller.VM{ID: "ledger-1", Role: platformcaller.RoleService, Service: "ledger", Address: serveEndless(c, "HTTP/1.1 200 OK\r\n"+fields), DataCentre: "a"})
			p := f.AddNode("node-1", "")
			f.Configure(1)
			isServed := func(service string) bool {
				r := callService(p, http.MethodGet, service, "/1", "", endlessTimeout)
				return r.Status == http.StatusOK && !r.ConnectionLost
			}
			launcher.Await(t, endlessTimeout, "the node serves the catalogue", func() bool { return isServed("catalogue") })
			var wg sync.WaitGroup
			for range endlessCallers {
				wg.Go(func() {
					for range 2 {
						c.Check(isServed("ledger"), qt.IsFalse)
					}
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			for isRunning := true; isRunning; {
				c.Check(isServed("catalogue"), qt.IsTrue)
				select {
				case <-done:
					isRunning = false
				case <-time.After(50 * time.Millisecond):
				}
			}
			c.Assert(p.Exited(), qt.IsFalse)
			memory := p.PeakMemoryMB(t)
			t.Logf("at most %d MB", memory)
			c.Check(memory <= maxAnswerMemoryMB, qt.IsTrue, qt.Commentf("%d MB, allowed %d", memory, maxAnswerMemoryMB))
		})
	}
}
