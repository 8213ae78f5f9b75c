package integration_test

import (
	"context"
	"fmt"
	"net/http"
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
	relayEvents = 60
	eventPause  = 15 * time.Millisecond
	relayStart  = 15 * time.Second
	relayKey    = "studio-key"
)

// bridge is a relaying node in front of stand-ins of the store and of the targets.
type bridge struct {
	*qt.C
	store *storefaker.Store
	fleet *targetfaker.Fleet
	node  *launcher.Relay
}

func newBridge(t *testing.T, flags ...string) *bridge {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store, err := storefaker.NewStore(ctx)
	c.Assert(err, qt.IsNil)
	b := &bridge{C: c, store: store, fleet: targetfaker.NewFleet(ctx, store)}
	c.Assert(store.PutConfiguration(storefaker.Sample(1, relayKey)), qt.IsNil)
	for _, dc := range []string{"a", "b"} {
		b.add(targetfaker.Setting{ID: "ledger-" + dc, Service: "ledger", DataCentre: dc, EventPause: eventPause})
		for i := range 3 {
			b.add(targetfaker.Setting{ID: fmt.Sprintf("draft-%s%d", dc, i), Service: "drafting", DataCentre: dc, Kind: "big", EventPause: eventPause, Events: relayEvents})
		}
	}
	b.node = launcher.NewRelays(t).AddRelay("node-1", "a", store.Address(), flags...)
	launcher.Await(t, relayStart, "the node is ready and both data centres hold all layers", func() bool {
		return b.node.IsReady() && b.draft("warm", false) == relayEvents
	})
	return b
}

func (b *bridge) add(s targetfaker.Setting) { b.Assert(b.fleet.Add(s), qt.IsNil) }

// send sends one request and returns its status and body, 0 when no whole answer came.
func (b *bridge) send(method, path, id, key string) (int, string) {
	status, body, err := callerfaker.Caller{Address: b.node.Address, Key: key}.Send(context.Background(), method, path, id)
	if err != nil {
		return 0, ""
	}
	return status, body
}

