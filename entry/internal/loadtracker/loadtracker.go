// Package loadtracker keeps what the first targets of chains report of their load, and predicts how long a request that is sent
// now waits at such a target before it begins.
package loadtracker

import (
	"maps"
	"math"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

const (
	// MaxAge is the age of a report from which on it predicts nothing.
	MaxAge = 1500 * time.Millisecond
	// minTrendTime is the shortest time between two reports that shows a trend: reports lag by some hundred milliseconds, not all
	// by the same time.
	minTrendTime = 100 * time.Millisecond
	// maxTrendTime is the longest time for which a trend is continued.
	maxTrendTime = 600 * time.Millisecond
	// MinSlowPace is the pace from which on a target counts as slow. Reports of sound targets vary a little.
	MinSlowPace = 1.25
	// maxWait bounds a predicted wait: a report may name any number of waiting requests.
	maxWait = time.Hour
	// minPace and maxPace bound the factor by which a target says that it is slow.
	minPace = 0.1
	maxPace = 100.0
)

// Report is what a target reports of its load, in the form in which nodes pass it on.
type Report struct {
	Target identifier.TargetID `json:"target"`
	// Incarnation is the one of the target that reported, 0 if the report does not say.
	Incarnation int64 `json:"incarnation"`
	// Waiting counts the requests that the target has not begun, Running those that it has, as the first target of their chains.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// MemoryUsed is the memory that requests hold and MemoryTotal that for requests, in tokens times layers.
	MemoryUsed  int64 `json:"memory_used"`
	MemoryTotal int64 `json:"memory_total"`
	// Pace is over 1 for a slow target.
	Pace float64 `json:"pace"`
	// AgeMS is the age of the values, in milliseconds, as the clocks of nodes differ.
	AgeMS int64 `json:"age_ms"`
}

// NewReport returns the report that a target has given, with values of the given age.
func NewReport(target identifier.TargetID, r describer.Report, age time.Duration) Report {
	return Report{
		Target: target, Incarnation: r.Incarnation, Waiting: r.Waiting, Running: r.Running,
		MemoryUsed: r.MemoryUsed, MemoryTotal: r.MemoryTotal, Pace: r.Pace, AgeMS: age.Milliseconds(),
	}
}

// isValid reports whether a target can have given the report. An age below zero is that of a node whose clock has stepped.
func (r Report) isValid() bool {
	return r.AgeMS >= 0 && r.Waiting >= 0 && r.Running >= 0 && r.MemoryUsed >= 0 && r.MemoryTotal >= 0
}

// Load is the load of a target, predicted for the present.
type Load struct {
	Waiting float64
	Running float64
	// MemoryShare is the share of the memory for requests that is in use, from 0 to 1; 0 if the target does not say.
	MemoryShare float64
	Pace        float64
	// Age is the age of the report that the prediction is based on.
	Age time.Duration
}

// state is what is known of one target's load.
type state struct {
	last Report
	at   time.Time
	// previous is the report before the last one, which shows the trend. previousAt is zero if there is none.
	previous   Report
	previousAt time.Time
	// sent counts this node's requests to the target since the last report.
	sent int
}

// Tracker keeps the newest reports.
type Tracker struct {
	states map[identifier.TargetID]*state
	// learnedAt is when a usable report last arrived, zero if none has. isStale is set while reports are too old to be used.
	learnedAt time.Time
	isStale   bool
}

// NewTracker returns a tracker without reports.
func NewTracker() *Tracker { return &Tracker{states: map[identifier.TargetID]*state{}} }

// Learn applies reports that arrive now. Those that are older than a known one of the same incarnation, too old to be used, or not valid are ignored.
func (t *Tracker) Learn(now time.Time, reports []Report) {
	for _, r := range reports {
		at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		if !r.isValid() || now.Sub(at) >= MaxAge {
			continue
		}
		t.learn(r, at)
		t.learnedAt = now
	}
}

func (t *Tracker) learn(r Report, at time.Time) {
	s, ok := t.states[r.Target]
	switch {
	case !ok || r.Incarnation > s.last.Incarnation:
		t.states[r.Target] = &state{last: r, at: at}
	case r.Incarnation < s.last.Incarnation || !at.After(s.at):
		return
	case at.Sub(s.at) < minTrendTime:
		s.last, s.at, s.sent = r, at, 0
	default:
		s.previous, s.previousAt = s.last, s.at
		s.last, s.at, s.sent = r, at, 0
	}
}

// Sent notes a request that this node sends to a target.
func (t *Tracker) Sent(target identifier.TargetID) {
	if s, ok := t.states[target]; ok {
		s.sent++
	}
}

// Load returns a target's load, and false if there is no recent report. The trend of the last two reports is continued; this node's own
// requests since the last one count if they are more than that.
func (t *Tracker) Load(now time.Time, target identifier.TargetID) (Load, bool) {
	s, ok := t.states[target]
	if !ok {
		return Load{}, false
	}
	age := now.Sub(s.at)
	if age < 0 || age >= MaxAge {
		return Load{}, false
	}
	trendTime := min(age, maxTrendTime).Seconds()
	l := Load{Running: s.predictRunning(trendTime), Pace: ClampPace(s.last.Pace), Age: age}
	l.Waiting = max(0, float64(s.last.Waiting)+max(s.trend()*trendTime, s.ownWaiting()))
	if s.last.MemoryTotal > 0 {
		l.MemoryShare = min(1, float64(s.last.MemoryUsed)/float64(s.last.MemoryTotal))
	}
	return l, true
}

// trend returns by how much the number of waiting requests grows in a second, by the last two reports.
func (s *state) trend() float64 {
	if s.previousAt.IsZero() {
		return 0
	}
	return float64(s.last.Waiting-s.previous.Waiting) / s.at.Sub(s.previousAt).Seconds()
}

// predictRunning continues the trend of the running requests over a time in seconds. While requests wait, all that can run do. What this
// node has sent since the last report runs, if that is more than the trend.
func (s *state) predictRunning(trendTime float64) float64 {
	running := float64(s.last.Running)
	if s.last.Waiting > 0 {
		return running
	}
	trend := 0.0
	if !s.previousAt.IsZero() {
		trend = float64(s.last.Running-s.previous.Running) / s.at.Sub(s.previousAt).Seconds()
	}
	return max(0, running+max(trend*trendTime, float64(s.sent)))
}

// ownWaiting returns how many of this node's requests since the last report wait. While nothing waited, they have begun; a falling
// trend says that others have.
func (s *state) ownWaiting() float64 {
	if s.last.Waiting == 0 {
		return math.Inf(-1)
	}
	if s.sent == 0 {
		return math.Inf(-1)
	}
	return float64(s.sent)
}

// ClampPace returns a reported pace within bounds, 1 if there is none.
func ClampPace(pace float64) float64 {
	if pace == 0 || math.IsNaN(pace) {
		return 1
	}
	return min(maxPace, max(minPace, pace))
}

// ExpectedWait returns how long a request that is sent to a target now waits before it begins, if the requests that run there take the
// given time each. It returns false if there is no recent report.
func (t *Tracker) ExpectedWait(now time.Time, target identifier.TargetID, service time.Duration) (time.Duration, bool) {
	l, ok := t.Load(now, target)
	return l.ExpectedWait(service), ok
}

// ExpectedWait returns how long a request that is sent now waits before it begins, if the requests that run take the given time each.
func (l Load) ExpectedWait(service time.Duration) time.Duration {
	if l.Waiting < 1 {
		return 0
	}
	// With Running requests in progress, one ends, and the next one begins, each service/Running.
	return time.Duration(min(l.Waiting/max(1, l.Running)*float64(service), float64(maxWait)))
}

// Keep forgets the targets that are not kept.
func (t *Tracker) Keep(isKept func(identifier.TargetID) bool) {
	maps.DeleteFunc(t.states, func(id identifier.TargetID, _ *state) bool { return !isKept(id) })
}

// Change is a change of whether there are recent reports.
type Change int

// Changes of whether there are recent reports.
const (
	// None: there is no change.
	None Change = iota
	// WentStale: the last report is too old to be used.
	WentStale
	// Recovered: there are recent reports again.
	Recovered
)

// Check returns whether reports have become too old to be used, or recent again, since the last call. A tracker that never had a report
// does not become stale.
func (t *Tracker) Check(now time.Time) Change {
	isStale := !t.learnedAt.IsZero() && !t.IsRecent(now)
	if isStale == t.isStale {
		return None
	}
	t.isStale = isStale
	if isStale {
		return WentStale
	}
	return Recovered
}

// IsRecent reports whether a usable report has arrived lately.
func (t *Tracker) IsRecent(now time.Time) bool {
	return !t.learnedAt.IsZero() && now.Sub(t.learnedAt) < MaxAge
}

// LearnedAt returns when a usable report last arrived, zero if none has.
func (t *Tracker) LearnedAt() time.Time { return t.learnedAt }
