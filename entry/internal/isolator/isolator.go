package isolator

import (
	"maps"
	"sort"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// suspectFor is how long a fingerprint stays suspect without a verdict.
	suspectFor = 3 * time.Second
	// trialLimit is how long a trial may last before its target is free for another.
	trialLimit = 3 * time.Second
	// convictedFor is how long a conviction is remembered, and convictedLimit how many are.
	convictedFor   = 30 * time.Minute
	convictedLimit = 4096
	// judgeAfter is how long peers have to tell of suspects of theirs at a target that died.
	judgeAfter = 50 * time.Millisecond
	// aliveFor is how long a target counts as alive after it was heard.
	aliveFor = 20 * time.Millisecond
	// settleAfter is how long peers have to say that they want a target too.
	settleAfter = 15 * time.Millisecond
	// voidPause is the time between the suspects of a target that died under several.
	voidPause = 300 * time.Millisecond
	// lostFor is how long a target that died is tried no more, unless it was heard since.
	lostFor = 10 * time.Second
	// freeLimit is how many targets a request may lose while there was none to try it at alone.
	freeLimit = 3
	// repeatFor is how long a verdict is told again, so that a lost notice costs little.
	repeatFor = time.Second
)

// Route is an effect that hands an event to the shard of its draft.
type Route struct{ Event Ruling }

type phase int

const (
	// probing waits for a sign that the target is alive, so that its death says something.
	probing phase = iota
	// queued waits until the suspects of peers leave the target to this one.
	queued
	running
	// judging waits for peers to tell of suspects of theirs at the target, which died.
	judging
)

// trial is the run of one suspect alone at one target.
type trial struct {
	lost  StageLost
	phase phase
	since time.Time
	until time.Time
	// others holds the suspects that peers tried at the target when it died.
	others map[string]bool
}

// Isolator is the sub-reducer of crashing requests.
type Isolator struct {
	waiting []StageLost
	trials  map[identifier.TargetID]*trial
	remote  map[identifier.NodeID]*remote
	// notBefore holds the instants before which drafts are not tried.
	notBefore map[identifier.DraftID]time.Time
	suspects  map[string]time.Time
	convicted map[string]time.Time
	// freely counts the targets that a request lost while there was none to try it at.
	freely  map[string]int
	lostAt  map[identifier.TargetID]time.Time
	aliveAt map[identifier.TargetID]time.Time
	targets map[identifier.TargetID]watcher.Target
	peers   map[identifier.NodeID]heartbeater.Peer

	// cleared and newly hold the verdicts to be told, and until when, as notices overtake
	// each other; sent is what was told last.
	cleared, newly map[string]time.Time
	sent           Notice
	sentAt         time.Time
}

// NewIsolator returns an isolator that suspects no request.
func NewIsolator() *Isolator {
	return &Isolator{
		trials:    map[identifier.TargetID]*trial{},
		remote:    map[identifier.NodeID]*remote{},
		notBefore: map[identifier.DraftID]time.Time{},
		suspects:  map[string]time.Time{},
		convicted: map[string]time.Time{},
		freely:    map[string]int{},
		lostAt:    map[identifier.TargetID]time.Time{},
		aliveAt:   map[identifier.TargetID]time.Time{},
		targets:   map[identifier.TargetID]watcher.Target{},
		peers:     map[identifier.NodeID]heartbeater.Peer{},
		cleared:   map[string]time.Time{},
		newly:     map[string]time.Time{},
	}
}

// Apply takes one event and returns what to do.
func (i *Isolator) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	effects := i.decide(now, event)
	effects = append(effects, i.schedule(now)...)
	effects = append(effects, i.begin(now)...)
	return append(effects, i.tell(now)...)
}

func (i *Isolator) decide(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case StageLost:
		return i.lost(now, ev)
	case StagePassed:
		return i.passed(now, ev)
	case Heard:
		return i.heard(now, ev.Notice)
	case watcher.StatusRead:
		i.probed(now, ev.Status.Target)
	case watcher.StatusFailed:
		i.probeFailed(now, ev.Target)
	case watcher.TargetsChanged:
		clear(i.targets)
		for _, t := range ev.Targets {
			i.targets[t.ID] = t
		}
	case heartbeater.PeersChanged:
		return i.peersChanged(ev)
	case messenger.Tick:
		return i.tick(now)
	}
	return nil
}

