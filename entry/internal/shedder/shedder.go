// Package shedder decides which requests of a service with chains this node admits, which wait for a moment, and which it sheds, so that
// all nodes together send no more than the first targets of the chains can run.
package shedder

import (
	"math"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/delayer"
)

const (
	// shareMaxAge is the age from which on a share limits nothing.
	shareMaxAge = 2 * time.Second
	// overbooking is the factor on a node's part of the capacity: not all nodes are at their limits at once.
	overbooking = 1.1
	// minLimit is the least limit of a node, in requests.
	minLimit = 2.0
	// waitFraction is the fraction of the latency objective for which a request waits: that costs its caller nothing.
	waitFraction = 0.125
	// pollInterval is the time between two looks whether a waiting request is admitted.
	pollInterval = 20 * time.Millisecond
	// maxWaiting limits the waiting requests of a service, maxWaitingBytes their bodies.
	maxWaiting      = 64
	maxWaitingBytes = 1 << 20
	// minRetryAfter is the least time after which a shed request returns. At most retryAfterFraction of the time that its caller has
	// left is used, and up to half of it is added at random (delayer.Jitter), so that callers don't return together.
	minRetryAfter      = time.Second
	retryAfterFraction = 1.0 / 3
)

// ShareLearned is the event that this node's share of the capacity of all chains, from 0 to 1, was determined.
type ShareLearned struct{ Share float64 }

// Request is a request that asks to be admitted.
type Request struct {
	Service identifier.ServiceID
	Account identifier.AccountID
	Rank    Rank
	// Ranks is the number of ranks of the service.
	Ranks int
	// IsReturning says that the request was probably refused before.
	IsReturning bool
	// IsObliged says that another node has admitted the request, so that it only counts here.
	IsObliged bool
	// IsRoomy says that the chains have free places by recent reports. Then the limit does not hold while targets reject no requests: the
	// division estimates the number of nodes, and a node whose share is too small would shed requests for which there is room.
	IsRoomy bool
	Bytes   int
	// Objective is the latency objective of the request's route, Deadline when its caller leaves.
	Objective time.Duration
	Deadline  time.Time
	// Seed determines the jitter of the Retry-After delay.
	Seed uint64
}

// Rank is the position of a priority among those that occur at a service; 0 is the most urgent.
type Rank int

// Outcome is what becomes of a request that asks to be admitted.
type Outcome int

// Outcomes.
const (
	Admitted Outcome = iota
	Waits
	Shed
)

