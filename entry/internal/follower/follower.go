// Package follower follows what the store holds: the configuration, the targets and the lease.
package follower

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// callTime bounds a call beside the time that it may wait for news.
	callTime = 700 * time.Millisecond
	// configurationWait is how long a call waits for a new configuration; its end confirms the old one.
	configurationWait = 700 * time.Millisecond
	// targetsWait is how long a call waits for news of targets.
	targetsWait = 1500 * time.Millisecond
	// News that come together are gathered for a pause that grows with the targets there are,
	// as their news do.
	pausePerTarget = 4 * time.Millisecond
	leastPause     = 200 * time.Millisecond
	mostPause      = time.Second
	// leastFailurePause is the pause after a call that failed; it doubles with each further one.
	leastFailurePause = 150 * time.Millisecond
	mostFailurePause  = 800 * time.Millisecond
	// A node that does not read the store for its peers presses it less.
	mostIdlePause = 2 * time.Second
	// outageTime is how long calls must fail for the store to count as lost.
	outageTime = time.Second
)

// Store is what the follower needs of the platform's store.
type Store interface {
	NewestConfiguration(ctx context.Context) (*describer.Configuration, identifier.Offset, error)
	ReadConfiguration(ctx context.Context, from identifier.Offset, wait time.Duration) (*describer.Configuration, identifier.Offset, error)
	NewestTargets(ctx context.Context) ([]describer.TargetChange, identifier.Offset, error)
	ReadTargets(ctx context.Context, from identifier.Offset, wait time.Duration) ([]describer.TargetChange, identifier.Offset, error)
	Join(ctx context.Context, m storecaller.Member, last identifier.FencingNumber, term time.Duration, topics int) (storecaller.Membership, error)
	Leave(ctx context.Context, m storecaller.Member) error
	Owners(ctx context.Context) (map[int]storecaller.Member, error)
}

// Follower turns what the store says, and what peers tell of it, into events.
type Follower struct {
	store  Store
	peers  Peers
	sharer *sharer.Sharer
	cfg    Config
	duty   *duty
	submit func(messenger.Event)
	// crashes wait to be told to peers.
	crashes chan accuser.Crash

	mu sync.Mutex
	// next is the offset up to which configurations are known.
	next identifier.Offset
	// readers are the other nodes that were known last to read the store.
	readers []storecaller.Member
}

// Config holds what the follower is made of.
type Config struct {
	// Self is this node as it names itself in the group.
	Self storecaller.Member
	// StoreParts is how many parts a topic of the store has.
	StoreParts int
	// RetrySlack is how many repeats all nodes together may send beyond the ratio.
	RetrySlack int
}

// NewFollower returns a follower that submits events, and shares what it reads.
func NewFollower(store Store, peers Peers, share *sharer.Sharer, cfg Config, submit func(messenger.Event)) *Follower {
	return &Follower{
		store: store, peers: peers, sharer: share, cfg: cfg, duty: newDuty(), submit: submit,
		crashes: make(chan accuser.Crash, mostWaitingCrashes),
	}
}

// outage notes when a kind of call began to fail.
type outage struct {
	what  string
	pause time.Duration
	since time.Time
	isOut bool
}

// failed notes a failure, logs the loss once it has lasted, and waits before the next call.
func (o *outage) failed(ctx context.Context, err error, most time.Duration) {
	o.note(err)
	o.pause = min(most, max(leastFailurePause, 2*o.pause))
	pause(ctx, o.pause)
}

func (o *outage) note(err error) {
	now := bootclock.Now()
	if o.since.IsZero() {
		o.since = now
	}
	if o.isOut || now.Sub(o.since) < outageTime {
		return
	}
	o.isOut = true
	eventlogger.Error(err, eventlogger.StoreLost, "for", o.what, "failing_ms", now.Sub(o.since).Milliseconds())
}

