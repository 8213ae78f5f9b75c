//go:build slopes

package composer_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/planner"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/watcher"
)

// TestSlopes prints, for each concern at four sizes, the heap that its state holds and
// the time of one event: the slopes that docs/CAPACITY.md quotes. "make slopes" runs it.
func TestSlopes(*testing.T) {
	fmt.Println("| concern | size | state, bytes | bytes each | one event | what the event is |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, n := range []int{1500, 3000, 6000, 12000} {
		slope("targets known", n, watchTargets, "one engine's report with a new load")
	}
	for _, n := range []int{1500, 3000, 6000, 12000} {
		slope("targets published", n, publishTargets, "changed loads taken in by a shard")
	}
	for _, n := range []int{1500, 3000, 6000, 12000} {
		slope("pipeline choice among targets", n, chooseAmong, "one choice over 3 ranges")
	}
	for _, n := range []int{250, 500, 1000, 1900} {
		slope("client accounts", n, configureAccounts, "one accepted change")
	}
	for _, n := range []int{1000, 4000, 16000, 64000} {
		slope("record keys remembered", n, rememberKeys, "one claim and its outcome seen")
	}
	for _, n := range []int{250, 1000, 4000, 16000} {
		slope("drafts in progress", n, holdDrafts, "one step's answer")
	}
}

// subject holds state of a size and one event's work on it.
type subject struct {
	state any
	event func(i int)
}

// Events are timed until so many ran or so much time has passed.
const (
	mostTimed = 1000
	timedFor  = 400 * time.Millisecond
)

func slope(concern string, n int, build func(n int) subject, what string) {
	before := heap()
	s := build(n)
	held := heap() - before
	started := time.Now()
	timed := 0
	for timed < mostTimed && time.Since(started) < timedFor {
		s.event(timed)
		timed++
	}
	each := time.Since(started) / time.Duration(timed)
	fmt.Printf("| %s | %d | %d | %d | %v | %s |\n", concern, n, held, held/int64(n), each, what)
	runtime.KeepAlive(s)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func apply(r messenger.Reducer, events ...messenger.Event) []messenger.Effect {
	var effects []messenger.Effect
	for _, ev := range events {
		effects = append(effects, r.Apply(time.Now(), ev)...)
	}
	return effects
}

const (
	modelLayers = 24
	rangeCount  = 3
	engineCount = 40
	// observedTargets is how many of its targets a node polls itself: three observers for each of 12,000, by 470 nodes.
	observedTargets = 77
)

func statusOf(i int) enginecaller.Status {
	from := identifier.Layer(i % rangeCount * modelLayers / rangeCount)
	return enginecaller.Status{
		Target: identifier.TargetID(fmt.Sprintf("engine-%05d", i)), Model: "atlas", Generation: 1,
		Layers:      identifier.LayerRange{From: from, To: from + modelLayers/rangeCount},
		LayerMicros: 200 + i%5*100, BatchLimit: 32, Accelerator: "kind-a", Role: "both",
	}
}

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250) }

func watchTargets(n int) subject {
	w := watcher.NewWatcher(watcher.Observer{Node: "node-1", DataCentre: "plateau"}, 1)
	var list watcher.VMsRead
	for i := range n {
		list.VMs = append(list.VMs, platformcaller.VM{
			ID: string(statusOf(i).Target), Role: platformcaller.RoleEngine, Address: addressOf(i), DataCentre: "plateau",
		})
	}
	apply(w, list)
	for i := range observedTargets {
		apply(w, watcher.StatusRead{Status: statusOf(i), Address: addressOf(i)})
	}
	return subject{state: w, event: func(i int) {
		s := statusOf(i % observedTargets)
		s.Queued = i + 1
		apply(w, watcher.StatusRead{Status: s, Address: addressOf(i % observedTargets)}, messenger.Tick{})
	}}
}

func enginesUp(n int) []watcher.Target {
	var targets []watcher.Target
	for i := range n {
		s := statusOf(i)
		targets = append(targets, watcher.Target{ID: s.Target, Role: platformcaller.RoleEngine, State: watcher.StateUp, Address: addressOf(i), Status: s})
	}
	return targets
}

