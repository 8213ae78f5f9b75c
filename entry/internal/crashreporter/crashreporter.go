// Package crashreporter tells the other nodes which requests crash targets, learns it from them, and
// stores poison requests, so that they are known after a restart of all nodes.
package crashreporter

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
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// crashBatchDelay is how long to wait for further crashes before a batch is sent to peers.
	crashBatchDelay = 100 * time.Millisecond
	// crashRetryInterval is the time until a peer that has not confirmed a report is sent it again. It doubles up to
	// maxCrashRetryInterval while the peer does not answer, and crashSendTime is how long that goes on.
	crashRetryInterval    = 500 * time.Millisecond
	maxCrashRetryInterval = 4 * time.Second
	crashSendTime         = 30 * time.Second
	// maxQueuedCrashes limits the crashes that are queued for sending to peers.
	maxQueuedCrashes = 256
	// peerTimeout bounds a call to a peer.
	peerTimeout = 400 * time.Millisecond
	// syncInterval is the time between two queries of a node that reads the store for what another
	// reader knows of crashes, firstSyncInterval until the first one has succeeded. A node that is not a
	// reader gives up after maxFirstSyncs, since it learns the same from the one that it follows.
	syncInterval      = 10 * time.Second
	firstSyncInterval = time.Second
	maxFirstSyncs     = 4
	// readerCheckInterval is the time between two looks whether this node has become a reader.
	readerCheckInterval = 100 * time.Millisecond
)

// errBackedOff marks a reader that is sent nothing, since it has not answered lately.
var errBackedOff = errors.New("the peer has not answered lately")

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Readers tells which nodes read the platform's store for the others.
type Readers interface {
	// CurrentReaders returns the other nodes that do; with an error, those that were known last.
	CurrentReaders(ctx context.Context) ([]storecaller.Member, error)
	// IsReader reports whether this node does.
	IsReader() bool
}

// Store holds the poison requests.
type Store interface {
	NewestPoison(ctx context.Context) ([]storecaller.Poison, error)
	PutPoison(ctx context.Context, p storecaller.Poison) error
	DeletePoison(ctx context.Context, request identifier.Fingerprint) error
	// Era returns the newest known era of the store, which changes when it is restored from a copy.
	Era() identifier.Era
}

// Config holds what a reporter works with.
type Config struct {
	// Self is the address at which this node serves its peers, empty if it does not.
	Self    string
	Peers   Peers
	Readers Readers
	Store   Store
	Sharer  *sharer.Sharer
	// SaveInterval is the time between two writes of one poison request to the store, defaultSaveInterval if it is zero.
	SaveInterval time.Duration
	// Submit passes events to the reducer.
	Submit func(messenger.Event)
}

// Reporter exchanges what nodes find out about requests that crash targets.
type Reporter struct {
	cfg Config
	// reports is the queue of reports to send to peers, poison that of crashes that have confirmed poison requests.
	reports chan sharer.CrashReport
	poison  chan crashrecorder.Crash
	// backoffs holds, by address, the readers that have not answered. Only SendCrashReports uses it.
	backoffs map[string]backoff
}

// backoff says until when a reader that has not answered is sent nothing, and for how long that is.
type backoff struct {
	until    time.Time
	interval time.Duration
}

// NewReporter returns a reporter that reports nothing yet.
func NewReporter(cfg Config) *Reporter {
	if cfg.SaveInterval == 0 {
		cfg.SaveInterval = defaultSaveInterval
	}
	return &Reporter{
		cfg:     cfg,
		reports: make(chan sharer.CrashReport, maxQueuedCrashes), poison: make(chan crashrecorder.Crash, maxQueuedPoison),
		backoffs: map[string]backoff{},
	}
}

