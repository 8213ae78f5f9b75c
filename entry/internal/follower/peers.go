package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
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
	// peerTimeout bounds a call to a peer, not counting peerWait.
	peerTimeout = 400 * time.Millisecond
	// updateMaxAge is how long the updates from a peer count as recent.
	updateMaxAge = 2 * time.Second
	// maxConfirmationAge is the age of a peer's newest confirmation from which on the peer counts as cut off
	// from the store. It is somewhat longer than a call for a configuration waits.
	maxConfirmationAge = 1100 * time.Millisecond
	// maxCatchUpAge is the same for a peer to which the store is sending a newer configuration, which may be large.
	maxCatchUpAge = 4 * time.Second
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
	errReader = errors.New("this node reads the store itself")
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
	for ctx.Err() == nil {
		f.gate.awaitFollowing(ctx)
		peer, ok := r.pick(f.cfg.Self.DataCentre)
		if !ok {
			f.idle(ctx, &r)
			continue
		}
		backoff := peerBackoff
		switch err := f.followPeer(ctx, peer, &r); {
		case errors.Is(err, errMoreReaders):
			f.lookup(ctx, &r)
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
	r.known, r.first, r.count = found.All, found.First, found.Partitions
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

// followPeer applies a peer's updates until a call fails or this node reads the store itself.
func (f *Follower) followPeer(ctx context.Context, peer storecaller.Member, r *readers) error {
	q := sharer.Query{WaitMS: peerWait.Milliseconds(), AcceptsPacked: true}
	// outages is the count of the last update, or -1 before the first one.
	outages := -1
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	news := catchUp{follower: f, address: peer.Address}
	for ctx.Err() == nil {
		update, confirmed, err := f.poll(ctx, peer.Address, q, r)
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
		}
		outages, q.Sharer, q.Revision = update.Outages, update.Sharer, update.Revision
		f.submit(registrar.TargetsRead{Changes: update.Changes, IsComplete: update.IsComplete})
		f.learn(update)
		isKnown, err := news.want(ctx, update.Position())
		if err != nil {
			eventlogger.Error(err, eventlogger.PeerNotFollowed, "peer", peer.Node, "address", peer.Address)
			return err
		}
		if isKnown {
			f.submit(dispatcher.ConfigurationConfirmed{AsOf: confirmed})
		}
		q.Configuration, q.Era = update.Configuration, update.Era
		f.gate.setPeersFresh(bootclock.Now().Add(updateMaxAge))
		r.lookupInterval, r.isStoreUnreachable, r.hasUpdated = 0, false, true
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
func (f *Follower) poll(ctx context.Context, address string, q sharer.Query, r *readers) (sharer.Update, time.Time, error) {
	if isReader, _, _ := f.gate.snapshot(); isReader {
		return sharer.Update{}, time.Time{}, errReader
	}
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerTimeout)
	defer cancel()
	if f.cfg.Demand != nil {
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
	if err := update.Unpack(); err != nil {
		return sharer.Update{}, time.Time{}, err
	}
	r.answeredAt, r.hasAnswered, r.wasReading[address] = bootclock.Now(), true, true
	confirmed := asked.Add(time.Duration(update.ConfirmedMS) * time.Millisecond)
	limit := maxConfirmationAge
	if update.IsCatchingUp {
		limit = maxCatchUpAge
	}
	if r.answeredAt.Sub(confirmed) > limit {
		return sharer.Update{}, time.Time{}, errCutOff
	}
	return update, confirmed, nil
}
