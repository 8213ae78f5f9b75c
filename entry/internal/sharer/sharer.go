// Package sharer shares what a node has read from the store with peers that do not read it themselves.
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
	"fuchsiabridge.example/entry/internal/accuser"
)

// Names of the calls with which peers ask for news and for the configuration in force, and
// tell of requests that crash targets.
const (
	WatchMethod         = "watch"
	ConfigurationMethod = "configuration"
	AccuseMethod        = "accuse"
)

const (
	// mostWait bounds how long a question waits for news.
	mostWait = 2 * time.Second
	// mostCrashes bounds the crashes that are kept for peers.
	mostCrashes = 1024
	// mostGone bounds the targets that are remembered as gone; a peer that has missed one gets everything.
	mostGone = 1024
	idBase   = 36
)

// ErrNotReading says that this node does not read the store, or has not read it yet.
var ErrNotReading = errors.New("this node does not read the store")

// Revision counts what a sharer has learnt.
type Revision uint64

// Query is a peer's question for what it does not know yet.
type Query struct {
	// Sharer and Revision are those of the last news; empty at first.
	Sharer   string   `json:"sharer"`
	Revision Revision `json:"revision"`
	// Configuration is the offset of the store up to which the peer knows configurations.
	Configuration identifier.Offset `json:"configuration"`
	// WaitMS is how long the answer may wait for news, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// News is the answer to a query.
type News struct {
	// IsNotReading says that the node does not read the store; there is nothing else then.
	IsNotReading bool     `json:"is_not_reading,omitempty"`
	Sharer       string   `json:"sharer"`
	Revision     Revision `json:"revision"`
	// IsComplete says that targets that are not among the changes are gone.
	IsComplete bool                     `json:"is_complete"`
	Changes    []describer.TargetChange `json:"changes"`
	// Outages counts the times that the store was away for the sharer.
	Outages int `json:"outages"`
	// Configuration is the offset up to which the sharer knows configurations.
	Configuration identifier.Offset `json:"configuration"`
	// ConfirmedMS is when the store confirmed that, in milliseconds after the question came in;
	// it is negative for what was confirmed before.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// Crashes are those that peers told since.
	Crashes []accuser.Crash `json:"crashes,omitempty"`
}

type entry struct {
	change   describer.TargetChange
	revision Revision
}

type crash struct {
	accuser.Crash
	revision Revision
}

// Sharer keeps what this node has read.
type Sharer struct {
	id string

	mu sync.Mutex
	// isReading says that this node reads the store for its peers, isRead that it has read all targets.
	isReading bool
	isRead    bool
	entries   map[identifier.TargetID]entry
	revision  Revision
	// floor is the revision from which on changes are complete.
	floor         Revision
	gone          int
	crashes       []crash
	outages       int
	configuration identifier.Offset
	// packed is the compressed text of the newest configuration.
	packed      []byte
	confirmedAt time.Time
	// changed is closed with each change, and replaced.
	changed chan struct{}
}

// NewSharer returns a sharer that knows nothing.
func NewSharer() *Sharer {
	return &Sharer{
		id: strconv.FormatUint(rand.Uint64(), idBase), entries: map[identifier.TargetID]entry{}, changed: make(chan struct{}),
	}
}

// SetReading says whether this node reads the store for its peers.
func (s *Sharer) SetReading(isReading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReading == isReading {
		return
	}
	s.isReading = isReading
	s.wake()
}

// NoteTargets takes in what targets have said; if complete, all others are gone.
func (s *Sharer) NoteTargets(changes []describer.TargetChange, isComplete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	if isComplete {
		s.isRead = true
		s.dropOthers(changes)
	}
	for _, c := range changes {
		s.take(c)
	}
	if s.revision != before {
		s.wake()
	}
}

func (s *Sharer) dropOthers(changes []describer.TargetChange) {
	present := make(map[identifier.TargetID]bool, len(changes))
	for _, c := range changes {
		present[c.ID] = true
	}
	for id := range s.entries {
		if !present[id] {
			s.take(describer.TargetChange{ID: id})
		}
	}
}

func (s *Sharer) take(c describer.TargetChange) {
	before, isKnown := s.entries[c.ID]
	if isKnown && reflect.DeepEqual(before.change, c) {
		return
	}
	if !isKnown && c.Target == nil {
		return
	}
	s.revision++
	s.entries[c.ID] = entry{change: c, revision: s.revision}
	wasGone := isKnown && before.change.Target == nil
	switch isGone := c.Target == nil; {
	case isGone && !wasGone:
		s.gone++
	case wasGone && !isGone:
		s.gone--
	}
	if s.gone > mostGone {
		s.forgetGone()
	}
}

func (s *Sharer) forgetGone() {
	for id, e := range s.entries {
		if e.change.Target == nil {
			delete(s.entries, id)
		}
	}
	s.gone, s.floor = 0, s.revision
}

// NoteConfiguration takes in up to which offset configurations are known, as of an instant,
// and the text of the newest, nil where it has not changed.
func (s *Sharer) NoteConfiguration(next identifier.Offset, asOf time.Time, source []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if source != nil {
		s.packed = pack(source)
	}
	if asOf.After(s.confirmedAt) {
		s.confirmedAt = asOf
	}
	if s.configuration != next {
		s.configuration = next
		s.wake()
	}
}

// NoteCrashes takes in crashes that a node has seen.
func (s *Sharer) NoteCrashes(crashes []accuser.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range crashes {
		s.revision++
		s.crashes = append(s.crashes, crash{Crash: c, revision: s.revision})
	}
	s.crashes = s.crashes[max(0, len(s.crashes)-mostCrashes):]
	s.wake()
}

// NoteOutage counts an outage of the store that has ended.
func (s *Sharer) NoteOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages++
}

