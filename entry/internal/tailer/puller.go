package tailer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

const (
	// behindGrace is how long this node must be behind a peer, without progress, before it asks one.
	behindGrace = 500 * time.Millisecond
	// pullBackoff is the delay before a peer is asked again after a pull that failed or brought nothing.
	pullBackoff = 500 * time.Millisecond
	// maxPeerAge is the age up to which a peer's last heartbeat counts.
	maxPeerAge = 2 * time.Second
	// lossGrace is how long a node that lost records searches for a state that includes them.
	lossGrace = 4 * time.Second
)

type peer struct {
	offset    identifier.Offset
	lastHeard time.Time
	retryAt   time.Time
}

// puller decides when to request records, and from which peer.
type puller struct {
	node     string
	peers    map[string]*peer
	lastSeed int
	pulling  bool
	retryAt  time.Time
	// aheadSince is since when a peer has been ahead of this node while this node's offset stayed at
	// aheadAt. Zero while no peer is ahead.
	aheadSince time.Time
	aheadAt    identifier.Offset
	// stateMissingSince is when the end of the log was reached without a complete state. Zero
	// while the state is complete.
	stateMissingSince time.Time
}

func newPuller(node identifier.NodeID) puller {
	return puller{node: string(node), peers: map[string]*peer{}}
}

func (p *puller) onHeartbeat(now time.Time, beat heartbeater.Heartbeat) {
	known, ok := p.peers[beat.Address]
	if !ok {
		known = &peer{}
		p.peers[beat.Address] = known
	}
	known.offset, known.lastHeard = beat.Offset, now
}

func (p *puller) onPullFailed(now time.Time, address string) {
	p.pulling = false
	if known, ok := p.peers[address]; ok {
		known.retryAt = now.Add(pullBackoff)
	}
	p.retryAt = now.Add(retryBackoff)
}

// onLogEnd records whether the state was complete when the end of the log was reached.
func (p *puller) onLogEnd(now time.Time, synced bool) {
	switch {
	case synced:
		p.stateMissingSince = time.Time{}
	case p.stateMissingSince.IsZero():
		p.stateMissingSince = now
	}
}

// peerAhead returns a peer that is ahead of the offset and drops peers without recent heartbeats.
// Nodes rank the peers differently, so that they do not all ask the same one.
func (p *puller) peerAhead(now time.Time, offset identifier.Offset) (string, bool) {
	best, bestRank := "", uint64(0)
	for _, address := range slices.Sorted(maps.Keys(p.peers)) {
		known := p.peers[address]
		if now.Sub(known.lastHeard) > maxPeerAge {
			delete(p.peers, address)
			continue
		}
		if known.offset <= offset || now.Before(known.retryAt) {
			continue
		}
		if rank := xxhash.Sum64String(p.node + " " + address); best == "" || rank < bestRank {
			best, bestRank = address, rank
		}
	}
	return best, best != ""
}

// pull asks a peer for records if this node is behind it or has no state yet.
func (t *Tailer) pull(now time.Time) []messenger.Effect {
	p := &t.puller
	if p.pulling || now.Before(p.retryAt) {
		return nil
	}
	address, ok := p.peerAhead(now, t.tree.Offset)
	if !ok {
		p.aheadSince = time.Time{}
		return t.pullSeed(now)
	}
	if p.aheadSince.IsZero() || t.tree.Offset != p.aheadAt {
		p.aheadSince, p.aheadAt = now, t.tree.Offset
	}
	if t.synced && t.wasCurrent && now.Sub(p.aheadSince) < behindGrace {
		return nil
	}
	p.pulling = true
	return []messenger.Effect{PullRecords{Address: address, From: t.tree.Offset}}
}

// pullSeed asks the seed peers in turn while the node has no state.
func (t *Tailer) pullSeed(now time.Time) []messenger.Effect {
	p := &t.puller
	if t.wasCurrent || len(t.cfg.Seeds) == 0 {
		return nil
	}
	p.lastSeed = (p.lastSeed + 1) % len(t.cfg.Seeds)
	p.pulling = true
	p.retryAt = now.Add(retryBackoff)
	return []messenger.Effect{PullRecords{Address: t.cfg.Seeds[p.lastSeed], From: t.tree.Offset}}
}

// answerPull returns the records from the offset on, or the whole state if they are no longer kept.
func (t *Tailer) answerPull(from identifier.Offset) PullAnswer {
	if !t.synced || !t.wasCurrent {
		return PullAnswer{}
	}
	a := PullAnswer{Page: t.recent.page(from, t.next)}
	if from < a.Page.First {
		return PullAnswer{Page: platformcaller.Page{Next: t.next, First: t.next, End: t.next}, Tree: t.tree.Clone()}
	}
	return a
}

func (t *Tailer) onPulled(now time.Time, ev RecordsPulled) []messenger.Effect {
	t.puller.pulling = false
	page, before := ev.Answer.Page, t.tree.Offset
	if page.End <= before {
		t.puller.onPullFailed(now, ev.Address)
		return nil
	}
	var effects []messenger.Effect
	switch {
	case ev.Answer.Tree != nil:
		effects = t.install(now, ev.Answer.Tree, ev.Address)
	case page.First <= before:
		// The peer has the records that this node lost: continue from the tree's offset.
		t.synced, t.heldChanges, t.next = true, nil, min(t.next, before)
		effects = t.applyPage(now, page)
	}
	if t.tree.Offset >= page.End {
		effects = append(effects, t.markCurrent(now)...)
	}
	if t.tree.Offset == before {
		t.puller.onPullFailed(now, ev.Address)
		return effects
	}
	effects = append(effects, messenger.Log{
		Event: eventlogger.RecordsPulled, Subject: logSubject, Values: []any{"peer", ev.Address, "from", before, "to", t.tree.Offset},
	})
	return append(effects, t.publish()...)
}

// install replaces the state by one from a snapshot or a peer. The new state must include
// everything in the current one, and the records that follow it must be available.
func (t *Tailer) install(now time.Time, tree *configurer.Tree, source string) []messenger.Effect {
	if tree.Offset <= t.tree.Offset || (!t.synced && tree.Offset < t.heldFrom) {
		return nil
	}
	if !tree.Covers(t.tree) {
		return []messenger.Effect{messenger.Log{
			Event: eventlogger.StateRejected, Subject: logSubject,
			Values: []any{"source", source, keyOffset, tree.Offset, "applied", t.tree.Offset, "reason", "it lacks changes that are in force on this node"},
		}}
	}
	heldChanges := t.heldChanges
	t.tree, t.settings = tree, nil
	t.heldChanges, t.synced, t.changed = nil, true, true
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.StateInstalled, Subject: logSubject, Values: []any{"source", source, keyOffset, tree.Offset},
	}}
	if tree.Offset > t.next {
		t.recent.clear()
		effects = append(effects, t.raiseGap(tree.Offset)...)
		t.next = tree.Offset
	}
	for _, r := range heldChanges {
		if r.Offset >= tree.Offset {
			effects = append(effects, t.decide(now, r)...)
		}
	}
	t.tree.Offset = t.next
	effects = append(effects, t.answerDecided()...)
	return append(effects, t.announceOffset()...)
}