// ReportCrashes queues what this node has found. SendCrashReports sends it to the peers that read
// the store, from which all other nodes receive it. A node without a peer address reports nothing.
func (r *Reporter) ReportCrashes(report sharer.CrashReport) {
	if r.cfg.Self == "" {
		return
	}
	report.Crashes = slices.Clone(report.Crashes)
	for i := range report.Crashes {
		report.Crashes[i].Reporter = r.cfg.Self
	}
	r.cfg.Sharer.RecordCrashes(report)
	select {
	case r.reports <- report:
	default:
		eventlogger.Info(eventlogger.CallFailed, "doing", "queueing a crash report for peers", "crashes", len(report.Crashes), "cleared", len(report.Cleared))
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
func (r *Reporter) SendCrashReports(ctx context.Context) {
	var pending []*pendingReport
	for ctx.Err() == nil {
		pending = r.gatherReports(ctx, pending)
		pending = r.sendPending(ctx, pending)
	}
}

// gatherReports waits for a report, or until it is time to send the pending ones again, and returns
// all of them.
func (r *Reporter) gatherReports(ctx context.Context, pending []*pendingReport) []*pendingReport {
	add := func(report sharer.CrashReport) {
		pending = append(pending, &pendingReport{CrashReport: report, until: bootclock.Now().Add(crashSendTime)})
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
	case report := <-r.reports:
		add(report)
		sleeper.Sleep(ctx, crashBatchDelay)
	}
	for {
		select {
		case report := <-r.reports:
			add(report)
		default:
			return pending[max(0, len(pending)-maxQueuedCrashes):]
		}
	}
}

// sendPending sends each reader what it has not confirmed, and returns what is still pending.
func (r *Reporter) sendPending(ctx context.Context, pending []*pendingReport) []*pendingReport {
	readers, err := r.cfg.Readers.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to send crash reports to", "pending", len(pending))
	}
	failed := make([]error, len(readers))
	var wg sync.WaitGroup
	asked := bootclock.Now()
	for i, m := range readers {
		if asked.Before(r.backoffs[m.Address].until) {
			failed[i] = errBackedOff
			continue
		}
		if report := unconfirmed(pending, m.Address); !report.IsEmpty() {
			wg.Go(func() { failed[i] = r.sendReport(ctx, m.Address, report) })
		}
	}
	wg.Wait()
	for i, m := range readers {
		if errors.Is(failed[i], errBackedOff) {
			continue
		}
		r.noteAnswer(m.Address, failed[i] == nil)
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

// noteAnswer notes whether a reader has answered, and backs off from one that has not.
func (r *Reporter) noteAnswer(address string, hasAnswered bool) {
	if hasAnswered {
		delete(r.backoffs, address)
		return
	}
	interval := min(maxCrashRetryInterval, max(crashRetryInterval, 2*r.backoffs[address].interval))
	r.backoffs[address] = backoff{until: bootclock.Now().Add(interval), interval: interval}
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

func (r *Reporter) sendReport(ctx context.Context, address string, report sharer.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out struct{}
	if len(report.Crashes) > 0 {
		if err := r.cfg.Peers.Call(ctx, address, sharer.CrashReportMethod, report.Crashes, &out); err != nil {
			return err
		}
	}
	if len(report.Cleared) == 0 {
		return nil
	}
	err := r.cfg.Peers.Call(ctx, address, sharer.ClearMethod, report.Cleared, &out)
	if errors.Is(err, peercaller.ErrNoMethod) {
		// A node of an earlier version clears requests for itself only.
		return nil
	}
	return err
}

// ServeReportCrashes records crashes that a peer has reported.
func (r *Reporter) ServeReportCrashes(_ context.Context, params json.RawMessage) (any, error) {
	var crashes []crashrecorder.Crash
	if err := json.Unmarshal(params, &crashes); err != nil {
		return nil, errors.Wrap(err, "decoding crashes")
	}
	r.Learn(sharer.CrashReport{Crashes: crashes})
	return struct{}{}, nil
}

// ServeClear records requests that a peer has reported as answered.
func (r *Reporter) ServeClear(_ context.Context, params json.RawMessage) (any, error) {
	var cleared []identifier.Fingerprint
	if err := json.Unmarshal(params, &cleared); err != nil {
		return nil, errors.Wrap(err, "decoding cleared requests")
	}
	r.Learn(sharer.CrashReport{Cleared: cleared})
	return struct{}{}, nil
}

// Learn applies what a peer has told, and keeps it for other peers.
func (r *Reporter) Learn(report sharer.CrashReport) {
	if report.IsEmpty() {
		return
	}
	r.cfg.Sharer.RecordCrashes(report)
	r.cfg.Submit(dispatcher.CrashesReported{Crashes: report.Crashes, Cleared: report.Cleared})
}

// awaitReader waits until this node reads the store for its peers, and returns false if ctx ends first.
func (r *Reporter) awaitReader(ctx context.Context) bool {
	for !r.cfg.Readers.IsReader() {
		if !sleeper.Sleep(ctx, readerCheckInterval) {
			return false
		}
	}
	return true
}

// SyncCrashes asks other readers what they know of crashes until ctx ends: all of them after the start,
// and then one after the other while this node reads the store itself. A report that reached only one
// of them reaches all.
func (r *Reporter) SyncCrashes(ctx context.Context) {
	known := map[string]sharer.Query{}
	for n := 0; !r.syncAll(ctx, known) && (n < maxFirstSyncs || r.cfg.Readers.IsReader()); n++ {
		sleeper.Sleep(ctx, firstSyncInterval)
	}
	for n := 0; ctx.Err() == nil; n++ {
		sleeper.Sleep(ctx, syncInterval)
		if r.cfg.Readers.IsReader() {
			r.syncOne(ctx, n, known)
		}
	}
}

// syncAll asks all readers, and reports whether they have answered or ctx has ended.
func (r *Reporter) syncAll(ctx context.Context, known map[string]sharer.Query) bool {
	readers, err := r.cfg.Readers.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to ask for crashes")
		return ctx.Err() != nil
	}
	hasAnswered := len(readers) == 0
	for _, m := range readers {
		hasAnswered = r.askCrashes(ctx, m, known) || hasAnswered
	}
	return hasAnswered || ctx.Err() != nil
}

// syncOne asks the n-th reader.
func (r *Reporter) syncOne(ctx context.Context, n int, known map[string]sharer.Query) {
	readers, err := r.cfg.Readers.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to ask for crashes")
	}
	if len(readers) > 0 {
		r.askCrashes(ctx, readers[n%len(readers)], known)
	}
}

// askCrashes asks a reader for the crashes that it has recorded since the last answer, and reports
// whether it has answered.
func (r *Reporter) askCrashes(ctx context.Context, m storecaller.Member, known map[string]sharer.Query) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var report sharer.CrashReport
	err := r.cfg.Peers.Call(ctx, m.Address, sharer.CrashesMethod, known[m.Address], &report)
	if errors.Is(err, peercaller.ErrNoMethod) {
		// A node of an earlier version tells of crashes only with its updates.
		return true
	}
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for crashes", "peer", m.Node, "address", m.Address)
		return false
	}
	known[m.Address] = sharer.Query{Sharer: report.Sharer, Revision: report.Revision}
	r.Learn(report)
	return true
}
