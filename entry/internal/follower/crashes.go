package follower

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// crashBatchDelay is how long to wait for further crashes before a batch is sent to peers.
	crashBatchDelay = 100 * time.Millisecond
	// crashRetryInterval is the time between two attempts to send what a peer has not confirmed,
	// crashSendTime how long that goes on.
	crashRetryInterval = 500 * time.Millisecond
	crashSendTime      = 30 * time.Second
	// maxQueuedCrashes limits the crashes that are queued for sending to peers.
	maxQueuedCrashes = 256
	// readersMaxAge is how long the readers found by a lookup are taken for the ones to report to.
	readersMaxAge = 2 * time.Second
	// syncInterval is the time between two queries of a node that reads the store for what another
	// reader knows of crashes, firstSyncInterval until the first one has succeeded.
	syncInterval      = 10 * time.Second
	firstSyncInterval = 500 * time.Millisecond
)

// ReportCrashes queues what this node has found. SendCrashReports sends it to the peers that read
// the store, from which all other nodes receive it. A node without a peer address reports nothing.
func (f *Follower) ReportCrashes(r sharer.CrashReport) {
	if f.cfg.Self.Address == "" {
		return
	}
	f.sharer.RecordCrashes(r)
	select {
	case f.reports <- r:
	default:
		eventlogger.Info(eventlogger.CallFailed, "doing", "queueing a crash report for peers", "crashes", len(r.Crashes), "cleared", len(r.Cleared))
	}
}

// pendingReport is a report that not all readers have confirmed yet.
type pendingReport struct {
	sharer.CrashReport
	until time.Time
	// confirmed holds the addresses of the readers that have it.
	confirmed []string
}

// SendCrashReports sends queued reports to the peers that read the store until ctx ends. What a
// reader does not confirm is sent to it again.
func (f *Follower) SendCrashReports(ctx context.Context) {
	var pending []*pendingReport
	for ctx.Err() == nil {
		pending = f.gatherReports(ctx, pending)
		pending = f.sendPending(ctx, pending)
	}
}

// gatherReports waits for a report, or until it is time to send the pending ones again, and returns
// all of them.
func (f *Follower) gatherReports(ctx context.Context, pending []*pendingReport) []*pendingReport {
	add := func(r sharer.CrashReport) {
		pending = append(pending, &pendingReport{CrashReport: r, until: bootclock.Now().Add(crashSendTime)})
	}
	var again <-chan time.Time
	if len(pending) > 0 {
		t := time.NewTimer(crashRetryInterval)
		defer t.Stop()
		again = t.C
	}
	select {
	case <-ctx.Done():
		return pending
	case <-again:
	case r := <-f.reports:
		add(r)
		sleep(ctx, crashBatchDelay)
	}
	for {
		select {
		case r := <-f.reports:
			add(r)
		default:
			return pending[max(0, len(pending)-maxQueuedCrashes):]
		}
	}
}

// sendPending sends each reader what it has not confirmed, and returns what is still pending.
func (f *Follower) sendPending(ctx context.Context, pending []*pendingReport) []*pendingReport {
	readers, err := f.currentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to send crash reports to", "pending", len(pending))
	}
	failed := make([]error, len(readers))
	var wg sync.WaitGroup
	for i, m := range readers {
		if r := unconfirmed(pending, m.Address); !r.IsEmpty() {
			wg.Go(func() { failed[i] = f.sendReport(ctx, m.Address, r) })
		}
	}
	wg.Wait()
	for i, m := range readers {
		if failed[i] != nil {
			eventlogger.Error(failed[i], eventlogger.CallFailed, "doing", "sending crash reports to a peer", "peer", m.Node, "address", m.Address)
			continue
		}
		for _, p := range pending {
			p.confirmed = append(p.confirmed, m.Address)
		}
	}
	now := bootclock.Now()
	return slices.DeleteFunc(pending, func(p *pendingReport) bool {
		isMissing := func(m storecaller.Member) bool { return !slices.Contains(p.confirmed, m.Address) }
		return now.After(p.until) || (err == nil && !slices.ContainsFunc(readers, isMissing))
	})
}

