// Package follower follows the configuration and the targets, in the store itself or through peers that read it.
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
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/fetcher"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/publisher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/decoder"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// callTimeout bounds a call, not counting the time that it may wait for updates.
	callTimeout = 700 * time.Millisecond
	// completeTimeout bounds a read of all targets, which are tens of thousands at most, or of the configuration, on a thin link.
	completeTimeout = 10 * time.Second
	// configurationWait is how long a call waits for a new configuration. If none arrives, the wait confirms the current one.
	configurationWait = 700 * time.Millisecond
	// targetsWait is how long a call waits for target updates.
	targetsWait = 1500 * time.Millisecond
	// Target updates are batched. The delay between two reads grows with the number of targets,
	// because the rate of updates does.
	delayPerTarget = 4 * time.Millisecond
	minDelay       = 200 * time.Millisecond
	maxDelay       = time.Second
	// minFailureBackoff is the delay after a failed call. It doubles with each further failure.
	minFailureBackoff = 150 * time.Millisecond
	maxFailureBackoff = 800 * time.Millisecond
	// maxNonReaderBackoff applies to a node that has peers but does not read the store for them, to put less load on
	// the store.
	maxNonReaderBackoff = 2 * time.Second
	// outageTimeout is how long calls must fail before the store counts as lost.
	outageTimeout = time.Second
	// storeSource names the store as the source of a configuration in logs; another source is the address of a peer.
	storeSource = "store"
)

// Store is the part of the platform's store that the follower uses.
type Store interface {
	NewestConfiguration(ctx context.Context) (*describer.Configuration, identifier.StorePosition, error)
	// ReadConfiguration calls began when the store begins to answer.
	ReadConfiguration(ctx context.Context, from identifier.StorePosition, wait time.Duration, began func()) (*describer.Configuration, identifier.StorePosition, error)
	NewestTargets(ctx context.Context) ([]describer.TargetChange, identifier.StorePosition, error)
	ReadTargets(ctx context.Context, from identifier.StorePosition, wait time.Duration) ([]describer.TargetChange, identifier.StorePosition, error)
}

// Group is what the follower learns from this node's membership in the group of nodes.
type Group interface {
	FindReaders(ctx context.Context) (joiner.Readers, error)
	CurrentReaders(ctx context.Context) ([]storecaller.Member, error)
	ReaderCount() int
	IsInLargeFleet(ctx context.Context) bool
}

// Follower turns updates from the store, and those that peers forward, into events.
type Follower struct {
	store  Store
	peers  Peers
	group  Group
	sharer *sharer.Sharer
	cfg    Config
	gate   *readGate
	submit func(messenger.Event)

	// publisher sends configurations to peers, fetcher gets them, and decoder decodes these.
	publisher *publisher.Publisher
	fetcher   *fetcher.Fetcher
	decoder   decoder.Decoder

	mu sync.Mutex
	// next is the position up to which configurations are known.
	next      identifier.StorePosition
	transfers Transfers
}

// Config holds the settings of a follower.
type Config struct {
	// Self identifies this node in the group.
	Self storecaller.Member
	// Configurations calls peers for configurations, so that other calls do not wait for these; nil to make them like the others.
	Configurations Peers
	// Publisher keeps the configuration for peers; nil if none ask this node.
	Publisher *publisher.Publisher
	// LearnCrashes applies what a peer has told of requests that crash targets.
	LearnCrashes func(sharer.CrashReport)
	// LearnLimits applies what a peer has told of the request limits of targets.
	LearnLimits func([]limiter.Report)
	// LearnLoads applies what a peer has told of the load of targets.
	LearnLoads func([]loadtracker.Report)
	// LearnRejections applies what a peer has told of targets that reject requests.
	LearnRejections func([]avoider.Rejection)
	// Demand returns how many requests this node would have open if it shed none, and LearnShare applies its share of the capacity;
	// nil if it sheds none.
	Demand     func() float64
	LearnShare func(float64)
}

