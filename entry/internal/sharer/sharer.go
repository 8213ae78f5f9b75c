// Package sharer serves what this node has read from the store to peers that do not read the store themselves.
package sharer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

// Names of the peer calls that ask for updates, and report requests that crash targets.
const (
	WatchMethod       = "watch"
	CrashReportMethod = "accuse"
	// CrashesMethod asks for crashes only, ClearMethod reports requests whose crashes count no more.
	CrashesMethod = "crashes"
	ClearMethod   = "clear"
)

const (
	// maxWait limits how long a query waits for updates.
	maxWait = 2 * time.Second
	// minAnswerInterval is the time from a query to its answer if targets or crashes have changed: a peer asks again at
	// once, so that many changes in a row would cost an answer each. A new configuration is told at once.
	minAnswerInterval = 25 * time.Millisecond
	// maxRemoved limits the removed targets that are remembered. A peer that has missed one gets a complete update.
	maxRemoved = 1024
	// idBase is the number base in which a sharer's random id is written.
	idBase = 36
)

// ErrNotReading is returned when this node does not read the store, or has not read it yet.
var ErrNotReading = errors.New("this node does not read the store")

// Revision numbers the changes that a sharer has recorded.
type Revision uint64

// Query asks for everything that a peer does not know yet.
type Query struct {
	// Sharer and Revision are those of the last update; they are empty in the first query.
	Sharer   string   `json:"sharer"`
	Revision Revision `json:"revision"`
	// Configuration is the offset of the store up to which the peer knows configurations, in an era of the store.
	Configuration identifier.Offset `json:"configuration"`
	Era           identifier.Era    `json:"era,omitempty"`
	// WaitMS is how long the answer may wait for updates, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
	// AcceptsPacked says that the contents of an update may be compressed.
	AcceptsPacked bool `json:"accepts_packed,omitempty"`
	// Node is the sender, and Demand the number of requests that it would have open if it shed none.
	Node   identifier.NodeID `json:"node,omitempty"`
	Demand float64           `json:"demand,omitempty"`
}

// position is that up to which the sender of the query knows configurations.
func (q Query) position() identifier.StorePosition {
	return identifier.StorePosition{Era: q.Era, Offset: q.Configuration}
}

// Update is the answer to a query.
type Update struct {
	// IsNotReading reports that the node does not read the store. All other fields are then empty.
	IsNotReading bool     `json:"is_not_reading,omitempty"`
	Sharer       string   `json:"sharer"`
	Revision     Revision `json:"revision"`
	// IsComplete reports that targets that are not among the changes no longer exist.
	IsComplete bool `json:"is_complete"`
	Contents
	// Packed holds the compressed contents of a large update instead.
	Packed []byte `json:"packed,omitempty"`
	// Outages counts the outages of the store that the sharer has seen end.
	Outages int `json:"outages"`
	// Loads are the reports of targets' load since the query's revision. They are not compressed with the contents, as their ages
	// are those at the time of the answer.
	Loads []loadtracker.Report `json:"loads,omitempty"`
	// Rejections are the targets that have rejected requests since the query's revision, with ages as those of the loads.
	Rejections []avoider.Rejection `json:"rejections,omitempty"`
	// Share is the share of the capacity of all chains that the sender of the query may use, from 0 to 1; 0 if it is not known.
	Share float64 `json:"share,omitempty"`
	// Configuration is the offset up to which the sharer knows configurations, in an era of the store.
	Configuration identifier.Offset `json:"configuration"`
	Era           identifier.Era    `json:"era,omitempty"`
	// ConfirmedMS is when the store confirmed the configuration, in milliseconds relative to the arrival of the
	// query. It is negative if the confirmation came before the query.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// IsCatchingUp says that the store is sending a newer configuration to the sharer, so that it confirms none for a while.
	IsCatchingUp bool `json:"is_catching_up,omitempty"`
}

// Contents are the changes since the query's revision, or all that is kept if the update is complete.
type Contents struct {
	Changes []describer.TargetChange `json:"changes"`
	// Crashes are the crashes that nodes have reported.
	Crashes []crashrecorder.Crash `json:"crashes,omitempty"`
	// Cleared are the requests whose crashes count no more.
	Cleared []identifier.Fingerprint `json:"cleared,omitempty"`
	// Limits are the request limits of targets that have changed.
	Limits []limiter.Report `json:"limits,omitempty"`
}

