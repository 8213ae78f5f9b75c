package executor

import (
	"context"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/admitter"
	"fuchsiabridge.example/entry/internal/drafter"
	"fuchsiabridge.example/entry/internal/isolator"
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
