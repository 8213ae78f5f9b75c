package stepsender_test

import (
	"context"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/rerouter"
	"fuchsiabridge.example/entry/internal/stepsender"
)

type engine struct{ err, statusErr error }

func (e engine) Steps(_ context.Context, _ string, steps []enginecaller.Step, _ bool) ([]enginecaller.StepResult, error) {
	var results []enginecaller.StepResult
	for _, s := range steps {
		results = append(results, enginecaller.StepResult{StepName: s.StepName, Code: enginecaller.StepOK})
	}
	return results, e.err
}

func (e engine) Status(context.Context, string) (enginecaller.Status, error) {
	return enginecaller.Status{}, e.statusErr
}

func stepAt(p identifier.Position) enginecaller.Step {
	return enginecaller.Step{StepName: enginecaller.StepName{Draft: "d", Epoch: 1, Position: p}}
}

// send sends one step to the engine and returns the submitted event.
func send(c *qt.C, e engine, step drafter.SendStep) messenger.Event {
	c.Helper()
	submitted := make(chan messenger.Event, 1)
	pool := pond.NewPool(2)
	s := stepsender.NewSender(context.Background(), e, pool, func(ev messenger.Event) { submitted <- ev })
	step.Target, step.Address, step.Deadline = "engine-1", "127.0.0.1:1", time.Now().Add(5*time.Second)
	s.Send(step)
	select {
	case ev := <-submitted:
		return ev
	case <-time.After(5 * time.Second):
		c.Fatal("no event was submitted within 5 s")
		return nil
	}
}

// TestEarlierStepsAreSentInSameCall sends a step together with steps of earlier positions.
func TestEarlierStepsAreSentInSameCall(t *testing.T) {
	c := qt.New(t)
	got := send(c, engine{}, drafter.SendStep{Step: stepAt(2), EarlierSteps: []enginecaller.Step{stepAt(0), stepAt(1)}})
	done, ok := got.(drafter.StepDone)
	c.Assert(ok, qt.IsTrue)
	c.Assert(done.Result.Position, qt.Equals, identifier.Position(2))
	c.Assert(done.EarlierResults, qt.HasLen, 2)
	c.Assert(done.EarlierResults[1].Position, qt.Equals, identifier.Position(1))
}

// TestFailuresAreClassified checks that refusals, timed-out calls to live engines and failed
// engines are distinguished.
func TestFailuresAreClassified(t *testing.T) {
	down := errors.New("connection refused")
	for _, tc := range []struct {
		name    string
		engine  engine
		newConn bool
		want    drafter.StepFailed
	}{
		{"refusal", engine{err: &httpcaller.StatusError{Status: 409}}, false, drafter.StepFailed{Status: 409}},
		{"expired", engine{err: fasthttp.ErrTimeout}, false, drafter.StepFailed{}},
		{"expired, engine alive", engine{err: fasthttp.ErrTimeout}, true, drafter.StepFailed{NewConn: true, Alive: true}},
		{"expired, engine unresponsive", engine{err: fasthttp.ErrTimeout, statusErr: fasthttp.ErrTimeout}, true, drafter.StepFailed{NewConn: true}},
		{"lost path", engine{err: errors.Mark(down, rerouter.ErrPathLost)}, true, drafter.StepFailed{NewConn: true, Alive: true}},
		{"expired, lost path", engine{err: fasthttp.ErrTimeout, statusErr: errors.Mark(down, rerouter.ErrPathLost)}, true, drafter.StepFailed{NewConn: true, Alive: true}},
		{"refused connection", engine{err: down, statusErr: down}, true, drafter.StepFailed{NewConn: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			tc.want.Target, tc.want.Name = "engine-1", stepAt(0).StepName
			c.Assert(send(c, tc.engine, drafter.SendStep{Step: stepAt(0), NewConn: tc.newConn}), qt.DeepEquals, messenger.Event(tc.want))
		})
	}
}
