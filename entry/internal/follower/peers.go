package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// peerWait is how long a peer may wait for news before it answers.
	peerWait = 500 * time.Millisecond
	// peerTime bounds a call beside that.
	peerTime = 400 * time.Millisecond
	// configurationTime bounds a call for a configuration, which may be large.
	configurationTime = time.Second
	// fedTime is how long news suffice.
	fedTime = 2 * time.Second
	// mostConfirmedAge is the age of a peer's newest confirmation from which on it counts as cut
	// off from the store: some more than a call for a configuration waits.
	mostConfirmedAge = 1100 * time.Millisecond
	// shunTime is how long a peer that gave no news is not asked, staleTime one whose news are old.
	shunTime  = time.Second
	staleTime = 400 * time.Millisecond
	// idlePause is the time between two looks at the peers that are known.
	idlePause = 250 * time.Millisecond
	// leastSeekPause and mostSeekPause bound the time between two questions to the store for peers that read it.
	leastSeekPause = time.Second
	mostSeekPause  = 4 * time.Second
)

var (
	errCutOff = errors.New("its news are old")
	errReads  = errors.New("this node reads the store itself")
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// readers are the peers that were known to read the store.
type readers struct {
	known   []storecaller.Member
	shunned map[string]time.Time
	// answeredAt is when one of them last answered, be it with old news.
	answeredAt time.Time
	// seekAt is when the store may be asked for them again, after a pause that doubles until one has given news.
	seekAt time.Time
	pause  time.Duration
	// isStoreAway says that the store did not answer when it was asked last.
	isStoreAway bool
	// isFed says that the last peer has given news.
	isFed bool
}

// FollowPeers takes what peers have read from the store, while this node does not read it for them, until ctx ends.
func (f *Follower) FollowPeers(ctx context.Context) {
	r := readers{shunned: map[string]time.Time{}}
	for ctx.Err() == nil {
		f.duty.awaitPeers(ctx)
		peer, ok := r.pick(f.cfg.Self.DataCentre)
		if !ok {
			f.idle(ctx, &r)
			continue
		}
		hold := shunTime
		switch err := f.followPeer(ctx, peer, &r); {
		case errors.Is(err, errCutOff):
			hold = staleTime
		case errors.Is(err, sharer.ErrNotReading):
			// The parts were dealt anew, so the store is back if it was away.
			r.seekAt = bootclock.Now()
		}
		r.shunned[peer.Address] = bootclock.Now().Add(hold)
		if r.isFed {
			r.isFed = false
			f.readAlone(ctx, &r)
		}
	}
}

// readAlone has the node read the store at once when its peer has given out, where it can: a
// fault of the peer must not make this node late.
func (f *Follower) readAlone(ctx context.Context, r *readers) {
	f.seek(ctx, r)
	if !r.isStoreAway {
		f.duty.feed(bootclock.Now())
	}
}

// idle looks for peers that read the store where those that are known give no news.
func (f *Follower) idle(ctx context.Context, r *readers) {
	if !bootclock.Now().Before(r.seekAt) {
		f.seek(ctx, r)
	}
	if now := bootclock.Now(); r.isStoreAway && now.Sub(r.answeredAt) < fedTime {
		// The store is away for the peers that read it and for this node: they will tell when it is back.
		f.duty.feed(now.Add(fedTime))
	}
	pause(ctx, idlePause)
}

// pick returns a peer that reads the store, by chance, one of this data centre if there is any.
func (r *readers) pick(dc identifier.DataCentre) (storecaller.Member, bool) {
	var near, all []storecaller.Member
	for _, m := range r.known {
		if bootclock.Now().Before(r.shunned[m.Address]) {
			continue
		}
		all = append(all, m)
		if m.DataCentre == dc {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return storecaller.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// seek asks the store which peers read it.
func (f *Follower) seek(ctx context.Context, r *readers) {
	known, err := f.seekReaders(ctx)
	r.pause = min(mostSeekPause, max(leastSeekPause, 2*r.pause))
	r.seekAt = bootclock.Now().Add(r.pause)
	r.isStoreAway = err != nil
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "seeking peers that read the store")
		return
	}
	r.known = known
}

// seekReaders asks the store for the other nodes that read it.
func (f *Follower) seekReaders(ctx context.Context) ([]storecaller.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	owners, err := f.store.Owners(ctx)
	if err != nil {
		return nil, err
	}
	var known []storecaller.Member
	for part, m := range owners {
		if isReaderPart(part) && m.Address != "" && m != f.cfg.Self && !slices.Contains(known, m) {
			known = append(known, m)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers = known
	return known, nil
}

// followPeer takes a peer's news until it gives none, or this node reads the store itself.
func (f *Follower) followPeer(ctx context.Context, peer storecaller.Member, r *readers) error {
	q := sharer.Query{WaitMS: peerWait.Milliseconds()}
	outages := -1
	for ctx.Err() == nil {
		news, confirmed, err := f.ask(ctx, peer.Address, q, r)
		if err != nil {
			if outages >= 0 {
				eventlogger.Error(err, eventlogger.PeerNotFollowed, "peer", peer.Node, "address", peer.Address)
			}
			return err
		}
		switch {
		case outages < 0:
			eventlogger.Info(eventlogger.PeerFollowed, "peer", peer.Node, "address", peer.Address,
				"targets", len(news.Changes), "confirmed_ms_ago", bootclock.Now().Sub(confirmed).Milliseconds())
		case news.Outages > outages:
			f.submit(registrar.StoreRegained{})
		}
		outages, q.Sharer, q.Revision = news.Outages, news.Sharer, news.Revision
		f.submit(registrar.Read{Changes: news.Changes, IsComplete: news.IsComplete})
		if len(news.Crashes) > 0 {
			f.submit(dispatcher.CrashesTold{Crashes: news.Crashes})
		}
		if err := f.catchUp(ctx, peer.Address, news, &q); err != nil {
			eventlogger.Error(err, eventlogger.PeerNotFollowed, "peer", peer.Node, "address", peer.Address)
			return err
		}
		f.submit(dispatcher.Confirmed{AsOf: confirmed})
		f.duty.feed(bootclock.Now().Add(fedTime))
		r.pause, r.isStoreAway, r.isFed = 0, false, true
	}
	return errors.Wrap(ctx.Err(), "following a peer")
}

// ask asks a peer for news, and returns when the store confirmed the configuration to it.
func (f *Follower) ask(ctx context.Context, address string, q sharer.Query, r *readers) (sharer.News, time.Time, error) {
	if isReader, _, _ := f.duty.reads(); isReader {
		return sharer.News{}, time.Time{}, errReads
	}
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerTime)
	defer cancel()
	asked := bootclock.Now()
	var news sharer.News
	if err := f.peers.Call(ctx, address, sharer.WatchMethod, q, &news); err != nil {
		return sharer.News{}, time.Time{}, err
	}
	if news.IsNotReading {
		return sharer.News{}, time.Time{}, sharer.ErrNotReading
	}
	r.answeredAt = bootclock.Now()
	confirmed := asked.Add(time.Duration(news.ConfirmedMS) * time.Millisecond)
	if r.answeredAt.Sub(confirmed) > mostConfirmedAge {
		return sharer.News{}, time.Time{}, errCutOff
	}
	return news, confirmed, nil
}

// catchUp takes in the newest configuration where a peer knows of one that this node does not.
func (f *Follower) catchUp(ctx context.Context, address string, news sharer.News, q *sharer.Query) error {
	f.mu.Lock()
	known := f.next
	f.mu.Unlock()
	if news.Configuration > known {
		cfg, next, err := f.newest(ctx, address)
		if err != nil {
			return err
		}
		f.takeConfiguration(cfg, next)
		known = next
	}
	q.Configuration = known
	return nil
}

// newest asks the peer for the newest configuration, and the store where the peer does not say.
func (f *Follower) newest(ctx context.Context, address string) (*describer.Configuration, identifier.Offset, error) {
	cfg, next, err := f.newestOfPeer(ctx, address)
	if err == nil {
		return cfg, next, nil
	}
	eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for the configuration", "address", address)
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return f.store.NewestConfiguration(ctx)
}

func (f *Follower) newestOfPeer(ctx context.Context, address string) (*describer.Configuration, identifier.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, configurationTime)
	defer cancel()
	var told sharer.Configuration
	if err := f.peers.Call(ctx, address, sharer.ConfigurationMethod, struct{}{}, &told); err != nil {
		return nil, 0, err
	}
	source, err := told.Source()
	if err != nil {
		return nil, 0, err
	}
	cfg, err := storecaller.ReadSource(source)
	return cfg, told.Next, err
}
