package recorder_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	modelNodes = 3
	modelTick  = 50 * time.Millisecond
	carryAfter = time.Second
	// kept is how long the model's log keeps a record.
	kept         = 4 * carryAfter
	longest      = 2 * time.Second
	drainedAfter = 4 * longest
)

// caller is one request of the model and the answers it got.
type caller struct {
	node    *modelNode
	request recorder.Requested
	answers []recorder.Answer
}

// modelNode is one incarnation of a node.
type modelNode struct {
	rec     *recorder.Recorder
	owner   recorder.Owner
	next    identifier.Offset
	frozen  bool
	dead    bool
	mailbox []messenger.Event
	appends []committer.Append
	calls   []recorder.CallService
}

// model holds several recorders, one log and one service that counts executions.
type model struct {
	now time.Time
	// log holds the records from the offset first on, and written when each was appended.
	log     []platformcaller.Record
	written []time.Time
	first   identifier.Offset
	delayed []platformcaller.Record
	nodes   []*modelNode
	callers []*caller
	// ran holds the bodies that the service ran, by key, and the node that sent each.
	ran     map[identifier.RecordKey][]string
	ranBy   map[identifier.RecordKey]*modelNode
	started identifier.Incarnation
}

func newModel() *model {
	m := &model{now: time.Unix(1000, 0), ran: map[identifier.RecordKey][]string{}, ranBy: map[identifier.RecordKey]*modelNode{}}
	for n := range modelNodes {
		m.nodes = append(m.nodes, m.start(n))
	}
	return m
}

func (m *model) start(n int) *modelNode {
	m.started++
	node := &modelNode{owner: recorder.Owner{Node: identifier.NodeID(fmt.Sprint("n", n)), Incarnation: m.started}}
	node.rec = recorder.NewRecorder(node.owner, recorder.Config{Window: time.Hour, CarryAfter: carryAfter})
	m.give(node, watcher.TargetsChanged{Targets: []watcher.Target{
		{ID: "s1", Role: platformcaller.RoleService, Service: "ledger", State: watcher.StateUp},
	}})
	return node
}

// give applies one event at once, or later when the node is frozen.
func (m *model) give(n *modelNode, event messenger.Event) {
	if n.dead {
		return
	}
	if n.frozen {
		n.mailbox = append(n.mailbox, event)
		return
	}
	for _, effect := range n.rec.Apply(m.now, event) {
		switch e := effect.(type) {
		case messenger.Raise:
			if a, ok := e.Event.(committer.Append); ok {
				n.appends = append(n.appends, a)
			}
		case messenger.Reply:
			m.callers[e.Call].answers = append(m.callers[e.Call].answers, e.Answer.(recorder.Answer))
		case recorder.CallService:
			n.calls = append(n.calls, e)
		case recorder.ReadRecords:
			m.give(n, recorder.RecordsRead{Page: m.page(e.From, len(m.log))})
		}
	}
}

func (m *model) thaw(n *modelNode) {
	n.frozen = false
	events := n.mailbox
	n.mailbox = nil
	for _, e := range events {
		m.give(n, e)
	}
}

func (m *model) request(n *modelNode, key, body string, wait time.Duration) {
	call := identifier.CallID(len(m.callers))
	r := recorder.Requested{
		Call: call, Key: identifier.RecordKey(key), Fingerprint: body, Body: []byte(body), Service: "ledger", Deadline: m.now.Add(wait),
	}
	m.callers = append(m.callers, &caller{node: n, request: r})
	m.give(n, r)
}

// settleAppend ends the node's oldest append in one of the ways in which an append can end.
func (m *model) settleAppend(n *modelNode, fate string) {
	a := n.appends[0]
	n.appends = n.appends[1:]
	lost := committer.Lost{ID: a.Record.ID}
	switch fate {
	case "done":
		m.write(a.Record)
		m.give(n, committer.Appended{ID: a.Record.ID})
	case "answer lost":
		m.write(a.Record)
		m.give(n, lost)
	case "dropped":
		m.give(n, lost)
	case "late":
		m.delayed = append(m.delayed, a.Record)
		m.give(n, lost)
	case "not sent":
		lost.NotSent = true
		m.give(n, lost)
	}
}

