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
	// candidateTTL is how long a fingerprint stays a poison candidate without a decision.
	candidateTTL = 3 * time.Second
	// trialTimeout limits a trial, after which its target is free for another one.
	trialTimeout = 3 * time.Second
	// confirmedTTL is how long confirmed poison is remembered, and maxConfirmed how many
	// fingerprints are.
	confirmedTTL = 30 * time.Minute
	maxConfirmed = 4096
	// peerReportWindow is how long peers have to report candidates of theirs that ran at a failed
	// target.
	peerReportWindow = 50 * time.Millisecond
	// aliveWindow is how long a target counts as alive after its last sign of life.
	aliveWindow = 20 * time.Millisecond
	// peerClaimWindow is how long peers have to report that they want to use the target too.
	peerClaimWindow = 15 * time.Millisecond
	// inconclusiveTrialBackoff is the delay between the next trials of candidates that were tried at
	// the same target when it failed.
	inconclusiveTrialBackoff = 300 * time.Millisecond
	// lostTargetTTL is how long a failed target is not used for trials, unless it shows a sign of
	// life.
	lostTargetTTL = 10 * time.Second
	// maxUntriedLosses is how many targets a request may lose in a row while none was available for a
	// trial. Losses further apart than untriedLossTTL have causes of their own.
	maxUntriedLosses = 3
	untriedLossTTL   = time.Minute
	// decisionRepeatWindow is how long a decision is repeated to peers, so that a lost notice does
	// little harm.
	decisionRepeatWindow = time.Second
)

// Route is an effect that delivers an event to the shard of its draft.
type Route struct{ Event Decision }

type trialPhase int

const (
	// trialProbing: waits for a sign of life of the target. Without it, a failure would prove
	// nothing.
	trialProbing trialPhase = iota
	// trialQueued: waits until no candidate of a peer has precedence at the target.
	trialQueued
	trialRunning
	// trialEvaluating: the target failed; waits for peers to report candidates of theirs that ran
	// there.
	trialEvaluating
)

// trial is the run of one poison candidate at a target without other candidates.
type trial struct {
	lost      StageLost
	phase     trialPhase
	queuedAt  time.Time
	expiresAt time.Time
	// others holds the candidates that peers ran at the target when it failed.
	others map[string]bool
}

// Isolator is the reducer that finds requests that crash targets.
type Isolator struct {
	pending    []StageLost
	trials     map[identifier.TargetID]*trial
	peerStates map[identifier.NodeID]*peerState
	// nextTrialAt holds the earliest time of the next trial, by draft.
	nextTrialAt map[identifier.DraftID]time.Time
	candidates  map[string]time.Time
	confirmed   map[string]time.Time
	// untriedLosses counts the targets that a request lost while none was available for a trial, and
	// untriedUntil holds until when they count.
	untriedLosses map[string]int
	untriedUntil  map[string]time.Time
	targetLostAt  map[identifier.TargetID]time.Time
	targetAliveAt map[identifier.TargetID]time.Time
	targets       map[identifier.TargetID]watcher.Target
	peers         map[identifier.NodeID]heartbeater.Peer

	// cleared and newlyConfirmed hold the decisions to report, and until when: notices may be
	// reordered, so decisions are repeated. lastNotice is the last one sent.
	cleared, newlyConfirmed map[string]time.Time
	lastNotice              Notice
	lastNoticeAt            time.Time
}

// NewIsolator returns an Isolator without poison candidates.
func NewIsolator() *Isolator {
	return &Isolator{
		trials:         map[identifier.TargetID]*trial{},
		peerStates:     map[identifier.NodeID]*peerState{},
		nextTrialAt:    map[identifier.DraftID]time.Time{},
		candidates:     map[string]time.Time{},
		confirmed:      map[string]time.Time{},
		untriedLosses:  map[string]int{},
		untriedUntil:   map[string]time.Time{},
		targetLostAt:   map[identifier.TargetID]time.Time{},
		targetAliveAt:  map[identifier.TargetID]time.Time{},
		targets:        map[identifier.TargetID]watcher.Target{},
		peers:          map[identifier.NodeID]heartbeater.Peer{},
		cleared:        map[string]time.Time{},
		newlyConfirmed: map[string]time.Time{},
	}
}

// Apply applies one event and returns the effects to run.
func (i *Isolator) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	effects := i.handle(now, event)
	effects = append(effects, i.scheduleTrials(now)...)
	effects = append(effects, i.startTrials(now)...)
	return append(effects, i.notifyPeers(now)...)
}

