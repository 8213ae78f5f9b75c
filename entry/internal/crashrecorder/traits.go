package crashrecorder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/fingerprinter"
)

const (
	// clearingAnswers is how many answers to requests of a group, without a crash in between, show that
	// the group as a whole does not crash targets.
	clearingAnswers = 10
	// manyTraitCrashes is how many attempts must have crashed targets for one crash in a row less to confirm a trait.
	// It is less than for a request, as each node may try requests with the trait.
	manyTraitCrashes = 3
	// settleTime is how long a trait whose crashes suffice is not confirmed yet: reports of other nodes may
	// show another cause of them all.
	settleTime = 500 * time.Millisecond
	// maxRequestsPerCrash limits the requests with a trait that are kept for the crash of one target.
	maxRequestsPerCrash = 32
	// maxSucceededRequests limits the requests with a trait that are remembered as successful.
	maxSucceededRequests = 64
	// maxOtherCrashes is how many crashes by a request may have another cause than the part of prompts that explains the rest.
	maxOtherCrashes = 1
	// groupPosition is the position of a group, before that of any part of a prompt.
	groupPosition = -1
)

// TraitCrash is a crash as one of several that requests with one trait have caused.
type TraitCrash struct {
	Trait identifier.Fingerprint `json:"trait"`
	// Depth is how many crashes in a row different requests with the trait have caused with this one.
	Depth int `json:"depth"`
}

// trait holds the crashes by different requests that have a group or a part in common.
type trait struct {
	// position is that of the part in prompts, the last one at which it was seen, or groupPosition.
	position int
	// crashes holds, for each target that crashed, the requests that may have caused it, and how many
	// crashes in a row by different requests with the trait this makes.
	crashes map[incarnation]map[identifier.Fingerprint]int
	// suspects are the requests that may have crashed targets, and depth is the highest of their crashes.
	suspects map[identifier.Fingerprint]int
	depth    int
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
	// isOwn says that this node has detected a crash, isTaken that TakeConfirmedTraits has returned the confirmation.
	isOwn   bool
	isTaken bool
}

func newTrait(position int) *trait {
	return &trait{
		position: position, crashes: map[incarnation]map[identifier.Fingerprint]int{},
		suspects: map[identifier.Fingerprint]int{}, succeeded: map[identifier.Fingerprint]bool{},
	}
}

func (t *trait) isPart() bool { return t.position > groupPosition }

// countTargets returns how many targets each request may have crashed.
func (t *trait) countTargets() map[identifier.Fingerprint]int {
	targets := map[identifier.Fingerprint]int{}
	for _, requests := range t.crashes {
		for request := range requests {
			targets[request]++
		}
	}
	return targets
}

// findSuspects finds out which requests may have crashed targets. If one of the requests that a target ran when it
// crashed has crashed others as well, the crash is put down to that one alone.
func (t *trait) findSuspects() {
	targets := t.countTargets()
	clear(t.suspects)
	t.depth = 0
	for _, requests := range t.crashes {
		hasRepeater := false
		for request := range requests {
			hasRepeater = hasRepeater || targets[request] > 1
		}
		for request, depth := range requests {
			if !hasRepeater || targets[request] > 1 {
				t.suspects[request] = max(t.suspects[request], depth)
				t.depth = max(t.depth, depth)
			}
		}
	}
}

