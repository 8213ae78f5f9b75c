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

const keep = 10 * time.Minute

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

func (l *log) page(from identifier.Offset, most int) platformcaller.Page {
	at := max(int(from), l.first)
	end := min(at+most, len(l.records))
	return platformcaller.Page{
		Records: l.records[at:end], Next: identifier.Offset(end),
		First: identifier.Offset(l.first), End: identifier.Offset(len(l.records)),
	}
}

// reader runs one tailer by hand, keeping what it asks for.
type reader struct {
	*tailer.Tailer
	now     time.Time
	calls   identifier.CallID
	answers map[identifier.CallID]any
	seen    []identifier.Offset
	applied identifier.Offset
	from    identifier.Offset
	read    tailer.ReadLog
	pulls   []tailer.PullRecords
	appends []committer.Append
	// snapshots are those that the reader wants written.
	snapshots []tailer.WriteSnapshot
	shown     *configurer.Settings
}

func newReader(name string) *reader {
	r := &reader{
		Tailer: tailer.NewTailer(tailer.Config{Node: identifier.NodeID(name), LogKeep: keep, Seeds: []string{"seed"}}),
		now:    start, answers: map[identifier.CallID]any{},
	}
	r.do(messenger.Tick{})
	return r
}

func (r *reader) do(event messenger.Event) {
	for _, effect := range r.Apply(r.now, event) {
		r.note(effect)
	}
}

func (r *reader) note(effect messenger.Effect) {
	switch e := effect.(type) {
	case tailer.ReadLog:
		r.from, r.read = e.From, e
	case tailer.WriteSnapshot:
		r.snapshots = append(r.snapshots, e)
	case tailer.PullRecords:
		r.pulls = append(r.pulls, e)
	case tailer.OffsetApplied:
		if e.Offset < r.applied {
			panic("the applied offset went back")
		}
		r.applied = e.Offset
	case messenger.Reply:
		r.answers[e.Call] = e.Answer
	case messenger.Broadcast:
		if changed, ok := e.Event.(tailer.SettingsChanged); ok {
			r.shown = changed.Settings
		}
	case messenger.Raise:
		switch ev := e.Event.(type) {
		case committer.Append:
			r.appends = append(r.appends, ev)
		case tailer.RecordSeen:
			r.seen = append(r.seen, ev.Record.Offset)
		}
	}
}

func (r *reader) ask(event func(identifier.CallID) messenger.Event) identifier.CallID {
	r.calls++
	r.do(event(r.calls))
	return r.calls
}

func (r *reader) tree() *configurer.Tree {
	id := r.ask(func(id identifier.CallID) messenger.Event { return tailer.TreeWanted{Call: id} })
	return r.answers[id].(*configurer.Tree)
}

func (r *reader) propose(c configurer.Change) identifier.CallID {
	return r.ask(func(id identifier.CallID) messenger.Event {
		return tailer.ChangeProposed{Call: id, Change: c, Deadline: r.now.Add(8 * time.Second)}
	})
}

func (r *reader) outcome(id identifier.CallID) responder.Outcome {
	a, _ := r.answers[id].(tailer.ChangeAnswer)
	return a.Outcome
}

// pullFrom brings the peer's records, or its state, as they travel between nodes.
func (r *reader) pullFrom(peer *reader) {
	id := peer.ask(func(id identifier.CallID) messenger.Event { return tailer.PullWanted{Call: id, From: r.applied} })
	raw, err := json.Marshal(peer.answers[id])
	if err != nil {
		panic(err)
	}
	var answer tailer.PullAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		panic(err)
	}
	r.do(tailer.RecordsPulled{Address: "peer", Answer: answer})
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

// fleet is a log, a reader that has read all of it, and others.
type fleet struct {
	*rapid.T
	log       *log
	whole     *reader
	readers   []*reader
	revisions map[string]identifier.Revision
}

func (f *fleet) followWhole() {
	for f.whole.from < identifier.Offset(len(f.log.records)) {
		f.whole.do(tailer.LogRead{Page: f.log.page(f.whole.from, 100)})
	}
}

