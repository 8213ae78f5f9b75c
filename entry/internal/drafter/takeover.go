package drafter

import (
	"cmp"
	"slices"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/checkpointer"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// checkpointLookupTimeout limits how long a draft waits for its peers' checkpoints.
	checkpointLookupTimeout = 400 * time.Millisecond
	// maxLookupPeers limits the peers that are asked for a checkpoint.
	maxLookupPeers = 8
	// freezeThreshold is the gap between two events after which the node is assumed to have been
	// frozen. Ticks are far more frequent.
	freezeThreshold = time.Second

	checkpointInterval = 100 * time.Millisecond
	// checkpointBytesPerSecond and checkpointBurstBytes limit the checkpoints that a node sends.
	checkpointBytesPerSecond = 10_000
	checkpointBurstBytes     = 128 << 10
	// Estimated sizes, in bytes, by which checkpoints are charged against the rate.
	checkpointBytes      = 100
	checkpointTokenBytes = 10
	checkpointStageBytes = 90
)

// sentCheckpoint is the part of a draft that was sent to its holder, the peer that stores the
// draft's checkpoint.
type sentCheckpoint struct {
	holder identifier.NodeID
	epoch  identifier.Epoch
	tokens int
}

// outbox is the state for sending checkpoints to peers.
type outbox struct {
	peers    []heartbeater.Peer
	lastSend time.Time
	// creditBytes is what the rate limit allows to be sent now.
	creditBytes float64
	// ended holds the ended drafts whose holders have not been informed yet.
	ended []*draft
}

func newOutbox() outbox { return outbox{} }

func (o *outbox) finish(dr *draft) {
	if dr.sent.holder != "" {
		o.ended = append(o.ended, dr)
	}
}

// sendCheckpoints sends the checkpoints of changed drafts, within the rate limit, and the ends of
// drafts, in one batch per peer.
func (d *Drafter) sendCheckpoints(now time.Time) []messenger.Effect {
	o := &d.checkpoints
	if now.Sub(o.lastSend) < checkpointInterval || len(o.peers) == 0 {
		return nil
	}
	share := 1 / float64(max(1, d.cfg.Shards))
	o.creditBytes = min(checkpointBurstBytes*share, o.creditBytes+now.Sub(o.lastSend).Seconds()*checkpointBytesPerSecond*share)
	o.lastSend = now
	batches := map[string][]checkpointer.Checkpoint{}
	for _, dr := range o.ended {
		if p, ok := o.peer(dr.sent.holder); ok {
			c := checkpointer.Checkpoint{Draft: dr.request.Draft, Epoch: dr.epoch, Ended: true}
			batches[p.Address] = append(batches[p.Address], c)
		}
	}
	o.ended = nil
	for _, dr := range d.staleCheckpoints() {
		if o.creditBytes <= 0 {
			break
		}
		holders := checkpointer.Holders(o.peers, dr.request.Draft, d.cfg.Self.DataCentre)
		if len(holders) == 0 {
			break
		}
		c := dr.makeCheckpoint(holders[0].Node)
		o.creditBytes -= float64(checkpointBytes + checkpointTokenBytes*len(c.Tokens) + checkpointStageBytes*len(c.Stages))
		batches[holders[0].Address] = append(batches[holders[0].Address], c)
	}
	return sendBatches(batches)
}

