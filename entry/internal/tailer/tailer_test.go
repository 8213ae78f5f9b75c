package tailer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/tailer"
)

const logRetention = 10 * time.Minute

var start = time.Unix(1_800_000_000, 0)

// log is a fake of the platform's log.
type log struct {
	records []platformcaller.Record
	first   int
}

func (l *log) append(r platformcaller.Record) {
	r.Offset = identifier.Offset(len(l.records))
	l.records = append(l.records, r)
}

func (l *log) page(from identifier.Offset, maxRecords int) platformcaller.Page {
	at := max(int(from), l.first)
	end := min(at+maxRecords, len(l.records))
	return platformcaller.Page{
		Records: l.records[at:end], Next: identifier.Offset(end),
		First: identifier.Offset(l.first), End: identifier.Offset(len(l.records)),
	}
}

// reader drives one tailer and records its effects.
type reader struct {
	*tailer.Tailer
	now       time.Time
	calls     identifier.CallID
	answers   map[identifier.CallID]any
	forwarded []identifier.Offset
	applied   identifier.Offset
	from      identifier.Offset
	read      tailer.ReadLog
	pulls     []tailer.PullRecords
	appends   []committer.Append
	// snapshots holds the snapshots that the tailer asked to write.
	snapshots []tailer.WriteSnapshot
	settings  *configurer.Settings
}

func newReader(name string) *reader {
	r := &reader{
		Tailer: tailer.NewTailer(tailer.Config{Node: identifier.NodeID(name), LogKeep: logRetention, Seeds: []string{"seed"}}),
		now:    start, answers: map[identifier.CallID]any{},
	}
	r.apply(messenger.Tick{})
	return r
}

func (r *reader) apply(event messenger.Event) {
	for _, effect := range r.Apply(r.now, event) {
		r.recordEffect(effect)
	}
}

func (r *reader) recordEffect(effect messenger.Effect) {
	switch e := effect.(type) {
	case tailer.ReadLog:
		r.from, r.read = e.From, e
	case tailer.WriteSnapshot:
		r.snapshots = append(r.snapshots, e)
	case tailer.PullRecords:
		r.pulls = append(r.pulls, e)
	case tailer.OffsetApplied:
		if e.Offset < r.applied {
			panic("the applied offset decreased")
		}
		r.applied = e.Offset
	case messenger.Reply:
		r.answers[e.Call] = e.Answer
	case messenger.Broadcast:
		if changed, ok := e.Event.(tailer.SettingsChanged); ok {
			r.settings = changed.Settings
		}
	case messenger.Raise:
		switch ev := e.Event.(type) {
		case committer.Append:
			r.appends = append(r.appends, ev)
		case tailer.RecordSeen:
			r.forwarded = append(r.forwarded, ev.Record.Offset)
		}
	}
}

func (r *reader) request(event func(identifier.CallID) messenger.Event) identifier.CallID {
	r.calls++
	r.apply(event(r.calls))
	return r.calls
}

func (r *reader) tree() *configurer.Tree {
	id := r.request(func(id identifier.CallID) messenger.Event { return tailer.TreeRequested{Call: id} })
	return r.answers[id].(*configurer.Tree)
}

func (r *reader) propose(c configurer.Change) identifier.CallID {
	return r.request(func(id identifier.CallID) messenger.Event {
		return tailer.ChangeProposed{Call: id, Change: c, Deadline: r.now.Add(8 * time.Second)}
	})
}

func (r *reader) outcome(id identifier.CallID) responder.Outcome {
	a, _ := r.answers[id].(tailer.ChangeAnswer)
	return a.Outcome
}

// pullFrom delivers the peer's answer to a pull, encoded as on the wire.
func (r *reader) pullFrom(peer *reader) {
	id := peer.request(func(id identifier.CallID) messenger.Event { return tailer.PullRequested{Call: id, From: r.applied} })
	raw, err := json.Marshal(peer.answers[id])
	if err != nil {
		panic(err)
	}
	var answer tailer.PullAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		panic(err)
	}
	r.apply(tailer.RecordsPulled{Address: "peer", Answer: answer})
}

func change(team, id string, expected identifier.Revision, weight int) configurer.Change {
	return configurer.Change{
		ID: identifier.ChangeID(id), Team: identifier.TeamID(team), Expected: expected,
		Set: map[string]json.RawMessage{"accounts/studio/weight": json.RawMessage(fmt.Sprint(weight))},
	}
}

