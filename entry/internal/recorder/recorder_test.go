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
	// logRetention is how long the model's log keeps a record.
	logRetention = 4 * carryAfter
	// maxWait is the longest time from a request to its deadline.
	maxWait   = 2 * time.Second
	drainTime = 4 * maxWait
)

// caller is one request of the model and the answers it received.
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
	// log holds the records from the offset first on; written holds the time of each append.
	log     []platformcaller.Record
	written []time.Time
	first   identifier.Offset
	// delayed holds the records of appends that were reported lost and may still reach the log.
	delayed []platformcaller.Record
	nodes   []*modelNode
	callers []*caller
	// ran holds the request bodies that the service ran, by key; ranBy holds the node that sent them.
	ran   map[identifier.RecordKey][]string
	ranBy map[identifier.RecordKey]*modelNode
	// started is the incarnation of the node that was started last.
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
	m.deliver(node, watcher.TargetsChanged{Targets: []watcher.Target{
		{ID: "s1", Role: platformcaller.RoleService, Service: "ledger", State: watcher.StateUp},
	}})
	return node
}

// deliver applies an event, or queues it while the node is frozen.
func (m *model) deliver(n *modelNode, event messenger.Event) {
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
			m.deliver(n, recorder.RecordsRead{Page: m.page(e.From, len(m.log))})
		}
	}
}

func (m *model) unfreeze(n *modelNode) {
	n.frozen = false
	events := n.mailbox
	n.mailbox = nil
	for _, e := range events {
		m.deliver(n, e)
	}
}

func (m *model) request(n *modelNode, key, body string, wait time.Duration) {
	call := identifier.CallID(len(m.callers))
	r := recorder.Requested{
		Call: call, Key: identifier.RecordKey(key), Fingerprint: body, Body: []byte(body), Service: "ledger", Deadline: m.now.Add(wait),
	}
	m.callers = append(m.callers, &caller{node: n, request: r})
	m.deliver(n, r)
}

// completeAppend ends the node's oldest append with the given result.
func (m *model) completeAppend(n *modelNode, result string) {
	a := n.appends[0]
	n.appends = n.appends[1:]
	lost := committer.Lost{ID: a.Record.ID}
	switch result {
	case "done":
		m.write(a.Record)
		m.deliver(n, committer.Appended{ID: a.Record.ID})
	case "answer lost":
		m.write(a.Record)
		m.deliver(n, lost)
	case "dropped":
		m.deliver(n, lost)
	case "late":
		m.delayed = append(m.delayed, a.Record)
		m.deliver(n, lost)
	case "not sent":
		lost.NotSent = true
		m.deliver(n, lost)
	}
}

// completeCall ends the node's oldest call to the service with the given result.
func (m *model) completeCall(n *modelNode, result string) {
	c := n.calls[0]
	n.calls = n.calls[1:]
	failed := recorder.ServiceFailed{Key: c.Key, Target: c.Target}
	if !c.Deadline.After(m.now) || result == "not sent" {
		failed.NotSent = true
		m.deliver(n, failed)
		return
	}
	if result != "never ran" {
		m.ran[c.Key] = append(m.ran[c.Key], string(c.Body))
		m.ranBy[c.Key] = n
	}
	if result == "answered" {
		m.deliver(n, recorder.ServiceAnswered{Key: c.Key, Status: 200, Body: append([]byte("did "), c.Body...)})
		return
	}
	m.deliver(n, failed)
}

func (m *model) write(records ...platformcaller.Record) {
	for _, r := range records {
		r.Offset = m.first + identifier.Offset(len(m.log))
		m.log, m.written = append(m.log, r), append(m.written, m.now)
	}
}

// trimLog drops the records that are older than the log's retention.
func (m *model) trimLog() {
	for len(m.log) > 0 && m.now.Sub(m.written[0]) > logRetention {
		m.log, m.written = m.log[1:], m.written[1:]
		m.first++
	}
}

