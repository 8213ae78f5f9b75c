package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/fbload/requester"
	"fuchsiabridge.example/integration/launcher"
)

// newOrdersFleet starts a fleet for tests of orders, by which the node that holds the lease for them tells
// engines to load or unload layers. The fleet has two replicas for each of two layer ranges, one spare
// engine without layers, and three nodes.
func newOrdersFleet(t *testing.T, spareFlags ...string) *launcher.Fleet {
	t.Helper()
	f := launcher.NewFleet(t)
	for _, replica := range []string{"1", "2"} {
		f.AddEngine("engine-a"+replica, 0, membersLayers/2)
		f.AddEngine("engine-b"+replica, membersLayers/2, membersLayers)
	}
	f.AddEngine("spare", 0, 0, append([]string{"--weights", f.Platform.Address}, spareFlags...)...)
	for n := range 3 {
		f.AddNode(fmt.Sprintf("node-%d", n+1), "")
	}
	f.Configure(membersLayers)
	awaitTargets(t, f, "up", 5)
	return f
}

// spareEntries returns the entries of the spare's ledger with the given event. An empty event selects
// layer runs.
func spareEntries(f *launcher.Fleet, event string) []ledgerEntry {
	var found []ledgerEntry
	for _, r := range launcher.Ledger[ledgerEntry](f, "spare") {
		if r.Event == event {
			found = append(found, r)
		}
	}
	return found
}