func record(c configurer.Change) platformcaller.Record {
	body, _ := json.Marshal(c)
	return platformcaller.Record{ID: string(c.ID), Stream: configurer.Stream, Body: body}
}

func encoded(t *configurer.Tree) string {
	raw, _ := json.Marshal(t)
	return string(raw)
}

// fleet is a log, one reader that has read all of it, and other readers.
type fleet struct {
	*rapid.T
	log       *log
	complete  *reader
	readers   []*reader
	revisions map[string]identifier.Revision
}

func (f *fleet) followComplete() {
	for f.complete.from < identifier.Offset(len(f.log.records)) {
		f.complete.apply(tailer.LogRead{Page: f.log.page(f.complete.from, 100)})
	}
}

func (f *fleet) follow(r *reader) {
	r.apply(tailer.LogRead{Page: f.log.page(r.from, rapid.IntRange(1, 5).Draw(f.T, "page"))})
}

func (f *fleet) appendChange(step int) {
	team := rapid.SampledFrom([]string{"dakar", "amman"}).Draw(f.T, "team")
	id := fmt.Sprintf("c-%d", rapid.IntRange(0, 30).Draw(f.T, "id"))
	f.log.append(record(change(team, id, identifier.Revision(rapid.IntRange(0, 6).Draw(f.T, "expected")), 1+step)))
}

// appendSnapshot appends a snapshot, after changes that the snapshot does not include.
func (f *fleet) appendSnapshot(step int) {
	body, _ := configurer.EncodeSnapshot(configurer.Snapshot{Tree: f.complete.tree(), At: start})
	for range rapid.IntRange(0, 2).Draw(f.T, "between") {
		f.log.append(record(change("dakar", fmt.Sprintf("b-%d", step), f.complete.tree().Get("dakar").Revision, step)))
	}
	f.log.append(platformcaller.Record{ID: "snapshot", Stream: configurer.SnapshotStream, Body: body})
}

func (f *fleet) randomStep(r *reader, step int) {
	switch rapid.IntRange(0, 7).Draw(f.T, "action") {
	case 0, 1:
		f.appendChange(step)
	case 2:
		f.log.append(platformcaller.Record{ID: "other", Stream: "records"})
	case 3:
		f.appendSnapshot(step)
	case 4:
		f.log.first = rapid.IntRange(f.log.first, len(f.log.records)).Draw(f.T, "first")
	case 5:
		r.pullFrom(f.complete)
	case 6:
		f.readers = append(f.readers, newReader(fmt.Sprintf("r-%d", len(f.readers))))
	default:
		f.follow(r)
	}
	f.followComplete()
	f.checkGrowth(r)
}

func (f *fleet) checkGrowth(r *reader) {
	tree := r.tree()
	if tree == nil {
		return
	}
	for team, sub := range tree.Teams {
		k := fmt.Sprintf("%p/%s", r, team)
		if sub.Revision < f.revisions[k] {
			f.Fatalf("revision of %s decreased from %d to %d", team, f.revisions[k], sub.Revision)
		}
		f.revisions[k] = sub.Revision
	}
}

func (f *fleet) checkEnd(r *reader) {
	r.pullFrom(f.complete)
	for range len(f.log.records) + 1 {
		f.follow(r)
	}
	r.pullFrom(f.complete)
	if got, want := encoded(r.tree()), encoded(f.complete.tree()); got != want {
		f.Fatalf("a reader has\n%s\nwant\n%s", got, want)
	}
	for i := 1; i < len(r.forwarded); i++ {
		if r.forwarded[i] <= r.forwarded[i-1] {
			f.Fatalf("offset %d was forwarded after %d", r.forwarded[i], r.forwarded[i-1])
		}
	}
}

// TestReadersAgree drops old records and lets readers start late, start from snapshots and from
// peers, miss pages and read pages twice. All must reach the same tree and the same decision for
// each change, and no reader's offset or revision may go back.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			T: t, log: &log{}, complete: newReader("whole"),
			readers: []*reader{newReader("r-0"), newReader("r-1")}, revisions: map[string]identifier.Revision{},
		}
		f.complete.apply(tailer.LogRead{Page: f.log.page(0, 1)})
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.randomStep(f.readers[rapid.IntRange(0, len(f.readers)-1).Draw(t, "reader")], step)
		}
		for _, r := range f.readers {
			f.checkEnd(r)
		}
	})
}