func (m *model) page(from identifier.Offset, maxRecords int) platformcaller.Page {
	from = max(from, m.first)
	start := int(from - m.first)
	records := m.log[start:min(len(m.log), start+maxRecords)]
	return platformcaller.Page{Records: records, First: m.first, Next: from + identifier.Offset(len(records))}
}

func (m *model) readLog(n *modelNode, maxRecords int) {
	if n.dead || n.frozen {
		return
	}
	page := m.page(n.next, maxRecords)
	m.deliver(n, tailer.LogRead{Page: page})
	if page.First > n.next {
		m.deliver(n, tailer.GapFound{From: n.next, To: page.First})
	}
	for _, r := range page.Records {
		m.deliver(n, tailer.RecordSeen{Record: r})
	}
	n.next = page.Next
}

// skipToEnd makes a node's tailer skip to the end of the log, as after installing a peer's state.
func (m *model) skipToEnd(n *modelNode) {
	end := m.first + identifier.Offset(len(m.log))
	if n.next < end {
		m.deliver(n, tailer.GapFound{From: n.next, To: end})
		n.next = end
	}
}

func (m *model) kill(i int) {
	old := m.nodes[i]
	old.dead, old.appends, old.calls = true, nil, nil
	m.nodes[i] = m.start(i)
}

// announcePeers sends a node the membership. believedDead may be wrong.
func (m *model) announcePeers(n *modelNode, believedDead int) {
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
	m.deliver(n, ev)
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, n := range m.nodes {
		m.deliver(n, messenger.Tick{})
	}
}

// randomStep performs one random event of the model. "pass" lets time pass, "thaw" ends a freeze,
// "jump" makes the tailer skip to the end of the log, and "age" makes the log drop its old records.
func (m *model) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	n := m.nodes[i]
	switch rapid.SampledFrom([]string{
		"request", "request", "append", "append", "append", "read", "read", "read", "call", "call",
		"late append", "pass", "freeze", "thaw", "kill", "peers", "log down", "age", "jump",
	}).Draw(t, "what") {
	case "request":
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
		body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
		wait := rapid.SampledFrom([]time.Duration{modelTick, 10 * modelTick, maxWait}).Draw(t, "wait")
		m.request(n, key, body, wait)
	case "append":
		if len(n.appends) > 0 && !n.frozen {
			m.completeAppend(n, rapid.SampledFrom([]string{"done", "done", "answer lost", "dropped", "late", "not sent"}).Draw(t, "fate"))
		}
	case "read":
		m.readLog(n, rapid.IntRange(1, 5).Draw(t, "records"))
	case "call":
		if len(n.calls) > 0 && !n.frozen {
			m.completeCall(n, rapid.SampledFrom([]string{"answered", "answered", "answer lost", "never ran", "not sent"}).Draw(t, "fate"))
		}
	case "late append":
		if len(m.delayed) > 0 {
			m.write(m.delayed[0])
			m.delayed = m.delayed[1:]
		}
	case "pass":
		m.advance(modelTick * time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")))
	case "freeze":
		n.frozen = true
	case "thaw":
		m.unfreeze(n)
	case "kill":
		m.kill(i)
	case "peers":
		m.announcePeers(n, rapid.IntRange(-1, modelNodes-1).Draw(t, "believed dead"))
	case "jump":
		m.skipToEnd(n)
	case "age":
		m.advance(logRetention + modelTick)
		m.trimLog()
	case "log down":
		m.deliver(n, tailer.ReadFailed{})
	}
}

// drain completes everything in flight without further failures.
func (m *model) drain() {
	for _, n := range m.nodes {
		m.unfreeze(n)
	}
	for passed := time.Duration(0); passed < drainTime; passed += modelTick {
		for _, n := range m.nodes {
			for len(n.appends) > 0 {
				m.completeAppend(n, "done")
			}
			m.readLog(n, len(m.log))
			for len(n.calls) > 0 {
				m.completeCall(n, "answered")
			}
		}
		m.write(m.delayed...)
		m.delayed = nil
		m.advance(modelTick)
	}
}

