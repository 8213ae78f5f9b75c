package dispatcher_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/registrar"
	"fuchsiabridge.example/entry/internal/router"
)

// changingNode is a node whose configuration and targets change while it serves.
type changingNode struct {
	*harness
	cfg *describer.Configuration
}

// drawConfiguration draws another version, in which requests that must not be repeated may be, or the other way round.
func (n *changingNode) drawConfiguration(t *rapid.T) {
	cfg := configuration(n.cfg.Version+1, "key")
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		r.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "most attempts")
		switch r.Prefix {
		case "/post/":
			r.Kind = rapid.SampledFrom([]describer.Kind{describer.NonIdempotent, describer.Idempotent}).Draw(t, "kind")
		case "/once/":
			r.IsResumable = rapid.Bool().Draw(t, "resumable")
		}
	}
	n.cfg = cfg
}

// drawTargets draws which targets are there, leave or have started again.
func drawTargets(t *rapid.T) []registrar.Target {
	var out []registrar.Target
	for _, target := range targets() {
		switch rapid.IntRange(0, 5).Draw(t, "target") {
		case 0:
			continue
		case 1:
			target.IsLeaving = true
		case 2:
			target.Incarnation = int64(rapid.IntRange(1, 9).Draw(t, "start"))
		}
		out = append(out, target)
	}
	return out
}

// disturb lets something change while a request is in progress.
func (n *changingNode) disturb(t *rapid.T, at time.Duration) {
	var event messenger.Event
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0, 1:
		n.drawConfiguration(t)
		event = dispatcher.ConfigurationRead{Table: router.NewTable(n.cfg)}
	case 2:
		event = registrar.TargetsChanged{Targets: drawTargets(t)}
	case 3:
		event = registrar.Ejected{Address: rapid.SampledFrom(targets()).Draw(t, "ejected").Address, Cause: registrar.Unresponsive}
	case 4:
		event = messenger.Tick{}
	default:
		return
	}
	n.apply(at, event)
}

// TestNoRequestRunsTwiceAmidChanges guards against a payment that is made twice as its route may be repeated by a newer version of
// the configuration, or since targets come and go, while it is in progress: what held when it arrived holds until its end.
func TestNoRequestRunsTwiceAmidChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &changingNode{harness: readyHarness(), cfg: configuration(1, "key")}
		// Retries are plenty, so that none fails to be made for want of them.
		n.apply(0, dispatcher.RetryQuotaChanged{Retries: 1000, Partitions: 1, Generation: 1})
		at := retryWindow + time.Second
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			n.apply(at, dispatcher.ConfigurationConfirmed{AsOf: start.Add(at)})
			path := rapid.SampledFrom([]string{"/post/", "/once/", "/view/"}).Draw(t, "path")
			playRequest(t, n.harness, at, path, isRepeatable(n.cfg, path), func() { n.disturb(t, at) })
		}
	})
}