func (i *Isolator) handle(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case StageLost:
		return i.handleStageLost(now, ev)
	case StagePassed:
		return i.handleStagePassed(now, ev)
	case NoticeReceived:
		return i.handleNotice(now, ev.Notice)
	case watcher.StatusRead:
		i.handleProbed(now, ev.Status.Target)
	case watcher.StatusFailed:
		i.handleProbeFailed(now, ev.Target)
	case watcher.TargetsChanged:
		clear(i.targets)
		for _, t := range ev.Targets {
			i.targets[t.ID] = t
		}
	case heartbeater.PeersChanged:
		return i.handlePeersChanged(ev)
	case messenger.Tick:
		return i.tick(now)
	}
	return nil
}

// handleStageLost handles the failure of a draft's target. If the draft was on trial there, the
// trial is evaluated after peers had time to report.
func (i *Isolator) handleStageLost(now time.Time, ev StageLost) []messenger.Effect {
	i.markTargetLost(now, ev.Target)
	t, ok := i.trials[ev.Target]
	isTrial := ok && ev.WasAlone && t.phase == trialRunning && t.lost.Draft == ev.Draft
	if _, ok := i.confirmed[ev.Fingerprint]; ok {
		if isTrial {
			delete(i.trials, ev.Target)
		}
		return []messenger.Effect{routeDecision(ev, Refuse, "")}
	}
	effects := i.addCandidate(now, ev.Fingerprint)
	effects = append(effects, logEffect(eventlogger.RequestSuspected, ev.Draft, "target", ev.Target, "ruled", ev.WasAlone, "candidates", len(ev.Candidates)))
	if isTrial {
		t.lost, t.phase, t.expiresAt = ev, trialEvaluating, now.Add(peerReportWindow)
		t.others = i.peerTrials(ev.Target, ev.Fingerprint)
		return effects
	}
	i.pending = append(i.pending, ev)
	return effects
}

// markTargetLost excludes a target from trials. A trial that has not started there is queued again.
func (i *Isolator) markTargetLost(now time.Time, target identifier.TargetID) {
	i.targetLostAt[target] = now
	delete(i.targetAliveAt, target)
	if t, ok := i.trials[target]; ok && t.phase < trialRunning {
		delete(i.trials, target)
		i.pending = append([]StageLost{t.lost}, i.pending...)
	}
}

func (i *Isolator) addCandidate(now time.Time, fingerprint string) []messenger.Effect {
	_, known := i.candidates[fingerprint]
	i.candidates[fingerprint] = now.Add(candidateTTL)
	if known {
		return nil
	}
	return []messenger.Effect{i.broadcastCandidates()}
}

// handleStagePassed clears a candidate. All pending drafts with the same fingerprint continue
// without restrictions.
func (i *Isolator) handleStagePassed(now time.Time, ev StagePassed) []messenger.Effect {
	i.targetAliveAt[ev.Target] = now
	if t, ok := i.trials[ev.Target]; ok && t.lost.Draft == ev.Draft {
		delete(i.trials, ev.Target)
	}
	i.requeueUnstarted(ev.Fingerprint)
	i.cleared[ev.Fingerprint] = now.Add(decisionRepeatWindow)
	effects := []messenger.Effect{logEffect(eventlogger.RequestCleared, ev.Draft, "target", ev.Target)}
	return append(effects, i.clearCandidate(ev.Fingerprint)...)
}

func (i *Isolator) clearCandidate(fingerprint string) []messenger.Effect {
	delete(i.candidates, fingerprint)
	delete(i.untriedLosses, fingerprint)
	effects := []messenger.Effect{i.broadcastCandidates()}
	return append(effects, i.resolvePending(fingerprint, RunUnrestricted)...)
}

// evaluateTrial confirms the candidate as poison, unless a peer tried another candidate at the
// target at the same time. Then either could be harmless, and both are tried again.
func (i *Isolator) evaluateTrial(now time.Time, target identifier.TargetID, t *trial) []messenger.Effect {
	delete(i.trials, target)
	maps.Copy(t.others, i.peerTrials(target, t.lost.Fingerprint))
	if len(t.others) > 0 {
		// Stagger the new trials, so that they do not coincide even if notices between the nodes
		// are slow.
		for f := range t.others {
			if f < t.lost.Fingerprint {
				i.nextTrialAt[t.lost.Draft] = messenger.Later(i.nextTrialAt[t.lost.Draft], now).Add(inconclusiveTrialBackoff)
			}
		}
		i.pending = append(i.pending, t.lost)
		return []messenger.Effect{logEffect(eventlogger.TrialInconclusive, t.lost.Draft, "target", target)}
	}
	effects := []messenger.Effect{logEffect(eventlogger.PoisonConfirmed, t.lost.Draft, "target", target), routeDecision(t.lost, Refuse, "")}
	i.newlyConfirmed[t.lost.Fingerprint] = now.Add(decisionRepeatWindow)
	return append(effects, i.confirmPoison(now, t.lost.Fingerprint)...)
}