// violations compares the callers' answers with what the service ran.
func (m *model) violations() []string {
	var found []string
	for key, bodies := range m.ran {
		if len(bodies) > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times", key, len(bodies)))
		}
		if !m.isReportedAsRun(key) {
			found = append(found, fmt.Sprintf("%s ran, but every caller at its node got not_run or refused", key))
		}
	}
	for i, cl := range m.callers {
		if !cl.node.dead && len(cl.answers) != 1 {
			found = append(found, fmt.Sprintf("caller %d of %s got %d answers", i, cl.request.Key, len(cl.answers)))
		}
		if violation := m.checkDelivered(cl); violation != "" {
			found = append(found, fmt.Sprintf("caller %d of %s: %s", i, cl.request.Key, violation))
		}
	}
	return found
}

// isReportedAsRun reports whether a caller at the node that ran the key got an answer other than
// not_run or refused, or has no answer.
func (m *model) isReportedAsRun(key identifier.RecordKey) bool {
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

func (m *model) checkDelivered(cl *caller) string {
	if len(cl.answers) == 0 || cl.answers[0].Outcome != responder.Delivered {
		return ""
	}
	ran := m.ran[cl.request.Key]
	if len(ran) == 0 {
		return "delivered, but not run"
	}
	if string(cl.request.Body) != ran[0] || string(cl.answers[0].Body) != "did "+ran[0] {
		return fmt.Sprintf("%q got the answer %q", cl.request.Body, cl.answers[0].Body)
	}
	return ""
}

// TestAtMostOnce draws requests, lost appends, freezes, deaths and wrong membership in random
// order. No key may run twice, and a key that ran must not be reported as not_run to all callers at
// the node that ran it. Every caller at a live node must get exactly one answer, and a delivered
// answer must be that of the key's first run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.randomStep(t)
		}
		m.drain()
		if found := m.violations(); len(found) > 0 {
			t.Fatalf("%s", strings.Join(found, "\n"))
		}
	})
}

// runFor runs the nodes for a while with a log that drops old records.
func (m *model) runFor(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += modelTick {
		for _, n := range m.nodes {
			for len(n.appends) > 0 {
				m.completeAppend(n, "done")
			}
			m.readLog(n, len(m.log))
		}
		m.advance(modelTick)
		m.trimLog()
	}
}

// TestKeyIsReplayedAfterLogTrim requests a key long after its claim fell out of the log, at a
// node that started later. The recorded answer must be replayed.
func TestKeyIsReplayedAfterLogTrim(t *testing.T) {
	c := qt.New(t)
	m, _ := modelWithUnloggedOutcome()
	m.runFor(5 * logRetention)
	m.kill(2)
	fresh := m.nodes[2]
	m.request(fresh, "k1", "a", maxWait)
	m.runFor(2 * logRetention)
	m.request(fresh, "k1", "a", maxWait)
	m.request(fresh, "k2", "a", maxWait)
	m.drain()
	c.Assert(m.callers[2].answers, qt.HasLen, 1)
	c.Assert(m.callers[2].answers[0].Outcome, qt.Equals, responder.Delivered)
	c.Assert(m.callers[2].answers[0].Replayed, qt.IsTrue)
	c.Assert(m.callers[3].answers[0].Outcome, qt.Equals, responder.Delivered)
	c.Assert(m.violations(), qt.HasLen, 0)
}

// TestNodeMissingRecordsRefusesClaims starts a node after the log dropped a key that no round
// has carried yet. Until a round has carried it, the node must not run anything.
func TestNodeMissingRecordsRefusesClaims(t *testing.T) {
	c := qt.New(t)
	m, n := modelWithUnloggedOutcome()
	m.completeAppend(n, "done")
	m.now = m.now.Add(2 * logRetention)
	m.trimLog()
	m.kill(2)
	fresh := m.nodes[2]
	m.readLog(fresh, 1)
	m.request(fresh, "k1", "a", maxWait)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.NotRun)
	c.Assert(m.callers[1].answers[0].Problem.Code, qt.Equals, "records_incomplete")
}

