package stepestimator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/stepestimator"
	"fuchsiabridge.example/entry/internal/watcher"
)

const id = identifier.TargetID("engine-1")

func expected(e *stepestimator.Estimator, queued int) time.Duration {
	t := watcher.Target{ID: id, Status: enginecaller.Status{Layers: identifier.LayerRange{To: 8}, BatchLimit: 32, Queued: queued}}
	return e.Expected(id, t, 4, time.Millisecond)
}

// TestExpectedTime checks that the estimate covers the target's whole layer range, the batches
// queued before the step, the node's own prompts and the measured times.
func TestExpectedTime(t *testing.T) {
	c := qt.New(t)
	e := stepestimator.NewEstimator(2)
	c.Assert(expected(e, 0), qt.Equals, 8*time.Millisecond)
	c.Assert(expected(e, 64), qt.Equals, 24*time.Millisecond)
	e.Start(id, 100)
	c.Assert(expected(e, 0), qt.Equals, 88*time.Millisecond)
	e.Finish(id, 100)
	c.Assert(expected(e, 0), qt.Equals, 8*time.Millisecond)
	e.Observe(id, 40*time.Millisecond)
	e.Observe(id, 48*time.Millisecond)
	c.Assert(expected(e, 0), qt.Equals, 41*time.Millisecond)
	e.Prune(nil)
	c.Assert(expected(e, 0), qt.Equals, 8*time.Millisecond)
}
