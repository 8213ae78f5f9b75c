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
	// behindAfter is how long a peer must be ahead before it is asked.
	behindAfter = 500 * time.Millisecond
	// pullPause is the pause after a pull that brought nothing, and after a failed one to the same peer.
	pullPause = 500 * time.Millisecond
	// heardWithin is the age up to which a peer's word counts.
	heardWithin = 2 * time.Second
	// lossGrace is how long a node that lost records looks for a state that saw them.
	lossGrace = 4 * time.Second
)

type peer struct {
	offset   identifier.Offset
	heard    time.Time
	notUntil time.Time
}

// puller decides when to ask which peer for records.
type puller struct {
	node     string
	peers    map[string]*peer
	seed     int
	pulling  bool
	notUntil time.Time
	// aheadSince is when a peer was first found ahead of this node, zero while none is.
	aheadSince time.Time
	aheadAt    identifier.Offset
	// alone is when the log's end was reached without a state; zero while there is one.
	alone time.Time
}

func newPuller(node identifier.NodeID) puller {
	return puller{node: string(node), peers: map[string]*peer{}}
}

func (p *puller) heard(now time.Time, beat heartbeater.Heartbeat) {
	known, ok := p.peers[beat.Address]
	if !ok {
		known = &peer{}
		p.peers[beat.Address] = known
	}
	known.offset, known.heard = beat.Offset, now
}

func (p *puller) failed(now time.Time, address string) {
	p.pulling = false
	if known, ok := p.peers[address]; ok {
		known.notUntil = now.Add(pullPause)
	}
	p.notUntil = now.Add(retryAfter)
}

// logEnd notes whether the end of the log was reached with a state.
func (p *puller) logEnd(now time.Time, synced bool) {
	switch {
	case synced:
		p.alone = time.Time{}
	case p.alone.IsZero():
		p.alone = now
	}
}

// ahead returns a peer that is ahead of the offset, another one for each node, and forgets silent ones.
func (p *puller) ahead(now time.Time, of identifier.Offset) (string, bool) {
	best, bestRank := "", uint64(0)
	for _, address := range slices.Sorted(maps.Keys(p.peers)) {
		known := p.peers[address]
		if now.Sub(known.heard) > heardWithin {
			delete(p.peers, address)
			continue
		}
		if known.offset <= of || now.Before(known.notUntil) {
			continue
		}
		if rank := xxhash.Sum64String(p.node + " " + address); best == "" || rank < bestRank {
			best, bestRank = address, rank
		}
	}
	return best, best != ""
}

// pull asks a peer when this node is behind it, or has no state yet.
func (t *Tailer) pull(now time.Time) []messenger.Effect {
	p := &t.puller
	if p.pulling || now.Before(p.notUntil) {
		return nil
	}
	address, ok := p.ahead(now, t.tree.Offset)
	if !ok {
		p.aheadSince = time.Time{}
		return t.pullSeed(now)
	}
	if p.aheadSince.IsZero() || t.tree.Offset != p.aheadAt {
		p.aheadSince, p.aheadAt = now, t.tree.Offset
	}
	if t.synced && t.current && now.Sub(p.aheadSince) < behindAfter {
		return nil
	}
	p.pulling = true
	return []messenger.Effect{PullRecords{Address: address, From: t.tree.Offset}}
}

// pullSeed asks the seeds in turn while the node has no state.
func (t *Tailer) pullSeed(now time.Time) []messenger.Effect {
	p := &t.puller
	if t.current || len(t.cfg.Seeds) == 0 {
		return nil
	}
	p.seed = (p.seed + 1) % len(t.cfg.Seeds)
	p.pulling = true
	p.notUntil = now.Add(retryAfter)
	return []messenger.Effect{PullRecords{Address: t.cfg.Seeds[p.seed], From: t.tree.Offset}}
}

// answerPull gives a peer the records from an offset on, or the state when they are not kept.
func (t *Tailer) answerPull(from identifier.Offset) PullAnswer {
	if !t.synced || !t.current {
		return PullAnswer{}
	}
	a := PullAnswer{Page: t.keeper.page(from, t.next)}
	if from < a.Page.First {
		return PullAnswer{Page: platformcaller.Page{Next: t.next, First: t.next, End: t.next}, Tree: t.tree.Clone()}
	}
	return a
}

func (t *Tailer) pulled(now time.Time, ev RecordsPulled) []messenger.Effect {
	t.puller.pulling = false
	page, before := ev.Answer.Page, t.tree.Offset
	if page.End <= before {
		t.puller.failed(now, ev.Address)
		return nil
	}
	var effects []messenger.Effect
	switch {
	case ev.Answer.Tree != nil:
		effects = t.install(now, ev.Answer.Tree, ev.Address)
	case page.First <= before:
		// The peer has what this node lost: go on from where the tree is.
		t.synced, t.held, t.next = true, nil, min(t.next, before)
		effects = t.take(now, page)
	}
	if t.tree.Offset >= page.End {
		effects = append(effects, t.settle(now)...)
	}
	if t.tree.Offset == before {
		t.puller.failed(now, ev.Address)
		return effects
	}
	effects = append(effects, messenger.Log{
		Event: eventlogger.RecordsPulled, Subject: logSubject, Values: []any{"peer", ev.Address, "from", before, "to", t.tree.Offset},
	})
	return append(effects, t.publish()...)
}

// install takes over a state as of its offset, from a snapshot or a peer, when it holds all
// that this node's does and the records after it are at hand.
func (t *Tailer) install(now time.Time, tree *configurer.Tree, source string) []messenger.Effect {
	if tree.Offset <= t.tree.Offset || (!t.synced && tree.Offset < t.heldFrom) {
		return nil
	}
	if !tree.Covers(t.tree) {
		return []messenger.Effect{messenger.Log{
			Event: eventlogger.SnapshotRefused, Subject: logSubject,
			Values: []any{"source", source, keyOffset, tree.Offset, "applied", t.tree.Offset, "reason", "it lacks changes that are in force here"},
		}}
	}
	held := t.held
	t.tree, t.settings = tree, nil
	t.held, t.synced, t.changed = nil, true, true
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.StateInstalled, Subject: logSubject, Values: []any{"source", source, keyOffset, tree.Offset},
	}}
	if tree.Offset > t.next {
		t.keeper.clear()
		effects = append(effects, t.raiseGap(tree.Offset)...)
		t.next = tree.Offset
	}
	for _, r := range held {
		if r.Offset >= tree.Offset {
			effects = append(effects, t.decide(now, r)...)
		}
	}
	t.tree.Offset = t.next
	effects = append(effects, t.answerKnown()...)
	return append(effects, t.tellOffset()...)
}
