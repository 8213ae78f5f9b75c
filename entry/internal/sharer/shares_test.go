package sharer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/sharer"
)

// TestSharesFollowDemand guards against nodes that get no share, or one that is not theirs, and against shares of a fleet whose other
// nodes follow other readers.
func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	share := func(node identifier.NodeID, demand float64) float64 {
		update, err := ask(t, s, sharer.Query{Node: node, Demand: demand})
		c.Assert(err, qt.IsNil)
		return update.Share
	}
	c.Check(share("b", 70), qt.Equals, 0.0, qt.Commentf("the capacity is not known"))
	own := sharer.Own{Node: "a", Demand: 10, Capacity: 200, Nodes: 4}
	c.Check(s.DivideCapacity(own), qt.Equals, 0.1, qt.Commentf("two of four nodes divide 100 requests: 10+10 and 70+10"))
	c.Check(share("b", 70), qt.Equals, 0.4)
	c.Check(share("", 70), qt.Equals, 0.0, qt.Commentf("a node of an earlier version"))
}
