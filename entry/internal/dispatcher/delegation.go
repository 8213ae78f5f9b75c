package dispatcher

import (
	"net/http"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/delegator"
)

const (
	// maxDelegates is how many nodes one request is handed over to at most.
	maxDelegates = 3
	// unsentUntilDelegated is how many attempts of a request must not have reached their targets before it is handed over.
	unsentUntilDelegated = 2
	// delegateIdleTimeout is how long a delegate may deliver nothing of a stream before another one is tried. A delegate goes
	// around silent targets itself.
	delegateIdleTimeout = time.Second
)

// delegation is what a request has to do with other nodes.
type delegation struct {
	// terms are those under which another node has handed the request over, nil for a request of this node's own caller.
	terms *delegator.Terms
	// delegates are the nodes that the request was handed over to. isBarred says that there is none for it.
	delegates []identifier.NodeID
	isBarred  bool
	// keepsStalled is that of the attempt for which a delegate is sought.
	keepsStalled bool
	// unsent counts the attempts that did not reach their targets.
	unsent int
	// isCounted says that the request is counted for the retry budget, here or where it came from; hasArrived, that an attempt
	// may have reached a target, so that each further one is a retry.
	isCounted  bool
	hasArrived bool
}

// newDelegation returns the delegation of a request that has just arrived.
func newDelegation(terms *delegator.Terms) delegation {
	if terms == nil {
		return delegation{}
	}
	return delegation{terms: terms, isCounted: terms.IsCounted, hasArrived: terms.HasArrived}
}

// maxRuns limits the attempts that may run the request.
func (r *request) maxRuns() int {
	if r.terms != nil {
		return min(r.terms.MaxRuns, r.route.MaxAttempts)
	}
	return r.route.MaxAttempts
}

// mayHaveRun reports whether an earlier attempt may have run the request, here or at the node that has handed it over.
func (r *request) mayHaveRun() bool {
	return r.executions > 0 || (r.terms != nil && r.terms.HasArrived)
}

// mayDelegate reports whether a request may be handed over. One that was handed over to this node stays here.
func (d *Dispatcher) mayDelegate(r *request) bool {
	return d.cfg.HasPeers && r.terms == nil && !r.isBarred && len(r.delegates) < maxDelegates
}

// mustDelegate reports whether this node does not reach the targets of a request, as far as it knows.
func (d *Dispatcher) mustDelegate(r *request) bool {
	return d.mayDelegate(r) && (r.unsent >= unsentUntilDelegated || d.paths.IsLost(r.service))
}

// askDelegate looks for a node that a request can be handed over to.
func (d *Dispatcher) askDelegate(r *request, keepsStalled bool) []messenger.Effect {
	r.keepsStalled = keepsStalled
	return []messenger.Effect{AskDelegate{Service: r.service, Tried: r.delegates}}
}

// delegateFound hands a request over to the delegate that was found. If there is none, this node goes on with its own means.
func (d *Dispatcher) delegateFound(now time.Time, ev DelegateFound) []messenger.Effect {
	r, ok := d.requests[ev.Call]
	if !ok {
		return nil
	}
	if ev.IsCallerGone {
		return d.end(now, ev.Call, 0, "caller gone")
	}
	if ending := d.endBarred(now, ev.Call, r); ending != nil {
		return ending
	}
	if ev.Node == "" {
		r.isBarred = true
		return d.sendAttempt(now, ev.Call, r, ev.Seed, r.keepsStalled)
	}
	return d.startDelegated(now, r, ev)
}

