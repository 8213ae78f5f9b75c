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
	// askTimeout is how long a draft waits for its peers' checkpoints.
	askTimeout = 400 * time.Millisecond
	// askedPeers bounds the peers that are asked for a checkpoint.
	askedPeers = 8
	// frozenAfter is the time between two events from which on the node counts as having been
	// frozen; there is a tick far more often.
	frozenAfter = time.Second

	checkpointInterval = 100 * time.Millisecond
	// checkpointRate and checkpointBurst bound the bytes of checkpoints that a node sends.
	checkpointRate  = 10_000
	checkpointBurst = 128 << 10
	// Sizes by which checkpoints are charged.
	checkpointBytes      = 100
	checkpointTokenBytes = 10
	checkpointStageBytes = 90
)

// checkpointed is what a draft's peer has of it.
type checkpointed struct {
	holder identifier.NodeID
	epoch  identifier.Epoch
	tokens int
}

// outbox holds what decides which checkpoints are sent.
type outbox struct {
	peers  []heartbeater.Peer
	sent   time.Time
	credit float64
	ended  []*draft
}

func newOutbox() outbox { return outbox{} }

func (o *outbox) finish(dr *draft) {
	if dr.checkpoint.holder != "" {
		o.ended = append(o.ended, dr)
	}
}

