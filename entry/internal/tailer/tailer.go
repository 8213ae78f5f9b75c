// Package tailer follows the platform's log: it applies the changes of configuration
// in log order and hands every other record on.
package tailer

import (
	"encoding/json"
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/committer"
)

// retryAfter is the pause after a read that failed.
const retryAfter = 100 * time.Millisecond

// ReadLog is the effect of one read of the log; LogRead or ReadFailed follows.
type ReadLog struct{ From identifier.Offset }

// LogRead brings one page of the log.
type LogRead struct{ Page platformcaller.Page }

// ReadFailed says that the log could not be read.
type ReadFailed struct{ Err string }

// RecordSeen hands on one record that is no change of configuration.
type RecordSeen struct{ Record platformcaller.Record }

// SettingsChanged brings the settings now in force.
type SettingsChanged struct{ Settings *configurer.Settings }

// CaughtUp says that the log was read to its end as of the read.
type CaughtUp struct{ Offset identifier.Offset }

// ChangeProposed is an operator's change; a ChangeAnswer is replied to Call.
type ChangeProposed struct {
	Call     identifier.CallID
	Change   configurer.Change
	Deadline time.Time
}

// ChangeAnswer tells the operator how the change went.
type ChangeAnswer struct {
	// Outcome is Delivered when the verdict is known, else NotRun or Unknown.
	Outcome responder.Outcome
	Verdict configurer.Verdict
}

// TreeWanted asks for a copy of the tree, which is replied to Call as a *configurer.Tree.
type TreeWanted struct{ Call identifier.CallID }

type proposal struct {
	call     identifier.CallID
	change   configurer.Change
	deadline time.Time
}

// Tailer is the sub-reducer of the log and the configuration.
type Tailer struct {
	tree      *configurer.Tree
	reading   bool
	reachable bool
	notUntil  time.Time
	proposals map[identifier.ChangeID][]proposal
}

// NewTailer returns a tailer that starts at the log's oldest record.
func NewTailer() *Tailer {
	return &Tailer{tree: configurer.NewTree(), reachable: true, proposals: map[identifier.ChangeID][]proposal{}}
}

// Apply takes one event and returns what to do.
func (t *Tailer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case LogRead:
		return t.read(ev.Page)
	case ReadFailed:
		return t.readFailed(now, ev)
	case ChangeProposed:
		return t.propose(ev)
	case committer.Lost:
		return t.lost(ev)
	case TreeWanted:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: t.tree.Clone()}}
	case messenger.Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tailer) tick(now time.Time) []messenger.Effect {
	effects := t.expire(now)
	if t.reading || now.Before(t.notUntil) {
		return effects
	}
	t.reading = true
	return append(effects, ReadLog{From: t.tree.Offset})
}

func (t *Tailer) read(page platformcaller.Page) []messenger.Effect {
	var effects []messenger.Effect
	if !t.reachable {
		t.reachable = true
		effects = append(effects, messenger.Log{Event: eventlogger.LogReached, Subject: "log", Values: []any{"offset", page.Next}})
	}
	changed := false
	for _, r := range page.Records {
		if r.Offset < t.tree.Offset {
			continue
		}
		t.tree.Offset = r.Offset + 1
		if r.Stream != configurer.Stream {
			effects = append(effects, messenger.Raise{Event: RecordSeen{Record: r}})
			continue
		}
		changed = true
		effects = append(effects, t.decide(r)...)
	}
	t.tree.Offset = max(t.tree.Offset, page.Next)
	if changed {
		effects = append(effects, messenger.Broadcast{Event: SettingsChanged{Settings: t.tree.Settings()}})
	}
	if t.tree.Offset >= page.End {
		effects = append(effects, messenger.Raise{Event: CaughtUp{Offset: t.tree.Offset}})
	}
	return append(effects, ReadLog{From: t.tree.Offset})
}

func (t *Tailer) decide(r platformcaller.Record) []messenger.Effect {
	var change configurer.Change
	if err := json.Unmarshal(r.Body, &change); err != nil {
		return []messenger.Effect{messenger.Log{Event: eventlogger.ChangeRejected, Subject: "change/" + r.ID, Values: []any{"reason", err.Error()}}}
	}
	verdict := t.tree.Decide(r.Offset, change)
	event := eventlogger.ChangeRejected
	if verdict.Accepted {
		event = eventlogger.ChangeAccepted
	}
	effects := []messenger.Effect{messenger.Log{
		Event: event, Subject: "change/" + string(change.ID),
		Values: []any{"team", change.Team, "revision", verdict.Revision, "offset", r.Offset, "reason", verdict.Reason},
	}}
	for _, p := range t.proposals[change.ID] {
		effects = append(effects, messenger.Reply{Call: p.call, Answer: ChangeAnswer{Outcome: responder.Delivered, Verdict: verdict}})
	}
	delete(t.proposals, change.ID)
	return effects
}

func (t *Tailer) readFailed(now time.Time, ev ReadFailed) []messenger.Effect {
	t.reading = false
	t.notUntil = now.Add(retryAfter)
	if !t.reachable {
		return nil
	}
	t.reachable = false
	return []messenger.Effect{messenger.Log{Event: eventlogger.LogUnreachable, Subject: "log", Values: []any{"cause", ev.Err}}}
}

func (t *Tailer) propose(ev ChangeProposed) []messenger.Effect {
	if v, ok := t.tree.Verdict(ev.Change.Team, ev.Change.ID); ok {
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: ChangeAnswer{Outcome: responder.Delivered, Verdict: v}}}
	}
	body, err := json.Marshal(ev.Change)
	if err != nil {
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: ChangeAnswer{Outcome: responder.NotRun}}}
	}
	waiting := t.proposals[ev.Change.ID]
	t.proposals[ev.Change.ID] = append(waiting, proposal{call: ev.Call, change: ev.Change, deadline: ev.Deadline})
	if len(waiting) > 0 {
		return nil
	}
	r := platformcaller.Record{ID: string(ev.Change.ID), Stream: configurer.Stream, Body: body}
	return []messenger.Effect{messenger.Raise{Event: committer.Append{Record: r, Deadline: ev.Deadline}}}
}

// lost answers proposals that cannot take effect; of others the log will tell, or the deadline.
func (t *Tailer) lost(ev committer.Lost) []messenger.Effect {
	if !ev.NotSent {
		return nil
	}
	return t.answer(identifier.ChangeID(ev.ID), responder.NotRun)
}

func (t *Tailer) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, waiting := range t.proposals {
		if !waiting[0].deadline.After(now) {
			effects = append(effects, t.answer(id, responder.Unknown)...)
		}
	}
	return effects
}

func (t *Tailer) answer(id identifier.ChangeID, outcome responder.Outcome) []messenger.Effect {
	var effects []messenger.Effect
	for _, p := range t.proposals[id] {
		v := configurer.Verdict{ID: id, Team: p.change.Team}
		effects = append(effects, messenger.Reply{Call: p.call, Answer: ChangeAnswer{Outcome: outcome, Verdict: v}})
	}
	delete(t.proposals, id)
	return effects
}
