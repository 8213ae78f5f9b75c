// Package registrar keeps what is known of the targets: their own word, whether they are
// leaving, and what the node's requests have shown.
package registrar

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

const (
	// returnTime is how long entries that expired during an outage of the store may take to come back.
	returnTime = 2 * time.Second
	// closingTime is how long a leaving target may still take requests.
	closingTime = 900 * time.Millisecond
	// doubtBeats is how many heartbeats long a target in doubt gets no requests; the time
	// doubles with each further doubt. A dead one's entry is gone by then.
	doubtBeats = 3.5
	maxDoubt   = 15 * time.Second
	// unfitDoubt is how long a target with other layers gets no requests.
	unfitDoubt = 1500 * time.Millisecond
	// forgetDoubts is the time without a doubt after which the first one counts anew.
	forgetDoubts = 20 * time.Second
	maxDoublings = 4
)

// Read is the event that targets said something, or are gone.
type Read struct {
	Changes []describer.TargetChange
	// IsComplete says that targets that are not among the changes are gone.
	IsComplete bool
}

// StoreRegained is the event that the store answers again after an outage.
type StoreRegained struct{}

// Doubt says what a request has shown of a target.
type Doubt int

// Doubts, by how long they last.
const (
	// Unfit: the target does not hold the layers that its entry says.
	Unfit Doubt = iota
	// Dead: the target does not answer, or others wait for it in vain.
	Dead
)

// Doubted is the event that a target failed a request in a way that speaks against it.
type Doubted struct {
	Address string
	Doubt   Doubt
	Reason  string
}

// Target is a target with what is believed of it.
type Target struct {
	describer.Target
	// IsDoubted says that requests should go elsewhere for now.
	IsDoubted bool
	// IsClosing says that the target is leaving, but may still take requests where no other can.
	IsClosing bool
}

// TargetsChanged is raised when targets, or beliefs about them, have changed.
type TargetsChanged struct{ Targets []Target }

type state struct {
	target describer.Target
	// gone is set by the instant at which a missing target counts as gone.
	goneAt     time.Time
	doubtUntil time.Time
	doubtedAt  time.Time
	doubts     int
	heardAt    time.Time
	// leavingAt is when the target was first known to be leaving.
	leavingAt   time.Time
	wasClosing  bool
	wasDoubtful bool
}

// Registrar is the sub-reducer of targets.
type Registrar struct {
	heartbeat time.Duration
	states    map[identifier.TargetID]*state
	// graceUntil is when entries that were missing after an outage count as gone.
	graceUntil time.Time
}

// NewRegistrar returns a registrar that knows no target; they write heartbeats at an interval.
func NewRegistrar(heartbeat time.Duration) *Registrar {
	return &Registrar{heartbeat: heartbeat, states: map[identifier.TargetID]*state{}}
}

// Apply takes one event and returns what to do.
func (r *Registrar) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Read:
		return r.read(now, ev)
	case StoreRegained:
		r.graceUntil = now.Add(returnTime)
	case Doubted:
		return r.doubt(now, ev)
	case messenger.Tick:
		return r.tick(now)
	}
	return nil
}

func (r *Registrar) read(now time.Time, ev Read) []messenger.Effect {
	changed := false
	present := map[identifier.TargetID]bool{}
	for _, c := range ev.Changes {
		if c.Target == nil {
			changed = r.remove(now, c.ID) || changed
			continue
		}
		present[c.ID] = true
		changed = r.take(now, *c.Target) || changed
	}
	if ev.IsComplete {
		for id := range r.states {
			if !present[id] {
				changed = r.remove(now, id) || changed
			}
		}
	}
	if !changed {
		return nil
	}
	return r.changed(now)
}