func (s *Sharer) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeWatch answers a peer's encoded query.
func (s *Sharer) ServeWatch(ctx context.Context, params json.RawMessage) (any, error) {
	var q Query
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decoding a query")
	}
	news, err := s.Watch(ctx, q)
	if errors.Is(err, ErrNotReading) {
		return News{IsNotReading: true}, nil
	}
	return news, err
}

// Watch returns what the peer does not know, at once if there is any, else when there is or the wait is over.
func (s *Sharer) Watch(ctx context.Context, q Query) (News, error) {
	arrived := bootclock.Now()
	wait := time.NewTimer(min(mostWait, time.Duration(q.WaitMS)*time.Millisecond))
	defer wait.Stop()
	for isOver := false; ; {
		news, changed, err := s.news(q, arrived)
		if err != nil || isOver || !news.isIdle(q) {
			return news, err
		}
		select {
		case <-ctx.Done():
			return News{}, errors.Wrap(ctx.Err(), "waiting for news")
		case <-wait.C:
			isOver = true
		case <-changed:
		}
	}
}

// isIdle reports whether the news hold nothing that the question does not know.
func (n News) isIdle(q Query) bool {
	return n.Sharer == q.Sharer && n.Revision == q.Revision && n.Configuration <= q.Configuration
}

func (s *Sharer) news(q Query, arrived time.Time) (News, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isReading || !s.isRead || s.confirmedAt.IsZero() {
		return News{}, nil, ErrNotReading
	}
	news := News{
		Sharer: s.id, Revision: s.revision, Outages: s.outages, Configuration: s.configuration,
		IsComplete:  q.Sharer != s.id || q.Revision < s.floor || q.Revision > s.revision,
		ConfirmedMS: s.confirmedAt.Sub(arrived).Truncate(time.Millisecond).Milliseconds() - 1,
	}
	for _, e := range s.entries {
		isNews := e.revision > q.Revision
		if news.IsComplete {
			isNews = e.change.Target != nil
		}
		if isNews {
			news.Changes = append(news.Changes, e.change)
		}
	}
	for _, c := range s.crashes {
		if news.IsComplete || c.revision > q.Revision {
			news.Crashes = append(news.Crashes, c.Crash)
		}
	}
	return news, s.changed, nil
}
