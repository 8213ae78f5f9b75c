package heartbeater_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/composer"
	"fuchsiabridge.example/entry/internal/heartbeater"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	step         = 10 * time.Millisecond
	networkDelay = 2 * time.Millisecond
	// timeout is how long after its start a lost call fails.
	timeout = 500 * time.Millisecond
)

// engine is the actual state of one target.
type engine struct {
	status enginecaller.Status
	dead   bool
	// lastReported is the newest generation that the target has reported to any node.
	lastReported identifier.Generation
}

// node holds the reducers of one node and what they last published.
type node struct {
	id      identifier.NodeID
	address string
	reducer messenger.Reducer
	dead    bool
	peers   map[identifier.NodeID]heartbeater.State
	targets map[identifier.TargetID]watcher.Target
	bytes   int
	polls   int
}

type delivery struct {
	at time.Time
	// order keeps the sending order of events that arrive at the same time.
	order int
	to    *node
	event messenger.Event
}

// fleet runs the reducers of several nodes on a virtual clock and a network that may lose messages.
type fleet struct {
	now     time.Time
	nodes   []*node
	engines map[identifier.TargetID]*engine
	vms     []platformcaller.VM
	queue   []delivery
	order   int
	random  *rand.Rand
	// lossPercent is the percentage of calls that are lost.
	lossPercent int
	// partitions holds pairs of addresses, of a node and of a target or another node, that
	// cannot reach each other.
	partitions map[[2]string]bool
	// replyTo is the sender of the heartbeat that is being handled.
	replyTo *node
}

func newFleet(nodes, engines int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), engines: map[identifier.TargetID]*engine{},
		random: rand.New(rand.NewPCG(1, 2)), partitions: map[[2]string]bool{},
	}
	for i := range engines {
		id := identifier.TargetID(fmt.Sprintf("engine-%03d", i))
		f.engines[id] = &engine{status: enginecaller.Status{Target: id, Model: "atlas", Layers: identifier.LayerRange{To: 8}, Generation: 100, Role: "both"}}
		f.vms = append(f.vms, platformcaller.VM{ID: string(id), Role: platformcaller.RoleEngine, Address: string(id), DataCentre: "plateau"})
	}
	for i := range nodes {
		f.addNode(fmt.Sprintf("node-%03d", i), 1)
	}
	return f
}

func (f *fleet) addNode(id string, incarnation identifier.Incarnation) *node {
	self := heartbeater.Heartbeat{Node: identifier.NodeID(id), Incarnation: incarnation, Address: "10.0.0.1:" + id, DataCentre: "plateau"}
	n := &node{
		id: self.Node, address: self.Address,
		reducer: composer.NewControl(watcher.NewWatcher(watcher.Observer{Node: self.Node, DataCentre: self.DataCentre}, incarnation), heartbeater.NewHeartbeater(self)),
		peers:   map[identifier.NodeID]heartbeater.State{}, targets: map[identifier.TargetID]watcher.Target{},
	}
	f.nodes = append(f.nodes, n)
	f.vms = append(f.vms, platformcaller.VM{ID: id, Role: platformcaller.RoleEntry, Address: self.Address, DataCentre: "plateau"})
	return n
}

// advance moves the clock by d.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		sort.SliceStable(f.queue, func(i, j int) bool {
			if !f.queue[i].at.Equal(f.queue[j].at) {
				return f.queue[i].at.Before(f.queue[j].at)
			}
			return f.queue[i].order < f.queue[j].order
		})
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			next := f.queue[0]
			f.queue = f.queue[1:]
			f.apply(next.to, next.event)
		}
		for _, n := range f.nodes {
			f.apply(n, messenger.Tick{})
		}
	}
}

func (f *fleet) deliver(to *node, after time.Duration, event messenger.Event) {
	f.order++
	f.queue = append(f.queue, delivery{f.now.Add(after), f.order, to, event})
}

func (f *fleet) apply(n *node, event messenger.Event) {
	if n.dead {
		return
	}
	for _, effect := range n.reducer.Apply(f.now, event) {
		f.runEffect(n, effect)
	}
}

func (f *fleet) runEffect(n *node, effect messenger.Effect) {
	switch e := effect.(type) {
	case watcher.ReadVMs:
		f.deliver(n, networkDelay, watcher.VMsRead{VMs: append([]platformcaller.VM(nil), f.vms...)})
	case watcher.ReadStatus:
		n.polls++
		target := f.engines[e.Target]
		if target.dead || f.isDropped(n, e.Address) {
			f.deliver(n, timeout, watcher.StatusFailed(e))
			return
		}
		target.lastReported = target.status.Generation
		f.deliver(n, networkDelay, watcher.StatusRead{Address: e.Address, Status: target.status})
	case heartbeater.SendHeartbeat:
		f.send(n, e)
	case messenger.Reply:
		f.countBytes(n, f.replyTo, e.Answer)
		f.deliver(f.replyTo, networkDelay, heartbeater.HeartbeatAnswered{Heartbeat: e.Answer.(heartbeater.Heartbeat)})
	case messenger.Broadcast:
		n.publish(e.Event)
	}
}

// send delivers a heartbeat at once. Its answer arrives after networkDelay.
func (f *fleet) send(from *node, e heartbeater.SendHeartbeat) {
	to := f.nodeAt(e.Address)
	f.countBytes(from, to, e.Heartbeat)
	if to == nil || f.isDropped(from, e.Address) {
		f.deliver(from, timeout, heartbeater.HeartbeatFailed{Address: e.Address})
		return
	}
	before := f.replyTo
	f.replyTo = from
	f.apply(to, heartbeater.HeartbeatReceived{Call: 1, Heartbeat: e.Heartbeat})
	f.replyTo = before
}

// countBytes adds a message's size to both ends, with 60 bytes for JSON-RPC and TCP framing.
func (f *fleet) countBytes(from, to *node, message any) {
	raw, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	const framing = 60
	from.bytes += len(raw) + framing
	if to != nil {
		to.bytes += len(raw) + framing
	}
}

func (f *fleet) nodeAt(address string) *node {
	for _, n := range f.nodes {
		if n.address == address && !n.dead {
			return n
		}
	}
	return nil
}

func (f *fleet) isDropped(n *node, address string) bool {
	return f.partitions[[2]string{n.address, address}] || f.random.IntN(100) < f.lossPercent
}

func (n *node) publish(event messenger.Event) {
	switch ev := event.(type) {
	case heartbeater.PeersChanged:
		clear(n.peers)
		for _, p := range ev.Peers {
			n.peers[p.Node] = p.State
		}
	case watcher.TargetsChanged:
		clear(n.targets)
		for _, t := range ev.Targets {
			n.targets[t.ID] = t
		}
	}
}
