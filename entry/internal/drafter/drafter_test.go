package drafter_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/checkpointer"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/isolator"
)

const layers = 24

// callResult is what one call received.
type callResult struct {
	draft     identifier.DraftID
	lastToken int
	closed    bool
	tokens    []string
	ends      []drafter.End
}

// harness runs a drafter against simulated engines and a network that loses, duplicates and
// reorders messages.
type harness struct {
	t       *rapid.T
	now     time.Time
	drafter *drafter.Drafter
	// twin receives the same events and must return equal effects.
	twin    *drafter.Drafter
	engines engines
	// calls are effects on their way to an engine; events are on their way back.
	calls  []messenger.Effect
	events []messenger.Event
	// lateResults holds results that arrive late or a second time.
	lateResults []drafter.StepDone
	// checkpoints is the checkpoint store of the peer.
	checkpoints *checkpointer.Store
	// highestEpochs holds the highest epoch that was sent for each draft.
	highestEpochs map[identifier.DraftID]identifier.Epoch
	callResults   map[identifier.CallID]*callResult
	lastCall      identifier.CallID
}

func newHarness(t *rapid.T, node identifier.NodeID, recovery drafter.Recovery) *harness {
	cfg := drafter.Config{
		Self: heartbeater.Heartbeat{Node: node, Incarnation: 7}, Recovery: recovery, Shards: 1,
		HistoryBytes: rapid.SampledFrom([]int{0, 500, 1 << 20}).Draw(t, "history"),
	}
	h := &harness{
		t: t, now: start, drafter: drafter.NewDrafter(cfg), twin: drafter.NewDrafter(cfg), checkpoints: checkpointer.NewStore(),
		highestEpochs: map[identifier.DraftID]identifier.Epoch{}, callResults: map[identifier.CallID]*callResult{},
	}
	for i, from := range []identifier.Layer{0, 8, 16} {
		h.engines = append(h.engines, newEngine(identifier.TargetID(fmt.Sprintf("engine-%d-a", i)), from, from+8))
		h.engines = append(h.engines, newEngine(identifier.TargetID(fmt.Sprintf("engine-%d-b", i)), from, from+8))
	}
	h.apply(h.engines.targetsChanged())
	return h
}

func (h *harness) apply(event messenger.Event) {
	effects := h.drafter.Apply(h.now, event)
	if twin := h.twin.Apply(h.now, event); !reflect.DeepEqual(effects, twin) {
		h.t.Fatalf("the same event gave different effects: %v and %v", effects, twin)
	}
	for _, effect := range effects {
		h.handleEffect(effect)
	}
}

func (h *harness) handleEffect(effect messenger.Effect) {
	switch e := effect.(type) {
	case drafter.SendStep:
		h.highestEpochs[e.Step.Draft] = max(h.highestEpochs[e.Step.Draft], e.Step.Epoch)
		h.calls = append(h.calls, e)
	case drafter.CancelDraft, drafter.ExportKV, drafter.ImportKV:
		h.calls = append(h.calls, e)
	case drafter.SendCheckpoints:
		if rapid.IntRange(0, 4).Draw(h.t, "checkpoint lost") > 0 {
			h.checkpoints.Apply(h.now, checkpointer.Received{Checkpoints: e.Checkpoints})
			return
		}
		for _, c := range e.Checkpoints {
			h.events = append(h.events, drafter.CheckpointLost{Draft: c.Draft})
		}
	case drafter.FindCheckpoint:
		reply := h.checkpoints.Apply(h.now, checkpointer.Requested{Draft: e.Draft})[0].(messenger.Reply)
		h.events = append(h.events, drafter.CheckpointFound{Draft: e.Draft, Checkpoint: reply.Answer.(checkpointer.Checkpoint)})
	case messenger.Reply:
		h.reply(e)
	case messenger.Raise:
		if lost, ok := e.Event.(isolator.StageLost); ok {
			h.events = append(h.events, h.decide(lost))
		}
	}
}

func (h *harness) decide(lost isolator.StageLost) isolator.Decision {
	if len(lost.Candidates) > 0 && rapid.Bool().Draw(h.t, "alone") {
		return isolator.Decision{Draft: lost.Draft, Kind: isolator.RunAlone, Target: lost.Candidates[0]}
	}
	return isolator.Decision{Draft: lost.Draft, Kind: isolator.RunUnrestricted}
}