// lost takes a draft whose target died. The death under a trial of it convicts it, after peers could speak.
func (i *Isolator) lost(now time.Time, ev StageLost) []messenger.Effect {
	i.targetLost(now, ev.Target)
	t, ok := i.trials[ev.Target]
	isTrial := ok && ev.Ruled && t.phase == running && t.lost.Draft == ev.Draft
	if _, ok := i.convicted[ev.Fingerprint]; ok {
		if isTrial {
			delete(i.trials, ev.Target)
		}
		return []messenger.Effect{rule(ev, Refuse, "")}
	}
	effects := i.suspect(now, ev.Fingerprint)
	effects = append(effects, log(eventlogger.RequestSuspected, ev.Draft, "target", ev.Target, "ruled", ev.Ruled, "candidates", len(ev.Candidates)))
	if isTrial {
		t.lost, t.phase, t.until = ev, judging, now.Add(judgeAfter)
		t.others = i.triedByPeers(ev.Target, ev.Fingerprint)
		return effects
	}
	i.waiting = append(i.waiting, ev)
	return effects
}

// targetLost takes a target out of the choice; a trial that had not begun there goes elsewhere.
func (i *Isolator) targetLost(now time.Time, target identifier.TargetID) {
	i.lostAt[target] = now
	delete(i.aliveAt, target)
	if t, ok := i.trials[target]; ok && t.phase < running {
		delete(i.trials, target)
		i.waiting = append([]StageLost{t.lost}, i.waiting...)
	}
}

func (i *Isolator) suspect(now time.Time, fingerprint string) []messenger.Effect {
	_, known := i.suspects[fingerprint]
	i.suspects[fingerprint] = now.Add(suspectFor)
	if known {
		return nil
	}
	return []messenger.Effect{i.broadcastSuspects()}
}

// passed clears a suspect; others with the same body go on freely.
func (i *Isolator) passed(now time.Time, ev StagePassed) []messenger.Effect {
	i.aliveAt[ev.Target] = now
	if t, ok := i.trials[ev.Target]; ok && t.lost.Draft == ev.Draft {
		delete(i.trials, ev.Target)
	}
	i.dropWanted(ev.Fingerprint)
	i.cleared[ev.Fingerprint] = now.Add(repeatFor)
	effects := []messenger.Effect{log(eventlogger.RequestCleared, ev.Draft, "target", ev.Target)}
	return append(effects, i.clear(ev.Fingerprint)...)
}

func (i *Isolator) clear(fingerprint string) []messenger.Effect {
	delete(i.suspects, fingerprint)
	delete(i.freely, fingerprint)
	effects := []messenger.Effect{i.broadcastSuspects()}
	return append(effects, i.ruleWaiting(fingerprint, RunFreely)...)
}

// judge convicts the suspect under which its target died, unless a peer tried another
// there at the same time: then either may be innocent, and both are tried again.
func (i *Isolator) judge(now time.Time, target identifier.TargetID, t *trial) []messenger.Effect {
	delete(i.trials, target)
	maps.Copy(t.others, i.triedByPeers(target, t.lost.Fingerprint))
	if len(t.others) > 0 {
		// They go one after the other now, however slow their nodes hear each other.
		for f := range t.others {
			if f < t.lost.Fingerprint {
				i.notBefore[t.lost.Draft] = messenger.Later(i.notBefore[t.lost.Draft], now).Add(voidPause)
			}
		}
		i.waiting = append(i.waiting, t.lost)
		return []messenger.Effect{log(eventlogger.TrialVoid, t.lost.Draft, "target", target)}
	}
	effects := []messenger.Effect{log(eventlogger.RequestConvicted, t.lost.Draft, "target", target), rule(t.lost, Refuse, "")}
	i.newly[t.lost.Fingerprint] = now.Add(repeatFor)
	return append(effects, i.convict(now, t.lost.Fingerprint)...)
}

