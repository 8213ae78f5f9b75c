package follower

import (
	"context"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/platform/storecaller"
)

// setTenures records which partitions this node holds, and until when no other node can hold them. A tenure goes on
// after its lease has ended if the group has not changed since.
func (f *Follower) setTenures(m storecaller.Membership, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Now()
	isUnchanged := m.Fence() == f.fence
	f.fence = m.Fence()
	tenures := make(map[int]limiter.Tenure, len(m.Partitions))
	for _, p := range m.Partitions {
		t, ok := f.tenures[p]
		if !ok || (t.IsExpired(now) && !isUnchanged) {
			t.Since = now
		}
		t.Until = until
		tenures[p] = t
	}
	f.tenures = tenures
}

// Tenure returns the time for which this node holds a partition, and false if it does not.
func (f *Follower) Tenure(partition int) (limiter.Tenure, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.tenures[partition]
	return t, ok
}

// Holder returns the node that held a partition at the last lookup, and false if none is known.
func (f *Follower) Holder(partition int) (storecaller.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.holders[partition]
	return m, ok
}

// LookUpHolders asks the store which nodes hold the partitions.
func (f *Follower) LookUpHolders(ctx context.Context) error {
	f.lookupMu.Lock()
	defer f.lookupMu.Unlock()
	_, err := f.lookupReaders(ctx)
	return err
}
