package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// crashBatchDelay is how long to wait for further crashes before a batch is sent to peers.
	crashBatchDelay = 200 * time.Millisecond
	// maxQueuedCrashes limits the crashes that are queued for sending to peers.
	maxQueuedCrashes = 256
)

// ReportCrashes queues crashes that this node has observed. SendCrashReports sends them to the peers
// that read the store, from which all other nodes receive them. A node without a peer address reports none.
func (f *Follower) ReportCrashes(crashes []crashtracker.Crash) {
	if f.cfg.Self.Address == "" {
		return
	}
	for _, c := range crashes {
		select {
		case f.crashes <- c:
		default:
			eventlogger.Info(eventlogger.CallFailed, "doing", "queueing a crash report for peers", "target", c.Target)
		}
	}
}

// SendCrashReports sends queued crashes to peers until ctx ends.
func (f *Follower) SendCrashReports(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case c := <-f.crashes:
			sleep(ctx, crashBatchDelay)
			f.sendCrashes(ctx, f.gather([]crashtracker.Crash{c}))
		}
	}
}

// gather appends all queued crashes to the batch.
func (f *Follower) gather(crashes []crashtracker.Crash) []crashtracker.Crash {
	for {
		select {
		case c := <-f.crashes:
			crashes = append(crashes, c)
		default:
			return crashes
		}
	}
}

func (f *Follower) sendCrashes(ctx context.Context, crashes []crashtracker.Crash) {
	f.sharer.RecordCrashes(crashes)
	for _, m := range f.knownReaders(ctx) {
		if err := f.sendCrashesTo(ctx, m, crashes); err != nil {
			eventlogger.Error(err, eventlogger.CallFailed, "doing", "sending crash reports to a peer", "peer", m.Node, "address", m.Address)
		}
	}
}

func (f *Follower) sendCrashesTo(ctx context.Context, m storecaller.Member, crashes []crashtracker.Crash) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out struct{}
	return f.peers.Call(ctx, m.Address, sharer.CrashReportMethod, crashes, &out)
}

// knownReaders returns the other nodes that read the store, and looks them up if none is known.
func (f *Follower) knownReaders(ctx context.Context) []storecaller.Member {
	f.mu.Lock()
	known := f.readers
	f.mu.Unlock()
	if len(known) > 0 {
		return known
	}
	known, err := f.lookupReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to send crash reports to")
	}
	return known
}

// ServeReportCrashes records crashes that a peer has reported.
func (f *Follower) ServeReportCrashes(_ context.Context, params json.RawMessage) (any, error) {
	var crashes []crashtracker.Crash
	if err := json.Unmarshal(params, &crashes); err != nil {
		return nil, errors.Wrap(err, "decoding crashes")
	}
	f.sharer.RecordCrashes(crashes)
	f.submit(dispatcher.CrashesReported{Crashes: crashes})
	return struct{}{}, nil
}
