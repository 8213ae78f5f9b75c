package publisher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fuchsiabridge.example/common/bootclock"
)

const (
	// maxTransfers is the number of peers that are sent large differences at once. They share the node's link with all else that it sends.
	maxTransfers = 3
	// transferPause is how long a peer may take until it asks for the next piece.
	transferPause = 400 * time.Millisecond
	// admissionWait is how long a peer waits for one of the places.
	admissionWait = 250 * time.Millisecond
	// maxHolders limits the peers that are remembered as having a configuration.
	maxHolders = 64
)

// transfers tracks which peers are being sent the newest configuration, and which have it.
type transfers struct {
	mu sync.Mutex
	// expireAt is when the place of a peer is given to another one, by address.
	expireAt map[string]time.Time
	holders  []string
	// changed is closed and replaced when a place becomes free.
	changed chan struct{}
}

func newTransfers() transfers {
	return transfers{expireAt: map[string]time.Time{}, changed: make(chan struct{})}
}

// reset forgets which peers have the newest configuration, as there is a newer one.
func (t *transfers) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders = nil
}

// admit waits for one of the places, which the peer then has for transferPause. It returns false if none becomes free in time.
func (t *transfers) admit(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, admissionWait)
	defer cancel()
	for {
		isAdmitted, changed, retryAt := t.tryAdmit(address)
		if isAdmitted {
			return true
		}
		timer := time.NewTimer(retryAt.Sub(bootclock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryAdmit gives a peer a place if one is free. Else it returns what is closed when one becomes free, and when one does at the latest.
func (t *transfers) tryAdmit(address string) (isAdmitted bool, changed <-chan struct{}, retryAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := bootclock.Now()
	retryAt = now.Add(transferPause)
	for other, expireAt := range t.expireAt {
		switch {
		case !now.Before(expireAt):
			delete(t.expireAt, other)
		case expireAt.Before(retryAt):
			retryAt = expireAt
		}
	}
	if _, ok := t.expireAt[address]; !ok && len(t.expireAt) >= maxTransfers {
		return false, t.changed, retryAt
	}
	t.expireAt[address] = now.Add(transferPause)
	return true, nil, retryAt
}

// finish frees the place of a peer that gets the last piece, and notes that it has the configuration.
func (t *transfers) finish(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.expireAt, address)
	if address != "" && len(t.holders) < maxHolders && !slices.Contains(t.holders, address) {
		t.holders = append(t.holders, address)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// holder returns a random peer that has the newest configuration, or none.
func (t *transfers) holder(asker string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.holders) == 0 {
		return ""
	}
	if address := t.holders[rand.IntN(len(t.holders))]; address != asker {
		return address
	}
	return ""
}