func (h *harness) reply(r messenger.Reply) {
	a := h.callResults[r.Call]
	switch v := r.Answer.(type) {
	case drafter.Token:
		if len(a.ends) > 0 || v.Number != a.lastToken+len(a.tokens)+1 {
			h.t.Fatalf("call %d got token %d after %d tokens and %d ends", r.Call, v.Number, a.lastToken+len(a.tokens), len(a.ends))
		}
		a.tokens = append(a.tokens, v.Text)
	case drafter.End:
		a.ends = append(a.ends, v)
	}
}

func prompt(id identifier.DraftID) string { return "user: a quote for " + string(id) }

func (h *harness) request(id identifier.DraftID, lastToken int) {
	h.lastCall++
	h.callResults[h.lastCall] = &callResult{draft: id, lastToken: lastToken}
	h.apply(drafter.Request{
		Call: h.lastCall, Draft: id, Account: "dakar/studio", Fingerprint: "f-" + string(id), Model: model, Layers: layers,
		Prompt: prompt(id), PromptTokens: 5, MaxTokens: tokens, LastToken: lastToken, Deadline: start.Add(time.Hour),
	})
}

const tokens = 20

// deliverCall delivers call i to its engine, or loses it.
func (h *harness) deliverCall(i int, lose bool) {
	call := h.calls[i]
	h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
	switch c := call.(type) {
	case drafter.SendStep:
		h.deliverStep(c, lose)
	case drafter.CancelDraft:
		if e := h.engines.at(c.Address); e.alive && !lose {
			e.cancel(c)
		}
	case drafter.ExportKV:
		if lose {
			h.events = append(h.events, drafter.KVExported{Target: c.Target, Draft: c.Draft, Epoch: c.Epoch, Failed: true})
			return
		}
		h.events = append(h.events, h.engines.at(c.Address).exportKV(c))
	case drafter.ImportKV:
		if lose {
			h.events = append(h.events, drafter.KVImported{Target: c.Target, Draft: c.KV.Draft, Epoch: c.KV.Epoch, Failed: true})
			return
		}
		h.events = append(h.events, h.engines.at(c.Address).importKV(c))
	}
}

// deliverStep runs a step. A lost step is lost before or after the engine ran it; in the latter
// case its result may still arrive late.
func (h *harness) deliverStep(c drafter.SendStep, lose bool) {
	e := h.engines.at(c.Address)
	failed := drafter.StepFailed{Target: c.Target, Name: c.Step.StepName, NewConn: c.NewConn}
	if !e.alive {
		h.events = append(h.events, failed)
		return
	}
	if !lose {
		h.events = append(h.events, e.run(c))
		return
	}
	failed.Alive = rapid.Bool().Draw(h.t, "probe answered")
	if rapid.Bool().Draw(h.t, "ran") {
		h.lateResults = append(h.lateResults, e.run(c))
	}
	h.events = append(h.events, failed)
}

// deliverEvent applies event i. A result may be delivered a second time later.
func (h *harness) deliverEvent(i int, duplicate bool) {
	event := h.events[i]
	h.events = append(h.events[:i:i], h.events[i+1:]...)
	if done, ok := event.(drafter.StepDone); ok && duplicate {
		h.lateResults = append(h.lateResults, done)
	}
	h.apply(event)
}

// deliverLate applies a late result. The content of a result from an old epoch is replaced, so that
// the test notices when it is used.
func (h *harness) deliverLate(i int) {
	done := h.lateResults[i]
	h.lateResults = append(h.lateResults[:i:i], h.lateResults[i+1:]...)
	if done.Result.Epoch < h.highestEpochs[done.Result.Draft] {
		done.Result.Output, done.Result.Token = []byte("stale"), "stale"
	}
	h.apply(done)
}

// injectFault stops or restarts an engine, marks it as leaving, changes its layer range or drops its
// KV caches.
func (h *harness) injectFault() {
	e := h.engines[rapid.IntRange(0, len(h.engines)-1).Draw(h.t, "engine")]
	switch rapid.IntRange(0, 5).Draw(h.t, "fault") {
	case 0:
		e.alive = false
	case 1:
		e.alive, e.state = false, "down"
	case 2:
		e.load(e.layers)
	case 3:
		e.state = "leaving"
	case 4:
		from := identifier.Layer(8 * rapid.IntRange(0, 2).Draw(h.t, "range"))
		e.load(identifier.LayerRange{From: from, To: from + 8})
	case 5:
		e.drafts = map[identifier.DraftID]*engineDraft{}
	}
	if rapid.Bool().Draw(h.t, "seen") {
		h.apply(h.engines.targetsChanged())
	}
}