// Position is that up to which the sharer knows configurations.
func (u Update) Position() identifier.StorePosition {
	return identifier.StorePosition{Era: u.Era, Offset: u.Configuration}
}

// entry is the newest change of a target, and the revision that recorded it.
type entry struct {
	change   describer.TargetChange
	revision Revision
}

// Sharer keeps what this node has read from the store.
type Sharer struct {
	// id tells this sharer from those of other nodes and of earlier starts, whose revisions have another meaning.
	id string

	// packMu is held while an update is compressed, so that peers that ask at the same moment share the result.
	packMu sync.Mutex
	// packedUpdates holds the updates that were compressed lately.
	packedUpdates map[updateSpan]packedUpdate

	mu sync.Mutex
	// isReading reports whether this node reads the store for its peers, hasReadTargets whether it has read all targets.
	isReading      bool
	hasReadTargets bool
	entries        map[identifier.TargetID]entry
	revision       Revision
	// completeSince is the revision from which on the recorded changes are complete.
	completeSince Revision
	// removedCount is the number of entries of removed targets.
	removedCount  int
	crashes       []crash
	cleared       []clearance
	limits        map[identifier.TargetID]limit
	loads         map[identifier.TargetID]load
	rejections    map[identifier.TargetID]rejection
	capacity      capacity
	outages       int
	configuration identifier.StorePosition
	confirmedAt   time.Time
	// isCatchingUp says that the store is sending a newer configuration.
	isCatchingUp bool
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// NewSharer returns an empty sharer.
func NewSharer() *Sharer {
	return &Sharer{
		id: strconv.FormatUint(rand.Uint64(), idBase), packedUpdates: map[updateSpan]packedUpdate{},
		entries: map[identifier.TargetID]entry{}, limits: map[identifier.TargetID]limit{}, loads: map[identifier.TargetID]load{},
		rejections: map[identifier.TargetID]rejection{}, changed: make(chan struct{}),
	}
}

// SetReading sets whether this node reads the store for its peers.
func (s *Sharer) SetReading(isReading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReading == isReading {
		return
	}
	s.isReading = isReading
	s.notify()
}

// PauseTargets notes that this node stops reading the targets. What is recorded of them is not told to peers until it has read
// all of them again, as targets may leave meanwhile.
func (s *Sharer) PauseTargets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasReadTargets = false
}

// PauseConfiguration notes that this node stops reading the configuration. Peers are told nothing until the store has
// confirmed it again.
func (s *Sharer) PauseConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = time.Time{}
}

// RecordTargets records changes of targets. If they are complete, all other targets are removed.
func (s *Sharer) RecordTargets(changes []describer.TargetChange, isComplete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	if isComplete {
		s.hasReadTargets = true
		s.dropOthers(changes)
	}
	for _, c := range changes {
		s.record(c)
	}
	if s.revision != before {
		s.notify()
	}
}

func (s *Sharer) dropOthers(changes []describer.TargetChange) {
	present := make(map[identifier.TargetID]bool, len(changes))
	for _, c := range changes {
		present[c.ID] = true
	}
	for id := range s.entries {
		if !present[id] {
			s.record(describer.TargetChange{ID: id})
		}
	}
}

func (s *Sharer) record(c describer.TargetChange) {
	before, isKnown := s.entries[c.ID]
	if isKnown && reflect.DeepEqual(before.change, c) {
		return
	}
	if !isKnown && c.Target == nil {
		return
	}
	s.revision++
	s.entries[c.ID] = entry{change: c, revision: s.revision}
	if c.Target == nil {
		delete(s.limits, c.ID)
	}
	wasRemoved := isKnown && before.change.Target == nil
	switch isRemoved := c.Target == nil; {
	case isRemoved && !wasRemoved:
		s.removedCount++
	case wasRemoved && !isRemoved:
		s.removedCount--
	}
	if s.removedCount > maxRemoved {
		s.dropRemoved()
	}
}

