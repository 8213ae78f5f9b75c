package crashreporter

import (
	"context"
	"maps"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// maxQueuedPoison limits the poison requests that wait to be stored.
	maxQueuedPoison = 64
	// maxPoisonDeletions limits the outdated records that a node deletes when it starts.
	maxPoisonDeletions = 16
	// storeTimeout bounds a call to the store. The delay after a failed one doubles with each failure.
	storeTimeout    = 700 * time.Millisecond
	minStoreBackoff = 150 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// eraCheckInterval is the time between two looks whether the store was restored from a copy.
	eraCheckInterval = 500 * time.Millisecond
	// defaultSaveInterval is well under the time for which a confirmed request is refused.
	defaultSaveInterval = 10 * time.Minute
)

// SavePoison queues a crash that has confirmed its request as poison. KeepPoison stores it, so that it is
// known even if all nodes restart.
func (r *Reporter) SavePoison(c crashrecorder.Crash) {
	select {
	case r.poison <- c:
	default:
		eventlogger.Info(eventlogger.CallFailed, "doing", "queueing a poison request to be stored", "fingerprint", c.Request)
	}
}

// LoadPoison reads the stored poison requests, once this node reads the store for its peers, which learn of
// them from it. A node without a peer address reads them at once.
func (r *Reporter) LoadPoison(ctx context.Context) {
	if r.cfg.Self == "" || r.awaitReader(ctx) {
		r.persist(ctx, "reading the stored poison requests", r.loadPoison)
	}
}

// savedPoison is a poison request that this node has stored, and when it is stored again if it crashes a target.
type savedPoison struct {
	storecaller.Poison
	nextSaveAt time.Time
}

// KeepPoison stores the queued poison requests until ctx ends, each once in SaveInterval, and all of them again when the store
// was restored from a copy.
func (r *Reporter) KeepPoison(ctx context.Context) {
	saved := map[identifier.Fingerprint]savedPoison{}
	era := r.cfg.Store.Era()
	check := time.NewTicker(eraCheckInterval)
	defer check.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case c := <-r.poison:
			now := bootclock.Now()
			maps.DeleteFunc(saved, func(_ identifier.Fingerprint, s savedPoison) bool { return !now.Before(s.nextSaveAt) })
			if _, ok := saved[c.Request]; ok {
				continue
			}
			p := storecaller.Poison{Request: c.Request, Target: c.Target, Incarnation: c.Incarnation, ConfirmedAt: time.Now()}
			saved[c.Request] = savedPoison{Poison: p, nextSaveAt: now.Add(r.cfg.SaveInterval)}
			r.savePoison(ctx, p)
		case <-check.C:
			if current := r.cfg.Store.Era(); current != era {
				era = current
				for _, s := range saved {
					r.savePoison(ctx, s.Poison)
				}
			}
		}
	}
}

func (r *Reporter) savePoison(ctx context.Context, p storecaller.Poison) {
	r.persist(ctx, "storing a poison request", func(ctx context.Context) error { return r.cfg.Store.PutPoison(ctx, p) })
}

// persist makes a call to the store until it succeeds or ctx ends.
func (r *Reporter) persist(ctx context.Context, doing string, call func(context.Context) error) {
	for backoff := minStoreBackoff; ctx.Err() == nil; backoff = min(maxStoreBackoff, 2*backoff) {
		called, cancel := context.WithTimeout(ctx, storeTimeout)
		err := call(called)
		cancel()
		if err == nil {
			return
		}
		eventlogger.Error(err, eventlogger.CallFailed, "doing", doing)
		sleeper.Sleep(ctx, backoff)
	}
}

// loadPoison applies the stored poison requests, and deletes outdated ones.
func (r *Reporter) loadPoison(ctx context.Context) error {
	stored, err := r.cfg.Store.NewestPoison(ctx)
	if err != nil {
		return err
	}
	var crashes []crashrecorder.Crash
	deletions := 0
	for _, p := range stored {
		c := crashrecorder.ConfirmingCrash(p.Request, p.Target, p.Incarnation, time.Since(p.ConfirmedAt))
		if !c.IsOutdated() {
			crashes = append(crashes, c)
			continue
		}
		if deletions++; deletions > maxPoisonDeletions {
			continue
		}
		if err := r.cfg.Store.DeletePoison(ctx, p.Request); err != nil {
			eventlogger.Error(err, eventlogger.CallFailed, "doing", "deleting an outdated poison request", "fingerprint", p.Request)
		}
	}
	if len(crashes) > 0 {
		r.Learn(sharer.CrashReport{Crashes: crashes})
	}
	return nil
}
