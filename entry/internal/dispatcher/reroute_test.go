package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
)

// TestRefusedRerouteTakesAnotherSubstitute guards against streams that all wait for the one cheapest substitute of a lost target,
// as the targets whose streams it has lost are told the same substitute again and again though it has refused for want of room.
func TestRefusedRerouteTakesAnotherSubstitute(t *testing.T) {
	c := qt.New(t)
	const at = 100 * time.Millisecond
	d := readyHarness()
	call, e := d.sendRequest(at, "/once/1", "key")
	sent, ok := e.(dispatcher.Send)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	lost := sent.Chain[1]
	d.apply(at, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, Events: 3, ChainTypicalGap: 5 * time.Millisecond, ChainIdleTime: time.Second})
	var left []registrar.Target
	for _, target := range targets() {
		target.IsEjected = target.ID == lost.Target
		left = append(left, target)
	}
	d.apply(at, registrar.TargetsChanged{Targets: left})
	e = d.apply(2*at, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, Events: 3, ChainTypicalGap: 5 * time.Millisecond, ChainIdleTime: time.Second})
	tried := map[string]bool{}
	for n := range 2 {
		asked, ok := e.(dispatcher.Reroute)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%d: %#v", n, e))
		c.Assert(asked.Chain[0].Target, qt.Equals, sent.Chain[0].Target)
		substitute := asked.Chain[1].Address
		c.Assert(tried[substitute], qt.IsFalse, qt.Commentf("%s again", substitute))
		tried[substitute] = true
		e = d.apply(2*at+time.Duration(n)*time.Millisecond, dispatcher.Rerouted{Call: call, Chain: asked.Chain, Reason: "status 409", FaultAddress: substitute})
	}
	c.Assert(tried, qt.HasLen, 2)
}

// TestSubstitutesShareTheStreamsOfALostTarget guards against orders to reroute that most targets refuse, at 3, 8, 95 and 470
// nodes: a substitute with room for some streams only is told by the first refusal, and gets no more from that node for a while.
func TestSubstitutesShareTheStreamsOfALostTarget(t *testing.T) {
	const refusedShare = 0.10
	for _, nodes := range []int{3, 8, 95, 470} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := qt.New(t)
			x := rerouteRun{room: map[string]int{}}
			for range nodes {
				x.loseTarget(readyHarness())
			}
			c.Check(x.moved, qt.Equals, x.streams)
			c.Check(float64(x.refused) <= refusedShare*float64(x.orders), qt.IsTrue, qt.Commentf("%d of %d orders refused", x.refused, x.orders))
		})
	}
}

// rerouteRun counts the streams of a lost target, the orders to reroute them, those refused, and the streams that have moved.
type rerouteRun struct {
	// room is how many streams each substitute still takes.
	room                            map[string]int
	streams, orders, refused, moved int
}

// loseTarget plays a node with streams over a target that is lost. Each of the two substitutes has room for half of them.
func (x *rerouteRun) loseTarget(d *harness) {
	const streams, at = 40, 100 * time.Millisecond
	var calls []identifier.CallID
	for n := range streams {
		call, e := d.sendRequest(at, fmt.Sprint("/once/", n), "key")
		if sent, ok := e.(dispatcher.Send); ok && sent.Chain[1].Target == lostTarget {
			calls = append(calls, call)
		}
	}
	left := targets()
	for i := range left {
		left[i].IsEjected = left[i].ID == lostTarget
	}
	d.apply(at, registrar.TargetsChanged{Targets: left})
	for _, substitute := range []string{"draft-b1", "draft-c1"} {
		x.room[substitute] += (len(calls) + 1) / 2
	}
	x.streams += len(calls)
	for _, call := range calls {
		x.reroute(d, call, d.apply(2*at, dispatcher.AttemptReported{
			Call: call, Outcome: dispatcher.Stalled, Events: 3, ChainTypicalGap: 5 * time.Millisecond, ChainIdleTime: time.Second,
		}))
	}
}

// reroute plays the targets' answers to the orders of a stream.
func (x *rerouteRun) reroute(d *harness, call identifier.CallID, e messenger.Effect) {
	for {
		asked, ok := e.(dispatcher.Reroute)
		if !ok {
			return
		}
		x.orders++
		full := x.takeRoom(asked.Chain)
		e = d.apply(200*time.Millisecond, dispatcher.Rerouted{Call: call, Chain: asked.Chain, IsAccepted: full == "", Reason: "status 409", FaultAddress: full})
		if full == "" {
			x.moved++
			return
		}
		x.refused++
	}
}

// takeRoom takes room for a stream at the substitute in a chain, and returns its address if it has none.
func (x *rerouteRun) takeRoom(chain []describer.Stage) string {
	substitute := chain[1].Address
	if x.room[substitute] == 0 {
		return substitute
	}
	x.room[substitute]--
	return ""
}
