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
	paymentCallers      = 200
	paymentLoadDuration = 2 * time.Second
)

// paymentStats is the result of runPaymentLoad. latencies holds only delivered payments.
type paymentStats struct {
	delivered, undelivered int
	latencies              []time.Duration
}

func (p paymentStats) percentile(n int) time.Duration {
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	return p.latencies[(len(p.latencies)-1)*n/100]
}

// runPaymentLoad sends payments from many callers through all nodes for paymentLoadDuration, each
// payment once and under its own key.
func runPaymentLoad(f *launcher.Fleet, name string) paymentStats {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var p paymentStats
	end := time.Now().Add(paymentLoadDuration)
	for n := range paymentCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				a := pay(f.Nodes[n%len(f.Nodes)], fmt.Sprintf("%s-%d-%d", name, n, i), 5*time.Second)
				mu.Lock()
				if a.Outcome == responder.Delivered {
					p.delivered++
					p.latencies = append(p.latencies, a.Took)
				} else {
					p.undelivered++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return p
}

// TestGroupCommitPaymentRate measures the payments per second of 8 nodes on a log limited to 400
// appends per second, with group commit and, as a baseline, without. Group commit must at least
// double the rate, and every key must run exactly once.
func TestGroupCommitPaymentRate(t *testing.T) {
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
		p := runPaymentLoad(f, "load")
		rates[batch] = float64(p.delivered) / paymentLoadDuration.Seconds()
		t.Logf("%s records per append: %.0f payments/s, median %v, p95 %v, not delivered %d",
			batch, rates[batch], p.percentile(50), p.percentile(95), p.undelivered)
		for key, n := range executions(f) {
			c.Assert(n, qt.Equals, 1, qt.Commentf(key))
		}
		for _, n := range f.Nodes {
			n.Kill()
		}
	}
	c.Assert(rates["256"] >= 2*rates["1"], qt.IsTrue, qt.Commentf("%v", rates))
}

// TestKeysOutliveLogRetention guards against a second execution of a key whose record has been trimmed
// from the log: it pays, waits beyond the retention time, and retries through a node that started
// since. The node must replay the first answer.
func TestKeysOutliveLogRetention(t *testing.T) {
	c := qt.New(t)
	retentionFlags := []string{"--log-keep", "4s"}
	f := launcher.NewFleet(t, "--keep", "4s")
	f.AddService("ledger", "ledger-1")
	f.AddNode("node-1", "", retentionFlags...)
	f.AddNode("node-2", "", retentionFlags...)
	f.Configure(24)
	awaitPayments(t, f)
	first := pay(f.Nodes[0], "old", 2*time.Second)
	c.Assert(first.Outcome, qt.Equals, responder.Delivered)
	time.Sleep(6 * time.Second)
	f.AddNode("node-3", "", retentionFlags...)
	launcher.Await(t, 6*time.Second, "node-3 replays the answer", func() bool {
		retry := pay(f.Nodes[2], "old", 2*time.Second)
		c.Assert(retry.Outcome != responder.Delivered || retry.Body == first.Body, qt.IsTrue, qt.Commentf("%+v", retry))
		return retry.Outcome == responder.Delivered
	})
	c.Assert(executions(f)["old"], qt.Equals, 1)
}