func (f *fleet) follow(r *reader) {
	r.do(tailer.LogRead{Page: f.log.page(r.from, rapid.IntRange(1, 5).Draw(f.T, "page"))})
}

func (f *fleet) appendChange(step int) {
	team := rapid.SampledFrom([]string{"dakar", "amman"}).Draw(f.T, "team")
	id := fmt.Sprintf("c-%d", rapid.IntRange(0, 30).Draw(f.T, "id"))
	f.log.append(record(change(team, id, identifier.Revision(rapid.IntRange(0, 6).Draw(f.T, "expected")), 1+step)))
}

// appendSnapshot appends a snapshot, after changes that it does not hold.
func (f *fleet) appendSnapshot(step int) {
	body, _ := configurer.EncodeSnapshot(configurer.Snapshot{Tree: f.whole.tree(), At: start})
	for range rapid.IntRange(0, 2).Draw(f.T, "between") {
		f.log.append(record(change("dakar", fmt.Sprintf("b-%d", step), f.whole.tree().Get("dakar").Revision, step)))
	}
	f.log.append(platformcaller.Record{ID: "snapshot", Stream: configurer.SnapshotStream, Body: body})
}

func (f *fleet) act(r *reader, step int) {
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
		r.pullFrom(f.whole)
	case 6:
		f.readers = append(f.readers, newReader(fmt.Sprintf("r-%d", len(f.readers))))
	default:
		f.follow(r)
	}
	f.followWhole()
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
			f.Fatalf("revision of %s went back from %d to %d", team, f.revisions[k], sub.Revision)
		}
		f.revisions[k] = sub.Revision
	}
}

func (f *fleet) checkEnd(r *reader) {
	r.pullFrom(f.whole)
	for range len(f.log.records) + 1 {
		f.follow(r)
	}
	r.pullFrom(f.whole)
	if got, want := encoded(r.tree()), encoded(f.whole.tree()); got != want {
		f.Fatalf("a reader has\n%s\nwant\n%s", got, want)
	}
	for i := 1; i < len(r.seen); i++ {
		if r.seen[i] <= r.seen[i-1] {
			f.Fatalf("offset %d was seen after %d", r.seen[i], r.seen[i-1])
		}
	}
}

// TestReadersAgree drops old records, and lets readers start late, from snapshots and from
// peers, miss pages and see pages twice: all reach one tree with one verdict a change, and
// no reader's offset or revision goes back.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			T: t, log: &log{}, whole: newReader("whole"),
			readers: []*reader{newReader("r-0"), newReader("r-1")}, revisions: map[string]identifier.Revision{},
		}
		f.whole.do(tailer.LogRead{Page: f.log.page(0, 1)})
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.act(f.readers[rapid.IntRange(0, len(f.readers)-1).Draw(t, "reader")], step)
		}
		for _, r := range f.readers {
			f.checkEnd(r)
		}
	})
}

// TestSnapshotGivesWholeState starts a reader after retention: without a snapshot it shows
// nothing, with one it has the state, later changes included, and the verdicts of before.
func TestSnapshotGivesWholeState(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	old := newReader("old")
	l.append(record(change("dakar", "a", 0, 3)))
	old.do(tailer.LogRead{Page: l.page(0, 100)})
	l.append(record(change("dakar", "b", 1, 4)))
	l.first = 1
	fresh := newReader("fresh")
	fresh.do(tailer.LogRead{Page: l.page(0, 100)})
	c.Assert(fresh.tree(), qt.IsNil)
	c.Assert(fresh.shown, qt.IsNil)
	body, err := configurer.EncodeSnapshot(configurer.Snapshot{Tree: old.tree(), At: start})
	c.Assert(err, qt.IsNil)
	l.append(platformcaller.Record{Stream: configurer.SnapshotStream, Body: body})
	l.append(record(change("dakar", "a", 2, 9)))
	fresh.do(tailer.LogRead{Page: l.page(fresh.from, 100)})
	old.do(tailer.LogRead{Page: l.page(old.from, 100)})
	c.Assert(fresh.tree(), qt.DeepEquals, old.tree())
	c.Assert(fresh.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(2))
	c.Assert(fresh.shown.Offset, qt.Equals, identifier.Offset(4))
}

