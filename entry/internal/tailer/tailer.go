// Package tailer follows the platform's log: it applies configuration changes in log order,
// forwards all other records, and gets the records that the log no longer holds from peers or
// from a snapshot.
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
	// retryBackoff is the delay after a failed read or pull.
	retryBackoff = 100 * time.Millisecond
	// readWait is how long the log may hold a read open until a record arrives.
	readWait = 2 * time.Second
	// minReadSlack and maxReadSlack bound the time that a read may take beyond its wait.
	minReadSlack = 2 * time.Second
	maxReadSlack = 8 * time.Second
)

// logSubject is the subject of events about the log itself.
const logSubject = "log"

// keyOffset is the log key of an offset.
const keyOffset = "offset"

// Config holds the settings of a Tailer.
type Config struct {
	Node identifier.NodeID
	// LogKeep is how long the log keeps a record.
	LogKeep time.Duration
	// Seeds are addresses of peers to ask before any heartbeat has been received.
	Seeds []string
}

// Tailer is the reducer for the log and the configuration.
type Tailer struct {
	cfg  Config
	tree *configurer.Tree
	// next is the offset to read from. While synced, the tree includes all records before it.
	next   identifier.Offset
	synced bool
	// wasCurrent reports that the state has reached, at least once, the end of the log or a peer's position.
	wasCurrent bool
	// heldChanges buffers the configuration records from heldFrom on while the tree is not synced.
	heldChanges []platformcaller.Record
	heldFrom    identifier.Offset
	// forwardedTo is the offset after the newest record forwarded as RecordSeen.
	forwardedTo identifier.Offset
	// changed reports that the tree has changed since the settings were last broadcast.
	changed bool
	// settings is the last broadcast view of the tree, or nil if another tree was installed since.
	settings *configurer.Settings

	// reading reports that a read of the log is in progress.
	reading bool
	// reachable reports that the last read of the log did not fail.
	reachable bool
	// atEnd reports that the last page read from the log reached its end.
	atEnd bool
	// readSlack is the time that the next read may take beyond its wait.
	readSlack    time.Duration
	readDeadline time.Time
	// retryAt is when the log may be read again after a failed read.
	retryAt time.Time

	proposer    proposer
	puller      puller
	snapshotter snapshotter
	recent      recentRecords
}

// NewTailer returns a tailer that starts at the oldest record of the log.
func NewTailer(cfg Config) *Tailer {
	return &Tailer{
		cfg: cfg, tree: configurer.NewTree(), synced: true, reachable: true, readSlack: minReadSlack,
		proposer: newProposer(), puller: newPuller(cfg.Node), snapshotter: newSnapshotter(cfg),
	}
}

// Apply applies one event and returns the resulting effects.
func (t *Tailer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case LogRead:
		return t.onLogRead(now, ev.Page)
	case ReadFailed:
		return t.readFailed(now, ev)
	case RecordsPulled:
		return t.onPulled(now, ev)
	case PullFailed:
		t.puller.onPullFailed(now, ev.Address)
	case PullRequested:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: t.answerPull(ev.From)}}
	case heartbeater.HeartbeatAnswered:
		t.puller.onHeartbeat(now, ev.Heartbeat)
	case ChangeProposed:
		return t.propose(ev)
	case committer.Lost:
		return t.onAppendLost(now, ev)
	case TreeRequested:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: t.copyOfTree()}}
	case BeginRequested:
		return t.begin(now, ev)
	case messenger.Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tailer) copyOfTree() *configurer.Tree {
	if !t.wasCurrent {
		return nil
	}
	return t.tree.Clone()
}

func (t *Tailer) tick(now time.Time) []messenger.Effect {
	effects := t.tickProposals(now)
	effects = append(effects, t.snapshot(now)...)
	effects = append(effects, t.pull(now)...)
	if t.reading || now.Before(t.retryAt) {
		return effects
	}
	t.reading = true
	return append(effects, t.readNext(now))
}

// readNext reads the next page. The read waits for a record only if the last page reached the
// end. After a failure it uses a new connection and does not wait.
func (t *Tailer) readNext(now time.Time) messenger.Effect {
	r := ReadLog{From: t.next, Deadline: now.Add(t.readSlack), NewConn: !t.reachable}
	if t.reachable && t.atEnd {
		r.Wait = readWait
		r.Deadline = r.Deadline.Add(readWait)
	}
	t.readDeadline = r.Deadline
	return r
}

func (t *Tailer) onLogRead(now time.Time, page platformcaller.Page) []messenger.Effect {
	var effects []messenger.Effect
	if !t.reachable {
		t.reachable = true
		t.snapshotter.onLogReachable(now)
		effects = append(effects, messenger.Log{Event: eventlogger.LogReachable, Subject: logSubject, Values: []any{keyOffset, page.Next}})
	}
	effects = append(effects, t.applyPage(now, page)...)
	t.atEnd = t.next >= page.End
	if t.atEnd {
		t.puller.onLogEnd(now, t.synced)
		effects = append(effects, t.markCurrent(now)...)
		effects = append(effects, messenger.Raise{Event: CaughtUp{Offset: t.next}})
	}
	effects = append(effects, t.publish()...)
	t.reading = true
	return append(effects, t.readNext(now))
}

