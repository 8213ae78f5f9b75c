// Package rejectionreporter tells the other nodes of targets that reject requests, by way of the nodes that read the store, and learns it
// from them.
package rejectionreporter

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/platform/storecaller"
)

// RejectMethod is the name of the peer call that tells of targets that reject requests.
const RejectMethod = "reject"

const (
	// batchDelay is how long to wait for further rejections before they are sent.
	batchDelay = 25 * time.Millisecond
	// peerTimeout bounds a call to a peer: what it tells is of no use much later.
	peerTimeout = 250 * time.Millisecond
	// failureBackoff is how long a reader that does not answer, or does not know the call, is told nothing.
	failureBackoff = 2 * time.Second
	// readersMaxAge is how long the readers that a lookup has found are told: lookups are calls to the store. After a failure that is
	// failedReadersMaxAge, as the readers may have changed.
	readersMaxAge       = time.Minute
	failedReadersMaxAge = 10 * time.Second
	// maxQueued limits the rejections that wait to be sent. A node has one for a target and half a second at most.
	maxQueued = 256
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Readers tells which nodes read the store for the others.
type Readers interface {
	// CurrentReaders returns the other nodes that do; with an error, those that were known last.
	CurrentReaders(ctx context.Context) ([]storecaller.Member, error)
}

// Recorder keeps rejections for the nodes that follow this one.
type Recorder interface {
	RecordRejections(told []avoider.Rejection)
}

// Config holds what a reporter works with.
type Config struct {
	Peers    Peers
	Readers  Readers
	Recorder Recorder
	// Submit passes events to the reducer.
	Submit func(messenger.Event)
	// IsOn says that nodes tell each other of rejections. If it is not set, the reporter tells and learns nothing.
	IsOn bool
}

// Reporter exchanges which targets reject requests.
type Reporter struct {
	cfg   Config
	queue chan rejection
	// notBefore holds, by address, until when a reader that has failed is told nothing; readers are those that were found last, at
	// foundAt, and hasFailed says that one has failed since. Only Run uses them.
	notBefore map[string]time.Time
	readers   []storecaller.Member
	foundAt   time.Time
	hasFailed bool
}

// rejection is one to be told, and the time of what its age is 0 at.
type rejection struct {
	avoider.Rejection
	at time.Time
}

// NewReporter returns a reporter.
func NewReporter(cfg Config) *Reporter {
	return &Reporter{cfg: cfg, queue: make(chan rejection, maxQueued), notBefore: map[string]time.Time{}}
}

// Report queues rejections that this node has met now for the readers, and keeps them for the nodes that follow this one. What
// does not fit into the queue is left out: it will be rejected again.
func (r *Reporter) Report(told []avoider.Rejection) {
	if !r.cfg.IsOn {
		return
	}
	r.cfg.Recorder.RecordRejections(told)
	now := bootclock.Now()
	for _, t := range told {
		select {
		case r.queue <- rejection{Rejection: t, at: now.Add(-time.Duration(t.AgeMS) * time.Millisecond)}:
		default:
		}
	}
}

// Run tells the readers of queued rejections until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for r.cfg.IsOn && ctx.Err() == nil {
		if batch := r.gather(ctx); len(batch) > 0 {
			r.send(ctx, batch)
		}
	}
}

// gather waits for a rejection and those that follow it within batchDelay.
func (r *Reporter) gather(ctx context.Context) []rejection {
	var batch []rejection
	select {
	case <-ctx.Done():
		return nil
	case first := <-r.queue:
		batch = append(batch, first)
	}
	sleeper.Sleep(ctx, batchDelay)
	for {
		select {
		case next := <-r.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

// send tells all readers. One that has failed lately is left out; its followers learn of later rejections, or meet them themselves.
func (r *Reporter) send(ctx context.Context, batch []rejection) {
	r.findReaders(ctx)
	now := bootclock.Now()
	told := make([]avoider.Rejection, len(batch))
	for i, b := range batch {
		told[i] = b.Rejection
		told[i].AgeMS = now.Sub(b.at).Milliseconds()
	}
	failed := make([]bool, len(r.readers))
	var calls sync.WaitGroup
	for i, m := range r.readers {
		if now.Before(r.notBefore[m.Address]) {
			continue
		}
		calls.Go(func() { failed[i] = !r.tell(ctx, m, told) })
	}
	calls.Wait()
	maps.DeleteFunc(r.notBefore, func(_ string, until time.Time) bool { return !now.Before(until) })
	for i, m := range r.readers {
		if failed[i] {
			r.notBefore[m.Address], r.hasFailed = now.Add(failureBackoff), true
		}
	}
}

// findReaders looks the readers up if those that are known are too old.
func (r *Reporter) findReaders(ctx context.Context) {
	maxAge := readersMaxAge
	if r.hasFailed {
		maxAge = failedReadersMaxAge
	}
	now := bootclock.Now()
	if !r.foundAt.IsZero() && now.Sub(r.foundAt) < maxAge {
		return
	}
	readers, err := r.cfg.Readers.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to tell of rejections")
	}
	r.readers, r.foundAt, r.hasFailed = readers, now, err != nil
}

// tell tells a reader, and reports whether it has confirmed that. One of an earlier version does not know the call.
func (r *Reporter) tell(ctx context.Context, m storecaller.Member, told []avoider.Rejection) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out struct{}
	err := r.cfg.Peers.Call(ctx, m.Address, RejectMethod, told, &out)
	if err != nil && !errors.Is(err, peercaller.ErrNoMethod) {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "telling a peer of rejections", "peer", m.Node, "address", m.Address)
	}
	return err == nil
}

// Serve applies the rejections of which a peer tells, and keeps them for the nodes that follow this one.
func (r *Reporter) Serve(_ context.Context, params json.RawMessage) (any, error) {
	var told []avoider.Rejection
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, errors.Wrap(err, "decoding rejections")
	}
	if r.cfg.IsOn {
		r.cfg.Recorder.RecordRejections(told)
	}
	r.Learn(told)
	return struct{}{}, nil
}

// Learn applies the rejections of which a reader has told the nodes that follow it.
func (r *Reporter) Learn(told []avoider.Rejection) {
	if r.cfg.IsOn && len(told) > 0 {
		r.cfg.Submit(avoider.RejectionsLearned{Rejections: told})
	}
}
