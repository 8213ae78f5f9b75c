package executor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/checkpointer"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/isolator"
	"fuchsiabridge.example/entry/internal/tracer"
)

const (
	checkpointMethod     = "checkpoint"
	findCheckpointMethod = "find_checkpoint"
	// checkpointGrace is how long the search waits for newer checkpoints after it has found one.
	checkpointGrace = 50 * time.Millisecond
)

// runDraft runs the effects of drafts and admission.
func (x *Executor) runDraft(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case admitter.Begin:
		x.Submit(e.Request)
	case isolator.Route:
		x.Submit(e.Event)
	case drafter.SendStep:
		x.steps.Send(e)
	case drafter.CancelDraft:
		x.startTask(x.controlPool, func() { x.cancelDraft(e) }, nil)
	case drafter.ExportKV:
		x.startTask(x.stepPool, func() { x.exportKV(e) }, drafter.KVExported{Target: e.Target, Draft: e.Draft, Epoch: e.Epoch, Failed: true})
	case drafter.ImportKV:
		x.startTask(x.stepPool, func() { x.importKV(e) }, drafter.KVImported{Target: e.Target, Draft: e.KV.Draft, Epoch: e.KV.Epoch, Failed: true})
	case drafter.FindCheckpoint:
		x.startTask(x.controlPool, func() { x.findCheckpoint(e) }, drafter.CheckpointFound{Draft: e.Draft})
	case drafter.SendCheckpoints:
		x.startTask(x.controlPool, func() { x.sendCheckpoints(e) }, nil)
	default:
		return false
	}
	return true
}

func (x *Executor) cancelDraft(e drafter.CancelDraft) {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
	defer cancel()
	// If the cancel is lost, the draft occupies the engine's memory until the engine evicts it as its
	// oldest draft.
	_ = x.engine.Cancel(ctx, e.Address, e.Draft, e.Epoch)
}

func (x *Executor) exportKV(e drafter.ExportKV) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	_, end := tracer.Start("", "engine.export_kv", "target", string(e.Target))
	kv, err := x.engine.ExportKV(ctx, e.Address, e.Draft, e.Epoch)
	end(err)
	x.Submit(drafter.KVExported{Target: e.Target, Draft: e.Draft, Epoch: e.Epoch, KV: kv, Failed: err != nil})
}

func (x *Executor) importKV(e drafter.ImportKV) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	_, end := tracer.Start("", "engine.import_kv", "target", string(e.Target))
	err := x.engine.ImportKV(ctx, e.Address, e.KV)
	end(err)
	x.Submit(drafter.KVImported{Target: e.Target, Draft: e.KV.Draft, Epoch: e.KV.Epoch, Failed: err != nil})
}

// findCheckpoint asks this node and all peers in parallel and submits the newest checkpoint.
func (x *Executor) findCheckpoint(e drafter.FindCheckpoint) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	group := x.checkpointPool.NewGroupContext(ctx)
	found := make(chan checkpointer.Checkpoint, len(e.Addresses)+1)
	group.Submit(func() { found <- x.localCheckpoint(ctx, e.Draft) })
	for _, address := range e.Addresses {
		group.Submit(func() { found <- x.findPeerCheckpoint(ctx, address, e.Draft) })
	}
	newest := newestCheckpoint(ctx, checkpointer.Checkpoint{Draft: e.Draft}, found, len(e.Addresses)+1)
	x.Submit(drafter.CheckpointFound{Draft: e.Draft, Checkpoint: newest})
}

// newestCheckpoint returns the newest of n checkpoints. Once it has one, it waits for the others
// for checkpointGrace at most.
func newestCheckpoint(ctx context.Context, newest checkpointer.Checkpoint, found <-chan checkpointer.Checkpoint, n int) checkpointer.Checkpoint {
	for range n {
		select {
		case c := <-found:
			newest = newest.Newer(c)
		case <-ctx.Done():
			return newest
		}
		if newest.Epoch == 0 {
			continue
		}
		graceCtx, cancel := context.WithTimeout(ctx, checkpointGrace)
		defer cancel()
		ctx = graceCtx
	}
	return newest
}

func (x *Executor) findPeerCheckpoint(ctx context.Context, address string, id identifier.DraftID) checkpointer.Checkpoint {
	var c checkpointer.Checkpoint
	_, end := tracer.Start("", "peer.find_checkpoint", "address", address)
	err := x.peers.Call(ctx, address, findCheckpointMethod, findCheckpointParams{Draft: id}, &c)
	end(err)
	return c
}

// localCheckpoint asks this node's control reducer.
func (x *Executor) localCheckpoint(ctx context.Context, id identifier.DraftID) checkpointer.Checkpoint {
	call, answers := x.Call(1, func(call identifier.CallID) messenger.Event {
		return checkpointer.Requested{Call: call, Draft: id}
	})
	defer x.Close(call)
	select {
	case a := <-answers:
		c, _ := a.(checkpointer.Checkpoint)
		return c
	case <-ctx.Done():
		return checkpointer.Checkpoint{}
	}
}

func (x *Executor) sendCheckpoints(e drafter.SendCheckpoints) {
	ctx, cancel := context.WithTimeout(x.ctx, controlTimeout)
	defer cancel()
	_, end := tracer.Start("", "peer.checkpoint", "address", e.Address)
	err := x.peers.Call(ctx, e.Address, checkpointMethod, e.Checkpoints, nil)
	end(err)
	if err == nil {
		return
	}
	for _, c := range e.Checkpoints {
		x.Submit(drafter.CheckpointLost{Draft: c.Draft})
	}
}

// findCheckpointParams are the parameters of findCheckpointMethod.
type findCheckpointParams struct {
	Draft identifier.DraftID `json:"draft"`
}

func (x *Executor) handleCheckpoints(_ context.Context, params json.RawMessage) (any, error) {
	var list []checkpointer.Checkpoint
	if err := json.Unmarshal(params, &list); err != nil {
		return nil, errors.Wrap(err, "decoding checkpoints")
	}
	x.Submit(checkpointer.Received{Checkpoints: list})
	return struct{}{}, nil
}

func (x *Executor) handleFindCheckpoint(ctx context.Context, params json.RawMessage) (any, error) {
	var r findCheckpointParams
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, "decoding a checkpoint request")
	}
	return x.localCheckpoint(ctx, r.Draft), nil
}
