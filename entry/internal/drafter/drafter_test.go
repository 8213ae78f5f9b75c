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

// answers is what one call was given.
type answers struct {
	draft  identifier.DraftID
	after  int
	gone   bool
	tokens []string
	ends   []drafter.End
}

// world is a drafter before a network and engines that lose, repeat and reorder.
type world struct {
	t       *rapid.T
	now     time.Time
	drafter *drafter.Drafter
	// twin is given the same events; its effects must be equal.
	twin    *drafter.Drafter
	engines engines
	// calls are effects on their way to an engine, events are on their way back.
	calls  []messenger.Effect
	events []messenger.Event
	late   []drafter.StepDone
	// keeper is the peer that keeps the checkpoints.
	keeper *checkpointer.Keeper
	epochs map[identifier.DraftID]identifier.Epoch
	open   map[identifier.CallID]*answers
	next   identifier.CallID
}

func newWorld(t *rapid.T, node identifier.NodeID, recovery drafter.Recovery) *world {
	cfg := drafter.Config{
		Self: heartbeater.Heartbeat{Node: node, Incarnation: 7}, Recovery: recovery, Shards: 1,
		HistoryBytes: rapid.SampledFrom([]int{0, 500, 1 << 20}).Draw(t, "history"),
	}
	w := &world{
		t: t, now: start, drafter: drafter.NewDrafter(cfg), twin: drafter.NewDrafter(cfg), keeper: checkpointer.NewKeeper(),
		epochs: map[identifier.DraftID]identifier.Epoch{}, open: map[identifier.CallID]*answers{},
	}
	for i, from := range []identifier.Layer{0, 8, 16} {
		w.engines = append(w.engines, newEngine(identifier.TargetID(fmt.Sprintf("engine-%d-a", i)), from, from+8))
		w.engines = append(w.engines, newEngine(identifier.TargetID(fmt.Sprintf("engine-%d-b", i)), from, from+8))
	}
	w.apply(w.engines.changed())
	return w
}

func (w *world) apply(event messenger.Event) {
	effects := w.drafter.Apply(w.now, event)
	if twin := w.twin.Apply(w.now, event); !reflect.DeepEqual(effects, twin) {
		w.t.Fatalf("the same event gave other effects: %v and %v", effects, twin)
	}
	for _, effect := range effects {
		w.take(effect)
	}
}

func (w *world) take(effect messenger.Effect) {
	switch e := effect.(type) {
	case drafter.SendStep:
		w.epochs[e.Step.Draft] = max(w.epochs[e.Step.Draft], e.Step.Epoch)
		w.calls = append(w.calls, e)
	case drafter.CancelDraft, drafter.ExportKV, drafter.ImportKV:
		w.calls = append(w.calls, e)
	case drafter.SendCheckpoints:
		if rapid.IntRange(0, 4).Draw(w.t, "checkpoint lost") > 0 {
			w.keeper.Apply(w.now, checkpointer.Received{Checkpoints: e.Checkpoints})
			return
		}
		for _, c := range e.Checkpoints {
			w.events = append(w.events, drafter.CheckpointLost{Draft: c.Draft})
		}
	case drafter.FindCheckpoint:
		reply := w.keeper.Apply(w.now, checkpointer.Asked{Draft: e.Draft})[0].(messenger.Reply)
		w.events = append(w.events, drafter.CheckpointFound{Draft: e.Draft, Checkpoint: reply.Answer.(checkpointer.Checkpoint)})
	case messenger.Reply:
		w.reply(e)
	case messenger.Raise:
		if lost, ok := e.Event.(isolator.StageLost); ok {
			w.events = append(w.events, w.rule(lost))
		}
	}
}

func (w *world) rule(lost isolator.StageLost) isolator.Ruling {
	if len(lost.Candidates) > 0 && rapid.Bool().Draw(w.t, "alone") {
		return isolator.Ruling{Draft: lost.Draft, Kind: isolator.RunAlone, Target: lost.Candidates[0]}
	}
	return isolator.Ruling{Draft: lost.Draft, Kind: isolator.RunFreely}
}

