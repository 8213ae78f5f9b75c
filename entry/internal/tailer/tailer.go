// Package tailer follows the platform's log: it applies the changes of configuration
// in log order, hands every other record on, and gets from peers or from a snapshot
// what the log does not give.
package tailer

import (
	"encoding/json"
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

const (
	// retryAfter is the pause after a read that failed.
	retryAfter = 100 * time.Millisecond
	// readWait is how long the log may wait for a record.
	readWait = 2 * time.Second
	// leastSlack and mostSlack bound the time that a read may take beyond its wait.
	leastSlack = 2 * time.Second
	mostSlack  = 8 * time.Second
)

// logSubject is the subject of events about the log itself.
const logSubject = "log"

// keyOffset is the key of an offset in events.
const keyOffset = "offset"

// Config holds what a tailer needs to know of its node.
type Config struct {
	Node identifier.NodeID
	// LogKeep is how long the log keeps a record.
	LogKeep time.Duration
	// Seeds are addresses of peers to ask before any is known.
	Seeds []string
}

// Tailer is the sub-reducer of the log and the configuration.
type Tailer struct {
	cfg  Config
	tree *configurer.Tree
	// next is the offset to read from; the tree is as of it while synced.
	next   identifier.Offset
	synced bool
	// current says that the state once reached the end of the log or a peer's position.
	current bool
	// held has the configuration's records from heldFrom on while the tree is not synced.
	held     []platformcaller.Record
	heldFrom identifier.Offset
	// handedOn is the offset after the newest record of another stream handed on.
	handedOn identifier.Offset
	// changed says that the tree changed since the settings were last broadcast.
	changed bool
	// settings is the view of the tree broadcast last, nil when another tree was installed since.
	settings *configurer.Settings

	reading   bool
	reachable bool
	// atEnd says that the newest page read from the log went to its end.
	atEnd     bool
	slack     time.Duration
	readUntil time.Time
	notUntil  time.Time

	proposer    proposer
	puller      puller
	snapshotter snapshotter
	keeper      keeper
}

// NewTailer returns a tailer that starts at the log's oldest record.
func NewTailer(cfg Config) *Tailer {
	return &Tailer{
		cfg: cfg, tree: configurer.NewTree(), synced: true, reachable: true, slack: leastSlack,
		proposer: newProposer(), puller: newPuller(cfg.Node), snapshotter: newSnapshotter(cfg),
	}
}

// Apply takes one event and returns what to do.
func (t *Tailer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case LogRead:
		return t.read(now, ev.Page)
	case ReadFailed:
		return t.readFailed(now, ev)
	case RecordsPulled:
		return t.pulled(now, ev)
	case PullFailed:
		t.puller.failed(now, ev.Address)
	case PullWanted:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: t.answerPull(ev.From)}}
	case heartbeater.Heard:
		t.puller.heard(now, ev.Heartbeat)
	case ChangeProposed:
		return t.propose(ev)
	case committer.Lost:
		return t.lost(now, ev)
	case TreeWanted:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: t.copyOfTree()}}
	case BeginWanted:
		return t.begin(now, ev)
	case messenger.Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tailer) copyOfTree() *configurer.Tree {
	if !t.current {
		return nil
	}
	return t.tree.Clone()
}

func (t *Tailer) tick(now time.Time) []messenger.Effect {
	effects := t.tickProposals(now)
	effects = append(effects, t.snapshot(now)...)
	effects = append(effects, t.pull(now)...)
	if t.reading || now.Before(t.notUntil) {
		return effects
	}
	t.reading = true
	return append(effects, t.readNext(now))
}

// readNext reads on, waiting for a record only where the end was seen; after a failure it
// reads on a new connection and does not wait.
func (t *Tailer) readNext(now time.Time) messenger.Effect {
	r := ReadLog{From: t.next, Deadline: now.Add(t.slack), Fresh: !t.reachable}
	if t.reachable && t.atEnd {
		r.Wait = readWait
		r.Deadline = r.Deadline.Add(readWait)
	}
	t.readUntil = r.Deadline
	return r
}

func (t *Tailer) read(now time.Time, page platformcaller.Page) []messenger.Effect {
	var effects []messenger.Effect
	if !t.reachable {
		t.reachable = true
		t.snapshotter.reached(now)
		effects = append(effects, messenger.Log{Event: eventlogger.LogReached, Subject: logSubject, Values: []any{keyOffset, page.Next}})
	}
	effects = append(effects, t.take(now, page)...)
	t.atEnd = t.next >= page.End
	if t.atEnd {
		t.puller.logEnd(now, t.synced)
		effects = append(effects, t.settle(now)...)
		effects = append(effects, messenger.Raise{Event: CaughtUp{Offset: t.next}})
	}
	effects = append(effects, t.publish()...)
	t.reading = true
	return append(effects, t.readNext(now))
}

