package dispatcher

import (
	"net/http"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/shedder"
)

// returningMargin is by how much less time than the route's timeout a caller has left whose request was refused before.
const returningMargin = 200 * time.Millisecond

// admission is what a request has to do with admission control.
type admission struct {
	// waiting is the event of a request that waits to be admitted, nil otherwise.
	waiting *RequestArrived
	rank    shedder.Rank
	// urgency is its rank at a target.
	urgency shedder.Rank
	// ranks is the number of ranks of the request's service, at most 1 if requests of it are not ranked.
	ranks int
}

// admit sends a request that has arrived, lets it wait, or sheds it.
func (d *Dispatcher) admit(now time.Time, ev RequestArrived, r *request) []messenger.Effect {
	r.waiting = nil
	d.setRank(ev, r)
	if r.ranks <= 1 {
		// A new configuration may have ended the ranks while the request was waiting.
		d.shedder.Leave(now, ev.Call, false)
		return d.send(now, ev.Call, r, ev.Seed)
	}
	effects := d.chooser.Replan(now, r.service)
	asking := r.asking(ev)
	asking.IsRoomy = d.chooser.HasFreePlaces(now, r.service, d.loads)
	verdict := d.shedder.Ask(now, ev.Call, asking, d.chooser.Capacity(now, r.service))
	effects = append(effects, verdict.Log(r.id, r.rank)...)
	r.urgency = verdict.Urgency
	if verdict.IsFirst {
		d.shedder.ObservePrompt(r.route.ID, int64(r.size.Prompt))
	}
	switch verdict.Outcome {
	case shedder.Waits:
		r.waiting = &ev
		return append([]messenger.Effect{Hold{Until: verdict.Until}}, effects...)
	case shedder.Shed:
		return append(d.refuse(now, ev.Call, http.StatusServiceUnavailable, verdict.RetryAfter, "more requests than the chains can serve in time"), effects...)
	default:
		return append(d.send(now, ev.Call, r, ev.Seed), effects...)
	}
}

// setRank sets the rank of a request, and no ranks if requests like it are not ranked.
func (d *Dispatcher) setRank(ev RequestArrived, r *request) {
	r.rank, r.ranks = 0, 0
	isSubject := r.route.Kind == describer.Streaming && r.route.LatencyObjective > 0 && d.chooser.IsChained(r.service)
	if d.cfg.LoadInterval <= 0 || !isSubject {
		return
	}
	var account *describer.Account
	if r.account != "" {
		account = d.table.Account(ev.Key)
	}
	rank, ranks := d.table.Rank(r.service, r.route, account)
	r.rank, r.ranks = shedder.Rank(rank), ranks
}

// asking returns what the shedder needs to know of a request.
func (r *request) asking(ev RequestArrived) shedder.Request {
	return shedder.Request{
		Service: r.service, Account: r.account, Rank: r.rank, Ranks: r.ranks, Bytes: ev.BodyBytes, Seed: r.seed,
		IsReturning: r.arrived.Add(r.timeout()).Sub(r.deadline) >= returningMargin, IsObliged: r.terms != nil,
		Objective: r.route.LatencyObjective, Deadline: r.deadline,
	}
}

// noteRejection notes that a target of a chain has rejected an attempt for want of room.
func (d *Dispatcher) noteRejection(now time.Time, r *request, ev AttemptReported) {
	if ev.Outcome == NotRun && ev.Status == http.StatusServiceUnavailable && len(r.chain) > 0 && r.target != "" {
		d.shedder.Rejected(now, r.service)
	}
}

// priority returns the priority of an attempt at its target, and false if requests of the service are not ranked.
func (d *Dispatcher) priority(now time.Time, r *request) (shedder.Priority, bool) {
	if r.ranks <= 1 {
		return 0, false
	}
	return d.shedder.Priority(shedder.Waiting{
		Rank: r.urgency, IsResumed: r.mayHaveRun(), Route: r.route.ID, Prompt: int64(r.size.Prompt), Waited: now.Sub(r.arrived), Objective: r.route.LatencyObjective,
	}), true
}

// Demand returns how many requests this node would have open if it shed none.
func (d *Dispatcher) Demand(now time.Time) float64 { return d.shedder.Demand(now) }

// Capacity returns how many requests the chains of all services with ranked requests run at once.
func (d *Dispatcher) Capacity(now time.Time) int {
	if d.table == nil || d.cfg.LoadInterval <= 0 {
		return 0
	}
	sum := 0
	for id := range d.table.Services {
		if d.isRanked(id) {
			sum += d.chooser.Capacity(now, id)
		}
	}
	return sum
}

// isRanked reports whether requests of a service have several ranks.
func (d *Dispatcher) isRanked(id identifier.ServiceID) bool {
	_, ranks := d.table.Rank(id, &describer.Route{}, nil)
	return ranks > 1
}
