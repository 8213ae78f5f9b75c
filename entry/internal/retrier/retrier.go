// Package retrier decides idempotent calls to plain services: they are sent again to
// another target within their deadline.
package retrier

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// attemptLimit bounds the attempts of one call.
	attemptLimit = 4
	// hedgeAfter is how long an attempt may be silent before another is made beside it.
	hedgeAfter = 400 * time.Millisecond
	retryAfter = time.Second
	// hedgeShare of the calls may be hedged, of which hedgeBurst at once, so that a slow
	// service isn't given twice its load.
	hedgeShare = 0.1
	hedgeBurst = 50
)

// Requested is an idempotent request; a recorder.Answer is replied to its call.
type Requested struct{ recorder.Requested }

// CallService is the effect of one attempt; Answered or Failed follows.
type CallService struct {
	Call identifier.CallID
	recorder.CallService
	// Fresh asks for a new connection.
	Fresh bool
}

// Answered brings the service's answer to an attempt.
type Answered struct {
	Call identifier.CallID
	recorder.ServiceAnswered
}

// Failed says that an attempt brought no answer; with NotSent it cannot have run.
type Failed struct {
	Call    identifier.CallID
	Target  identifier.TargetID
	NotSent bool
}

type call struct {
	request  recorder.Requested
	attempts int
	open     int
	tried    map[identifier.TargetID]bool
	hedgeAt  time.Time
	// mayHaveRun says that an attempt may have reached its target.
	mayHaveRun bool
}

// Retrier is the sub-reducer of idempotent calls.
type Retrier struct {
	calls   map[identifier.CallID]*call
	targets []watcher.Target
	turn    int
	hedges  float64
}

// NewRetrier returns a retrier with no call open.
func NewRetrier() *Retrier { return &Retrier{calls: map[identifier.CallID]*call{}, hedges: hedgeBurst} }

// Apply takes one event and returns what to do.
func (r *Retrier) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return r.requested(now, ev)
	case Answered:
		return r.answered(ev)
	case Failed:
		return r.failed(now, ev)
	case watcher.TargetsChanged:
		r.targets = ev.Targets
	case messenger.Tick:
		return r.tick(now)
	}
	return nil
}

func (r *Retrier) requested(now time.Time, ev Requested) []messenger.Effect {
	c := &call{request: ev.Requested, tried: map[identifier.TargetID]bool{}}
	r.calls[ev.Call] = c
	r.hedges = min(r.hedges+hedgeShare, hedgeBurst)
	return r.attempt(now, c)
}

func (r *Retrier) failed(now time.Time, ev Failed) []messenger.Effect {
	c, ok := r.calls[ev.Call]
	if !ok {
		return nil
	}
	c.open--
	c.mayHaveRun = c.mayHaveRun || !ev.NotSent
	return r.attempt(now, c)
}

// attempt makes another attempt, or ends the call when none may be made and none is open.
func (r *Retrier) attempt(now time.Time, c *call) []messenger.Effect {
	target, ok := r.choose(c)
	if !ok || c.attempts >= attemptLimit || !c.request.Deadline.After(now) {
		if c.open > 0 {
			return nil
		}
		return r.end(c)
	}
	isFirst := c.attempts == 0
	c.attempts++
	c.open++
	c.tried[target.ID] = true
	c.hedgeAt = now.Add(hedgeAfter)
	return []messenger.Effect{CallService{Call: c.request.Call, Fresh: !isFirst, CallService: recorder.CallService{
		Key: c.request.Key, Target: target.ID, Address: target.Address, Method: c.request.Method,
		Path: c.request.Path, Body: c.request.Body, Header: c.request.Header,
		Deadline: c.request.Deadline, Traceparent: c.request.Traceparent,
	}}}
}

func (r *Retrier) end(c *call) []messenger.Effect {
	delete(r.calls, c.request.Call)
	p := responder.Problem{Code: "no_answer", Message: "no target of the service answered", Place: "services/" + string(c.request.Service)}
	outcome := responder.Failed
	if !c.mayHaveRun && c.open == 0 {
		outcome = responder.NotRun
	}
	return []messenger.Effect{messenger.Reply{Call: c.request.Call, Answer: recorder.Answer{Outcome: outcome, Problem: p, RetryAfter: retryAfter}}}
}

// tick ends the calls whose deadline passed, and hedges those that have been silent.
func (r *Retrier) tick(now time.Time) []messenger.Effect {
	var due []*call
	for _, c := range r.calls {
		if !c.request.Deadline.After(now) || !c.hedgeAt.After(now) {
			due = append(due, c)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].request.Call < due[j].request.Call })
	var effects []messenger.Effect
	for _, c := range due {
		if !c.request.Deadline.After(now) {
			effects = append(effects, r.end(c)...)
			continue
		}
		c.hedgeAt = c.request.Deadline
		if r.hedges >= 1 {
			r.hedges--
			effects = append(effects, r.attempt(now, c)...)
		}
	}
	return effects
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
