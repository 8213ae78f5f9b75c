package recorder

import (
	"encoding/json"
	"fmt"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// retryAfter is what callers are told to wait before they ask again.
	retryAfter = time.Second
	// answerLimit bounds the body of a recorded answer, in bytes.
	answerLimit = 64 << 10
)

type claimState int

const (
	claimNone claimState = iota
	claimHeld
	claimEnded
)

// key is what the log says of one key.
type key struct {
	state       claimState
	owner       Owner
	fingerprint string
	end         Entry
}

// work is what this node is doing for one key.
type work struct {
	request    Requested
	calls      []Requested
	dispatched bool
	claimID    string
	// abandoned says that the callers were told not_run; the claim must be released if it wins.
	abandoned bool
}

// Recorder is the sub-reducer of requests that must not be repeated.
type Recorder struct {
	self     Owner
	keys     map[identifier.RecordKey]*key
	works    map[identifier.RecordKey]*work
	targets  []watcher.Target
	appended uint64
	turn     int
}

// NewRecorder returns a recorder for the given incarnation of the node.
func NewRecorder(self Owner) *Recorder {
	return &Recorder{self: self, keys: map[identifier.RecordKey]*key{}, works: map[identifier.RecordKey]*work{}}
}

// Apply takes one event and returns what to do.
func (r *Recorder) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return r.requested(ev)
	case tailer.RecordSeen:
		return r.seen(now, ev.Record)
	case committer.Lost:
		return r.lost(ev)
	case ServiceAnswered:
		return r.answered(now, ev)
	case ServiceFailed:
		return r.failed(now, ev)
	case watcher.TargetsChanged:
		r.targets = ev.Targets
	case messenger.Tick:
		return r.expire(now)
	}
	return nil
}

func (r *Recorder) requested(ev Requested) []messenger.Effect {
	k := r.key(ev.Key)
	if k.state != claimNone && k.fingerprint != ev.Fingerprint {
		return []messenger.Effect{reply(ev.Call, refusal(ev, "key_reused", "the key was used with another body"))}
	}
	if k.state == claimEnded {
		return []messenger.Effect{reply(ev.Call, replay(ev, k.end))}
	}
	w, ok := r.works[ev.Key]
	if ok && !w.abandoned {
		if w.request.Fingerprint != ev.Fingerprint {
			return []messenger.Effect{reply(ev.Call, refusal(ev, "key_reused", "the key is in use with another body"))}
		}
		w.calls = append(w.calls, ev)
		return nil
	}
	w = &work{request: ev, calls: []Requested{ev}}
	r.works[ev.Key] = w
	if k.state == claimHeld {
		return nil
	}
	return r.claim(w)
}

func (r *Recorder) claim(w *work) []messenger.Effect {
	e := Entry{Kind: EntryClaim, Key: w.request.Key, Fingerprint: w.request.Fingerprint, Owner: r.self}
	effect, id := r.append(e, w.request.Deadline)
	w.claimID = id
	return effect
}

func (r *Recorder) append(e Entry, deadline time.Time) ([]messenger.Effect, string) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, ""
	}
	r.appended++
	id := fmt.Sprintf("%s-%d-%d", r.self.Node, r.self.Incarnation, r.appended)
	record := platformcaller.Record{ID: id, Stream: Stream, Body: body}
	return []messenger.Effect{messenger.Raise{Event: committer.Append{Record: record, Deadline: deadline}}}, id
}

// seen applies one record of the log; every node does so in the same order.
func (r *Recorder) seen(now time.Time, record platformcaller.Record) []messenger.Effect {
	if record.Stream != Stream {
		return nil
	}
	var e Entry
	if err := json.Unmarshal(record.Body, &e); err != nil {
		return nil
	}
	k := r.key(e.Key)
	switch {
	case e.Kind == EntryClaim && k.state == claimNone:
		*k = key{state: claimHeld, owner: e.Owner, fingerprint: e.Fingerprint}
		return r.claimed(now, e)
	case e.Kind == EntryRelease && k.state == claimHeld && k.owner == e.Owner:
		*k = key{}
		return r.released(e.Key)
	case e.Kind == EntryOutcome && k.state == claimHeld && k.owner == e.Owner:
		k.state, k.end = claimEnded, e
		return r.ended(e)
	}
	return nil
}

// claimed dispatches when this node's own claim won and its callers still wait.
func (r *Recorder) claimed(now time.Time, e Entry) []messenger.Effect {
	if e.Owner != r.self {
		return nil
	}
	w, ok := r.works[e.Key]
	if !ok || w.abandoned || !w.request.Deadline.After(now) {
		return r.release(e.Key, now)
	}
	return r.dispatch(now, w)
}

func (r *Recorder) dispatch(now time.Time, w *work) []messenger.Effect {
	target, ok := r.choose(w.request.Service)
	if !ok {
		effects := r.finish(w, Answer{Outcome: responder.NotRun, Problem: problem(w.request, "no_target", "no target of the service is up"), RetryAfter: retryAfter})
		return append(effects, r.release(w.request.Key, now)...)
	}
	w.dispatched = true
	return []messenger.Effect{
		messenger.Log{Event: eventlogger.RecordClaimed, Subject: "request/" + string(w.request.Key), Values: []any{"target", target.ID}},
		CallService{
			Key: w.request.Key, Target: target.ID, Address: target.Address,
			Method: w.request.Method, Path: w.request.Path, Body: w.request.Body, Header: w.request.Header,
			Deadline: w.request.Deadline, Traceparent: w.request.Traceparent,
		},
	}
}

