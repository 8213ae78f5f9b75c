package executor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/retrier"
	"fuchsiabridge.example/entry/internal/tailer"
	"fuchsiabridge.example/entry/internal/tracer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// logWait is how long one read of the log waits for a record.
	logWait         = 2 * time.Second
	logReadTimeout  = logWait + 2*time.Second
	pollTimeout     = 500 * time.Millisecond
	heartbeatMethod = "heartbeat"
	tooManyRequests = 429
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
	case admitter.Begin:
		x.Submit(e.Arrived)
	case drafter.SendStep:
		x.steps.Send(e)
	case drafter.CancelDraft:
		x.start(x.controlPool, func() { x.cancelDraft(e) }, nil)
	case committer.AppendLog:
		x.start(x.platformPool, func() { x.appendLog(e) }, committer.AppendFailed{Records: e.Records, NotSent: true})
	case tailer.ReadLog:
		x.start(x.platformPool, func() { x.readLog(e) }, tailer.ReadFailed{Err: "no worker"})
	case watcher.ReadVMs:
		x.start(x.controlPool, x.readVMs, nil)
	case watcher.ReadStatus:
		x.start(x.controlPool, func() { x.readStatus(e) }, watcher.StatusFailed{Target: e.Target})
	case heartbeater.SendHeartbeat:
		x.start(x.controlPool, func() { x.sendHeartbeat(e) }, nil)
	case recorder.CallService:
		x.start(x.servicePool, func() { x.callService(e) }, recorder.ServiceFailed{Key: e.Key, Target: e.Target, NotSent: true})
	case retrier.CallService:
		x.start(x.servicePool, func() { x.callIdempotent(e) }, retrier.Failed{Call: e.Call, Target: e.Target})
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

func (x *Executor) cancelDraft(e drafter.CancelDraft) {
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
	defer cancel()
	// A cancel that is lost costs the engine memory until the draft is its oldest; nothing else.
	_ = x.engine.Cancel(ctx, e.Address, e.Draft, e.Epoch)
}

func (x *Executor) appendLog(e committer.AppendLog) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
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

func (x *Executor) readVMs() {
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
	defer cancel()
	if vms, err := x.platform.VMs(ctx); err == nil {
		x.Submit(watcher.VMsRead{VMs: vms})
	}
}

func (x *Executor) readStatus(e watcher.ReadStatus) {
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
	defer cancel()
	status, err := x.engine.Status(ctx, e.Address)
	if err != nil || status.Target != e.Target {
		x.Submit(watcher.StatusFailed{Target: e.Target})
		return
	}
	x.Submit(watcher.StatusRead{Status: status})
}

func (x *Executor) sendHeartbeat(e heartbeater.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
	defer cancel()
	_, end := tracer.Start("", "peer.heartbeat", "address", e.Address)
	var answer heartbeater.Heartbeat
	err := x.peers.Call(ctx, e.Address, heartbeatMethod, e.Heartbeat, &answer)
	end(err)
	if err == nil {
		x.Submit(heartbeater.Heard{Heartbeat: answer})
	}
}

func (x *Executor) peerHandlers() map[string]peercaller.Handler {
	return map[string]peercaller.Handler{
		heartbeatMethod: func(_ context.Context, params json.RawMessage) (any, error) {
			var beat heartbeater.Heartbeat
			if err := json.Unmarshal(params, &beat); err != nil {
				return nil, errors.Wrap(err, "decoding a heartbeat")
			}
			x.Submit(heartbeater.Heard{Heartbeat: beat})
			self := x.self
			self.Leaving = x.leaving.Load()
			self.Offset = x.Offset()
			return self, nil
		},
	}
}

// callService makes a call that must not be repeated, on a connection of its own.
func (x *Executor) callService(e recorder.CallService) {
	answer, err := x.call(e, true)
	if err != nil {
		x.Submit(recorder.ServiceFailed{Key: e.Key, Target: e.Target, NotSent: errors.Is(err, httpcaller.ErrNotSent)})
		return
	}
	x.Submit(answer)
}

func (x *Executor) callIdempotent(e retrier.CallService) {
	answer, err := x.call(e.CallService, false)
	if err != nil {
		x.Submit(retrier.Failed{Call: e.Call, Target: e.Target})
		return
	}
	x.Submit(retrier.Answered{Call: e.Call, ServiceAnswered: answer})
}

func (x *Executor) call(e recorder.CallService, fresh bool) (recorder.ServiceAnswered, error) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	traceparent, end := tracer.Start(e.Traceparent, "service.call", "target", string(e.Target))
	r := httpcaller.Request{
		Method: e.Method, URL: "http://" + e.Address + e.Path, Body: e.Body, Fresh: fresh,
		Header: map[string]string{tracer.Header: traceparent},
	}
	for k, v := range e.Header {
		r.Header[k] = v
	}
	answer, err := x.services.Do(ctx, r)
	end(err)
	if err != nil {
		return recorder.ServiceAnswered{}, err
	}
	return recorder.ServiceAnswered{
		Key: e.Key, Status: answer.Status, Body: answer.Body, ContentType: answer.Header["Content-Type"],
	}, nil
}
