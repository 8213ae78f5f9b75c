package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/integration/launcher"
	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/storefaker"
	"fuchsiabridge.example/platform/targetfaker"
)

const (
	// relayEvents is the number of events in the stream of each draft.
	relayEvents       = 60
	eventInterval     = 15 * time.Millisecond
	relayStartTimeout = 15 * time.Second
	relayKey          = "studio-key"
	// pendingRead is longer than a read may wait in the store.
	pendingRead = 800 * time.Millisecond
)

// relayFixture is a node in relay mode with stand-ins for the store and the targets.
type relayFixture struct {
	*qt.C
	store *storefaker.Store
	fleet *targetfaker.Fleet
	node  *launcher.Relay
}

func newRelayFixture(t *testing.T, flags ...string) *relayFixture {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	b := &relayFixture{C: c, store: store, fleet: targetfaker.NewFleet(ctx, store)}
	c.Assert(store.PutConfiguration(storefaker.Sample(1, relayKey)), qt.IsNil)
	for _, dc := range []string{"a", "b"} {
		b.add(targetfaker.TargetSpec{ID: "ledger-" + dc, Service: "ledger", DataCentre: dc, EventInterval: eventInterval})
		for i := range 3 {
			b.add(targetfaker.TargetSpec{ID: fmt.Sprintf("draft-%s%d", dc, i), Service: "drafting", DataCentre: dc, Kind: "big", EventInterval: eventInterval, Events: relayEvents})
		}
	}
	b.node = launcher.NewRelayFleet(t).AddRelay("node-1", "a", store.Address(), flags...)
	launcher.Await(t, relayStartTimeout, "the node is ready and serves drafts", func() bool {
		return b.node.IsReady() && b.draft("warm", false) == relayEvents
	})
	return b
}

func (b *relayFixture) add(s targetfaker.TargetSpec) { b.Assert(b.fleet.Add(s), qt.IsNil) }

// send sends one request and returns its status and body. Status 0 means that no complete answer came.
func (b *relayFixture) send(method, path, id, key string) (int, string) {
	status, body, err := callerfaker.Caller{Address: b.node.Address, Key: key}.Send(context.Background(), method, path, id)
	if err != nil {
		return 0, ""
	}
	return status, body
}

