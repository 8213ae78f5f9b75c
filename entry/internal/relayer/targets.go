package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/loadpoller"
	"fuchsiabridge.example/entry/internal/loadtracker"
	"fuchsiabridge.example/entry/internal/placer"
	"fuchsiabridge.example/platform/targetcaller"
)

// sendOrder sends a load or unload order to a target, unless the lease has ended in the meantime.
func (x *Relayer) sendOrder(e placer.SendOrder) {
	if !bootclock.Now().Before(e.Until) {
		x.Submit(placer.OrderAnswered{Target: e.Target, Result: placer.NotSent, Reason: "the lease has ended"})
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, orderTimeout)
	defer cancel()
	answered := placer.OrderAnswered{Target: e.Target}
	service, isLost := x.lostPath(e.Target)
	if !isLost {
		answered.Result, answered.Reason = x.order(ctx, targetcaller.Recipient{Target: e.Target, Address: e.Address}, e.Layers, e.Fence, e.Orders)
	}
	if (isLost || answered.Result == placer.NotSent) && x.delegates != nil {
		call := targetCall{Target: e.Target, Address: e.Address, TimeoutMS: max(0, e.Until.Sub(bootclock.Now()).Milliseconds()), Layers: e.Layers, Fence: e.Fence, Orders: e.Orders}
		answered.Result, answered.Reason = x.orderThrough(ctx, service, call)
	}
	x.Submit(answered)
}

// order sends an order to a target, and returns the result and the reason for it.
func (x *Relayer) order(ctx context.Context, to targetcaller.Recipient, layers identifier.LayerRange, fence identifier.FencingToken, orders int64) (placer.OrderResult, string) {
	err := x.targets.OrderLayers(ctx, to, layers, fence, orders)
	switch {
	case err == nil:
		return placer.Accepted, ""
	case errors.Is(err, targetcaller.ErrUnknown):
		return placer.Unknown, err.Error()
	case errors.Is(err, targetcaller.ErrFenced):
		return placer.Fenced, err.Error()
	case errors.Is(err, targetcaller.ErrConflict):
		return placer.Mismatched, err.Error()
	}
	return placer.NotSent, err.Error()
}

func (x *Relayer) queryState(e placer.QueryState) {
	report, err := x.reportDirectlyOrThrough(e)
	if err != nil {
		eventlogger.Error(err, eventlogger.ReportFailed, "target", e.Target)
		x.Submit(placer.StateUnanswered{Target: e.Target})
		return
	}
	x.Submit(placer.StateReported{Target: e.Target, Report: report})
}

// report requests a report of a target's state, and notes the request limit that the answer names. The call counts
// towards that limit.
func (x *Relayer) report(ctx context.Context, target identifier.TargetID, address string, p patience) (describer.Report, error) {
	if x.isQuiet(target) || !x.awaitGrant(ctx, target, p.grant) {
		return describer.Report{}, errNoGrant
	}
	ctx, cancel := context.WithTimeout(ctx, p.answer)
	defer cancel()
	sent := bootclock.Now()
	report, err := x.targets.Report(ctx, address)
	x.answerRead(forwarder.AnswerHead{Target: target, Kind: limiter.ReportAnswer, Said: report.Said, SentAt: sent})
	return report, err
}

// FirstTargets returns the first targets of the planned chains that may be called now.
func (x *Relayer) FirstTargets() []loadpoller.Target {
	x.Submit(dispatcher.ChainsWanted{})
	return x.collectTargets(x.dispatch.FirstTargets)
}

// Holders returns the targets that may be stages of chains and may be called now.
func (x *Relayer) Holders() []loadpoller.Target { return x.collectTargets(x.dispatch.Holders) }

// collectTargets returns the targets with which each calls use.
func (x *Relayer) collectTargets(each func(now time.Time, use func(target identifier.TargetID, address string))) []loadpoller.Target {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []loadpoller.Target
	each(bootclock.Now(), func(target identifier.TargetID, address string) {
		out = append(out, loadpoller.Target{ID: target, Address: address})
	})
	return out
}

// ReportLoad requests the report of a target's load. Its values are as old as the engine says that they are.
func (x *Relayer) ReportLoad(ctx context.Context, t loadpoller.Target) (loadtracker.Report, error) {
	report, err := x.targets.Report(ctx, t.Address)
	if err != nil {
		return loadtracker.Report{}, err
	}
	return loadtracker.NewReport(t.ID, report, x.reportLagOf(t.ID)), nil
}

func (x *Relayer) reportLagOf(target identifier.TargetID) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.ReportLag(target)
}

// probe asks the first target of a chain which target the request is waiting for.
func (x *Relayer) probe(ctx context.Context, e dispatcher.Probe, id identifier.RequestID) dispatcher.Probed {
	if _, isLost := x.lostPath(e.Target); isLost {
		return dispatcher.Probed{IsUnreached: true, Seed: rand.Uint64()}
	}
	stalled, ok := x.stalledRequests(ctx, e.Target, e.Address, "request", id)
	return dispatcher.Probed{FaultAddress: stalled[id], IsUnanswered: !ok, Seed: rand.Uint64()}
}

// stalledRequests asks a target which of its requests wait for which other target. It returns false if the target
// does not answer, which is logged with the given keys and values.
func (x *Relayer) stalledRequests(ctx context.Context, target identifier.TargetID, address string, keysAndValues ...any) (map[identifier.RequestID]string, bool) {
	report, err := x.report(ctx, target, address, patience{grant: probeTimeout, answer: probeTimeout})
	if errors.Is(err, errNoGrant) {
		// Nothing is known of a target that may not be asked now.
		return nil, true
	}
	if err != nil {
		eventlogger.Error(err, eventlogger.ReportFailed, append([]any{"address", address}, keysAndValues...)...)
		return nil, false
	}
	return report.Stalled, true
}

// probeChain asks the first target of a stalled chain which targets its requests wait for.
func (x *Relayer) probeChain(e dispatcher.ProbeChain) {
	if !sleeper.Sleep(x.ctx, reportLag) {
		return
	}
	if _, isLost := x.lostPath(e.Target); isLost {
		return
	}
	stalled, ok := x.stalledRequests(x.ctx, e.Target, e.Address)
	faulty := slices.Compact(slices.Sorted(maps.Values(stalled)))
	x.Submit(dispatcher.ChainProbed{Target: e.Target, Address: e.Address, FaultAddresses: faulty, IsUnanswered: !ok})
}

// checkTarget checks whether a target answers. Any answer counts: a plain target may not give reports.
func (x *Relayer) checkTarget(e dispatcher.CheckTarget) {
	if service, isLost := x.lostPath(e.Target); isLost {
		x.checkTargetThrough(service, e)
		return
	}
	checked := dispatcher.TargetChecked{Target: e.Target, Address: e.Address}
	report, err := x.report(httpcaller.WithNewConn(x.ctx), e.Target, e.Address, patience{grant: maxCheckDelay, answer: checkTimeout})
	switch {
	case err == nil:
		checked.Incarnation = report.Incarnation
	case errors.Is(err, errNoGrant):
		eventlogger.Error(err, eventlogger.ReportFailed, "target", e.Target, "address", e.Address)
		x.Submit(dispatcher.CheckSkipped{Target: e.Target})
		return
	case !errors.Is(err, targetcaller.ErrNoReport):
		checked.IsUnanswered = true
		eventlogger.Error(err, eventlogger.ReportFailed, "target", e.Target, "address", e.Address)
	}
	x.Submit(checked)
}
