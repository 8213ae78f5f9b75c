package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/integration/launcher"
)

const (
	// inForceWithin is the stated bound from a change's acceptance to its being in force everywhere.
	inForceWithin = 8 * time.Second
	configPath    = "accounts/studio/weight"
	// configKeep is the log's retention, shorter than the test.
	configKeep = "3s"
)

var operatorClient = &http.Client{Timeout: 10 * time.Second}

// operate calls the operators' interface of a node; with status 0 it gave no answer.
func operate(node *launcher.Process, method, path string, in, out any) (int, responder.Refusal) {
	raw, _ := json.Marshal(in)
	req, err := http.NewRequest(method, "http://"+node.Address+path, bytes.NewReader(raw))
	if err != nil {
		return 0, responder.Refusal{}
	}
	req.Header.Set("Authorization", "Bearer "+launcher.OperatorKey)
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, responder.Refusal{}
	}
	defer resp.Body.Close()
	var refusal responder.Refusal
	if resp.StatusCode/100 != 2 {
		_ = json.NewDecoder(resp.Body).Decode(&refusal)
		return resp.StatusCode, refusal
	}
	if json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0, refusal
	}
	return resp.StatusCode, refusal
}

func treeOf(node *launcher.Process) (*configurer.Tree, bool) {
	tree := configurer.NewTree()
	status, _ := operate(node, http.MethodGet, "/operator/tree", nil, tree)
	return tree, status == http.StatusOK
}

func weightChange(id string, expected identifier.Revision, weight int) configurer.Change {
	return configurer.Change{
		ID: identifier.ChangeID(id), Team: launcher.Team, Expected: expected, Author: "operator of " + id,
		Set: map[string]json.RawMessage{configPath: json.RawMessage(fmt.Sprint(weight))},
	}
}

// logEventsOf returns the numbers of a node's events about the log.
func logEventsOf(node *launcher.Process) []int {
	var events []struct {
		Event int `json:"event"`
	}
	operate(node, http.MethodGet, "/operator/explain?subject=log", nil, &events)
	var numbers []int
	for _, e := range events {
		numbers = append(numbers, e.Event)
	}
	return numbers
}

// told is what an operator was told of a change.
type told struct {
	change  configurer.Change
	at      time.Time
	status  int
	outcome responder.Outcome
	verdict configurer.Verdict
}

func publish(node *launcher.Process, change configurer.Change) told {
	r := told{change: change}
	status, refusal := operate(node, http.MethodPost, "/operator/changes", change, &r.verdict)
	r.at, r.status, r.outcome = time.Now(), status, refusal.Outcome
	return r
}

// settled asks again under the same id, through one node after another, until the verdict is known.
func settled(t *testing.T, nodes []*launcher.Process, first int, change configurer.Change) told {
	t.Helper()
	for n, deadline := 0, time.Now().Add(inForceWithin); time.Now().Before(deadline); n++ {
		r := publish(nodes[(first+n)%len(nodes)], change)
		if r.status == http.StatusOK {
			return r
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("change %s got no verdict", change.ID)
	return told{change: change}
}

// history follows the tree of every node while the test runs, and collects what went back.
type history struct {
	mu        sync.Mutex
	revisions map[string]identifier.Revision
	offsets   map[string]identifier.Offset
	// values holds the value at each revision that any node showed.
	values  map[identifier.Revision]string
	reached map[identifier.Revision]map[string]time.Time
	faults  []string
	// backAt is when a frozen or replaced node ran again.
	backAt map[string]time.Time
}

func newHistory() *history {
	return &history{
		revisions: map[string]identifier.Revision{}, offsets: map[string]identifier.Offset{},
		values: map[identifier.Revision]string{}, reached: map[identifier.Revision]map[string]time.Time{},
		backAt: map[string]time.Time{},
	}
}

func (h *history) back(node *launcher.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backAt[node.Address] = time.Now()
}

// showsOnAll reports whether every node was seen at the revision.
func (h *history) showsOnAll(nodes []*launcher.Process, revision identifier.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(nodes, func(n *launcher.Process) bool { return h.revisions[n.Address] != revision })
}

// took returns the time from a change's acceptance, or from when the node ran again, to the
// change being in force on the node.
func (h *history) took(c *qt.C, r told, node *launcher.Process) time.Duration {
	reached, ok := h.reached[r.verdict.Revision][node.Address]
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s never showed revision %d", node.Name, r.verdict.Revision))
	from := r.at
	if back := h.backAt[node.Address]; back.After(from) {
		from = back
	}
	return reached.Sub(from)
}

func (h *history) note(node *launcher.Process, tree *configurer.Tree) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sub, key := tree.Get(launcher.Team), node.Address
	if sub.Revision < h.revisions[key] || tree.Offset < h.offsets[key] {
		h.faults = append(h.faults, fmt.Sprintf("%s went back to revision %d, offset %d", node.Name, sub.Revision, tree.Offset))
	}
	value := string(sub.Values[configPath])
	if known, ok := h.values[sub.Revision]; ok && known != value {
		h.faults = append(h.faults, fmt.Sprintf("%s shows %s at revision %d, another node %s", node.Name, value, sub.Revision, known))
	}
	h.values[sub.Revision] = value
	now := time.Now()
	for r := h.revisions[key] + 1; r <= sub.Revision; r++ {
		if h.reached[r] == nil {
			h.reached[r] = map[string]time.Time{}
		}
		h.reached[r][key] = now
	}
	h.revisions[key], h.offsets[key] = sub.Revision, tree.Offset
}

// follow polls the node's tree until stop is closed.
func (h *history) follow(node *launcher.Process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if tree, ok := treeOf(node); ok {
			h.note(node, tree)
		}
	}
}