func (h *harness) randomAction() {
	switch kind := rapid.IntRange(0, 19).Draw(h.t, "act"); {
	case kind < 8 && len(h.calls) > 0:
		h.deliverCall(rapid.IntRange(0, len(h.calls)-1).Draw(h.t, "call"), rapid.IntRange(0, 9).Draw(h.t, "lose") == 0)
	case kind < 16 && len(h.events) > 0:
		h.deliverEvent(rapid.IntRange(0, len(h.events)-1).Draw(h.t, "event"), rapid.IntRange(0, 4).Draw(h.t, "again") == 0)
	case kind == 16 && len(h.lateResults) > 0:
		h.deliverLate(rapid.IntRange(0, len(h.lateResults)-1).Draw(h.t, "late"))
	case kind == 17:
		h.injectFault()
	case kind == 18:
		h.reconnect()
	default:
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(h.t, "ms")) * time.Millisecond)
		h.apply(messenger.Tick{})
	}
}

// reconnect closes a call and requests the draft again after the tokens that the call received.
func (h *harness) reconnect() {
	call := identifier.CallID(rapid.IntRange(1, int(h.lastCall)).Draw(h.t, "caller"))
	a := h.callResults[call]
	if a.closed {
		return
	}
	a.closed = true
	h.apply(drafter.CallerGone{Draft: a.draft, Call: call})
	h.request(a.draft, a.lastToken+len(a.tokens))
}

// finishAll repairs all engines and runs until every draft has ended.
func (h *harness) finishAll() {
	h.repairEngines()
	h.runToEnd()
}

func (h *harness) repairEngines() {
	for i, e := range h.engines {
		from := identifier.Layer(i / 2 * 8)
		e.load(identifier.LayerRange{From: from, To: from + 8})
	}
	h.apply(h.engines.targetsChanged())
}

func (h *harness) runToEnd() {
	for range 20_000 {
		switch {
		case len(h.lateResults) > 0:
			h.deliverLate(0)
		case len(h.calls) > 0:
			h.deliverCall(0, false)
		case len(h.events) > 0:
			h.deliverEvent(0, false)
		default:
			if h.allEnded() {
				return
			}
			h.now = h.now.Add(10 * time.Millisecond)
			h.apply(messenger.Tick{})
		}
	}
}

func (h *harness) allEnded() bool {
	for _, a := range h.callResults {
		if !a.closed && len(a.ends) == 0 {
			return false
		}
	}
	return true
}

// TestAnswersAreComplete lets engines stop, reload, leave, and answer late, twice or never, and
// compares each caller's tokens with those of an undisturbed run.
func TestAnswersAreComplete(t *testing.T) {
	for _, recovery := range []drafter.Recovery{drafter.Replay, drafter.Import, drafter.Restart} {
		t.Run(string(recovery), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				h := newHarness(t, "node-1", recovery)
				drafts := rapid.IntRange(1, 4).Draw(t, "drafts")
				for n := range drafts {
					h.request(identifier.DraftID(fmt.Sprintf("draft-%d", n)), 0)
				}
				for range rapid.IntRange(0, 600).Draw(t, "acts") {
					h.randomAction()
				}
				h.finishAll()
				for call, a := range h.callResults {
					h.checkCall(call, a)
				}
			})
		})
	}
}

func (h *harness) checkCall(call identifier.CallID, a *callResult) {
	want := layerhasher.Answer(layers, prompt(a.draft), tokens)
	if !slices.Equal(a.tokens, want[a.lastToken:a.lastToken+len(a.tokens)]) {
		h.t.Fatalf("call %d of %s got tokens %v after token %d, want those of %v", call, a.draft, a.tokens, a.lastToken, want)
	}
	if a.closed {
		return
	}
	complete := []drafter.End{{Outcome: responder.Delivered, Tokens: tokens}}
	if !reflect.DeepEqual(a.ends, complete) || a.lastToken+len(a.tokens) != tokens {
		h.t.Fatalf("call %d of %s got %d tokens after %d and the ends %v", call, a.draft, len(a.tokens), a.lastToken, a.ends)
	}
}