// draft streams a draft and returns the number of its events, 0 unless they came whole and
// in order; at half of them it may silence the last target of the draft's chain.
func (b *bridge) draft(id string, silences bool) int {
	n, err := callerfaker.Caller{Address: b.node.Address, Key: relayKey}.Stream(context.Background(), "/draft/x", id, func(n int) {
		if silences && n == relayEvents/2 {
			parts := strings.Split(b.fleet.Runs(id)[0].Path, ",")
			b.fleet.Silence(b.fleet.TargetAt(strings.SplitN(parts[len(parts)-1], "=", 2)[0]))
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// TestRelayCalmPath serves each kind of request: orders are given once each under a fencing
// number, the key stays here, the account goes along, what no route or key allows is denied.
func TestRelayCalmPath(t *testing.T) {
	b := newBridge(t)
	status, body := b.send(http.MethodPost, "/post/1", "p1", relayKey)
	b.Assert(status, qt.Equals, http.StatusOK)
	b.Assert(body, qt.Equals, "answer to p1")
	runs := b.fleet.Runs("p1")
	b.Assert(runs, qt.HasLen, 1)
	b.Assert(runs[0].Account, qt.Equals, "studio")
	b.Assert(runs[0].Key, qt.Equals, "")
	status, _ = b.send(http.MethodGet, "/view/1", "v1", "wrong")
	b.Assert(status, qt.Equals, http.StatusUnauthorized)
	status, _ = b.send(http.MethodGet, "/none/1", "v2", relayKey)
	b.Assert(status, qt.Equals, http.StatusNotFound)
	placed := map[string]bool{}
	for _, o := range b.fleet.Orders() {
		b.Check(placed[o.Target], qt.IsFalse, qt.Commentf("%s was ordered twice", o.Target))
		b.Check(o.Fence > 0, qt.IsTrue)
		placed[o.Target] = true
	}
}

// TestRelayPartFallsSilent has a part of a running chain fall silent: the stream goes on at
// another chain after its last whole event, and the caller sees each event once.
func TestRelayPartFallsSilent(t *testing.T) {
	b := newBridge(t, "--retry-slack", "20", "--retry-window", "1s")
	b.Assert(b.draft("silenced", true), qt.Equals, relayEvents)
	runs := b.fleet.Runs("silenced")
	b.Assert(len(runs), qt.Equals, 2)
	b.Assert(runs[1].Last, qt.Equals, fmt.Sprint(relayEvents/2))
	b.Assert(strings.Contains(runs[1].Path, runs[0].Path), qt.IsFalse)
}

// TestRelayPartFallsSilentWithoutBudget has a part fall silent where no request may be sent
// again: its first target leads the run another way, and it stays one run.
func TestRelayPartFallsSilentWithoutBudget(t *testing.T) {
	b := newBridge(t, "--retry-ratio", "0")
	b.Assert(b.draft("silenced", true), qt.Equals, relayEvents)
	b.Assert(b.fleet.Runs("silenced"), qt.HasLen, 1)
}

// TestRelayStoreSilent serves no key once the store has been silent for most of the
// revocation limit, says so to the balancer, and serves again when the store is back.
func TestRelayStoreSilent(t *testing.T) {
	b := newBridge(t, "--revocation-limit", "2500ms")
	b.store.SetFault(storefaker.Silent)
	launcher.Await(t, 5*time.Second, "the node is unready", func() bool { return !b.node.IsReady() })
	status, _ := b.send(http.MethodGet, "/view/1", "v1", relayKey)
	b.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	b.Assert(b.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	b.store.SetFault(storefaker.None)
	launcher.Await(t, 5*time.Second, "the node is ready", b.node.IsReady)
	status, _ = b.send(http.MethodGet, "/view/1", "v2", relayKey)
	b.Assert(status, qt.Equals, http.StatusUnauthorized)
}

// TestRelayForgottenHistory goes on when the store has dropped the records that the node had not read.
func TestRelayForgottenHistory(t *testing.T) {
	b := newBridge(t)
	b.store.SetFault(storefaker.Busy)
	b.Assert(b.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	b.store.Forget()
	b.store.SetFault(storefaker.None)
	launcher.Await(t, 5*time.Second, "the new key serves", func() bool {
		status, _ := b.send(http.MethodGet, "/view/1", "v1", "other-key")
		return status == http.StatusOK
	})
}

// TestRelayUnreadableEntries serves on beside entries that are none.
func TestRelayUnreadableEntries(t *testing.T) {
	b := newBridge(t)
	for i, raw := range []string{"", "{", `{"service":7}`, `{"service":"ledger","address":"x","zone":"a","state":"odd"}`, "\x00\xff"} {
		b.store.PutRaw(fmt.Sprintf("odd-%d", i), []byte(raw))
	}
	b.Assert(b.store.PutConfiguration(storefaker.Sample(2, "other-key")), qt.IsNil)
	launcher.Await(t, 5*time.Second, "the new key serves", func() bool {
		status, _ := b.send(http.MethodGet, "/view/1", "v1", "other-key")
		return status == http.StatusOK
	})
}

// TestRelayCallerLeaves ends the work at the target within half a second of the caller's leaving.
func TestRelayCallerLeaves(t *testing.T) {
	b := newBridge(t)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := callerfaker.Caller{Address: b.node.Address, Key: relayKey}.Open(ctx, http.MethodPost, "/draft/x", "gone")
	b.Assert(err, qt.IsNil)
	cancel()
	_ = resp.Body.Close()
	launcher.Await(t, 500*time.Millisecond, "the run has ended", func() bool {
		runs := b.fleet.Runs("gone")
		return len(runs) == 1 && !runs[0].EndedAt.IsZero()
	})
}

// TestRelayStops ends a node by SIGTERM: unready at once, it finishes the stream in progress.
func TestRelayStops(t *testing.T) {
	b := newBridge(t, "--balancer-lag", "500ms", "--stop-limit", "6s")
	done := make(chan int, 1)
	go func() { done <- b.draft("last", false) }()
	launcher.Await(t, 2*time.Second, "the stream runs", func() bool { return len(b.fleet.Runs("last")) == 1 })
	b.node.Stop()
	launcher.Await(t, 500*time.Millisecond, "the node is unready", func() bool { return !b.node.IsReady() })
	b.Assert(<-done, qt.Equals, relayEvents)
	code, ended := b.node.AwaitEnd(6 * time.Second)
	b.Assert(ended, qt.IsTrue)
	b.Assert(code, qt.Equals, 0)
}

// TestRelaysTellsWhatNodesBelieve prints a node's configuration, targets, lease and chains on
// one screen, and which address gives no answer.
func TestRelaysTellsWhatNodesBelieve(t *testing.T) {
	b := newBridge(t)
	gone := &launcher.Relay{Metrics: launcher.FreeAddress(t)}
	out, code := b.node.Fleet().Relays(b.node, gone)
	b.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	for _, want := range []string{`node-1 +127\S+ +true +1 `, `yes, fence`, `drafting +a `, `drafting +b `, `no answer`, `draft-a\d=0-`} {
		b.Check(out, qt.Matches, `(?s).*`+want+`.*`)
	}
}
