package joiner

import (
	"context"
	"slices"
	"time"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// One node for each nodesPerReader reads the store for its peers, and at least minReaders do: each follower gets all news of
	// the targets over the link of the reader that it follows.
	minReaders     = 4
	nodesPerReader = 24
	// maxSmallFleet is the number of nodes up to which each of them reads all targets at its start. The store could not send
	// them to many more nodes at once in callTimeout.
	maxSmallFleet = 16
	// readersMaxAge is how long the readers found by a lookup count as the current ones.
	readersMaxAge = 10 * time.Second
)

// Readers are the nodes that read the store.
type Readers struct {
	// Partitions is how many partitions belong to them.
	Partitions int
	// All are those other than this node, and First those of them that read the store whatever the size of the fleet is.
	All, First []storecaller.Member
}

func (r *Readers) add(partition int, m, self storecaller.Member) {
	r.Partitions++
	if m.Address == "" || m == self {
		return
	}
	if !slices.Contains(r.All, m) {
		r.All = append(r.All, m)
	}
	if partition < minReaders {
		r.First = append(r.First, m)
	}
}

// FindReaders asks the store which nodes read it.
func (j *Joiner) FindReaders(ctx context.Context) (Readers, error) {
	j.lookupMu.Lock()
	defer j.lookupMu.Unlock()
	return j.findReaders(ctx)
}

// findReaders asks the store for the other nodes that read it. j.lookupMu must be held.
func (j *Joiner) findReaders(ctx context.Context) (Readers, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	owners, err := j.store.Owners(ctx)
	if err != nil {
		return Readers{}, err
	}
	count := j.ReaderCount()
	var found Readers
	for partition, m := range owners {
		if partition < count {
			found.add(partition, m, j.cfg.Self)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers, j.readersAt, j.holders = found.All, bootclock.Now(), owners
	return found, nil
}

// CurrentReaders returns the other nodes that read the store, from a recent lookup or a new one. With an
// error, it returns those that were known last.
func (j *Joiner) CurrentReaders(ctx context.Context) ([]storecaller.Member, error) {
	j.lookupMu.Lock()
	defer j.lookupMu.Unlock()
	known, isRecent := j.knownReaders()
	if isRecent {
		return known, nil
	}
	current, err := j.findReaders(ctx)
	if err != nil {
		return known, err
	}
	return current.All, nil
}

// knownReaders returns the readers that the last lookup has found, and whether that is recent.
func (j *Joiner) knownReaders() ([]storecaller.Member, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers, bootclock.Now().Sub(j.readersAt) < readersMaxAge
}

// IsReader reports whether this node reads the store for its peers.
func (j *Joiner) IsReader() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.isReader
}

func (j *Joiner) setReader(isReader bool, tell func(isReader bool)) {
	j.mu.Lock()
	j.isReader = isReader
	j.mu.Unlock()
	tell(isReader)
}

// IsInLargeFleet reports whether there are so many nodes that they leave the targets to those that read the store. It waits
// until this node has tried to join the group.
func (j *Joiner) IsInLargeFleet(ctx context.Context) bool {
	select {
	case <-j.joined:
	case <-ctx.Done():
	}
	return j.KnowsLargeFleet()
}

// KnowsLargeFleet is IsInLargeFleet by what is known now: false until this node has joined the group.
func (j *Joiner) KnowsLargeFleet() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fleetSize > maxSmallFleet
}

func (j *Joiner) setFleetSize(size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fleetSize = size
}

// ReaderCount returns the number of partitions whose owners read the store for their peers. It grows with the fleet.
func (j *Joiner) ReaderCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return min(j.cfg.StorePartitions, max(minReaders, j.fleetSize/nodesPerReader))
}
