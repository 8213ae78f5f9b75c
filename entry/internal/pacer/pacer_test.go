package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/pacer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const id = identifier.TargetID("engine-1")

func expected(p *pacer.Pacer, queued int) time.Duration {
	t := watcher.Target{ID: id, Status: enginecaller.Status{Layers: identifier.LayerRange{To: 8}, BatchLimit: 32, Queued: queued}}
	return p.Expected(id, t, 4, time.Millisecond)
}

// TestExpectedTimeFollowsTheQueue counts the whole range, the batches before the step, own prompts and the pace seen.
func TestExpectedTimeFollowsTheQueue(t *testing.T) {
	c := qt.New(t)
	p := pacer.NewPacer(2)
	c.Assert(expected(p, 0), qt.Equals, 8*time.Millisecond)
	c.Assert(expected(p, 64), qt.Equals, 24*time.Millisecond)
	p.Begin(id, 100)
	c.Assert(expected(p, 0), qt.Equals, 88*time.Millisecond)
	p.End(id, 100)
	c.Assert(expected(p, 0), qt.Equals, 8*time.Millisecond)
	p.Learn(id, 40*time.Millisecond)
	p.Learn(id, 48*time.Millisecond)
	c.Assert(expected(p, 0), qt.Equals, 41*time.Millisecond)
	p.Forget(nil)
	c.Assert(expected(p, 0), qt.Equals, 8*time.Millisecond)
}
