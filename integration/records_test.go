package integration_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/integration/launcher"
)

// callResult is what the caller of a plain service received.
type callResult struct {
	Outcome    responder.Outcome
	Status     int
	Body       string
	RetryAfter string
	Took       time.Duration
	// ConnectionLost reports that the connection broke, so that the caller got no outcome.
	ConnectionLost bool
}

// serviceClient uses a new connection per call, so that net/http does not retry a call itself.
var serviceClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func callService(node *launcher.Process, method, service, path, key string, timeout time.Duration) callResult {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.Address+"/services/"+service+path, bytes.NewReader([]byte("amount=5")))
	if err != nil {
		return callResult{ConnectionLost: true}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+launcher.AccountKey)
	req.Header.Set("X-Deadline-Unix-Ms", strconv.FormatInt(started.Add(timeout).UnixMilli(), 10))
	if key != "" {
		req.Header["Idempotency-Key"] = []string{key}
	}
	resp, err := serviceClient.Do(req)
	if err != nil {
		return callResult{ConnectionLost: true, Took: time.Since(started)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callResult{
		Outcome: responder.Outcome(resp.Header.Get("X-Outcome")), Status: resp.StatusCode, Body: string(body),
		RetryAfter: resp.Header.Get("Retry-After"), Took: time.Since(started), ConnectionLost: err != nil,
	}
}

func pay(node *launcher.Process, key string, timeout time.Duration) callResult {
	return callService(node, "POST", "ledger", "/payments", key, timeout)
}

// execution is one line of a service's ledger.
type execution struct {
	Key string `json:"key"`
}

// executions counts the executions in the ledgers of all services, by key.
func executions(f *launcher.Fleet) map[string]int {
	n := map[string]int{}
	for id := range f.Services {
		for _, e := range launcher.Ledger[execution](f, id) {
			n[e.Key]++
		}
	}
	return n
}

// newRecordFleet starts two replicas of the ledger service and the given number of nodes. The payments of
// that service are records: requests that must not run twice under the same idempotency key.
func newRecordFleet(t *testing.T, nodes int, platformFlags ...string) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t, platformFlags...)
	f.AddService("ledger", "ledger-1")
	f.AddService("ledger", "ledger-2")
	for i := range nodes {
		f.AddNode(fmt.Sprintf("node-%d", i+1), "")
	}
	f.Configure(24)
	awaitPayments(t, f)
	return f
}

// awaitPayments waits until a payment succeeds through every node.
func awaitPayments(t *testing.T, f *launcher.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		launcher.Await(t, 10*time.Second, n.Name+" delivers a payment", func() bool {
			return pay(n, fmt.Sprintf("warm-%d", warmUpPayments.Add(1)), 2*time.Second).Outcome == responder.Delivered
		})
	}
}

// quietTime is how long the nodes' offsets must stay the same until the log counts as quiet.
const quietTime = 300 * time.Millisecond

// awaitQuietLog waits until all nodes have read all records of the log, and none is being appended. A node that lacks records would get
// those that follow from its peers, however slow its own link to the log is.
func awaitQuietLog(c *qt.C, f *launcher.Fleet) {
	c.Helper()
	offset, since := identifier.Offset(0), time.Time{}
	launcher.Await(c, 10*time.Second, "the log is quiet", func() bool {
		for _, n := range f.Nodes {
			if got := readStatus(c, n).Offset; got != offset {
				offset, since = got, time.Now()
			}
		}
		return offset > 0 && time.Since(since) >= quietTime
	})
}

// warmUpPayments numbers the payments of awaitPayments.
var warmUpPayments atomic.Int64

// TestSameKeyAtEightNodesRunsOnce sends each key to all nodes at the same time. It must run once, and
// every node must deliver the same answer.
func TestSameKeyAtEightNodesRunsOnce(t *testing.T) {
	c := qt.New(t)
	f := newRecordFleet(t, 8)
	const keys = 25
	answers := make([][]callResult, keys)
	var wg sync.WaitGroup
	for k := range keys {
		answers[k] = make([]callResult, len(f.Nodes))
		for i, n := range f.Nodes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[k][i] = pay(n, fmt.Sprintf("same-%d", k), 5*time.Second)
			}()
		}
	}
	wg.Wait()
	runs := executions(f)
	for k := range keys {
		key := fmt.Sprintf("same-%d", k)
		c.Check(runs[key], qt.Equals, 1, qt.Commentf(key))
		for _, a := range answers[k] {
			c.Check(a.Outcome, qt.Equals, responder.Delivered, qt.Commentf("%s: %+v", key, a))
			c.Check(a.Body, qt.Equals, answers[k][0].Body)
		}
	}
}

