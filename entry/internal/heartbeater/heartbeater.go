// Package heartbeater keeps the membership of the entry nodes by heartbeats: a full
// mesh while they are few, a few peers a round and gossip when they are many.
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
	// meshLimit is the number of peers up to which each heartbeat goes to all.
	meshLimit    = 10
	meshInterval = 250 * time.Millisecond
	// reportInterval is the least time between two heartbeats that carry reports.
	reportInterval = 50 * time.Millisecond
	judgeInterval  = 50 * time.Millisecond
	suspectAfter   = time.Second
	deadAfter      = 2 * time.Second

	// roundInterval and fanout hold above meshLimit.
	roundInterval = time.Second
	fanout        = 3
	// urgentInterval is the least time between two rounds above meshLimit.
	urgentInterval = 400 * time.Millisecond
	// missesToSuspect is the number of unanswered heartbeats in a row that make a peer suspect.
	missesToSuspect = 2
	// deniableFor is how long a suspect may deny it, above meshLimit.
	deniableFor = 8 * time.Second
	// forgottenAfter is how long a dead peer that is not listed is remembered.
	forgottenAfter = time.Minute
)

type member struct {
	peer   Peer
	heard  time.Time
	misses int
	// changed is when the state changed last.
	changed time.Time
}

// Heartbeater is the sub-reducer of membership.
type Heartbeater struct {
	self    Heartbeat
	random  *rand.Rand
	vms     []platformcaller.VM
	listed  map[string]bool
	members map[identifier.NodeID]*member
	outbox  outbox
	sent    time.Time
	judged  time.Time
	// turn holds the addresses still to be asked in this pass over all peers.
	turn []string
	// isTold says that a peer has told its members and its VM list.
	isTold bool
	// isListed says that a VM list was read, be it an empty one.
	isListed bool
	// urgency is that of the most urgent report that waits.
	urgency watcher.Urgency
	dirty   bool
}

// NewHeartbeater returns a heartbeater for the node that self describes; its choice
// of peers follows from the node's id and incarnation. The seeds are peers' addresses
// that it asks until it has a VM list.
func NewHeartbeater(self Heartbeat, seeds ...string) *Heartbeater {
	random := rand.NewPCG(xxhash.Sum64String(string(self.Node)), uint64(self.Incarnation))
	h := &Heartbeater{
		self: self, random: rand.New(random),
		listed: map[string]bool{}, members: map[identifier.NodeID]*member{}, outbox: newOutbox(),
	}
	for _, address := range seeds {
		h.listed[address] = true
	}
	return h
}

// Apply takes one event and returns what to do.
func (h *Heartbeater) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case watcher.VMsRead:
		h.list(ev.VMs)
	case Heard:
		return h.heard(now, ev.Heartbeat)
	case Asked:
		return h.answer(now, ev)
	case Unanswered:
		return h.unanswered(now, ev.Address)
	case watcher.Spread:
		h.spread(ev)
	case LeavingStarted:
		h.self.Leaving = true
		return h.leave(now)
	case OffsetApplied:
		h.self.Offset = ev.Offset
	case messenger.Tick:
		return h.tick(now)
	}
	return nil
}

// Self returns what the node tells its peers of itself.
func (h *Heartbeater) Self() Heartbeat { return h.self }

// spread keeps reports for the next heartbeats; above meshLimit loads are too many to tell.
func (h *Heartbeater) spread(ev watcher.Spread) {
	if ev.Urgency != watcher.AtOnce && !h.isMesh() {
		return
	}
	h.outbox.addReports(ev.Reports, h.copies())
	h.urgency = max(h.urgency, ev.Urgency)
}

// list takes the VM list; an empty one is no news.
func (h *Heartbeater) list(vms []platformcaller.VM) {
	h.isListed = true
	if len(vms) == 0 {
		return
	}
	h.vms = vms
	clear(h.listed)
	for _, vm := range vms {
		if vm.Role == platformcaller.RoleEntry && vm.Address != h.self.Address {
			h.listed[vm.Address] = true
		}
	}
}

