// Package heartbeater maintains the membership of the entry nodes by heartbeats. Small fleets use
// a full mesh; larger ones send to a few peers each round and gossip the rest.
package heartbeater

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// maxMeshPeers is the number of peers up to which every heartbeat goes to all of them.
	maxMeshPeers = 10
	meshInterval = 250 * time.Millisecond
	// reportInterval is the minimum time between two heartbeats that carry reports.
	reportInterval     = 50 * time.Millisecond
	stateCheckInterval = 50 * time.Millisecond
	// suspectTimeout and deadTimeout are the times without a heartbeat after which a peer of a full
	// mesh becomes suspect and dead.
	suspectTimeout = time.Second
	deadTimeout    = 2 * time.Second

	// roundInterval and fanout apply above maxMeshPeers.
	roundInterval = time.Second
	fanout        = 3
	// minRoundInterval is the minimum time between two rounds above maxMeshPeers.
	minRoundInterval = 400 * time.Millisecond
	// suspectMisses is the number of consecutive unanswered heartbeats that make a peer suspect.
	suspectMisses = 2
	// refutationTimeout is how long a suspect peer may refute the suspicion, above maxMeshPeers.
	refutationTimeout = 8 * time.Second
	// deadPeerRetention is how long a dead peer that is not on the VM list is kept.
	deadPeerRetention = time.Minute
)

type member struct {
	peer      Peer
	lastHeard time.Time
	// misses is the number of consecutive heartbeats that the peer did not answer.
	misses int
	// stateChangedAt is when the state last changed.
	stateChangedAt time.Time
}

// Heartbeater is the reducer for membership.
type Heartbeater struct {
	self   Heartbeat
	random *rand.Rand
	vms    []platformcaller.VM
	// listedAddresses holds the other nodes' addresses on the VM list, or the seeds until it is read.
	listedAddresses map[string]bool
	members         map[identifier.NodeID]*member
	outbox          outbox
	lastSent        time.Time
	lastCheck       time.Time
	// roundQueue holds the addresses that remain in the current pass over the peers.
	roundQueue []string
	// hasMembers reports that a peer has sent its members and its VM list.
	hasMembers bool
	// hasVMList reports that a VM list was read, even if it was empty.
	hasVMList bool
	// urgency is that of the most urgent queued report.
	urgency watcher.Urgency
	// dirty reports that the peers changed without a PeersChanged so far.
	dirty bool
}

// NewHeartbeater returns a heartbeater for the node described by self. The node's id and
// incarnation seed its choice of peers. The seeds are addresses of peers that it asks until it
// has a VM list.
func NewHeartbeater(self Heartbeat, seeds ...string) *Heartbeater {
	random := rand.NewPCG(xxhash.Sum64String(string(self.Node)), uint64(self.Incarnation))
	h := &Heartbeater{
		self: self, random: rand.New(random),
		listedAddresses: map[string]bool{}, members: map[identifier.NodeID]*member{}, outbox: newOutbox(),
	}
	for _, address := range seeds {
		h.listedAddresses[address] = true
	}
	return h
}

// Apply applies one event and returns the resulting effects.
func (h *Heartbeater) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case watcher.VMsRead:
		h.setVMs(ev.VMs)
	case HeartbeatAnswered:
		return h.onHeartbeat(now, ev.Heartbeat)
	case HeartbeatReceived:
		return h.answerHeartbeat(now, ev)
	case HeartbeatFailed:
		return h.onHeartbeatFailed(now, ev.Address)
	case watcher.ShareReports:
		h.queueReports(ev)
	case LeavingStarted:
		h.self.Leaving = true
		return h.announceLeaving(now)
	case OffsetApplied:
		h.self.Offset = ev.Offset
	case messenger.Tick:
		return h.tick(now)
	}
	return nil
}

// Self returns this node's own heartbeat data.
func (h *Heartbeater) Self() Heartbeat { return h.self }

// queueReports queues reports for the next heartbeats. Above maxMeshPeers only urgent reports are
// sent, because load reports would be too many.
func (h *Heartbeater) queueReports(ev watcher.ShareReports) {
	if ev.Urgency != watcher.AtOnce && !h.isMesh() {
		return
	}
	h.outbox.addReports(ev.Reports, h.transmits())
	h.urgency = max(h.urgency, ev.Urgency)
}

// setVMs applies the VM list. An empty list changes nothing.
func (h *Heartbeater) setVMs(vms []platformcaller.VM) {
	h.hasVMList = true
	if len(vms) == 0 {
		return
	}
	h.vms = vms
	clear(h.listedAddresses)
	for _, vm := range vms {
		if vm.Role == platformcaller.RoleEntry && vm.Address != h.self.Address {
			h.listedAddresses[vm.Address] = true
		}
	}
}

