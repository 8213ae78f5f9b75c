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
	// settleTime is how long an answer waits for a newer one.
	settleTime = 50 * time.Millisecond
)

// runDraft carries out the effects of drafts and admission.
func (x *Executor) runDraft(effect messenger.Effect) bool {
	switch e := effect.(type) {
	case admitter.Begin:
		x.Submit(e.Arrived)
	case isolator.Route:
		x.Submit(e.Event)
	case drafter.SendStep:
		x.steps.Send(e)
	case drafter.CancelDraft:
		x.start(x.controlPool, func() { x.cancelDraft(e) }, nil)
	case drafter.ExportKV:
		x.start(x.stepPool, func() { x.exportKV(e) }, drafter.KVExported{Target: e.Target, Draft: e.Draft, Epoch: e.Epoch, Failed: true})
	case drafter.ImportKV:
		x.start(x.stepPool, func() { x.importKV(e) }, drafter.KVImported{Target: e.Target, Draft: e.KV.Draft, Epoch: e.KV.Epoch, Failed: true})
	case drafter.FindCheckpoint:
		x.start(x.controlPool, func() { x.findCheckpoint(e) }, drafter.CheckpointFound{Draft: e.Draft})
	case drafter.SendCheckpoints:
		x.start(x.controlPool, func() { x.sendCheckpoints(e) }, nil)
	default:
		return false
	}
	return true
}

func (x *Executor) cancelDraft(e drafter.CancelDraft) {
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
	defer cancel()
	// A cancel that is lost costs the engine memory until the draft is its oldest; nothing else.
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

// findCheckpoint asks this node and the peers at once, and submits the newest answer.
func (x *Executor) findCheckpoint(e drafter.FindCheckpoint) {
	ctx, cancel := context.WithDeadline(x.ctx, e.Deadline)
	defer cancel()
	group := x.askPool.NewGroupContext(ctx)
	found := make(chan checkpointer.Checkpoint, len(e.Addresses)+1)
	group.Submit(func() { found <- x.ownCheckpoint(ctx, e.Draft) })
	for _, address := range e.Addresses {
		group.Submit(func() { found <- x.askPeer(ctx, address, e.Draft) })
	}
	newest := newestOf(ctx, checkpointer.Checkpoint{Draft: e.Draft}, found, len(e.Addresses)+1)
	x.Submit(drafter.CheckpointFound{Draft: e.Draft, Checkpoint: newest})
}

// newestOf returns the newest of n answers; once there is one, it waits only a little for the others.
func newestOf(ctx context.Context, newest checkpointer.Checkpoint, found <-chan checkpointer.Checkpoint, n int) checkpointer.Checkpoint {
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
		soon, cancel := context.WithTimeout(ctx, settleTime)
		defer cancel()
		ctx = soon
	}
	return newest
}

func (x *Executor) askPeer(ctx context.Context, address string, id identifier.DraftID) checkpointer.Checkpoint {
	var c checkpointer.Checkpoint
	_, end := tracer.Start("", "peer.find_checkpoint", "address", address)
	err := x.peers.Call(ctx, address, findCheckpointMethod, findRequest{Draft: id}, &c)
	end(err)
	return c
}

// ownCheckpoint asks this node's control reducer.
func (x *Executor) ownCheckpoint(ctx context.Context, id identifier.DraftID) checkpointer.Checkpoint {
	call, answers := x.Call(1, func(call identifier.CallID) messenger.Event {
		return checkpointer.Asked{Call: call, Draft: id}
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
	ctx, cancel := context.WithTimeout(x.ctx, pollTimeout)
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

// findRequest is what a peer is asked with findCheckpointMethod.
type findRequest struct {
	Draft identifier.DraftID `json:"draft"`
}

func (x *Executor) takeCheckpoints(_ context.Context, params json.RawMessage) (any, error) {
	var list []checkpointer.Checkpoint
	if err := json.Unmarshal(params, &list); err != nil {
		return nil, errors.Wrap(err, "decoding checkpoints")
	}
	x.Submit(checkpointer.Received{Checkpoints: list})
	return struct{}{}, nil
}

func (x *Executor) answerFind(ctx context.Context, params json.RawMessage) (any, error) {
	var r findRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, errors.Wrap(err, "decoding a question for a checkpoint")
	}
	return x.ownCheckpoint(ctx, r.Draft), nil
}
