package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// peerWait is how long a peer may wait for updates before it answers.
	peerWait = 500 * time.Millisecond
	// peerTimeout bounds a call to a peer, not counting the time that the peer may wait for updates.
	peerTimeout = 400 * time.Millisecond
	// configurationTimeout bounds a call for a configuration, which may be large.
	configurationTimeout = time.Second
	// updateMaxAge is how long the updates from a peer count as recent.
	updateMaxAge = 2 * time.Second
	// maxConfirmationAge is the age of a peer's newest confirmation from which on the peer counts as cut off
	// from the store. It is somewhat longer than a call for a configuration waits.
	maxConfirmationAge = 1100 * time.Millisecond
	// peerBackoff is how long a peer is not asked after a failed call, stalePeerBackoff after it returned outdated updates.
	peerBackoff      = time.Second
	stalePeerBackoff = 400 * time.Millisecond
	// switchTime is how long a node that has lost the peer it followed tries others before it reads the store itself.
	switchTime = 400 * time.Millisecond
	// redistributionTime is how long it takes at most until the node to which a partition has moved reads the store.
	redistributionTime = 1200 * time.Millisecond
	// startGrace is how long a node that has read the store at its start looks for peers before it reads it again.
	startGrace = 1500 * time.Millisecond
	// minMoveDelay is how long further readers have to begin until followers move to them, and moveSpread is how much later than
	// the first follower the last one moves.
	minMoveDelay = time.Second
	moveSpread   = 800 * time.Millisecond
	// idleInterval is the time between two checks of the known peers.
	idleInterval = 250 * time.Millisecond
	// minLookupInterval and maxLookupInterval bound the time between two lookups in the store of the peers that read it.
	minLookupInterval = time.Second
	maxLookupInterval = 4 * time.Second
)

