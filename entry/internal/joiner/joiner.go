// Package joiner keeps this node a member of the group whose members share the lease, the reading of the store and the retry slack,
// and finds out which nodes have which part of these.
package joiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/limiter"
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
	// callTimeout bounds a call.
	callTimeout = 700 * time.Millisecond
	// leasePartition is the partition whose owner holds the lease.
	leasePartition = 0
	// topics is the number of topics whose partitions the group distributes. It is large enough for each of
	// many nodes to own some, as each partition brings an equal share of the retry slack.
	topics = 16
)

// Group is the part of the platform's store that distributes partitions among the members of a group.
type Group interface {
	Join(ctx context.Context, m storecaller.Member, last identifier.FencingToken, term time.Duration, topics int) (storecaller.Membership, error)
	Leave(ctx context.Context, m storecaller.Member) error
	Owners(ctx context.Context) (map[int]storecaller.Member, error)
}

// Config holds the settings of a joiner.
type Config struct {
	// Self identifies this node in the group.
	Self storecaller.Member
	// StorePartitions is the number of partitions of a topic of the store.
	StorePartitions int
	// RetrySlack is how many retries all nodes together may make in addition to the retry ratio.
	RetrySlack int
}

// Joiner keeps a node's membership in the group.
type Joiner struct {
	store  Group
	cfg    Config
	submit func(messenger.Event)
	// joined is closed after the first attempt to join the group.
	joined chan struct{}

	// lookupMu is held during a lookup of the readers, so that those who wait for it use its result.
	lookupMu sync.Mutex

	mu sync.Mutex
	// found are the nodes that read the store, as of the last lookup at foundAt.
	found   Readers
	foundAt time.Time
	// holders are the nodes that hold partitions, as of the same lookup, and tenures are those of this node.
	holders map[int]storecaller.Member
	tenures map[int]limiter.Tenure
	// fence is the fencing token of the group when this node last joined it.
	fence identifier.FencingToken
	// fleetSize is about how many nodes there are, by this node's part of the partitions, or 0 if it is not known.
	fleetSize int
	// isReader says whether this node reads the store for its peers, and isLead whether it does not follow another reader.
	isReader, isLead bool
}

// NewJoiner returns a joiner that submits events.
func NewJoiner(store Group, cfg Config, submit func(messenger.Event)) *Joiner {
	return &Joiner{store: store, cfg: cfg, submit: submit, joined: make(chan struct{})}
}

// KeepLease keeps this node a member of the group until ctx ends, then leaves it. The group distributes
// the lease, the duty to read the store for peers, which tellReader is told of, and the retry slack among its members.
func (j *Joiner) KeepLease(ctx context.Context, tellReader func(isReader bool)) {
	var last identifier.FencingToken
	var until time.Time
	var settled settling
	noteJoined := sync.OnceFunc(func() { close(j.joined) })
	for ctx.Err() == nil {
		sent := bootclock.Now()
		m, err := j.join(ctx, last)
		interval := leaseInterval
		switch {
		case err == nil:
			if until.IsZero() {
				interval = firstLeaseInterval
			}
			last = m.Generation
			until = sent.Add(leaseTerm - leaseMargin)
			j.applyMembership(settled.apply(bootclock.Now(), m), until, tellReader)
		case !bootclock.Now().Before(until):
			j.submit(placer.LeaseChanged{})
			j.submit(dispatcher.RetryQuotaChanged{})
		default:
			interval = leaseRetryInterval
		}
		noteJoined()
		sleeper.Sleep(ctx, interval)
	}
	j.submit(placer.LeaseChanged{})
	j.setTenures(storecaller.Membership{}, time.Time{})
	j.setReader(false, tellReader)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := j.store.Leave(leaving, j.cfg.Self); err != nil {
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
func (j *Joiner) applyMembership(m storecaller.Membership, until time.Time, tellReader func(isReader bool)) {
	j.setFleetSize(topics * j.cfg.StorePartitions / max(1, m.PartitionCount))
	readers := j.ReaderCount()
	j.setLead(slices.Contains(m.Partitions, leasePartition))
	j.setReader(slices.ContainsFunc(m.Partitions, func(p int) bool { return p < readers }), tellReader)
	j.setTenures(m, until)
	j.submit(placer.LeaseChanged{IsHeld: slices.Contains(m.Partitions, leasePartition), Fence: m.Fence(), Until: until})
	share := float64(m.PartitionCount) / float64(topics*j.cfg.StorePartitions)
	j.submit(dispatcher.RetryQuotaChanged{
		Retries: int(share * float64(j.cfg.RetrySlack)), Partitions: m.PartitionCount, Generation: m.Generation,
	})
}

func (j *Joiner) join(ctx context.Context, last identifier.FencingToken) (storecaller.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return j.store.Join(ctx, j.cfg.Self, last, leaseTerm, topics)
}
