package heartbeater

import (
	"math/bits"
	"time"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/watcher"
)

// applyGossip applies what a peer's heartbeat reports about other members, VMs and targets.
func (h *Heartbeater) applyGossip(now time.Time, beat Heartbeat) []messenger.Effect {
	var effects []messenger.Effect
	for _, reported := range beat.Members {
		effects = append(effects, h.applyMember(now, reported)...)
	}
	h.hasMembers = h.hasMembers || beat.HasVMList
	if beat.HasVMList && h.vms == nil {
		// The platform's VM list could not be read yet. A peer's list is better than none.
		effects = append(effects, messenger.Raise{Event: watcher.VMsRead{VMs: beat.VMs}})
	}
	if len(beat.Reports) > 0 {
		effects = append(effects, messenger.Raise{Event: watcher.ReportsReceived{Reports: beat.Reports}})
	}
	return effects
}

func (h *Heartbeater) applyMember(now time.Time, reported Member) []messenger.Effect {
	if reported.Node == h.self.Node {
		h.refute(reported)
		return nil
	}
	m, known := h.members[reported.Node]
	if known && !supersedes(reported, m.peer) {
		return nil
	}
	if !known && reported.State == StateDead {
		return nil
	}
	if h.isMesh() && known {
		// In a full mesh each node gets heartbeats from every other, which are better evidence.
		return nil
	}
	m = h.member(reported.Node)
	if reported.Incarnation != m.peer.Incarnation {
		m.peer.Heartbeat = Heartbeat{Node: reported.Node, Incarnation: reported.Incarnation, Address: reported.Address, DataCentre: reported.DataCentre}
		m.lastHeard = now
	}
	m.peer.Refutation = reported.Refutation
	m.peer.Leaving = m.peer.Leaving || reported.State == StateLeaving
	m.misses = 0
	return h.setState(now, m, reported.State, "reported by a peer")
}

// supersedes reports whether the reported state of a peer is newer than the known one.
func supersedes(reported Member, known Peer) bool {
	if reported.Incarnation != known.Incarnation {
		return reported.Incarnation > known.Incarnation
	}
	if known.State == StateLeaving || reported.State == StateLeaving {
		return severity(reported.State) > severity(known.State)
	}
	if reported.Refutation != known.Refutation {
		return reported.Refutation > known.Refutation
	}
	return severity(reported.State) > severity(known.State)
}

// severity orders the states: within an incarnation and refutation number, a higher one supersedes a
// lower one.
func severity(s State) int {
	switch s {
	case StateSuspect:
		return 1
	case StateLeaving:
		return 2
	case StateDead:
		return 3
	default:
		return 0
	}
}

// refute answers a suspicion of this node with a higher refutation number.
func (h *Heartbeater) refute(reported Member) {
	isSuspicion := reported.State == StateSuspect || reported.State == StateDead
	if !isSuspicion || reported.Incarnation != h.self.Incarnation || reported.Refutation < h.self.Refutation {
		return
	}
	h.self.Refutation = reported.Refutation + 1
	h.outbox.addMember(h.selfMember(), h.transmits())
}

func (h *Heartbeater) memberOf(m *member) Member {
	p := m.peer
	return Member{p.Node, p.Incarnation, p.Refutation, p.Address, p.DataCentre, p.State}
}

func (h *Heartbeater) selfMember() Member {
	s := h.self
	state := StateAlive
	if s.Leaving {
		state = StateLeaving
	}
	return Member{s.Node, s.Incarnation, s.Refutation, s.Address, s.DataCentre, state}
}

func (h *Heartbeater) allMembers() []Member {
	members := make([]Member, 0, len(h.members))
	for _, m := range h.sortedMembers() {
		members = append(members, h.memberOf(m))
	}
	return members
}

// transmits returns the number of rounds in which a node sends an update, so that gossip reaches
// all members.
func (h *Heartbeater) transmits() int {
	if h.isMesh() {
		return 1
	}
	return 1 + bits.Len(uint(len(h.members)))/2
}
