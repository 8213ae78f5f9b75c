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
	// appendRetryDelay is how long the proposer waits to read a change back after an uncertain append
	// before it appends the change again. The change's id makes a second append harmless.
	appendRetryDelay = 500 * time.Millisecond
	// maxUnresolved bounds the remembered changes whose decision is unknown.
	maxUnresolved = 4096
)

type changeKey struct {
	team identifier.TeamID
	id   identifier.ChangeID
}

type waiter struct {
	call     identifier.CallID
	deadline time.Time
}

// proposal is a change that waits for its decision.
type proposal struct {
	change      configurer.Change
	fingerprint string
	waiters     []waiter
	recordID    string
	// mayBeAppended reports that an append of the change may have taken effect.
	mayBeAppended bool
	// retryAt is when the change is appended again. Zero while an append is in progress.
	retryAt time.Time
}

// proposer holds the changes that operators wait for at this node.
type proposer struct {
	// open holds the proposals without a decision so far.
	open map[changeKey]*proposal
	// unresolved holds the changes answered "unknown", oldest first. They must not be answered
	// "not run" later.
	unresolved []changeKey
	// appends counts the appends, to make the record ids unique.
	appends int
}

func newProposer() proposer { return proposer{open: map[changeKey]*proposal{}} }

func (p *proposer) keys() []changeKey {
	return slices.SortedFunc(maps.Keys(p.open), func(a, b changeKey) int {
		return strings.Compare(string(a.team)+"/"+string(a.id), string(b.team)+"/"+string(b.id))
	})
}

func (p *proposer) addUnresolved(k changeKey) {
	if slices.Contains(p.unresolved, k) {
		return
	}
	p.unresolved = append(p.unresolved, k)
	if len(p.unresolved) > maxUnresolved {
		p.unresolved = p.unresolved[1:]
	}
}

func (p *proposer) removeUnresolved(k changeKey) {
	p.unresolved = slices.DeleteFunc(p.unresolved, func(o changeKey) bool { return o == k })
}

func (t *Tailer) propose(ev ChangeProposed) []messenger.Effect {
	k := changeKey{ev.Change.Team, ev.Change.ID}
	p := &proposal{change: ev.Change, fingerprint: ev.Change.Fingerprint(), waiters: []waiter{{ev.Call, ev.Deadline}}}
	if d, ok := t.tree.Decision(k.team, k.id); ok {
		return answerDecision(p, d)
	}
	if open, ok := t.proposer.open[k]; ok {
		if open.fingerprint != p.fingerprint {
			return refuseReuse(p)
		}
		open.waiters = append(open.waiters, p.waiters...)
		return nil
	}
	if reason := t.unavailableReason(); reason != "" {
		return t.notRun(k, p, reason)
	}
	t.proposer.open[k] = p
	return t.append(p)
}

// unavailableReason returns why changes cannot be appended to the log now, or "" if they can.
func (t *Tailer) unavailableReason() string {
	switch {
	case !t.reachable:
		return "the platform's log cannot be reached"
	case !t.synced || !t.wasCurrent:
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
	p.retryAt = time.Time{}
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

// onAppendLost answers a proposal that cannot have taken effect. Any other proposal is appended
// again if it does not show up in the log.
func (t *Tailer) onAppendLost(now time.Time, ev committer.Lost) []messenger.Effect {
	for k, p := range t.proposer.open {
		if p.recordID != ev.ID {
			continue
		}
		if ev.NotSent && !p.mayBeAppended {
			delete(t.proposer.open, k)
			return t.notRun(k, p, "the platform's log could not be reached")
		}
		p.mayBeAppended = true
		p.retryAt = now.Add(appendRetryDelay)
		return []messenger.Effect{p.log(eventlogger.AppendUnanswered, "not_sent", ev.NotSent)}
	}
	return nil
}

// tickProposals retries the appends that are due and answers the callers whose deadline has passed.
func (t *Tailer) tickProposals(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, k := range t.proposer.keys() {
		p := t.proposer.open[k]
		effects = append(effects, t.expire(now, k, p)...)
		if len(p.waiters) > 0 && !p.retryAt.IsZero() && !now.Before(p.retryAt) && t.unavailableReason() == "" {
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
	t.proposer.addUnresolved(k)
	if len(p.waiters) == 0 {
		delete(t.proposer.open, k)
	}
	return late.answer(ChangeAnswer{Outcome: responder.Unknown}, p.log(eventlogger.ChangeUnknown))
}

// notRun answers a change that this node did not append to the log. The answer is "not run" only if
// no earlier proposal at this node may have appended it.
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

// answerDecision answers the callers that wait for the change, and refuses those whose change has
// other content under the same id.
func (t *Tailer) answerDecision(d configurer.Decision) []messenger.Effect {
	k := changeKey{d.Team, d.ID}
	t.proposer.removeUnresolved(k)
	p, ok := t.proposer.open[k]
	if !ok {
		return nil
	}
	delete(t.proposer.open, k)
	return answerDecision(p, d)
}

func answerDecision(p *proposal, d configurer.Decision) []messenger.Effect {
	if p.fingerprint != d.Fingerprint {
		return refuseReuse(p)
	}
	return p.answer(ChangeAnswer{Outcome: responder.Delivered, Decision: d})
}

func refuseReuse(p *proposal) []messenger.Effect {
	reason := "the change id was used for another change"
	return p.answer(ChangeAnswer{Outcome: responder.Refused, Reason: reason}, p.log(eventlogger.ChangeIDReused, "author", p.change.Author))
}

// answerDecided answers the changes whose decision is part of a newly installed state.
func (t *Tailer) answerDecided() []messenger.Effect {
	var effects []messenger.Effect
	for _, k := range t.proposer.keys() {
		if d, ok := t.tree.Decision(k.team, k.id); ok {
			effects = append(effects, t.answerDecision(d)...)
		}
	}
	return effects
}
