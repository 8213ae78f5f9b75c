package dispatcher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/router"
	"fuchsiabridge.example/entry/internal/shedder"
)

// rankedConfiguration has two streamed routes with different priorities at one service.
func rankedConfiguration(version int64, keys ...string) dispatcher.ConfigurationRead {
	cfg := configuration(version, keys...)
	for i := range cfg.Routes {
		if cfg.Routes[i].Kind == describer.Streaming {
			cfg.Routes[i].Priority, cfg.Routes[i].LatencyObjective = i, 500*time.Millisecond
		}
	}
	cfg.Services["draft"].Engine.Slots = 4
	return dispatcher.ConfigurationRead{Table: router.NewTable(cfg)}
}

// rankedHarness returns a harness that may have two streams open, which it has, and one that waits.
func rankedHarness(c *qt.C) (d *harness, waiting identifier.CallID) {
	d = &harness{dispatcher: dispatcher.NewDispatcher(dispatcher.Config{DataCentre: "a", RevocationLimit: revocationLimit, ChangeLimit: changeLimit, RetryWindow: retryWindow, LoadInterval: time.Second})}
	makeReady(d)
	d.apply(0, rankedConfiguration(2, "key"))
	d.apply(0, shedder.ShareLearned{Share: 0.01})
	d.sendRequest(0, "/draft/", "key")
	_, e := d.sendRequest(0, "/once/", "key")
	sent, ok := e.(dispatcher.Send)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	c.Check(sent.IsRanked, qt.IsTrue)
	c.Check(sent.Priority, qt.Equals, shedder.Priority(3))
	waiting, e = d.sendRequest(0, "/draft/", "key")
	_, ok = e.(dispatcher.Hold)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	return d, waiting
}

// TestWaitingForAdmissionKeepsPromises guards against requests that are sent after they have waited although their caller has left, their
// key was revoked or the node is stopping, and against ones that wait on after a place has become free.
func TestWaitingForAdmissionKeepsPromises(t *testing.T) {
	const after = 20 * time.Millisecond
	c := qt.New(t)
	for name, row := range map[string]struct {
		change messenger.Event
		isGone bool
		at     time.Duration
		want   int
	}{
		"caller leaves":     {isGone: true, at: after},
		"key revoked":       {change: rankedConfiguration(3, "other"), at: after, want: 401},
		"stopping":          {change: dispatcher.Stopping{RefuseAt: start}, at: after, want: 503},
		"wait is over":      {at: 63 * time.Millisecond, want: 503},
		"place is free":     {change: dispatcher.AttemptReported{Call: 1, Outcome: dispatcher.Delivered, Status: 200}, at: after, want: -1},
		"no ranks any more": {change: dispatcher.ConfigurationRead{Table: router.NewTable(configuration(3, "key"))}, at: after, want: -1},
	} {
		c.Run(name, func(c *qt.C) {
			d, waiting := rankedHarness(c)
			if row.change != nil {
				d.apply(row.at, row.change)
			}
			e := d.apply(row.at, dispatcher.HoldEnded{Call: waiting, IsCallerGone: row.isGone})
			_, isSent := e.(dispatcher.Send)
			c.Check(isSent, qt.Equals, row.want < 0, qt.Commentf("%T", e))
			c.Check(status(e), qt.Equals, max(0, row.want))
			c.Check(d.dispatcher.Status(start.Add(row.at)).Admission[0].Waiting, qt.Equals, 0)
		})
	}
}

// TestRejectionLowersLimit guards against a node that does not notice that targets reject its requests for want of room.
func TestRejectionLowersLimit(t *testing.T) {
	c := qt.New(t)
	d, _ := rankedHarness(c)
	d.apply(0, dispatcher.AttemptReported{Call: 1, Outcome: dispatcher.NotRun, Status: 503})
	c.Check(d.dispatcher.Status(start).Admission[0].Factor < 1, qt.IsTrue)
}

// TestUnrankedRequestsAreNotShed guards against admission at services with one priority, or without load reports.
func TestUnrankedRequestsAreNotShed(t *testing.T) {
	for _, row := range []struct {
		interval time.Duration
		read     dispatcher.ConfigurationRead
	}{{0, rankedConfiguration(2, "key")}, {time.Second, dispatcher.ConfigurationRead{Table: router.NewTable(configuration(2, "key"))}}} {
		c := qt.New(t)
		d := makeReady(&harness{dispatcher: dispatcher.NewDispatcher(dispatcher.Config{DataCentre: "a", RevocationLimit: revocationLimit, RetryWindow: retryWindow, LoadInterval: row.interval})})
		d.apply(0, row.read)
		d.apply(0, shedder.ShareLearned{Share: 0.01})
		for range 20 {
			_, e := d.sendRequest(0, "/draft/", "key")
			sent, ok := e.(dispatcher.Send)
			c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
			c.Assert(sent.IsRanked, qt.IsFalse)
		}
	}
}
