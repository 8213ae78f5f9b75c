// Package leaser keeps the lease under which one node gives orders to engines. It is
// granted by the order of the platform's log; its fencing number is the grant's offset.
package leaser

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// Term is how long a lease runs from before its append was sent.
	Term = 3 * time.Second
	// OrderTimeout is how long an order that was sent may still reach an engine.
	OrderTimeout = 2 * time.Second
	// driftMargin covers clocks that differ in rate by up to two percent, over a term.
	driftMargin = Term / 20

	renewAfter    = time.Second
	appendTimeout = time.Second
	// standoff keeps nodes of different rank from asking at the same moment.
	standoff = 200 * time.Millisecond
)

// Changed tells whether this node holds the lease: with Mine until the instant Until,
// under the fencing number Fence.
type Changed struct {
	Mine  bool
	Fence identifier.FencingNumber
	Until time.Time
}

// Leaser is the sub-reducer of the lease.
type Leaser struct {
	self    Grant
	chain   Chain
	read    identifier.Offset
	started bool
	leaving bool
	rank    int
	// notBefore is when the lease of another, and its longest order in flight, have surely ended.
	notBefore time.Time
	renewAt   time.Time
	isMine    bool
	// sent holds when each of this node's grants was sent.
	sent  map[string]time.Time
	count int
	// waiting is the grant whose place in the log is not known yet, until waitUntil.
	waiting   string
	waitUntil time.Time
}

// NewLeaser returns a leaser for the node.
func NewLeaser(node identifier.NodeID, incarnation identifier.Incarnation) *Leaser {
	return &Leaser{self: Grant{Node: node, Incarnation: incarnation}, sent: map[string]time.Time{}}
}

// Apply takes one event and returns what to do.
func (l *Leaser) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case tailer.RecordSeen:
		return l.seen(now, ev.Record)
	case tailer.GapFound:
		return l.missed(now, ev.To)
	case tailer.CaughtUp:
		l.read = max(l.read, ev.Offset)
		l.started = true
	case committer.Lost:
		if ev.NotSent && ev.ID == l.waiting {
			l.waiting = ""
			delete(l.sent, ev.ID)
		}
	case watcher.ObserversChanged:
		l.rankAmong(ev.Observers)
	case heartbeater.LeavingStarted:
		l.leaving = true
	case messenger.Tick:
		return l.tick(now)
	}
	return nil
}

func (l *Leaser) rankAmong(nodes []watcher.Observer) {
	ids := make([]identifier.NodeID, 0, len(nodes))
	for _, n := range nodes {
		ids = append(ids, n.Node)
	}
	slices.Sort(ids)
	l.rank = max(0, slices.Index(ids, l.self.Node))
}

func (l *Leaser) seen(now time.Time, r platformcaller.Record) []messenger.Effect {
	l.read = max(l.read, r.Offset+1)
	grant, isGrant, holds := l.chain.Apply(r)
	if !isGrant {
		return nil
	}
	if r.ID == l.waiting {
		l.waiting = ""
	}
	sentAt, isOwn := l.sent[r.ID]
	delete(l.sent, r.ID)
	if !holds {
		return nil
	}
	changed := Changed{Fence: l.chain.Fence}
	isOwn = isOwn && grant.Node == l.self.Node && grant.Incarnation == l.self.Incarnation
	if isOwn {
		changed.Mine, changed.Until = true, sentAt.Add(Term-driftMargin)
		l.renewAt = sentAt.Add(renewAfter)
	}
	l.notBefore = now.Add(Term + driftMargin + OrderTimeout)
	effects := []messenger.Effect{messenger.Raise{Event: changed}}
	if isOwn && l.isMine {
		return effects
	}
	l.isMine = isOwn
	return append(effects, messenger.Log{
		Event: eventlogger.LeaseChanged, Subject: "lease/orders",
		Values: []any{"holder", grant.Node, "incarnation", grant.Incarnation, "fence", l.chain.Fence, "mine", isOwn},
	})
}

// missed gives the lease up when records could not be read, as another's grant may be among them.
func (l *Leaser) missed(now time.Time, to identifier.Offset) []messenger.Effect {
	l.chain.Skip(to)
	l.read = max(l.read, to)
	l.isMine = false
	l.notBefore = now.Add(Term + driftMargin + OrderTimeout)
	return []messenger.Effect{messenger.Raise{Event: Changed{}}}
}

func (l *Leaser) tick(now time.Time) []messenger.Effect {
	if !l.started || l.leaving || (l.waiting != "" && now.Before(l.waitUntil)) {
		return nil
	}
	due := l.notBefore.Add(time.Duration(l.rank) * standoff)
	if l.isMine {
		due = l.renewAt
	}
	if now.Before(due) && !l.chain.IsEmpty() {
		return nil
	}
	return l.ask(now)
}

// ask appends a grant. The lease runs from this instant, before the append is sent.
func (l *Leaser) ask(now time.Time) []messenger.Effect {
	grant := l.self
	grant.Basis = l.read
	body, err := json.Marshal(grant)
	if err != nil {
		return nil
	}
	for id, at := range l.sent {
		if now.Sub(at) >= Term {
			delete(l.sent, id)
		}
	}
	l.count++
	l.waiting = fmt.Sprintf("lease/%s/%d/%d", l.self.Node, l.self.Incarnation, l.count)
	l.waitUntil = now.Add(appendTimeout)
	l.sent[l.waiting] = now
	return []messenger.Effect{messenger.Raise{Event: committer.Append{
		Record: platformcaller.Record{ID: l.waiting, Stream: Stream, Body: body}, Deadline: now.Add(appendTimeout),
	}}}
}
