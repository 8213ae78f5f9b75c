package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/storefaker"
	"fuchsiabridge.example/platform/targetfaker"
)

// The times of the users' record: a poison request comes again every poisonPeriod, is sent to a second target after
// half of variantObjective and, when that has failed, comes again at another node after callerRetryDelay.
const (
	poisonPeriod     = 3600 * time.Millisecond
	poisonVariants   = 6
	callerRetryDelay = 100 * time.Millisecond
	poisonRunTime    = 75 * time.Millisecond
	siblingInterval  = 60 * time.Millisecond
	variantObjective = 100 * time.Millisecond
	// otherHost is a second host with the same routes, and otherKey a second key of the same account.
	otherHost = "other.example"
	otherKey  = "key-1"
)

// poisonVariant is how a request differs the n-th time that it comes.
type poisonVariant struct {
	method string
	path   string
	caller callerfaker.Caller
}

// variantRun plays the users' record with a poison request that differs each time that it comes.
type variantRun struct {
	*poisonRun
	vary func(n int) poisonVariant
}

// newVariantRun starts three nodes before three plain targets, which are away for some seconds after a crash.
func newVariantRun(t *testing.T, vary func(n int) poisonVariant) *variantRun {
	t.Helper()
	s := &variantRun{poisonRun: newPoisonRun(t, ""), vary: vary}
	s.version, s.keys = 2, []string{"key-0", otherKey}
	s.Assert(s.store.PutConfiguration(storefaker.SampleOfTwoHosts(s.version, otherHost, variantObjective, s.keys...)), qt.IsNil)
	for _, dc := range []string{"a", "b", "c"} {
		s.fleet.SetCrashDelay("ledger-"+dc, poisonRunTime)
	}
	return s
}

// sendVariant sends the request as it comes the n-th time, and once more to the next node if it fails.
func (s *variantRun) sendVariant(n int) {
	for try := range 2 {
		v := s.vary(n)
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		v.caller.Address = s.node(n + try).Address
		if v.caller.Key == "" {
			v.caller.Key = "key-0"
		}
		status, _, err := v.caller.Send(ctx, v.method, v.path, fmt.Sprintf("poison-%d-%d", n, try))
		cancel()
		if err == nil && status == http.StatusOK {
			s.t.Errorf("coming %d of the poison request was answered with 200", n)
		}
		if err == nil && status == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(callerRetryDelay)
	}
}

// playVariants lets the poison request come, and sends other requests beside it.
func (s *variantRun) playVariants() {
	s.until = time.Now().Add(poisonPeriod * poisonVariants)
	var wg sync.WaitGroup
	for i := range relaySoakCallers / 2 {
		wg.Go(func() { s.sendRequests(i, rand.New(rand.NewPCG(1, uint64(i)))) })
	}
	for n := range poisonVariants {
		s.sendVariant(n)
		time.Sleep(poisonPeriod)
	}
	wg.Wait()
	s.countServed()
}

// checkVariants plays one run for each way in which the request may differ.
func checkVariants(t *testing.T, ways map[string]func(n int) poisonVariant) {
	t.Helper()
	t.Parallel()
	for name, vary := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVariantRun(t, vary)
			s.playVariants()
			s.checkLimit()
		})
	}
}

const variantPath = "/view" + targetfaker.PoisonSuffix

func getFrom(caller callerfaker.Caller) poisonVariant {
	return poisonVariant{method: http.MethodGet, path: variantPath, caller: caller}
}

// TestPoisonIsRefusedAtTimesOfRecord guards against a poison request that goes on crashing targets though it is the same,
// or comes with another key of its account, framing or header, when it is sent to a second target while the first one runs it.
func TestPoisonIsRefusedAtTimesOfRecord(t *testing.T) {
	checkVariants(t, map[string]func(n int) poisonVariant{
		"the same":    func(int) poisonVariant { return getFrom(callerfaker.Caller{}) },
		"another key": func(n int) poisonVariant { return getFrom(callerfaker.Caller{Key: []string{"key-0", otherKey}[n%2]}) },
		"another framing and header": func(n int) poisonVariant {
			return getFrom(callerfaker.Caller{IsChunked: n%2 == 0, Timeout: 2*time.Second + time.Duration(n)*time.Millisecond, Header: http.Header{
				"User-Agent": {fmt.Sprint("client/", n)}, "Last-Event-Id": {fmt.Sprint(n)},
			}})
		},
	})
}

// TestPoisonIsRefusedAsItDiffers guards against a poison request that goes on crashing targets because it comes with
// another query, method or host each time, with the same path, caller and body.
func TestPoisonIsRefusedAsItDiffers(t *testing.T) {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch, "REPORT"}
	hosts := []string{callerfaker.Host, strings.ToUpper(callerfaker.Host), callerfaker.Host + ":80", otherHost, strings.ToUpper(otherHost), otherHost + ":80"}
	checkVariants(t, map[string]func(n int) poisonVariant{
		"another query": func(n int) poisonVariant {
			return poisonVariant{method: http.MethodGet, path: fmt.Sprintf("%s?page=%d&sort=new", variantPath, n)}
		},
		"another method": func(n int) poisonVariant { return poisonVariant{method: methods[n], path: variantPath} },
		"another host":   func(n int) poisonVariant { return getFrom(callerfaker.Caller{Host: hosts[n]}) },
	})
}

// TestSiblingsOfPoisonAreServedByAllNodes guards against refusing requests that differ from a poison request in their query only.
func TestSiblingsOfPoisonAreServedByAllNodes(t *testing.T) {
	t.Parallel()
	const path = "/view/list?"
	s := newVariantRun(t, func(int) poisonVariant {
		return poisonVariant{method: http.MethodGet, path: path + targetfaker.PoisonArgument + "=1"}
	})
	refused, sent := 0, 0
	until := time.Now().Add(poisonPeriod * poisonVariants)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			time.Sleep(siblingInterval)
			c := callerfaker.Caller{Address: s.node(n).Address, Key: "key-0"}
			status, _, err := c.Send(context.Background(), http.MethodGet, fmt.Sprint(path, "page=", n), fmt.Sprint("sibling-", n))
			s.Check(err, qt.IsNil)
			// While all targets are away, each request is refused as not run.
			if sent++; status == http.StatusBadGateway && len(s.fleet.Attempts(fmt.Sprint("sibling-", n))) == 0 {
				refused++
			}
		}
	})
	s.playVariants()
	wg.Wait()
	s.checkLimit()
	s.Check(refused, qt.Equals, 0, qt.Commentf("of %d siblings", sent))
	for n := range 2 * relaySoakNodes {
		c := callerfaker.Caller{Address: s.node(n).Address, Key: "key-0"}
		status, _, err := c.Send(context.Background(), http.MethodGet, fmt.Sprint(path, "last=", n), fmt.Sprint("last-", n))
		s.Check(err, qt.IsNil)
		s.Check(status, qt.Equals, http.StatusOK)
	}
}
