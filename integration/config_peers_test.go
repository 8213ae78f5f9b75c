package integration_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/integration/launcher"
)

// answerAtOnce bounds the answer to a change that cannot be published.
const answerAtOnce = time.Second

func revisionOf(node *launcher.Process) identifier.Revision {
	tree, _ := treeOf(node)
	return tree.Get(launcher.Team).Revision
}

func awaitRevision(t *testing.T, node *launcher.Process, revision identifier.Revision) time.Duration {
	t.Helper()
	from := time.Now()
	launcher.Await(t, inForceWithin, "the change is in force on "+node.Name, func() bool { return revisionOf(node) == revision })
	return time.Since(from)
}

// TestNodeCutFromTheLog cuts one node's way to the platform, and then makes it silent; changes
// published elsewhere come into force on it by its peers, and one proposed to it is not run, at once.
func TestNodeCutFromTheLog(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	proxy := f.AddProxy("platform-of-node-3", f.Platform.Address)
	f.AddNode("node-1", "")
	f.AddNode("node-2", "")
	cut := f.AddNode("node-3", proxy.Address)
	f.Configure(24, configPath+"=1")
	awaitPeers(t, cut, 2)
	revision := revisionOf(f.Nodes[0])
	for n, fault := range []map[string]any{{"refuse": true, "cut_open": true}, {"silence_all": true}, {"silence_open": true}} {
		f.SetFault(proxy, fault)
		r := settled(t, f.Nodes[:2], n, weightChange("cut-"+string(rune('a'+n)), revision, 10+n))
		c.Assert(r.verdict.Accepted, qt.IsTrue)
		revision++
		c.Logf("%v: in force on the node after %v", fault, awaitRevision(t, cut, revision))
		if n == 0 {
			from := time.Now()
			r = publish(cut, weightChange("by-cut", revision, 20))
			c.Assert(r.outcome, qt.Equals, responder.NotRun)
			c.Assert(time.Since(from) < answerAtOnce, qt.IsTrue)
		}
		f.SetFault(proxy, map[string]any{})
	}
	c.Assert(logEventsOf(cut), qt.Contains, eventlogger.RecordsPulled.Number)
	r := settled(t, []*launcher.Process{cut}, 0, weightChange("healed", revision, 30))
	c.Assert(r.verdict.Accepted, qt.IsTrue)
	for _, node := range f.Nodes {
		awaitRevision(t, node, revision+1)
		tree, _ := treeOf(node)
		_, known := tree.Verdict(launcher.Team, "by-cut")
		c.Assert(known, qt.IsFalse)
	}
}

func awaitPeers(t *testing.T, node *launcher.Process, peers int) {
	t.Helper()
	launcher.Await(t, inForceWithin, node.Name+" knows its peers", func() bool {
		var status struct {
			Peers []struct {
				State string `json:"state"`
			} `json:"peers"`
		}
		operate(node, http.MethodGet, "/operator/status", nil, &status)
		alive := 0
		for _, p := range status.Peers {
			if p.State == "alive" {
				alive++
			}
		}
		return alive == peers
	})
}

// TestNodeStartsInAnOutage starts a node while no node reaches the platform: it is ready with
// the configuration in force from a peer, and follows the log when the outage ends.
func TestNodeStartsInAnOutage(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	proxy := f.AddProxy("platform-of-all", f.Platform.Address)
	f.AddNode("node-1", proxy.Address)
	f.AddNode("node-2", proxy.Address)
	f.Configure(24, configPath+"=7")
	revision := revisionOf(f.Nodes[0])
	f.SetFault(proxy, map[string]any{"refuse": true, "cut_open": true})
	from := time.Now()
	late := f.AddNode("node-3", proxy.Address, "--peers", "127.0.0.1:1,"+f.Nodes[0].Peer)
	launcher.Await(t, inForceWithin, "the node is ready", func() bool {
		resp, err := operatorClient.Get("http://" + late.Address + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusNoContent
	})
	c.Logf("ready in an outage after %v", time.Since(from))
	tree, _ := treeOf(late)
	want, _ := treeOf(f.Nodes[0])
	c.Assert(tree, qt.DeepEquals, want)
	change := weightChange("in-outage", revision, 8)
	from = time.Now()
	c.Assert(publish(late, change).outcome, qt.Equals, responder.NotRun)
	c.Assert(time.Since(from) < answerAtOnce, qt.IsTrue)
	f.SetFault(proxy, map[string]any{})
	c.Assert(settled(t, []*launcher.Process{late}, 0, change).verdict.Accepted, qt.IsTrue)
	for _, node := range f.Nodes {
		awaitRevision(t, node, revision+1)
	}
}

// TestBadChangesAreRefused sends wrong changes; each gets a clear answer and changes nothing.
func TestBadChangesAreRefused(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddNode("node-1", "")
	f.Configure(24, configPath+"=1")
	node := f.Nodes[0]
	before, _ := treeOf(node)
	revision := before.Get(launcher.Team).Revision
	c.Assert(publish(node, weightChange("taken", revision, 2)).verdict.Accepted, qt.IsTrue)
	revision++
	otherTeam, badValue, noID := weightChange("b", 0, 3), weightChange("c", revision, 5000), weightChange("", revision, 3)
	otherTeam.Team = "amman"
	for _, tc := range []struct {
		name   string
		change configurer.Change
		status int
		code   string
	}{
		{"other team", otherTeam, 403, "forbidden"},
		{"value out of range", badValue, 400, "bad_change"},
		{"no id", noID, 400, "bad_change"},
		{"future revision", weightChange("d", revision+5, 3), 503, "behind"},
		{"id used for another change", weightChange("taken", revision, 4), 409, "change_id_reused"},
	} {
		c.Run(tc.name, func(c *qt.C) {
			var verdict configurer.Verdict
			status, refusal := operate(node, http.MethodPost, "/operator/changes", tc.change, &verdict)
			c.Assert(status, qt.Equals, tc.status)
			c.Assert(refusal.Error.Code, qt.Equals, tc.code)
		})
	}
	c.Assert(revisionOf(node), qt.Equals, revision)
}
