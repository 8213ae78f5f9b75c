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
	const streams, refusedShare, at = 40, 0.10, 100 * time.Millisecond
	for _, nodes := range []int{3, 8, 95, 470} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := qt.New(t)
			// Each of the two substitutes has room for half of the streams of all nodes, and a few more.
			room := map[string]int{}
			orders, refused, moved, lostStreams := 0, 0, 0, 0
			for range nodes {
				d := readyHarness()
				calls := map[identifier.CallID]dispatcher.Send{}
				for n := range streams {
					call, e := d.sendRequest(at, fmt.Sprint("/once/", n), "key")
					if sent, ok := e.(dispatcher.Send); ok && sent.Chain[1].Target == "draft-a1" {
						calls[call] = sent
					}
				}
				var left []registrar.Target
				for _, target := range targets() {
					target.IsEjected = target.ID == "draft-a1"
					left = append(left, target)
				}
				d.apply(at, registrar.TargetsChanged{Targets: left})
				share := (len(calls) + 1) / 2
				for _, other := range []string{"draft-b1", "draft-c1"} {
					room[other] += share
				}
				lostStreams += len(calls)
				for call := identifier.CallID(1); call <= streams; call++ {
					if _, ok := calls[call]; !ok {
						continue
					}
					e := d.apply(2*at, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Stalled, Events: 3, ChainTypicalGap: 5 * time.Millisecond, ChainIdleTime: time.Second})
					o, r, isMoved := reroute(d, e, call, room)
					orders, refused = orders+o, refused+r
					if isMoved {
						moved++
					}
				}
			}
			c.Check(moved, qt.Equals, lostStreams)
			c.Check(float64(refused) <= refusedShare*float64(orders), qt.IsTrue, qt.Commentf("%d of %d orders refused", refused, orders))
		})
	}
}

// reroute plays the targets' answers to the orders of a stream, and returns how many orders there were, how many were refused and
// whether the stream has moved.
func reroute(d *harness, e messenger.Effect, call identifier.CallID, room map[string]int) (orders, refused int, isMoved bool) {
	for {
		asked, ok := e.(dispatcher.Reroute)
		if !ok {
			return orders, refused, false
		}
		orders++
		answer := dispatcher.Rerouted{Call: call, Chain: asked.Chain, IsAccepted: true}
		if full := fullStage(asked.Chain, room); full != "" {
			refused++
			answer = dispatcher.Rerouted{Call: call, Chain: asked.Chain, Reason: "status 409", FaultAddress: full}
		}
		e = d.apply(2*time.Second/10, answer)
		if answer.IsAccepted {
			return orders, refused, true
		}
	}
}

// fullStage takes room for a stream at the substitute in a chain, and returns its address if it has none.
func fullStage(chain []describer.Stage, room map[string]int) string {
	substitute := chain[1].Address
	if room[substitute] == 0 {
		return substitute
	}
	room[substitute]--
	return ""
}
