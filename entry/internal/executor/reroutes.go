package executor

import (
	"context"
	"slices"

	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/entry/internal/rerouter"
	"fuchsiabridge.example/entry/internal/watcher"
	"fuchsiabridge.example/platform/storecaller"
)

// newRerouter returns the caller of targets. A call to a node that gets no answer closes its connection, so questions and calls have
// connections of their own.
func (x *Executor) newRerouter(cfg Config) *rerouter.Caller {
	self := storecaller.Member{Node: cfg.Self.Node, DataCentre: cfg.Self.DataCentre, Address: cfg.Self.Address}
	return rerouter.NewCaller(x.ctx, rerouter.Config{
		Targets:   cfg.Targets,
		Answers:   cfg.Answers,
		Peers:     peercaller.NewCaller(nil, cfg.PeerTLS, cfg.Answers),
		Delegates: delegator.NewFinder(x.ctx, self, peercaller.NewCaller(nil, cfg.PeerTLS, cfg.Answers), peerMembers{x}),
		Serves:    x.servesTarget,
	})
}

// servesTarget reports whether this node makes calls to the target at an address for other nodes.
func (x *Executor) servesTarget(address string) bool {
	targets := x.targets.Load()
	if targets == nil || x.leaving.Load() {
		return false
	}
	return slices.ContainsFunc(*targets, func(t watcher.Target) bool { return t.Address == address })
}

// peerMembers lists the nodes that other nodes may be asked for calls.
type peerMembers struct{ x *Executor }

// Members returns the peers that are alive.
func (m peerMembers) Members(context.Context) ([]storecaller.Member, error) {
	peers := m.x.peerList.Load()
	if peers == nil {
		return nil, nil
	}
	var members []storecaller.Member
	for _, p := range *peers {
		if p.State == heartbeater.StateAlive {
			members = append(members, storecaller.Member{Node: p.Node, DataCentre: p.DataCentre, Address: p.Address})
		}
	}
	return members, nil
}
