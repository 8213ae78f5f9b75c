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
	// retryAfter is the delay that callers are asked to wait before they retry.
	retryAfter = time.Second
	// maxClaimAppends bounds the appends of one claim. All of them use the same record id.
	maxClaimAppends = 2
	// claimBackoff is the delay before a failed append of a claim is retried. The claim may appear
	// in the log before that.
	claimBackoff = 100 * time.Millisecond
	// outageGrace is how long the log may be unreachable before undecided requests fail.
	outageGrace = 250 * time.Millisecond
	// unknownOwnerGrace is how long a request waits for an owner that is not a known member.
	unknownOwnerGrace = 3 * time.Second
	// probeInterval is the minimum time between requests that are let through to probe an unreachable log.
	probeInterval = 250 * time.Millisecond
	// freezeThreshold is the gap between two ticks from which the process counts as frozen.
	freezeThreshold = time.Second
)

// callGroup is the set of calls that wait at this node for one key. It has at most one
// claim in use at a time, and dispatches at most once, when that claim wins.
type callGroup struct {
	// request is the first call of the group, with the latest deadline of all its calls.
	request Requested
	calls   []Requested
	// claim is the record id of the group's claim, or "" if the group has none.
	claim         string
	failedAppends int
	// retryAt is when the append of the claim is retried. Zero if no retry is due.
	retryAt time.Time
	// waitingSince is when the group was created.
	waitingSince time.Time
}

// inflightCall is a dispatch of this node without an outcome so far.
type inflightCall struct {
	claim       string
	fingerprint string
	claimedAt   int64
}

// Recorder is the reducer for requests that must not be repeated.
type Recorder struct {
	self Owner
	cfg  Config
	// carry appends keys to the log again before the log drops their records.
	carry carrier
	// gap is set while records that the tailer skipped are being read.
	gap *gapReader
	// bodyBytes is the total size of the remembered answers.
	bodyBytes int
	keys      map[identifier.RecordKey]*keyState
	groups    map[identifier.RecordKey]*callGroup
	// claims maps the record id of each group's claim to its key.
	claims   map[string]identifier.RecordKey
	inflight map[identifier.RecordKey]inflightCall
	// unconfirmed holds, by record id, the appended records that must reach the log and have
	// not been read from it yet.
	unconfirmed map[string]*unconfirmedAppend
	peers       map[identifier.NodeID]heartbeater.Peer
	targets     []watcher.Target
	// logDownSince is since when the log has been unreachable. Zero while it is reachable.
	logDownSince time.Time
	// probeAt is when the next request is let through to probe an unreachable log.
	probeAt  time.Time
	lastTick time.Time
	// lastSeq is the number in the newest record id of this node.
	lastSeq    uint64
	nextTarget int
}

// NewRecorder returns a recorder for the given incarnation of the node.
func NewRecorder(self Owner, cfg Config) *Recorder {
	return &Recorder{
		self:        self,
		cfg:         cfg,
		keys:        map[identifier.RecordKey]*keyState{},
		groups:      map[identifier.RecordKey]*callGroup{},
		claims:      map[string]identifier.RecordKey{},
		inflight:    map[identifier.RecordKey]inflightCall{},
		unconfirmed: map[string]*unconfirmedAppend{},
		peers:       map[identifier.NodeID]heartbeater.Peer{},
	}
}