// dropRemoved forgets the removed targets. Peers at an earlier revision get a complete update from then on.
func (s *Sharer) dropRemoved() {
	for id, e := range s.entries {
		if e.change.Target == nil {
			delete(s.entries, id)
		}
	}
	s.removedCount, s.completeSince = 0, s.revision
}

// SetCatchingUp sets whether the store is sending a newer configuration to this node.
func (s *Sharer) SetCatchingUp(isCatchingUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCatchingUp = isCatchingUp
}

// RecordConfiguration records that all configurations up to the position next were known as of a time.
func (s *Sharer) RecordConfiguration(next identifier.StorePosition, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf.After(s.confirmedAt) {
		s.confirmedAt = asOf
	}
	if s.configuration != next {
		s.configuration = next
		s.notify()
	}
}

// RecordOutage counts an outage of the store that has ended.
func (s *Sharer) RecordOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
}

func (s *Sharer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeWatch decodes and answers a peer's query.
func (s *Sharer) ServeWatch(ctx context.Context, params json.RawMessage) (any, error) {
	var q Query
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decoding a query")
	}
	update, err := s.Watch(ctx, q)
	if errors.Is(err, ErrNotReading) {
		return Update{IsNotReading: true}, nil
	}
	if err == nil && q.AcceptsPacked {
		s.packContents(q.Revision, &update)
	}
	return update, err
}

// Watch returns what the peer does not know, as soon as there is anything or the query's wait has elapsed. A peer that knows
// all but the last changes gets these after minAnswerInterval.
func (s *Sharer) Watch(ctx context.Context, q Query) (Update, error) {
	arrived := bootclock.Now()
	s.recordDemand(arrived, q)
	wait := time.NewTimer(min(maxWait, time.Duration(q.WaitMS)*time.Millisecond))
	defer wait.Stop()
	soonest := time.NewTimer(minAnswerInterval)
	defer soonest.Stop()
	isOver, mayAnswer := false, false
	for {
		update, changed, err := s.nextUpdate(q, arrived)
		if err != nil || isOver || update.isUrgentFor(q) || (mayAnswer && !update.isEmptyFor(q)) {
			return update, err
		}
		select {
		case <-ctx.Done():
			return Update{}, errors.Wrap(ctx.Err(), "waiting for updates")
		case <-wait.C:
			isOver = true
		case <-soonest.C:
			mayAnswer = true
		case <-changed:
		}
	}
}

// isUrgentFor reports whether the sender of the query lacks a configuration, or all that is kept.
func (u Update) isUrgentFor(q Query) bool {
	return u.IsComplete || q.position().Before(u.Position())
}

// isEmptyFor reports whether the update contains nothing that the sender of the query does not know.
func (u Update) isEmptyFor(q Query) bool {
	return u.Sharer == q.Sharer && u.Revision == q.Revision && !q.position().Before(u.Position())
}

func (s *Sharer) nextUpdate(q Query, arrived time.Time) (Update, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReading || !s.hasReadTargets || s.confirmedAt.IsZero() {
		return Update{}, nil, ErrNotReading
	}
	update := Update{
		Sharer: s.id, Revision: s.revision, Outages: s.outages, Configuration: s.configuration.Offset, Era: s.configuration.Era,
		IsComplete:  q.Sharer != s.id || q.Revision < s.completeSince || q.Revision > s.revision,
		ConfirmedMS: s.confirmedAt.Sub(arrived).Truncate(time.Millisecond).Milliseconds() - 1, IsCatchingUp: s.isCatchingUp,
	}
	for _, e := range s.entries {
		isNew := e.revision > q.Revision
		if update.IsComplete {
			isNew = e.change.Target != nil
		}
		if isNew {
			update.Changes = append(update.Changes, e.change)
		}
	}
	since := q.Revision
	if update.IsComplete {
		since = 0
	}
	report := s.newCrashes(since)
	update.Crashes, update.Cleared = report.Crashes, report.Cleared
	update.Limits = s.newLimits(since)
	now := bootclock.Now()
	update.Loads, update.Rejections = s.newLoads(now, since), s.newRejections(now, since)
	update.Share = s.capacity.shareOf(now, q.Node)
	return update, s.changed, nil
}
