package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/budgeter"
)

const (
	ratio  = 0.2
	window = 10 * time.Second
	slack  = 200
	// dealtSlack is the part of the slack that is distributed among the nodes.
	dealtSlack = 170

	service identifier.ServiceID = "draft"
	step                         = 10 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// node is a node of the simulation. It has restarted at bornAt, serves nothing until upAt, and leaves the group at leavesAt.
type node struct {
	*budgeter.Budgets
	upAt     time.Duration
	leavesAt time.Duration
	endsAt   time.Duration
}

// fleet plays requests and their retries at all nodes in virtual time.
type fleet struct {
	rnd   *rand.Rand
	now   time.Duration
	nodes []*node
	// perSecond is the number of requests that arrive at all nodes together; a share of them wants a retry.
	perSecond float64
	failing   float64
	requests  []time.Duration
	retries   []time.Duration
	denied    int
}

func (f *fleet) at(d time.Duration) time.Time { return start.Add(d) }

// start starts a node's process.
func (f *fleet) start(n *node, upAt time.Duration) {
	const never = time.Hour
	n.Budgets = budgeter.NewBudgets(budgeter.Config{Ratio: ratio, Window: window})
	n.upAt, n.leavesAt, n.endsAt = upAt, never, never
}

// deal distributes the slack among the nodes that are in the group.
func (f *fleet) deal() {
	var members []*node
	for _, n := range f.nodes {
		if f.now >= n.upAt && f.now < n.leavesAt {
			members = append(members, n)
		}
	}
	for _, n := range members {
		n.SetShare(f.at(f.now), dealtSlack/len(members))
	}
}

// play lets requests arrive for a while.
func (f *fleet) play(until time.Duration) {
	for ; f.now < until; f.now += step {
		var serving []*node
		for _, n := range f.nodes {
			if f.now >= n.endsAt {
				f.start(n, f.now+time.Second)
			}
			if f.now >= n.leavesAt {
				// A node that has left the group goes on serving for a while.
				n.Leave(f.at(f.now))
			}
			if f.now >= n.upAt {
				serving = append(serving, n)
			}
		}
		f.deal()
		for range f.count(len(serving)) {
			f.serve(serving[f.rnd.IntN(len(serving))])
		}
	}
}

// count returns the number of requests in one step.
func (f *fleet) count(serving int) int {
	expected := f.perSecond * step.Seconds()
	if serving == 0 {
		return 0
	}
	n := int(expected)
	if f.rnd.Float64() < expected-float64(n) {
		n++
	}
	return n
}

// serve serves one request, which may want up to three retries.
func (f *fleet) serve(n *node) {
	f.requests = append(f.requests, f.now)
	n.CountRequest(f.at(f.now), service)
	for range 3 {
		if f.rnd.Float64() >= f.failing {
			return
		}
		if !n.Allows(f.at(f.now), service) {
			f.denied++
			return
		}
		n.CountRetry(f.at(f.now), service)
		f.retries = append(f.retries, f.now)
	}
}

func between(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// excess returns by how much the retries of the worst window exceed what the users allow: a share of the requests of that
// window, of the one before it or of the one half a window before it, and the slack.
func (f *fleet) excess() (from time.Duration, excess float64) {
	excess = -slack
	for i := range f.now / (100 * time.Millisecond) {
		begin := i * 100 * time.Millisecond
		requests := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			requests = max(requests, between(f.requests, begin-back, begin-back+window))
		}
		if over := float64(between(f.retries, begin, begin+window)) - ratio*float64(requests) - slack; over > excess {
			from, excess = begin, over
		}
	}
	return from, excess
}

func newFleet(nodes int, seed uint64, perSecond float64) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond}
	for range nodes {
		f.nodes = append(f.nodes, &node{})
		f.start(f.nodes[len(f.nodes)-1], 0)
	}
	return f
}

// TestRestartedNodesRetryNotTwice guards against retries of all nodes together beyond the budget, because each node that
// restarts in turn forgets what it has spent, and because it spends its share of the slack after it has left the group.
func TestRestartedNodesRetryNotTwice(t *testing.T) {
	c := qt.New(t)
	f := newFleet(8, 1, 113)
	for i, n := range f.nodes {
		n.leavesAt = 19*time.Second + time.Duration(i)*time.Second
		n.endsAt = n.leavesAt + 6*time.Second
	}
	f.play(25 * time.Second)
	f.failing = 0.9
	f.play(45 * time.Second)
	_, excess := f.excess()
	c.Assert(excess <= 0, qt.IsTrue, qt.Commentf("%.0f retries beyond the budget", excess))
	c.Assert(between(f.retries, 25*time.Second, 35*time.Second) > 200, qt.IsTrue)
}

// TestRequestsOfWindowEarnRetriesOnce guards against retries that are earned by the requests of more than one window.
func TestRequestsOfWindowEarnRetriesOnce(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 1, 1000)
	f.play(30*time.Second + 950*time.Millisecond)
	f.failing = 0.9
	f.play(32 * time.Second)
	_, excess := f.excess()
	c.Assert(excess <= 0, qt.IsTrue, qt.Commentf("%.0f retries beyond the budget", excess))
}

// TestRetriesOfAllNodesStayWithinBudget guards against retries of all nodes together beyond the budget, while nodes are
// killed and restart in turn, their requests move to others, and requests fail for some of the time.
func TestRetriesOfAllNodesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(5, 400).Draw(t, "per_second"))
		f.play(20 * time.Second)
		for f.now < 60*time.Second {
			f.failing = rapid.SampledFrom([]float64{0, 0.1, 0.9}).Draw(t, "failing")
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"none", "kill", "stop"}).Draw(t, "end") {
			case "kill":
				n.endsAt = f.now
			case "stop":
				n.leavesAt = f.now
				n.endsAt = f.now + time.Duration(rapid.IntRange(1, 8).Draw(t, "stop_s"))*time.Second
			}
			f.play(f.now + time.Duration(rapid.IntRange(200, 6000).Draw(t, "next_ms"))*time.Millisecond)
		}
		if from, excess := f.excess(); excess > 0 {
			t.Fatalf("%.0f retries beyond the budget in the window from %v on", excess, from)
		}
	})
}
