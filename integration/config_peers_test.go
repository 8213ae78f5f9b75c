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

// maxRefusalTime bounds the time to refuse a change that cannot be appended to the log.
const maxRefusalTime = time.Second

func teamRevision(node *launcher.Process) identifier.Revision {
	tree, _ := configTree(node)
	return tree.Get(launcher.Team).Revision
}

func awaitRevision(t *testing.T, node *launcher.Process, revision identifier.Revision) time.Duration {
	t.Helper()
	started := time.Now()
	launcher.Await(t, maxPropagationTime, "the change is in force on "+node.Name, func() bool { return teamRevision(node) == revision })
	return time.Since(started)
}

// TestNodeCutOffFromLogFollowsPeers breaks one node's connections to the platform: first the open
// ones are closed and new ones refused, then all are stalled, then only the open ones. Changes
// submitted through other nodes must come into force on it, and it must have pulled log records from a
// peer. A change submitted to it while connections are refused must be refused promptly as not run.
func TestNodeCutOffFromLogFollowsPeers(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	proxy := f.AddProxy("platform-of-node-3", f.Platform.Address)
	f.AddNode("node-1", "")
	f.AddNode("node-2", "")
	isolated := f.AddNode("node-3", proxy.Address)
	f.Configure(24, weightPath+"=1")
	awaitPeers(t, isolated, 2)
	revision := teamRevision(f.Nodes[0])
	for n, fault := range []map[string]any{{"refuse": true, "cut_open": true}, {"silence_all": true}, {"silence_open": true}} {
		f.SetFault(proxy, fault)
		result := submitUntilDecided(t, f.Nodes[:2], n, weightChange("cut-"+string(rune('a'+n)), revision, 10+n))
		c.Assert(result.decision.Accepted, qt.IsTrue)
		revision++
		c.Logf("%v: change in force on the node after %v", fault, awaitRevision(t, isolated, revision))
		if n == 0 {
			started := time.Now()
			result = submitChange(isolated, weightChange("by-cut", revision, 20))
			c.Assert(result.outcome, qt.Equals, responder.NotRun)
			c.Assert(time.Since(started) < maxRefusalTime, qt.IsTrue)
		}
		f.SetFault(proxy, map[string]any{})
	}
	c.Assert(logEventNumbers(isolated), qt.Contains, eventlogger.RecordsPulled.Number)
	result := submitUntilDecided(t, []*launcher.Process{isolated}, 0, weightChange("healed", revision, 30))
	c.Assert(result.decision.Accepted, qt.IsTrue)
	for _, node := range f.Nodes {
		awaitRevision(t, node, revision+1)
		tree, _ := configTree(node)
		_, known := tree.Decision(launcher.Team, "by-cut")
		c.Assert(known, qt.IsFalse)
	}
}

func awaitPeers(t *testing.T, node *launcher.Process, peers int) {
	t.Helper()
	launcher.Await(t, maxPropagationTime, node.Name+" sees its peers alive", func() bool {
		var status struct {
			Peers []struct {
				State string `json:"state"`
			} `json:"peers"`
		}
		callOperatorAPI(node, http.MethodGet, "/operator/status", nil, &status)
		alive := 0
		for _, p := range status.Peers {
			if p.State == "alive" {
				alive++
			}
		}
		return alive == peers
	})
}

// TestNodeStartsDuringLogOutage starts a node while no node can reach the platform. It must
// become ready with the configuration in force at a peer, and follow the log after the outage.
func TestNodeStartsDuringLogOutage(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	proxy := f.AddProxy("platform-of-all", f.Platform.Address)
	f.AddNode("node-1", proxy.Address)
	f.AddNode("node-2", proxy.Address)
	f.Configure(24, weightPath+"=7")
	revision := teamRevision(f.Nodes[0])
	f.SetFault(proxy, map[string]any{"refuse": true, "cut_open": true})
	started := time.Now()
	// Nothing listens on the first peer address.
	newNode := f.AddNode("node-3", proxy.Address, "--peers", "127.0.0.1:1,"+f.Nodes[0].Peer)
	launcher.Await(t, maxPropagationTime, "the node is ready", func() bool {
		resp, err := operatorClient.Get("http://" + newNode.Address + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusNoContent
	})
	c.Logf("ready during the outage after %v", time.Since(started))
	tree, _ := configTree(newNode)
	want, _ := configTree(f.Nodes[0])
	c.Assert(tree, qt.DeepEquals, want)
	change := weightChange("in-outage", revision, 8)
	started = time.Now()
	c.Assert(submitChange(newNode, change).outcome, qt.Equals, responder.NotRun)
	c.Assert(time.Since(started) < maxRefusalTime, qt.IsTrue)
	f.SetFault(proxy, map[string]any{})
	c.Assert(submitUntilDecided(t, []*launcher.Process{newNode}, 0, change).decision.Accepted, qt.IsTrue)
	for _, node := range f.Nodes {
		awaitRevision(t, node, revision+1)
	}
}

// TestInvalidChangesAreRefused submits invalid changes. Each must be refused with its own status
// and error code, and must not change the configuration.
func TestInvalidChangesAreRefused(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddNode("node-1", "")
	f.Configure(24, weightPath+"=1")
	node := f.Nodes[0]
	before, _ := configTree(node)
	revision := before.Get(launcher.Team).Revision
	c.Assert(submitChange(node, weightChange("taken", revision, 2)).decision.Accepted, qt.IsTrue)
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
			var decision configurer.Decision
			status, refusal := callOperatorAPI(node, http.MethodPost, "/operator/changes", tc.change, &decision)
			c.Assert(status, qt.Equals, tc.status)
			c.Assert(refusal.Error.Code, qt.Equals, tc.code)
		})
	}
	c.Assert(teamRevision(node), qt.Equals, revision)
}
