package executor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/committer"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/leaser"
	"fuchsiabridge.example/entry/internal/orderer"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/rerouter"
	"fuchsiabridge.example/entry/internal/tracer"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// controlTimeout bounds one control call, such as a status poll, a heartbeat or a cancel, and the
	// wait for a reducer's answer.
	controlTimeout  = 500 * time.Millisecond
	heartbeatMethod = "heartbeat"
)

// runMembership runs the effects of membership and target health.
func (x *Executor) runMembership(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case watcher.ReadVMs:
		x.startTask(x.controlPool, x.readVMs, nil)
	case watcher.ReadStatus:
		x.startTask(x.controlPool, func() { x.readStatus(e) }, watcher.StatusFailed(e))
	case watcher.ProbeService:
		x.startTask(x.controlPool, func() { x.probeService(e) }, watcher.StatusFailed(e))
	case heartbeater.SendHeartbeat:
		x.startTask(x.controlPool, func() { x.sendHeartbeat(e) }, nil)
	case orderer.SendOrder:
		x.startTask(x.controlPool, func() { x.sendOrder(e) }, orderer.OrderFailed{Target: e.Target, Fence: e.Order.Fence, NotSent: true, Reason: "the worker pool is full"})
	default:
		return false
	}
	return true
}

func (x *Executor) readVMs() {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
	defer cancel()
	if vms, err := x.platform.VMs(ctx); err == nil {
		x.Submit(watcher.VMsRead{VMs: vms})
	}
}

func (x *Executor) readStatus(e watcher.ReadStatus) {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
	defer cancel()
	status, err := x.engine.Status(ctx, e.Address)
	if err != nil || status.Target != e.Target {
		x.Submit(watcher.StatusFailed(e))
		return
	}
	x.Submit(watcher.StatusRead{Address: e.Address, Status: status})
}

// probeService checks that a service accepts connections. It sends nothing, because calls to the service may
// not be idempotent.
func (x *Executor) probeService(e watcher.ProbeService) {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
	defer cancel()
	if !x.rerouter.Reach(ctx, e.Address) {
		x.Submit(watcher.StatusFailed(e))
		return
	}
	x.Submit(watcher.ServiceReached(e))
}

func (x *Executor) sendHeartbeat(e heartbeater.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
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
		checkpointMethod:     x.handleCheckpoints,
		findCheckpointMethod: x.handleFindCheckpoint,
		pullMethod:           x.handlePullRecords,
		isolationMethod:      x.handleIsolationNotice,

		delegator.OfferMethod: x.rerouter.ServeOffer,
		rerouter.CallMethod:   x.rerouter.ServeCall,
		heartbeatMethod: func(ctx context.Context, params json.RawMessage) (any, error) {
			var beat heartbeater.Heartbeat
			if err := json.Unmarshal(params, &beat); err != nil {
				return nil, errors.Wrap(err, "decoding a heartbeat")
			}
			return x.callReducer(ctx, func(id identifier.CallID) messenger.Event {
				return heartbeater.HeartbeatReceived{Call: id, Heartbeat: beat}
			})
		},
	}
}

// sendOrder sends an order to an engine unless the lease has expired. It checks the monotonic clock,
// and also the wall clock in case the VM was suspended while its monotonic clock stood still.
func (x *Executor) sendOrder(e orderer.SendOrder) {
	failed := orderer.OrderFailed{Target: e.Target, Fence: e.Order.Fence}
	ctx, cancel := context.WithTimeout(x.ctx, leaser.OrderTimeout)
	defer cancel()
	_, end := tracer.Start("", "engine.order", "target", string(e.Target))
	now := time.Now()
	if !now.Before(e.Until) || !now.Round(0).Before(e.Until.Round(0)) {
		failed.NotSent, failed.Reason = true, "the lease has expired"
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

// markTargetsSeen records that the state of every target has been known once, as Ready requires.
func (x *Executor) markTargetsSeen(targets []watcher.Target) {
	for _, t := range targets {
		if t.State == watcher.StateUnknown {
			return
		}
	}
	x.hasSeenTargets.Store(true)
}

// Unwritten returns the number of records that are queued or in flight to the log. It returns 1 if
// the reducer does not answer, so that a node that shuts down keeps waiting.
func (x *Executor) Unwritten() int {
	n, err := x.callReducer(x.ctx, func(id identifier.CallID) messenger.Event { return committer.UnwrittenRequested{Call: id} })
	if err != nil {
		return 1
	}
	count, _ := n.(int)
	return count
}

// callReducer submits an event and waits for its only answer. Unlike Call it does not count as an
// open call, so that a shutdown does not wait for it.
func (x *Executor) callReducer(ctx context.Context, event func(identifier.CallID) messenger.Event) (any, error) {
	id := identifier.CallID(x.nextCall.Add(1))
	answers := make(chan any, 1)
	x.calls.Store(id, answers)
	defer x.calls.Delete(id)
	x.Submit(event(id))
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "waiting for the reducer")
	}
}
