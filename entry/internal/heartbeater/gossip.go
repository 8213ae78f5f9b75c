package heartbeater

import (
	"math/bits"
	"time"

	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/watcher"
)

// gossip takes what a peer tells of others.
func (h *Heartbeater) gossip(now time.Time, beat Heartbeat) []messenger.Effect {
	var effects []messenger.Effect
	for _, told := range beat.Members {
		effects = append(effects, h.hear(now, told)...)
	}
	h.isTold = h.isTold || beat.Listed
	if beat.Listed && h.vms == nil {
		// The platform's list could not be read yet; a peer's is better than none.
		effects = append(effects, messenger.Raise{Event: watcher.VMsRead{VMs: beat.VMs}})
	}
	if len(beat.Reports) > 0 {
		effects = append(effects, messenger.Raise{Event: watcher.ReportsHeard{Reports: beat.Reports}})
	}
	return effects
}

func (h *Heartbeater) hear(now time.Time, told Member) []messenger.Effect {
	if told.Node == h.self.Node {
		h.deny(told)
		return nil
	}
	m, known := h.members[told.Node]
	if known && !supersedes(told, m.peer) {
		return nil
	}
	if !known && told.State == StateDead {
		return nil
	}
	if h.isMesh() && known {
		// Each node hears every other itself, which is the better evidence.
		return nil
	}
	m = h.member(told.Node)
	if told.Incarnation != m.peer.Incarnation {
		m.peer.Heartbeat = Heartbeat{Node: told.Node, Incarnation: told.Incarnation, Address: told.Address, DataCentre: told.DataCentre}
		m.heard = now
	}
	m.peer.Refutation = told.Refutation
	m.peer.Leaving = m.peer.Leaving || told.State == StateLeaving
	m.misses = 0
	return h.move(now, m, told.State, "told of it")
}

// supersedes reports whether what is told of a peer comes after what is known of it.
func supersedes(told Member, known Peer) bool {
	if told.Incarnation != known.Incarnation {
		return told.Incarnation > known.Incarnation
	}
	if known.State == StateLeaving || told.State == StateLeaving {
		return severity(told.State) > severity(known.State)
	}
	if told.Refutation != known.Refutation {
		return told.Refutation > known.Refutation
	}
	return severity(told.State) > severity(known.State)
}

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

// deny answers a suspicion of this node with a higher refutation.
func (h *Heartbeater) deny(told Member) {
	isDoubt := told.State == StateSuspect || told.State == StateDead
	if !isDoubt || told.Incarnation != h.self.Incarnation || told.Refutation < h.self.Refutation {
		return
	}
	h.self.Refutation = told.Refutation + 1
	h.outbox.addMember(h.tellOfSelf(), h.copies())
}

func (h *Heartbeater) tellOf(m *member) Member {
	p := m.peer
	return Member{p.Node, p.Incarnation, p.Refutation, p.Address, p.DataCentre, p.State}
}

func (h *Heartbeater) tellOfSelf() Member {
	s := h.self
	state := StateAlive
	if s.Leaving {
		state = StateLeaving
	}
	return Member{s.Node, s.Incarnation, s.Refutation, s.Address, s.DataCentre, state}
}

func (h *Heartbeater) everyone() []Member {
	members := make([]Member, 0, len(h.members))
	for _, m := range h.ordered() {
		members = append(members, h.tellOf(m))
	}
	return members
}

// copies is in how many rounds a node tells a change, so that gossip reaches all.
func (h *Heartbeater) copies() int {
	if h.isMesh() {
		return 1
	}
	return 1 + bits.Len(uint(len(h.members)))/2
}