// requestDepth returns the depth at which a request has crashed its first target, 0 if it has crashed none.
func (t *trait) requestDepth(request identifier.Fingerprint) int {
	least := 0
	for _, requests := range t.crashes {
		if d, ok := requests[request]; ok && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}

// TraitDepth returns the depth at which a request has crashed its first target as one with a trait, 0 if it has crashed none.
func (x *Recorder) TraitDepth(request, id identifier.Fingerprint) int {
	if t, ok := x.traits[id]; ok {
		return t.requestDepth(request)
	}
	return 0
}

// suffices reports whether the crashes suffice to confirm the trait as poison.
func (t *trait) suffices() bool {
	return t.depth >= confirmingDepth || (t.depth == confirmingDepth-1 && t.attempts >= manyTraitCrashes)
}

func (t *trait) isSettled(now time.Time) bool { return now.Sub(t.knownAt) >= settleTime }

// isConfirmed reports whether requests with a trait are refused.
func (x *Recorder) isConfirmed(now time.Time, t *trait) bool {
	return t.suffices() && now.Sub(t.lastAt) < crashMaxAge && t.isSettled(now) && !x.isExplained(t)
}

// isExplained reports whether a part of prompts explains the crashes of a trait: its requests have caused all of these,
// and either further ones, or the part stands later in prompts, which fewer requests share.
func (x *Recorder) isExplained(t *trait) bool {
	for _, other := range x.traits {
		isStronger := len(other.crashes) > len(t.crashes) || other.position > t.position
		if other != t && isStronger && other.isPart() && other.suffices() && other.hasAll(t) {
			return true
		}
	}
	return false
}

// explainedCrashes returns how many of a request's crashes parts of prompts explain. One part explains those that requests with it
// may have caused, if these have caused about as many in all. Many parts together explain only the crashes of a request that has
// succeeded lately: of innocent prompts, each may have been there at a few of the crashes of a poison request. Of a request that was
// confirmed before, the confirming crash alone may be known, which stands for all of them.
func (x *Recorder) explainedCrashes(now time.Time, r *record) int {
	if len(r.crashes) == 1 {
		return 0
	}
	hasSucceeded := x.successes.IsSound(now, r.key.Request)
	together, explained := map[incarnation]bool{}, 0
	for _, t := range x.traits {
		if !t.isPart() || !t.suffices() {
			continue
		}
		common := t.commonCrashes(r)
		if hasSucceeded {
			for _, key := range common {
				together[key] = true
			}
		}
		if len(t.crashes)+maxOtherCrashes >= len(r.crashes) {
			explained = max(explained, len(common))
		}
	}
	return max(explained, len(together))
}

// commonCrashes returns which of a request's crashes requests with the trait may have caused.
func (t *trait) commonCrashes(r *record) []incarnation {
	var common []incarnation
	for key := range r.crashes {
		if len(t.crashes[key]) > 0 {
			common = append(common, key)
		}
	}
	return common
}

// hasAll reports whether requests with the trait may have caused all crashes of another trait.
func (t *trait) hasAll(other *trait) bool {
	for key := range other.crashes {
		if len(t.crashes[key]) == 0 {
			return false
		}
	}
	return true
}

// drop forgets the crashes that a request seemed to cause.
func (t *trait) drop(request identifier.Fingerprint) {
	if t.requestDepth(request) == 0 {
		return
	}
	for key, requests := range t.crashes {
		delete(requests, request)
		if len(requests) == 0 {
			delete(t.crashes, key)
		}
	}
	t.findSuspects()
}

// recordTraitCrashes records a crash for each trait of its request, and reports whether it was not known before.
func (x *Recorder) recordTraitCrashes(now time.Time, c Crash) bool {
	isNew := c.Group != 0 && x.recordTraitCrash(now, c, TraitCrash{Trait: c.Group, Depth: c.GroupDepth}, groupPosition)
	for i, p := range c.Parts {
		if !x.IsSound(now, p.Trait) {
			isNew = x.recordTraitCrash(now, c, p, i) || isNew
		}
	}
	return isNew
}

func (x *Recorder) recordTraitCrash(now time.Time, c Crash, as TraitCrash, position int) bool {
	t, ok := x.traits[as.Trait]
	if !ok {
		evict(now, x.traits, func(t *trait) weight { return weight{depth: t.depth, lastAt: t.lastAt} })
		t = newTrait(position)
		x.traits[as.Trait] = t
	}
	t.position = max(t.position, position)
	key := incarnation{target: c.Target, number: c.Incarnation}
	depth := max(1, as.Depth)
	requests, ok := t.crashes[key]
	if requests[c.Request] >= depth || (!ok && len(t.crashes) >= maxCrashesPerRequest) {
		return false
	}
	if !ok {
		requests = map[identifier.Fingerprint]int{}
		t.crashes[key] = requests
	}
	if requests[c.Request] == 0 && len(requests) >= maxRequestsPerCrash {
		return false
	}
	if requests[c.Request] == 0 {
		t.answers, t.hasSucceeded, t.isTaken = 0, false, false
		if !c.IsFurther {
			t.attempts++
		}
	}
	requests[c.Request] = depth
	before := t.depth
	t.findSuspects()
	if t.depth > before {
		t.knownAt = now
	}
	if at := c.happenedAt(now); at.After(t.lastAt) {
		t.lastAt = at
	}
	return true
}

// dropFromTraits drops the crashes that a request seemed to cause from its traits, and returns those that are cleared by that.
func (x *Recorder) dropFromTraits(key fingerprinter.Key) []identifier.Fingerprint {
	var cleared []identifier.Fingerprint
	for id := range key.Traits() {
		t, ok := x.traits[id]
		if !ok {
			continue
		}
		t.drop(key.Request)
		if len(t.crashes) == 0 {
			delete(x.traits, id)
			cleared = append(cleared, id)
		}
	}
	return cleared
}

// noteGroupAnswer notes that a request of a group was answered, and reports whether the group is cleared by that.
func (x *Recorder) noteGroupAnswer(key fingerprinter.Key, isSuccess bool) bool {
	t, ok := x.traits[key.Group]
	if !ok {
		return false
	}
	if isSuccess && len(t.succeeded) < maxSucceededRequests {
		t.succeeded[key.Request] = true
	}
	t.hasSucceeded = t.hasSucceeded || isSuccess
	t.answers++
	if t.answers < clearingAnswers || t.suffices() {
		return false
	}
	delete(x.traits, key.Group)
	return true
}

// NoteWritten notes that a target has written an answer on the parts of a request's prompt, which proves that these crash
// none, and returns the parts whose crashes count no more.
func (x *Recorder) NoteWritten(now time.Time, key fingerprinter.Key) []identifier.Fingerprint {
	var cleared []identifier.Fingerprint
	for _, id := range key.Parts {
		if _, ok := x.traits[id]; ok {
			delete(x.traits, id)
			cleared = append(cleared, id)
		}
		x.proofs.Note(now, id)
	}
	return cleared
}

// IsSound reports whether a target has written an answer on a part of a prompt lately, so that nothing speaks against it.
func (x *Recorder) IsSound(now time.Time, part identifier.Fingerprint) bool {
	return x.proofs.IsSound(now, part)
}

// traitHistory returns what is known of the crashes of a trait.
func (x *Recorder) traitHistory(now time.Time, id identifier.Fingerprint) History {
	t, ok := x.traits[id]
	if !ok || now.Sub(t.lastAt) >= crashMaxAge {
		return History{}
	}
	return History{Depth: t.depth, KnownAt: t.knownAt, Attempts: t.attempts, Requests: len(t.suspects), LastAt: t.lastAt}
}

// hasConfirmedTrait reports whether a request is refused because one of its traits is confirmed as poison.
func (x *Recorder) hasConfirmedTrait(now time.Time, key fingerprinter.Key) bool {
	for id := range key.Traits() {
		// A trait that was stored as poison is known under its id only.
		if x.IsRequestConfirmed(now, id) {
			return true
		}
		if t, ok := x.traits[id]; ok && !t.succeeded[key.Request] && x.isConfirmed(now, t) {
			return true
		}
	}
	return false
}

// IsTraitOpen reports whether it is open if a trait of a request is poison: no request with it has succeeded since its
// last crash, or its crashes suffice and the request itself has not succeeded.
func (x *Recorder) IsTraitOpen(now time.Time, request, id identifier.Fingerprint) bool {
	t, ok := x.traits[id]
	return ok && now.Sub(t.lastAt) < crashMaxAge && (!t.hasSucceeded || x.IsTraitSettling(now, request, id))
}

// IsTraitSettling reports whether a trait of a request is about to be confirmed as poison, unless reports of other
// nodes show another cause.
func (x *Recorder) IsTraitSettling(now time.Time, request, id identifier.Fingerprint) bool {
	t, ok := x.traits[id]
	return ok && !t.isSettled(now) && t.suffices() && !t.succeeded[request]
}

// ConfirmedTrait is a trait that was confirmed as poison.
type ConfirmedTrait struct {
	// Crash alone confirms the trait; its Request is the trait.
	Crash Crash
	// IsOwn says that this node has detected a crash by a request with the trait.
	IsOwn bool
	// IsPart says that the trait is a part of prompts.
	IsPart bool
}

// TakeConfirmedTraits returns the traits that were confirmed as poison since the last call, or have crashed a target again.
func (x *Recorder) TakeConfirmedTraits(now time.Time) []ConfirmedTrait {
	var out []ConfirmedTrait
	for id, t := range x.traits {
		if t.isTaken || !x.isConfirmed(now, t) {
			continue
		}
		t.isTaken = true
		for key := range t.crashes {
			out = append(out, ConfirmedTrait{Crash: ConfirmingCrash(id, key.target, key.number, now.Sub(t.lastAt)), IsOwn: t.isOwn, IsPart: t.isPart()})
			break
		}
	}
	return out
}