// answer takes a peer's heartbeat and replies with this node's. A peer that was
// doubted is told so, that it may deny it to all.
func (h *Heartbeater) answer(now time.Time, ev Asked) []messenger.Effect {
	var doubted []Member
	if m, ok := h.members[ev.Heartbeat.Node]; ok && (m.peer.State == StateSuspect || m.peer.State == StateDead) {
		doubted = []Member{h.tellOf(m)}
	}
	effects := h.heard(now, ev.Heartbeat)
	beat := h.self
	if ev.Heartbeat.AskAll {
		beat.Members, beat.Listed, beat.VMs = h.everyone(), h.isListed, h.vms
	}
	beat.Members = append(beat.Members, doubted...)
	return append(effects, messenger.Reply{Call: ev.Call, Answer: beat})
}

// heard takes word from a peer itself.
func (h *Heartbeater) heard(now time.Time, beat Heartbeat) []messenger.Effect {
	if beat.Node == h.self.Node {
		return nil
	}
	m := h.member(beat.Node)
	// A restarted VM's clock may be behind its old one's, so a dead peer may come back with a lower incarnation.
	if beat.Incarnation < m.peer.Incarnation && m.peer.State != StateDead {
		return nil
	}
	effects := h.gossip(now, beat)
	if beat.Incarnation == m.peer.Incarnation {
		beat.Leaving = beat.Leaving || m.peer.Leaving
		beat.Offset = max(beat.Offset, m.peer.Offset)
		beat.Refutation = max(beat.Refutation, m.peer.Refutation)
	}
	h.dirty = h.dirty || m.peer.Offset != beat.Offset
	m.heard, m.misses = now, 0
	beat.AskAll, beat.Listed, beat.VMs, beat.Members, beat.Reports = false, false, nil, nil, nil
	m.peer.Heartbeat = beat
	state := StateAlive
	if beat.Leaving {
		state = StateLeaving
	}
	return append(effects, h.move(now, m, state, "heard from it")...)
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
	effects := h.judge(now)
	if !h.due(now) {
		return effects
	}
	if h.dirty {
		h.dirty = false
		effects = append(effects, messenger.Broadcast{Event: PeersChanged{Peers: h.peers()}})
	}
	return append(effects, h.send(now)...)
}

// due reports whether a heartbeat is to be sent: at each interval, and sooner with reports to tell.
func (h *Heartbeater) due(now time.Time) bool {
	since := now.Sub(h.sent)
	if h.isMesh() {
		return since >= meshInterval || (h.urgency == watcher.Soon && since >= reportInterval) || h.urgency == watcher.AtOnce
	}
	return since >= roundInterval || (h.urgency == watcher.AtOnce && since >= urgentInterval)
}

func (h *Heartbeater) judge(now time.Time) []messenger.Effect {
	if now.Sub(h.judged) < judgeInterval {
		return nil
	}
	h.judged = now
	h.forget(now)
	if h.isMesh() {
		return h.judgeMesh(now)
	}
	return h.judgeGossip(now)
}

// judgeMesh judges peers by how long they have been silent.
func (h *Heartbeater) judgeMesh(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, m := range h.ordered() {
		switch silent := now.Sub(m.heard); {
		case silent >= deadAfter:
			effects = append(effects, h.move(now, m, StateDead, "silent")...)
		case silent >= suspectAfter && m.peer.State == StateAlive:
			effects = append(effects, h.move(now, m, StateSuspect, "silent")...)
		}
	}
	return effects
}

// judgeGossip takes suspects for dead that have not denied it in time.
func (h *Heartbeater) judgeGossip(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	for _, m := range h.ordered() {
		if m.peer.State == StateSuspect && now.Sub(m.changed) >= deniableFor {
			effects = append(effects, h.move(now, m, StateDead, "did not deny suspicion")...)
		}
	}
	return effects
}

// unanswered counts the heartbeats in a row that a peer did not answer.
func (h *Heartbeater) unanswered(now time.Time, address string) []messenger.Effect {
	if h.isMesh() {
		return nil
	}
	var effects []messenger.Effect
	for _, m := range h.ordered() {
		if m.peer.Address != address || m.peer.State == StateDead {
			continue
		}
		m.misses++
		switch {
		case m.misses < missesToSuspect:
			effects = append(effects, SendHeartbeat{Address: address, Heartbeat: h.beat()})
		case m.peer.State == StateLeaving:
			effects = append(effects, h.move(now, m, StateDead, "left")...)
		case m.peer.State == StateAlive:
			effects = append(effects, h.move(now, m, StateSuspect, "did not answer")...)
		}
	}
	return effects
}

