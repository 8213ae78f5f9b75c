package executor

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/leaser"
	"fuchsiabridge.example/entry/internal/orderer"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/tracer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	pollTimeout     = 500 * time.Millisecond
	heartbeatMethod = "heartbeat"
)

// runMember carries out the effects of membership and target health.
func (x *Executor) runMember(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case watcher.ReadVMs:
		x.start(x.controlPool, x.readVMs, nil)
	case watcher.ReadStatus:
		x.start(x.controlPool, func() { x.readStatus(e) }, watcher.StatusFailed(e))
	case watcher.ProbeService:
		x.start(x.controlPool, func() { x.probeService(e) }, watcher.StatusFailed(e))
	case heartbeater.SendHeartbeat:
		x.start(x.controlPool, func() { x.sendHeartbeat(e) }, nil)
	case orderer.SendOrder:
		x.start(x.controlPool, func() { x.sendOrder(e) }, orderer.OrderFailed{Target: e.Target, Fence: e.Order.Fence, NotSent: true, Reason: "no worker"})
	default:
		return false
	}
	return true
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
		x.Submit(watcher.StatusFailed(e))
		return
	}
	x.Submit(watcher.StatusRead{Address: e.Address, Status: status})
}

// probeService dials a service; it sends nothing, as the service's calls may not be repeated.
func (x *Executor) probeService(e watcher.ProbeService) {
	dialer := net.Dialer{Timeout: pollTimeout}
	conn, err := dialer.DialContext(x.ctx, "tcp", e.Address)
	if err != nil {
		x.Submit(watcher.StatusFailed(e))
		return
	}
	_ = conn.Close()
	x.Submit(watcher.ServiceReached(e))
}

func (x *Executor) sendHeartbeat(e heartbeater.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
	defer cancel()
	_, end := tracer.Start("", "peer.heartbeat", "address", e.Address)
	var answer heartbeater.Heartbeat
	err := x.peers.Call(ctx, e.Address, heartbeatMethod, e.Heartbeat, &answer)
	end(err)
	if err != nil {
		x.Submit(heartbeater.HeartbeatFailed{Address: e.Address})
		return
	}
	x.Submit(heartbeater.HeartbeatAnswered{Heartbeat: answer})
}

func (x *Executor) peerHandlers() map[string]peercaller.Handler {
	return map[string]peercaller.Handler{
		checkpointMethod:     x.takeCheckpoints,
		findCheckpointMethod: x.answerFind,
		pullMethod:           x.answerPull,
		isolationMethod:      x.isolationHandler,
		heartbeatMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			var beat heartbeater.Heartbeat
			if err := json.Unmarshal(params, &beat); err != nil {
				return nil, errors.Wrap(err, "decoding a heartbeat")
			}
			return x.ask(ctx, func(id identifier.CallID) messenger.Event {
				return heartbeater.HeartbeatReceived{Call: id, Heartbeat: beat}
			})
		},
	}
}

// sendOrder gives an engine an order, after a last look at the lease's end: on the
// monotonic clock, and on the wall clock for a VM whose monotonic clock stood still.
func (x *Executor) sendOrder(e orderer.SendOrder) {
	failed := orderer.OrderFailed{Target: e.Target, Fence: e.Order.Fence}
	ctx, cancel := context.WithTimeout(x.ctx, leaser.OrderTimeout)
	defer cancel()
	_, end := tracer.Start("", "engine.order", "target", string(e.Target))
	now := time.Now()
	if !now.Before(e.Until) || !now.Round(0).Before(e.Until.Round(0)) {
		failed.NotSent, failed.Reason = true, "the lease lapsed"
		end(errors.New(failed.Reason))
		x.Submit(failed)
		return
	}
	_, err := x.engine.Order(ctx, e.Address, e.Order)
	end(err)
	if err != nil {
		failed.Reason = err.Error()
		x.Submit(failed)
		return
	}
	x.Submit(orderer.OrderDone{Target: e.Target, Fence: e.Order.Fence})
}

// prime notes that the node has seen the state of every target once, so that it may be given work.
func (x *Executor) prime(targets []watcher.Target) {
	for _, t := range targets {
		if t.State == watcher.StateUnknown {
			return
		}
	}
	x.primed.Store(true)
}

// Unwritten returns the number of records that are still on their way to the log.
func (x *Executor) Unwritten() int {
	n, err := x.ask(x.ctx, func(id identifier.CallID) messenger.Event { return committer.UnwrittenRequested{Call: id} })
	if err != nil {
		return 1
	}
	count, _ := n.(int)
	return count
}

// ask submits an event and waits for the one answer that is replied to its call. It
// is no caller's request, so it does not count as open.
func (x *Executor) ask(ctx context.Context, event func(identifier.CallID) messenger.Event) (any, error) {
	id := identifier.CallID(x.nextCall.Add(1))
	answers := make(chan any, 1)
	x.calls.Store(id, answers)
	defer x.calls.Delete(id)
	x.Submit(event(id))
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "asking the reducer")
	}
}