// TestSnapshotRestoresState starts a reader after the log dropped a record. Without a snapshot it
// must show no settings. With one it must have the state, later changes and earlier decisions.
func TestSnapshotRestoresState(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	old := newReader("old")
	l.append(record(change("dakar", "a", 0, 3)))
	old.apply(tailer.LogRead{Page: l.page(0, 100)})
	l.append(record(change("dakar", "b", 1, 4)))
	l.first = 1
	fresh := newReader("fresh")
	fresh.apply(tailer.LogRead{Page: l.page(0, 100)})
	c.Assert(fresh.tree(), qt.IsNil)
	c.Assert(fresh.settings, qt.IsNil)
	body, err := configurer.EncodeSnapshot(configurer.Snapshot{Tree: old.tree(), At: start})
	c.Assert(err, qt.IsNil)
	l.append(platformcaller.Record{Stream: configurer.SnapshotStream, Body: body})
	l.append(record(change("dakar", "a", 2, 9)))
	fresh.apply(tailer.LogRead{Page: l.page(fresh.from, 100)})
	old.apply(tailer.LogRead{Page: l.page(old.from, 100)})
	c.Assert(fresh.tree(), qt.DeepEquals, old.tree())
	c.Assert(fresh.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(2))
	c.Assert(fresh.settings.Offset, qt.Equals, identifier.Offset(4))
}

func written(c *qt.C, w tailer.WriteSnapshot) platformcaller.Record {
	r, err := w.Record()
	c.Assert(err, qt.IsNil)
	return r
}

// TestSnapshotDue checks that a snapshot is written once before the log drops the state, and again
// if it is not read back.
func TestSnapshotDue(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r := newReader("writer")
	l.append(record(change("dakar", "a", 0, 3)))
	r.apply(tailer.LogRead{Page: l.page(0, 100)})
	r.apply(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 0)
	r.now = r.now.Add(logRetention/2 - time.Second)
	r.apply(messenger.Tick{})
	r.apply(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 1)
	r.now = r.now.Add(logRetention / 8)
	r.apply(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 2)
	l.append(written(c, r.snapshots[1]))
	r.apply(tailer.LogRead{Page: l.page(1, 100)})
	r.now = r.now.Add(logRetention / 8)
	r.apply(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 2)
}

// TestNodeContinuesAfterLostRecords drops records that nobody read. The settings must stay
// in force, and after a while the node must continue from its own state. A node without state must not.
func TestNodeContinuesAfterLostRecords(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r, fresh := newReader("old"), newReader("fresh")
	l.append(record(change("dakar", "a", 0, 3)))
	r.apply(tailer.LogRead{Page: l.page(0, 100)})
	l.append(record(change("dakar", "lost", 1, 4)))
	l.append(record(change("dakar", "kept", 1, 5)))
	l.first = 2
	for _, each := range []*reader{r, fresh} {
		each.apply(tailer.LogRead{Page: l.page(each.from, 100)})
	}
	c.Assert(r.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(1))
	c.Assert(r.outcome(r.propose(change("dakar", "p", 1, 6))), qt.Equals, responder.NotRun)
	for range 20 {
		for _, each := range []*reader{r, fresh} {
			each.now = each.now.Add(500 * time.Millisecond)
			each.apply(messenger.Tick{})
		}
	}
	c.Assert(fresh.snapshots, qt.HasLen, 0)
	c.Assert(len(r.snapshots) > 0, qt.IsTrue)
	l.append(written(c, r.snapshots[0]))
	for _, each := range []*reader{r, fresh} {
		each.apply(tailer.LogRead{Page: l.page(each.from, 100)})
	}
	c.Assert(fresh.tree(), qt.DeepEquals, r.tree())
	c.Assert(r.tree().Lost, qt.DeepEquals, []configurer.Span{{From: 1, To: 2}})
	c.Assert(string(r.tree().Get("dakar").Values["accounts/studio/weight"]), qt.Equals, "5")
}

// TestStateThatLacksAcceptedChangesIsRefused offers a state that lacks a change in force on the node.
func TestStateThatLacksAcceptedChangesIsRefused(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r := newReader("ahead")
	l.append(record(change("dakar", "a", 0, 3)))
	l.append(record(change("dakar", "b", 1, 4)))
	r.apply(tailer.LogRead{Page: l.page(0, 100)})
	behind := configurer.NewTree()
	behind.Skip(5)
	r.apply(tailer.RecordsPulled{Address: "peer", Answer: tailer.PullAnswer{Page: platformcaller.Page{End: 5}, Tree: behind}})
	c.Assert(r.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(2))
}

