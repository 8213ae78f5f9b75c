package executor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/recorder"
	"fuchsiabridge.example/entry/internal/retrier"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	isolationMethod = "isolation"
	recordsTimeout  = 2 * time.Second
)

// runService runs the effects of calls to plain services, which are services without layers, and of
// the recorder and the isolator.
func (x *Executor) runService(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case recorder.CallService:
		x.startTask(x.servicePool, func() { x.callService(e) }, recorder.ServiceFailed{Key: e.Key, Target: e.Target, NotSent: true})
	case recorder.ReadRecords:
		x.startTask(x.platformPool, func() { x.readRecords(e) }, recorder.RecordsRead{Failed: true})
	case isolator.NotifyPeers:
		for _, address := range e.Addresses {
			x.startTask(x.controlPool, func() { x.notifyPeer(address, e.Notice) }, nil)
		}
	case retrier.CallService:
		x.startTask(x.servicePool, func() { x.callIdempotent(e) }, retrier.Failed{Call: e.Call, Target: e.Target, NotSent: true})
	default:
		return false
	}
	return true
}

// readRecords reads records that the tailer skipped.
func (x *Executor) readRecords(e recorder.ReadRecords) {
	ctx, cancel := context.WithTimeout(x.ctx, recordsTimeout)
	defer cancel()
	page, err := x.platform.Read(ctx, platformcaller.ReadRequest{From: e.From, NewConn: true})
	x.Submit(recorder.RecordsRead{Page: page, Failed: err != nil})
}

// notifyPeer sends a notice to a peer. A lost notice delays a decision but does not change it.
func (x *Executor) notifyPeer(address string, notice isolator.Notice) {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
	defer cancel()
	notice.Node = x.self.Node
	_ = x.peers.Call(ctx, address, isolationMethod, notice, nil)
}

// handleIsolationNotice submits a peer's notice.
func (x *Executor) handleIsolationNotice(_ context.Context, params json.RawMessage) (any, error) {
	var notice isolator.Notice
	if err := json.Unmarshal(params, &notice); err != nil {
		return nil, errors.Wrap(err, "decoding an isolation notice")
	}
	x.Submit(isolator.NoticeReceived{Notice: notice})
	return struct{}{}, nil
}

// callService makes a call that must not be repeated, on a new connection.
func (x *Executor) callService(e recorder.CallService) {
	answer, err := x.call(e, true)
	if err != nil {
		x.Submit(recorder.ServiceFailed{Key: e.Key, Target: e.Target, NotSent: errors.Is(err, httpcaller.ErrNotSent)})
		return
	}
	x.Submit(answer)
}

func (x *Executor) callIdempotent(e retrier.CallService) {
	answer, err := x.call(e.CallService, e.NewConn)
	if err != nil {
		x.Submit(retrier.Failed{Call: e.Call, Target: e.Target, NotSent: errors.Is(err, httpcaller.ErrNotSent)})
		return
	}
	x.Submit(retrier.Answered{Call: e.Call, ServiceAnswered: answer})
}

func (x *Executor) call(e recorder.CallService, newConn bool) (recorder.ServiceAnswered, error) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	traceparent, end := tracer.Start(e.Traceparent, "service.call", "target", string(e.Target))
	r := httpcaller.Request{
		Method: e.Method, URL: "http://" + e.Address + e.Path, Body: e.Body, NewConn: newConn,
		Header: map[string]string{tracer.Header: traceparent},
	}
	for k, v := range e.Header {
		r.Header[k] = v
	}
	answer, err := x.rerouter.Do(ctx, r)
	end(err)
	if err != nil {
		return recorder.ServiceAnswered{}, err
	}
	return recorder.ServiceAnswered{
		Key: e.Key, Status: answer.Status, Body: answer.Body, ContentType: answer.Header["Content-Type"],
	}, nil
}
