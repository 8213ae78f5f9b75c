package tailer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/committer"
)

const (
	// appendAgainAfter is how long the log is read for a change whose append's answer was
	// lost before the change is appended again, which the change's id makes harmless.
	appendAgainAfter = 500 * time.Millisecond
	// unresolvedLimit bounds the changes remembered whose end is not known.
	unresolvedLimit = 4096
)

type changeKey struct {
	team identifier.TeamID
	id   identifier.ChangeID
}

type waiter struct {
	call     identifier.CallID
	deadline time.Time
}

// proposal is one change that waits for its verdict.
type proposal struct {
	change      configurer.Change
	fingerprint string
	waiters     []waiter
	recordID    string
	// maybeSent says that an append of it may have taken effect.
	maybeSent bool
	// againAt is when it is appended again, zero while an append is under way.
	againAt time.Time
}

// proposer holds the changes that operators wait for at this node.
type proposer struct {
	open map[changeKey]*proposal
	// unresolved holds changes answered "unknown", oldest first: "not run" would be untrue of them.
	unresolved []changeKey
	appends    int
}

func newProposer() proposer { return proposer{open: map[changeKey]*proposal{}} }

func (p *proposer) keys() []changeKey {
	return slices.SortedFunc(maps.Keys(p.open), func(a, b changeKey) int {
		return strings.Compare(string(a.team)+"/"+string(a.id), string(b.team)+"/"+string(b.id))
	})
}

func (p *proposer) leaveUnresolved(k changeKey) {
	if slices.Contains(p.unresolved, k) {
		return
	}
	p.unresolved = append(p.unresolved, k)
	if len(p.unresolved) > unresolvedLimit {
		p.unresolved = p.unresolved[1:]
	}
}

func (p *proposer) resolve(k changeKey) {
	p.unresolved = slices.DeleteFunc(p.unresolved, func(o changeKey) bool { return o == k })
}

func (t *Tailer) propose(ev ChangeProposed) []messenger.Effect {
	k := changeKey{ev.Change.Team, ev.Change.ID}
	p := &proposal{change: ev.Change, fingerprint: ev.Change.Fingerprint(), waiters: []waiter{{ev.Call, ev.Deadline}}}
	if v, ok := t.tree.Verdict(k.team, k.id); ok {
		return answerVerdict(p, v)
	}
	if open, ok := t.proposer.open[k]; ok {
		if open.fingerprint != p.fingerprint {
			return reuse(p)
		}
		open.waiters = append(open.waiters, p.waiters...)
		return nil
	}
	if reason := t.hindrance(); reason != "" {
		return t.notRun(k, p, reason)
	}
	t.proposer.open[k] = p
	return t.append(p)
}

// hindrance says why no change can be published now.
func (t *Tailer) hindrance() string {
	switch {
	case !t.reachable:
		return "the platform's log cannot be reached"
	case !t.synced || !t.current:
		return "the node has not read the log to its end"
	}
	return ""
}

func (t *Tailer) append(p *proposal) []messenger.Effect {
	body, err := json.Marshal(p.change)
	if err != nil {
		return nil
	}
	t.proposer.appends++
	p.recordID = fmt.Sprintf("change/%s/%s/%s/%d", p.change.Team, p.change.ID, t.cfg.Node, t.proposer.appends)
	p.againAt = time.Time{}
	r := platformcaller.Record{ID: p.recordID, Stream: configurer.Stream, Body: body}
	return []messenger.Effect{
		p.log(eventlogger.ChangeProposed, "team", p.change.Team, "expected", p.change.Expected, "author", p.change.Author),
		messenger.Raise{Event: committer.Append{Record: r, Deadline: p.lastDeadline()}},
	}
}

func (p *proposal) lastDeadline() time.Time {
	last := p.waiters[0].deadline
	for _, w := range p.waiters {
		if w.deadline.After(last) {
			last = w.deadline
		}
	}
	return last
}

