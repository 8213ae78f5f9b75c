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
	// Divisors of the log's retention. They give the time until the next snapshot is due, the
	// time over which the nodes spread their snapshots, and the time after which a snapshot
	// that was not read back is written again.
	snapshotDivisor = 4
	spreadDivisor   = 8
	rewriteDivisor  = 16

	// appendTimeout bounds the append of one snapshot.
	appendTimeout = 5 * time.Second
)

// snapshotter decides when a snapshot is due. The first node that is due writes it. The others
// read it from the log and reset their timers.
type snapshotter struct {
	interval     time.Duration
	spread       time.Duration
	rewriteAfter time.Duration
	due          time.Time
	lastSeq      int
}

func newSnapshotter(cfg Config) snapshotter {
	retention := max(cfg.LogKeep, time.Second)
	spread := time.Duration(xxhash.Sum64String(string(cfg.Node)) % uint64(retention/spreadDivisor))
	return snapshotter{interval: retention / snapshotDivisor, spread: spread, rewriteAfter: retention / rewriteDivisor}
}

// onFirstChange sets the timer at the first change ever, which needs no snapshot for a while.
func (s *snapshotter) onFirstChange(now time.Time) { s.due = now.Add(s.interval + s.spread) }

// onStateReady schedules a snapshot soon after the node has a state, unless it has read one.
func (s *snapshotter) onStateReady(now time.Time, hasTeams bool) {
	if s.due.IsZero() && hasTeams {
		s.due = now.Add(s.spread)
	}
}

// onLogReachable spreads the snapshots that became due while the log was unreachable.
func (s *snapshotter) onLogReachable(now time.Time) {
	if !s.due.IsZero() && s.due.Before(now) {
		s.due = now.Add(s.spread)
	}
}

// onSnapshotSeen resets the timer for a snapshot that was written at the given time of its writer's clock.
func (s *snapshotter) onSnapshotSeen(now, at time.Time) {
	age := min(max(now.Sub(at), 0), s.interval)
	s.due = now.Add(s.interval + s.spread - age)
}

// snapshot writes a snapshot to the log when one is due. A node that lost records which are in no
// snapshot and at no peer continues from its own state after lossGrace.
func (t *Tailer) snapshot(now time.Time) []messenger.Effect {
	if !t.reachable {
		return nil
	}
	if !t.synced {
		return t.writeAfterLoss(now)
	}
	if !t.wasCurrent || len(t.tree.Teams) == 0 || t.snapshotter.due.IsZero() || now.Before(t.snapshotter.due) {
		return nil
	}
	return t.writeSnapshot(now, t.tree.Clone())
}

// writeAfterLoss writes a snapshot that skips the lost records if no peer is ahead after lossGrace.
func (t *Tailer) writeAfterLoss(now time.Time) []messenger.Effect {
	stateMissingSince := t.puller.stateMissingSince
	if t.tree.Offset == 0 || stateMissingSince.IsZero() || now.Sub(stateMissingSince) < lossGrace {
		return nil
	}
	if _, ok := t.puller.peerAhead(now, t.tree.Offset); ok {
		return nil
	}
	t.puller.stateMissingSince = now
	return t.writeSnapshot(now, t.treeSkippingLost())
}

// treeSkippingLost returns the node's state advanced past the records it lost.
func (t *Tailer) treeSkippingLost() *configurer.Tree {
	tree := t.tree.Clone()
	tree.Skip(t.heldFrom)
	return tree
}

// begin writes a snapshot of the incomplete state, in which the lost records are marked as lost, at an
// operator's request.
func (t *Tailer) begin(now time.Time, ev BeginRequested) []messenger.Effect {
	canBegin := t.reachable && !t.synced
	effects := []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: canBegin}}
	if !canBegin {
		return effects
	}
	return append(effects, t.writeSnapshot(now, t.treeSkippingLost())...)
}

func (t *Tailer) writeSnapshot(now time.Time, tree *configurer.Tree) []messenger.Effect {
	s := &t.snapshotter
	s.due = now.Add(s.rewriteAfter)
	s.lastSeq++
	return []messenger.Effect{
		messenger.Log{Event: eventlogger.SnapshotWritten, Subject: logSubject, Values: []any{keyOffset, tree.Offset}},
		WriteSnapshot{
			ID:       fmt.Sprintf("snapshot/%s/%d", t.cfg.Node, s.lastSeq),
			Snapshot: configurer.Snapshot{Tree: tree, At: now.Round(0)},
			Deadline: now.Add(appendTimeout),
		},
	}
}

func (t *Tailer) applySnapshot(now time.Time, r platformcaller.Record) []messenger.Effect {
	at, err := configurer.SnapshotTime(r.Body)
	if err != nil {
		return unreadable(r, err)
	}
	t.snapshotter.onSnapshotSeen(now, at)
	if t.synced {
		return nil
	}
	s, err := configurer.DecodeSnapshot(r.Offset, r.Body)
	if err != nil {
		return unreadable(r, err)
	}
	return t.install(now, s.Tree, "snapshot")
}