func written(c *qt.C, w tailer.WriteSnapshot) platformcaller.Record {
	r, err := w.Record()
	c.Assert(err, qt.IsNil)
	return r
}

// TestSnapshotDue writes a snapshot before retention drops the state, once, and again when it is not read back.
func TestSnapshotDue(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r := newReader("writer")
	l.append(record(change("dakar", "a", 0, 3)))
	r.do(tailer.LogRead{Page: l.page(0, 100)})
	r.do(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 0)
	r.now = r.now.Add(keep/2 - time.Second)
	r.do(messenger.Tick{})
	r.do(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 1)
	r.now = r.now.Add(keep / 8)
	r.do(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 2)
	l.append(written(c, r.snapshots[1]))
	r.do(tailer.LogRead{Page: l.page(1, 100)})
	r.now = r.now.Add(keep / 8)
	r.do(messenger.Tick{})
	c.Assert(r.snapshots, qt.HasLen, 2)
}

// TestNodeGoesOnAfterLoss loses records that nobody read: the settings stay in force, and
// after a while the node goes on from its own state; a node without one never does by itself.
func TestNodeGoesOnAfterLoss(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r, fresh := newReader("old"), newReader("fresh")
	l.append(record(change("dakar", "a", 0, 3)))
	r.do(tailer.LogRead{Page: l.page(0, 100)})
	l.append(record(change("dakar", "lost", 1, 4)))
	l.append(record(change("dakar", "kept", 1, 5)))
	l.first = 2
	for _, each := range []*reader{r, fresh} {
		each.do(tailer.LogRead{Page: l.page(each.from, 100)})
	}
	c.Assert(r.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(1))
	c.Assert(r.outcome(r.propose(change("dakar", "p", 1, 6))), qt.Equals, responder.NotRun)
	for range 20 {
		for _, each := range []*reader{r, fresh} {
			each.now = each.now.Add(500 * time.Millisecond)
			each.do(messenger.Tick{})
		}
	}
	c.Assert(fresh.snapshots, qt.HasLen, 0)
	c.Assert(len(r.snapshots) > 0, qt.IsTrue)
	l.append(written(c, r.snapshots[0]))
	for _, each := range []*reader{r, fresh} {
		each.do(tailer.LogRead{Page: l.page(each.from, 100)})
	}
	c.Assert(fresh.tree(), qt.DeepEquals, r.tree())
	c.Assert(r.tree().Lost, qt.DeepEquals, []configurer.Span{{From: 1, To: 2}})
	c.Assert(string(r.tree().Get("dakar").Values["accounts/studio/weight"]), qt.Equals, "5")
}

// TestStateThatLacksAcceptedChangesIsRefused keeps what is in force against a state that lost it.
func TestStateThatLacksAcceptedChangesIsRefused(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r := newReader("ahead")
	l.append(record(change("dakar", "a", 0, 3)))
	l.append(record(change("dakar", "b", 1, 4)))
	r.do(tailer.LogRead{Page: l.page(0, 100)})
	behind := configurer.NewTree()
	behind.Skip(5)
	r.do(tailer.RecordsPulled{Address: "peer", Answer: tailer.PullAnswer{Page: platformcaller.Page{End: 5}, Tree: behind}})
	c.Assert(r.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(2))
}