func (h *Heartbeater) forget(now time.Time) {
	for id, m := range h.members {
		if m.peer.State == StateDead && !h.listed[m.peer.Address] && now.Sub(m.changed) >= forgottenAfter {
			delete(h.members, id)
			h.dirty = true
		}
	}
}

// send sends one round of heartbeats.
func (h *Heartbeater) send(now time.Time) []messenger.Effect {
	h.sent = now
	addresses := h.addresses()
	if len(addresses) > meshLimit {
		addresses = h.nextTurn(addresses)
	}
	beat := h.beat()
	// Until one has answered with the list, every peer is asked: some may be gone, or have none.
	beat.AskAll = !h.isTold
	if !h.outbox.hasReports() {
		h.urgency = watcher.Later
	}
	var effects []messenger.Effect
	for _, a := range addresses {
		effects = append(effects, SendHeartbeat{Address: a, Heartbeat: beat})
	}
	return effects
}

// leave tells every peer at once, also when they are many.
func (h *Heartbeater) leave(now time.Time) []messenger.Effect {
	h.sent = now
	beat := h.beat()
	var effects []messenger.Effect
	for _, a := range h.addresses() {
		effects = append(effects, SendHeartbeat{Address: a, Heartbeat: beat})
	}
	return effects
}

func (h *Heartbeater) beat() Heartbeat {
	beat := h.self
	beat.Reports, beat.Members = h.outbox.take(h.isMesh())
	return beat
}

// addresses returns the peers that may be reached, in order.
func (h *Heartbeater) addresses() []string {
	unique := make(map[string]bool, len(h.listed))
	for a := range h.listed {
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
	living := 0
	for _, m := range h.members {
		if m.peer.State != StateDead {
			living++
		}
	}
	return len(h.listed) <= meshLimit && living <= meshLimit
}

// nextTurn returns the next peers of a pass over all, in an order that each pass shuffles.
func (h *Heartbeater) nextTurn(all []string) []string {
	if len(h.turn) < fanout {
		h.turn = append([]string(nil), all...)
		h.random.Shuffle(len(h.turn), func(i, j int) { h.turn[i], h.turn[j] = h.turn[j], h.turn[i] })
	}
	next := h.turn[:fanout]
	h.turn = h.turn[fanout:]
	return next
}

func (h *Heartbeater) move(now time.Time, m *member, to State, reason string) []messenger.Effect {
	if m.peer.State == to {
		return nil
	}
	from := m.peer.State
	m.peer.State = to
	m.changed = now
	h.outbox.addMember(h.tellOf(m), h.copies())
	return []messenger.Effect{
		messenger.Log{
			Event: eventlogger.PeerStateChanged, Subject: "peer/" + string(m.peer.Node),
			Values: []any{"state", to, "before", from, "incarnation", m.peer.Incarnation, "reason", reason},
		},
		messenger.Broadcast{Event: PeersChanged{Peers: h.peers()}},
		messenger.Raise{Event: watcher.ObserversChanged{Observers: h.observers()}},
	}
}

func (h *Heartbeater) ordered() []*member {
	all := make([]*member, 0, len(h.members))
	for _, m := range h.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].peer.Node < all[j].peer.Node })
	return all
}

func (h *Heartbeater) peers() []Peer {
	peers := make([]Peer, 0, len(h.members))
	for _, m := range h.ordered() {
		peers = append(peers, m.peer)
	}
	return peers
}

// observers returns this node and the peers that are there to stay.
func (h *Heartbeater) observers() []watcher.Observer {
	observers := []watcher.Observer{{Node: h.self.Node, DataCentre: h.self.DataCentre}}
	for _, m := range h.ordered() {
		if m.peer.State == StateAlive || m.peer.State == StateSuspect {
			observers = append(observers, watcher.Observer{Node: m.peer.Node, DataCentre: m.peer.DataCentre})
		}
	}
	return observers
}