func (w *world) reply(r messenger.Reply) {
	a := w.open[r.Call]
	switch v := r.Answer.(type) {
	case drafter.Token:
		if len(a.ends) > 0 || v.Number != a.after+len(a.tokens)+1 {
			w.t.Fatalf("call %d got token %d after %d tokens and %d ends", r.Call, v.Number, a.after+len(a.tokens), len(a.ends))
		}
		a.tokens = append(a.tokens, v.Text)
	case drafter.End:
		a.ends = append(a.ends, v)
	}
}

func prompt(id identifier.DraftID) string { return "user: a quote for " + string(id) }

func (w *world) request(id identifier.DraftID, after int) {
	w.next++
	w.open[w.next] = &answers{draft: id, after: after}
	w.apply(drafter.Arrived{
		Call: w.next, Draft: id, Account: "dakar/studio", Fingerprint: "f-" + string(id), Model: model, Layers: layers,
		Prompt: prompt(id), PromptTokens: 5, MaxTokens: tokens, LastToken: after, Deadline: start.Add(time.Hour),
	})
}

const tokens = 20

// carry brings call i to its engine, or loses it.
func (w *world) carry(i int, lose bool) {
	call := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	switch c := call.(type) {
	case drafter.SendStep:
		w.carryStep(c, lose)
	case drafter.CancelDraft:
		if e := w.engines.at(c.Address); e.alive && !lose {
			e.cancel(c)
		}
	case drafter.ExportKV:
		if lose {
			w.events = append(w.events, drafter.KVExported{Target: c.Target, Draft: c.Draft, Epoch: c.Epoch, Failed: true})
			return
		}
		w.events = append(w.events, w.engines.at(c.Address).export(c))
	case drafter.ImportKV:
		if lose {
			w.events = append(w.events, drafter.KVImported{Target: c.Target, Draft: c.KV.Draft, Epoch: c.KV.Epoch, Failed: true})
			return
		}
		w.events = append(w.events, w.engines.at(c.Address).take(c))
	}
}

// carryStep runs a step; when it is lost, that is before or after the engine ran it, and
// its answer may still come late.
func (w *world) carryStep(c drafter.SendStep, lose bool) {
	e := w.engines.at(c.Address)
	failed := drafter.StepFailed{Target: c.Target, Name: c.Step.StepName, Fresh: c.Fresh}
	if !e.alive {
		w.events = append(w.events, failed)
		return
	}
	if !lose {
		w.events = append(w.events, e.run(c))
		return
	}
	failed.Alive = rapid.Bool().Draw(w.t, "probe answered")
	if rapid.Bool().Draw(w.t, "ran") {
		w.late = append(w.late, e.run(c))
	}
	w.events = append(w.events, failed)
}

// deliver applies event i; an answer may come again later.
func (w *world) deliver(i int, again bool) {
	event := w.events[i]
	w.events = append(w.events[:i:i], w.events[i+1:]...)
	if done, ok := event.(drafter.StepDone); ok && again {
		w.late = append(w.late, done)
	}
	w.apply(event)
}

// deliverLate applies a late answer; one of an old epoch is falsified, so that it shows if it is taken in.
func (w *world) deliverLate(i int) {
	done := w.late[i]
	w.late = append(w.late[:i:i], w.late[i+1:]...)
	if done.Result.Epoch < w.epochs[done.Result.Draft] {
		done.Result.Output, done.Result.Token = []byte("stale"), "stale"
	}
	w.apply(done)
}

// fault breaks an engine, mends it or gives it another range.
func (w *world) fault() {
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(w.t, "engine")]
	switch rapid.IntRange(0, 5).Draw(w.t, "fault") {
	case 0:
		e.alive = false
	case 1:
		e.alive, e.state = false, "down"
	case 2:
		e.load(e.layers)
	case 3:
		e.state = "leaving"
	case 4:
		from := identifier.Layer(8 * rapid.IntRange(0, 2).Draw(w.t, "range"))
		e.load(identifier.LayerRange{From: from, To: from + 8})
	case 5:
		e.drafts = map[identifier.DraftID]*engineDraft{}
	}
	if rapid.Bool().Draw(w.t, "seen") {
		w.apply(w.engines.changed())
	}
}

