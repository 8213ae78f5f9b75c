package follower

import (
	"context"
	"slices"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	leaseTerm     = 2500 * time.Millisecond
	leaseInterval = 700 * time.Millisecond
	// leaseMargin ends a lease before others may take it.
	leaseMargin = 400 * time.Millisecond
	// leasePart is the part whose holder holds the lease.
	leasePart = 0
	// topics is how many topics' parts the group deals out: enough for each of many nodes to hold
	// some, as each part brings an equal part of the retry slack.
	topics = 16
	// readerParts is how many parts make their holders read the store for their peers.
	readerParts = 4
)

// KeepLease takes part in the group whose members share out the lease, the reading of the
// store and the retry slack until ctx ends, then leaves it.
func (f *Follower) KeepLease(ctx context.Context) {
	var last identifier.FencingNumber
	var until time.Time
	for ctx.Err() == nil {
		sent := bootclock.Now()
		m, err := f.join(ctx, last)
		switch {
		case err == nil:
			last = m.Generation
			until = sent.Add(leaseTerm - leaseMargin)
			f.hold(m, until)
		case !bootclock.Now().Before(until):
			f.submit(placer.LeaseChanged{})
			f.submit(dispatcher.BudgetShared{})
		}
		pause(ctx, leaseInterval)
	}
	f.submit(placer.LeaseChanged{})
	f.setReader(false)
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTime)
	defer cancel()
	if err := f.store.Leave(leaving, f.cfg.Self); err != nil {
		eventlogger.Error(err, eventlogger.LostLease, "doing", "leaving the group")
	}
}

// hold takes in what the node holds until an instant.
func (f *Follower) hold(m storecaller.Membership, until time.Time) {
	f.setReader(slices.ContainsFunc(m.Parts, isReaderPart))
	f.submit(placer.LeaseChanged{IsHeld: slices.Contains(m.Parts, leasePart), Fence: m.Generation, Until: until})
	share := float64(m.Held) / float64(topics*f.cfg.StoreParts)
	f.submit(dispatcher.BudgetShared{Repeats: int(share * float64(f.cfg.RetrySlack))})
}

func isReaderPart(part int) bool { return part < readerParts }

func (f *Follower) setReader(isReader bool) {
	f.sharer.SetReading(isReader)
	f.duty.setReader(isReader)
}

func (f *Follower) join(ctx context.Context, last identifier.FencingNumber) (storecaller.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return f.store.Join(ctx, f.cfg.Self, last, leaseTerm, topics)
}
