package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/joiner"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// leadWait is how long the lead may wait for updates or the next confirmation before it answers. It is short, as it adds to the time
	// after which this node notices that the lead has failed, and to the age of confirmations if the lead does not tell of each.
	leadWait = 250 * time.Millisecond
	// maxRelayedAge is maxConfirmationAge for a peer that follows the lead. It leaves that peer the time to read the store itself after
	// the lead has failed: the age of the confirmation is then up to 1.4 s.
	maxRelayedAge = 1500 * time.Millisecond
)

// errNotLead is returned when a node that should be the lead follows another reader.
var errNotLead = errors.New("the peer follows another reader")

// relayLead passes on the updates of the lead of the readers, until a call fails or this node gets another role. This node then reads the
// store itself at once, as its followers depend on it.
func (f *Follower) relayLead(ctx context.Context, r *readers) {
	if r.lead.Address == "" || bootclock.Now().Before(r.backoffUntil[r.lead.Address]) {
		f.findLead(ctx, r)
		return
	}
	err := f.followPeer(ctx, r.lead, r)
	now := bootclock.Now()
	f.gate.setLeadFresh(now)
	if errors.Is(err, errReader) {
		return
	}
	r.backoffUntil[r.lead.Address] = now.Add(peerBackoff)
	if r.hasUpdated {
		r.hasUpdated, r.nextLookupAt = false, now
	}
}

// withoutLead returns the readers that followers in a large fleet choose from: not the lead, which has the other readers to answer, unless
// there is no other.
func withoutLead(found joiner.Readers) []storecaller.Member {
	var others []storecaller.Member
	for _, m := range found.All {
		if m != found.Lead {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return found.All
	}
	return others
}

// awaitJoin waits up to a limit until this node has tried to join the group, and reports whether the fleet is known to be large.
func (f *Follower) awaitJoin(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return f.group.IsInLargeFleet(ctx)
}

// findLead looks up the lead while none is followed.
func (f *Follower) findLead(ctx context.Context, r *readers) {
	if !bootclock.Now().Before(r.nextLookupAt) {
		before := r.lead.Address
		f.lookup(ctx, r)
		if r.lead.Address != before {
			return
		}
	}
	sleeper.Sleep(ctx, idleInterval)
}

// applyPeerTargets applies the targets of an update. A node that relays the lead's updates records them for its followers.
func (f *Follower) applyPeerTargets(update sharer.Update, isRelaying bool) {
	f.feedMu.Lock()
	defer f.feedMu.Unlock()
	if isRelaying {
		if !f.gate.relays() {
			return
		}
		f.gate.setLeadFresh(bootclock.Now().Add(updateMaxAge))
		f.sharer.RecordTargets(update.Changes, update.IsComplete)
	}
	f.submit(registrar.TargetsRead{Changes: update.Changes, IsComplete: update.IsComplete})
}

// recordLead records for the followers of this node when the store confirmed the configuration to the lead.
func (f *Follower) recordLead(confirmed time.Time) {
	f.feedMu.Lock()
	defer f.feedMu.Unlock()
	if !f.gate.relays() {
		return
	}
	f.sharer.RecordConfiguration(f.knownPosition(), confirmed)
}

// knownPosition returns the position up to which configurations are known.
func (f *Follower) knownPosition() identifier.StorePosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}