// sendCheckpoints sends what changed, in batches by peer, within the rate.
func (d *Drafter) sendCheckpoints(now time.Time) []messenger.Effect {
	o := &d.checkpoints
	if now.Sub(o.sent) < checkpointInterval || len(o.peers) == 0 {
		return nil
	}
	share := 1 / float64(max(1, d.cfg.Shards))
	o.credit = min(checkpointBurst*share, o.credit+now.Sub(o.sent).Seconds()*checkpointRate*share)
	o.sent = now
	batches := map[string][]checkpointer.Checkpoint{}
	for _, dr := range o.ended {
		if p, ok := o.peer(dr.checkpoint.holder); ok {
			c := checkpointer.Checkpoint{Draft: dr.request.Draft, Epoch: dr.epoch, Ended: true}
			batches[p.Address] = append(batches[p.Address], c)
		}
	}
	o.ended = nil
	for _, dr := range d.behind() {
		if o.credit <= 0 {
			break
		}
		holder := checkpointer.Holders(o.peers, dr.request.Draft, d.cfg.Self.DataCentre)
		if len(holder) == 0 {
			break
		}
		c := dr.makeCheckpoint(holder[0].Node)
		o.credit -= float64(checkpointBytes + checkpointTokenBytes*len(c.Tokens) + checkpointStageBytes*len(c.Stages))
		batches[holder[0].Address] = append(batches[holder[0].Address], c)
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

// behind returns the drafts whose checkpoint is out of date: first those without one, then
// those whose checkpoint lacks most tokens.
func (d *Drafter) behind() []*draft {
	var list []*draft
	for _, dr := range d.running {
		holder, ok := d.checkpoints.peer(dr.checkpoint.holder)
		if ok && holder.State == heartbeater.StateDead {
			dr.checkpoint = checkpointed{}
		}
		if len(dr.stages) > 0 && (dr.checkpoint.epoch != dr.epoch || dr.checkpoint.tokens != len(dr.tokens)) {
			list = append(list, dr)
		}
	}
	slices.SortFunc(list, func(a, b *draft) int {
		if c := cmp.Compare(b.lag(), a.lag()); c != 0 {
			return c
		}
		return cmp.Compare(a.request.Draft, b.request.Draft)
	})
	return list
}

// lag returns how far behind a draft's checkpoint is; none at all is the farthest.
func (dr *draft) lag() int {
	if dr.checkpoint.holder == "" {
		return mostTokens + dr.request.Priority
	}
	return len(dr.tokens) - dr.checkpoint.tokens
}

// mostTokens is above the tokens of any draft.
const mostTokens = 1 << 20

// makeCheckpoint returns what the holder lacks and notes that it was sent.
func (dr *draft) makeCheckpoint(holder identifier.NodeID) checkpointer.Checkpoint {
	if dr.checkpoint.holder != holder {
		dr.checkpoint = checkpointed{holder: holder}
	}
	c := checkpointer.Checkpoint{Draft: dr.request.Draft, Epoch: dr.epoch, From: dr.checkpoint.tokens}
	c.Tokens = append(c.Tokens, dr.tokens[dr.checkpoint.tokens:]...)
	if dr.checkpoint.epoch != dr.epoch {
		c.Fingerprint = dr.request.Fingerprint
		for _, s := range dr.stages {
			c.Stages = append(c.Stages, checkpointer.Stage{Target: s.Target, Generation: s.Generation, Layers: s.Layers})
		}
	}
	dr.checkpoint.epoch, dr.checkpoint.tokens = dr.epoch, len(dr.tokens)
	return c
}

// checkpointLost makes the next checkpoint of the draft a whole one.
func (d *Drafter) checkpointLost(ev CheckpointLost) {
	if dr, ok := d.running[ev.Draft]; ok {
		dr.checkpoint = checkpointed{}
	}
}

// ask asks the peers for the draft's checkpoint before it starts here.
func (d *Drafter) ask(now time.Time, dr *draft) []messenger.Effect {
	addresses := d.askedAddresses(dr)
	if len(addresses) == 0 {
		return d.start(now, dr)
	}
	dr.phase, dr.retryAt = asking, now.Add(askTimeout)
	return []messenger.Effect{FindCheckpoint{Draft: dr.request.Draft, Addresses: addresses, Deadline: dr.retryAt}}
}

func (d *Drafter) askedAddresses(dr *draft) []string {
	var addresses []string
	for _, p := range checkpointer.Holders(d.checkpoints.peers, dr.request.Draft, "") {
		if len(addresses) < askedPeers {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func (d *Drafter) checkpointFound(now time.Time, ev CheckpointFound) []messenger.Effect {
	dr, ok := d.running[ev.Draft]
	if !ok {
		return nil
	}
	if dr.phase != asking {
		return d.confirmed(now, dr, ev.Checkpoint)
	}
	if ev.Checkpoint.Epoch == 0 || ev.Checkpoint.Fingerprint != dr.request.Fingerprint {
		return d.start(now, dr)
	}
	return d.takeUp(now, dr, ev.Checkpoint)
}

// takeUp goes on with a draft of another driver, under a higher epoch, from the KV caches
// that its engines have. Tokens newer than the checkpoint come from the engines' kept results.
func (d *Drafter) takeUp(now time.Time, dr *draft, c checkpointer.Checkpoint) []messenger.Effect {
	dr.epoch = takeEpoch(now, d.cfg.Self, c.Epoch)
	dr.tokens = append(dr.tokens, c.Tokens...)
	effects := []messenger.Effect{messenger.Log{
		Event: eventlogger.DraftTakenUp, Subject: subject(dr),
		Values: []any{"epoch", dr.epoch, "before", c.Epoch, "tokens", len(c.Tokens)},
	}}
	dr.unkept = true
	if stages, ok := d.rebuild(c); ok {
		dr.epoch++
		d.bind(dr, stages)
	}
	if recall, ok := d.recall(now, dr); ok {
		return append(effects, recall)
	}
	return append(effects, d.goOn(now, dr)...)
}

// goOn gives the callers the tokens they lack and runs the next position, on the stages
// of the checkpoint if they still stand.
func (d *Drafter) goOn(now time.Time, dr *draft) []messenger.Effect {
	dr.phase = idle
	effects := dr.replayTokens()
	if len(dr.tokens) >= dr.request.MaxTokens {
		return append(effects, d.finish(now, dr, End{Outcome: responder.Delivered, Tokens: len(dr.tokens)})...)
	}
	if len(dr.stages) == 0 {
		return append(effects, d.start(now, dr)...)
	}
	dr.stage = 0
	for _, s := range dr.stages {
		s.have, s.base = dr.position(), dr.position()
	}
	return append(effects, d.step(now, dr, false)...)
}

// recall asks the last stage for the tokens that a caller has and the checkpoint lacks; the
// engine tells results that it kept, and runs nothing.
func (d *Drafter) recall(now time.Time, dr *draft) (messenger.Effect, bool) {
	if len(dr.stages) == 0 || !dr.lacksTokens() {
		return nil, false
	}
	dr.stage = len(dr.stages) - 1
	s := dr.stages[dr.stage]
	var steps []enginecaller.Step
	for p := dr.position(); int(p) < dr.wantedTokens(); p++ {
		step := dr.makeStep(s, p, nil)
		step.Last, step.Resume = true, true
		steps = append(steps, step)
	}
	last := len(steps) - 1
	dr.phase, dr.deadline = recalling, now.Add(freshGrace)
	return SendStep{
		Target: s.Target, Address: s.Address, Step: steps[last], Before: steps[:last:last],
		Deadline: dr.deadline, Fresh: true, Traceparent: dr.request.Traceparent,
	}, true
}

// wantedTokens returns the number of tokens that the callers have.
func (dr *draft) wantedTokens() int {
	n := 0
	for _, c := range dr.callers {
		n = max(n, min(c.after, dr.request.MaxTokens))
	}
	return n
}

// recalls returns the draft that waits for recalled tokens up to the named step, if any does.
func (d *Drafter) recalls(target identifier.TargetID, name enginecaller.StepName) (*draft, bool) {
	dr, ok := d.running[name.Draft]
	if !ok || dr.phase != recalling || name.Epoch != dr.epoch || target != dr.stages[dr.stage].Target {
		return nil, false
	}
	return dr, true
}

func (d *Drafter) recalled(now time.Time, dr *draft, ev StepDone) []messenger.Effect {
	for _, r := range append(ev.Before, ev.Result) {
		if r.Code == enginecaller.StepSuperseded {
			return d.superseded(now, dr)
		}
		if r.Code != enginecaller.StepOK || r.Token == "" || r.Position != dr.position() {
			break
		}
		dr.tokens = append(dr.tokens, r.Token)
	}
	return d.goOn(now, dr)
}

// replayTokens gives the callers the tokens they lack.
func (dr *draft) replayTokens() []messenger.Effect {
	var effects []messenger.Effect
	for _, c := range dr.callers {
		for n := c.after; n < len(dr.tokens); n++ {
			effects = append(effects, messenger.Reply{Call: c.call, Answer: Token{Number: n + 1, Text: dr.tokens[n]}})
		}
	}
	return effects
}

// rebuild returns the stages of a checkpoint, if each target still is what it was.
func (d *Drafter) rebuild(c checkpointer.Checkpoint) ([]*stage, bool) {
	var stages []*stage
	for _, s := range c.Stages {
		t, ok := d.byID[s.Target]
		if !ok || t.State == watcher.StateDown || t.Status.Generation != s.Generation {
			return nil, false
		}
		stages = append(stages, &stage{
			Stage: planner.Stage{
				Target: t.ID, Address: t.Address, Generation: s.Generation, Layers: s.Layers,
				LayerTime: time.Duration(t.Status.LayerMicros) * time.Microsecond,
			},
		})
	}
	return stages, len(stages) > 0
}

// confirm asks, after the node was frozen, whether its drafts have another driver.
func (d *Drafter) confirm(now time.Time) []messenger.Effect {
	frozen := !d.seen.IsZero() && now.Sub(d.seen) >= frozenAfter
	d.seen = now
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
		if addresses := d.askedAddresses(dr); len(addresses) > 0 {
			effects = append(effects, FindCheckpoint{Draft: dr.request.Draft, Addresses: addresses, Deadline: now.Add(askTimeout)})
		}
	}
	return effects
}

// confirmed ends a draft that a peer knows under a higher epoch.
func (d *Drafter) confirmed(now time.Time, dr *draft, c checkpointer.Checkpoint) []messenger.Effect {
	if c.Epoch <= dr.epoch {
		return nil
	}
	return d.superseded(now, dr)
}
