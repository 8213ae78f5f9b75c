package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	leaseTerm     = 2500 * time.Millisecond
	leaseInterval = time.Second
	// firstLeaseInterval is the time from the first join to the renewal: many nodes may join at the same moment, which deals the
	// partitions anew.
	firstLeaseInterval = 400 * time.Millisecond
	// leaseRetryInterval is the time from a failed renewal to the next one while the lease still runs.
	leaseRetryInterval = 300 * time.Millisecond
	// leaseMargin is subtracted from the lease term, so that this node stops using a lease before another node can obtain it.
	leaseMargin = 400 * time.Millisecond
	// leasePartition is the partition whose owner holds the lease.
	leasePartition = 0
	// topics is the number of topics whose partitions the group distributes. It is large enough for each of
	// many nodes to own some, as each partition brings an equal share of the retry slack.
	topics = 16
	// minReaders is how many nodes read the store for their peers, and nodesPerReader how many there are for each further one:
	// each follower gets all news of the targets over the link of the reader that it follows.
	minReaders     = 4
	nodesPerReader = 24
)

// KeepLease keeps this node a member of the group until ctx ends, then leaves it. The group distributes
// the lease, the duty to read the store for peers, and the retry slack among its members.
func (f *Follower) KeepLease(ctx context.Context) {
	var last identifier.FencingToken
	var until time.Time
	var settled settling
	noteJoined := sync.OnceFunc(func() { close(f.joined) })
	for ctx.Err() == nil {
		sent := bootclock.Now()
		m, err := f.join(ctx, last)
		interval := leaseInterval
		switch {
		case err == nil:
			if until.IsZero() {
				interval = firstLeaseInterval
			}
			last = m.Generation
			until = sent.Add(leaseTerm - leaseMargin)
			f.applyMembership(settled.apply(bootclock.Now(), m), until)
		case !bootclock.Now().Before(until):
			f.submit(placer.LeaseChanged{})
			f.submit(dispatcher.RetryQuotaChanged{})
		default:
			interval = leaseRetryInterval
		}
		noteJoined()
		sleeper.Sleep(ctx, interval)
	}
	f.submit(placer.LeaseChanged{})
	f.setTenures(storecaller.Membership{}, time.Time{})
	f.setReader(false)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := f.store.Leave(leaving, f.cfg.Self); err != nil {
		eventlogger.Error(err, eventlogger.LeaseLost, "doing", "leaving the group")
	}
}

// settling keeps a node from using partitions that it gets when the store was restored from a copy, as another node may hold them
// by what the store had granted before.
type settling struct {
	era identifier.Era
	// held are the partitions that the node held when it last joined in an earlier era, and until is when no other node holds any.
	held  []int
	until time.Time
	// last are the partitions of the last join.
	last []int
}

// apply returns a membership without the partitions that another node may hold.
func (s *settling) apply(now time.Time, m storecaller.Membership) storecaller.Membership {
	if s.era != 0 && m.Era != s.era {
		s.held, s.until = s.last, now.Add(leaseTerm)
	}
	s.era = m.Era
	if now.Before(s.until) {
		m.Partitions = slices.DeleteFunc(m.Partitions, func(p int) bool { return !slices.Contains(s.held, p) })
	}
	s.last = m.Partitions
	return m
}

// applyMembership derives this node's duties from the partitions that it owns: whether it reads the store for
// its peers, whether it holds the lease until the given time, for which targets it grants what their limits allow, and
// its share of the retry slack.
func (f *Follower) applyMembership(m storecaller.Membership, until time.Time) {
	f.setFleetSize(topics * f.cfg.StorePartitions / max(1, m.PartitionCount))
	readers := f.readerCount()
	f.setReader(slices.ContainsFunc(m.Partitions, func(p int) bool { return p < readers }))
	f.setTenures(m, until)
	f.submit(placer.LeaseChanged{IsHeld: slices.Contains(m.Partitions, leasePartition), Fence: m.Fence(), Until: until})
	share := float64(m.PartitionCount) / float64(topics*f.cfg.StorePartitions)
	f.submit(dispatcher.RetryQuotaChanged{
		Retries: int(share * float64(f.cfg.RetrySlack)), Partitions: m.PartitionCount, Generation: m.Generation,
	})
}

func (f *Follower) setFleetSize(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleetSize = size
}

// readerCount returns the number of partitions whose owners read the store for their peers. It grows with the fleet.
func (f *Follower) readerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(minReaders, f.fleetSize/nodesPerReader)
}

func (f *Follower) setReader(isReader bool) {
	f.sharer.SetReading(isReader)
	f.gate.setReader(isReader)
}

func (f *Follower) join(ctx context.Context, last identifier.FencingToken) (storecaller.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.store.Join(ctx, f.cfg.Self, last, leaseTerm, topics)
}