var (
	errCutOff = errors.New("the peer's updates are too old")
	errReader = errors.New("this node has begun or ceased to read the store")
	// errMoreReaders is returned when more nodes read the store by now than were known at the last lookup.
	errMoreReaders = errors.New("more nodes read the store")
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// readers tracks the peers that read the store, as of the last lookup.
type readers struct {
	known []storecaller.Member
	// first are those of them that read it whatever the size of the fleet is.
	first []storecaller.Member
	// count is how many partitions belonged to these and to this node, and moveAt when this node looks for further ones.
	count  int
	moveAt time.Time
	// lead is the one that the others follow in a large fleet.
	lead storecaller.Member
	// hasSkipped says that one of those that read the store in large fleets only did not read it yet.
	hasSkipped   bool
	backoffUntil map[string]time.Time
	// answeredAt is when one of them last answered, even if with old updates.
	answeredAt time.Time
	// hasAnswered reports whether one of them has ever answered, even if only that it does not read the store yet.
	hasAnswered bool
	// wasReading holds the addresses of those that have answered with updates, even if with old ones.
	wasReading map[string]bool
	// nextLookupAt is when the store may be asked for them again, after an interval that doubles until a peer has sent updates.
	nextLookupAt   time.Time
	lookupInterval time.Duration
	// isStoreUnreachable reports whether the last lookup in the store failed.
	isStoreUnreachable bool
	// hasUpdated reports whether the peer that is followed, or was followed last, has sent updates.
	hasUpdated bool
}

// FollowPeers applies updates from peers that read the store, while this node does not read it for them, until ctx ends.
func (f *Follower) FollowPeers(ctx context.Context) {
	r := readers{backoffUntil: map[string]time.Time{}, wasReading: map[string]bool{}}
	// How many nodes read the store is known once this node has joined the group.
	f.awaitJoin(ctx, callTimeout)
	for ctx.Err() == nil {
		f.gate.awaitFollowing(ctx)
		if f.gate.relays() {
			f.relayLead(ctx, &r)
			continue
		}
		peer, ok := r.pick(f.cfg.Self.DataCentre)
		if !ok {
			f.idle(ctx, &r)
			continue
		}
		backoff := peerBackoff
		switch err := f.followPeer(ctx, peer, &r); {
		case errors.Is(err, errMoreReaders):
			f.findMore(ctx, &r)
			continue
		case errors.Is(err, errCutOff):
			backoff = stalePeerBackoff
		case errors.Is(err, sharer.ErrNotReading):
			// Those that read the store in large fleets only have yet to learn that this one is large.
			isFirst := slices.Contains(r.first, peer)
			r.hasAnswered, r.hasSkipped = r.hasAnswered || isFirst, r.hasSkipped || !isFirst
			// If the peer has read the store before, the partitions were redistributed, so the store is reachable again if it was
			// not, and another node reads it as soon as it has learned that from the group. Else the peer has yet to learn that.
			backoff = stalePeerBackoff
			if r.wasReading[peer.Address] {
				delete(r.wasReading, peer.Address)
				r.nextLookupAt = bootclock.Now()
			}
			if r.hasUpdated {
				r.hasUpdated = false
				f.gate.limitPeersFresh(bootclock.Now().Add(redistributionTime))
			}
		}
		r.backoffUntil[peer.Address] = bootclock.Now().Add(backoff)
		if r.hasUpdated {
			r.hasUpdated = false
			f.switchPeer(ctx, &r)
		}
	}
}

// switchPeer is called after the peer that this node followed has failed. The node goes on with another known peer, and
// reads the store itself if none sends updates within switchTime. If no other is known, it looks them up and reads the
// store at once, if the store is reachable.
func (f *Follower) switchPeer(ctx context.Context, r *readers) {
	if _, ok := r.pick(f.cfg.Self.DataCentre); ok {
		f.gate.limitPeersFresh(bootclock.Now().Add(switchTime))
		return
	}
	f.lookup(ctx, r)
	if !r.isStoreUnreachable {
		f.gate.setPeersFresh(bootclock.Now())
	}
}

// idle looks up the peers that read the store when no known peer sends updates.
func (f *Follower) idle(ctx context.Context, r *readers) {
	if !bootclock.Now().Before(r.nextLookupAt) {
		f.lookup(ctx, r)
		if _, ok := r.pick(f.cfg.Self.DataCentre); ok {
			return
		}
	}
	now := bootclock.Now()
	if len(r.known) > 0 && !r.hasAnswered {
		// This node has just started, and those that should read the store for it are gone.
		f.gate.limitPeersFresh(now)
	}
	if r.isStoreUnreachable && now.Sub(r.answeredAt) < updateMaxAge {
		// The store is unreachable for its readers and for this node. This node leaves the retries to the readers,
		// which report when the store is reachable again.
		f.gate.setPeersFresh(now.Add(updateMaxAge))
	}
	sleeper.Sleep(ctx, idleInterval)
}

// pick returns a random peer that reads the store, preferring those of the local data centre.
func (r *readers) pick(dc identifier.DataCentre) (storecaller.Member, bool) {
	var local, all []storecaller.Member
	for _, m := range r.known {
		if bootclock.Now().Before(r.backoffUntil[m.Address]) {
			continue
		}
		all = append(all, m)
		if m.DataCentre == dc {
			local = append(local, m)
		}
	}
	if len(local) > 0 {
		all = local
	}
	if len(all) == 0 {
		return storecaller.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// lookup asks the store which peers read it.
func (f *Follower) lookup(ctx context.Context, r *readers) {
	r.moveAt, r.hasSkipped = time.Time{}, false
	found, err := f.group.FindReaders(ctx)
	r.lookupInterval = min(maxLookupInterval, max(minLookupInterval, 2*r.lookupInterval))
	r.nextLookupAt = bootclock.Now().Add(r.lookupInterval)
	r.isStoreUnreachable = err != nil
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up the peers that read the store")
		return
	}
	r.known, r.first, r.count, r.lead = found.All, found.First, found.Partitions, found.Lead
	if f.awaitJoin(ctx, 0) {
		r.known = withoutLead(found)
	}
}

// findMore looks up the peers that read the store, if these have become more. Else it is known already which have begun to.
func (f *Follower) findMore(ctx context.Context, r *readers) {
	if f.group.ReaderCount() > r.count {
		f.lookup(ctx, r)
		return
	}
	r.moveAt, r.hasSkipped = time.Time{}, false
}

// mustMove reports whether more nodes read the store by now than were known at the last lookup, or have begun to since, so that this
// node follows one of these. It gives them time to begin, and not all followers move at once.
func (r *readers) mustMove(now time.Time, count int) bool {
	if count <= r.count && !r.hasSkipped {
		return false
	}
	if r.moveAt.IsZero() {
		r.moveAt = now.Add(minMoveDelay + rand.N(moveSpread))
	}
	return now.After(r.moveAt)
}

// followPeer applies a peer's updates until a call fails or this node gets another role.
func (f *Follower) followPeer(ctx context.Context, peer storecaller.Member, r *readers) error {
	q := sharer.Query{WaitMS: peerWait.Milliseconds(), AcceptsPacked: true}
	isRelaying := f.gate.relays()
	if isRelaying {
		q.WaitMS, q.AwaitsConfirmation = leadWait.Milliseconds(), true
	}
	// outages is the count of the last update, or -1 before the first one.
	outages := -1
	for ctx.Err() == nil {
		update, confirmed, err := f.poll(ctx, peer.Address, q, r, isRelaying)
		if err != nil {
			if outages >= 0 {
				eventlogger.Error(err, eventlogger.PeerNotFollowed, "peer", peer.Node, "address", peer.Address)
			}
			return err
		}
		switch {
		case outages < 0:
			eventlogger.Info(eventlogger.PeerFollowed, "peer", peer.Node, "address", peer.Address,
				"targets", len(update.Changes), "confirmed_ms_ago", bootclock.Now().Sub(confirmed).Milliseconds())
		case update.Outages > outages:
			f.submit(registrar.StoreReachable{})
			if isRelaying {
				f.sharer.RecordOutage()
			}
		}
		outages, q.Sharer, q.Revision = update.Outages, update.Sharer, update.Revision
		f.applyPeerTargets(update, isRelaying)
		f.learn(update)
		if err := f.applyPeerConfiguration(ctx, peer.Address, update, &q); err != nil {
			eventlogger.Error(err, eventlogger.PeerNotFollowed, "peer", peer.Node, "address", peer.Address)
			return err
		}
		f.submit(dispatcher.ConfigurationConfirmed{AsOf: confirmed})
		r.lookupInterval, r.isStoreUnreachable, r.hasUpdated = 0, false, true
		if isRelaying {
			f.recordLead(confirmed)
			continue
		}
		f.gate.setPeersFresh(bootclock.Now().Add(updateMaxAge))
		if r.mustMove(bootclock.Now(), f.group.ReaderCount()) {
			return errMoreReaders
		}
	}
	return errors.Wrap(ctx.Err(), "following a peer")
}

// learn passes on what a peer's update says beside the targets and the configuration.
func (f *Follower) learn(update sharer.Update) {
	if report := (sharer.CrashReport{Crashes: update.Crashes, Cleared: update.Cleared}); !report.IsEmpty() {
		f.cfg.LearnCrashes(report)
	}
	if len(update.Limits) > 0 {
		f.cfg.LearnLimits(update.Limits)
	}
	if len(update.Loads) > 0 {
		f.cfg.LearnLoads(update.Loads)
	}
	if len(update.Rejections) > 0 {
		f.cfg.LearnRejections(update.Rejections)
	}
	if f.cfg.LearnShare != nil && update.Share > 0 {
		f.cfg.LearnShare(update.Share)
	}
}

// poll asks a peer for updates, and also returns when the store confirmed the configuration to that peer.
func (f *Follower) poll(ctx context.Context, address string, q sharer.Query, r *readers, isRelaying bool) (sharer.Update, time.Time, error) {
	if isReader, _, _ := f.gate.snapshot(); isReader != isRelaying || f.gate.relays() != isRelaying {
		return sharer.Update{}, time.Time{}, errReader
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+peerTimeout)
	defer cancel()
	// A reader that relays divides its own part of the capacity.
	if f.cfg.Demand != nil && !isRelaying {
		q.Node, q.Demand = f.cfg.Self.Node, f.cfg.Demand()
	}
	asked := bootclock.Now()
	var update sharer.Update
	if err := f.peers.Call(ctx, address, sharer.WatchMethod, q, &update); err != nil {
		return sharer.Update{}, time.Time{}, err
	}
	if update.IsNotReading {
		return sharer.Update{}, time.Time{}, sharer.ErrNotReading
	}
	if isRelaying && update.IsRelayed {
		return sharer.Update{}, time.Time{}, errNotLead
	}
	if err := update.Unpack(); err != nil {
		return sharer.Update{}, time.Time{}, err
	}
	r.answeredAt, r.hasAnswered, r.wasReading[address] = bootclock.Now(), true, true
	confirmed := asked.Add(time.Duration(update.ConfirmedMS) * time.Millisecond)
	maxAge := maxConfirmationAge
	if update.IsRelayed {
		maxAge = maxRelayedAge
	}
	if r.answeredAt.Sub(confirmed) > maxAge {
		return sharer.Update{}, time.Time{}, errCutOff
	}
	return update, confirmed, nil
}

// applyPeerConfiguration fetches and applies the newest configuration if the peer knows one that this node does not.
func (f *Follower) applyPeerConfiguration(ctx context.Context, address string, update sharer.Update, q *sharer.Query) error {
	f.mu.Lock()
	known := f.next
	f.mu.Unlock()
	if known.Before(update.Position()) {
		cfg, next, source, err := f.newestConfiguration(ctx, address)
		if err != nil {
			return err
		}
		f.applyConfiguration(cfg, next, source)
		known = next
	}
	q.Configuration, q.Era = known.Offset, known.Era
	return nil
}

// newestConfiguration asks the peer for the newest configuration, and the store if the peer does not answer. It also returns
// which of them has answered.
func (f *Follower) newestConfiguration(ctx context.Context, address string) (*describer.Configuration, identifier.StorePosition, string, error) {
	cfg, next, err := f.peerConfiguration(ctx, address)
	if err == nil {
		return cfg, next, address, nil
	}
	eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for the configuration", "address", address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cfg, next, err = f.store.NewestConfiguration(ctx)
	return cfg, next, storeSource, err
}

// askReaders applies newer configurations that other readers know, as the store may have been restored from a copy that is
// older than these.
func (f *Follower) askReaders(ctx context.Context) {
	if f.cfg.Self.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	known, err := f.group.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up the peers that read the store")
	}
	var wg sync.WaitGroup
	for _, m := range known {
		wg.Go(func() {
			cfg, next, err := f.peerConfiguration(ctx, m.Address)
			if err != nil {
				eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for the configuration", "address", m.Address)
				return
			}
			f.applyConfiguration(cfg, next, m.Address)
		})
	}
	wg.Wait()
}

func (f *Follower) peerConfiguration(ctx context.Context, address string) (*describer.Configuration, identifier.StorePosition, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	var received sharer.Configuration
	var none identifier.StorePosition
	if err := f.peers.Call(ctx, address, sharer.ConfigurationMethod, struct{}{}, &received); err != nil {
		return nil, none, err
	}
	source, err := received.Source()
	if err != nil {
		return nil, none, err
	}
	cfg, err := storecaller.ReadSource(source)
	return cfg, received.Position(), err
}
