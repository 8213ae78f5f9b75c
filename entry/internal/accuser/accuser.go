// Package accuser keeps which requests crash the targets that run them.
package accuser

import (
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	// fallTime is how long after a run broke its target may be seen to have crashed.
	fallTime = 5 * time.Second
	// guiltyCrashes is how often a request must have crashed targets to run no more. Crashes
	// within apartTime count once: targets that one fault takes together speak against no request.
	guiltyCrashes = 3
	apartTime     = 500 * time.Millisecond
	// forgetTime is how long a crash counts.
	forgetTime = time.Minute
	// mostSuspicions and mostRecords bound the memory; beyond them the oldest, or any, are forgotten.
	mostSuspicions = 1024
	mostRecords    = 4096
)

// Crash says that a target crashed while it ran a request.
type Crash struct {
	Request identifier.Fingerprint `json:"request"`
	Target  identifier.TargetID    `json:"target"`
	// Born tells the target's starts apart.
	Born int64 `json:"born"`
	// AgeMS is how long ago the run broke when the crash is told, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// suspicion is a run that broke; one of its targets may have crashed.
type suspicion struct {
	request identifier.Fingerprint
	targets []identifier.TargetID
	at      time.Time
}

// life is one start of a target.
type life struct {
	target identifier.TargetID
	born   int64
}

// Accuser counts the targets that each request crashed, here and at other nodes.
type Accuser struct {
	alive      map[identifier.TargetID]int64
	suspicions []suspicion
	crashes    map[identifier.Fingerprint]map[life]time.Time
}

// NewAccuser returns an accuser that suspects no request.
func NewAccuser() *Accuser {
	return &Accuser{alive: map[identifier.TargetID]int64{}, crashes: map[identifier.Fingerprint]map[life]time.Time{}}
}

// Suspect notes that a run over targets broke before it showed anything.
func (a *Accuser) Suspect(now time.Time, request identifier.Fingerprint, targets []identifier.TargetID) {
	a.suspicions = append(a.suspicions, suspicion{request: request, targets: targets, at: now})
	if len(a.suspicions) > mostSuspicions {
		a.suspicions = a.suspicions[1:]
	}
}

// SetTargets takes in what is believed of the targets, and returns the crashes that this shows.
func (a *Accuser) SetTargets(now time.Time, targets []registrar.Target) []Crash {
	alive := make(map[identifier.TargetID]int64, len(targets))
	for _, t := range targets {
		if !t.IsEjected {
			alive[t.ID] = t.Born
		}
	}
	fallen := map[identifier.TargetID]int64{}
	for id, born := range a.alive {
		if current, ok := alive[id]; !ok || current != born {
			fallen[id] = born
		}
	}
	a.alive = alive
	if len(fallen) == 0 {
		return nil
	}
	return a.accuse(now, fallen)
}

// accuse returns the crashes of which targets that have fallen speak. A suspicion that has
// come true is over: the next fall of the target is another's.
func (a *Accuser) accuse(now time.Time, fallen map[identifier.TargetID]int64) []Crash {
	var out []Crash
	var open []suspicion
	for _, s := range a.suspicions {
		if now.Sub(s.at) > fallTime {
			continue
		}
		i := slices.IndexFunc(s.targets, func(id identifier.TargetID) bool {
			_, ok := fallen[id]
			return ok
		})
		if i < 0 {
			open = append(open, s)
			continue
		}
		c := Crash{Request: s.request, Target: s.targets[i], Born: fallen[s.targets[i]], AgeMS: now.Sub(s.at).Milliseconds()}
		if a.Tell(now, c) {
			out = append(out, c)
		}
	}
	a.suspicions = open
	return out
}

// Tell takes in a crash, and reports whether it is news.
func (a *Accuser) Tell(now time.Time, c Crash) bool {
	lives, ok := a.crashes[c.Request]
	if !ok {
		if len(a.crashes) >= mostRecords {
			a.forget(now)
		}
		lives = map[life]time.Time{}
		a.crashes[c.Request] = lives
	}
	key := life{target: c.Target, born: c.Born}
	if _, ok := lives[key]; ok {
		return false
	}
	lives[key] = now.Add(-time.Duration(c.AgeMS) * time.Millisecond)
	return true
}

// forget drops what no longer counts, and all when that is nothing.
func (a *Accuser) forget(now time.Time) {
	maps.DeleteFunc(a.crashes, func(_ identifier.Fingerprint, lives map[life]time.Time) bool { return count(now, lives) == 0 })
	if len(a.crashes) >= mostRecords {
		clear(a.crashes)
	}
}

// Clear drops what speaks against a request, as it ran to its end.
func (a *Accuser) Clear(request identifier.Fingerprint) {
	if len(a.crashes) > 0 {
		delete(a.crashes, request)
	}
	if len(a.suspicions) > 0 {
		a.suspicions = slices.DeleteFunc(a.suspicions, func(s suspicion) bool { return s.request == request })
	}
}

// IsGuilty reports whether a request has crashed so many targets that it must not run again.
func (a *Accuser) IsGuilty(now time.Time, request identifier.Fingerprint) bool {
	return count(now, a.crashes[request]) >= guiltyCrashes
}

// count counts the instants that still count and lie apart.
func count(now time.Time, lives map[life]time.Time) int {
	if len(lives) == 0 {
		return 0
	}
	n := 0
	var last time.Time
	for _, at := range slices.SortedFunc(maps.Values(lives), time.Time.Compare) {
		if now.Sub(at) >= forgetTime || (n > 0 && at.Sub(last) < apartTime) {
			continue
		}
		n++
		last = at
	}
	return n
}