func (i *Isolator) confirmPoison(now time.Time, fingerprint string) []messenger.Effect {
	if _, ok := i.confirmed[fingerprint]; !ok && len(i.confirmed) >= maxConfirmed {
		i.evictOldestConfirmed()
	}
	i.confirmed[fingerprint] = now.Add(confirmedTTL)
	i.requeueUnstarted(fingerprint)
	delete(i.candidates, fingerprint)
	delete(i.untriedLosses, fingerprint)
	effects := []messenger.Effect{messenger.Broadcast{Event: PoisonConfirmed{Fingerprints: sortedKeys(i.confirmed)}}, i.broadcastCandidates()}
	return append(effects, i.resolvePending(fingerprint, Refuse)...)
}

func (i *Isolator) evictOldestConfirmed() {
	oldest := ""
	for _, f := range sortedKeys(i.confirmed) {
		if oldest == "" || i.confirmed[f].Before(i.confirmed[oldest]) {
			oldest = f
		}
	}
	delete(i.confirmed, oldest)
}

// requeueUnstarted returns the drafts of trials that have not started to the pending ones.
func (i *Isolator) requeueUnstarted(fingerprint string) {
	for _, target := range sortedKeys(i.trials) {
		if t := i.trials[target]; t.lost.Fingerprint == fingerprint && t.phase < trialRunning {
			delete(i.trials, target)
			i.pending = append(i.pending, t.lost)
		}
	}
}

// resolvePending sends the same decision to every pending draft with the fingerprint.
func (i *Isolator) resolvePending(fingerprint string, kind DecisionKind) []messenger.Effect {
	var effects []messenger.Effect
	var rest []StageLost
	for _, l := range i.pending {
		if l.Fingerprint != fingerprint {
			rest = append(rest, l)
			continue
		}
		effects = append(effects, routeDecision(l, kind, ""))
	}
	i.pending = rest
	return effects
}

func (i *Isolator) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, target := range sortedKeys(i.trials) {
		t := i.trials[target]
		if t.expiresAt.After(now) {
			continue
		}
		if t.phase == trialEvaluating {
			effects = append(effects, i.evaluateTrial(now, target, t)...)
			continue
		}
		delete(i.trials, target)
		// A running trial that timed out ends without a decision; its draft is already running.
		if t.phase != trialRunning {
			i.pending = append(i.pending, t.lost)
		}
	}
	for _, l := range i.pending {
		i.candidates[l.Fingerprint] = now.Add(candidateTTL)
	}
	effects = append(effects, i.expire(now)...)
	return effects
}

// expire drops what has expired and broadcasts the fingerprints if they changed.
func (i *Isolator) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	if dropExpired(i.candidates, now) {
		effects = append(effects, i.broadcastCandidates())
	}
	if dropExpired(i.confirmed, now) {
		effects = append(effects, messenger.Broadcast{Event: PoisonConfirmed{Fingerprints: sortedKeys(i.confirmed)}})
	}
	dropExpired(i.untriedUntil, now)
	maps.DeleteFunc(i.untriedLosses, func(f string, _ int) bool { return i.untriedUntil[f].IsZero() })
	dropExpired(i.nextTrialAt, now)
	dropExpired(i.cleared, now)
	dropExpired(i.newlyConfirmed, now)
	dropExpired(i.targetLostAt, now.Add(-lostTargetTTL))
	dropExpired(i.targetAliveAt, now.Add(-lostTargetTTL))
	effects = append(effects, i.expirePeers(now)...)
	return effects
}

func (i *Isolator) broadcastCandidates() messenger.Effect {
	all := maps.Clone(i.candidates)
	for _, r := range i.peerStates {
		for _, f := range r.candidates {
			all[f] = r.expiresAt
		}
	}
	return messenger.Broadcast{Event: PoisonCandidates{Fingerprints: sortedKeys(all)}}
}

// sortedKeys returns a map's keys in order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	found := make([]K, 0, len(m))
	for k := range m {
		found = append(found, k)
	}
	sort.Slice(found, func(a, b int) bool { return found[a] < found[b] })
	return found
}

// dropExpired removes entries whose time has passed and reports whether there were any.
func dropExpired[K comparable](m map[K]time.Time, now time.Time) bool {
	n := len(m)
	for k, until := range m {
		if !until.After(now) {
			delete(m, k)
		}
	}
	return len(m) < n
}

func routeDecision(l StageLost, kind DecisionKind, target identifier.TargetID) messenger.Effect {
	return Route{Event: Decision{Draft: l.Draft, Kind: kind, Target: target}}
}

func logEffect(event eventlogger.Event, draft identifier.DraftID, values ...any) messenger.Effect {
	return messenger.Log{Event: event, Subject: "request/" + string(draft), Values: values}
}