// unconfirmed joins the reports that a reader has not confirmed.
func unconfirmed(pending []*pendingReport, address string) sharer.CrashReport {
	var out sharer.CrashReport
	for _, p := range pending {
		if !slices.Contains(p.confirmed, address) {
			out.Crashes = append(out.Crashes, p.Crashes...)
			out.Cleared = append(out.Cleared, p.Cleared...)
		}
	}
	return out
}

func (f *Follower) sendReport(ctx context.Context, address string, r sharer.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out struct{}
	if len(r.Crashes) > 0 {
		if err := f.peers.Call(ctx, address, sharer.CrashReportMethod, r.Crashes, &out); err != nil {
			return err
		}
	}
	if len(r.Cleared) == 0 {
		return nil
	}
	return f.peers.Call(ctx, address, sharer.ClearMethod, r.Cleared, &out)
}

// currentReaders returns the other nodes that read the store, from a recent lookup or a new one. If
// that fails, it returns the last ones known as well.
func (f *Follower) currentReaders(ctx context.Context) ([]storecaller.Member, error) {
	f.mu.Lock()
	known, isRecent := f.readers, bootclock.Now().Sub(f.readersAt) < readersMaxAge
	f.mu.Unlock()
	if isRecent {
		return known, nil
	}
	current, err := f.lookupReaders(ctx)
	if err != nil {
		return known, err
	}
	return current, nil
}

// ServeReportCrashes records crashes that a peer has reported.
func (f *Follower) ServeReportCrashes(_ context.Context, params json.RawMessage) (any, error) {
	var crashes []crashtracker.Crash
	if err := json.Unmarshal(params, &crashes); err != nil {
		return nil, errors.Wrap(err, "decoding crashes")
	}
	f.learnCrashes(sharer.CrashReport{Crashes: crashes})
	return struct{}{}, nil
}

// ServeClear records requests that a peer has reported as answered.
func (f *Follower) ServeClear(_ context.Context, params json.RawMessage) (any, error) {
	var cleared []identifier.Fingerprint
	if err := json.Unmarshal(params, &cleared); err != nil {
		return nil, errors.Wrap(err, "decoding cleared requests")
	}
	f.learnCrashes(sharer.CrashReport{Cleared: cleared})
	return struct{}{}, nil
}

// learnCrashes applies what a peer has told, and keeps it for other peers.
func (f *Follower) learnCrashes(r sharer.CrashReport) {
	if r.IsEmpty() {
		return
	}
	f.sharer.RecordCrashes(r)
	f.submit(dispatcher.CrashesReported{Crashes: r.Crashes, Cleared: r.Cleared})
}

// SyncCrashes asks other readers what they know of crashes until ctx ends: all of them after the start,
// and then one after the other while this node reads the store itself. A report that reached only one
// of them reaches all.
func (f *Follower) SyncCrashes(ctx context.Context) {
	known := map[string]sharer.Query{}
	for !f.syncAll(ctx, known) {
		sleep(ctx, firstSyncInterval)
	}
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, syncInterval)
		if isReader, _, _ := f.gate.snapshot(); isReader {
			f.syncOne(ctx, n, known)
		}
	}
}

// syncAll asks all readers, and reports whether they have answered or ctx has ended.
func (f *Follower) syncAll(ctx context.Context, known map[string]sharer.Query) bool {
	readers, err := f.currentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to ask for crashes")
		return ctx.Err() != nil
	}
	hasAnswered := len(readers) == 0
	for _, m := range readers {
		hasAnswered = f.askCrashes(ctx, m, known) || hasAnswered
	}
	return hasAnswered || ctx.Err() != nil
}

// syncOne asks the n-th reader.
func (f *Follower) syncOne(ctx context.Context, n int, known map[string]sharer.Query) {
	readers, err := f.currentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to ask for crashes")
	}
	if len(readers) > 0 {
		f.askCrashes(ctx, readers[n%len(readers)], known)
	}
}

// askCrashes asks a reader for the crashes that it has recorded since the last answer, and reports
// whether it has answered.
func (f *Follower) askCrashes(ctx context.Context, m storecaller.Member, known map[string]sharer.Query) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var r sharer.CrashReport
	if err := f.peers.Call(ctx, m.Address, sharer.CrashesMethod, known[m.Address], &r); err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for crashes", "peer", m.Node, "address", m.Address)
		return false
	}
	known[m.Address] = sharer.Query{Sharer: r.Sharer, Revision: r.Revision}
	f.learnCrashes(r)
	return true
}