func (i *Isolator) convict(now time.Time, fingerprint string) []messenger.Effect {
	if _, ok := i.convicted[fingerprint]; !ok && len(i.convicted) >= convictedLimit {
		i.forgetOldest()
	}
	i.convicted[fingerprint] = now.Add(convictedFor)
	i.dropWanted(fingerprint)
	delete(i.suspects, fingerprint)
	delete(i.freely, fingerprint)
	effects := []messenger.Effect{messenger.Broadcast{Event: Convicted{Fingerprints: keys(i.convicted)}}, i.broadcastSuspects()}
	return append(effects, i.ruleWaiting(fingerprint, Refuse)...)
}

func (i *Isolator) forgetOldest() {
	oldest := ""
	for _, f := range keys(i.convicted) {
		if oldest == "" || i.convicted[f].Before(i.convicted[oldest]) {
			oldest = f
		}
	}
	delete(i.convicted, oldest)
}

// dropWanted puts the drafts of trials that have not begun back to those that wait.
func (i *Isolator) dropWanted(fingerprint string) {
	for _, target := range keys(i.trials) {
		if t := i.trials[target]; t.lost.Fingerprint == fingerprint && t.phase < running {
			delete(i.trials, target)
			i.waiting = append(i.waiting, t.lost)
		}
	}
}

// ruleWaiting ends the wait of every draft with the fingerprint.
func (i *Isolator) ruleWaiting(fingerprint string, kind RulingKind) []messenger.Effect {
	var effects []messenger.Effect
	var rest []StageLost
	for _, l := range i.waiting {
		if l.Fingerprint != fingerprint {
			rest = append(rest, l)
			continue
		}
		effects = append(effects, rule(l, kind, ""))
	}
	i.waiting = rest
	return effects
}

func (i *Isolator) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, target := range keys(i.trials) {
		t := i.trials[target]
		if t.until.After(now) {
			continue
		}
		if t.phase == judging {
			effects = append(effects, i.judge(now, target, t)...)
			continue
		}
		delete(i.trials, target)
		if t.phase != running {
			i.waiting = append(i.waiting, t.lost)
		}
	}
	for _, l := range i.waiting {
		i.suspects[l.Fingerprint] = now.Add(suspectFor)
	}
	effects = append(effects, i.forget(now)...)
	return effects
}

// forget drops what is too old to matter.
func (i *Isolator) forget(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	if dropOld(i.suspects, now) {
		effects = append(effects, i.broadcastSuspects())
	}
	if dropOld(i.convicted, now) {
		effects = append(effects, messenger.Broadcast{Event: Convicted{Fingerprints: keys(i.convicted)}})
	}
	dropOld(i.notBefore, now)
	dropOld(i.cleared, now)
	dropOld(i.newly, now)
	dropOld(i.lostAt, now.Add(-lostFor))
	dropOld(i.aliveAt, now.Add(-lostFor))
	effects = append(effects, i.forgetPeers(now)...)
	return effects
}

func (i *Isolator) broadcastSuspects() messenger.Effect {
	all := maps.Clone(i.suspects)
	for _, r := range i.remote {
		for _, f := range r.suspects {
			all[f] = r.until
		}
	}
	return messenger.Broadcast{Event: Suspected{Fingerprints: keys(all)}}
}

// keys returns a map's keys in order.
func keys[K ~string, V any](m map[K]V) []K {
	found := make([]K, 0, len(m))
	for k := range m {
		found = append(found, k)
	}
	sort.Slice(found, func(a, b int) bool { return found[a] < found[b] })
	return found
}

// dropOld removes the instants that have passed and reports whether there were any.
func dropOld[K comparable](m map[K]time.Time, now time.Time) bool {
	n := len(m)
	for k, until := range m {
		if !until.After(now) {
			delete(m, k)
		}
	}
	return len(m) < n
}

func rule(l StageLost, kind RulingKind, target identifier.TargetID) messenger.Effect {
	return Route{Event: Ruling{Draft: l.Draft, Kind: kind, Target: target}}
}

func log(event eventlogger.Event, draft identifier.DraftID, values ...any) messenger.Effect {
	return messenger.Log{Event: event, Subject: "request/" + string(draft), Values: values}
}