func eightNodes(t *testing.T) *launcher.Fleet {
	f := launcher.NewFleet(t, "--keep", configKeep)
	for n := range 8 {
		f.AddNode(fmt.Sprintf("node-%d", n+1), "", "--log-keep", configKeep)
	}
	f.Configure(24, configPath+"=1")
	return f
}

// TestRacingOperators has two or three operators race each other 100 times through
// different nodes, while the platform loses answers, drops appends, is slow and is down,
// one node is frozen and thawed, and one is killed and replaced after retention. What each
// was told is true, accepted changes come into force on all 8 nodes in time and never
// revert, rejected ones are nowhere.
func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	f := eightNodes(t)
	h, stop := newHistory(), make(chan struct{})
	var followers sync.WaitGroup
	follow := func(node *launcher.Process) { followers.Go(func() { h.follow(node, stop) }) }
	for _, node := range f.Nodes {
		follow(node)
	}
	random := rand.New(rand.NewSource(20261203))
	tree, ok := treeOf(f.Nodes[0])
	c.Assert(ok, qt.IsTrue)
	revision := tree.Get(launcher.Team).Revision
	accepted, rejected := map[identifier.Revision]told{}, []told{}
	for race := range 100 {
		if back := disturb(f, race); back != nil {
			h.back(back)
			if back.Name == "node-8" {
				follow(back)
			}
		}
		results := make([]told, 2+random.Intn(2))
		var operators sync.WaitGroup
		// The last two nodes are frozen or killed: operators use the others.
		firsts := random.Perm(6)
		for n := range results {
			change := weightChange(fmt.Sprintf("race-%d-%d", race, n), revision, 2+race*4%900+n)
			operators.Go(func() { results[n] = settled(t, f.Nodes[:6], firsts[n], change) })
		}
		operators.Wait()
		for _, r := range results {
			if r.verdict.Accepted {
				c.Assert(r.verdict.Revision, qt.Equals, revision+1)
				_, twice := accepted[r.verdict.Revision]
				c.Assert(twice, qt.IsFalse, qt.Commentf("race %d has two winners", race))
				accepted[r.verdict.Revision] = r
				continue
			}
			rejected = append(rejected, r)
		}
		revision++
		c.Assert(accepted[revision].verdict.Accepted, qt.IsTrue, qt.Commentf("race %d has no winner", race))
	}
	f.SetFault(f.Platform, map[string]any{})
	launcher.Await(t, inForceWithin, "the last change is in force on every node", func() bool { return h.showsOnAll(f.Nodes, revision) })
	close(stop)
	followers.Wait()
	c.Assert(logEventsOf(f.Nodes[7]), qt.Contains, eventlogger.StateInstalled.Number)
	c.Assert(h.faults, qt.HasLen, 0)
	checkVerdicts(c, f, accepted, rejected)
	checkInForce(c, f, h, accepted)
}

// disturb sets the platform's fault of the race, freezes and thaws node 7 and replaces node 8;
// it returns the node that came back.
func disturb(f *launcher.Fleet, race int) *launcher.Process {
	switch race % 10 {
	case 1:
		f.SetFault(f.Platform, map[string]any{"lose_answers": 1})
	case 3:
		f.SetFault(f.Platform, map[string]any{"drop_appends": 2})
	case 5:
		f.SetFault(f.Platform, map[string]any{"delay_ms": 60})
	case 7:
		f.SetFault(f.Platform, map[string]any{"down": true})
		time.Sleep(50 * time.Millisecond)
		f.SetFault(f.Platform, map[string]any{})
	}
	switch race {
	case 20:
		f.Nodes[6].Freeze()
	case 65:
		f.Nodes[6].Thaw()
		return f.Nodes[6]
	case 70:
		f.Nodes[7].Kill()
		return f.ReplaceNode(7, "--log-keep", configKeep)
	}
	return nil
}

// checkVerdicts compares what operators were told with the verdicts and values of every node.
func checkVerdicts(c *qt.C, f *launcher.Fleet, accepted map[identifier.Revision]told, rejected []told) {
	c.Helper()
	for _, node := range f.Nodes {
		tree, ok := treeOf(node)
		c.Assert(ok, qt.IsTrue)
		for _, r := range accepted {
			if v, known := tree.Verdict(launcher.Team, r.change.ID); known {
				c.Assert(v, qt.Equals, r.verdict)
			}
		}
		for _, r := range rejected {
			if v, known := tree.Verdict(launcher.Team, r.change.ID); known {
				c.Assert(v.Accepted, qt.IsFalse)
			}
			c.Assert(r.verdict.Reason, qt.Contains, "came first")
		}
	}
	c.Assert(len(accepted), qt.Equals, 100)
}

// checkInForce bounds the time to each accepted change being in force on every node.
func checkInForce(c *qt.C, f *launcher.Fleet, h *history, accepted map[identifier.Revision]told) {
	c.Helper()
	var all []time.Duration
	for revision, r := range accepted {
		value := string(r.change.Set[configPath])
		if shown, ok := h.values[revision]; ok {
			c.Check(shown, qt.Equals, value)
		}
		slowest := time.Duration(0)
		for _, node := range f.Nodes {
			slowest = max(slowest, h.took(c, r, node))
		}
		all = append(all, slowest)
	}
	slices.Sort(all)
	c.Logf("%d accepted changes in force on all 8 nodes: p50 %v, max %v", len(all), all[len(all)/2], all[len(all)-1])
	c.Assert(all[len(all)-1] < inForceWithin, qt.IsTrue)
}