// Apply applies one event and returns the resulting effects.
func (r *Recorder) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return r.requested(now, ev)
	case tailer.RecordSeen:
		return r.onRecord(now, ev.Record)
	case tailer.LogRead:
		r.logDownSince = time.Time{}
	case tailer.GapFound:
		return r.gapFound(ev)
	case RecordsRead:
		return r.recordsRead(now, ev)
	case committer.Appended:
		r.logDownSince = time.Time{}
	case tailer.ReadFailed:
		r.readFailed(now)
	case committer.Lost:
		return r.onAppendLost(now, ev)
	case ServiceAnswered:
		return r.onAnswered(now, ev)
	case ServiceFailed:
		return r.onCallFailed(now, ev)
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
	if k := r.keys[ev.Key]; k != nil && r.isExpired(k, now.Add(-clockSkew).UnixMilli()) {
		r.forget(ev.Key)
	}
	k := r.keys[ev.Key]
	switch {
	case k != nil && k.fingerprint != ev.Fingerprint:
		return r.answerOne(ev, reused(ev))
	case k != nil && k.ended:
		return r.answerOne(ev, replay(ev, k.outcome))
	case k != nil && r.isGone(k.owner):
		return r.answerOne(ev, unknown(ev, "owner_gone"))
	}
	g, ok := r.groups[ev.Key]
	if ok && g.request.Fingerprint != ev.Fingerprint {
		return r.answerOne(ev, reused(ev))
	}
	if ok || k != nil {
		return r.joinGroup(now, ev)
	}
	switch {
	case !r.isComplete():
		return r.answerOne(ev, notRun(ev, "records_incomplete", "the node has not yet read from the log which keys ran"))
	case r.isFull():
		return r.answerOne(ev, notRun(ev, "busy", "the node has reached its limit of remembered keys"))
	}
	if !r.logDownSince.IsZero() && now.Before(r.probeAt) {
		return r.answerOne(ev, notRun(ev, "log_unreachable", "the platform's log cannot be reached"))
	}
	r.probeAt = now.Add(probeInterval)
	g = &callGroup{request: ev, calls: []Requested{ev}, waitingSince: now}
	r.groups[ev.Key] = g
	return r.claim(now, g)
}

// joinGroup makes a request wait for the outcome of its key.
func (r *Recorder) joinGroup(now time.Time, ev Requested) []messenger.Effect {
	g, ok := r.groups[ev.Key]
	if !ok {
		g = &callGroup{request: ev, waitingSince: now}
		r.groups[ev.Key] = g
	}
	g.calls = append(g.calls, ev)
	if ev.Deadline.After(g.request.Deadline) {
		g.request.Deadline = ev.Deadline
	}
	return []messenger.Effect{log(eventlogger.RecordClaimAwaited, ev.Key, "callers", len(g.calls))}
}

// onClaimed dispatches the request if this node's own claim won, its callers still wait and the
// node's state is complete. Otherwise it releases the claim: a claim whose callers were answered
// not_run is never dispatched.
func (r *Recorder) onClaimed(now time.Time, e Entry) []messenger.Effect {
	g, ok := r.groups[e.Key]
	if e.Owner != r.self {
		return r.claimedByOther(g, e)
	}
	if r.inflight[e.Key].claim == e.Claim {
		return nil
	}
	if !ok || g.claim != e.Claim || !g.request.Deadline.After(now) || !r.isComplete() {
		r.abandonClaim(g, e.Claim)
		return r.release(now, e)
	}
	return r.dispatch(now, g, e)
}

// abandonClaim makes a group that still has callers use a new claim id. The release of the old
// claim may reach the log late and must not release a dispatch made under the same id.
func (r *Recorder) abandonClaim(g *callGroup, claim string) {
	if g == nil || g.claim != claim {
		return
	}
	delete(r.claims, claim)
	g.claim, g.retryAt = "", time.Time{}
}

func (r *Recorder) claimedByOther(g *callGroup, e Entry) []messenger.Effect {
	switch {
	case g == nil:
		return nil
	case g.request.Fingerprint != e.Fingerprint:
		return r.answerAll(g, reused(g.request))
	case r.isGone(e.Owner):
		return r.answerAll(g, unknown(g.request, "owner_gone"))
	}
	return []messenger.Effect{log(eventlogger.RecordClaimAwaited, e.Key, "owner", e.Owner.Node, "callers", len(g.calls))}
}

func (r *Recorder) dispatch(now time.Time, g *callGroup, e Entry) []messenger.Effect {
	target, ok := r.chooseTarget(g.request.Service)
	if !ok {
		effects := r.release(now, e)
		return append(effects, r.answerAll(g, notRun(g.request, "no_target", "no target of the service is up"))...)
	}
	r.inflight[e.Key] = inflightCall{claim: e.Claim, fingerprint: e.Fingerprint, claimedAt: e.At}
	return []messenger.Effect{
		log(eventlogger.RecordClaimed, e.Key, "target", target.ID, "claim", e.Claim),
		CallService{
			Key: g.request.Key, Target: target.ID, Address: target.Address,
			Method: g.request.Method, Path: g.request.Path, Body: g.request.Body, Header: g.request.Header,
			Deadline: g.request.Deadline, Traceparent: g.request.Traceparent,
		},
	}
}

