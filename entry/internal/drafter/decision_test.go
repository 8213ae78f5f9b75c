package drafter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/watcher"
)

// lostStage returns a drafter with a draft that lost its first stage, and the event it raised.
func lostStage(c *qt.C) (*drafter.Drafter, isolator.StageLost) {
	c.Helper()
	d := drafter.NewDrafter(drafter.Config{Self: heartbeater.Heartbeat{Node: "node-1"}, Recovery: drafter.Replay, Shards: 1, HistoryBytes: 1 << 20})
	es := engines{newEngine("engine-a", 0, layers), newEngine("engine-b", 0, layers), newEngine("engine-c", 0, layers)}
	d.Apply(start, es.targetsChanged())
	first := one[drafter.SendStep](c, d.Apply(start, drafter.Request{
		Call: 1, Draft: "d", Account: "dakar/studio", Fingerprint: "f", Model: model, Layers: layers, Prompt: "p",
		MaxTokens: 2, Deadline: start.Add(time.Minute),
	}))
	retry := one[drafter.SendStep](c, d.Apply(start, drafter.StepFailed{Target: first.Target, Name: first.Step.StepName}))
	c.Assert(retry.NewConn, qt.IsTrue)
	return d, raised[isolator.StageLost](c, d.Apply(start, drafter.StepFailed{Target: first.Target, Name: first.Step.StepName, NewConn: true}))
}

// one returns the only effect of a type.
func one[T any](c *qt.C, effects []messenger.Effect) T {
	c.Helper()
	var found []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	c.Assert(found, qt.HasLen, 1)
	return found[0]
}

// raised returns the only raised event of a type.
func raised[T any](c *qt.C, effects []messenger.Effect) T {
	c.Helper()
	var events []messenger.Effect
	for _, e := range effects {
		if r, ok := e.(messenger.Raise); ok {
			events = append(events, r.Event)
		}
	}
	return one[T](c, events)
}

// TestLostStageWaitsForDecision checks that nothing is sent for a lost stage before the isolator's
// decision.
func TestLostStageWaitsForDecision(t *testing.T) {
	c := qt.New(t)
	d, lost := lostStage(c)
	c.Assert(lost.Fingerprint, qt.Equals, "dakar/studio/f")
	c.Assert(lost.WasAlone, qt.IsFalse)
	c.Assert(lost.Candidates, qt.HasLen, 2)
	for _, e := range d.Apply(start.Add(time.Second), messenger.Tick{}) {
		_, sent := e.(drafter.SendStep)
		c.Assert(sent, qt.IsFalse)
	}
	step := one[drafter.SendStep](c, d.Apply(start, isolator.Decision{Draft: "d", Kind: isolator.RunUnrestricted}))
	c.Assert(step.Target, qt.Equals, lost.Candidates[0])
}

// TestDecisionRunAlone checks that the lost step runs at the target of the decision, and that the
// drafter reports whether it passed or lost its target again.
func TestDecisionRunAlone(t *testing.T) {
	c := qt.New(t)
	d, lost := lostStage(c)
	step := one[drafter.SendStep](c, d.Apply(start, isolator.Decision{Draft: "d", Kind: isolator.RunAlone, Target: lost.Candidates[1]}))
	c.Assert(step.Target, qt.Equals, lost.Candidates[1])
	passed := raised[isolator.StagePassed](c, d.Apply(start, drafter.StepDone{
		Target: step.Target, Result: enginecaller.StepResult{StepName: step.Step.StepName, Code: enginecaller.StepOK, Token: "w"},
	}))
	c.Assert(passed, qt.Equals, isolator.StagePassed{Draft: "d", Fingerprint: "dakar/studio/f", Target: step.Target})

	d, lost = lostStage(c)
	step = one[drafter.SendStep](c, d.Apply(start, isolator.Decision{Draft: "d", Kind: isolator.RunAlone, Target: lost.Candidates[1]}))
	d.Apply(start, drafter.StepFailed{Target: step.Target, Name: step.Step.StepName})
	lostAgain := raised[isolator.StageLost](c, d.Apply(start, drafter.StepFailed{Target: step.Target, Name: step.Step.StepName, NewConn: true}))
	c.Assert(lostAgain.WasAlone, qt.IsTrue)
	c.Assert(lostAgain.Target, qt.Equals, step.Target)
}

// TestDecisionRefuse checks that the caller gets a final refusal, which it must not retry.
func TestDecisionRefuse(t *testing.T) {
	c := qt.New(t)
	d, _ := lostStage(c)
	end, ok := one[messenger.Reply](c, d.Apply(start, isolator.Decision{Draft: "d", Kind: isolator.Refuse})).Answer.(drafter.End)
	c.Assert(ok, qt.IsTrue)
	c.Assert(end.Outcome, qt.Equals, responder.Refused)
	c.Assert(end.Problem.Code, qt.Equals, "crashes_targets")
}

// TestRefusalsAreNotFailures lets targets refuse a call or report a reload. Neither may be reported
// as a failed target.
func TestRefusalsAreNotFailures(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(drafter.SendStep) messenger.Event
	}{
		{"status 503", func(s drafter.SendStep) messenger.Event {
			return drafter.StepFailed{Target: s.Target, Name: s.Step.StepName, Status: 503}
		}},
		{"reloaded", func(s drafter.SendStep) messenger.Event {
			return drafter.StepDone{Target: s.Target, Result: enginecaller.StepResult{StepName: s.Step.StepName, Code: enginecaller.StepReloaded}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			d, _ := lostStage(c)
			step := one[drafter.SendStep](c, d.Apply(start, isolator.Decision{Draft: "d"}))
			effects := d.Apply(start, tc.event(step))
			for _, e := range effects {
				r, _ := e.(messenger.Raise)
				_, failed := r.Event.(watcher.TargetFailed)
				_, lost := r.Event.(isolator.StageLost)
				c.Assert(failed || lost, qt.IsFalse)
			}
			c.Assert(one[drafter.SendStep](c, effects).Target, qt.Not(qt.Equals), step.Target)
		})
	}
}