// TestPaymentsDuringLogFaults pays while the log is down, slow, loses an answer or drops an append. A
// payment must not run unless it is in the log, and a retry through another node must not run it again.
func TestPaymentsDuringLogFaults(t *testing.T) {
	f := newRecordFleet(t, 2)
	node := f.Nodes[0]
	for _, tc := range []struct {
		name    string
		fault   map[string]any
		outcome responder.Outcome
		within  time.Duration
	}{
		{"down", map[string]any{"down": true}, responder.NotRun, time.Second},
		{"slow", map[string]any{"delay_ms": 500}, responder.Delivered, 4 * time.Second},
		{"answer lost after append", map[string]any{"lose_answers": 1}, responder.Delivered, time.Second},
		{"append dropped", map[string]any{"drop_appends": 1}, responder.Delivered, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			key := "log-" + tc.name
			f.SetFault(f.Platform, tc.fault)
			a := pay(node, key, 8*time.Second)
			f.SetFault(f.Platform, map[string]any{})
			awaitPayments(t, f)
			c.Assert(a.Outcome, qt.Equals, tc.outcome, qt.Commentf("%+v", a))
			c.Assert(a.Took < tc.within, qt.IsTrue, qt.Commentf("took %v", a.Took))
			if tc.outcome == responder.NotRun {
				c.Assert(a.RetryAfter, qt.Not(qt.Equals), "")
				c.Assert(executions(f)[key], qt.Equals, 0)
			}
			// A retry through the other node must not run the key a second time.
			launcher.Await(t, 10*time.Second, "the retry is delivered", func() bool {
				return pay(f.Nodes[1], key, 2*time.Second).Outcome == responder.Delivered
			})
			c.Assert(executions(f)[key], qt.Equals, 1)
		})
	}
}

// TestLostServiceAnswerIsUnknown loses the service's answer to a call that ran. Every node must report
// the outcome as unknown, and the call must never run again.
func TestLostServiceAnswerIsUnknown(t *testing.T) {
	c := qt.New(t)
	f := newRecordFleet(t, 3)
	for _, s := range f.Services {
		f.SetFault(s, map[string]any{"drop_answers": 1})
	}
	first := pay(f.Nodes[0], "dropped", 3*time.Second)
	c.Assert(first.Outcome, qt.Equals, responder.Unknown, qt.Commentf("%+v", first))
	for _, n := range f.Nodes {
		retry := pay(n, "dropped", 3*time.Second)
		c.Assert(retry.Outcome, qt.Equals, responder.Unknown, qt.Commentf("%+v", retry))
		c.Assert(retry.Took < time.Second, qt.IsTrue)
	}
	c.Assert(executions(f)["dropped"], qt.Equals, 1)
	explanation, _ := f.FBCtl("explain", "request/"+launcher.Team+"/studio/ledger/dropped")
	c.Assert(explanation, qt.Contains, "record claimed")
	c.Assert(explanation, qt.Contains, "reason=no_answer")
}

// ownerFault is a failure of the node that owns a key: the node that received its first request and claims
// it in the log.
type ownerFault struct {
	name string
	// linkDelay delays the owner's connection to the log, and serviceDelay the service, in milliseconds.
	linkDelay, serviceDelay int
	kill                    bool
}

// TestOwnerKilled kills the owner of a key before its claim is in the log, between claim and dispatch,
// and between dispatch and outcome. The key must run at most once, and no caller may get a wrong
// outcome.
func TestOwnerKilled(t *testing.T) {
	for _, tc := range []ownerFault{
		{name: "before claim", linkDelay: 10_000, kill: true},
		{name: "between claim and dispatch", linkDelay: 500, kill: true},
		{name: "between dispatch and outcome", serviceDelay: 1_000, kill: true},
	} {
		t.Run(tc.name, func(t *testing.T) { testOwnerFailure(t, tc) })
	}
}

// TestOwnerPaused pauses the owner at the same points until the deadline of its request has passed and
// other nodes have answered retries, and resumes it. The same must hold.
func TestOwnerPaused(t *testing.T) {
	for _, tc := range []ownerFault{
		{name: "before claim", linkDelay: 10_000},
		{name: "between claim and dispatch", linkDelay: 500},
		{name: "between dispatch and outcome", serviceDelay: 1_000},
	} {
		t.Run(tc.name, func(t *testing.T) { testOwnerFailure(t, tc) })
	}
}