// TestReadsOfASlowLog gives reads more time only after reads that used theirs up, so that a
// silent connection after an outage is noticed soon.
func TestReadsOfASlowLog(t *testing.T) {
	c := qt.New(t)
	r := newReader("node")
	patience := func(took time.Duration) time.Duration {
		r.now = r.now.Add(took)
		r.do(tailer.ReadFailed{Err: "failed"})
		r.now = r.now.Add(time.Second)
		r.do(messenger.Tick{})
		c.Assert(r.read.Fresh, qt.IsTrue)
		return r.read.Deadline.Sub(r.now)
	}
	for range 20 {
		c.Assert(patience(time.Millisecond), qt.Equals, 2*time.Second)
	}
	c.Assert(patience(2*time.Second), qt.Equals, 4*time.Second)
	for range 5 {
		c.Assert(patience(8*time.Second) <= 8*time.Second, qt.IsTrue)
	}
}

// TestAnswersToOperators asks under one id in many ways; what is said stays true.
func TestAnswersToOperators(t *testing.T) {
	c := qt.New(t)
	l := &log{}
	r := newReader("node")
	a := change("dakar", "a", 0, 3)
	c.Assert(r.outcome(r.propose(a)), qt.Equals, responder.NotRun)
	r.do(tailer.LogRead{Page: l.page(0, 100)})
	first, twin := r.propose(a), r.propose(a)
	otherTeam := r.propose(change("amman", "a", 0, 3))
	reused := r.propose(change("dakar", "a", 0, 4))
	c.Assert(r.outcome(reused), qt.Equals, responder.Refused)
	c.Assert(r.appends, qt.HasLen, 2)
	r.do(committer.Lost{ID: r.appends[0].Record.ID})
	r.do(committer.Lost{ID: r.appends[1].Record.ID, NotSent: true})
	c.Assert(r.outcome(otherTeam), qt.Equals, responder.NotRun)
	r.now = r.now.Add(time.Second)
	r.do(messenger.Tick{})
	c.Assert(r.appends, qt.HasLen, 3)
	r.do(committer.Lost{ID: r.appends[2].Record.ID, NotSent: true})
	r.now = r.now.Add(8 * time.Second)
	r.do(messenger.Tick{})
	c.Assert(r.outcome(first), qt.Equals, responder.Unknown)
	c.Assert(r.outcome(twin), qt.Equals, responder.Unknown)
	r.do(tailer.ReadFailed{Err: "outage"})
	c.Assert(r.outcome(r.propose(a)), qt.Equals, responder.Unknown)
	c.Assert(r.outcome(r.propose(change("dakar", "n", 0, 3))), qt.Equals, responder.NotRun)
	l.append(r.appends[0].Record)
	l.append(r.appends[2].Record)
	r.do(tailer.LogRead{Page: l.page(0, 100)})
	again := r.propose(a)
	c.Assert(r.outcome(again), qt.Equals, responder.Delivered)
	c.Assert(r.answers[again].(tailer.ChangeAnswer).Verdict.Accepted, qt.IsTrue)
	c.Assert(r.outcome(r.propose(change("dakar", "a", 0, 9))), qt.Equals, responder.Refused)
	c.Assert(r.tree().Get("dakar").Revision, qt.Equals, identifier.Revision(1))
}

// TestRejectionNamesTheWinner says which change took the revision.
func TestRejectionNamesTheWinner(t *testing.T) {
	c := qt.New(t)
	tree := configurer.NewTree()
	c.Assert(tree.Decide(7, change("dakar", "a", 0, 3)).Accepted, qt.IsTrue)
	v := tree.Decide(8, change("dakar", "b", 0, 4))
	c.Assert(v.Accepted, qt.IsFalse)
	c.Assert(strings.Contains(v.Reason, "change a at offset 7 came first"), qt.IsTrue, qt.Commentf(v.Reason))
}

// world has two nodes before one log whose appends fail in every way.
type world struct {
	*rapid.T
	log   *log
	nodes []*reader
	// late holds records of appends that were given up on and may still take effect.
	late []platformcaller.Record
	told []toldOutcome
}

type toldOutcome struct {
	node   *reader
	call   identifier.CallID
	change configurer.Change
	first  bool
}