// completeAppends makes a node's appends succeed and lets the node read them.
func (m *model) completeAppends(n *modelNode) {
	for len(n.appends) > 0 {
		m.completeAppend(n, "done")
	}
	m.readLog(n, len(m.log))
}

// TestCarriedClaimReplacesALaterClaim covers a node that missed a key's claim: it reads a later
// claim, then the carried state of the first one, then the release of the later claim. The
// outcome of the first claim must stand.
func TestCarriedClaimReplacesALaterClaim(t *testing.T) {
	c := qt.New(t)
	m, owner := modelWithUnloggedOutcome()
	owner.frozen = true
	m.now = m.now.Add(2 * logRetention)
	m.trimLog()
	other := m.nodes[1]
	m.request(other, "k1", "a", maxWait)
	m.completeAppends(other)
	m.unfreeze(owner)
	m.readLog(owner, len(m.log))
	for range 2 {
		m.advance(carryAfter)
		m.completeAppends(owner)
		m.completeAppends(owner)
	}
	m.readLog(other, len(m.log))
	m.completeAppends(other)
	m.request(other, "k1", "a", maxWait)
	m.drain()
	c.Assert(m.violations(), qt.HasLen, 0)
}

// modelWithUnloggedOutcome returns a model in which one node has dispatched key k1 and received
// the response, while the outcome is not in the log yet.
func modelWithUnloggedOutcome() (*model, *modelNode) {
	m := newModel()
	n := m.nodes[0]
	m.request(n, "k1", "a", maxWait)
	m.completeAppend(n, "done")
	m.readLog(n, 1)
	m.completeCall(n, "answered")
	return m, n
}

// TestRetryBeforeOutcomeIsLogged retries at the owner while the outcome cannot be appended. The
// answer must be the first one, never not_run.
func TestRetryBeforeOutcomeIsLogged(t *testing.T) {
	c := qt.New(t)
	m, n := modelWithUnloggedOutcome()
	m.completeAppend(n, "dropped")
	m.request(n, "k1", "a", modelTick)
	m.advance(maxWait)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.Delivered)
	c.Assert(string(m.callers[1].answers[0].Body), qt.Equals, "did a")
}

// TestFailedOutcomeAppendIsRetried loses the append of an outcome. It must be retried, or callers
// at other nodes never get the outcome.
func TestFailedOutcomeAppendIsRetried(t *testing.T) {
	c := qt.New(t)
	m, n := modelWithUnloggedOutcome()
	m.completeAppend(n, "dropped")
	m.advance(maxWait)
	c.Assert(n.appends, qt.HasLen, 1)
}

// TestLogOutageIsReportedImmediately sends one request before and one after the log is known to be unreachable.
// Both must be answered not_run before their deadline.
func TestLogOutageIsReportedImmediately(t *testing.T) {
	c := qt.New(t)
	m := newModel()
	n := m.nodes[0]
	m.request(n, "k1", "a", maxWait)
	m.deliver(n, tailer.ReadFailed{})
	m.request(n, "k2", "a", maxWait)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.NotRun)
	c.Assert(m.callers[1].answers[0].RetryAfter > 0, qt.IsTrue)
	m.advance(maxWait / 4)
	c.Assert(m.callers[0].answers, qt.HasLen, 1)
	c.Assert(m.callers[0].answers[0].Outcome, qt.Equals, responder.NotRun)
}

// TestDeadOwnerIsReportedImmediately requests a key whose owner died. The answer must not wait for the deadline.
func TestDeadOwnerIsReportedImmediately(t *testing.T) {
	c := qt.New(t)
	m := newModel()
	m.request(m.nodes[0], "k1", "a", maxWait)
	m.completeAppend(m.nodes[0], "done")
	other := m.nodes[1]
	m.readLog(other, 1)
	m.request(other, "k1", "a", maxWait)
	m.announcePeers(other, 0)
	c.Assert(m.callers[1].answers, qt.HasLen, 1)
	c.Assert(m.callers[1].answers[0].Outcome, qt.Equals, responder.Unknown)
}