// settleCall ends the node's oldest call to the service.
func (m *model) settleCall(n *modelNode, fate string) {
	c := n.calls[0]
	n.calls = n.calls[1:]
	failed := recorder.ServiceFailed{Key: c.Key, Target: c.Target}
	if !c.Deadline.After(m.now) || fate == "not sent" {
		failed.NotSent = true
		m.give(n, failed)
		return
	}
	if fate != "never ran" {
		m.ran[c.Key] = append(m.ran[c.Key], string(c.Body))
		m.ranBy[c.Key] = n
	}
	if fate == "answered" {
		m.give(n, recorder.ServiceAnswered{Key: c.Key, Status: 200, Body: append([]byte("did "), c.Body...)})
		return
	}
	m.give(n, failed)
}

func (m *model) write(records ...platformcaller.Record) {
	for _, r := range records {
		r.Offset = m.first + identifier.Offset(len(m.log))
		m.log, m.written = append(m.log, r), append(m.written, m.now)
	}
}

// forget drops the records that the log need no longer keep.
func (m *model) forget() {
	for len(m.log) > 0 && m.now.Sub(m.written[0]) > kept {
		m.log, m.written = m.log[1:], m.written[1:]
		m.first++
	}
}

func (m *model) page(from identifier.Offset, most int) platformcaller.Page {
	from = max(from, m.first)
	start := int(from - m.first)
	records := m.log[start:min(len(m.log), start+most)]
	return platformcaller.Page{Records: records, First: m.first, Next: from + identifier.Offset(len(records))}
}

func (m *model) readLog(n *modelNode, most int) {
	if n.dead || n.frozen {
		return
	}
	page := m.page(n.next, most)
	m.give(n, tailer.LogRead{Page: page})
	if page.First > n.next {
		m.give(n, tailer.GapFound{From: n.next, To: page.First})
	}
	for _, r := range page.Records {
		m.give(n, tailer.RecordSeen{Record: r})
	}
	n.next = page.Next
}

// jump lets a node's tailer skip to the end of the log, with a state it got from a peer.
func (m *model) jump(n *modelNode) {
	end := m.first + identifier.Offset(len(m.log))
	if n.next < end {
		m.give(n, tailer.GapFound{From: n.next, To: end})
		n.next = end
	}
}

func (m *model) kill(i int) {
	old := m.nodes[i]
	old.dead, old.appends, old.calls = true, nil, nil
	m.nodes[i] = m.start(i)
}

// tellPeers tells a node what membership holds; believedDead may be wrong.
func (m *model) tellPeers(n *modelNode, believedDead int) {
	var ev heartbeater.PeersChanged
	for i, o := range m.nodes {
		if o == n {
			continue
		}
		p := heartbeater.Peer{State: heartbeater.StateAlive}
		p.Node, p.Incarnation = o.owner.Node, o.owner.Incarnation
		if i == believedDead {
			p.State = heartbeater.StateDead
		}
		ev.Peers = append(ev.Peers, p)
	}
	m.give(n, ev)
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, n := range m.nodes {
		m.give(n, messenger.Tick{})
	}
}

// step does one thing that can happen.
func (m *model) step(t *rapid.T) {
	i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{
		"request", "request", "append", "append", "append", "read", "read", "read", "call", "call",
		"late append", "pass", "freeze", "thaw", "kill", "peers", "log down", "age", "jump",
	}).Draw(t, "what") {
	case "request":
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
		body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
		wait := rapid.SampledFrom([]time.Duration{modelTick, 10 * modelTick, longest}).Draw(t, "wait")
		m.request(n, key, body, wait)
	case "append":
		if len(n.appends) > 0 && !n.frozen {
			m.settleAppend(n, rapid.SampledFrom([]string{"done", "done", "answer lost", "dropped", "late", "not sent"}).Draw(t, "fate"))
		}
	case "read":
		m.readLog(n, rapid.IntRange(1, 5).Draw(t, "records"))
	case "call":
		if len(n.calls) > 0 && !n.frozen {
			m.settleCall(n, rapid.SampledFrom([]string{"answered", "answered", "answer lost", "never ran", "not sent"}).Draw(t, "fate"))
		}
	case "late append":
		if len(m.delayed) > 0 {
			m.write(m.delayed[0])
			m.delayed = m.delayed[1:]
		}
	case "pass":
		m.pass(modelTick * time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")))
	case "freeze":
		n.frozen = true
	case "thaw":
		m.thaw(n)
	case "kill":
		m.kill(i)
	case "peers":
		m.tellPeers(n, rapid.IntRange(-1, modelNodes-1).Draw(t, "believed dead"))
	case "jump":
		m.jump(n)
	case "age":
		m.pass(kept + modelTick)
		m.forget()
	case "log down":
		m.give(n, tailer.ReadFailed{})
	}
}