var outcomeNames = [...]string{"admitted", "waits", "shed"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Verdict is the answer to a request that asks to be admitted.
type Verdict struct {
	Outcome Outcome
	// IsFirst says that the request has asked for the first time.
	IsFirst bool
	// Until is when a request that waits asks again, RetryAfter when one that is shed may return.
	Until      time.Time
	RetryAfter time.Duration
	// Urgency is the rank of the request at its target: that of the most urgent ones if its own one has starved.
	Urgency Rank
	// Open counts the admitted requests. The limit is infinite if there is none.
	Open     int
	Limit    float64
	Share    float64
	ShareAge time.Duration
	Factor   float64
}

// entry is a request that is open or waits.
type entry struct {
	Request
	began time.Time
	// until is when a waiting request is shed, and position its place in the waiting order as of its last look.
	until    time.Time
	position Rank
}

// Shedder is the reducer's part for admission.
type Shedder struct {
	share    float64
	sharedAt time.Time
	gates    map[identifier.ServiceID]*gate
	prompts  map[identifier.RouteID]float64
	// services holds the service of each request that is open or waits.
	services map[identifier.CallID]identifier.ServiceID
}

// NewShedder returns a shedder that knows no share.
func NewShedder() *Shedder {
	return &Shedder{
		gates: map[identifier.ServiceID]*gate{}, prompts: map[identifier.RouteID]float64{}, services: map[identifier.CallID]identifier.ServiceID{},
	}
}

// SetShare sets this node's share of the capacity. One that is no share is ignored.
func (s *Shedder) SetShare(now time.Time, share float64) {
	if !(share > 0) || share > 1 {
		return
	}
	s.share, s.sharedAt = share, now
}

// Ask decides about a request that arrives, or that has waited. capacity is the number of requests that the first targets of the
// service's chains run at once.
func (s *Shedder) Ask(now time.Time, call identifier.CallID, r Request, capacity int) Verdict {
	if former, ok := s.services[call]; ok && former != r.Service {
		// A new configuration sends the request to another service.
		s.Leave(now, call, false)
	}
	g := s.gateOf(r.Service)
	e, hasWaited := g.waiting[call]
	if hasWaited {
		e.Request = r
	} else {
		e = &entry{Request: r, began: now, until: now.Add(time.Duration(waitFraction * float64(r.Objective)))}
		g.recent.add(now, r.Rank, 1, 0)
		s.services[call] = r.Service
	}
	v := Verdict{IsFirst: !hasWaited, Open: len(g.open), Limit: s.limit(now, g, capacity), Share: s.share, ShareAge: s.shareAge(now), Factor: g.factorAt(now)}
	if r.IsRoomy && v.Factor >= 1 {
		v.Limit = math.Inf(1)
	}
	e.position = g.position(now, e, v.Limit)
	v.Urgency = min(r.Rank, e.position)
	switch {
	case r.IsObliged || float64(len(g.open)+g.ahead(call, e)) < v.Limit*g.fraction(e):
		v.Outcome = Admitted
		g.admit(now, call, e)
	case !now.Before(e.until) || !g.hasRoom(call, e):
		v.Outcome, v.RetryAfter = Shed, g.retryAfter(now, e, v.Limit)
		g.shed(now, call)
		delete(s.services, call)
	default:
		v.Outcome, v.Until = Waits, now.Add(min(pollInterval, e.until.Sub(now)))
		g.wait(call, e)
	}
	return v
}

// Leave forgets a request that has ended. The time of a complete one counts for the mean time of streams.
func (s *Shedder) Leave(now time.Time, call identifier.CallID, isComplete bool) {
	service, ok := s.services[call]
	if !ok {
		return
	}
	delete(s.services, call)
	s.gates[service].leave(now, call, isComplete)
}

// Rejected notes that a target has rejected a request for want of room.
func (s *Shedder) Rejected(now time.Time, service identifier.ServiceID) {
	if g, ok := s.gates[service]; ok {
		g.rejected(now)
	}
}

// Demand returns the number of requests that this node would have open if it shed none, and as many more as that number varies by
// chance: a node with few requests would otherwise shed some of them while others get what it lacks.
func (s *Shedder) Demand(now time.Time) float64 {
	sum := 0.0
	for _, g := range s.gates {
		sum += g.demand(now)
	}
	return sum + math.Sqrt(sum)
}

// Status returns the state of admission for the status page.
func (s *Shedder) Status(now time.Time) []describer.AdmissionStatus {
	var out []describer.AdmissionStatus
	for id, g := range s.gates {
		out = append(out, describer.AdmissionStatus{
			Service: id, Open: len(g.open), Waiting: len(g.waiting), Demand: g.demand(now), Factor: g.factorAt(now),
			Share: s.share, ShareAgeMS: s.shareAge(now).Milliseconds(), Admitted: g.admitted, Waited: g.waited, Shed: g.shedCount,
		})
	}
	return out
}

// shareAge returns the age of the share, 0 if there is none.
func (s *Shedder) shareAge(now time.Time) time.Duration {
	if s.sharedAt.IsZero() {
		return 0
	}
	return now.Sub(s.sharedAt)
}

// limit returns how many requests of a service this node may have open, infinite without a recent share.
func (s *Shedder) limit(now time.Time, g *gate, capacity int) float64 {
	if s.sharedAt.IsZero() || s.shareAge(now) >= shareMaxAge || capacity <= 0 {
		return math.Inf(1)
	}
	return max(minLimit, s.share*float64(capacity)*overbooking*g.factorAt(now))
}

func (s *Shedder) gateOf(id identifier.ServiceID) *gate {
	g, ok := s.gates[id]
	if !ok {
		g = newGate()
		s.gates[id] = g
	}
	return g
}

// retryAfter returns the time in which the demand above the limit could be served, and some more at random.
func (g *gate) retryAfter(now time.Time, e *entry, limit float64) time.Duration {
	excess := max(0, g.demand(now)/limit-1)
	after := max(minRetryAfter, time.Duration(excess*float64(g.meanTime)))
	jitter := delayer.Jitter(e.Seed)
	left := time.Duration(retryAfterFraction * float64(e.Deadline.Sub(now)))
	if after > left {
		// The jitter stays within the time that is left.
		return max(0, time.Duration((1-jitter)*float64(left)))
	}
	return min(left, after+time.Duration(jitter*float64(after)))
}
