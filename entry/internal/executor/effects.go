package executor

import (
	"github.com/alitto/pond/v2"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/counter"
)

// run executes one effect. It never blocks the calling loop.
func (x *Executor) run(effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.Reply:
		x.reply(e)
	case messenger.Log:
		x.log(e)
	case messenger.Raise:
		x.control.submit(e.Event)
	case messenger.Broadcast:
		x.broadcast(e.Event)
	default:
		x.runByConcern(effect)
	}
}

// runByConcern passes the effect to each concern in turn until one of them runs it.
func (x *Executor) runByConcern(effect messenger.Effect) {
	for _, run := range []func(messenger.Effect) bool{x.runDraft, x.runService, x.runLog, x.runMembership} {
		if run(effect) {
			return
		}
	}
}

// startTask runs a task on a pool. If the pool is full, it submits onFull instead, if that is set.
func (x *Executor) startTask(pool pond.Pool, task func(), onFull messenger.Event) {
	if _, ok := pool.TrySubmit(task); ok {
		return
	}
	counter.Shed.Add(1)
	if onFull != nil {
		x.Submit(onFull)
	}
}
