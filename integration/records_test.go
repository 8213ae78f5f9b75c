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

// answer is what a caller of a plain service got.
type answer struct {
	Outcome    responder.Outcome
	Status     int
	Body       string
	RetryAfter string
	Took       time.Duration
	// Cut says that the connection broke, so that the caller was told nothing.
	Cut bool
}

// caller calls plain services without ever sending a call twice of its own.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func call(node *launcher.Process, method, service, path, key string, wait time.Duration) answer {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), wait+3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node.Address+"/services/"+service+path, bytes.NewReader([]byte("amount=5")))
	if err != nil {
		return answer{Cut: true}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+launcher.AccountKey)
	req.Header.Set("X-Deadline-Unix-Ms", strconv.FormatInt(started.Add(wait).UnixMilli(), 10))
	if key != "" {
		req.Header["Idempotency-Key"] = []string{key}
	}
	resp, err := caller.Do(req)
	if err != nil {
		return answer{Cut: true, Took: time.Since(started)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		Outcome: responder.Outcome(resp.Header.Get("X-Outcome")), Status: resp.StatusCode, Body: string(body),
		RetryAfter: resp.Header.Get("Retry-After"), Took: time.Since(started), Cut: err != nil,
	}
}

func pay(node *launcher.Process, key string, wait time.Duration) answer {
	return call(node, "POST", "ledger", "/payments", key, wait)
}

type execution struct {
	Key string `json:"key"`
}

// executions counts what the ledgers of the services hold, by key.
func executions(f *launcher.Fleet) map[string]int {
	n := map[string]int{}
	for id := range f.Services {
		for _, e := range launcher.Ledger[execution](f, id) {
			n[e.Key]++
		}
	}
	return n
}

// recordFleet starts nodes before two replicas of the ledger.
func recordFleet(t *testing.T, nodes int, platformFlags ...string) *launcher.Fleet {
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

// awaitPayments waits until every node has seen the services and can pay.
func awaitPayments(t *testing.T, f *launcher.Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		launcher.Await(t, 10*time.Second, n.Name+" pays", func() bool {
			return pay(n, fmt.Sprintf("warm-%d", warmed.Add(1)), 2*time.Second).Outcome == responder.Delivered
		})
	}
}

// warmed numbers the payments of awaitPayments.
var warmed atomic.Int64

// TestSameKeyAtEightNodes sends each key to all nodes at once.
func TestSameKeyAtEightNodes(t *testing.T) {
	c := qt.New(t)
	f := recordFleet(t, 8)
	const keys = 25
	answers := make([][]answer, keys)
	var wg sync.WaitGroup
	for k := range keys {
		answers[k] = make([]answer, len(f.Nodes))
		for i, n := range f.Nodes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[k][i] = pay(n, fmt.Sprintf("same-%d", k), 5*time.Second)
			}()
		}
	}
	wg.Wait()
	ran := executions(f)
	for k := range keys {
		key := fmt.Sprintf("same-%d", k)
		c.Check(ran[key], qt.Equals, 1, qt.Commentf(key))
		for _, a := range answers[k] {
			c.Check(a.Outcome, qt.Equals, responder.Delivered, qt.Commentf("%s: %+v", key, a))
			c.Check(a.Body, qt.Equals, answers[k][0].Body)
		}
	}
}

// TestLogFaults pays while the log is down, slow, loses answers and drops appends.
func TestLogFaults(t *testing.T) {
	f := recordFleet(t, 2)
	node := f.Nodes[0]
	for _, tc := range []struct {
		name    string
		fault   map[string]any
		outcome responder.Outcome
		within  time.Duration
	}{
		{"down", map[string]any{"down": true}, responder.NotRun, time.Second},
		{"slow", map[string]any{"delay_ms": 500}, responder.Delivered, 4 * time.Second},
		{"answer lost after effect", map[string]any{"lose_answers": 1}, responder.Delivered, time.Second},
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
			// Asked again, through the other node too, the key has run once.
			launcher.Await(t, 10*time.Second, "the key is delivered again", func() bool {
				return pay(f.Nodes[1], key, 2*time.Second).Outcome == responder.Delivered
			})
			c.Assert(executions(f)[key], qt.Equals, 1)
		})
	}
}

// TestServiceDropsTheAnswer runs a call whose answer is lost: it is unknown at every node and never runs again.
func TestServiceDropsTheAnswer(t *testing.T) {
	c := qt.New(t)
	f := recordFleet(t, 3)
	for _, s := range f.Services {
		f.SetFault(s, map[string]any{"drop_answers": 1})
	}
	first := pay(f.Nodes[0], "dropped", 3*time.Second)
	c.Assert(first.Outcome, qt.Equals, responder.Unknown, qt.Commentf("%+v", first))
	for _, n := range f.Nodes {
		again := pay(n, "dropped", 3*time.Second)
		c.Assert(again.Outcome, qt.Equals, responder.Unknown, qt.Commentf("%+v", again))
		c.Assert(again.Took < time.Second, qt.IsTrue)
	}
	c.Assert(executions(f)["dropped"], qt.Equals, 1)
	why, _ := f.Ctl("explain", "request/"+launcher.Team+"/studio/ledger/dropped")
	c.Assert(why, qt.Contains, "record claimed")
	c.Assert(why, qt.Contains, "reason=no_answer")
}

// ownerFault is one way in which a key's owner fails; the fleet's first node is the owner.
type ownerFault struct {
	name string
	// linkDelay delays what the owner says to the log, and serviceDelay what the service runs, in milliseconds.
	linkDelay, serviceDelay int
	kill                    bool
}