func (r *Recorder) chooseTarget(service identifier.ServiceID) (watcher.Target, bool) {
	var up []watcher.Target
	for _, t := range r.targets {
		if t.Role == platformcaller.RoleService && t.Service == service && t.State == watcher.StateUp {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return watcher.Target{}, false
	}
	r.nextTarget++
	return up[r.nextTarget%len(up)], true
}

// onReleased lets the callers that wait at this node claim the key.
func (r *Recorder) onReleased(now time.Time, id identifier.RecordKey) []messenger.Effect {
	g, ok := r.groups[id]
	if !ok {
		return nil
	}
	return r.claim(now, g)
}

// onEnded answers the waiting callers with the outcome, or refuses them if the key ran with another
// body. If this node has read the claim, claimedByOther has refused such callers before.
func (r *Recorder) onEnded(e Entry) []messenger.Effect {
	g, ok := r.groups[e.Key]
	if !ok {
		return nil
	}
	if g.request.Fingerprint != e.Fingerprint {
		return r.answerAll(g, reused(g.request))
	}
	return r.answerAll(g, replay(g.request, e))
}

// onAnswered replies before the outcome is in the log, so that a log outage does not delay a
// response that is already here. If the owner dies in between, other nodes answer "unknown",
// which is correct.
func (r *Recorder) onAnswered(now time.Time, ev ServiceAnswered) []messenger.Effect {
	e := Entry{Outcome: responder.Delivered, Status: ev.Status, ContentType: ev.ContentType, Body: ev.Body}
	effects, ok := r.recordOutcome(now, ev.Key, e)
	if !ok {
		return nil
	}
	if g, ok := r.groups[ev.Key]; ok {
		a := Answer{Outcome: responder.Delivered, Status: ev.Status, Body: ev.Body, ContentType: ev.ContentType}
		effects = append(effects, r.answerAll(g, a)...)
	}
	return effects
}

func (r *Recorder) onCallFailed(now time.Time, ev ServiceFailed) []messenger.Effect {
	f, ok := r.inflight[ev.Key]
	if !ok {
		return nil
	}
	g, isWaiting := r.groups[ev.Key]
	if !ev.NotSent {
		effects, _ := r.recordOutcome(now, ev.Key, Entry{Outcome: responder.Unknown})
		if isWaiting {
			effects = append(effects, r.answerAll(g, unknown(g.request, "no_answer"))...)
		}
		return effects
	}
	delete(r.inflight, ev.Key)
	effects := r.release(now, Entry{Key: ev.Key, Claim: f.claim})
	if isWaiting {
		effects = append(effects, r.answerAll(g, notRun(g.request, "not_sent", "the service could not be reached"))...)
	}
	return effects
}

// recordOutcome appends the outcome of an in-flight call and stores it at this node at once. It
// returns false if the key has no call in flight.
func (r *Recorder) recordOutcome(now time.Time, id identifier.RecordKey, e Entry) ([]messenger.Effect, bool) {
	f, ok := r.inflight[id]
	if !ok {
		return nil, false
	}
	delete(r.inflight, id)
	e.Kind, e.Key, e.Claim, e.Fingerprint, e.Owner, e.At = EntryOutcome, id, f.claim, f.fingerprint, r.self, f.claimedAt
	if len(e.Body) > maxAnswerBytes {
		e.Body, e.Truncated = nil, true
	}
	k := &keyState{owner: r.self, claim: f.claim, fingerprint: f.fingerprint, claimedAt: f.claimedAt, readAt: now, offset: r.carry.nextOffset}
	if known, ok := r.keys[id]; ok {
		// The newest record in the log is still the claim, which must be carried in time.
		k.readAt, k.offset = known.readAt, known.offset
	}
	r.setKey(id, k)
	r.setOutcome(k, e)
	return r.appendUntilConfirmed(now, e), true
}

// answerAll answers every call of the group and removes the group.
func (r *Recorder) answerAll(g *callGroup, a Answer) []messenger.Effect {
	delete(r.groups, g.request.Key)
	delete(r.claims, g.claim)
	effects := []messenger.Effect{logEnded(g.request.Key, a, len(g.calls))}
	for _, c := range g.calls {
		effects = append(effects, messenger.Reply{Call: c.Call, Answer: a})
	}
	g.calls = nil
	return effects
}

// answerOne answers a request that does not wait for a key.
func (r *Recorder) answerOne(ev Requested, a Answer) []messenger.Effect {
	return []messenger.Effect{logEnded(ev.Key, a, 1), messenger.Reply{Call: ev.Call, Answer: a}}
}
