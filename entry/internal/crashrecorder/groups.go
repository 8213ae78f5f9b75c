package crashrecorder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// clearingAnswers is how many answers to requests of a group, without a crash in between, show that
	// the group as a whole does not crash targets.
	clearingAnswers = 10
	// manyGroupCrashes is how many attempts must have crashed targets for one crash in a row less to confirm a group.
	// It is less than for a request, as each node may try the group.
	manyGroupCrashes = 3
	// settleTime is how long a group whose crashes suffice is not confirmed yet: reports of other nodes may
	// show that one request of it has caused them all.
	settleTime = 500 * time.Millisecond
	// maxRequestsPerCrash limits the requests of a group that are kept for the crash of one target.
	maxRequestsPerCrash = 32
	// maxSucceededRequests limits the requests of a group that are remembered as successful.
	maxSucceededRequests = 64
)

// RequestKey identifies a request. A poison request may come again with a difference that does not
// matter to the targets, so that it is another request of the same group.
type RequestKey struct {
	// Request is the same for requests of one account with the same method, host, path, query and body.
	Request identifier.Fingerprint
	// Group is the same for requests of one account with the same path and body.
	Group identifier.Fingerprint
}

// group holds the crashes by different requests of one group.
type group struct {
	// crashes holds, for each target that crashed, the requests that may have caused it, and how many
	// crashes in a row by different requests of the group this makes.
	crashes map[incarnation]map[identifier.Fingerprint]int
	// attempts counts the attempts that crashed targets.
	attempts int
	// succeeded holds requests that have succeeded since the first crash, hasSucceeded says that one has since the last one.
	succeeded    map[identifier.Fingerprint]bool
	hasSucceeded bool
	// answers counts the answers since the last crash.
	answers int
	// knownAt is when the depth became known, lastAt when the last crash happened.
	knownAt time.Time
	lastAt  time.Time
	// isOwn says that this node has detected a crash, isTaken that TakeConfirmedGroups has returned the confirmation.
	isOwn   bool
	isTaken bool
}

// repeaters returns the requests that have crashed more than one target.
func (g *group) repeaters() map[identifier.Fingerprint]bool {
	targets := map[identifier.Fingerprint]int{}
	for _, requests := range g.crashes {
		for request := range requests {
			targets[request]++
		}
	}
	out := map[identifier.Fingerprint]bool{}
	for request, n := range targets {
		if n > 1 {
			out[request] = true
		}
	}
	return out
}

// suspects returns the requests that may have crashed targets, each with the depth of its crashes. If one of the requests
// that a target ran when it crashed has crashed others as well, the crash is put down to that one alone.
func (g *group) suspects() map[identifier.Fingerprint]int {
	repeaters := g.repeaters()
	suspects := map[identifier.Fingerprint]int{}
	for _, requests := range g.crashes {
		hasRepeater := false
		for request := range requests {
			hasRepeater = hasRepeater || repeaters[request]
		}
		for request, depth := range requests {
			if !hasRepeater || repeaters[request] {
				suspects[request] = max(suspects[request], depth)
			}
		}
	}
	return suspects
}

// depth returns how many crashes in a row different requests of the group have caused.
func (g *group) depth() int {
	depth := 0
	for _, d := range g.suspects() {
		depth = max(depth, d)
	}
	return depth
}