// TestReadTimeoutOfSlowLog checks that reads get more time only after reads that used up theirs,
// so that a dead connection after an outage is detected soon.
func TestReadTimeoutOfSlowLog(t *testing.T) {
	c := qt.New(t)
	r := newReader("node")
	nextReadTimeout := func(took time.Duration) time.Duration {
		r.now = r.now.Add(took)
		r.apply(tailer.ReadFailed{Err: "failed"})
		r.now = r.now.Add(time.Second)
		r.apply(messenger.Tick{})
		c.Assert(r.read.NewConn, qt.IsTrue)
		return r.read.Deadline.Sub(r.now)
	}
	for range 20 {
		c.Assert(nextReadTimeout(time.Millisecond), qt.Equals, 2*time.Second)
	}
	c.Assert(nextReadTimeout(2*time.Second), qt.Equals, 4*time.Second)
	for range 5 {
		c.Assert(nextReadTimeout(8*time.Second) <= 8*time.Second, qt.IsTrue)
	}
}

// TestAnswersToOperators proposes changes under one id in several ways. Earlier answers must stay true.
func TestAnswersToOperators(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r := newReader("node")
	a := change("dakar", "a", 0, 3)
	c.Assert(r.outcome(r.propose(a)), qt.Equals, responder.NotRun)
	r.apply(tailer.LogRead{Page: l.page(0, 100)})
	first, duplicate := r.propose(a), r.propose(a)
	otherTeam := r.propose(change("amman", "a", 0, 3))
	reused := r.propose(change("dakar", "a", 0, 4))
	c.Assert(r.outcome(reused), qt.Equals, responder.Refused)
	c.Assert(r.appends, qt.HasLen, 2)
	r.apply(committer.Lost{ID: r.appends[0].Record.ID})
	r.apply(committer.Lost{ID: r.appends[1].Record.ID, NotSent: true})
	c.Assert(r.outcome(otherTeam), qt.Equals, responder.NotRun)
	r.now = r.now.Add(time.Second)
	r.apply(messenger.Tick{})
	c.Assert(r.appends, qt.HasLen, 3)
	r.apply(committer.Lost{ID: r.appends[2].Record.ID, NotSent: true})
	r.now = r.now.Add(8 * time.Second)
	r.apply(messenger.Tick{})
	c.Assert(r.outcome(first), qt.Equals, responder.Unknown)
	c.Assert(r.outcome(duplicate), qt.Equals, responder.Unknown)
	r.apply(tailer.ReadFailed{Err: "outage"})
	c.Assert(r.outcome(r.propose(a)), qt.Equals, responder.Unknown)
	c.Assert(r.outcome(r.propose(change("dakar", "n", 0, 3))), qt.Equals, responder.NotRun)
	l.append(r.appends[0].Record)
	l.append(r.appends[2].Record)
	r.apply(tailer.LogRead{Page: l.page(0, 100)})
	repeated := r.propose(a)
	c.Assert(r.outcome(repeated), qt.Equals, responder.Delivered)
	c.Assert(r.answers[repeated].(tailer.ChangeAnswer).Decision.Accepted, qt.IsTrue)
	c.Assert(r.outcome(r.propose(change("dakar", "a", 0, 9))), qt.Equals, responder.Refused)
	c.Assert(r.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(1))
}

// TestRejectionNamesWinningChange checks that a rejection says which change took the revision.
func TestRejectionNamesWinningChange(t *testing.T) {
	c := qt.New(t)
	tree := configurer.NewTree()
	c.Assert(tree.Decide(7, change("dakar", "a", 0, 3)).Accepted, qt.IsTrue)
	d := tree.Decide(8, change("dakar", "b", 0, 4))
	c.Assert(d.Accepted, qt.IsFalse)
	c.Assert(strings.Contains(d.Reason, "change a at offset 7 came first"), qt.IsTrue, qt.Commentf(d.Reason))
}

// proposalModel has two nodes on one log whose appends fail in every possible way.
type proposalModel struct {
	*rapid.T
	log   *log
	nodes []*reader
	// late holds the records of appends that were reported lost and may still take effect.
	late      []platformcaller.Record
	proposals []proposedChange
}

