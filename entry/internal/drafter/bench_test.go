package drafter_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

const (
	benchDrafts = 1500
	// boundaryBytes is the size of one position's activations between two stages: 4096 two-byte
	// values.
	boundaryBytes = 8192
)

// BenchmarkStep measures one step of a draft on a node that runs benchDrafts drafts: applying the
// result, keeping the output and sending the next step.
func BenchmarkStep(b *testing.B) {
	d := drafter.NewDrafter(drafter.Config{
		Self: heartbeater.Heartbeat{Node: "node-1"}, Recovery: drafter.Replay, Shards: 1, HistoryBytes: 1 << 30,
	})
	now := start
	es := engines{newEngine("engine-0", 0, 8), newEngine("engine-1", 8, 16), newEngine("engine-2", 16, layers)}
	d.Apply(now, es.targetsChanged())
	d.Apply(now, peers("node-2", "node-3"))
	var steps []drafter.SendStep
	collect := func(effects []messenger.Effect) {
		for _, e := range effects {
			if s, ok := e.(drafter.SendStep); ok {
				steps = append(steps, s)
			}
		}
	}
	for n := range benchDrafts {
		id := identifier.DraftID(fmt.Sprintf("draft-%d", n))
		collect(d.Apply(now, drafter.Request{
			Call: 1, Draft: id, Fingerprint: "f", Model: model, Layers: layers, Prompt: prompt(id),
			PromptTokens: 5, MaxTokens: 1 << 20, Deadline: start.Add(time.Hour),
		}))
	}
	output := make([]byte, boundaryBytes)
	b.ReportAllocs()
	for b.Loop() {
		s := steps[0]
		steps = steps[1:]
		now = now.Add(10 * time.Microsecond)
		collect(d.Apply(now, drafter.StepDone{Target: s.Target, Result: enginecaller.StepResult{
			StepName: s.Step.StepName, Code: enginecaller.StepOK, Output: output, Token: "word",
		}}))
	}
}
