package executor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
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
		x.start(x.controlPool, func() { x.readStatus(e) }, watcher.StatusFailed{Target: e.Target})
	case heartbeater.SendHeartbeat:
		x.start(x.controlPool, func() { x.sendHeartbeat(e) }, nil)
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
		checkpointMethod:     x.takeCheckpoints,
		findCheckpointMethod: x.answerFind,
		pullMethod:           x.answerPull,
		isolationMethod:      x.isolationHandler,
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