// answerHeartbeat applies a peer's heartbeat and replies with this node's own. If this node
// suspects the peer, the reply says so, so that the peer can refute it.
func (h *Heartbeater) answerHeartbeat(now time.Time, ev HeartbeatReceived) []messenger.Effect {
	var suspicion []Member
	if m, ok := h.members[ev.Heartbeat.Node]; ok && (m.peer.State == StateSuspect || m.peer.State == StateDead) {
		suspicion = []Member{h.memberOf(m)}
	}
	effects := h.onHeartbeat(now, ev.Heartbeat)
	beat := h.self
	if ev.Heartbeat.AskAll {
		beat.Members, beat.HasVMList, beat.VMs = h.allMembers(), h.hasVMList, h.vms
	}
	beat.Members = append(beat.Members, suspicion...)
	return append(effects, messenger.Reply{Call: ev.Call, Answer: beat})
}

// onHeartbeat applies a heartbeat that came from the peer itself.
func (h *Heartbeater) onHeartbeat(now time.Time, beat Heartbeat) []messenger.Effect {
	if beat.Node == h.self.Node {
		return nil
	}
	m := h.member(beat.Node)
	// A restarted VM's clock may be behind, so a dead peer may return with a lower incarnation.
	if beat.Incarnation < m.peer.Incarnation && m.peer.State != StateDead {
		return nil
	}
	effects := h.applyGossip(now, beat)
	if beat.Incarnation == m.peer.Incarnation {
		beat.Leaving = beat.Leaving || m.peer.Leaving
		beat.Offset = max(beat.Offset, m.peer.Offset)
		beat.Refutation = max(beat.Refutation, m.peer.Refutation)
	}
	h.dirty = h.dirty || m.peer.Offset != beat.Offset
	m.lastHeard, m.misses = now, 0
	beat.AskAll, beat.HasVMList, beat.VMs, beat.Members, beat.Reports = false, false, nil, nil, nil
	m.peer.Heartbeat = beat
	state := StateAlive
	if beat.Leaving {
		state = StateLeaving
	}
	return append(effects, h.setState(now, m, state, "heartbeat received")...)
}

func (h *Heartbeater) member(id identifier.NodeID) *member {
	m, ok := h.members[id]
	if !ok {
		m = &member{}
		h.members[id] = m
	}
	return m
}

func (h *Heartbeater) tick(now time.Time) []messenger.Effect {
	effects := h.checkStates(now)
	if !h.isDue(now) {
		return effects
	}
	if h.dirty {
		h.dirty = false
		effects = append(effects, messenger.Broadcast{Event: PeersChanged{Peers: h.peers()}})
	}
	return append(effects, h.sendRound(now)...)
}

// isDue reports whether a heartbeat must be sent: at each interval, and sooner with urgent reports.
func (h *Heartbeater) isDue(now time.Time) bool {
	since := now.Sub(h.lastSent)
	if h.isMesh() {
		return since >= meshInterval || (h.urgency == watcher.Soon && since >= reportInterval) || h.urgency == watcher.AtOnce
	}
	return since >= roundInterval || (h.urgency == watcher.AtOnce && since >= minRoundInterval)
}

func (h *Heartbeater) checkStates(now time.Time) []messenger.Effect {
	if now.Sub(h.lastCheck) < stateCheckInterval {
		return nil
	}
	h.lastCheck = now
	h.dropDeadPeers(now)
	if h.isMesh() {
		return h.checkMeshStates(now)
	}
	return h.checkGossipStates(now)
}

// checkMeshStates sets the peers' states by the time since their last heartbeat.
func (h *Heartbeater) checkMeshStates(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, m := range h.sortedMembers() {
		switch idle := now.Sub(m.lastHeard); {
		case idle >= deadTimeout:
			effects = append(effects, h.setState(now, m, StateDead, "silent")...)
		case idle >= suspectTimeout && m.peer.State == StateAlive:
			effects = append(effects, h.setState(now, m, StateSuspect, "silent")...)
		}
	}
	return effects
}

// checkGossipStates marks suspects as dead that have not refuted the suspicion in time.
func (h *Heartbeater) checkGossipStates(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, m := range h.sortedMembers() {
		if m.peer.State == StateSuspect && now.Sub(m.stateChangedAt) >= refutationTimeout {
			effects = append(effects, h.setState(now, m, StateDead, "did not refute the suspicion")...)
		}
	}
	return effects
}

// onHeartbeatFailed counts the consecutive heartbeats that a peer did not answer. It sends another
// heartbeat until suspectMisses is reached. A full mesh goes by the time since the last heartbeat instead.
func (h *Heartbeater) onHeartbeatFailed(now time.Time, address string) []messenger.Effect {
	if h.isMesh() {
		return nil
	}
	var effects []messenger.Effect
	for _, m := range h.sortedMembers() {
		if m.peer.Address != address || m.peer.State == StateDead {
			continue
		}
		m.misses++
		switch {
		case m.misses < suspectMisses:
			effects = append(effects, SendHeartbeat{Address: address, Heartbeat: h.beat()})
		case m.peer.State == StateLeaving:
			effects = append(effects, h.setState(now, m, StateDead, "left")...)
		case m.peer.State == StateAlive:
			effects = append(effects, h.setState(now, m, StateSuspect, "did not answer heartbeats")...)
		}
	}
	return effects
}