// drain lets everything that is under way end well.
func (m *model) drain() {
	for _, n := range m.nodes {
		m.thaw(n)
	}
	for passed := time.Duration(0); passed < drainedAfter; passed += modelTick {
		for _, n := range m.nodes {
			for len(n.appends) > 0 {
				m.settleAppend(n, "done")
			}
			m.readLog(n, len(m.log))
			for len(n.calls) > 0 {
				m.settleCall(n, "answered")
			}
		}
		m.write(m.delayed...)
		m.delayed = nil
		m.pass(modelTick)
	}
}

// findings compares what callers were told with what the service ran.
func (m *model) findings() []string {
	var found []string
	for key, bodies := range m.ran {
		if len(bodies) > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, len(bodies)))
		}
		if !m.isAdmitted(key) {
			found = append(found, fmt.Sprintf("%s ran, but each caller at its node was told not_run or refused", key))
		}
	}
	for i, cl := range m.callers {
		if !cl.node.dead && len(cl.answers) != 1 {
			found = append(found, fmt.Sprintf("caller %d of %s got %d answers", i, cl.request.Key, len(cl.answers)))
		}
		if finding := m.delivered(cl); finding != "" {
			found = append(found, fmt.Sprintf("caller %d of %s: %s", i, cl.request.Key, finding))
		}
	}
	return found
}

// isAdmitted reports whether a caller at the node that ran the key was told that it ran, may have, or nothing.
func (m *model) isAdmitted(key identifier.RecordKey) bool {
	for _, cl := range m.callers {
		if cl.request.Key != key || cl.node != m.ranBy[key] {
			continue
		}
		if len(cl.answers) == 0 || (cl.answers[0].Outcome != responder.NotRun && cl.answers[0].Outcome != responder.Refused) {
			return true
		}
	}
	return false
}

func (m *model) delivered(cl *caller) string {
	if len(cl.answers) == 0 || cl.answers[0].Outcome != responder.Delivered {
		return ""
	}
	ran := m.ran[cl.request.Key]
	if len(ran) == 0 {
		return "delivered, but not run"
	}
	if string(cl.request.Body) != ran[0] || string(cl.answers[0].Body) != "did "+ran[0] {
		return fmt.Sprintf("%q was delivered the answer %q", cl.request.Body, cl.answers[0].Body)
	}
	return ""
}

// TestAtMostOnce lets requests, losses, freezes, deaths and wrong beliefs come in any
// order: no key runs twice, not_run is true, every caller gets one answer, and it is the same one.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step(t)
		}
		m.drain()
		if found := m.findings(); len(found) > 0 {
			t.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

// live lets the nodes live for a while with a log that forgets.
func (m *model) live(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += modelTick {
		for _, n := range m.nodes {
			for len(n.appends) > 0 {
				m.settleAppend(n, "done")
			}
			m.readLog(n, len(m.log))
		}
		m.pass(modelTick)
		m.forget()
	}
}

// TestKeysOutliveTheLog asks for a key long after the log forgot its claim, at a node
// that started later: the recorded answer is replayed.
func TestKeysOutliveTheLog(t *testing.T) {
	c := qt.New(t)
	m, _ := oneNode()
	m.live(5 * kept)
	m.kill(2)
	fresh := m.nodes[2]
	m.request(fresh, "k1", "a", longest)
	m.live(2 * kept)
	m.request(fresh, "k1", "a", longest)
	m.request(fresh, "k2", "a", longest)
	m.drain()
	c.Assert(m.callers[2].answers, qt.HasLen, 1)
	c.Assert(m.callers[2].answers[0].Outcome, qt.Equals, responder.Delivered)
	c.Assert(m.callers[2].answers[0].Replayed, qt.IsTrue)
	c.Assert(m.callers[3].answers[0].Outcome, qt.Equals, responder.Delivered)
	c.Assert(m.findings(), qt.HasLen, 0)
}

// TestNodeThatMissedTheLogClaimsNothing starts a node after the log forgot a key that no
// round has carried: until one has, the node runs nothing.
func TestNodeThatMissedTheLogClaimsNothing(t *testing.T) {
	c := qt.New(t)
	m, n := oneNode()
	m.settleAppend(n, "done")
	m.now = m.now.Add(2 * kept)
	m.forget()
	m.kill(2)
	fresh := m.nodes[2]
	m.readLog(fresh, 1)
	m.request(fresh, "k1", "a", longest)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.NotRun)
	c.Assert(m.callers[1].answers[0].Problem.Code, qt.Equals, "records_incomplete")
}