func (w *world) ask(asked map[identifier.ChangeID]bool) {
	n := rapid.SampledFrom(w.nodes).Draw(w.T, "asked node")
	id := fmt.Sprintf("c-%d", rapid.IntRange(0, 15).Draw(w.T, "id"))
	expected := identifier.Revision(rapid.IntRange(0, int(n.tree().Get("dakar").Revision)).Draw(w.T, "expected"))
	c := change("dakar", id, expected, rapid.IntRange(1, 3).Draw(w.T, "weight"))
	w.told = append(w.told, toldOutcome{n, n.propose(c), c, !asked[c.ID]})
	asked[c.ID] = true
}

// end ends one append of a node: done, answer lost after or before it took effect, or not sent.
func (w *world) end() {
	n := rapid.SampledFrom(w.nodes).Draw(w.T, "appending node")
	if len(n.appends) == 0 {
		return
	}
	r := n.appends[0].Record
	n.appends = n.appends[1:]
	switch rapid.IntRange(0, 4).Draw(w.T, "end") {
	case 0, 1:
		w.log.append(r)
	case 2:
		w.log.append(r)
		n.do(committer.Lost{ID: r.ID})
	case 3:
		w.late = append(w.late, r)
		n.do(committer.Lost{ID: r.ID})
	default:
		n.do(committer.Lost{ID: r.ID, NotSent: true})
	}
}

func (w *world) pass() {
	n := rapid.SampledFrom(w.nodes).Draw(w.T, "node")
	if rapid.Bool().Draw(w.T, "outage") {
		n.do(tailer.ReadFailed{Err: "outage"})
	}
	n.now = n.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(w.T, "ms")) * time.Millisecond)
	n.do(messenger.Tick{})
}

func (w *world) read(n *reader) { n.do(tailer.LogRead{Page: w.log.page(n.from, 100)}) }

func (w *world) check(tree *configurer.Tree) {
	for _, told := range w.told {
		a, answered := told.node.answers[told.call].(tailer.ChangeAnswer)
		if !answered {
			w.Fatalf("change %s was not answered", told.change.ID)
		}
		v, known := tree.Verdict("dakar", told.change.ID)
		isSame := known && v.Fingerprint == told.change.Fingerprint()
		switch {
		case a.Outcome == responder.Delivered && (!isSame || v != a.Verdict):
			w.Fatalf("change %s: told %+v, decided %+v", told.change.ID, a.Verdict, v)
		case a.Outcome == responder.NotRun && told.first && isSame && !w.askedAgain(told):
			w.Fatalf("change %s: told not run, decided %+v", told.change.ID, v)
		}
	}
}

func (w *world) askedAgain(of toldOutcome) bool {
	for _, told := range w.told {
		if told.change.ID == of.change.ID && (told.node != of.node || told.call != of.call) {
			return true
		}
	}
	return false
}

// TestOperatorsAreToldTheTruth has operators ask, and ask again, through two nodes while
// appends get lost before and after they take effect, take effect late and are not sent:
// a verdict told is the verdict decided, and a change told not run does not take effect.
func TestOperatorsAreToldTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{T: t, log: &log{}, nodes: []*reader{newReader("n-1"), newReader("n-2")}}
		for _, n := range w.nodes {
			w.read(n)
		}
		asked := map[identifier.ChangeID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				w.ask(asked)
			case 2:
				w.end()
			case 3:
				w.pass()
			case 4:
				w.read(rapid.SampledFrom(w.nodes).Draw(t, "reading node"))
			default:
				if len(w.late) > 0 {
					w.log.append(w.late[0])
					w.late = w.late[1:]
				}
			}
		}
		for _, r := range w.late {
			w.log.append(r)
		}
		for _, n := range w.nodes {
			w.read(n)
			n.now = n.now.Add(time.Minute)
			n.do(messenger.Tick{})
		}
		if a, b := encoded(w.nodes[0].tree()), encoded(w.nodes[1].tree()); a != b {
			t.Fatalf("nodes differ:\n%s\n%s", a, b)
		}
		w.check(w.nodes[0].tree())
	})
}
