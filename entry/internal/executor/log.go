package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	// logWait is how long one read of the log waits for a record.
	logWait         = 2 * time.Second
	logReadTimeout  = logWait + 2*time.Second
	tooManyRequests = 429
)

// runLog carries out the effects of the platform's log.
func (x *Executor) runLog(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case committer.AppendLog:
		x.start(x.platformPool, func() { x.appendLog(e) }, committer.AppendFailed{Records: e.Records, NotSent: true})
	case tailer.ReadLog:
		x.start(x.platformPool, func() { x.readLog(e) }, tailer.ReadFailed{Err: "no worker"})
	default:
		return false
	}
	return true
}

func (x *Executor) appendLog(e committer.AppendLog) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	if e.Fresh {
		ctx = httpcaller.WithFresh(ctx)
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

func (x *Executor) readLog(e tailer.ReadLog) {
	ctx, cancel := context.WithTimeout(x.ctx, logReadTimeout)
	defer cancel()
	page, err := x.platform.Read(ctx, e.From, logWait)
	if err != nil {
		x.Submit(tailer.ReadFailed{Err: err.Error()})
		return
	}
	x.offset.Store(int64(page.Next))
	counter.Offset.Set(int64(page.Next))
	x.Submit(tailer.LogRead{Page: page})
	x.Submit(heartbeater.OffsetApplied{Offset: page.Next})
}
