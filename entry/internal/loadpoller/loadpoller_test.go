package loadpoller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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

func (t targets) Holders() []loadpoller.Target {
	return append(t.FirstTargets(), loadpoller.Target{ID: "sound stage", Address: "sound"}, loadpoller.Target{ID: "slow stage", Address: "slow"})
}

func (targets) ReportLoad(ctx context.Context, t loadpoller.Target) (loadtracker.Report, error) {
	switch t.ID {
	case "silent":
		<-ctx.Done()
		return loadtracker.Report{}, ctx.Err()
	case "broken":
		return loadtracker.Report{}, errors.New("no report")
	}
	r := loadtracker.Report{Target: t.ID, Running: 7, Pace: 1}
	if t.ID == "slow stage" {
		r.Pace = 12
	}
	return r, nil
}

// peers records the calls to other nodes.
type peers struct{ calls chan string }

func (p peers) Call(_ context.Context, address, method string, params, _ any) error {
	p.calls <- fmt.Sprintf("%s %s %d", method, address, len(params.([]loadtracker.Report)))
	return nil
}

// run runs a poller with a duty, and returns the rounds that it records and the calls that it makes.
func run(t *testing.T, duty loadpoller.Duty) (p *loadpoller.Poller, rounds chan []loadtracker.Report, calls chan string) {
	rounds, calls = make(chan []loadtracker.Report, 1000), make(chan string, 1000)
	p = loadpoller.NewPoller(loadpoller.Config{
		Interval: 20 * time.Millisecond, Targets: targets{}, Record: func(r []loadtracker.Report) { rounds <- r },
		Duty: func() loadpoller.Duty { return duty }, Peers: peers{calls}, Readers: func(context.Context) []string { return []string{"r1", "r2"} },
	})
	go p.Run(t.Context())
	return p, rounds, calls
}

// TestSilentTargetHidesNoOthers guards against one target without an answer that keeps the load of all others from the nodes. The node that
// asks for all passes the reports on to the other readers.
func TestSilentTargetHidesNoOthers(t *testing.T) {
	c := qt.New(t)
	_, rounds, calls := run(t, loadpoller.FullDuty)
	// The first round asks the later stages too, of which nodes are told those that are slow.
	c.Assert(<-rounds, qt.HasLen, 3)
	c.Assert([]string{(<-calls)[:len("loads r1")], (<-calls)[:len("loads r1")]}, qt.HasLen, 2)
	got := map[identifier.TargetID]bool{}
	for _, r := range <-rounds {
		got[r.Target] = true
	}
	c.Assert(got, qt.DeepEquals, map[identifier.TargetID]bool{"a": true, "b": true})
	told := []string{<-calls, <-calls}
	slices.Sort(told)
	c.Assert(told, qt.DeepEquals, []string{"loads r1 2", "loads r2 2"})
}

// TestReaderAsksWhileItIsToldNothing guards against readers without reports after the node that asks for all has failed, and against each
// reader asking all targets while one does that for them.
func TestReaderAsksWhileItIsToldNothing(t *testing.T) {
	c := qt.New(t)
	p, rounds, calls := run(t, loadpoller.ReaderDuty)
	c.Assert(<-rounds, qt.HasLen, 3)
	for len(rounds) > 0 {
		<-rounds
	}
	told := []loadtracker.Report{{Target: "x", Running: 1}}
	params, err := json.Marshal(told)
	c.Assert(err, qt.IsNil)
	// A round that has begun before may still end.
	asked := 0
	for range 30 {
		_, err := p.ServeLoads(context.Background(), params)
		c.Assert(err, qt.IsNil)
		for len(rounds) > 0 {
			if len(<-rounds) > 1 {
				asked++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(asked <= 1, qt.IsTrue, qt.Commentf("asked %d times", asked))
	for {
		if r := <-rounds; len(r) > 1 {
			break
		}
	}
	c.Assert(calls, qt.HasLen, 0, qt.Commentf("only the node that asks for all passes reports on"))
}

// TestFollowerAsksNothing checks that nodes that follow a reader send no request, and none does in a deployment without the setting.
func TestFollowerAsksNothing(t *testing.T) {
	_, rounds, _ := run(t, loadpoller.NoDuty)
	p := loadpoller.NewPoller(loadpoller.Config{Duty: func() loadpoller.Duty { return loadpoller.FullDuty }, Targets: targets{}})
	p.Run(context.Background())
	select {
	case <-rounds:
		t.Error("asked")
	case <-time.After(100 * time.Millisecond):
	}
}
