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

// TestSlopes prints, for each concern at four sizes, the heap size of its state and the time per
// event. docs/CAPACITY.md quotes these growth rates; "make slopes" runs the test.
func TestSlopes(*testing.T) {
	fmt.Println("| concern | size | state, bytes | bytes each | one event | what the event is |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, n := range []int{1500, 3000, 6000, 12000} {
		measure("targets known", n, watchTargets, "one engine's report with a new load")
	}
	for _, n := range []int{1500, 3000, 6000, 12000} {
		measure("targets published", n, publishTargets, "changed loads applied by a shard")
	}
	for _, n := range []int{1500, 3000, 6000, 12000} {
		measure("pipeline choice among targets", n, choosePipeline, "one choice over 3 ranges")
	}
	for _, n := range []int{250, 500, 1000, 1900} {
		measure("client accounts", n, configureAccounts, "one accepted change")
	}
	for _, n := range []int{1000, 4000, 16000, 64000} {
		measure("record keys remembered", n, rememberKeys, "one claim and its outcome applied")
	}
	for _, n := range []int{250, 1000, 4000, 16000} {
		measure("drafts in progress", n, startDrafts, "one step's answer")
	}
}

// benchmark holds the state to measure and the event to time on it.
type benchmark struct {
	state any
	event func(i int)
}

// Events are timed until either limit is reached.
const (
	maxTimedEvents   = 1000
	maxTimedDuration = 400 * time.Millisecond
)

func measure(concern string, n int, build func(n int) benchmark, eventText string) {
	before := heap()
	s := build(n)
	heapBytes := heap() - before
	start := time.Now()
	events := 0
	for events < maxTimedEvents && time.Since(start) < maxTimedDuration {
		s.event(events)
		events++
	}
	each := time.Since(start) / time.Duration(events)
	fmt.Printf("| %s | %d | %d | %d | %v | %s |\n", concern, n, heapBytes, heapBytes/int64(n), each, eventText)
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
	// observedTargets is the number of targets that one node polls itself: 12,000 targets with three
	// observers each, divided among 470 nodes.
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

func watchTargets(n int) benchmark {
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
	return benchmark{state: w, event: func(i int) {
		s := statusOf(i % observedTargets)
		s.Queued = i + 1
		apply(w, watcher.StatusRead{Status: s, Address: addressOf(i % observedTargets)}, messenger.Tick{})
	}}
}

func upEngines(n int) []watcher.Target {
	var targets []watcher.Target
	for i := range n {
		s := statusOf(i)
		targets = append(targets, watcher.Target{ID: s.Target, Role: platformcaller.RoleEngine, State: watcher.StateUp, Address: addressOf(i), Status: s})
	}
	return targets
}

func publishTargets(n int) benchmark {
	d := newDrafter()
	targets := upEngines(n)
	apply(d, watcher.TargetsChanged{Targets: targets})
	return benchmark{state: d, event: func(int) { apply(d, watcher.TargetsChanged{Targets: targets}) }}
}

func newDrafter() *drafter.Drafter {
	return drafter.NewDrafter(drafter.Config{Recovery: drafter.Replay, Shards: 1, HistoryBytes: 64 << 20})
}

func choosePipeline(n int) benchmark {
	targets := upEngines(n)
	r := planner.Request{Model: "atlas", Layers: identifier.LayerRange{To: modelLayers}}
	index := planner.NewIndex(targets)
	return benchmark{state: index, event: func(i int) {
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

func configureAccounts(n int) benchmark {
	tailerReducer := tailer.NewTailer(tailer.Config{})
	change := func(i int) configurer.Change {
		key, _ := json.Marshal(fmt.Sprintf("%064x", i))
		return configurer.Change{
			ID: identifier.ChangeID(fmt.Sprint("change-", i)), Team: identifier.TeamID(fmt.Sprint("team-", i%100)), Expected: identifier.Revision(i / 100),
			Set: map[string]json.RawMessage{fmt.Sprintf("accounts/account-%d/key_sha256", i): key},
		}
	}
	for i := range n {
		apply(tailerReducer, page(record(i, configurer.Stream, change(i))))
	}
	return benchmark{state: tailerReducer, event: func(i int) {
		apply(tailerReducer, page(record(n+i, configurer.Stream, change(n+i))))
	}}
}

func rememberKeys(n int) benchmark {
	r := recorder.NewRecorder(recorder.Owner{Node: "node-1", Incarnation: 1}, recorder.ConfigFor(10*time.Minute))
	other := recorder.Owner{Node: "node-2", Incarnation: 1}
	applyKey := func(i int) {
		key := identifier.RecordKey(fmt.Sprintf("team/account/ledger/payment-%08d", i))
		apply(r,
			tailer.RecordSeen{Record: record(2*i, recorder.Stream, recorder.Entry{Kind: recorder.EntryClaim, Key: key, Fingerprint: fmt.Sprintf("%064x", i), Owner: other})},
			tailer.RecordSeen{Record: record(2*i+1, recorder.Stream, recorder.Entry{Kind: recorder.EntryOutcome, Key: key, Owner: other, Outcome: "delivered", Status: 200, Body: []byte(`{"number":1}`)})},
		)
	}
	for i := range n {
		applyKey(i)
	}
	return benchmark{state: r, event: func(i int) { applyKey(n + i) }}
}

func startDrafts(n int) benchmark {
	d := newDrafter()
	apply(d, watcher.TargetsChanged{Targets: upEngines(engineCount)})
	var sent []drafter.SendStep
	for i := range n {
		for _, effect := range apply(d, drafter.Request{
			Call: identifier.CallID(i + 1), Draft: identifier.DraftID(fmt.Sprint("team/account/", i)), Model: "atlas", Layers: modelLayers,
			Fingerprint: fmt.Sprintf("%064x", i), Prompt: "user: a reminder for the second instalment of the portrait session", PromptTokens: 11, MaxTokens: 64,
			Deadline: time.Now().Add(time.Hour),
		}) {
			if s, ok := effect.(drafter.SendStep); ok {
				sent = append(sent, s)
			}
		}
	}
	return benchmark{state: d, event: func(i int) {
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
