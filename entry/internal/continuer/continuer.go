// Package continuer decides how a stream goes on whose chain is silent or has lost a target.
package continuer

import "time"

const (
	// minSilence is the shortest silence of a chain that counts as a fault.
	minSilence = 80 * time.Millisecond
	// longestGapFactor and typicalGapFactor are how many times the longest and the typical gap seen at a chain a silence must last
	// for a stream to leave the chain before the target at fault is known.
	longestGapFactor = 1.3
	typicalGapFactor = 3
	// maxStallSilence is the silence from which on every chain counts as stalled, however long its gaps are.
	maxStallSilence = 400 * time.Millisecond
	// ProbeSilence is how long none of the node's requests may receive data from a chain's first target before a stream probes that target.
	ProbeSilence = 260 * time.Millisecond
	// maxRefusals is how often in a row a reroute may be refused before the stream is sent again.
	maxRefusals = 2
	// minRetryDelay and maxRetryDelay bound the delay before the next reroute of a stream that can neither be rerouted nor sent again;
	// it doubles each time.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxDoublings is how often the delay doubles.
	maxDoublings = 2
	// lateDelay is how long a stream that is late already leaves free places to those that can still be on time. Callers leave after
	// about two seconds without an event.
	lateDelay = 200 * time.Millisecond
	// maxSilentMoves is how often one attempt may leave a chain because it is silent.
	maxSilentMoves = 2
)

// Loss says which part of a chain has failed, as far as the node knows.
type Loss int

// Losses of a chain.
const (
	// NoLoss: no target of the chain is known to have failed.
	NoLoss Loss = iota
	// LaterStage: a target after the first one has failed, and the first one has not.
	LaterStage
	// FirstTarget: the first target has failed.
	FirstTarget
)

// Action is what is done with a stream that receives no events.
type Action int

// Actions for a stream that receives no events.
const (
	// Wait goes on waiting.
	Wait Action = iota
	// Reroute asks the first target to continue the stream along another chain.
	Reroute
	// SendAgain sends the stream along another chain from its first target on.
	SendAgain
	// LeaveSilent moves the stream off a silent chain, before the target at fault is known.
	LeaveSilent
	// LeaveStalled moves the stream off a chain on which several requests are stalled.
	LeaveStalled
	// Probe asks the first target which target the stream waits for.
	Probe
)

// State is what a node knows of a stream that receives no events, and of its chain.
type State struct {
	Loss Loss
	// HasEvents says that the current attempt has delivered events, so that a silence is not the time that reading the prompt takes.
	HasEvents bool
	// Silence is the time for which nothing was received from the chain's first target; TypicalGap and LongestGap are those
	// between two events that were lately seen there, 0 if none was.
	Silence    time.Duration
	TypicalGap time.Duration
	LongestGap time.Duration
	// FollowsGaps says that the stream may leave the chain by what is known of its gaps.
	FollowsGaps bool
	// IsLate says that the stream has had a gap that its caller counts as late.
	IsLate bool
	// IsShared says that several requests of the node use the chain, or that it is known to be stalled.
	IsShared bool
	// MayMove says that the limit of moves off silent chains allows another one at this first target.
	MayMove bool
}

// Progress is what was tried to continue the current attempt of a stream.
type Progress struct {
	// refusals counts the reroutes refused in a row, delays the delays since a reroute was last accepted.
	refusals int
	delays   int
	// silentMoves counts how often the attempt has left a silent chain; isLeaving is set from then on until it goes on.
	silentMoves int
	isLeaving   bool
	// isRerouted is set once a reroute was accepted.
	isRerouted bool
	// lostAt is when a loss was first seen, and retryAt when the next reroute may be asked for; zero if there is none.
	lostAt  time.Time
	retryAt time.Time
}

// Decide returns what is done with a stream that receives no events.
func (p *Progress) Decide(now time.Time, s State) Action {
	switch {
	case s.Loss == FirstTarget:
		return SendAgain
	case s.Loss == LaterStage:
		return p.continueLost(now, s)
	case now.Before(p.retryAt):
		return Wait
	case s.FollowsGaps && s.HasEvents:
		if s.isSilent() && s.MayMove && p.silentMoves < maxSilentMoves {
			return LeaveSilent
		}
	case s.IsShared && s.isStalled() && (s.MayMove || !s.FollowsGaps):
		return LeaveStalled
	}
	if s.Silence >= ProbeSilence {
		return Probe
	}
	return Wait
}

// continueLost decides how a stream goes on whose first target is sound while a later one has failed. Streams that can still be on
// time go first.
func (p *Progress) continueLost(now time.Time, s State) Action {
	if p.lostAt.IsZero() {
		p.lostAt = now
	}
	switch {
	case now.Before(p.retryAt):
		return Wait
	case s.IsLate && now.Before(p.lostAt.Add(lateDelay)):
		return Wait
	}
	return p.Next()
}

// Next returns how a stream that must leave its chain is continued: by a reroute until two were refused, then by sending it again.
// After a delay it is a reroute once more.
func (p *Progress) Next() Action {
	if p.refusals >= maxRefusals && p.retryAt.IsZero() {
		return SendAgain
	}
	return Reroute
}

// isSilent reports whether a chain is silent for longer than its gaps explain. A chain without a known gap is not.
func (s State) isSilent() bool {
	byLongest := time.Duration(longestGapFactor * float64(s.LongestGap))
	return s.TypicalGap > 0 && s.Silence >= max(minSilence, byLongest, typicalGapFactor*s.TypicalGap)
}

// isStalled reports whether a chain is silent for long enough to leave it if several requests wait for it.
func (s State) isStalled() bool {
	return s.Silence >= min(maxStallSilence, max(minSilence, typicalGapFactor*s.TypicalGap))
}

// Moved notes that the stream leaves a silent chain.
func (p *Progress) Moved() { p.silentMoves, p.isLeaving = p.silentMoves+1, true }

// Refused notes that a reroute was refused.
func (p *Progress) Refused() { p.refusals, p.retryAt = p.refusals+1, time.Time{} }

// Exhausted notes that no chain is left along which the stream could be rerouted, or that its first target takes no orders.
func (p *Progress) Exhausted() { p.refusals, p.retryAt = max(p.refusals, maxRefusals), time.Time{} }

// Resumed notes that the stream goes on.
func (p *Progress) Resumed() { *p = Progress{silentMoves: p.silentMoves, isRerouted: p.isRerouted} }

// Accepted notes that a reroute was accepted.
func (p *Progress) Accepted() { *p = Progress{silentMoves: p.silentMoves, isRerouted: true} }

// WasRerouted reports whether the attempt has been continued along another chain.
func (p *Progress) WasRerouted() bool { return p.isRerouted }

// Postpone returns when a stream that can neither be rerouted nor sent again tries the next reroute, and whether this is the first
// delay since it last went on.
func (p *Progress) Postpone(now time.Time) (time.Time, bool) {
	delay := min(maxRetryDelay, minRetryDelay<<min(p.delays, maxDoublings))
	p.delays++
	p.retryAt = now.Add(delay)
	return p.retryAt, p.delays == 1
}

// Refusals returns how many reroutes were refused in a row.
func (p *Progress) Refusals() int { return p.refusals }

// LeavesSilent reports whether the stream is on its way off a silent chain.
func (p *Progress) LeavesSilent() bool { return p.isLeaving }