func (p *proposal) log(event eventlogger.Event, values ...any) messenger.Effect {
	return messenger.Log{Event: event, Subject: "change/" + string(p.change.ID), Values: values}
}

// lost answers a proposal that cannot have taken effect; another is appended again
// when the log does not show it.
func (t *Tailer) lost(now time.Time, ev committer.Lost) []messenger.Effect {
	for k, p := range t.proposer.open {
		if p.recordID != ev.ID {
			continue
		}
		if ev.NotSent && !p.maybeSent {
			delete(t.proposer.open, k)
			return t.notRun(k, p, "the platform's log could not be reached")
		}
		p.maybeSent = true
		p.againAt = now.Add(appendAgainAfter)
		return []messenger.Effect{p.log(eventlogger.AppendUncertain, "not_sent", ev.NotSent)}
	}
	return nil
}

// tickProposals appends again what is due, and answers those whose deadline has passed.
func (t *Tailer) tickProposals(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, k := range t.proposer.keys() {
		p := t.proposer.open[k]
		effects = append(effects, t.expire(now, k, p)...)
		if len(p.waiters) > 0 && !p.againAt.IsZero() && !now.Before(p.againAt) && t.hindrance() == "" {
			effects = append(effects, t.append(p)...)
		}
	}
	return effects
}

func (t *Tailer) expire(now time.Time, k changeKey, p *proposal) []messenger.Effect {
	late := &proposal{change: p.change}
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool {
		if w.deadline.After(now) {
			return false
		}
		late.waiters = append(late.waiters, w)
		return true
	})
	if len(late.waiters) == 0 {
		return nil
	}
	t.proposer.leaveUnresolved(k)
	if len(p.waiters) == 0 {
		delete(t.proposer.open, k)
	}
	return late.answer(ChangeAnswer{Outcome: responder.Unknown}, p.log(eventlogger.ChangeUnknown))
}

// notRun answers a change that this node did not publish; "not run" is said only when no
// earlier attempt of this node may have published it.
func (t *Tailer) notRun(k changeKey, p *proposal, reason string) []messenger.Effect {
	if slices.Contains(t.proposer.unresolved, k) {
		return p.answer(ChangeAnswer{Outcome: responder.Unknown, Reason: reason}, p.log(eventlogger.ChangeUnknown, "reason", reason))
	}
	return p.answer(ChangeAnswer{Outcome: responder.NotRun, Reason: reason}, p.log(eventlogger.ChangeNotRun, "reason", reason))
}

func (p *proposal) answer(a ChangeAnswer, first ...messenger.Effect) []messenger.Effect {
	effects := first
	for _, w := range p.waiters {
		effects = append(effects, messenger.Reply{Call: w.call, Answer: a})
	}
	return effects
}

// answerVerdict answers who waits for the change, unless theirs has other content.
func (t *Tailer) answerVerdict(v configurer.Verdict) []messenger.Effect {
	k := changeKey{v.Team, v.ID}
	t.proposer.resolve(k)
	p, ok := t.proposer.open[k]
	if !ok {
		return nil
	}
	delete(t.proposer.open, k)
	return answerVerdict(p, v)
}

func answerVerdict(p *proposal, v configurer.Verdict) []messenger.Effect {
	if p.fingerprint != v.Fingerprint {
		return reuse(p)
	}
	return p.answer(ChangeAnswer{Outcome: responder.Delivered, Verdict: v})
}

func reuse(p *proposal) []messenger.Effect {
	reason := "the change id was used for another change"
	return p.answer(ChangeAnswer{Outcome: responder.Refused, Reason: reason}, p.log(eventlogger.ChangeIDReused, "author", p.change.Author))
}

// answerKnown answers the changes whose verdict came with a state.
func (t *Tailer) answerKnown() []messenger.Effect {
	var effects []messenger.Effect
	for _, k := range t.proposer.keys() {
		if v, ok := t.tree.Verdict(k.team, k.id); ok {
			effects = append(effects, t.answerVerdict(v)...)
		}
	}
	return effects
}