func (h *Heartbeater) dropDeadPeers(now time.Time) {
	for id, m := range h.members {
		if m.peer.State == StateDead && !h.listedAddresses[m.peer.Address] && now.Sub(m.stateChangedAt) >= deadPeerRetention {
			delete(h.members, id)
			h.dirty = true
		}
	}
}

// sendRound sends one round of heartbeats.
func (h *Heartbeater) sendRound(now time.Time) []messenger.Effect {
	h.lastSent = now
	addresses := h.addresses()
	if len(addresses) > maxMeshPeers {
		addresses = h.nextRound(addresses)
	}
	beat := h.beat()
	// Each round asks until a peer has answered with its VM list: some peers may be gone or have no list.
	beat.AskAll = !h.hasMembers
	if !h.outbox.hasReports() {
		h.urgency = watcher.Later
	}
	var effects []messenger.Effect
	for _, a := range addresses {
		effects = append(effects, SendHeartbeat{Address: a, Heartbeat: beat})
	}
	return effects
}

// announceLeaving sends a heartbeat to every peer at once, even above maxMeshPeers.
func (h *Heartbeater) announceLeaving(now time.Time) []messenger.Effect {
	h.lastSent = now
	beat := h.beat()
	var effects []messenger.Effect
	for _, a := range h.addresses() {
		effects = append(effects, SendHeartbeat{Address: a, Heartbeat: beat})
	}
	return effects
}

// beat returns this node's next heartbeat. It takes the updates that the heartbeat carries from the
// outbox, which counts them as sent.
func (h *Heartbeater) beat() Heartbeat {
	beat := h.self
	beat.Reports, beat.Members = h.outbox.nextBatch(h.isMesh())
	return beat
}

// addresses returns the sorted addresses of all peers that are not dead or are on the VM list.
func (h *Heartbeater) addresses() []string {
	unique := make(map[string]bool, len(h.listedAddresses))
	for a := range h.listedAddresses {
		unique[a] = true
	}
	for _, m := range h.members {
		if m.peer.State != StateDead && m.peer.Address != "" {
			unique[m.peer.Address] = true
		}
	}
	addresses := make([]string, 0, len(unique))
	for a := range unique {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	return addresses
}

func (h *Heartbeater) isMesh() bool {
	alive := 0
	for _, m := range h.members {
		if m.peer.State != StateDead {
			alive++
		}
	}
	return len(h.listedAddresses) <= maxMeshPeers && alive <= maxMeshPeers
}

// nextRound returns the addresses of the next round. When fewer than fanout remain, it drops them
// and begins a new pass in a new random order.
func (h *Heartbeater) nextRound(all []string) []string {
	if len(h.roundQueue) < fanout {
		h.roundQueue = append([]string(nil), all...)
		h.random.Shuffle(len(h.roundQueue), func(i, j int) { h.roundQueue[i], h.roundQueue[j] = h.roundQueue[j], h.roundQueue[i] })
	}
	next := h.roundQueue[:fanout]
	h.roundQueue = h.roundQueue[fanout:]
	return next
}

func (h *Heartbeater) setState(now time.Time, m *member, to State, reason string) []messenger.Effect {
	if m.peer.State == to {
		return nil
	}
	from := m.peer.State
	m.peer.State = to
	m.stateChangedAt = now
	h.outbox.addMember(h.memberOf(m), h.transmits())
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.PeerStateChanged, Subject: "peer/" + string(m.peer.Node),
			Values: []any{"state", to, "before", from, "incarnation", m.peer.Incarnation, "reason", reason},
		},
		messenger.Broadcast{Event: PeersChanged{Peers: h.peers()}},
		messenger.Raise{Event: watcher.ObserversChanged{Observers: h.observers()}},
	}
}

func (h *Heartbeater) sortedMembers() []*member {
	all := make([]*member, 0, len(h.members))
	for _, m := range h.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].peer.Node < all[j].peer.Node })
	return all
}

func (h *Heartbeater) peers() []Peer {
	peers := make([]Peer, 0, len(h.members))
	for _, m := range h.sortedMembers() {
		peers = append(peers, m.peer)
	}
	return peers
}

// observers returns this node and the peers that are alive or suspect.
func (h *Heartbeater) observers() []watcher.Observer {
	observers := []watcher.Observer{{Node: h.self.Node, DataCentre: h.self.DataCentre}}
	for _, m := range h.sortedMembers() {
		if m.peer.State == StateAlive || m.peer.State == StateSuspect {
			observers = append(observers, watcher.Observer{Node: m.peer.Node, DataCentre: m.peer.DataCentre})
		}
	}
	return observers
}
