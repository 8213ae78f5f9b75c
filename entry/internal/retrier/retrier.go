// Package retrier runs idempotent calls to plain services, which are services without layers. It
// retries and hedges them at other targets until their deadline.
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
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// hedgeDelay is how long an attempt may go without an answer before a second one is made in parallel.
	hedgeDelay = 400 * time.Millisecond
	// retryAfter is the delay that callers are asked to wait before they retry.
	retryAfter = time.Second
	// hedgeRatio is the share of calls that may be hedged, with bursts of up to hedgeBurst, so that
	// hedging does not double the load of a slow service.
	hedgeRatio = 0.1
	hedgeBurst = 50
)

// Requested is an idempotent request. A recorder.Answer is replied to its call.
type Requested struct{ recorder.Requested }

// CallService is the effect of one attempt. Answered or Failed follows.
type CallService struct {
	Call identifier.CallID
	recorder.CallService
	// NewConn makes the attempt use a new connection.
	NewConn bool
}

// Answered brings the service's response to an attempt.
type Answered struct {
	Call identifier.CallID
	recorder.ServiceAnswered
}

// Failed reports an attempt without a response. If NotSent is set, the request cannot have run.
type Failed struct {
	Call    identifier.CallID
	Target  identifier.TargetID
	NotSent bool
}

type call struct {
	request  recorder.Requested
	attempts int
	// openAttempts is the number of attempts without a result so far.
	openAttempts int
	tried        map[identifier.TargetID]bool
	// hedgeAt is when the call is hedged if it has not been answered.
	hedgeAt time.Time
	// mayHaveRun reports that an attempt may have reached its target.
	mayHaveRun bool
}

// Retrier is the reducer for idempotent calls.
type Retrier struct {
	calls      map[identifier.CallID]*call
	targets    []watcher.Target
	nextTarget int
	// hedgeTokens is the number of hedges that hedgeRatio and hedgeBurst allow now.
	hedgeTokens float64
}

// NewRetrier returns a retrier without calls.
func NewRetrier() *Retrier {
	return &Retrier{calls: map[identifier.CallID]*call{}, hedgeTokens: hedgeBurst}
}

// Apply applies one event and returns the resulting effects.
func (r *Retrier) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Requested:
		return r.onRequested(now, ev)
	case Answered:
		return r.onAnswered(ev)
	case Failed:
		return r.onFailed(now, ev)
	case watcher.TargetsChanged:
		r.targets = ev.Targets
	case messenger.Tick:
		return r.tick(now)
	}
	return nil
}

func (r *Retrier) onRequested(now time.Time, ev Requested) []messenger.Effect {
	c := &call{request: ev.Requested, tried: map[identifier.TargetID]bool{}}
	r.calls[ev.Call] = c
	r.hedgeTokens = min(r.hedgeTokens+hedgeRatio, hedgeBurst)
	return r.attempt(now, c)
}

func (r *Retrier) onFailed(now time.Time, ev Failed) []messenger.Effect {
	c, ok := r.calls[ev.Call]
	if !ok {
		return nil
	}
	c.openAttempts--
	c.mayHaveRun = c.mayHaveRun || !ev.NotSent
	return r.attempt(now, c)
}

// attempt starts another attempt. If none is allowed and none is open, it fails the call.
func (r *Retrier) attempt(now time.Time, c *call) []messenger.Effect {
	target, ok := r.chooseTarget(c)
	if !ok || c.attempts >= maxAttempts || !c.request.Deadline.After(now) {
		if c.openAttempts > 0 {
			return nil
		}
		return r.fail(c)
	}
	isFirst := c.attempts == 0
	c.attempts++
	c.openAttempts++
	c.tried[target.ID] = true
	c.hedgeAt = now.Add(hedgeDelay)
	return []messenger.Effect{CallService{Call: c.request.Call, NewConn: !isFirst, CallService: recorder.CallService{
		Key: c.request.Key, Target: target.ID, Address: target.Address, Method: c.request.Method,
		Path: c.request.Path, Body: c.request.Body, Header: c.request.Header,
		Deadline: c.request.Deadline, Traceparent: c.request.Traceparent,
	}}}
}

func (r *Retrier) fail(c *call) []messenger.Effect {
	delete(r.calls, c.request.Call)
	p := responder.Problem{Code: "no_answer", Message: "no target of the service answered", Place: "services/" + string(c.request.Service)}
	outcome := responder.Failed
	if !c.mayHaveRun && c.openAttempts == 0 {
		outcome = responder.NotRun
	}
	return []messenger.Effect{messenger.Reply{Call: c.request.Call, Answer: recorder.Answer{Outcome: outcome, Problem: p, RetryAfter: retryAfter}}}
}

// tick fails the calls whose deadline has passed and hedges those that have gone unanswered for hedgeDelay.
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
			effects = append(effects, r.fail(c)...)
			continue
		}
		c.hedgeAt = c.request.Deadline
		if r.hedgeTokens >= 1 {
			r.hedgeTokens--
			effects = append(effects, r.attempt(now, c)...)
		}
	}
	return effects
}

// chooseTarget returns the next target in turn, preferring targets that were not tried for this call.
func (r *Retrier) chooseTarget(c *call) (watcher.Target, bool) {
	var untried, up []watcher.Target
	for _, t := range r.targets {
		if t.Role != platformcaller.RoleService || t.Service != c.request.Service || t.State != watcher.StateUp {
			continue
		}
		up = append(up, t)
		if !c.tried[t.ID] {
			untried = append(untried, t)
		}
	}
	if len(untried) == 0 {
		untried = up
	}
	if len(untried) == 0 {
		return watcher.Target{}, false
	}
	r.nextTarget++
	return untried[r.nextTarget%len(untried)], true
}

func (r *Retrier) onAnswered(ev Answered) []messenger.Effect {
	c, ok := r.calls[ev.Call]
	if !ok {
		return nil
	}
	delete(r.calls, ev.Call)
	return []messenger.Effect{messenger.Reply{Call: c.request.Call, Answer: recorder.Answer{
		Outcome: responder.Delivered, Status: ev.Status, Body: ev.Body, ContentType: ev.ContentType,
	}}}
}