// applyPage applies the new records of the page in order.
func (t *Tailer) applyPage(now time.Time, page platformcaller.Page) []messenger.Effect {
	var effects []messenger.Effect
	if page.First > t.next {
		effects = append(effects, t.onRecordsLost(page.First)...)
	}
	for _, r := range page.Records {
		if r.Offset >= t.next {
			effects = append(effects, t.apply(now, r)...)
		}
	}
	t.next = max(t.next, page.Next)
	return append(effects, t.advance()...)
}

// advance updates and announces the applied offset, which only grows.
func (t *Tailer) advance() []messenger.Effect {
	if !t.synced || t.tree.Offset >= t.next {
		return nil
	}
	t.tree.Offset = t.next
	return t.announceOffset()
}

func (t *Tailer) announceOffset() []messenger.Effect {
	return []messenger.Effect{
		OffsetApplied{Offset: t.tree.Offset},
		messenger.Raise{Event: heartbeater.OffsetApplied{Offset: t.tree.Offset}},
	}
}

// onRecordsLost handles records before first that the log dropped before this node read them. The
// tree stays in force. Later changes are buffered until a state that includes the lost records is found.
func (t *Tailer) onRecordsLost(first identifier.Offset) []messenger.Effect {
	t.synced = false
	t.heldChanges, t.heldFrom = nil, first
	t.recent.clear()
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RecordsLost, Subject: logSubject, Values: []any{"from", t.next, "to", first},
	}}
	effects = append(effects, t.raiseGap(first)...)
	t.next = first
	return effects
}

// raiseGap reports the records below the offset to that have not been forwarded and never will be.
func (t *Tailer) raiseGap(to identifier.Offset) []messenger.Effect {
	if to <= t.forwardedTo {
		return nil
	}
	gap := GapFound{From: t.forwardedTo, To: to}
	t.forwardedTo = to
	return []messenger.Effect{messenger.Raise{Event: gap}}
}

func (t *Tailer) apply(now time.Time, r platformcaller.Record) []messenger.Effect {
	t.next = r.Offset + 1
	t.recent.add(r)
	switch r.Stream {
	case configurer.Stream:
		if !t.synced {
			t.heldChanges = append(t.heldChanges, r)
			return nil
		}
		return t.decide(now, r)
	case configurer.SnapshotStream:
		return t.applySnapshot(now, r)
	}
	if r.Offset < t.forwardedTo {
		return nil
	}
	t.forwardedTo = t.next
	return []messenger.Effect{messenger.Raise{Event: RecordSeen{Record: r}}}
}

// decide applies a configuration record to the tree and answers the callers that wait for it.
func (t *Tailer) decide(now time.Time, r platformcaller.Record) []messenger.Effect {
	var change configurer.Change
	if err := json.Unmarshal(r.Body, &change); err != nil {
		return unreadable(r, err)
	}
	if len(t.tree.Teams) == 0 {
		t.snapshotter.onFirstChange(now)
	}
	// A change id that was decided before gets its earlier decision, with the earlier offset.
	decision := t.tree.Decide(r.Offset, change)
	var effects []messenger.Effect
	if decision.Offset == r.Offset {
		t.changed = t.changed || decision.Accepted
		effects = append(effects, logDecision(decision))
	}
	return append(effects, t.answerDecision(decision)...)
}

func unreadable(r platformcaller.Record, err error) []messenger.Effect {
	return []messenger.Effect{messenger.Log{
		Event: eventlogger.RecordUnreadable, Subject: logSubject, Values: []any{keyOffset, r.Offset, "cause", err.Error()},
	}}
}

func logDecision(d configurer.Decision) messenger.Effect {
	event := eventlogger.ChangeRejected
	if d.Accepted {
		event = eventlogger.ChangeAccepted
	}
	return messenger.Log{
		Event: event, Subject: "change/" + string(d.ID),
		Values: []any{"team", d.Team, "revision", d.Revision, keyOffset, d.Offset, "author", d.Author, "reason", d.Reason},
	}
}

// markCurrent records that the state has reached the end of the log or a peer's position.
func (t *Tailer) markCurrent(now time.Time) []messenger.Effect {
	if !t.synced || t.wasCurrent {
		return nil
	}
	t.wasCurrent, t.changed = true, true
	t.snapshotter.onStateReady(now, len(t.tree.Teams) > 0)
	return t.announceOffset()
}

// publish broadcasts the settings if they changed. A node whose state has never been current does
// not publish, because its settings would be outdated.
func (t *Tailer) publish() []messenger.Effect {
	if !t.changed || !t.wasCurrent {
		return nil
	}
	t.changed = false
	t.settings = t.tree.Settings(t.settings)
	return []messenger.Effect{messenger.Broadcast{Event: SettingsChanged{Settings: t.settings}}}
}

func (t *Tailer) readFailed(now time.Time, ev ReadFailed) []messenger.Effect {
	t.reading = false
	t.retryAt = now.Add(retryBackoff)
	if !t.reachable {
		t.extendReadSlack(now)
		return nil
	}
	t.reachable = false
	t.readSlack = minReadSlack
	return []messenger.Effect{messenger.Log{Event: eventlogger.LogUnreachable, Subject: logSubject, Values: []any{"cause", ev.Err}}}
}

// extendReadSlack gives the next read more time if the failed one used up its time.
func (t *Tailer) extendReadSlack(now time.Time) {
	if !now.Before(t.readDeadline) {
		t.readSlack = min(2*t.readSlack, maxReadSlack)
	}
}