// take applies the page's records that are new, in order.
func (t *Tailer) take(now time.Time, page platformcaller.Page) []messenger.Effect {
	var effects []messenger.Effect
	if page.First > t.next {
		effects = append(effects, t.lose(page.First)...)
	}
	for _, r := range page.Records {
		if r.Offset >= t.next {
			effects = append(effects, t.apply(now, r)...)
		}
	}
	t.next = max(t.next, page.Next)
	return append(effects, t.advance()...)
}

// advance tells the applied offset, which only grows.
func (t *Tailer) advance() []messenger.Effect {
	if !t.synced || t.tree.Offset >= t.next {
		return nil
	}
	t.tree.Offset = t.next
	return t.tellOffset()
}

func (t *Tailer) tellOffset() []messenger.Effect {
	return []messenger.Effect{
		OffsetApplied{Offset: t.tree.Offset},
		messenger.Raise{Event: heartbeater.OffsetApplied{Offset: t.tree.Offset}},
	}
}

// lose notes that the log dropped records up to first which this node has not read. The tree
// stays in force; later changes are held until a state that saw the lost ones is found.
func (t *Tailer) lose(first identifier.Offset) []messenger.Effect {
	t.synced = false
	t.held, t.heldFrom = nil, first
	t.keeper.clear()
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RecordsLost, Subject: logSubject, Values: []any{"from", t.next, "to", first},
	}}
	effects = append(effects, t.raiseGap(first)...)
	t.next = first
	return effects
}

func (t *Tailer) raiseGap(to identifier.Offset) []messenger.Effect {
	if to <= t.handedOn {
		return nil
	}
	gap := GapFound{From: t.handedOn, To: to}
	t.handedOn = to
	return []messenger.Effect{messenger.Raise{Event: gap}}
}

func (t *Tailer) apply(now time.Time, r platformcaller.Record) []messenger.Effect {
	t.next = r.Offset + 1
	t.keeper.keep(r)
	switch r.Stream {
	case configurer.Stream:
		if !t.synced {
			t.held = append(t.held, r)
			return nil
		}
		return t.decide(now, r)
	case configurer.SnapshotStream:
		return t.seeSnapshot(now, r)
	}
	if r.Offset < t.handedOn {
		return nil
	}
	t.handedOn = t.next
	return []messenger.Effect{messenger.Raise{Event: RecordSeen{Record: r}}}
}

func (t *Tailer) decide(now time.Time, r platformcaller.Record) []messenger.Effect {
	var change configurer.Change
	if err := json.Unmarshal(r.Body, &change); err != nil {
		return unreadable(r, err)
	}
	if len(t.tree.Teams) == 0 {
		t.snapshotter.first(now)
	}
	verdict := t.tree.Decide(r.Offset, change)
	var effects []messenger.Effect
	if verdict.Offset == r.Offset {
		t.changed = t.changed || verdict.Accepted
		effects = append(effects, logVerdict(verdict))
	}
	return append(effects, t.answerVerdict(verdict)...)
}

func unreadable(r platformcaller.Record, err error) []messenger.Effect {
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.RecordUnreadable, Subject: logSubject, Values: []any{keyOffset, r.Offset, "cause", err.Error()},
	}}
}

func logVerdict(v configurer.Verdict) messenger.Effect {
	event := eventlogger.ChangeRejected
	if v.Accepted {
		event = eventlogger.ChangeAccepted
	}
	return messenger.Log{
		Event: event, Subject: "change/" + string(v.ID),
		Values: []any{"team", v.Team, "revision", v.Revision, keyOffset, v.Offset, "author", v.Author, "reason", v.Reason},
	}
}

// settle notes that the state reached the end of the log, or a peer's position.
func (t *Tailer) settle(now time.Time) []messenger.Effect {
	if !t.synced || t.current {
		return nil
	}
	t.current, t.changed = true, true
	t.snapshotter.started(now, len(t.tree.Teams) > 0)
	return t.tellOffset()
}

// publish broadcasts the settings when they changed; a node that has not come to the end
// of the log once would show old ones.
func (t *Tailer) publish() []messenger.Effect {
	if !t.changed || !t.current {
		return nil
	}
	t.changed = false
	t.settings = t.tree.Settings(t.settings)
	return []messenger.Effect{messenger.Broadcast{Event: SettingsChanged{Settings: t.settings}}}
}

func (t *Tailer) readFailed(now time.Time, ev ReadFailed) []messenger.Effect {
	t.reading = false
	t.notUntil = now.Add(retryAfter)
	if !t.reachable {
		t.slow(now)
		return nil
	}
	t.reachable = false
	t.slack = leastSlack
	return []messenger.Effect{messenger.Log{Event: eventlogger.LogUnreachable, Subject: logSubject, Values: []any{"cause", ev.Err}}}
}

// slow gives the next read more time when this one used up its own.
func (t *Tailer) slow(now time.Time) {
	if !now.Before(t.readUntil) {
		t.slack = min(2*t.slack, mostSlack)
	}
}