type proposedChange struct {
	node    *reader
	call    identifier.CallID
	change  configurer.Change
	isFirst bool
}

func (m *proposalModel) request(asked map[identifier.ChangeID]bool) {
	n := rapid.SampledFrom(m.nodes).Draw(m.T, "asked node")
	id := fmt.Sprintf("c-%d", rapid.IntRange(0, 15).Draw(m.T, "id"))
	expected := identifier.Revision(rapid.IntRange(0, int(n.tree().Get("dakar").Revision)).Draw(m.T, "expected"))
	c := change("dakar", id, expected, rapid.IntRange(1, 3).Draw(m.T, "weight"))
	m.proposals = append(m.proposals, proposedChange{n, n.propose(c), c, !asked[c.ID]})
	asked[c.ID] = true
}

// completeAppend ends one append: done, answer lost after or before it took effect, or not sent.
func (m *proposalModel) completeAppend() {
	n := rapid.SampledFrom(m.nodes).Draw(m.T, "appending node")
	if len(n.appends) == 0 {
		return
	}
	r := n.appends[0].Record
	n.appends = n.appends[1:]
	switch rapid.IntRange(0, 4).Draw(m.T, "end") {
	case 0, 1:
		m.log.append(r)
	case 2:
		m.log.append(r)
		n.apply(committer.Lost{ID: r.ID})
	case 3:
		m.late = append(m.late, r)
		n.apply(committer.Lost{ID: r.ID})
	default:
		n.apply(committer.Lost{ID: r.ID, NotSent: true})
	}
}

func (m *proposalModel) advance() {
	n := rapid.SampledFrom(m.nodes).Draw(m.T, "node")
	if rapid.Bool().Draw(m.T, "outage") {
		n.apply(tailer.ReadFailed{Err: "outage"})
	}
	n.now = n.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(m.T, "ms")) * time.Millisecond)
	n.apply(messenger.Tick{})
}

func (m *proposalModel) read(n *reader) { n.apply(tailer.LogRead{Page: m.log.page(n.from, 100)}) }

func (m *proposalModel) check(tree *configurer.Tree) {
	for _, proposed := range m.proposals {
		a, answered := proposed.node.answers[proposed.call].(tailer.ChangeAnswer)
		if !answered {
			m.Fatalf("change %s was not answered", proposed.change.ID)
		}
		d, known := tree.Decision("dakar", proposed.change.ID)
		isSame := known && d.Fingerprint == proposed.change.Fingerprint()
		switch {
		case a.Outcome == responder.Delivered && (!isSame || d != a.Decision):
			m.Fatalf("change %s: answered %+v, decided %+v", proposed.change.ID, a.Decision, d)
		case a.Outcome == responder.NotRun && proposed.isFirst && isSame && !m.isProposedAgain(proposed):
			m.Fatalf("change %s: answered not run, decided %+v", proposed.change.ID, d)
		}
	}
}

func (m *proposalModel) isProposedAgain(of proposedChange) bool {
	for _, proposed := range m.proposals {
		if proposed.change.ID == of.change.ID && (proposed.node != of.node || proposed.call != of.call) {
			return true
		}
	}
	return false
}

// TestChangeAnswersMatchDecisions proposes and re-proposes changes through two nodes while appends
// are lost before or after they take effect, take effect late, or are not sent. A reported decision
// must be the one in the log, and a change reported as not run must not come into force.
func TestChangeAnswersMatchDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &proposalModel{T: t, log: &log{}, nodes: []*reader{newReader("n-1"), newReader("n-2")}}
		for _, n := range m.nodes {
			m.read(n)
		}
		asked := map[identifier.ChangeID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				m.request(asked)
			case 2:
				m.completeAppend()
			case 3:
				m.advance()
			case 4:
				m.read(rapid.SampledFrom(m.nodes).Draw(t, "reading node"))
			default:
				if len(m.late) > 0 {
					m.log.append(m.late[0])
					m.late = m.late[1:]
				}
			}
		}
		for _, r := range m.late {
			m.log.append(r)
		}
		for _, n := range m.nodes {
			m.read(n)
			n.now = n.now.Add(time.Minute)
			n.apply(messenger.Tick{})
		}
		if a, b := encoded(m.nodes[0].tree()), encoded(m.nodes[1].tree()); a != b {
			t.Fatalf("nodes differ:\n%s\n%s", a, b)
		}
		m.check(m.nodes[0].tree())
	})
}