// startDelegated hands a request over. One run is kept for the case that the delegate fails, if there is more than one.
func (d *Dispatcher) startDelegated(now time.Time, r *request, ev DelegateFound) []messenger.Effect {
	maxRuns := max(1, r.maxRuns()-r.executions-1)
	out := Send{
		Call: ev.Call, Delegate: ev.Node, Address: ev.Address, Account: r.account, Deadline: r.deadline, KeepsStalled: r.keepsStalled,
		IsStream: r.route.Kind == describer.Streaming, NewConn: !r.route.MayRetry(), Runs: r.executions + maxRuns,
		Terms: delegator.Terms{Version: d.table.Version, MaxRuns: maxRuns, IsCounted: r.isCounted, HasArrived: r.hasArrived},
	}
	r.attempt = attempt{delegate: ev.Node, runs: maxRuns, sent: now, eventsBefore: r.events}
	r.delegates = append(r.delegates, ev.Node)
	r.isCounted = true
	out.IdleDeadline = r.delegateIdleDeadline(now)
	return []messenger.Effect{out, messenger.Log{
		Event: eventlogger.RequestDelegated, Subject: "request/" + string(r.id),
		Values: []any{"delegate", ev.Node, "path_lost", d.paths.IsLost(r.service), "unsent", r.unsent, sendsKey, r.attempts, "runs", r.executions, "max_runs", maxRuns, "events", r.events},
	}}
}

// delegateIdleDeadline returns when a delegate that is asked now counts as silent.
func (r *request) delegateIdleDeadline(now time.Time) time.Time {
	switch {
	case !r.route.MayRetry():
		return r.deadline
	case r.route.Kind == describer.Streaming:
		return now.Add(delegateIdleTimeout)
	}
	return now.Add(max(r.route.LatencyObjective, delegateIdleTimeout/2))
}

// noteResult records how the current attempt has used the runs that were left, and returns their number.
func (d *Dispatcher) noteResult(r *request, ev AttemptReported) int {
	runs := 1
	if r.delegate != "" {
		runs = r.runs
	}
	switch {
	case ev.Result != nil:
		runs = ev.Result.Runs
		r.hasArrived = r.hasArrived || ev.Result.HasArrived
	case ev.Outcome == NotSent:
		r.unsent++
	default:
		r.hasArrived = true
	}
	return runs
}

// dropDelegate forgets the delegate of an attempt that has not answered, or has refused the request.
func dropDelegate(r *request, ev AttemptReported) []messenger.Effect {
	hasServed := ev.Result != nil && !ev.Result.IsNotRun
	isCallers := ev.Outcome == CallerGone || ev.Outcome == Expired
	if r.delegate == "" || hasServed || isCallers {
		return nil
	}
	return []messenger.Effect{DropDelegate{Service: r.service, Node: r.delegate}}
}

// stalledDelegate hands a request whose delegate is silent over to another one, if it may run again.
func (d *Dispatcher) stalledDelegate(now time.Time, ev AttemptReported, r *request) []messenger.Effect {
	if !r.route.MayRetry() || !d.mayDelegate(r) {
		return []messenger.Effect{Wait{Until: r.deadline}}
	}
	return d.failOver(now, ev.Call, r, "delegate is silent", ev.Seed)
}

// admitDelegated returns the reason why this node does not take a request of another node, or an empty string. Where nothing was run yet,
// the other node can hand it over elsewhere.
func (d *Dispatcher) admitDelegated(now time.Time, r *request) string {
	switch {
	case r.terms == nil:
		return ""
	case !d.refuseAt.IsZero():
		return "this node is shutting down"
	case d.table.Version < r.terms.Version:
		return "this node has an older configuration"
	case r.route != nil && r.hasArrived && !d.retries.Allows(now, r.service):
		return "retry budget exhausted"
	}
	return ""
}

// IsAble reports whether this node can take requests of other nodes for a service.
func (d *Dispatcher) IsAble(now time.Time, service identifier.ServiceID) bool {
	return d.refuseAt.IsZero() && d.IsReady(now) && !d.paths.IsLost(service) && d.chooser.CanServe(now, service)
}

// result returns what this node tells the one that has handed the request over if it ends now without an answer of a target.
func (r *request) result(status int) delegator.Result {
	return delegator.Result{IsNotRun: r.executions == 0 && status == http.StatusServiceUnavailable, Runs: r.executions, HasArrived: r.hasArrived}
}
