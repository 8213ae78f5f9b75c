package checkpointer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/checkpointer"
	"fuchsiabridge.example/entry/internal/heartbeater"
)

// TestRemoteHoldersComeFirst ranks peers of two data centres for many drafts. Remote peers must
// come first and share the drafts evenly.
func TestRemoteHoldersComeFirst(t *testing.T) {
	c := qt.New(t)
	var peers []heartbeater.Peer
	for n := range 6 {
		beat := heartbeater.Heartbeat{Node: identifier.NodeID(fmt.Sprint("node-", n)), DataCentre: []identifier.DataCentre{"plateau", "almadies"}[n%2]}
		peers = append(peers, heartbeater.Peer{Heartbeat: beat, State: heartbeater.StateAlive})
	}
	peers[1].State = heartbeater.StateDead
	firsts := map[identifier.NodeID]int{}
	for n := range 1000 {
		holders := checkpointer.Holders(peers, identifier.DraftID(fmt.Sprint("draft-", n)), "plateau")
		c.Assert(holders, qt.HasLen, 5)
		c.Assert(holders[1].DataCentre, qt.Equals, identifier.DataCentre("almadies"))
		c.Assert(holders[2].DataCentre, qt.Equals, identifier.DataCentre("plateau"))
		firsts[holders[0].Node]++
	}
	c.Assert(firsts, qt.HasLen, 2)
	c.Assert(firsts["node-3"] > 400 && firsts["node-5"] > 400, qt.IsTrue, qt.Commentf("%v", firsts))
}