// TestOwnerKilled kills a key's owner before its claim is in the log, between claim
// and dispatch, and between dispatch and outcome.
func TestOwnerKilled(t *testing.T) {
	for _, tc := range []ownerFault{
		{name: "before claim", linkDelay: 10_000, kill: true},
		{name: "between claim and dispatch", linkDelay: 500, kill: true},
		{name: "between dispatch and outcome", serviceDelay: 1_000, kill: true},
	} {
		t.Run(tc.name, func(t *testing.T) { testOwnerFails(t, tc) })
	}
}

// TestOwnerFrozen freezes the owner at the same places, past every deadline, and lets it go on.
func TestOwnerFrozen(t *testing.T) {
	for _, tc := range []ownerFault{
		{name: "before claim", linkDelay: 10_000},
		{name: "between claim and dispatch", linkDelay: 500},
		{name: "between dispatch and outcome", serviceDelay: 1_000},
	} {
		t.Run(tc.name, func(t *testing.T) { testOwnerFails(t, tc) })
	}
}

func testOwnerFails(t *testing.T, tc ownerFault) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddService("ledger", "ledger-1")
	link := f.AddProxy("owner-log", f.Platform.Address)
	owner := f.AddNode("node-1", link.Address)
	others := []*launcher.Process{f.AddNode("node-2", ""), f.AddNode("node-3", "")}
	f.Configure(24)
	awaitPayments(t, f)
	f.SetFault(link, map[string]any{"delay_ms": tc.linkDelay})
	f.SetFault(f.Services["ledger-1"], map[string]any{"delay_ms": tc.serviceDelay})
	const wait = 1500 * time.Millisecond
	first := make(chan answer, 1)
	go func() { first <- pay(owner, "owned", wait) }()
	// A delayed claim is in the log by now, while what the owner reads is still on its way.
	time.Sleep(750 * time.Millisecond)
	if tc.kill {
		owner.Kill()
	} else {
		owner.Freeze()
		// The owner sleeps past every deadline and past being believed dead.
		time.Sleep(wait + time.Second)
		f.SetFault(link, map[string]any{"cut_open": true})
		f.SetFault(link, map[string]any{})
	}
	f.SetFault(f.Services["ledger-1"], map[string]any{})
	if tc.serviceDelay == 0 {
		c.Assert(executions(f)["owned"], qt.Equals, 0)
	}
	var answers []answer
	for i := range 8 {
		if i == 4 {
			owner.Thaw()
		}
		answers = append(answers, pay(others[i%2], "owned", wait))
		c.Check(answers[i].Took < wait+time.Second, qt.IsTrue, qt.Commentf("%+v", answers[i]))
	}
	answers = append(answers, <-first)
	// Whatever is left under way ends within the first request's deadline.
	time.Sleep(wait / 2)
	ran := executions(f)["owned"]
	c.Check(ran <= 1, qt.IsTrue, qt.Commentf("ran %d times", ran))
	checkTruth(c, ran, answers)
	t.Logf("ran %d, answers %v", ran, outcomes(answers))
}

func outcomes(answers []answer) map[responder.Outcome]int {
	n := map[responder.Outcome]int{}
	for _, a := range answers {
		outcome := a.Outcome
		if a.Cut {
			outcome = "cut"
		}
		n[outcome]++
	}
	return n
}

// checkTruth compares the answers of one key with the number of its executions.
func checkTruth(c *qt.C, ran int, answers []answer) {
	n := outcomes(answers)
	if n[responder.Delivered] > 0 {
		c.Check(ran, qt.Equals, 1, qt.Commentf("delivered, but ran %d times", ran))
	}
	if n[responder.NotRun] == len(answers) {
		c.Check(ran, qt.Equals, 0, qt.Commentf("each answer says not_run, but it ran"))
	}
}

// TestSilentConnections silences the pooled connections to the services: no lookup and
// no payment misses its deadline.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	var links []*launcher.Process
	for service, ids := range map[string][]string{"ledger": {"ledger-1", "ledger-2"}, "catalogue": {"catalogue-1", "catalogue-2"}} {
		for _, id := range ids {
			s := f.AddService(service, id)
			link := f.AddProxy(id+"-link", s.Address)
			links = append(links, link)
			f.ListVM(vmBehind(service, id, link))
		}
	}
	node := f.AddNode("node-1", "")
	f.Configure(24)
	awaitPayments(t, f)
	both := func(name string, i int) []answer {
		var answers []answer
		var wg sync.WaitGroup
		var mu sync.Mutex
		for n := range 10 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				look := call(node, "GET", "catalogue", "/titles", "", 2*time.Second)
				paid := pay(node, fmt.Sprintf("%s-%d-%d", name, i, n), 2*time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, look, paid)
			}()
		}
		wg.Wait()
		return answers
	}
	launcher.Await(t, 10*time.Second, "lookups are answered", func() bool {
		return call(node, "GET", "catalogue", "/t", "", time.Second).Outcome == responder.Delivered
	})
	both("warm", 0)
	for i := range 3 {
		for _, link := range links {
			f.SetFault(link, map[string]any{"silence_open": true})
		}
		for _, a := range both("silent", i) {
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

func vmBehind(service, id string, link *launcher.Process) platformcaller.VM {
	return platformcaller.VM{ID: id, Role: platformcaller.RoleService, Service: identifier.ServiceID(service), Address: link.Address, DataCentre: "plateau"}
}
