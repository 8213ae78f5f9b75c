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
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

func peers(ids ...identifier.NodeID) heartbeater.PeersChanged {
	var ev heartbeater.PeersChanged
	for _, id := range ids {
		beat := heartbeater.Heartbeat{Node: id, Address: string(id), DataCentre: "almadies"}
		ev.Peers = append(ev.Peers, heartbeater.Peer{Heartbeat: beat, State: heartbeater.StateAlive})
	}
	return ev
}

// TestFrozenDriverGivesWay freezes a draft's driver at any moment, lets another take the
// draft up, and wakes the first one: the successor's caller gets the rest of the answer, or
// is told that tokens were lost, and the first never takes the draft back.
func TestFrozenDriverGivesWay(t *testing.T) {
	const id = identifier.DraftID("draft-1")
	rapid.Check(t, func(t *rapid.T) {
		first, second := newWorld(t, "node-1", drafter.Replay), newWorld(t, "node-2", drafter.Replay)
		second.engines, second.keeper = first.engines, first.keeper
		first.apply(peers("node-2", "node-3"))
		second.apply(peers("node-1", "node-3"))
		first.request(id, 0)
		for range rapid.IntRange(0, 300).Draw(t, "acts") {
			first.actQuietly()
		}
		has := len(first.open[1].tokens)
		second.now = first.now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "clock")) * time.Second)
		first.reviveDead()
		second.apply(second.engines.changed())
		second.apply(messenger.Tick{})
		second.request(id, has)
		frozenCalls := rapid.IntRange(0, len(first.calls)).Draw(t, "calls under way")
		for range frozenCalls {
			first.carry(0, false)
		}
		if rapid.Bool().Draw(t, "awake early") {
			first.wake()
		}
		second.drain()
		first.wake()
		first.drain()
		checkSuccessor(t, second.open[1], has, string(id))
		checkPredecessor(t, first.open[1], string(id))
	})
}

// actQuietly acts with few faults of the engines, for a driver that fails after them.
func (w *world) actQuietly() {
	switch {
	case rapid.IntRange(0, 39).Draw(w.t, "fault") == 39:
		w.breakOne()
	case len(w.calls) > 0 && rapid.Bool().Draw(w.t, "carry"):
		w.carry(0, rapid.IntRange(0, 9).Draw(w.t, "lose") == 0)
	case len(w.events) > 0:
		w.deliver(0, false)
	default:
		w.now = w.now.Add(10 * time.Millisecond)
		w.apply(messenger.Tick{})
	}
}

// breakOne lets an engine die, start again or lose its KV caches.
func (w *world) breakOne() {
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(w.t, "engine")]
	switch rapid.IntRange(0, 2).Draw(w.t, "kind") {
	case 0:
		e.alive = false
	case 1:
		e.load(e.layers)
	case 2:
		e.drafts = map[identifier.DraftID]*engineDraft{}
	}
	if rapid.Bool().Draw(w.t, "seen") {
		w.apply(w.engines.changed())
	}
}

// reviveDead starts the dead engines again, so that the draft can end.
func (w *world) reviveDead() {
	for _, e := range w.engines {
		if !e.alive {
			e.load(e.layers)
		}
	}
}

// wake lets a frozen driver see that time has passed.
func (w *world) wake() {
	w.now = w.now.Add(5 * time.Second)
	w.apply(messenger.Tick{})
	w.apply(w.engines.changed())
	for range 3 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.apply(messenger.Tick{})
	}
}

func checkSuccessor(t *rapid.T, a *answers, has int, id string) {
	want := layerhasher.Answer(layers, prompt(identifier.DraftID(id)), tokens)
	if len(a.ends) != 1 {
		t.Fatalf("the successor's caller got %d ends", len(a.ends))
	}
	end := a.ends[0]
	if end.Outcome == responder.Failed && end.Problem.Code == "tokens_lost" && has > 0 {
		return
	}
	if end.Outcome != responder.Delivered || !slices.Equal(a.tokens, want[has:]) {
		t.Fatalf("the successor gave %v after %d tokens of %v, and the end %v", a.tokens, has, want, end)
	}
}

func checkPredecessor(t *rapid.T, a *answers, id string) {
	want := layerhasher.Answer(layers, prompt(identifier.DraftID(id)), tokens)
	if len(a.ends) != 1 || !slices.Equal(a.tokens, want[:len(a.tokens)]) {
		t.Fatalf("the first driver gave %v of %v and the ends %v", a.tokens, want, a.ends)
	}
	end := a.ends[0]
	if end.Outcome != responder.Delivered && end.Problem.Code != "superseded" {
		t.Fatalf("the first driver gave the end %v", end)
	}
	if end.Outcome == responder.Delivered && len(a.tokens) != tokens {
		t.Fatalf("the first driver's answer has %d tokens", len(a.tokens))
	}
}
