package recorder

import (
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// retryAfter is what callers are told to wait before they ask again.
	retryAfter = time.Second
	// claimAttempts bounds the appends of one claim; each has the same record id.
	claimAttempts = 2
	// claimPause is how long the log has to show a claim whose append failed before it is appended again.
	claimPause = 100 * time.Millisecond
	// outageGrace is how long the log may be unreachable before undecided requests are given up.
	outageGrace = 250 * time.Millisecond
	// absentGrace is how long a request waits for an owner that membership doesn't know.
	absentGrace = 3 * time.Second
	// probePause is the time between requests that try whether an unreachable log is back.
	probePause = 250 * time.Millisecond
	// frozenAfter is the time between two ticks from which this process counts as frozen.
	frozenAfter = time.Second
)

// work is a set of calls that wait at this node for one key. It appends at most one
// claim, under one record id, and dispatches at most once, when that claim wins.
type work struct {
	request Requested
	calls   []Requested
	claim   string
	lost    int
	retryAt time.Time
	since   time.Time
}

// flight is a dispatch of this node that has not ended.
type flight struct {
	claim       string
	fingerprint string
	at          int64
}

// Recorder is the sub-reducer of requests that must not be repeated.
type Recorder struct {
	self  Owner
	cfg   Config
	carry carrier
	// fill is set while a part of the log that the tailer skipped is being read.
	fill *filler
	// bodies counts the bytes of the answers that are remembered.
	bodies  int
	holds   map[identifier.RecordKey]*hold
	works   map[identifier.RecordKey]*work
	claims  map[string]identifier.RecordKey
	flights map[identifier.RecordKey]flight
	// pending holds the releases and outcomes that the log has not shown yet, by record id.
	pending   map[string]*unseen
	peers     map[identifier.NodeID]heartbeater.Peer
	targets   []watcher.Target
	downSince time.Time
	probeAt   time.Time
	ticked    time.Time
	appended  uint64
	turn      int
}

// NewRecorder returns a recorder for the given incarnation of the node.
func NewRecorder(self Owner, cfg Config) *Recorder {
	return &Recorder{
		self:    self,
		cfg:     cfg,
		holds:   map[identifier.RecordKey]*hold{},
		works:   map[identifier.RecordKey]*work{},
		claims:  map[string]identifier.RecordKey{},
		flights: map[identifier.RecordKey]flight{},
		pending: map[string]*unseen{},
		peers:   map[identifier.NodeID]heartbeater.Peer{},
	}
}

// Apply takes one event and returns what to do.
func (r *Recorder) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return r.requested(now, ev)
	case tailer.RecordSeen:
		return r.seen(now, ev.Record)
	case tailer.LogRead:
		r.downSince = time.Time{}
	case tailer.GapFound:
		return r.gapFound(ev)
	case RecordsRead:
		return r.recordsRead(now, ev)
	case committer.Appended:
		r.downSince = time.Time{}
	case tailer.ReadFailed:
		r.readFailed(now)
	case committer.Lost:
		return r.lost(now, ev)
	case ServiceAnswered:
		return r.answered(now, ev)
	case ServiceFailed:
		return r.failed(now, ev)
	case watcher.TargetsChanged:
		r.targets = ev.Targets
	case heartbeater.PeersChanged:
		return r.peersChanged(ev)
	case messenger.Tick:
		return r.tick(now)
	}
	return nil
}

func (r *Recorder) requested(now time.Time, ev Requested) []messenger.Effect {
	if h := r.holds[ev.Key]; h != nil && r.isExpired(h, now.Add(-clockSkew).UnixMilli()) {
		r.drop(ev.Key)
	}
	h := r.holds[ev.Key]
	switch {
	case h != nil && h.fingerprint != ev.Fingerprint:
		return r.end(ev, reused(ev))
	case h != nil && h.ended:
		return r.end(ev, replay(ev, h.end))
	case h != nil && r.isGone(h.owner):
		return r.end(ev, unknown(ev, "owner_gone"))
	}
	w, ok := r.works[ev.Key]
	if ok && w.request.Fingerprint != ev.Fingerprint {
		return r.end(ev, reused(ev))
	}
	if ok || h != nil {
		return r.join(now, ev)
	}
	switch {
	case !r.isWhole():
		return r.end(ev, notRun(ev, "records_incomplete", "the node does not know yet which keys ran"))
	case r.isFull():
		return r.end(ev, notRun(ev, "busy", "the node remembers as many keys as it may"))
	}
	if !r.downSince.IsZero() && now.Before(r.probeAt) {
		return r.end(ev, notRun(ev, "log_unreachable", "the platform's log cannot be reached"))
	}
	r.probeAt = now.Add(probePause)
	w = &work{request: ev, calls: []Requested{ev}, since: now}
	r.works[ev.Key] = w
	return r.claim(now, w)
}

// join lets a request wait for what comes of its key.
func (r *Recorder) join(now time.Time, ev Requested) []messenger.Effect {
	w, ok := r.works[ev.Key]
	if !ok {
		w = &work{request: ev, since: now}
		r.works[ev.Key] = w
	}
	w.calls = append(w.calls, ev)
	if ev.Deadline.After(w.request.Deadline) {
		w.request.Deadline = ev.Deadline
	}
	return []messenger.Effect{log(eventlogger.RecordJoined, ev.Key, "callers", len(w.calls))}
}