func (r *Recorder) choose(service identifier.ServiceID) (watcher.Target, bool) {
	var up []watcher.Target
	for _, t := range r.targets {
		if t.Role == platformcaller.RoleService && t.Service == service && t.State == watcher.StateUp {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return watcher.Target{}, false
	}
	r.turn++
	return up[r.turn%len(up)], true
}

func (r *Recorder) release(id identifier.RecordKey, now time.Time) []messenger.Effect {
	effects, _ := r.append(Entry{Kind: EntryRelease, Key: id, Owner: r.self}, now.Add(time.Hour))
	return effects
}

// released lets callers that wait at this node claim the key anew.
func (r *Recorder) released(id identifier.RecordKey) []messenger.Effect {
	w, ok := r.works[id]
	if !ok || w.abandoned {
		delete(r.works, id)
		return nil
	}
	return r.claim(w)
}

func (r *Recorder) ended(e Entry) []messenger.Effect {
	w, ok := r.works[e.Key]
	if !ok {
		return nil
	}
	return r.finish(w, replay(w.request, e))
}

func (r *Recorder) answered(now time.Time, ev ServiceAnswered) []messenger.Effect {
	e := Entry{Kind: EntryOutcome, Key: ev.Key, Owner: r.self, Outcome: responder.Delivered, Status: ev.Status, ContentType: ev.ContentType}
	if len(ev.Body) <= answerLimit {
		e.Body = ev.Body
	}
	effects, _ := r.append(e, now.Add(time.Hour))
	if w, ok := r.works[ev.Key]; ok {
		a := Answer{Outcome: responder.Delivered, Status: ev.Status, Body: ev.Body, ContentType: ev.ContentType}
		effects = append(effects, r.finish(w, a)...)
	}
	return effects
}

func (r *Recorder) failed(now time.Time, ev ServiceFailed) []messenger.Effect {
	w, ok := r.works[ev.Key]
	if ev.NotSent {
		effects := r.release(ev.Key, now)
		if ok {
			p := problem(w.request, "not_sent", "the service could not be reached")
			effects = append(effects, r.finish(w, Answer{Outcome: responder.NotRun, Problem: p, RetryAfter: retryAfter})...)
		}
		return effects
	}
	e := Entry{Kind: EntryOutcome, Key: ev.Key, Owner: r.self, Outcome: responder.Unknown}
	effects, _ := r.append(e, now.Add(time.Hour))
	if ok {
		effects = append(effects, r.finish(w, unknown(w.request))...)
	}
	return effects
}

// lost ends work whose claim cannot have been appended; other losses wait for the log or the deadline.
func (r *Recorder) lost(ev committer.Lost) []messenger.Effect {
	if !ev.NotSent {
		return nil
	}
	for _, w := range r.works {
		if w.claimID == ev.ID && !w.dispatched {
			p := problem(w.request, "log_unreachable", "the platform's log could not be reached")
			return r.finish(w, Answer{Outcome: responder.NotRun, Problem: p, RetryAfter: retryAfter})
		}
	}
	return nil
}

// expire answers callers whose deadline passed: not_run when the node has not dispatched
// and holds no other's claim, else unknown.
func (r *Recorder) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for id, w := range r.works {
		if w.abandoned || w.request.Deadline.After(now) {
			continue
		}
		k := r.key(id)
		if w.dispatched || (k.state == claimHeld && k.owner != r.self) {
			effects = append(effects, r.finish(w, unknown(w.request))...)
			continue
		}
		p := problem(w.request, "deadline", "the deadline passed before the request could be claimed")
		effects = append(effects, r.finish(w, Answer{Outcome: responder.NotRun, Problem: p, RetryAfter: retryAfter})...)
	}
	return effects
}

// finish answers every caller that waits for the key at this node.
func (r *Recorder) finish(w *work, a Answer) []messenger.Effect {
	delete(r.works, w.request.Key)
	if a.Outcome == responder.NotRun && w.claimID != "" && !w.dispatched && r.key(w.request.Key).state == claimNone {
		w.abandoned = true
		r.works[w.request.Key] = w
	}
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.RecordEnded, Subject: "request/" + string(w.request.Key),
		Values: []any{"outcome", a.Outcome, "status", a.Status, "reason", a.Problem.Code, "callers", len(w.calls)},
	}}
	for _, c := range w.calls {
		effects = append(effects, reply(c.Call, a))
	}
	w.calls = nil
	return effects
}

func (r *Recorder) key(id identifier.RecordKey) *key {
	k, ok := r.keys[id]
	if !ok {
		k = &key{}
		r.keys[id] = k
	}
	return k
}

func reply(call identifier.CallID, a Answer) messenger.Effect {
	return messenger.Reply{Call: call, Answer: a}
}

func replay(ev Requested, e Entry) Answer {
	if e.Outcome != responder.Delivered {
		return unknown(ev)
	}
	return Answer{Outcome: responder.Delivered, Status: e.Status, Body: e.Body, ContentType: e.ContentType, Replayed: true}
}

func unknown(ev Requested) Answer {
	p := problem(ev, "unknown", "the request may have run; ask again with the same key")
	p.Key = string(ev.Key)
	return Answer{Outcome: responder.Unknown, Problem: p, RetryAfter: retryAfter}
}

func refusal(ev Requested, code, message string) Answer {
	return Answer{Outcome: responder.Refused, Problem: problem(ev, code, message)}
}

func problem(ev Requested, code, message string) responder.Problem {
	return responder.Problem{Code: code, Message: message, Place: "services/" + string(ev.Service)}
}
