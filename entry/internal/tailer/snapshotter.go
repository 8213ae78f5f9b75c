package tailer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	// Parts of the log's retention: after how much of it the next snapshot is due, over how
	// much the nodes spread, and after how much one that was not read back is written again.
	snapshotPart = 4
	spreadPart   = 8
	againPart    = 16

	appendTimeout = 5 * time.Second
)

// snapshotter decides when a snapshot is due. The first node whose turn comes writes it;
// the others see it in the log and wait anew.
type snapshotter struct {
	interval time.Duration
	spread   time.Duration
	again    time.Duration
	due      time.Time
	written  int
}

func newSnapshotter(cfg Config) snapshotter {
	keep := max(cfg.LogKeep, time.Second)
	spread := time.Duration(xxhash.Sum64String(string(cfg.Node)) % uint64(keep/spreadPart))
	return snapshotter{interval: keep / snapshotPart, spread: spread, again: keep / againPart}
}

// first notes the first change of all: no snapshot is needed for a while.
func (s *snapshotter) first(now time.Time) { s.due = now.Add(s.interval + s.spread) }

// started notes that the node has a state; unless a snapshot was seen, one is due soon.
func (s *snapshotter) started(now time.Time, hasTeams bool) {
	if s.due.IsZero() && hasTeams {
		s.due = now.Add(s.spread)
	}
}

// reached spreads the snapshots that became due while the log was out of reach.
func (s *snapshotter) reached(now time.Time) {
	if !s.due.IsZero() && s.due.Before(now) {
		s.due = now.Add(s.spread)
	}
}

// seen notes a snapshot written at the instant of its writer's clock.
func (s *snapshotter) seen(now, at time.Time) {
	age := min(max(now.Sub(at), 0), s.interval)
	s.due = now.Add(s.interval + s.spread - age)
}

// snapshot writes the state to the log when it is due. A node that lost records which no
// snapshot and no peer has seen goes on from its own state after a while.
func (t *Tailer) snapshot(now time.Time) []messenger.Effect {
	if !t.reachable {
		return nil
	}
	if !t.synced {
		return t.skipLost(now)
	}
	if !t.current || len(t.tree.Teams) == 0 || t.snapshotter.due.IsZero() || now.Before(t.snapshotter.due) {
		return nil
	}
	return t.write(now, t.tree.Clone())
}

func (t *Tailer) skipLost(now time.Time) []messenger.Effect {
	alone := t.puller.alone
	if t.tree.Offset == 0 || alone.IsZero() || now.Sub(alone) < lossGrace {
		return nil
	}
	if _, ok := t.puller.ahead(now, t.tree.Offset); ok {
		return nil
	}
	t.puller.alone = now
	return t.write(now, t.skipped())
}

// skipped returns the node's state moved over the records it lost.
func (t *Tailer) skipped() *configurer.Tree {
	tree := t.tree.Clone()
	tree.Skip(t.heldFrom)
	return tree
}

func (t *Tailer) begin(now time.Time, ev BeginWanted) []messenger.Effect {
	possible := t.reachable && !t.synced
	effects := []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: possible}}
	if !possible {
		return effects
	}
	return append(effects, t.write(now, t.skipped())...)
}

func (t *Tailer) write(now time.Time, tree *configurer.Tree) []messenger.Effect {
	s := &t.snapshotter
	s.due = now.Add(s.again)
	s.written++
	return []messenger.Effect{
		messenger.Log{Event: eventlogger.SnapshotWritten, Subject: logSubject, Values: []any{keyOffset, tree.Offset}},
		WriteSnapshot{
			ID:       fmt.Sprintf("snapshot/%s/%d", t.cfg.Node, s.written),
			Snapshot: configurer.Snapshot{Tree: tree, At: now.Round(0)},
			Deadline: now.Add(appendTimeout),
		},
	}
}

func (t *Tailer) seeSnapshot(now time.Time, r platformcaller.Record) []messenger.Effect {
	at, err := configurer.SnapshotTime(r.Body)
	if err != nil {
		return unreadable(r, err)
	}
	t.snapshotter.seen(now, at)
	if t.synced {
		return nil
	}
	s, err := configurer.DecodeSnapshot(r.Offset, r.Body)
	if err != nil {
		return unreadable(r, err)
	}
	return t.install(now, s.Tree, "snapshot")
}