// settleAll lets a node's appends take effect, and lets it read them.
func (m *model) settleAll(n *modelNode) {
	for len(n.appends) > 0 {
		m.settleAppend(n, "done")
	}
	m.readLog(n, len(m.log))
}

// TestMissedClaimStandsBeforeALaterOne lets a node that missed a key's claim see a later
// one, then the key's state carried forward, then the later claim's release: the key stays ended.
func TestMissedClaimStandsBeforeALaterOne(t *testing.T) {
	c := qt.New(t)
	m, owner := oneNode()
	owner.frozen = true
	m.now = m.now.Add(2 * kept)
	m.forget()
	other := m.nodes[1]
	m.request(other, "k1", "a", longest)
	m.settleAll(other)
	m.thaw(owner)
	m.readLog(owner, len(m.log))
	for range 2 {
		m.pass(carryAfter)
		m.settleAll(owner)
		m.settleAll(owner)
	}
	m.readLog(other, len(m.log))
	m.settleAll(other)
	m.request(other, "k1", "a", longest)
	m.drain()
	c.Assert(m.findings(), qt.HasLen, 0)
}

// oneNode returns a model of which one node has dispatched key k1 and got its answer,
// while the outcome is not in the log.
func oneNode() (*model, *modelNode) {
	m := newModel()
	n := m.nodes[0]
	m.request(n, "k1", "a", longest)
	m.settleAppend(n, "done")
	m.readLog(n, 1)
	m.settleCall(n, "answered")
	return m, n
}

// TestResendBeforeTheOutcomeIsLogged asks the owner again while the log doesn't take the
// outcome: the answer is the first one, never not_run.
func TestResendBeforeTheOutcomeIsLogged(t *testing.T) {
	c := qt.New(t)
	m, n := oneNode()
	m.settleAppend(n, "dropped")
	m.request(n, "k1", "a", modelTick)
	m.pass(longest)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.Delivered)
	c.Assert(string(m.callers[1].answers[0].Body), qt.Equals, "did a")
}

// TestLostOutcomeIsAppendedAgain loses the append of an outcome; it must get into the
// log all the same, or callers at other nodes never learn it.
func TestLostOutcomeIsAppendedAgain(t *testing.T) {
	c := qt.New(t)
	m, n := oneNode()
	m.settleAppend(n, "dropped")
	m.pass(longest)
	c.Assert(n.appends, qt.HasLen, 1)
}

// TestLogOutageIsToldAtOnce requests while the log is known to be unreachable, and before it is known.
func TestLogOutageIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	m := newModel()
	n := m.nodes[0]
	m.request(n, "k1", "a", longest)
	m.give(n, tailer.ReadFailed{})
	m.request(n, "k2", "a", longest)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.NotRun)
	c.Assert(m.callers[1].answers[0].RetryAfter > 0, qt.IsTrue)
	m.pass(longest / 4)
	c.Assert(m.callers[0].answers, qt.HasLen, 1)
	c.Assert(m.callers[0].answers[0].Outcome, qt.Equals, responder.NotRun)
}

// TestDeadOwnerIsToldAtOnce asks for a key whose owner died; the answer doesn't wait for the deadline.
func TestDeadOwnerIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	m := newModel()
	m.request(m.nodes[0], "k1", "a", longest)
	m.settleAppend(m.nodes[0], "done")
	other := m.nodes[1]
	m.readLog(other, 1)
	m.request(other, "k1", "a", longest)
	m.tellPeers(other, 0)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.Unknown)
}