func (w *world) act() {
	switch kind := rapid.IntRange(0, 19).Draw(w.t, "act"); {
	case kind < 8 && len(w.calls) > 0:
		w.carry(rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call"), rapid.IntRange(0, 9).Draw(w.t, "lose") == 0)
	case kind < 16 && len(w.events) > 0:
		w.deliver(rapid.IntRange(0, len(w.events)-1).Draw(w.t, "event"), rapid.IntRange(0, 4).Draw(w.t, "again") == 0)
	case kind == 16 && len(w.late) > 0:
		w.deliverLate(rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late"))
	case kind == 17:
		w.fault()
	case kind == 18:
		w.resend()
	default:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "ms")) * time.Millisecond)
		w.apply(messenger.Tick{})
	}
}

// resend lets a caller go away and ask again after what it has.
func (w *world) resend() {
	call := identifier.CallID(rapid.IntRange(1, int(w.next)).Draw(w.t, "caller"))
	a := w.open[call]
	if a.gone {
		return
	}
	a.gone = true
	w.apply(drafter.CallerGone{Draft: a.draft, Call: call})
	w.request(a.draft, a.after+len(a.tokens))
}

// settle mends everything and lets all drafts end.
func (w *world) settle() {
	w.mend()
	w.drain()
}

func (w *world) mend() {
	for i, e := range w.engines {
		from := identifier.Layer(i / 2 * 8)
		e.load(identifier.LayerRange{From: from, To: from + 8})
	}
	w.apply(w.engines.changed())
}

func (w *world) drain() {
	for range 20_000 {
		switch {
		case len(w.late) > 0:
			w.deliverLate(0)
		case len(w.calls) > 0:
			w.carry(0, false)
		case len(w.events) > 0:
			w.deliver(0, false)
		default:
			if w.ended() {
				return
			}
			w.now = w.now.Add(10 * time.Millisecond)
			w.apply(messenger.Tick{})
		}
	}
}

func (w *world) ended() bool {
	for _, a := range w.open {
		if !a.gone && len(a.ends) == 0 {
			return false
		}
	}
	return true
}

// TestAnswersAreWhole lets engines die, reload, leave and answer late, twice or not at all,
// and compares each caller's tokens with the undisturbed answer.
func TestAnswersAreWhole(t *testing.T) {
	for _, recovery := range []drafter.Recovery{drafter.Replay, drafter.Import, drafter.Restart} {
		t.Run(string(recovery), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, "node-1", recovery)
				drafts := rapid.IntRange(1, 4).Draw(t, "drafts")
				for n := range drafts {
					w.request(identifier.DraftID(fmt.Sprintf("draft-%d", n)), 0)
				}
				for range rapid.IntRange(0, 600).Draw(t, "acts") {
					w.act()
				}
				w.settle()
				for call, a := range w.open {
					w.checkCall(call, a)
				}
			})
		})
	}
}

func (w *world) checkCall(call identifier.CallID, a *answers) {
	want := layerhasher.Answer(layers, prompt(a.draft), tokens)
	if !slices.Equal(a.tokens, want[a.after:a.after+len(a.tokens)]) {
		w.t.Fatalf("call %d of %s got %v after %d, not those of %v", call, a.draft, a.tokens, a.after, want)
	}
	if a.gone {
		return
	}
	whole := []drafter.End{{Outcome: responder.Delivered, Tokens: tokens}}
	if !reflect.DeepEqual(a.ends, whole) || a.after+len(a.tokens) != tokens {
		w.t.Fatalf("call %d of %s got %d tokens after %d and the ends %v", call, a.draft, len(a.tokens), a.after, a.ends)
	}
}
