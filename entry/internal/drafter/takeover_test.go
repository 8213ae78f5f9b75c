package drafter_test

import (
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
	"fuchsiabridge.example/entry/internal/watcher"
)

func peers(ids ...identifier.NodeID) heartbeater.PeersChanged {
	var ev heartbeater.PeersChanged
	for _, id := range ids {
		beat := heartbeater.Heartbeat{Node: id, Address: string(id), DataCentre: "almadies"}
		ev.Peers = append(ev.Peers, heartbeater.Peer{Heartbeat: beat, State: heartbeater.StateAlive})
	}
	return ev
}

// TestFrozenDriverIsSuperseded freezes a draft's driver at a random moment, lets a second driver
// take the draft over and resumes the first. The successor's caller must get the rest of the answer
// or a tokens_lost problem, and the first driver must not regain the draft.
func TestFrozenDriverIsSuperseded(t *testing.T) {
	const id = identifier.DraftID("draft-1")
	rapid.Check(t, func(t *rapid.T) {
		first, second := newHarness(t, "node-1", drafter.Replay), newHarness(t, "node-2", drafter.Replay)
		second.engines, second.checkpoints = first.engines, first.checkpoints
		first.apply(peers("node-2", "node-3"))
		second.apply(peers("node-1", "node-3"))
		first.request(id, 0)
		for range rapid.IntRange(0, 300).Draw(t, "acts") {
			first.randomActionFewFaults()
		}
		received := len(first.callResults[1].tokens)
		second.now = first.now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "clock")) * time.Second)
		first.restartStopped()
		second.apply(second.engines.targetsChanged())
		second.apply(messenger.Tick{})
		second.request(id, received)
		frozenCalls := rapid.IntRange(0, len(first.calls)).Draw(t, "calls under way")
		for range frozenCalls {
			first.deliverCall(0, false)
		}
		if rapid.Bool().Draw(t, "awake early") {
			first.resume()
		}
		second.runToEnd()
		first.resume()
		first.runToEnd()
		checkSuccessor(t, second.callResults[1], received, string(id))
		checkPredecessor(t, first.callResults[1], string(id))
	})
}

// randomActionFewFaults performs a random action with few engine faults.
func (h *harness) randomActionFewFaults() {
	switch {
	case rapid.IntRange(0, 39).Draw(h.t, "fault") == 39:
		h.breakEngine()
	case len(h.calls) > 0 && rapid.Bool().Draw(h.t, "carry"):
		h.deliverCall(0, rapid.IntRange(0, 9).Draw(h.t, "lose") == 0)
	case len(h.events) > 0:
		h.deliverEvent(0, false)
	default:
		h.now = h.now.Add(10 * time.Millisecond)
		h.apply(messenger.Tick{})
	}
}

// breakEngine stops an engine, restarts it or drops its KV caches.
func (h *harness) breakEngine() {
	e := h.engines[rapid.IntRange(0, len(h.engines)-1).Draw(h.t, "engine")]
	switch rapid.IntRange(0, 2).Draw(h.t, "kind") {
	case 0:
		e.alive = false
	case 1:
		e.load(e.layers)
	case 2:
		e.drafts = map[identifier.DraftID]*engineDraft{}
	}
	if rapid.Bool().Draw(h.t, "seen") {
		h.apply(h.engines.targetsChanged())
	}
}

// restartStopped restarts the stopped engines, so that the draft can end.
func (h *harness) restartStopped() {
	for _, e := range h.engines {
		if !e.alive {
			e.load(e.layers)
		}
	}
}

// resume lets a frozen driver go on with its clock advanced, past the threshold of a freeze.
func (h *harness) resume() {
	h.now = h.now.Add(5 * time.Second)
	h.apply(messenger.Tick{})
	h.apply(h.engines.targetsChanged())
	for range 3 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.apply(messenger.Tick{})
	}
}

func checkSuccessor(t *rapid.T, a *callResult, received int, id string) {
	want := layerhasher.Answer(layers, prompt(identifier.DraftID(id)), tokens)
	if len(a.ends) != 1 {
		t.Fatalf("the successor's caller got %d ends", len(a.ends))
	}
	end := a.ends[0]
	if end.Outcome == responder.Failed && end.Problem.Code == "tokens_lost" && received > 0 {
		return
	}
	if end.Outcome != responder.Delivered || !slices.Equal(a.tokens, want[received:]) {
		t.Fatalf("the successor sent %v after %d tokens, want the rest of %v; end: %v", a.tokens, received, want, end)
	}
}

func checkPredecessor(t *rapid.T, a *callResult, id string) {
	want := layerhasher.Answer(layers, prompt(identifier.DraftID(id)), tokens)
	if len(a.ends) != 1 || !slices.Equal(a.tokens, want[:len(a.tokens)]) {
		t.Fatalf("the first driver sent %v, want a prefix of %v; ends: %v", a.tokens, want, a.ends)
	}
	end := a.ends[0]
	if end.Outcome != responder.Delivered && end.Problem.Code != "superseded" {
		t.Fatalf("the first driver ended the draft with %v, want delivered or superseded", end)
	}
	if end.Outcome == responder.Delivered && len(a.tokens) != tokens {
		t.Fatalf("the first driver reported a complete answer after only %d tokens", len(a.tokens))
	}
}

// TestTokensOfTakenOverDraftSurviveLostMiddleStage guards against tokens_lost for a draft whose first driver died with
// the middle stage, once the successor knows that this stage is down: the last stage still keeps the tokens.
func TestTokensOfTakenOverDraftSurviveLostMiddleStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const id = identifier.DraftID("draft-1")
		h := newHarness(t, "node-2", drafter.Replay)
		h.apply(peers("node-1", "node-3"))
		h.engines[2].alive = false
		changed := h.engines.targetsChanged()
		changed.Targets[2].State = watcher.StateDown
		h.apply(changed)
		var stages []checkpointer.Stage
		for _, i := range []int{0, 2, 4} {
			target := changed.Targets[i]
			stages = append(stages, checkpointer.Stage{Target: target.ID, Generation: target.Status.Generation, Layers: target.Status.Layers})
		}
		want := layerhasher.Answer(layers, prompt(id), tokens)
		h.request(id, 3)
		h.apply(drafter.CheckpointFound{Draft: id, Checkpoint: checkpointer.Checkpoint{
			Draft: id, Epoch: 1, Fingerprint: "f-" + string(id), Tokens: want[:2], Stages: stages,
		}})
		if len(h.calls) != 1 {
			t.Fatalf("%d calls to engines; ends: %v", len(h.calls), h.callResults[1].ends)
		}
		fetch, ok := h.calls[0].(drafter.SendStep)
		if !ok || fetch.Target != stages[2].Target || !fetch.Step.Resume {
			t.Fatalf("%T %+v, want the last stage to be asked for kept tokens", h.calls[0], h.calls[0])
		}
		h.apply(drafter.StepFailed{Target: fetch.Target, Name: fetch.Step.StepName, NewConn: true, Alive: true})
		if ends := h.callResults[1].ends; len(ends) != 1 || ends[0].Problem.Code != "tokens_lost" {
			t.Fatalf("%v, want tokens_lost if the last stage does not keep the tokens", ends)
		}
	})
}