// awaitLeaseHolder waits until a node reports that it holds the lease for orders ("mine=true"), and returns
// its index.
func awaitLeaseHolder(t *testing.T, f *launcher.Fleet) int {
	t.Helper()
	found := -1
	pattern := regexp.MustCompile(`mine=true`)
	launcher.Await(t, 10*time.Second, "a node holds the lease for orders", func() bool {
		for i, n := range f.Nodes {
			if pattern.MatchString(explain(t, n, "lease/orders")) {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// explain returns one node's recorded events about a subject.
func explain(t *testing.T, node *launcher.Process, subject string) string {
	t.Helper()
	c := qt.New(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+node.Address+"/operator/explain?subject="+subject, nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+launcher.OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	c.Assert(err, qt.IsNil)
	return body.String()
}

// TestSpareLoadsLostRange kills one replica of a layer range. A spare engine must be ordered, once, to
// load the range, and must run drafts when the other replica dies too.
func TestSpareLoadsLostRange(t *testing.T) {
	c := qt.New(t)
	f := newOrdersFleet(t)
	awaitLeaseHolder(t, f)
	killedAt := time.Now()
	f.Engines["engine-a2"].Kill()
	launcher.Await(t, 10*time.Second, "the spare is ordered to load", func() bool { return len(spareEntries(f, "order_load")) > 0 })
	t.Logf("spare ordered %v after the replica was killed", time.Since(killedAt).Round(time.Millisecond))
	c.Assert(spareEntries(f, "order_load")[0].Layers, qt.Equals, identifier.LayerRange{To: membersLayers / 2})
	launcher.Await(t, 10*time.Second, "every node sees the spare's layers", func() bool {
		for _, n := range f.Nodes {
			for _, target := range readStatus(c, n).Targets {
				if target.ID == "spare" && target.Layers.Len() == 0 {
					return false
				}
			}
		}
		return true
	})
	t.Logf("spare loaded %v after the replica was killed", time.Since(killedAt).Round(time.Millisecond))
	f.Engines["engine-a1"].Kill()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	result, err := requester.NewRequester().Stream(ctx, requester.DraftRequest{
		Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: "on-spare", Class: "counter", Model: launcher.Model, Prompt: "p", MaxTokens: 8,
	}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(result.IsComplete, qt.IsTrue, qt.Commentf("%+v", result.Problem))
	c.Assert(result.Tokens, qt.DeepEquals, layerhasher.Answer(membersLayers, requester.ModelPrompt("p"), 8))
	c.Assert(len(spareEntries(f, "")) > 0, qt.IsTrue, qt.Commentf("no step ran on the spare"))
	c.Assert(spareEntries(f, "order_load"), qt.HasLen, 1)
	// Event 5005 is the decision to send the order.
	out, code := f.FBCtl("explain", "target/spare")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "5005")
}

// TestPausedLeaseHolderIsFenced pauses the lease holder until its lease expires. Another node must take
// the lease and send the order. A stale order, such as the old holder may have sent before the pause, must
// have no lasting effect, whether or not the engine enforces fencing. If it does, the stale order must be
// the only one refused: the old holder must send none after it is resumed.
func TestPausedLeaseHolderIsFenced(t *testing.T) {
	for _, fencing := range []string{"enforce", "ignore"} {
		t.Run(fencing, func(t *testing.T) {
			c := qt.New(t)
			f := newOrdersFleet(t, "--fencing", fencing)
			oldHolder := f.Nodes[awaitLeaseHolder(t, f)]
			oldToken := latestFencingToken(c, explain(t, oldHolder, "lease/orders"))
			oldHolder.Pause()
			f.Engines["engine-a2"].Kill()
			launcher.Await(t, 12*time.Second, "the new lease holder sends an order to the spare", func() bool { return len(spareEntries(f, "order_load")) > 0 })
			newToken := spareEntries(f, "order_load")[0].Fence
			c.Assert(newToken > oldToken, qt.IsTrue, qt.Commentf("fencing tokens %d, then %d", oldToken, newToken))
			awaitSpareLayers(t, f, identifier.LayerRange{To: membersLayers / 2})
			oldHolder.Resume()
			sendStaleOrder(t, f, oldToken)
			if fencing == "enforce" {
				c.Assert(spareEntries(f, "order_refused"), qt.HasLen, 1)
				c.Assert(spareEntries(f, "order_load"), qt.HasLen, 1)
			}
			staleSentAt := time.Now()
			awaitSpareLayers(t, f, identifier.LayerRange{To: membersLayers / 2})
			t.Logf("the spare holds the range assigned by the new lease holder %v after the stale order", time.Since(staleSentAt).Round(time.Millisecond))
			for _, n := range spareEntries(f, "order_load")[1:] {
				c.Check(n.Fence == oldToken || n.Fence > newToken, qt.IsTrue, qt.Commentf("%+v", n))
			}
		})
	}
}

// latestFencingToken returns the fencing token of the node's latest lease.
func latestFencingToken(c *qt.C, explanation string) identifier.FencingToken {
	found := regexp.MustCompile(`fence=(\d+)`).FindAllStringSubmatch(explanation, -1)
	c.Assert(found, qt.Not(qt.HasLen), 0)
	var fence identifier.FencingToken
	c.Assert(json.Unmarshal([]byte(found[len(found)-1][1]), &fence), qt.IsNil)
	return fence
}

// sendStaleOrder sends the spare an order that the old lease holder could have sent just before it
// was paused.
func sendStaleOrder(t *testing.T, f *launcher.Fleet, fence identifier.FencingToken) {
	t.Helper()
	body := fmt.Sprintf(`{"id":"late","kind":"load","model":%q,"layers":{"from":%d,"to":%d},"fence":%d}`, launcher.Model, membersLayers/2, membersLayers, fence)
	resp, err := http.Post("http://"+f.Engines["spare"].Address+"/v1/orders", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// awaitSpareLayers waits until the spare's own status reports the layers.
func awaitSpareLayers(t *testing.T, f *launcher.Fleet, layers identifier.LayerRange) {
	t.Helper()
	launcher.Await(t, 12*time.Second, fmt.Sprintf("the spare holds %+v", layers), func() bool {
		resp, err := http.Get("http://" + f.Engines["spare"].Address + "/v1/status")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var s struct {
			Layers identifier.LayerRange `json:"layers"`
		}
		return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Layers == layers
	})
}