// claimed dispatches when this node's own claim won and its callers still wait. A claim
// of which the callers were told not_run is released, never dispatched.
func (r *Recorder) claimed(now time.Time, e Entry) []messenger.Effect {
	w, ok := r.works[e.Key]
	if e.Owner != r.self {
		return r.claimedByOther(w, e)
	}
	if r.flights[e.Key].claim == e.Claim {
		return nil
	}
	if !ok || w.claim != e.Claim || !w.request.Deadline.After(now) || !r.isWhole() {
		r.abandonClaim(w, e.Claim)
		return r.release(now, e)
	}
	return r.dispatch(now, w, e)
}

// abandonClaim gives a work that lives on a new claim: the release of one may come to
// the log late, and must not release what is dispatched under the same id.
func (r *Recorder) abandonClaim(w *work, claim string) {
	if w == nil || w.claim != claim {
		return
	}
	delete(r.claims, claim)
	w.claim, w.retryAt = "", time.Time{}
}

func (r *Recorder) claimedByOther(w *work, e Entry) []messenger.Effect {
	switch {
	case w == nil:
		return nil
	case w.request.Fingerprint != e.Fingerprint:
		return r.finish(w, reused(w.request))
	case r.isGone(e.Owner):
		return r.finish(w, unknown(w.request, "owner_gone"))
	}
	return []messenger.Effect{log(eventlogger.RecordJoined, e.Key, "owner", e.Owner.Node, "callers", len(w.calls))}
}

func (r *Recorder) dispatch(now time.Time, w *work, e Entry) []messenger.Effect {
	target, ok := r.choose(w.request.Service)
	if !ok {
		effects := r.release(now, e)
		return append(effects, r.finish(w, notRun(w.request, "no_target", "no target of the service is up"))...)
	}
	r.flights[e.Key] = flight{claim: e.Claim, fingerprint: e.Fingerprint, at: e.At}
	return []messenger.Effect{
		log(eventlogger.RecordClaimed, e.Key, "target", target.ID, "claim", e.Claim),
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

// released lets callers that wait at this node claim the key.
func (r *Recorder) released(now time.Time, id identifier.RecordKey) []messenger.Effect {
	w, ok := r.works[id]
	if !ok {
		return nil
	}
	return r.claim(now, w)
}

// ended answers those who wait; a wait with another body got its refusal when the key was claimed.
func (r *Recorder) ended(e Entry) []messenger.Effect {
	w, ok := r.works[e.Key]
	if !ok {
		return nil
	}
	if w.request.Fingerprint != e.Fingerprint {
		return r.finish(w, reused(w.request))
	}
	return r.finish(w, replay(w.request, e))
}

// answered replies before the outcome is in the log: an owner that dies in between
// leaves the key unknown, which is true, and an outage holds back no answer in hand.
func (r *Recorder) answered(now time.Time, ev ServiceAnswered) []messenger.Effect {
	e := Entry{Outcome: responder.Delivered, Status: ev.Status, ContentType: ev.ContentType, Body: ev.Body}
	effects, ok := r.conclude(now, ev.Key, e)
	if !ok {
		return nil
	}
	if w, ok := r.works[ev.Key]; ok {
		a := Answer{Outcome: responder.Delivered, Status: ev.Status, Body: ev.Body, ContentType: ev.ContentType}
		effects = append(effects, r.finish(w, a)...)
	}
	return effects
}

func (r *Recorder) failed(now time.Time, ev ServiceFailed) []messenger.Effect {
	f, ok := r.flights[ev.Key]
	if !ok {
		return nil
	}
	w, waits := r.works[ev.Key]
	if !ev.NotSent {
		effects, _ := r.conclude(now, ev.Key, Entry{Outcome: responder.Unknown})
		if waits {
			effects = append(effects, r.finish(w, unknown(w.request, "no_answer"))...)
		}
		return effects
	}
	delete(r.flights, ev.Key)
	effects := r.release(now, Entry{Key: ev.Key, Claim: f.claim})
	if waits {
		effects = append(effects, r.finish(w, notRun(w.request, "not_sent", "the service could not be reached"))...)
	}
	return effects
}

// conclude appends what came of a flight; this node knows it from now on.
func (r *Recorder) conclude(now time.Time, id identifier.RecordKey, e Entry) ([]messenger.Effect, bool) {
	f, ok := r.flights[id]
	if !ok {
		return nil, false
	}
	delete(r.flights, id)
	e.Kind, e.Key, e.Claim, e.Fingerprint, e.Owner, e.At = EntryOutcome, id, f.claim, f.fingerprint, r.self, f.at
	if len(e.Body) > answerLimit {
		e.Body, e.Truncated = nil, true
	}
	h := &hold{owner: r.self, claim: f.claim, fingerprint: f.fingerprint, at: f.at, seen: now, offset: r.carry.next}
	if known, ok := r.holds[id]; ok {
		// The log's newest word is still the claim, which must be carried forward in time.
		h.seen, h.offset = known.seen, known.offset
	}
	r.hold(id, h)
	r.conclusion(h, e)
	return r.appendUntilSeen(now, e), true
}

// finish answers every caller that waits for the key at this node.
func (r *Recorder) finish(w *work, a Answer) []messenger.Effect {
	delete(r.works, w.request.Key)
	delete(r.claims, w.claim)
	effects := []messenger.Effect{ended(w.request.Key, a, len(w.calls))}
	for _, c := range w.calls {
		effects = append(effects, messenger.Reply{Call: c.Call, Answer: a})
	}
	w.calls = nil
	return effects
}

// end answers one request that doesn't wait.
func (r *Recorder) end(ev Requested, a Answer) []messenger.Effect {
	return []messenger.Effect{ended(ev.Key, a, 1), messenger.Reply{Call: ev.Call, Answer: a}}
}
