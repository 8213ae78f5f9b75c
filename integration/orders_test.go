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

// ordersFleet starts three nodes before two replicas of each of two ranges and one spare.
func ordersFleet(t *testing.T, spareFlags ...string) *launcher.Fleet {
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

// notes returns the spare's notes of an event.
func notes(f *launcher.Fleet, event string) []run {
	var found []run
	for _, r := range launcher.Ledger[run](f, "spare") {
		if r.Event == event {
			found = append(found, r)
		}
	}
	return found
}

// holder waits until the nodes explain who holds the lease, and returns its index.
func holder(t *testing.T, f *launcher.Fleet) int {
	t.Helper()
	found := -1
	pattern := regexp.MustCompile(`mine=true`)
	launcher.Await(t, 10*time.Second, "a node holds the lease", func() bool {
		for i, n := range f.Nodes {
			if pattern.MatchString(explain(t, n, "lease/orders")) {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// explain returns what one node says of a subject.
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

// TestSpareIsLoaded kills one replica of a range: a spare loads the range, and once the
// other replica dies too, drafts run on the spare.
func TestSpareIsLoaded(t *testing.T) {
	c := qt.New(t)
	f := ordersFleet(t)
	holder(t, f)
	killed := time.Now()
	f.Engines["engine-a2"].Kill()
	launcher.Await(t, 10*time.Second, "the spare is ordered to load", func() bool { return len(notes(f, "order_load")) > 0 })
	t.Logf("spare ordered %v after the replica's end", time.Since(killed).Round(time.Millisecond))
	c.Assert(notes(f, "order_load")[0].Layers, qt.Equals, identifier.LayerRange{To: membersLayers / 2})
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
	t.Logf("spare loaded %v after the replica's end", time.Since(killed).Round(time.Millisecond))
	f.Engines["engine-a1"].Kill()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	result, err := requester.NewRequester().Stream(ctx, requester.Draft{
		Node: f.Nodes[0].Address, Key: launcher.AccountKey, ID: "on-spare", Class: "counter", Model: launcher.Model, Prompt: "p", MaxTokens: 8,
	}, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Whole, qt.IsTrue, qt.Commentf("%+v", result.Problem))
	c.Assert(result.Tokens, qt.DeepEquals, layerhasher.Answer(membersLayers, requester.Prompt("p"), 8))
	c.Assert(len(notes(f, "")) > 0, qt.IsTrue, qt.Commentf("no step ran on the spare"))
	c.Assert(notes(f, "order_load"), qt.HasLen, 1)
	out, code := f.Ctl("explain", "target/spare")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "5005")
}

// TestFrozenHolder freezes the lease's holder past its lapse: another node orders, the
// old holder sends nothing once it goes on, and an order of its that comes late has no lasting effect.
func TestFrozenHolder(t *testing.T) {
	for _, fencing := range []string{"enforce", "ignore"} {
		t.Run(fencing, func(t *testing.T) {
			c := qt.New(t)
			f := ordersFleet(t, "--fencing", fencing)
			old := f.Nodes[holder(t, f)]
			oldFence := lastFence(c, explain(t, old, "lease/orders"))
			old.Freeze()
			f.Engines["engine-a2"].Kill()
			launcher.Await(t, 12*time.Second, "the new holder orders the spare", func() bool { return len(notes(f, "order_load")) > 0 })
			newFence := notes(f, "order_load")[0].Fence
			c.Assert(newFence > oldFence, qt.IsTrue, qt.Commentf("fences %d, then %d", oldFence, newFence))
			awaitSpare(t, f, identifier.LayerRange{To: membersLayers / 2})
			old.Thaw()
			lateOrder(t, f, oldFence)
			if fencing == "enforce" {
				c.Assert(notes(f, "order_refused"), qt.HasLen, 1)
				c.Assert(notes(f, "order_load"), qt.HasLen, 1)
			}
			late := time.Now()
			awaitSpare(t, f, identifier.LayerRange{To: membersLayers / 2})
			t.Logf("the spare holds what the new holder assigned %v after the late order", time.Since(late).Round(time.Millisecond))
			for _, n := range notes(f, "order_load")[1:] {
				c.Check(n.Fence == oldFence || n.Fence > newFence, qt.IsTrue, qt.Commentf("%+v", n))
			}
		})
	}
}

// lastFence returns the fencing number of the node's newest grant.
func lastFence(c *qt.C, explanation string) identifier.FencingNumber {
	found := regexp.MustCompile(`fence=(\d+)`).FindAllStringSubmatch(explanation, -1)
	c.Assert(found, qt.Not(qt.HasLen), 0)
	var fence identifier.FencingNumber
	c.Assert(json.Unmarshal([]byte(found[len(found)-1][1]), &fence), qt.IsNil)
	return fence
}

// lateOrder delivers to the spare what the old holder might have sent just before it froze.
func lateOrder(t *testing.T, f *launcher.Fleet, fence identifier.FencingNumber) {
	t.Helper()
	body := fmt.Sprintf(`{"id":"late","kind":"load","model":%q,"layers":{"from":%d,"to":%d},"fence":%d}`, launcher.Model, membersLayers/2, membersLayers, fence)
	resp, err := http.Post("http://"+f.Engines["spare"].Address+"/v1/orders", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// awaitSpare waits until the spare itself says that it holds the layers.
func awaitSpare(t *testing.T, f *launcher.Fleet, layers identifier.LayerRange) {
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
