package delegator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/platform/storecaller"
)

// fleet fakes the other nodes: what each of them answers.
type fleet struct {
	mu      sync.Mutex
	answers map[string]func() (delegator.Offer, error)
	asked   map[string]int
	isAway  bool
}

func newFleet(nodes int) *fleet {
	f := &fleet{answers: map[string]func() (delegator.Offer, error){}, asked: map[string]int{}}
	for i := range nodes {
		f.answers[address(i)] = func() (delegator.Offer, error) { return delegator.Offer{Address: "take:" + address(i)}, nil }
	}
	return f
}

func address(i int) string         { return fmt.Sprint("node:", i) }
func node(i int) identifier.NodeID { return identifier.NodeID(fmt.Sprint("node-", i)) }
func self() storecaller.Member     { return member(0) }
func member(i int) storecaller.Member {
	return storecaller.Member{Node: node(i), DataCentre: "a", Address: address(i)}
}

func (f *fleet) Call(_ context.Context, address, _ string, _, result any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[address]++
	offer, err := f.answers[address]()
	if err == nil {
		*result.(*delegator.Offer) = offer
	}
	return err
}

func (f *fleet) Members(context.Context) ([]storecaller.Member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAway {
		return nil, errors.New("the store is away")
	}
	var out []storecaller.Member
	for i := range len(f.answers) {
		out = append(out, member(i))
	}
	return out, nil
}

func (f *fleet) refuse(nodes ...int) {
	for _, i := range nodes {
		f.answers[address(i)] = func() (delegator.Offer, error) { return delegator.Offer{}, nil }
	}
}

// TestDelegateIsFoundAmongNodesThatAreCutOffToo guards against a search that gives up when the first nodes that it asks are cut off too.
func TestDelegateIsFoundAmongNodesThatAreCutOffToo(t *testing.T) {
	c := qt.New(t)
	f := newFleet(20)
	for i := range 19 {
		f.refuse(i)
	}
	x := delegator.NewFinder(t.Context(), self(), f, f)
	d, ok := x.Find(t.Context(), "draft", nil)
	c.Assert(ok, qt.IsTrue)
	c.Check(d.Node, qt.Equals, node(19))
	c.Check(d.Address, qt.Equals, "take:"+address(19))
	_, ok = x.Find(t.Context(), "draft", []identifier.NodeID{node(19)})
	c.Check(ok, qt.IsFalse)
	c.Check(f.asked[address(0)], qt.Equals, 0, qt.Commentf("it has asked itself"))
}

// TestSearchAsksFewNodes guards against a fleet whose nodes all ask all others while nobody reaches a service.
func TestSearchAsksFewNodes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(470)
	for i := range 470 {
		f.refuse(i)
	}
	x := delegator.NewFinder(t.Context(), self(), f, f)
	_, ok := x.Find(t.Context(), "draft", nil)
	c.Assert(ok, qt.IsFalse)
	asked := 0
	for _, n := range f.asked {
		asked += n
	}
	c.Check(asked > 0 && asked <= 24, qt.IsTrue, qt.Commentf("%d asked", asked))
}

// TestNodesOfEarlierVersionsAreLeftOut guards against requests for nodes that do not know how to take them, and against asking them again
// and again.
func TestNodesOfEarlierVersionsAreLeftOut(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	for i := range 3 {
		f.answers[address(i)] = func() (delegator.Offer, error) {
			return delegator.Offer{}, errors.Mark(errors.New("old"), peercaller.ErrNoMethod)
		}
	}
	x := delegator.NewFinder(t.Context(), self(), f, f)
	for range 20 {
		_, ok := x.Find(t.Context(), "draft", nil)
		c.Assert(ok, qt.IsFalse)
	}
	c.Check(f.asked[address(1)], qt.Equals, 1)
}

// TestRequestsAreSpreadOverDelegates guards against one node that takes all requests of a node that is cut off.
func TestRequestsAreSpreadOverDelegates(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6)
	x := delegator.NewFinder(t.Context(), self(), f, f)
	taken := map[identifier.NodeID]int{}
	for range 40 {
		d, ok := x.Find(t.Context(), "draft", nil)
		c.Assert(ok, qt.IsTrue)
		taken[d.Node]++
	}
	c.Check(len(taken) >= 4, qt.IsTrue)
	for id, n := range taken {
		c.Check(n <= 10, qt.IsTrue, qt.Commentf("%s took %d", id, n))
	}
}

// TestDelegateIsFoundWhileStoreIsAway guards against a node that forgets the others when it loses the store as well.
func TestDelegateIsFoundWhileStoreIsAway(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	x := delegator.NewFinder(t.Context(), self(), f, f)
	d, ok := x.Find(t.Context(), "draft", nil)
	c.Assert(ok, qt.IsTrue)
	f.mu.Lock()
	f.isAway = true
	f.mu.Unlock()
	x.Drop("draft", d.Node)
	other, ok := x.Find(t.Context(), "draft", nil)
	c.Assert(ok, qt.IsTrue)
	c.Check(other.Node, qt.Not(qt.Equals), d.Node)
	_, ok = x.Find(t.Context(), "ledger", nil)
	c.Check(ok, qt.IsTrue)
}

// TestGateBoundsWhatIsTakenAtOnce guards against a node whose memory the requests of other nodes use up.
func TestGateBoundsWhatIsTakenAtOnce(t *testing.T) {
	c := qt.New(t)
	var g delegator.Gate
	_, ok := g.Enter(64 << 20)
	c.Check(ok, qt.IsFalse)
	leave, ok := g.Enter(16 << 20)
	c.Assert(ok, qt.IsTrue)
	_, ok = g.Enter(1)
	c.Check(ok, qt.IsFalse)
	leave()
	n := 0
	for ; n < 10_000; n++ {
		if _, ok := g.Enter(1); !ok {
			break
		}
	}
	open, hasRoom := g.Open()
	c.Check(open, qt.Equals, n)
	c.Check(n <= 256, qt.IsTrue)
	c.Check(hasRoom, qt.IsFalse)
}

// TestTermsAndResultsAreTakenOutOfHeaders guards against fields between nodes that reach a target or a caller.
func TestTermsAndResultsAreTakenOutOfHeaders(t *testing.T) {
	c := qt.New(t)
	var request fasthttp.RequestHeader
	terms := delegator.Terms{Version: 7, MaxRuns: 2, IsCounted: true, HasArrived: true}
	c.Assert(delegator.WriteTerms(&request, terms), qt.IsNil)
	got, err := delegator.ReadTerms(&request)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, terms)
	c.Check(request.Peek(delegator.Field), qt.HasLen, 0)
	_, err = delegator.ReadTerms(&request)
	c.Check(err, qt.IsNotNil)

	var answer fasthttp.ResponseHeader
	result := delegator.Result{Runs: 1, HasArrived: true, Target: "i-1"}
	c.Assert(delegator.WriteResult(&answer, result), qt.IsNil)
	gotResult, err := delegator.ReadResult(&answer)
	c.Assert(err, qt.IsNil)
	c.Check(gotResult, qt.Equals, result)
	c.Check(answer.Peek(delegator.Field), qt.HasLen, 0)
	answer.Set(delegator.Field, "{")
	_, err = delegator.ReadResult(&answer)
	c.Check(err, qt.IsNotNil)
}
