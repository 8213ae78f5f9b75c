package joiner

import (
	"context"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/platform/storecaller"
)

// setTenures records which partitions this node holds, and until when no other node can hold them. A tenure goes on
// after its lease has ended if the group has not changed since.
func (j *Joiner) setTenures(m storecaller.Membership, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := bootclock.Now()
	isUnchanged := m.Fence() == j.fence
	j.fence = m.Fence()
	tenures := make(map[int]limiter.Tenure, len(m.Partitions))
	for _, p := range m.Partitions {
		t, ok := j.tenures[p]
		if !ok || (t.IsExpired(now) && !isUnchanged) {
			t.Since = now
		}
		t.Until = until
		tenures[p] = t
	}
	j.tenures = tenures
}

// Tenure returns the time for which this node holds a partition, and false if it does not.
func (j *Joiner) Tenure(partition int) (limiter.Tenure, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, ok := j.tenures[partition]
	return t, ok
}

// HoldsLease reports whether this node holds the lease.
func (j *Joiner) HoldsLease() bool {
	t, ok := j.Tenure(leasePartition)
	return ok && !t.IsExpired(bootclock.Now())
}

// Holder returns the node that held a partition at the last lookup, and false if none is known.
func (j *Joiner) Holder(partition int) (storecaller.Member, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m, ok := j.holders[partition]
	return m, ok
}

// LookUpHolders asks the store which nodes hold the partitions.
func (j *Joiner) LookUpHolders(ctx context.Context) error {
	j.lookupMu.Lock()
	defer j.lookupMu.Unlock()
	_, err := j.findReaders(ctx)
	return err
}
