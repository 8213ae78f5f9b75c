package executor

import (
	"github.com/alitto/pond/v2"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/counter"
)

// run carries out one effect; it never blocks the loop that asks for it.
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
		x.runConcern(effect)
	}
}

// runConcern tries the effects of each concern in turn.
func (x *Executor) runConcern(effect messenger.Effect) {
	for _, run := range []func(messenger.Effect) bool{x.runDraft, x.runRecord, x.runLog, x.runMember} {
		if run(effect) {
			return
		}
	}
}

// start runs a task on a pool; when the pool is full it submits the event instead.
func (x *Executor) start(pool pond.Pool, task func(), otherwise messenger.Event) {
	if _, ok := pool.TrySubmit(task); ok {
		return
	}
	counter.Shed.Add(1)
	if otherwise != nil {
		x.Submit(otherwise)
	}
}