// NewFollower returns a follower that submits events and records what it reads in the sharer.
func NewFollower(store Store, peers Peers, group Group, share *sharer.Sharer, cfg Config, submit func(messenger.Event)) *Follower {
	if cfg.Publisher == nil {
		cfg.Publisher = publisher.NewPublisher()
	}
	if cfg.Configurations == nil {
		cfg.Configurations = peers
	}
	f := &Follower{
		store: store, peers: peers, group: group, sharer: share, cfg: cfg, gate: newReadGate(), submit: submit,
		publisher: cfg.Publisher, fetcher: fetcher.NewFetcher(cfg.Configurations, cfg.Self.Address),
	}
	if cfg.Self.Address != "" {
		f.gate.setPeersFresh(bootclock.Now().Add(startGrace))
	}
	return f
}

// SetReader sets whether this node reads the store for its peers.
func (f *Follower) SetReader(isReader bool) {
	f.sharer.SetReading(isReader)
	f.publisher.SetReading(isReader)
	f.gate.setReader(isReader)
}

// outage tracks consecutive failures of one kind of call.
type outage struct {
	// call names the kind of call in logs.
	call    string
	backoff time.Duration
	// since is the time of the first failure, or zero if the last call succeeded.
	since time.Time
	// isStoreLost reports whether the failures have lasted outageTimeout.
	isStoreLost bool
}

// failed records a failure, logs the loss of the store once the outage has lasted outageTimeout, and backs off.
func (o *outage) failed(ctx context.Context, err error, limit time.Duration) {
	o.record(err)
	o.backoff = min(limit, max(minFailureBackoff, 2*o.backoff))
	sleeper.Sleep(ctx, o.backoff)
}

func (o *outage) record(err error) {
	now := bootclock.Now()
	if o.since.IsZero() {
		o.since = now
	}
	if o.isStoreLost || now.Sub(o.since) < outageTimeout {
		return
	}
	o.isStoreLost = true
	eventlogger.Error(err, eventlogger.StoreUnreachable, "for", o.call, "failing_ms", now.Sub(o.since).Milliseconds())
}

// succeeded records a success and reports whether it ended an outage of the store.
func (o *outage) succeeded() bool {
	wasLost, since := o.isStoreLost, o.since
	o.isStoreLost, o.since, o.backoff = false, time.Time{}, 0
	if wasLost {
		eventlogger.Info(eventlogger.StoreReachable, "for", o.call, "lost_ms", bootclock.Now().Sub(since).Milliseconds())
	}
	return wasLost
}

// FollowConfiguration follows the configuration in the store until ctx ends, except while peers provide it.
func (f *Follower) FollowConfiguration(ctx context.Context) {
	out := outage{call: "configuration"}
	var next identifier.StorePosition
	// askedEra is the newest era of the store in which this node has asked its peers for a newer version.
	var askedEra identifier.Era
	isStarted := false
	// A node reads once at its start, so that it serves at once, and then leaves the store to its peers.
	hasRead := false
	// wait is zero after a failure, because the configuration in force must be confirmed soon.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if hasRead && f.gate.awaitReading(ctx, f.sharer.PauseConfiguration) {
			// What peers have sent meanwhile need not be read again, but must be confirmed soon.
			next, wait = f.known(), 0
			continue
		}
		sent := bootclock.Now()
		cfg, position, err := f.configuration(ctx, isStarted, next, wait)
		if cfg == nil {
			// A new configuration is confirmed by the next read only.
			f.sharer.SetCatchingUp(false)
		}
		if storecaller.IsPositionLost(err) {
			isStarted = false
			continue
		}
		if err != nil {
			wait = 0
			out.failed(ctx, err, f.maxBackoff())
			continue
		}
		out.succeeded()
		asOf := sent
		// After a new configuration the next call confirms it at once: this one confirms as of its start only.
		nextWait := time.Duration(0)
		if isStarted && position == next {
			// No newer configuration arrived during the whole wait, so the current one is confirmed as of its end.
			asOf, nextWait = sent.Add(wait), configurationWait
		}
		isStarted, hasRead, next, wait = true, true, position, nextWait
		f.applyConfiguration(cfg, position, storeSource)
		if position.Era != askedEra {
			askedEra = position.Era
			f.askReaders(ctx)
		}
		f.publisher.Confirm(position)
		f.sharer.RecordConfiguration(position, asOf)
		f.submit(dispatcher.ConfigurationConfirmed{AsOf: asOf})
	}
}

