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
	step  = 10 * time.Millisecond
	delay = 2 * time.Millisecond
	// timeout is when a call that is lost fails.
	timeout = 500 * time.Millisecond
)

// engine is the truth about one target.
type engine struct {
	status enginecaller.Status
	dead   bool
	// shown is the newest generation that the target has told any node.
	shown identifier.Generation
}

// node is one node's reducers and what they published last.
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
	at    time.Time
	order int
	to    *node
	event messenger.Event
}

// fleet runs nodes' reducers over a virtual clock and a network that may lose messages.
type fleet struct {
	now     time.Time
	nodes   []*node
	engines map[identifier.TargetID]*engine
	vms     []platformcaller.VM
	queue   []delivery
	order   int
	random  *rand.Rand
	// lost is the share of calls that are lost, in percent.
	lost int
	// cut holds pairs of a node's and a target's or node's address between which nothing passes.
	cut map[[2]string]bool
	// asked is where the answer to the heartbeat in hand goes.
	asked *node
}

func newFleet(nodes, engines int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), engines: map[identifier.TargetID]*engine{},
		random: rand.New(rand.NewPCG(1, 2)), cut: map[[2]string]bool{},
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

// run lets time pass.
func (f *fleet) run(d time.Duration) {
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
		f.carryOut(n, effect)
	}
}

func (f *fleet) carryOut(n *node, effect messenger.Effect) {
	switch e := effect.(type) {
	case watcher.ReadVMs:
		f.deliver(n, delay, watcher.VMsRead{VMs: append([]platformcaller.VM(nil), f.vms...)})
	case watcher.ReadStatus:
		n.polls++
		target := f.engines[e.Target]
		if target.dead || f.fails(n, e.Address) {
			f.deliver(n, timeout, watcher.StatusFailed(e))
			return
		}
		target.shown = target.status.Generation
		f.deliver(n, delay, watcher.StatusRead{Address: e.Address, Status: target.status})
	case heartbeater.SendHeartbeat:
		f.send(n, e)
	case messenger.Reply:
		f.count(n, f.asked, e.Answer)
		f.deliver(f.asked, delay, heartbeater.Heard{Heartbeat: e.Answer.(heartbeater.Heartbeat)})
	case messenger.Broadcast:
		n.publish(e.Event)
	}
}

// send carries a heartbeat there and the answer back in one step.
func (f *fleet) send(from *node, e heartbeater.SendHeartbeat) {
	to := f.nodeAt(e.Address)
	f.count(from, to, e.Heartbeat)
	if to == nil || f.fails(from, e.Address) {
		f.deliver(from, timeout, heartbeater.Unanswered{Address: e.Address})
		return
	}
	before := f.asked
	f.asked = from
	f.apply(to, heartbeater.Asked{Call: 1, Heartbeat: e.Heartbeat})
	f.asked = before
}

// count adds a message's size to both ends, with 60 bytes for its JSON-RPC and TCP frames.
func (f *fleet) count(from, to *node, message any) {
	raw, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	const frames = 60
	from.bytes += len(raw) + frames
	if to != nil {
		to.bytes += len(raw) + frames
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

func (f *fleet) fails(n *node, address string) bool {
	return f.cut[[2]string{n.address, address}] || f.random.IntN(100) < f.lost
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