// requestDepth returns the depth at which a request has crashed its first target, 0 if it has crashed none.
func (g *group) requestDepth(request identifier.Fingerprint) int {
	least := 0
	for _, requests := range g.crashes {
		if d, ok := requests[request]; ok && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}

// GroupDepth returns the depth at which a request has crashed its first target as one of its group, 0 if it has crashed none.
func (x *Recorder) GroupDepth(key RequestKey) int {
	if g, ok := x.groups[key.Group]; ok {
		return g.requestDepth(key.Request)
	}
	return 0
}

// suffices reports whether the crashes suffice to confirm the group as poison.
func (g *group) suffices() bool {
	depth := g.depth()
	return depth >= confirmingDepth || (depth == confirmingDepth-1 && g.attempts >= manyGroupCrashes)
}

func (g *group) isConfirmed(now time.Time) bool {
	return now.Sub(g.lastAt) < crashMaxAge && now.Sub(g.knownAt) >= settleTime && g.suffices()
}

// drop forgets the crashes that a request seemed to cause.
func (g *group) drop(request identifier.Fingerprint) {
	for key, requests := range g.crashes {
		delete(requests, request)
		if len(requests) == 0 {
			delete(g.crashes, key)
		}
	}
}

// recordGroupCrash records a crash for the group of its request, and reports whether it was not known before.
func (x *Recorder) recordGroupCrash(now time.Time, c Crash) bool {
	if c.Group == 0 {
		return false
	}
	g, ok := x.groups[c.Group]
	if !ok {
		evict(now, x.groups, func(g *group) weight { return weight{depth: g.depth(), lastAt: g.lastAt} })
		g = &group{crashes: map[incarnation]map[identifier.Fingerprint]int{}, succeeded: map[identifier.Fingerprint]bool{}}
		x.groups[c.Group] = g
	}
	key := incarnation{target: c.Target, number: c.Incarnation}
	depth := max(1, c.GroupDepth)
	requests, ok := g.crashes[key]
	if requests[c.Request] >= depth || (!ok && len(g.crashes) >= maxCrashesPerRequest) {
		return false
	}
	if !ok {
		requests = map[identifier.Fingerprint]int{}
		g.crashes[key] = requests
	}
	if requests[c.Request] == 0 && len(requests) >= maxRequestsPerCrash {
		return false
	}
	before := g.depth()
	if requests[c.Request] == 0 {
		g.answers, g.hasSucceeded, g.isTaken = 0, false, false
		if !c.IsFurther {
			g.attempts++
		}
	}
	requests[c.Request] = depth
	if g.depth() > before {
		g.knownAt = now
	}
	if at := c.happenedAt(now); at.After(g.lastAt) {
		g.lastAt = at
	}
	return true
}

// dropFromGroup drops the crashes that a request seemed to cause from its group, and reports whether the group is
// cleared by that.
func (x *Recorder) dropFromGroup(key RequestKey) bool {
	g, ok := x.groups[key.Group]
	if !ok {
		return false
	}
	g.drop(key.Request)
	if len(g.crashes) > 0 {
		return false
	}
	delete(x.groups, key.Group)
	return true
}

// noteGroupAnswer notes that a request of a group was answered, and reports whether the group is cleared by that.
func (x *Recorder) noteGroupAnswer(key RequestKey, isSuccess bool) bool {
	if isSuccess && x.dropFromGroup(key) {
		return true
	}
	g, ok := x.groups[key.Group]
	if !ok {
		return false
	}
	if isSuccess && len(g.succeeded) < maxSucceededRequests {
		g.succeeded[key.Request] = true
	}
	g.hasSucceeded = g.hasSucceeded || isSuccess
	g.answers++
	if g.answers < clearingAnswers || g.suffices() {
		return false
	}
	delete(x.groups, key.Group)
	return true
}

// groupHistory returns what is known of the crashes of a group.
func (x *Recorder) groupHistory(now time.Time, id identifier.Fingerprint) History {
	g, ok := x.groups[id]
	if !ok || now.Sub(g.lastAt) >= crashMaxAge {
		return History{}
	}
	return History{Depth: g.depth(), KnownAt: g.knownAt, Attempts: g.attempts, Requests: len(g.suspects())}
}

// isGroupConfirmed reports whether a request is refused because its group is confirmed as poison.
func (x *Recorder) isGroupConfirmed(now time.Time, key RequestKey) bool {
	// A group that was stored as poison is known under its id only.
	if x.IsRequestConfirmed(now, key.Group) {
		return true
	}
	g, ok := x.groups[key.Group]
	return ok && !g.succeeded[key.Request] && g.isConfirmed(now)
}

// IsGroupOpen reports whether it is open if the group of a request is poison: no request of it has succeeded since its
// last crash, or its crashes suffice and the request itself has not succeeded.
func (x *Recorder) IsGroupOpen(now time.Time, key RequestKey) bool {
	g, ok := x.groups[key.Group]
	return ok && now.Sub(g.lastAt) < crashMaxAge && (!g.hasSucceeded || x.IsGroupSettling(now, key))
}

// IsGroupSettling reports whether the group of a request is about to be confirmed as poison, unless reports of other
// nodes show another cause.
func (x *Recorder) IsGroupSettling(now time.Time, key RequestKey) bool {
	g, ok := x.groups[key.Group]
	return ok && now.Sub(g.knownAt) < settleTime && g.suffices() && !g.succeeded[key.Request]
}

// ConfirmedGroup is a group that was confirmed as poison.
type ConfirmedGroup struct {
	// Crash alone confirms the group; its Request is the group.
	Crash Crash
	// IsOwn says that this node has detected a crash by the group.
	IsOwn bool
}

// TakeConfirmedGroups returns the groups that were confirmed as poison since the last call, or have crashed a target again.
func (x *Recorder) TakeConfirmedGroups(now time.Time) []ConfirmedGroup {
	var out []ConfirmedGroup
	for id, g := range x.groups {
		if g.isTaken || !g.isConfirmed(now) {
			continue
		}
		g.isTaken = true
		for key := range g.crashes {
			out = append(out, ConfirmedGroup{Crash: ConfirmingCrash(id, key.target, key.number, now.Sub(g.lastAt)), IsOwn: g.isOwn})
			break
		}
	}
	return out
}
