package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	tooManyRequests = 429
	// appendTimeout bounds one append, because its connection may be dead.
	appendTimeout = 5 * time.Second
)

// runLog runs the effects on the platform's log.
func (x *Executor) runLog(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case committer.AppendLog:
		x.startTask(x.platformPool, func() { x.appendLog(e) }, committer.AppendFailed{Records: e.Records, NotSent: true})
	case tailer.ReadLog:
		x.startTask(x.platformPool, func() { x.readLog(e) }, tailer.ReadFailed{Err: "the worker pool is full"})
	case tailer.OffsetApplied:
		x.offset.Store(int64(e.Offset))
		counter.Offset.Set(int64(e.Offset))
	case tailer.WriteSnapshot:
		x.startTask(x.platformPool, func() { x.writeSnapshot(e) }, nil)
	case tailer.PullRecords:
		x.startTask(x.controlPool, func() { x.pullRecords(e) }, tailer.PullFailed{Address: e.Address})
	default:
		return false
	}
	return true
}

func (x *Executor) appendLog(e committer.AppendLog) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	if e.NewConn {
		ctx = httpcaller.WithNewConn(ctx)
	}
	_, end := tracer.Start("", "platform.append")
	first, err := x.platform.Append(ctx, e.Records)
	end(err)
	counter.Appends.Add(1)
	if err == nil {
		x.Submit(committer.AppendDone{Records: e.Records, First: first})
		return
	}
	failed := committer.AppendFailed{Records: e.Records, NotSent: errors.Is(err, httpcaller.ErrNotSent)}
	var status *httpcaller.StatusError
	if errors.As(err, &status) && status.Status == tooManyRequests {
		failed.Refused = true
	}
	x.Submit(failed)
}

// writeSnapshot encodes the state outside the reducer and then submits the append.
func (x *Executor) writeSnapshot(e tailer.WriteSnapshot) {
	if r, err := e.Record(); err == nil {
		x.Submit(committer.Append{Record: r, Deadline: e.Deadline})
	}
}

func (x *Executor) readLog(e tailer.ReadLog) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	page, err := x.platform.Read(ctx, platformcaller.ReadRequest{From: e.From, Wait: e.Wait, NewConn: e.NewConn})
	if err != nil {
		x.Submit(tailer.ReadFailed{Err: err.Error()})
		return
	}
	x.Submit(tailer.LogRead{Page: page})
}
