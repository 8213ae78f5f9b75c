package loadpoller_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/loadpoller"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

// targets answers with reports, but for the target "silent", which answers only when the call ends, and "broken".
type targets struct{}

func (targets) FirstTargets() []loadpoller.Target {
	var out []loadpoller.Target
	for _, id := range []identifier.TargetID{"a", "silent", "b", "broken"} {
		out = append(out, loadpoller.Target{ID: id, Address: string(id)})
	}
	return out
}

func (targets) ReportLoad(ctx context.Context, t loadpoller.Target) (loadtracker.Report, error) {
	switch t.ID {
	case "silent":
		<-ctx.Done()
		return loadtracker.Report{}, ctx.Err()
	case "broken":
		return loadtracker.Report{}, errors.New("no report")
	}
	return loadtracker.Report{Target: t.ID, Running: 7}, nil
}

// TestSilentTargetHidesNoOthers guards against one target without an answer that keeps the load of all others from the nodes.
func TestSilentTargetHidesNoOthers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rounds := make(chan []loadtracker.Report, 100)
	isAsking := false
	p := loadpoller.NewPoller(loadpoller.Config{
		Interval: 5 * time.Millisecond, Targets: targets{}, Record: func(r []loadtracker.Report) { rounds <- r },
		// The first look finds that this node does not ask.
		IsAsking: func() bool { was := isAsking; isAsking = true; return was },
	})
	go p.Run(ctx)
	for range 2 {
		got := map[identifier.TargetID]bool{}
		for _, r := range <-rounds {
			got[r.Target] = true
		}
		c.Assert(got, qt.DeepEquals, map[identifier.TargetID]bool{"a": true, "b": true})
	}
}

// TestNoIntervalAsksNothing checks that a deployment without the setting sends no request for a report.
func TestNoIntervalAsksNothing(t *testing.T) {
	p := loadpoller.NewPoller(loadpoller.Config{IsAsking: func() bool { t.Error("asked"); return true }, Targets: targets{}})
	p.Run(context.Background())
}
