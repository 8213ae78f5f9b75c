package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/answerrepeater"
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

// TestNodeOutlivesAnswersWithoutEnd guards against a node that runs out of memory by the answers of a target in trouble that do not end, and
// against failing the calls of other targets meanwhile.
func TestNodeOutlivesAnswersWithoutEnd(t *testing.T) {
	// The parts are chunks; after another head, they are bytes.
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	t.Setenv("FUCHSIABRIDGE_ANSWER_MEMORY", fmt.Sprint(answerMemoryMB))
	for framing, fields := range map[string]string{"length": "Content-Length: 60000000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n", "until close": "\r\n"} {
		t.Run(framing, func(t *testing.T) {
			c := qt.New(t)
			endless, err := answerrepeater.Serve(t.Context(), answerrepeater.Answer{Head: "HTTP/1.1 200 OK\r\n" + fields, Part: chunk})
			c.Assert(err, qt.IsNil)
			f := launcher.NewFleet(t)
			f.AddService("catalogue", "catalogue-1")
			f.ListVM(platformcaller.VM{ID: "ledger-1", Role: platformcaller.RoleService, Service: "ledger", Address: endless.Address, DataCentre: "a"})
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
