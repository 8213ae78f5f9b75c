package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// crashPause gathers crashes before peers are told.
	crashPause = 200 * time.Millisecond
	// mostWaitingCrashes bounds the crashes that wait to be told.
	mostWaitingCrashes = 256
)

// Accuse has the nodes that read the store told of crashes that this node has seen; they tell all others.
func (f *Follower) Accuse(crashes []accuser.Crash) {
	if f.cfg.Self.Address == "" {
		return
	}
	for _, c := range crashes {
		select {
		case f.crashes <- c:
		default:
			eventlogger.Info(eventlogger.CallFailed, "doing", "queueing a crash for peers", "target", c.Target)
		}
	}
}

// TellCrashes tells peers of crashes until ctx ends.
func (f *Follower) TellCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case c := <-f.crashes:
			pause(ctx, crashPause)
			f.tell(ctx, f.gather([]accuser.Crash{c}))
		}
	}
}

// gather adds the crashes that wait.
func (f *Follower) gather(crashes []accuser.Crash) []accuser.Crash {
	for {
		select {
		case c := <-f.crashes:
			crashes = append(crashes, c)
		default:
			return crashes
		}
	}
}

func (f *Follower) tell(ctx context.Context, crashes []accuser.Crash) {
	f.sharer.NoteCrashes(crashes)
	for _, m := range f.readersOf(ctx) {
		if err := f.tellPeer(ctx, m, crashes); err != nil {
			eventlogger.Error(err, eventlogger.CallFailed, "doing", "telling a peer of crashes", "peer", m.Node, "address", m.Address)
		}
	}
}

func (f *Follower) tellPeer(ctx context.Context, m storecaller.Member, crashes []accuser.Crash) error {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	var out struct{}
	return f.peers.Call(ctx, m.Address, sharer.AccuseMethod, crashes, &out)
}

// readersOf returns the other nodes that read the store; they are looked up where none is known.
func (f *Follower) readersOf(ctx context.Context) []storecaller.Member {
	f.mu.Lock()
	known := f.readers
	f.mu.Unlock()
	if len(known) > 0 {
		return known
	}
	known, err := f.seekReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "seeking peers to tell of crashes")
	}
	return known
}

// ServeAccuse takes in crashes that a peer has seen.
func (f *Follower) ServeAccuse(_ context.Context, params json.RawMessage) (any, error) {
	var crashes []accuser.Crash
	if err := json.Unmarshal(params, &crashes); err != nil {
		return nil, errors.Wrap(err, "decoding crashes")
	}
	f.sharer.NoteCrashes(crashes)
	f.submit(dispatcher.CrashesTold{Crashes: crashes})
	return struct{}{}, nil
}
