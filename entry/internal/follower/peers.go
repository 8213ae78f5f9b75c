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
	peerWait = time.Second
	// peerTime bounds a call beside that.
	peerTime = 500 * time.Millisecond
	// configurationTime bounds a call for a configuration, which may be large.
	configurationTime = 2 * time.Second
	// fedTime is how long news suffice.
	fedTime = peerWait + 2*peerTime
	// mostConfirmedAge is the age of a peer's newest confirmation from which on it counts as cut off from the store.
	mostConfirmedAge = 2500 * time.Millisecond
	// shunTime is how long a peer that gave no news is not asked.
	shunTime = time.Second
	// leastSeekPause and mostSeekPause bound the time between two looks for peers that read the store.
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
	pause   time.Duration
}

// FollowPeers takes what peers have read from the store, while this node does not read it for them, until ctx ends.
func (f *Follower) FollowPeers(ctx context.Context) {
	r := readers{shunned: map[string]time.Time{}}
	for ctx.Err() == nil {
		f.duty.awaitPeers(ctx)
		peer, ok := r.pick(f.cfg.Self.DataCentre)
		if !ok {
			f.seek(ctx, &r)
			continue
		}
		eventlogger.Info(eventlogger.PeerFollowed, "peer", peer.Node, "address", peer.Address)
		err := f.followPeer(ctx, peer.Address, &r)
		eventlogger.Error(err, eventlogger.PeerNotFollowed, "peer", peer.Node, "address", peer.Address)
		r.shunned[peer.Address] = bootclock.Now().Add(shunTime)
	}
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

// rest pauses, each time longer until a peer has given news.
func (r *readers) rest(ctx context.Context) {
	r.pause = min(mostSeekPause, max(leastSeekPause, 2*r.pause))
	pause(ctx, r.pause)
}

// seek asks the store which peers read it.
func (f *Follower) seek(ctx context.Context, r *readers) {
	owners, err := f.owners(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "seeking peers that read the store")
		r.rest(ctx)
		return
	}
	r.known = nil
	for part, m := range owners {
		if isReaderPart(part) && m.Address != "" && m != f.cfg.Self && !slices.Contains(r.known, m) {
			r.known = append(r.known, m)
		}
	}
	if _, ok := r.pick(f.cfg.Self.DataCentre); !ok {
		r.rest(ctx)
	}
}

func (f *Follower) owners(ctx context.Context) (map[int]storecaller.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return f.store.Owners(ctx)
}

// followPeer takes a peer's news until it gives none, or this node reads the store itself.
func (f *Follower) followPeer(ctx context.Context, address string, r *readers) error {
	q := sharer.Query{WaitMS: peerWait.Milliseconds()}
	outages := -1
	for ctx.Err() == nil {
		if isReader, _, _ := f.duty.reads(); isReader {
			return errReads
		}
		asked := bootclock.Now()
		news, err := f.ask(ctx, address, q)
		if err != nil {
			return err
		}
		confirmed := asked.Add(time.Duration(news.ConfirmedMS) * time.Millisecond)
		if bootclock.Now().Sub(confirmed) > mostConfirmedAge {
			return errCutOff
		}
		if outages >= 0 && news.Outages > outages {
			f.submit(registrar.StoreRegained{})
		}
		outages, q.Sharer, q.Revision = news.Outages, news.Sharer, news.Revision
		f.submit(registrar.Read{Changes: news.Changes, IsComplete: news.IsComplete})
		if err := f.catchUp(ctx, address, news, &q); err != nil {
			return err
		}
		f.submit(dispatcher.Confirmed{AsOf: confirmed})
		f.duty.feed(bootclock.Now().Add(fedTime))
		r.pause = 0
	}
	return errors.Wrap(ctx.Err(), "following a peer")
}

func (f *Follower) ask(ctx context.Context, address string, q sharer.Query) (sharer.News, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerTime)
	defer cancel()
	var news sharer.News
	err := f.peers.Call(ctx, address, sharer.WatchMethod, q, &news)
	return news, err
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

// newest asks the store for the newest configuration, and the peer where the store does not say.
func (f *Follower) newest(ctx context.Context, address string) (*describer.Configuration, identifier.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime+configurationTime)
	defer cancel()
	atStore, stop := context.WithTimeout(ctx, callTime)
	defer stop()
	cfg, next, err := f.store.NewestConfiguration(atStore)
	if err == nil {
		return cfg, next, nil
	}
	eventlogger.Error(err, eventlogger.CallFailed, "doing", "reading the configuration that a peer knows of", "instead_from", address)
	var told sharer.Configuration
	if err := f.peers.Call(ctx, address, sharer.ConfigurationMethod, struct{}{}, &told); err != nil {
		return nil, 0, err
	}
	cfg, err = storecaller.ReadSource(told.Source)
	return cfg, told.Next, err
}
