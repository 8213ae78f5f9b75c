// Package heartbeater keeps the membership of the entry nodes by heartbeats.
package heartbeater

import (
	"sort"
	"time"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	interval     = 250 * time.Millisecond
	suspectAfter = time.Second
	deadAfter    = 2 * time.Second
)

// State says what is believed of a peer.
type State string

// States of a peer.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeaving State = "leaving"
)

// Heartbeat is what nodes tell each other.
type Heartbeat struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Address     string                 `json:"address"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	Leaving     bool                   `json:"leaving"`
	// Offset is the node's applied offset of the log.
	Offset identifier.Offset `json:"offset"`
}

// SendHeartbeat is the effect of one heartbeat; its answer comes as Heard.
type SendHeartbeat struct {
	Address   string
	Heartbeat Heartbeat
}

// Heard brings a peer's heartbeat, or its answer to ours.
type Heard struct{ Heartbeat Heartbeat }

// Peer is what is known of one peer.
type Peer struct {
	Heartbeat
	State State `json:"state"`
}

// PeersChanged brings all peers, in the order of their ids.
type PeersChanged struct{ Peers []Peer }

// LeavingStarted says that this node has begun to stop.
type LeavingStarted struct{}

// OffsetApplied tells the node's applied offset of the log.
type OffsetApplied struct{ Offset identifier.Offset }

type member struct {
	peer  Peer
	heard time.Time
}

// Heartbeater is the sub-reducer of membership.
type Heartbeater struct {
	self    Heartbeat
	listed  map[string]bool
	members map[identifier.NodeID]*member
	sent    time.Time
}

// NewHeartbeater returns a heartbeater for the node that self describes.
func NewHeartbeater(self Heartbeat) *Heartbeater {
	return &Heartbeater{self: self, listed: map[string]bool{}, members: map[identifier.NodeID]*member{}}
}

// Apply takes one event and returns what to do.
func (h *Heartbeater) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case watcher.VMsRead:
		h.list(ev.VMs)
	case Heard:
		return h.heard(now, ev.Heartbeat)
	case LeavingStarted:
		h.self.Leaving = true
		return h.send(now)
	case OffsetApplied:
		h.self.Offset = ev.Offset
	case messenger.Tick:
		return h.tick(now)
	}
	return nil
}

// Self returns what the node tells its peers.
func (h *Heartbeater) Self() Heartbeat { return h.self }

func (h *Heartbeater) list(vms []platformcaller.VM) {
	clear(h.listed)
	for _, vm := range vms {
		if vm.Role == platformcaller.RoleEntry && vm.Address != h.self.Address {
			h.listed[vm.Address] = true
		}
	}
}

func (h *Heartbeater) heard(now time.Time, beat Heartbeat) []messenger.Effect {
	if beat.Node == h.self.Node {
		return nil
	}
	m, ok := h.members[beat.Node]
	if !ok {
		m = &member{}
		h.members[beat.Node] = m
	}
	if beat.Incarnation < m.peer.Incarnation {
		return nil
	}
	m.heard = now
	m.peer.Heartbeat = beat
	state := StateAlive
	if beat.Leaving {
		state = StateLeaving
	}
	return h.move(m, state)
}

func (h *Heartbeater) tick(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, m := range h.members {
		switch silent := now.Sub(m.heard); {
		case silent >= deadAfter:
			effects = append(effects, h.move(m, StateDead)...)
		case silent >= suspectAfter && m.peer.State == StateAlive:
			effects = append(effects, h.move(m, StateSuspect)...)
		}
	}
	if now.Sub(h.sent) < interval {
		return effects
	}
	return append(effects, h.send(now)...)
}

func (h *Heartbeater) send(now time.Time) []messenger.Effect {
	h.sent = now
	addresses := make(map[string]bool, len(h.listed))
	for a := range h.listed {
		addresses[a] = true
	}
	for _, m := range h.members {
		if m.peer.State != StateDead {
			addresses[m.peer.Address] = true
		}
	}
	var effects []messenger.Effect
	for a := range addresses {
		effects = append(effects, SendHeartbeat{Address: a, Heartbeat: h.self})
	}
	return effects
}

func (h *Heartbeater) move(m *member, to State) []messenger.Effect {
	if m.peer.State == to {
		return nil
	}
	from := m.peer.State
	m.peer.State = to
	peers := make([]Peer, 0, len(h.members))
	for _, m := range h.members {
		peers = append(peers, m.peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Node < peers[j].Node })
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.PeerStateChanged, Subject: "peer/" + string(m.peer.Node),
			Values: []any{"state", to, "before", from, "incarnation", m.peer.Incarnation},
		},
		messenger.Broadcast{Event: PeersChanged{Peers: peers}},
	}
}