func testOwnerFailure(t *testing.T, tc ownerFault) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddService("ledger", "ledger-1")
	link := f.AddProxy("owner-log", f.Platform.Address)
	owner := f.AddNode("node-1", link.Address)
	others := []*launcher.Process{f.AddNode("node-2", ""), f.AddNode("node-3", "")}
	f.Configure(24)
	awaitPayments(t, f)
	awaitQuietLog(c, f)
	f.SetFault(link, map[string]any{"delay_ms": tc.linkDelay})
	f.SetFault(f.Services["ledger-1"], map[string]any{"delay_ms": tc.serviceDelay})
	const timeout = 1500 * time.Millisecond
	first := make(chan callResult, 1)
	go func() { first <- pay(owner, "owned", timeout) }()
	// With a link delay of 500 ms, the claim is in the log by now, but the owner has no answer yet.
	time.Sleep(750 * time.Millisecond)
	if tc.kill {
		owner.Kill()
	} else {
		owner.Pause()
		// Wait until the first request's deadline has passed and the peers consider the owner dead.
		time.Sleep(timeout + time.Second)
		// Cut the owner's open connections to the log and end the delay.
		f.SetFault(link, map[string]any{"cut_open": true})
		f.SetFault(link, map[string]any{})
	}
	f.SetFault(f.Services["ledger-1"], map[string]any{})
	if tc.serviceDelay == 0 {
		c.Assert(executions(f)["owned"], qt.Equals, 0)
	}
	var answers []callResult
	for i := range 8 {
		if i == 4 {
			owner.Resume()
		}
		answers = append(answers, pay(others[i%2], "owned", timeout))
		c.Check(answers[i].Took < timeout+time.Second, qt.IsTrue, qt.Commentf("%+v", answers[i]))
	}
	answers = append(answers, <-first)
	// Let work that is still in progress end.
	time.Sleep(timeout / 2)
	runs := executions(f)["owned"]
	c.Check(runs <= 1, qt.IsTrue, qt.Commentf("ran %d times", runs))
	checkReportedOutcomes(c, runs, answers)
	t.Logf("%d executions, outcomes %v", runs, countOutcomes(answers))
}

// countOutcomes counts the answers by outcome, and lost connections as "cut".
func countOutcomes(answers []callResult) map[responder.Outcome]int {
	n := map[responder.Outcome]int{}
	for _, a := range answers {
		outcome := a.Outcome
		if a.ConnectionLost {
			outcome = "cut"
		}
		n[outcome]++
	}
	return n
}

// checkReportedOutcomes compares the outcomes that callers of one key got with the number of its executions.
func checkReportedOutcomes(c *qt.C, runs int, answers []callResult) {
	n := countOutcomes(answers)
	if n[responder.Delivered] > 0 {
		c.Check(runs, qt.Equals, 1, qt.Commentf("delivered, but ran %d times", runs))
	}
	if n[responder.NotRun] == len(answers) {
		c.Check(runs, qt.Equals, 0, qt.Commentf("all outcomes are not_run, but the key ran"))
	}
}

// TestStalledServiceConnections stalls the pooled connections to the services: requests must move to new
// connections, so that no lookup and no payment misses its deadline, and no key runs twice.
func TestStalledServiceConnections(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	var links []*launcher.Process
	for service, ids := range map[string][]string{"ledger": {"ledger-1", "ledger-2"}, "catalogue": {"catalogue-1", "catalogue-2"}} {
		for _, id := range ids {
			s := f.AddService(service, id)
			link := f.AddProxy(id+"-link", s.Address)
			links = append(links, link)
			f.ListVM(proxiedVM(service, id, link))
		}
	}
	node := f.AddNode("node-1", "")
	f.Configure(24)
	awaitPayments(t, f)
	callBoth := func(name string, i int) []callResult {
		var answers []callResult
		var wg sync.WaitGroup
		var mu sync.Mutex
		for n := range 10 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				lookup := callService(node, "GET", "catalogue", "/titles", "", 2*time.Second)
				payment := pay(node, fmt.Sprintf("%s-%d-%d", name, i, n), 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, lookup, payment)
			}()
		}
		wg.Wait()
		return answers
	}
	launcher.Await(t, 10*time.Second, "lookups are delivered", func() bool {
		return callService(node, "GET", "catalogue", "/t", "", time.Second).Outcome == responder.Delivered
	})
	callBoth("warm", 0)
	for i := range 3 {
		for _, link := range links {
			f.SetFault(link, map[string]any{"silence_open": true})
		}
		for _, a := range callBoth("silent", i) {
			c.Check(a.Outcome, qt.Equals, responder.Delivered, qt.Commentf("%+v", a))
			c.Check(a.Took < 2*time.Second, qt.IsTrue, qt.Commentf("%+v", a))
		}
	}
	for key, n := range executions(f) {
		if key != "" {
			c.Check(n, qt.Equals, 1, qt.Commentf(key))
		}
	}
}

func proxiedVM(service, id string, link *launcher.Process) platformcaller.VM {
	return platformcaller.VM{ID: id, Role: platformcaller.RoleService, Service: identifier.ServiceID(service), Address: link.Address, DataCentre: "plateau"}
}
