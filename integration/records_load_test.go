package integration_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/integration/launcher"
)

const (
	payers     = 200
	payingTime = 2 * time.Second
)

// paid is how a while of payments went.
type paid struct {
	delivered, other int
	took             []time.Duration
}

func (p paid) percentile(n int) time.Duration {
	if len(p.took) == 0 {
		return 0
	}
	slices.Sort(p.took)
	return p.took[(len(p.took)-1)*n/100]
}

// payAll pays from many callers through all nodes, each payment once under a key of its own.
func payAll(f *launcher.Fleet, name string) paid {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var p paid
	end := time.Now().Add(payingTime)
	for n := range payers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				a := pay(f.Nodes[n%len(f.Nodes)], fmt.Sprintf("%s-%d-%d", name, n, i), 5*time.Second)
				mu.Lock()
				if a.Outcome == responder.Delivered {
					p.delivered++
					p.took = append(p.took, a.Took)
				} else {
					p.other++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return p
}

// TestPaymentsASecond measures payments a second of 8 nodes at one log of 400 appends a
// second, with group commit and, as a baseline, without.
func TestPaymentsASecond(t *testing.T) {
	c := qt.New(t)
	rates := map[string]float64{}
	for _, batch := range []string{"1", "256"} {
		f := launcher.NewFleet(t, "--appends-per-second", "400")
		f.AddService("ledger", "ledger-1")
		for i := range 8 {
			f.AddNode(fmt.Sprintf("node-%d", i+1), "", "--log-batch", batch)
		}
		f.Configure(24)
		awaitPayments(t, f)
		p := payAll(f, "load")
		rates[batch] = float64(p.delivered) / payingTime.Seconds()
		t.Logf("records in an append %s: %.0f payments a second, median %v, 95th %v, not delivered %d",
			batch, rates[batch], p.percentile(50), p.percentile(95), p.other)
		for key, n := range executions(f) {
			c.Assert(n, qt.Equals, 1, qt.Commentf(key))
		}
		for _, n := range f.Nodes {
			n.Kill()
		}
	}
	c.Assert(rates["256"] >= 2*rates["1"], qt.IsTrue, qt.Commentf("%v", rates))
}

// TestKeysOutliveTheLog pays, waits until the log has forgotten the payment, and asks
// again through a node that started since: the answer is replayed.
func TestKeysOutliveTheLog(t *testing.T) {
	c := qt.New(t)
	keep := []string{"--log-keep", "4s"}
	f := launcher.NewFleet(t, "--keep", "4s")
	f.AddService("ledger", "ledger-1")
	f.AddNode("node-1", "", keep...)
	f.AddNode("node-2", "", keep...)
	f.Configure(24)
	awaitPayments(t, f)
	first := pay(f.Nodes[0], "old", 2*time.Second)
	c.Assert(first.Outcome, qt.Equals, responder.Delivered)
	time.Sleep(6 * time.Second)
	f.AddNode("node-3", "", keep...)
	launcher.Await(t, 6*time.Second, "node-3 replays", func() bool {
		again := pay(f.Nodes[2], "old", 2*time.Second)
		c.Assert(again.Outcome != responder.Delivered || again.Body == first.Body, qt.IsTrue, qt.Commentf("%+v", again))
		return again.Outcome == responder.Delivered
	})
	c.Assert(executions(f)["old"], qt.Equals, 1)
}