// take stores a target's word; a target that was leaving stays so until it starts anew.
func (r *Registrar) take(now time.Time, t describer.Target) bool {
	s, ok := r.states[t.ID]
	if !ok {
		r.states[t.ID] = &state{target: t, heardAt: now}
		return true
	}
	if t.Born < s.target.Born {
		return false
	}
	if t.Born > s.target.Born {
		*s = state{target: t, heardAt: now}
		return true
	}
	t.IsLeaving = t.IsLeaving || s.target.IsLeaving
	if t.IsLeaving && s.leavingAt.IsZero() {
		s.leavingAt = now
	}
	changed := !reflect.DeepEqual(t, s.target) || !s.goneAt.IsZero()
	s.target, s.heardAt, s.goneAt = t, now, time.Time{}
	return changed
}

func (r *Registrar) remove(now time.Time, id identifier.TargetID) bool {
	s, ok := r.states[id]
	if !ok {
		return false
	}
	if now.Before(r.graceUntil) {
		if s.goneAt.IsZero() {
			s.goneAt = r.graceUntil
		}
		return false
	}
	delete(r.states, id)
	return true
}

func (r *Registrar) doubt(now time.Time, ev Doubted) []messenger.Effect {
	for _, s := range r.states {
		if s.target.Address != ev.Address || now.Before(s.doubtUntil) {
			continue
		}
		s.doubtUntil = now.Add(r.hold(now, s, ev.Doubt))
		s.wasDoubtful = true
		return append(r.changed(now), messenger.Log{
			Event: eventlogger.TargetDoubted, Subject: subject(s.target.ID),
			Values: []any{"address", ev.Address, "reason", ev.Reason, "entry_unchanged_ms", now.Sub(s.heardAt).Milliseconds(), "doubts", s.doubts},
		})
	}
	return nil
}

// hold returns how long a doubt lasts.
func (r *Registrar) hold(now time.Time, s *state, d Doubt) time.Duration {
	switch d {
	case Unfit:
		return unfitDoubt
	case Dead:
	}
	if now.Sub(s.doubtedAt) > forgetDoubts {
		s.doubts = 0
	}
	hold := min(maxDoubt, time.Duration(doubtBeats*float64(r.heartbeat))<<s.doubts)
	s.doubtedAt = now
	s.doubts = min(s.doubts+1, maxDoublings)
	return hold
}

// tick lets doubts and graces end.
func (r *Registrar) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	changed := false
	for id, s := range r.states {
		if !s.goneAt.IsZero() && !now.Before(s.goneAt) {
			delete(r.states, id)
			changed = true
			continue
		}
		if s.wasClosing && !s.isClosing(now) {
			s.wasClosing = false
			changed = true
		}
		if s.wasDoubtful && !s.isDoubted(now) {
			s.wasDoubtful = false
			changed = true
			effects = append(effects, messenger.Log{
				Event: eventlogger.TargetTrusted, Subject: subject(id), Values: []any{"address", s.target.Address},
			})
		}
	}
	if changed {
		effects = append(effects, r.changed(now)...)
	}
	return effects
}

func (s *state) isDoubted(now time.Time) bool {
	return s.wasDoubtful && now.Before(s.doubtUntil)
}

func (s *state) isClosing(now time.Time) bool {
	return !s.leavingAt.IsZero() && now.Sub(s.leavingAt) < closingTime
}

// Count returns how many targets are leaving and how many are in doubt.
func Count(targets []Target) (leaving, doubted int) {
	for _, t := range targets {
		if t.IsLeaving {
			leaving++
		}
		if t.IsDoubted {
			doubted++
		}
	}
	return leaving, doubted
}

func (r *Registrar) changed(now time.Time) []messenger.Effect {
	ev := TargetsChanged{Targets: make([]Target, 0, len(r.states))}
	for _, s := range r.states {
		s.wasClosing = s.isClosing(now)
		ev.Targets = append(ev.Targets, Target{Target: s.target, IsDoubted: s.isDoubted(now), IsClosing: s.wasClosing})
	}
	leaving, doubted := Count(ev.Targets)
	slices.SortFunc(ev.Targets, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return []messenger.Effect{messenger.Raise{Event: ev}, messenger.Log{
		Event: eventlogger.TargetsChanged, Subject: "targets",
		Values: []any{"targets", len(ev.Targets), "leaving", leaving, "doubted", doubted},
	}}
}

func subject(id identifier.TargetID) string { return "target/" + string(id) }