func publishTargets(n int) subject {
	d := newDrafter()
	targets := enginesUp(n)
	apply(d, watcher.TargetsChanged{Targets: targets})
	return subject{state: d, event: func(int) { apply(d, watcher.TargetsChanged{Targets: targets}) }}
}

func newDrafter() *drafter.Drafter {
	return drafter.NewDrafter(drafter.Config{Recovery: drafter.Replay, Shards: 1, HistoryBytes: 64 << 20})
}

func chooseAmong(n int) subject {
	targets := enginesUp(n)
	r := planner.Request{Model: "atlas", Layers: identifier.LayerRange{To: modelLayers}}
	index := planner.NewIndex(targets)
	return subject{state: index, event: func(i int) {
		r.Seed = uint64(i) * 7919
		if _, ok := planner.Choose(index.Sample(r), r); !ok {
			panic("no pipeline")
		}
	}}
}

func record(offset int, stream string, body any) platformcaller.Record {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return platformcaller.Record{Offset: identifier.Offset(offset), ID: fmt.Sprint(offset), Stream: stream, Body: raw}
}

func page(records ...platformcaller.Record) tailer.LogRead {
	next := records[len(records)-1].Offset + 1
	return tailer.LogRead{Page: platformcaller.Page{Records: records, Next: next, End: next}}
}

func configureAccounts(n int) subject {
	tl := tailer.NewTailer(tailer.Config{})
	change := func(i int) configurer.Change {
		key, _ := json.Marshal(fmt.Sprintf("%064x", i))
		return configurer.Change{
			ID: identifier.ChangeID(fmt.Sprint("change-", i)), Team: identifier.TeamID(fmt.Sprint("team-", i%100)), Expected: identifier.Revision(i / 100),
			Set: map[string]json.RawMessage{fmt.Sprintf("accounts/account-%d/key_sha256", i): key},
		}
	}
	for i := range n {
		apply(tl, page(record(i, configurer.Stream, change(i))))
	}
	return subject{state: tl, event: func(i int) {
		apply(tl, page(record(n+i, configurer.Stream, change(n+i))))
	}}
}

func rememberKeys(n int) subject {
	r := recorder.NewRecorder(recorder.Owner{Node: "node-1", Incarnation: 1}, recorder.ConfigFor(10*time.Minute))
	other := recorder.Owner{Node: "node-2", Incarnation: 1}
	see := func(i int) {
		key := identifier.RecordKey(fmt.Sprintf("team/account/ledger/payment-%08d", i))
		apply(r,
			tailer.RecordSeen{Record: record(2*i, recorder.Stream, recorder.Entry{Kind: recorder.EntryClaim, Key: key, Fingerprint: fmt.Sprintf("%064x", i), Owner: other})},
			tailer.RecordSeen{Record: record(2*i+1, recorder.Stream, recorder.Entry{Kind: recorder.EntryOutcome, Key: key, Owner: other, Outcome: "delivered", Status: 200, Body: []byte(`{"number":1}`)})},
		)
	}
	for i := range n {
		see(i)
	}
	return subject{state: r, event: func(i int) { see(n + i) }}
}

func holdDrafts(n int) subject {
	d := newDrafter()
	apply(d, watcher.TargetsChanged{Targets: enginesUp(engineCount)})
	var sent []drafter.SendStep
	for i := range n {
		for _, effect := range apply(d, drafter.Arrived{
			Call: identifier.CallID(i + 1), Draft: identifier.DraftID(fmt.Sprint("team/account/", i)), Model: "atlas", Layers: modelLayers,
			Fingerprint: fmt.Sprintf("%064x", i), Prompt: "user: a reminder for the second instalment of the portrait session", PromptTokens: 11, MaxTokens: 64,
			Deadline: time.Now().Add(time.Hour),
		}) {
			if s, ok := effect.(drafter.SendStep); ok {
				sent = append(sent, s)
			}
		}
	}
	return subject{state: d, event: func(i int) {
		s := sent[i%len(sent)]
		for _, effect := range apply(d, drafter.StepDone{Target: s.Target, Result: enginecaller.StepResult{
			StepName: s.Step.StepName, Code: enginecaller.StepOK, Output: []byte("12345678"), Token: "word",
		}}) {
			if next, ok := effect.(drafter.SendStep); ok {
				sent[i%len(sent)] = next
			}
		}
	}}
}