func sendBatches(batches map[string][]checkpointer.Checkpoint) []messenger.Effect {
	addresses := make([]string, 0, len(batches))
	for a := range batches {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	effects := make([]messenger.Effect, 0, len(batches))
	for _, a := range addresses {
		effects = append(effects, SendCheckpoints{Address: a, Checkpoints: batches[a]})
	}
	return effects
}

func (o *outbox) peer(id identifier.NodeID) (heartbeater.Peer, bool) {
	i := slices.IndexFunc(o.peers, func(p heartbeater.Peer) bool { return p.Node == id })
	if i < 0 {
		return heartbeater.Peer{}, false
	}
	return o.peers[i], true
}

// staleCheckpoints returns the drafts whose checkpoint is out of date: first those without one,
// then those whose checkpoint lacks the most tokens. A checkpoint whose holder is dead is lost.
func (d *Drafter) staleCheckpoints() []*draft {
	var stale []*draft
	for _, dr := range d.running {
		holder, ok := d.checkpoints.peer(dr.sent.holder)
		if ok && holder.State == heartbeater.StateDead {
			dr.sent = sentCheckpoint{}
		}
		if len(dr.stages) > 0 && (dr.sent.epoch != dr.epoch || dr.sent.tokens != len(dr.tokens)) {
			stale = append(stale, dr)
		}
	}
	slices.SortFunc(stale, func(a, b *draft) int {
		if c := cmp.Compare(b.checkpointLag(), a.checkpointLag()); c != 0 {
			return c
		}
		return cmp.Compare(a.request.Draft, b.request.Draft)
	})
	return stale
}

// checkpointLag returns how many tokens a draft's checkpoint lacks. A draft without one ranks
// highest.
func (dr *draft) checkpointLag() int {
	if dr.sent.holder == "" {
		return maxDraftTokens + dr.request.Priority
	}
	return len(dr.tokens) - dr.sent.tokens
}

// maxDraftTokens is above the number of tokens of any draft.
const maxDraftTokens = 1 << 20

// makeCheckpoint returns what the holder lacks and records that it was sent.
func (dr *draft) makeCheckpoint(holder identifier.NodeID) checkpointer.Checkpoint {
	if dr.sent.holder != holder {
		dr.sent = sentCheckpoint{holder: holder}
	}
	c := checkpointer.Checkpoint{Draft: dr.request.Draft, Epoch: dr.epoch, From: dr.sent.tokens}
	c.Tokens = append(c.Tokens, dr.tokens[dr.sent.tokens:]...)
	if dr.sent.epoch != dr.epoch {
		c.Fingerprint = dr.request.Fingerprint
		for _, s := range dr.stages {
			c.Stages = append(c.Stages, checkpointer.Stage{Target: s.Target, Generation: s.Generation, Layers: s.Layers})
		}
	}
	dr.sent.epoch, dr.sent.tokens = dr.epoch, len(dr.tokens)
	return c
}

// handleCheckpointLost makes the next checkpoint of the draft a full one.
func (d *Drafter) handleCheckpointLost(ev CheckpointLost) {
	if dr, ok := d.running[ev.Draft]; ok {
		dr.sent = sentCheckpoint{}
	}
}

// lookUpCheckpoint asks the peers for the draft's checkpoint before the draft starts on this node.
func (d *Drafter) lookUpCheckpoint(now time.Time, dr *draft) []messenger.Effect {
	addresses := d.lookupAddresses(dr)
	if len(addresses) == 0 {
		return d.start(now, dr)
	}
	dr.phase, dr.retryAt = phaseAwaitingCheckpoint, now.Add(checkpointLookupTimeout)
	return []messenger.Effect{FindCheckpoint{Draft: dr.request.Draft, Addresses: addresses, Deadline: dr.retryAt}}
}

func (d *Drafter) lookupAddresses(dr *draft) []string {
	var addresses []string
	for _, p := range checkpointer.Holders(d.checkpoints.peers, dr.request.Draft, "") {
		if len(addresses) < maxLookupPeers {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func (d *Drafter) handleCheckpointFound(now time.Time, ev CheckpointFound) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok {
		return nil
	}
	if dr.phase != phaseAwaitingCheckpoint {
		return d.checkSuperseded(now, dr, ev.Checkpoint)
	}
	if ev.Checkpoint.Epoch == 0 || ev.Checkpoint.Fingerprint != dr.request.Fingerprint {
		return d.start(now, dr)
	}
	return d.takeOver(now, dr, ev.Checkpoint)
}

// takeOver continues a draft of another driver under a higher epoch, using the KV caches of its
// engines. Tokens newer than the checkpoint come from results that the engines kept.
func (d *Drafter) takeOver(now time.Time, dr *draft, c checkpointer.Checkpoint) []messenger.Effect {
	dr.epoch = newEpoch(now, d.cfg.Self, c.Epoch)
	dr.tokens = append(dr.tokens, c.Tokens...)
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.DraftTakenOver, Subject: subject(dr),
		Values: []any{"epoch", dr.epoch, "before", c.Epoch, "tokens", len(c.Tokens)},
	}}
	dr.historyDropped = true
	stages := d.stagesFromCheckpoint(c.Stages)
	if n := len(c.Stages); len(stages) == 0 && n > 0 {
		// The last stage alone cannot continue the draft, but it keeps the newest tokens.
		stages = d.stagesFromCheckpoint(c.Stages[n-1:])
	}
	if len(stages) > 0 {
		dr.epoch++
		d.bind(dr, stages)
	}
	if fetch, ok := d.fetchTokens(now, dr); ok {
		return append(effects, fetch)
	}
	return append(effects, d.continueDraft(now, dr)...)
}

// continueDraft sends the callers the tokens they lack and runs the next position, on the stages of
// the checkpoint if they are still available.
func (d *Drafter) continueDraft(now time.Time, dr *draft) []messenger.Effect {
	dr.phase = phaseIdle
	effects := dr.sendMissingTokens()
	if len(dr.tokens) >= dr.request.MaxTokens {
		return append(effects, d.finish(now, dr, End{Outcome: responder.Delivered, Tokens: len(dr.tokens)})...)
	}
	if len(dr.stages) == 0 || dr.stages[0].Layers.From > 0 {
		return append(effects, d.start(now, dr)...)
	}
	dr.stageIndex = 0
	for _, s := range dr.stages {
		s.cachedPositions, s.inputsFrom = dr.position(), dr.position()
	}
	return append(effects, d.step(now, dr, false)...)
}

// fetchTokens asks the last stage for the tokens that a caller has and the checkpoint lacks. The
// engine returns kept results and runs nothing.
func (d *Drafter) fetchTokens(now time.Time, dr *draft) (messenger.Effect, bool) {
	if len(dr.stages) == 0 || !dr.lacksTokens() {
		return nil, false
	}
	dr.stageIndex = len(dr.stages) - 1
	s := dr.stages[dr.stageIndex]
	var steps []enginecaller.Step
	for p := dr.position(); int(p) < dr.callerTokens(); p++ {
		step := dr.makeStep(s, p, nil)
		step.Last, step.Resume = true, true
		steps = append(steps, step)
	}
	last := len(steps) - 1
	dr.phase, dr.responseDeadline = phaseFetchingTokens, now.Add(newConnGrace)
	return SendStep{
		Target: s.Target, Address: s.Address, Step: steps[last], EarlierSteps: steps[:last:last],
		Deadline: dr.responseDeadline, NewConn: true, Traceparent: dr.request.Traceparent,
	}, true
}

// callerTokens returns the highest number of tokens that a caller has.
func (dr *draft) callerTokens() int {
	n := 0
	for _, c := range dr.callers {
		n = max(n, min(c.lastToken, dr.request.MaxTokens))
	}
	return n
}

// awaitingTokens returns the draft that waits for fetched tokens up to the named step, if there is
// one.
func (d *Drafter) awaitingTokens(target identifier.TargetID, name enginecaller.StepName) (*draft, bool) {
	dr, ok := d.running[name.Draft]
	if !ok || dr.phase != phaseFetchingTokens || name.Epoch != dr.epoch || target != dr.stages[dr.stageIndex].Target {
		return nil, false
	}
	return dr, true
}

func (d *Drafter) handleFetchedTokens(now time.Time, dr *draft, ev StepDone) []messenger.Effect {
	for _, r := range append(ev.EarlierResults, ev.Result) {
		if r.Code == enginecaller.StepSuperseded {
			return d.superseded(now, dr)
		}
		if r.Code != enginecaller.StepOK || r.Token == "" || r.Position != dr.position() {
			break
		}
		dr.tokens = append(dr.tokens, r.Token)
	}
	return d.continueDraft(now, dr)
}

// sendMissingTokens sends the callers the tokens they lack.
func (dr *draft) sendMissingTokens() []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range dr.callers {
		for n := c.lastToken; n < len(dr.tokens); n++ {
			effects = append(effects, messenger.Reply{Call: c.call, Answer: Token{Number: n + 1, Text: dr.tokens[n]}})
		}
	}
	return effects
}

