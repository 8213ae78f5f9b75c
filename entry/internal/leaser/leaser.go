// Package leaser manages the lease that allows one node at a time to send orders to engines. The
// order of the platform's log decides who gets it; the fencing token is the grant's offset.
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
	// Term is the duration of a lease. It starts just before the grant is sent.
	Term = 3 * time.Second
	// OrderTimeout is how long a sent order may take to reach its engine.
	OrderTimeout = 2 * time.Second
	// driftMargin covers clock rates that differ by up to two percent, over one term.
	driftMargin = Term / 20

	// renewInterval is the time from sending a valid grant to sending the next one.
	renewInterval = time.Second
	appendTimeout = time.Second
	// rankDelay keeps nodes of different rank from requesting the lease at the same time.
	rankDelay = 200 * time.Millisecond
)

// Changed reports whether this node holds the lease. If IsHolder is set, the node holds it until
// Until, with the fencing token Fence.
type Changed struct {
	IsHolder bool
	Fence    identifier.FencingToken
	Until    time.Time
}

// Leaser is the reducer for the lease.
type Leaser struct {
	self       Grant
	chain      Chain
	readOffset identifier.Offset
	caughtUp   bool
	leaving    bool
	// rank is the position of this node's id among the ids of the live nodes.
	rank int
	// freeAt is when the last known lease, and any order sent under it, have certainly ended.
	freeAt   time.Time
	renewAt  time.Time
	isHolder bool
	// sent holds the send time of each of this node's grants that has not been read back.
	sent       map[string]time.Time
	grantCount int
	// pendingGrant is the record id of the grant that is being appended. It is waited for until pendingUntil.
	pendingGrant string
	pendingUntil time.Time
}

// NewLeaser returns a leaser for the node.
func NewLeaser(node identifier.NodeID, incarnation identifier.Incarnation) *Leaser {
	return &Leaser{self: Grant{Node: node, Incarnation: incarnation}, sent: map[string]time.Time{}}
}

// Apply applies one event and returns the resulting effects.
func (l *Leaser) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case tailer.RecordSeen:
		return l.onRecord(now, ev.Record)
	case tailer.GapFound:
		return l.onGap(now, ev.To)
	case tailer.CaughtUp:
		l.readOffset = max(l.readOffset, ev.Offset)
		l.caughtUp = true
	case committer.Lost:
		if ev.NotSent && ev.ID == l.pendingGrant {
			l.pendingGrant = ""
			delete(l.sent, ev.ID)
		}
	case watcher.ObserversChanged:
		l.updateRank(ev.Observers)
	case heartbeater.LeavingStarted:
		l.leaving = true
	case messenger.Tick:
		return l.tick(now)
	}
	return nil
}

func (l *Leaser) updateRank(nodes []watcher.Observer) {
	ids := make([]identifier.NodeID, 0, len(nodes))
	for _, n := range nodes {
		ids = append(ids, n.Node)
	}
	slices.Sort(ids)
	l.rank = max(0, slices.Index(ids, l.self.Node))
}

func (l *Leaser) onRecord(now time.Time, r platformcaller.Record) []messenger.Effect {
	l.readOffset = max(l.readOffset, r.Offset+1)
	grant, isGrant, isValid := l.chain.Apply(r)
	if !isGrant {
		return nil
	}
	if r.ID == l.pendingGrant {
		l.pendingGrant = ""
	}
	sentAt, isOwn := l.sent[r.ID]
	delete(l.sent, r.ID)
	if !isValid {
		return nil
	}
	changed := Changed{Fence: l.chain.Fence}
	isOwn = isOwn && grant.Node == l.self.Node && grant.Incarnation == l.self.Incarnation
	if isOwn {
		changed.IsHolder, changed.Until = true, sentAt.Add(Term-driftMargin)
		l.renewAt = sentAt.Add(renewInterval)
	}
	l.freeAt = now.Add(Term + driftMargin + OrderTimeout)
	effects := []messenger.Effect{messenger.Raise{Event: changed}}
	if isOwn && l.isHolder {
		return effects
	}
	l.isHolder = isOwn
	return append(effects, messenger.Log{
		Event: eventlogger.LeaseChanged, Subject: "lease/orders",
		Values: []any{"holder", grant.Node, "incarnation", grant.Incarnation, "fence", l.chain.Fence, "mine", isOwn},
	})
}

// onGap gives up the lease when records could not be read, because they may include a grant to
// another node.
func (l *Leaser) onGap(now time.Time, to identifier.Offset) []messenger.Effect {
	l.chain.Skip(to)
	l.readOffset = max(l.readOffset, to)
	l.isHolder = false
	l.freeAt = now.Add(Term + driftMargin + OrderTimeout)
	return []messenger.Effect{messenger.Raise{Event: Changed{}}}
}

func (l *Leaser) tick(now time.Time) []messenger.Effect {
	if !l.caughtUp || l.leaving || (l.pendingGrant != "" && now.Before(l.pendingUntil)) {
		return nil
	}
	due := l.freeAt.Add(time.Duration(l.rank) * rankDelay)
	if l.isHolder {
		due = l.renewAt
	}
	if now.Before(due) && !l.chain.IsEmpty() {
		return nil
	}
	return l.requestLease(now)
}

// requestLease appends a grant. The term starts now, before the append is sent.
func (l *Leaser) requestLease(now time.Time) []messenger.Effect {
	grant := l.self
	grant.Basis = l.readOffset
	body, err := json.Marshal(grant)
	if err != nil {
		return nil
	}
	for id, at := range l.sent {
		if now.Sub(at) >= Term {
			delete(l.sent, id)
		}
	}
	l.grantCount++
	l.pendingGrant = fmt.Sprintf("lease/%s/%d/%d", l.self.Node, l.self.Incarnation, l.grantCount)
	l.pendingUntil = now.Add(appendTimeout)
	l.sent[l.pendingGrant] = now
	return []messenger.Effect{messenger.Raise{Event: committer.Append{
		Record: platformcaller.Record{ID: l.pendingGrant, Stream: Stream, Body: body}, Deadline: now.Add(appendTimeout),
	}}}
}