// ended notes a success and reports whether it ended an outage.
func (o *outage) ended() bool {
	was, since := o.isOut, o.since
	o.isOut, o.since, o.pause = false, time.Time{}, 0
	if was {
		eventlogger.Info(eventlogger.StoreRegained, "for", o.what, "lost_ms", bootclock.Now().Sub(since).Milliseconds())
	}
	return was
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// FollowConfiguration follows the configuration in the store until ctx ends, while peers do not tell of it.
func (f *Follower) FollowConfiguration(ctx context.Context) {
	out := outage{what: "configuration"}
	var next identifier.Offset
	isStarted := false
	// wait is zero after a failure: what is in force must be confirmed soon.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if f.duty.awaitTurn(ctx) {
			isStarted = false
			continue
		}
		sent := bootclock.Now()
		cfg, offset, err := f.configuration(ctx, isStarted, next, wait)
		if errors.Is(err, storecaller.ErrForgotten) {
			isStarted = false
			continue
		}
		if err != nil {
			wait = 0
			out.failed(ctx, err, f.mostPause())
			continue
		}
		out.ended()
		asOf := sent
		if isStarted && offset == next {
			// Nothing came during the whole wait.
			asOf = sent.Add(wait)
		}
		isStarted, next, wait = true, offset, configurationWait
		f.takeConfiguration(cfg, offset)
		var source []byte
		if cfg != nil {
			source = cfg.Source
		}
		f.sharer.NoteConfiguration(offset, asOf, source)
		f.submit(dispatcher.Confirmed{AsOf: asOf})
	}
}

// takeConfiguration takes in a configuration, if there is a new one, and the offset up to which they are known.
func (f *Follower) takeConfiguration(cfg *describer.Configuration, next identifier.Offset) {
	f.mu.Lock()
	f.next = max(f.next, next)
	f.mu.Unlock()
	if cfg == nil {
		return
	}
	table := router.NewTable(cfg)
	f.submit(dispatcher.TableRead{Table: table})
	f.submit(placer.TableChanged{Table: table})
}

// mostPause returns the longest pause after calls that failed.
func (f *Follower) mostPause() time.Duration {
	if isReader, _, _ := f.duty.reads(); isReader || f.cfg.Self.Address == "" {
		return mostFailurePause
	}
	return mostIdlePause
}

func (f *Follower) configuration(ctx context.Context, isStarted bool, from identifier.Offset, wait time.Duration) (*describer.Configuration, identifier.Offset, error) {
	if !isStarted {
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		return f.store.NewestConfiguration(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime+wait)
	defer cancel()
	return f.store.ReadConfiguration(ctx, from, wait)
}

// FollowTargets follows the targets in the store until ctx ends, while peers do not tell of them.
func (f *Follower) FollowTargets(ctx context.Context) {
	out := outage{what: "targets"}
	known := map[identifier.TargetID]bool{}
	var next identifier.Offset
	isStarted := false
	for ctx.Err() == nil {
		if f.duty.awaitTurn(ctx) {
			isStarted = false
			continue
		}
		changes, offset, err := f.targets(ctx, isStarted, next)
		if errors.Is(err, storecaller.ErrForgotten) {
			isStarted = false
			continue
		}
		if err != nil {
			out.failed(ctx, err, f.mostPause())
			continue
		}
		if out.ended() {
			f.sharer.NoteOutage()
			f.submit(registrar.StoreRegained{})
		}
		f.sharer.NoteTargets(changes, !isStarted)
		f.submit(registrar.Read{Changes: changes, IsComplete: !isStarted})
		isStarted, next = true, offset
		for _, c := range changes {
			known[c.ID] = c.Target != nil
		}
		maps.DeleteFunc(known, func(_ identifier.TargetID, isThere bool) bool { return !isThere })
		pause(ctx, min(mostPause, max(leastPause, pausePerTarget*time.Duration(len(known)))))
	}
}

func (f *Follower) targets(ctx context.Context, isStarted bool, from identifier.Offset) ([]describer.TargetChange, identifier.Offset, error) {
	if !isStarted {
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		return f.store.NewestTargets(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime+targetsWait)
	defer cancel()
	return f.store.ReadTargets(ctx, from, targetsWait)
}