// stagesFromCheckpoint returns stages of a checkpoint, or none unless every target still has the same
// generation and is not down.
func (d *Drafter) stagesFromCheckpoint(kept []checkpointer.Stage) []*stage {
	var stages []*stage
	for _, s := range kept {
		t, ok := d.targetsByID[s.Target]
		if !ok || t.State == watcher.StateDown || t.Status.Generation != s.Generation {
			return nil
		}
		stages = append(stages, &stage{
			Stage: planner.Stage{
				Target: t.ID, Address: t.Address, Generation: s.Generation, Layers: s.Layers,
				LayerTime: time.Duration(t.Status.LayerMicros) * time.Microsecond,
			},
		})
	}
	return stages
}

// checkAfterFreeze asks the peers, after the node was frozen, whether another node has taken over its
// drafts.
func (d *Drafter) checkAfterFreeze(now time.Time) []messenger.Effect {
	frozen := !d.lastEventAt.IsZero() && now.Sub(d.lastEventAt) >= freezeThreshold
	d.lastEventAt = now
	if !frozen {
		return nil
	}
	var drafts []*draft
	for _, dr := range d.running {
		drafts = append(drafts, dr)
	}
	var effects []messenger.Effect
	for _, dr := range sorted(drafts) {
		dr.established = true
		if addresses := d.lookupAddresses(dr); len(addresses) > 0 {
			effects = append(effects, FindCheckpoint{Draft: dr.request.Draft, Addresses: addresses, Deadline: now.Add(checkpointLookupTimeout)})
		}
	}
	return effects
}

// checkSuperseded ends a draft that a peer knows under a higher epoch.
func (d *Drafter) checkSuperseded(now time.Time, dr *draft, c checkpointer.Checkpoint) []messenger.Effect {
	if c.Epoch <= dr.epoch {
		return nil
	}
	return d.superseded(now, dr)
}
