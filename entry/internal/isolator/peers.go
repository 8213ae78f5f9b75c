package isolator

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

// heard takes in what a peer suspects, tries, clears and convicts.
func (i *Isolator) heard(now time.Time, n Notice) []messenger.Effect {
	for _, t := range n.Wanted {
		i.note(n.Node, t, remoteTrial{fingerprint: t.Fingerprint, until: now.Add(trialLimit)})
	}
	for _, t := range n.Trials {
		i.note(n.Node, t, remoteTrial{fingerprint: t.Fingerprint, isRunning: true, until: now.Add(trialLimit)})
	}
	var effects []messenger.Effect
	for _, f := range n.Suspected {
		i.suspects[f] = now.Add(suspectFor)
	}
	if len(n.Suspected) > 0 {
		effects = append(effects, i.broadcastSuspects())
	}
	for _, f := range n.Cleared {
		i.endRemote(now, n.Node, f, true)
		i.dropWanted(f)
		effects = append(effects, i.clear(f)...)
	}
	for _, f := range n.Convicted {
		i.endRemote(now, n.Node, f, false)
		if _, ok := i.convicted[f]; !ok {
			effects = append(effects, i.convict(now, f)...)
		}
	}
	return effects
}

// note keeps a peer's trial; a request is at one target of a peer at a time.
func (i *Isolator) note(node identifier.NodeID, t Trial, r remoteTrial) {
	for _, trials := range i.remote {
		if trials[node].fingerprint == t.Fingerprint {
			delete(trials, node)
		}
	}
	if i.remote[t.Target] == nil {
		i.remote[t.Target] = map[identifier.NodeID]remoteTrial{}
	}
	i.remote[t.Target][node] = r
}

// endRemote drops a peer's trial; its target is alive when the suspect passed, else dead.
func (i *Isolator) endRemote(now time.Time, node identifier.NodeID, fingerprint string, passed bool) {
	for target, trials := range i.remote {
		r, ok := trials[node]
		if !ok || r.fingerprint != fingerprint {
			continue
		}
		delete(trials, node)
		switch {
		case passed && r.isRunning:
			i.aliveAt[target] = now
		case r.isRunning:
			i.targetLost(now, target)
		}
	}
}

// peersChanged tells peers that have just come what is convicted.
func (i *Isolator) peersChanged(ev heartbeater.PeersChanged) []messenger.Effect {
	var fresh []string
	for _, p := range ev.Peers {
		if p.State == heartbeater.StateDead {
			for _, trials := range i.remote {
				delete(trials, p.Node)
			}
		}
		before, known := i.peers[p.Node]
		i.peers[p.Node] = p
		if p.State == heartbeater.StateAlive && (!known || before.State == heartbeater.StateDead || before.Incarnation != p.Incarnation) {
			fresh = append(fresh, p.Address)
		}
	}
	if len(fresh) == 0 || len(i.convicted) == 0 {
		return nil
	}
	return []messenger.Effect{TellPeers{Addresses: fresh, Notice: Notice{Convicted: keys(i.convicted)}}}
}

// tell sends what came up in one event as one notice.
func (i *Isolator) tell() []messenger.Effect {
	if i.notice.isEmpty() {
		return nil
	}
	notice := i.notice
	i.notice = Notice{}
	var addresses []string
	for _, id := range keys(i.peers) {
		if i.peers[id].State != heartbeater.StateDead {
			addresses = append(addresses, i.peers[id].Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	return []messenger.Effect{TellPeers{Addresses: addresses, Notice: notice}}
}

func (n *Notice) isEmpty() bool {
	return len(n.Suspected)+len(n.Wanted)+len(n.Trials)+len(n.Cleared)+len(n.Convicted) == 0
}