// applyConfiguration applies a new configuration that was read from a source, if there is one, and records the position
// up to which configurations are known.
func (f *Follower) applyConfiguration(cfg *describer.Configuration, next identifier.StorePosition, source string) {
	f.mu.Lock()
	if f.next.Before(next) {
		f.next = next
	}
	f.mu.Unlock()
	if cfg == nil {
		return
	}
	f.publisher.Keep(cfg)
	f.submit(dispatcher.ConfigurationRead{Table: router.NewTable(cfg), Source: source, Position: next})
}

// known returns the position up to which configurations are known.
func (f *Follower) known() identifier.StorePosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// maxBackoff returns the longest delay after failed calls.
func (f *Follower) maxBackoff() time.Duration {
	if isReader, _, _ := f.gate.snapshot(); isReader || f.cfg.Self.Address == "" {
		return maxFailureBackoff
	}
	return maxNonReaderBackoff
}

func (f *Follower) configuration(ctx context.Context, isStarted bool, from identifier.StorePosition, wait time.Duration) (*describer.Configuration, identifier.StorePosition, error) {
	if !isStarted {
		ctx, cancel := context.WithTimeout(ctx, completeTimeout)
		defer cancel()
		return f.store.NewestConfiguration(ctx)
	}
	return f.store.ReadConfiguration(ctx, from, wait, func() { f.sharer.SetCatchingUp(true) })
}

// FollowTargets follows the targets in the store until ctx ends, except while peers provide them.
func (f *Follower) FollowTargets(ctx context.Context) {
	out := outage{call: "targets"}
	known := map[identifier.TargetID]bool{}
	var next identifier.StorePosition
	// hasRead is as for the configuration, but the nodes of a large fleet leave the targets to its readers from the start on.
	isStarted, hasRead := false, false
	for ctx.Err() == nil {
		if (hasRead || f.leavesTargets(ctx)) && f.gate.awaitReading(ctx, f.sharer.PauseTargets) {
			isStarted = false
			continue
		}
		changes, position, err := f.targets(ctx, isStarted, next)
		if errors.Is(err, storecaller.ErrRestored) {
			// Targets write the entries again that the copy lacks, as after an outage.
			f.noteReachable()
		}
		if storecaller.IsPositionLost(err) {
			isStarted = false
			continue
		}
		if err != nil {
			out.failed(ctx, err, f.maxBackoff())
			continue
		}
		if out.succeeded() {
			f.noteReachable()
		}
		f.sharer.RecordTargets(changes, !isStarted)
		f.submit(registrar.TargetsRead{Changes: changes, IsComplete: !isStarted})
		isStarted, hasRead, next = true, true, position
		for _, c := range changes {
			known[c.ID] = c.Target != nil
		}
		maps.DeleteFunc(known, func(_ identifier.TargetID, isThere bool) bool { return !isThere })
		sleeper.Sleep(ctx, min(maxDelay, max(minDelay, delayPerTarget*time.Duration(len(known)))))
	}
}

// leavesTargets reports whether this node leaves the targets to its peers from its start on.
func (f *Follower) leavesTargets(ctx context.Context) bool {
	return f.cfg.Self.Address != "" && f.group.IsInLargeFleet(ctx)
}

// noteReachable tells this node and its peers that entries of targets may be missing which are about to be written again.
func (f *Follower) noteReachable() {
	f.sharer.RecordOutage()
	f.submit(registrar.StoreReachable{})
}

func (f *Follower) targets(ctx context.Context, isStarted bool, from identifier.StorePosition) ([]describer.TargetChange, identifier.StorePosition, error) {
	if !isStarted {
		ctx, cancel := context.WithTimeout(ctx, completeTimeout)
		defer cancel()
		return f.store.NewestTargets(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+targetsWait)
	defer cancel()
	return f.store.ReadTargets(ctx, from, targetsWait)
}
