// Package retrier decides idempotent calls to plain services: they are sent again to
// another target within their deadline.
package retrier

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	attemptLimit = 3
	// attemptTimeout bounds one attempt, so that a silent connection leaves time for another.
	attemptTimeout = 500 * time.Millisecond
	retryAfter     = time.Second
)

// Requested is an idempotent request; a recorder.Answer is replied to its call.
type Requested struct{ recorder.Requested }

// CallService is the effect of one attempt; Answered or Failed follows.
type CallService struct {
	Call identifier.CallID
	recorder.CallService
}

// Answered brings the service's answer to an attempt.
type Answered struct {
	Call identifier.CallID
	recorder.ServiceAnswered
}

// Failed says that an attempt brought no answer.
type Failed struct {
	Call   identifier.CallID
	Target identifier.TargetID
}

type call struct {
	request  recorder.Requested
	attempts int
	tried    map[identifier.TargetID]bool
}

// Retrier is the sub-reducer of idempotent calls.
type Retrier struct {
	calls   map[identifier.CallID]*call
	targets []watcher.Target
	turn    int
}

// NewRetrier returns a retrier with no call open.
func NewRetrier() *Retrier { return &Retrier{calls: map[identifier.CallID]*call{}} }

// Apply takes one event and returns what to do.
func (r *Retrier) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		c := &call{request: ev.Requested, tried: map[identifier.TargetID]bool{}}
		r.calls[ev.Call] = c
		return r.attempt(now, c)
	case Answered:
		return r.answered(ev)
	case Failed:
		if c, ok := r.calls[ev.Call]; ok {
			return r.attempt(now, c)
		}
	case watcher.TargetsChanged:
		r.targets = ev.Targets
	}
	return nil
}

func (r *Retrier) attempt(now time.Time, c *call) []messenger.Effect {
	target, ok := r.choose(c)
	if !ok || c.attempts >= attemptLimit || !c.request.Deadline.After(now) {
		delete(r.calls, c.request.Call)
		p := responder.Problem{Code: "no_answer", Message: "no target of the service answered", Place: "services/" + string(c.request.Service)}
		return []messenger.Effect{messenger.Reply{Call: c.request.Call, Answer: recorder.Answer{Outcome: responder.Failed, Problem: p, RetryAfter: retryAfter}}}
	}
	c.attempts++
	c.tried[target.ID] = true
	deadline := now.Add(attemptTimeout)
	if c.request.Deadline.Before(deadline) {
		deadline = c.request.Deadline
	}
	return []messenger.Effect{CallService{Call: c.request.Call, CallService: recorder.CallService{
		Key: c.request.Key, Target: target.ID, Address: target.Address, Method: c.request.Method,
		Path: c.request.Path, Body: c.request.Body, Header: c.request.Header,
		Deadline: deadline, Traceparent: c.request.Traceparent,
	}}}
}

// choose takes the next target in turn, one not tried before if there is any.
func (r *Retrier) choose(c *call) (watcher.Target, bool) {
	var fresh, up []watcher.Target
	for _, t := range r.targets {
		if t.Role != platformcaller.RoleService || t.Service != c.request.Service || t.State != watcher.StateUp {
			continue
		}
		up = append(up, t)
		if !c.tried[t.ID] {
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		fresh = up
	}
	if len(fresh) == 0 {
		return watcher.Target{}, false
	}
	r.turn++
	return fresh[r.turn%len(fresh)], true
}

func (r *Retrier) answered(ev Answered) []messenger.Effect {
	c, ok := r.calls[ev.Call]
	if !ok {
		return nil
	}
	delete(r.calls, ev.Call)
	return []messenger.Effect{messenger.Reply{Call: c.request.Call, Answer: recorder.Answer{
		Outcome: responder.Delivered, Status: ev.Status, Body: ev.Body, ContentType: ev.ContentType,
	}}}
}