// draft streams a draft and returns the number of its events, or 0 unless they all arrived intact and
// in order. If stallLast is set, the last target of the draft's chain stalls after half of the events.
func (b *relayFixture) draft(id string, stallLast bool) int {
	n, err := callerfaker.Caller{Address: b.node.Address, Key: relayKey}.Stream(context.Background(), "/draft/x", id, func(n int) {
		if stallLast && n == relayEvents/2 {
			stages := strings.Split(b.fleet.Attempts(id)[0].Path, ",")
			b.fleet.Stall(b.fleet.TargetAt(strings.SplitN(stages[len(stages)-1], "=", 2)[0]))
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// TestRelayServesWithoutFaults checks the fault-free path: targets get the account but not the caller's
// key, an unknown key or route is refused, and no target gets more than one order. Each order has a fencing
// token.
func TestRelayServesWithoutFaults(t *testing.T) {
	b := newRelayFixture(t)
	status, body := b.send(http.MethodPost, "/post/1", "p1", relayKey)
	b.Assert(status, qt.Equals, http.StatusOK)
	b.Assert(body, qt.Equals, "answer to p1")
	attempts := b.fleet.Attempts("p1")
	b.Assert(attempts, qt.HasLen, 1)
	b.Assert(attempts[0].Account, qt.Equals, "studio")
	b.Assert(attempts[0].Key, qt.Equals, "")
	status, _ = b.send(http.MethodGet, "/view/1", "v1", "wrong")
	b.Assert(status, qt.Equals, http.StatusUnauthorized)
	status, _ = b.send(http.MethodGet, "/none/1", "v2", relayKey)
	b.Assert(status, qt.Equals, http.StatusNotFound)
	ordered := map[string]bool{}
	for _, o := range b.fleet.Orders() {
		b.Check(ordered[o.Target], qt.IsFalse, qt.Commentf("%s was ordered twice", o.Target))
		b.Check(o.Fence > 0, qt.IsTrue)
		ordered[o.Target] = true
	}
}

// TestRelayStalledStageIsRetried stalls one stage of a running chain. The stream must resume on another
// chain after its last complete event, and the caller must see each event once.
func TestRelayStalledStageIsRetried(t *testing.T) {
	checkRetry(newRelayFixture(t, "--retry-slack", "20", "--retry-window", "1s"))
}

func checkRetry(b *relayFixture) {
	b.Assert(b.draft("silenced", true), qt.Equals, relayEvents)
	attempts := b.fleet.Attempts("silenced")
	b.Assert(len(attempts), qt.Equals, 2)
	b.Assert(attempts[1].Last, qt.Equals, fmt.Sprint(relayEvents/2))
	b.Assert(strings.Contains(attempts[1].Path, attempts[0].Path), qt.IsFalse)
}

// loadFlags make a node without peers request load reports.
var loadFlags = []string{"--retry-slack", "20", "--retry-window", "1s", "--peer-listen", "", "--load-interval", "50ms"}

// TestRelayStalledStageIsRerouted stalls one stage of a running chain, at a node that gets load reports as one of many does. The first target
// must go around it within the same attempt, also where the retry budget allows a second one: sending the stream again lets all stages of
// another chain read its prompt.
func TestRelayStalledStageIsRerouted(t *testing.T) {
	b := newRelayFixture(t, loadFlags...)
	b.Assert(b.draft("silenced", true), qt.Equals, relayEvents)
	b.Assert(b.fleet.Attempts("silenced"), qt.HasLen, 1)
}

// TestRelayStalledStageIsRetriedWhereReroutesAreRefused does the same while no target has room for a reroute: the stream is sent again.
func TestRelayStalledStageIsRetriedWhereReroutesAreRefused(t *testing.T) {
	b := newRelayFixture(t, loadFlags...)
	b.fleet.RefuseReroutes()
	checkRetry(b)
}

// TestRelayStalledStageWithoutRetryBudget stalls one stage when the retry budget allows no second
// attempt. The first target of the chain must reroute around the stage within the same attempt.
func TestRelayStalledStageWithoutRetryBudget(t *testing.T) {
	b := newRelayFixture(t, "--retry-ratio", "0")
	b.Assert(b.draft("silenced", true), qt.Equals, relayEvents)
	b.Assert(b.fleet.Attempts("silenced"), qt.HasLen, 1)
}

// TestRelayStopsServingWhenStoreStalls guards against accepting revoked keys: when the store has not
// answered for most of the revocation limit, the node must become unready and refuse requests, and must
// serve again, with the new keys, when the store answers.
func TestRelayStopsServingWhenStoreStalls(t *testing.T) {
	b := newRelayFixture(t, "--revocation-limit", "2500ms")
	b.store.SetFault(storefaker.Unresponsive)
	launcher.Await(t, 5*time.Second, "the node is unready", func() bool { return !b.node.IsReady() })
	status, _ := b.send(http.MethodGet, "/view/1", "v1", relayKey)
	b.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	b.Assert(b.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	b.store.SetFault(storefaker.None)
	launcher.Await(t, 5*time.Second, "the node is ready", b.node.IsReady)
	status, _ = b.send(http.MethodGet, "/view/1", "v2", relayKey)
	b.Assert(status, qt.Equals, http.StatusUnauthorized)
}

// TestNodeDeniesNothingThatNewerVersionMayAllow guards against 401 and 404 for what a newer version allows, from a node that has
// not reached the store for longer than that version may take to be in force.
func TestNodeDeniesNothingThatNewerVersionMayAllow(t *testing.T) {
	t.Parallel()
	b := newRelayFixture(t)
	b.store.SetFault(storefaker.Busy)
	// A read that is already waiting in the store would still return the next version.
	time.Sleep(pendingRead)
	const added = "added.example"
	b.Assert(b.store.PutConfiguration(storefaker.SampleOfTwoHosts(2, added, time.Second, relayKey, "other-key")), qt.IsNil)
	time.Sleep(changeLimit + 100*time.Millisecond)
	for _, caller := range []callerfaker.Caller{{Key: "other-key"}, {Key: relayKey, Host: added}} {
		caller.Address = b.node.Address
		status, _, err := caller.Send(t.Context(), http.MethodGet, "/view/1", "v1")
		b.Assert(err, qt.IsNil)
		b.Check(status, qt.Equals, http.StatusServiceUnavailable)
	}
	status, _ := b.send(http.MethodGet, "/view/1", "v2", relayKey)
	b.Assert(status, qt.Equals, http.StatusOK)
}

// TestRelayRecoversFromTrimmedHistory lets the store trim records that the node has not read yet. The
// node must still reach the newest configuration.
func TestRelayRecoversFromTrimmedHistory(t *testing.T) {
	b := newRelayFixture(t)
	b.store.SetFault(storefaker.Busy)
	b.Assert(b.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	b.store.Compact()
	b.store.SetFault(storefaker.None)
	launcher.Await(t, 5*time.Second, "the new key is accepted", func() bool {
		status, _ := b.send(http.MethodGet, "/view/1", "v1", "other-key")
		return status == http.StatusOK
	})
}

// TestRelaySkipsMalformedEntries puts malformed entries into the store. The node must skip them and
// still apply a later configuration.
func TestRelaySkipsMalformedEntries(t *testing.T) {
	b := newRelayFixture(t)
	for i, raw := range []string{"", "{", `{"service":7}`, `{"service":"ledger","address":"x","zone":"a","state":"odd"}`, "\x00\xff"} {
		b.store.PutRaw(fmt.Sprintf("odd-%d", i), []byte(raw))
	}
	b.Assert(b.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	launcher.Await(t, 5*time.Second, "the new key is accepted", func() bool {
		status, _ := b.send(http.MethodGet, "/view/1", "v1", "other-key")
		return status == http.StatusOK
	})
}

// TestRelayServesBesideEntriesOfOtherWriters guards against nodes that end, or stop following a list, since another writer has left
// entries in it: very deeply nested, with numbers too large, with ports out of range, or with layers that no model has.
func TestRelayServesBesideEntriesOfOtherWriters(t *testing.T) {
	b := newRelayFixture(t)
	entry := func(service, address, layers string) []byte {
		return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","state":"ready","slots":8,"born":1,"kind":"big","layers":%s}`, service, address, layers))
	}
	odd := [][]byte{
		[]byte(strings.Repeat("[", 200_000)), []byte(`{"service":` + strings.Repeat("9", 200_000) + `}`),
		entry("ledger", "127.0.0.1:70000", "null"), entry("ledger", "127.0.0.1", "null"), entry("ledger", "0.0.0.0:0", "null"), entry("ledger", "", "null"),
		entry("drafting", "127.0.0.1:9", `{"from":0,"to":1048576}`), entry("drafting", "127.0.0.1:9", `{"from":-5,"to":20}`),
		entry("drafting", "127.0.0.1:9", `{"from":0,"to":1e300}`), entry("\x00", "127.0.0.1:9", `{"from":19,"to":21}`),
	}
	for round := range 3 {
		for i, value := range odd {
			for _, topic := range storefaker.KeyedTopics {
				b.store.PutRecord(topic, fmt.Sprintf("odd-%d", i), value)
				b.store.PutRecord(topic, fmt.Sprintf("\xff%d", i), value)
			}
		}
		time.Sleep(changeLimit)
		b.Assert(b.node.Exited(), qt.IsFalse)
		b.Assert(b.node.IsReady(), qt.IsTrue)
		b.Assert(b.draft(fmt.Sprintf("beside-%d", round), false), qt.Equals, relayEvents)
		status, _ := b.send(http.MethodPost, "/post/1", fmt.Sprintf("post-%d", round), relayKey)
		b.Assert(status, qt.Equals, http.StatusOK)
	}
	b.add(targetfaker.TargetSpec{ID: "ledger-c", Service: "ledger", DataCentre: "a", EventInterval: eventInterval})
	launcher.Await(t, 5*time.Second, "a target that came after them is used", func() bool {
		for i := range 20 {
			b.send(http.MethodGet, "/view/1", fmt.Sprintf("after-%d", i), relayKey)
		}
		return slices.ContainsFunc(b.fleet.Attempts(""), func(a targetfaker.Attempt) bool { return a.Target == "ledger-c" })
	})
}

// TestRelayCancelsWhenCallerLeaves disconnects a caller. The attempt at the target must be cancelled within
// half a second.
func TestRelayCancelsWhenCallerLeaves(t *testing.T) {
	b := newRelayFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := callerfaker.Caller{Address: b.node.Address, Key: relayKey}.Open(ctx, http.MethodPost, "/draft/x", "gone")
	b.Assert(err, qt.IsNil)
	cancel()
	_ = resp.Body.Close()
	launcher.Await(t, 500*time.Millisecond, "the attempt has ended", func() bool {
		attempts := b.fleet.Attempts("gone")
		return len(attempts) == 1 && !attempts[0].EndedAt.IsZero()
	})
}

// TestRelayStopsGracefully sends SIGTERM to a node with a stream in progress. The node must become
// unready immediately, finish the stream and exit with 0.
func TestRelayStopsGracefully(t *testing.T) {
	b := newRelayFixture(t, "--balancer-lag", "500ms", "--stop-limit", "6s")
	done := make(chan int, 1)
	go func() { done <- b.draft("last", false) }()
	launcher.Await(t, 2*time.Second, "the stream runs", func() bool { return len(b.fleet.Attempts("last")) == 1 })
	b.node.Stop()
	launcher.Await(t, 500*time.Millisecond, "the node is unready", func() bool { return !b.node.IsReady() })
	b.Assert(<-done, qt.Equals, relayEvents)
	code, ended := b.node.AwaitExit(6 * time.Second)
	b.Assert(ended, qt.IsTrue)
	b.Assert(code, qt.Equals, 0)
}

// TestFBCtlRelaysPrintsNodeState checks that "fbctl relays" prints a node's configuration, targets,
// lease and chains, and names an address that does not answer.
func TestFBCtlRelaysPrintsNodeState(t *testing.T) {
	b := newRelayFixture(t)
	unreachable := &launcher.Relay{Metrics: launcher.FreeAddress(t)}
	// Drafts are served as soon as one data centre has its layers.
	var out string
	launcher.Await(t, relayStartTimeout, "both data centres have chains", func() bool {
		var code int
		out, code = b.node.Fleet().FBCtlRelays(b.node, unreachable)
		b.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
		return regexp.MustCompile(`drafting +a `).MatchString(out) && regexp.MustCompile(`drafting +b `).MatchString(out)
	})
	for _, want := range []string{`node-1 +127\S+ +true +1 `, `yes, fence`, `drafting +a `, `drafting +b `, `no answer`, `draft-a\d=0-`} {
		b.Check(out, qt.Matches, `(?s).*`+want+`.*`)
	}
}
