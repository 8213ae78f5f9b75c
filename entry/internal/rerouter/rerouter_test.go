package rerouter_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/delegator"
	"fuchsiabridge.example/entry/internal/rerouter"
)

// network opens connections, unless it is cut.
type network struct{ isCut atomic.Bool }

func (n *network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.isCut.Load() {
		return nil, errors.New("the network is cut")
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// target counts the calls that it gets.
type target struct {
	*httptest.Server
	calls atomic.Int64
	// work is how long each call takes.
	work time.Duration
}

func newTarget(t *testing.T) *target {
	s := &target{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.calls.Add(1)
		time.Sleep(s.work)
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(s.Close)
	return s
}

// node is one node and its network.
type node struct {
	*rerouter.Caller
	network network
	// others are the nodes that it may turn to, by their addresses. isLosingAnswers says that their answers are lost.
	others          map[string]*node
	isLosingAnswers bool
	asked           []string
	knowsTargets    bool
}

func newNode(t *testing.T, others map[string]*node) *node {
	n := &node{others: others, knowsTargets: true}
	n.Caller = rerouter.NewCaller(t.Context(), rerouter.Config{
		Targets: &n.network, Answers: answerlimiter.NewDefault(), Peers: n, Delegates: n, Serves: func(string) bool { return n.knowsTargets },
	})
	return n
}

func (n *node) Find(_ context.Context, _ identifier.ServiceID, tried []identifier.NodeID) (delegator.Delegate, bool) {
	for _, address := range []string{"node-1", "node-2"} {
		if _, ok := n.others[address]; ok && (len(tried) == 0 || string(tried[0]) != address) {
			return delegator.Delegate{Node: identifier.NodeID(address), Peer: address}, true
		}
	}
	return delegator.Delegate{}, false
}

func (n *node) Drop(identifier.ServiceID, identifier.NodeID) {}

func (n *node) Call(ctx context.Context, address, _ string, params, result any) error {
	n.asked = append(n.asked, address)
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := n.others[address].ServeCall(ctx, raw)
	if err != nil {
		return err
	}
	if n.isLosingAnswers {
		return errors.New("the connection has closed")
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (n *node) post(url string, timeout time.Duration) (httpcaller.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.Do(ctx, httpcaller.Request{Method: "POST", URL: url + "/x", Body: []byte("x"), NewConn: true})
}

// TestCallGoesByAnotherNodeWhileItsTargetIsNotReached guards against calls that fail because of the path of one node.
func TestCallGoesByAnotherNodeWhileItsTargetIsNotReached(t *testing.T) {
	c := qt.New(t)
	s := newTarget(t)
	helper := newNode(t, nil)
	n := newNode(t, map[string]*node{"node-1": helper})
	n.network.isCut.Store(true)
	response, err := n.post(s.URL, time.Second)
	c.Assert(err, qt.IsNil)
	c.Check(string(response.Body), qt.Equals, "done")
	c.Check(s.calls.Load(), qt.Equals, int64(1))
	n.network.isCut.Store(false)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		before := len(n.asked)
		_, err = n.post(s.URL, time.Second)
		c.Assert(err, qt.IsNil)
		if len(n.asked) == before {
			return
		}
	}
	c.Fatal("the target is not called directly again")
}

// TestCallThatMayHaveArrivedIsNotRepeated guards against a payment that runs twice since the answer of the other node was lost.
func TestCallThatMayHaveArrivedIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	s := newTarget(t)
	n := newNode(t, map[string]*node{"node-1": newNode(t, nil), "node-2": newNode(t, nil)})
	n.network.isCut.Store(true)
	n.isLosingAnswers = true
	_, err := n.post(s.URL, time.Second)
	c.Assert(err, qt.IsNotNil)
	c.Check(errors.Is(err, httpcaller.ErrNotSent), qt.IsFalse)
	c.Check(s.calls.Load(), qt.Equals, int64(1))
}

// TestCallGoesByASecondNodeIfItWasNotSent guards against a call that fails because the first other node has lost its path too, or has no
// room, and against calls that are passed on in a circle.
func TestCallGoesByASecondNodeIfItWasNotSent(t *testing.T) {
	c := qt.New(t)
	s := newTarget(t)
	first, second := newNode(t, nil), newNode(t, nil)
	first.network.isCut.Store(true)
	n := newNode(t, map[string]*node{"node-1": first, "node-2": second})
	first.others = map[string]*node{"node-1": n}
	n.network.isCut.Store(true)
	_, err := n.post(s.URL, time.Second)
	c.Assert(err, qt.IsNil)
	c.Check(n.asked, qt.DeepEquals, []string{"node-1", "node-2"})
	c.Check(first.asked, qt.HasLen, 0)
	second.knowsTargets = false
	_, err = n.post(s.URL, time.Second)
	c.Check(errors.Is(err, httpcaller.ErrNotSent), qt.IsTrue)
	c.Check(s.calls.Load(), qt.Equals, int64(1))
}

// TestLostPathIsNotPutDownToTargets guards against targets, and requests that run there, that are blamed for the path of a node that reaches
// none; and against a few failed targets that pass for a lost path.
func TestLostPathIsNotPutDownToTargets(t *testing.T) {
	c := qt.New(t)
	s := newTarget(t)
	n := newNode(t, nil)
	unreached := []string{"http://127.0.0.1:1", "http://127.0.0.1:2", "http://127.0.0.1:3"}
	for i, url := range append(unreached[:2:2], s.URL, unreached[2]) {
		_, err := n.post(url, time.Second)
		c.Check(errors.Is(err, rerouter.ErrPathLost), qt.IsFalse, qt.Commentf("call %d: %v", i, err))
	}
	n.network.isCut.Store(true)
	_, err := n.post(s.URL, time.Second)
	c.Check(errors.Is(err, rerouter.ErrPathLost), qt.IsFalse)
	_, err = n.post("http://127.0.0.1:4", time.Second)
	c.Check(errors.Is(err, rerouter.ErrPathLost), qt.IsTrue)
	c.Check(errors.Is(err, httpcaller.ErrNotSent), qt.IsTrue)
}

// TestOtherNodeKeepsTheDeadline guards against targets that are given more time than the caller has, and against an answer of the other node
// that comes after its caller has given up.
func TestOtherNodeKeepsTheDeadline(t *testing.T) {
	c := qt.New(t)
	s := newTarget(t)
	s.work = time.Second
	n := newNode(t, map[string]*node{"node-1": newNode(t, nil)})
	n.network.isCut.Store(true)
	began := time.Now()
	_, err := n.post(s.URL, 200*time.Millisecond)
	c.Check(errors.Is(err, fasthttp.ErrTimeout), qt.IsTrue)
	c.Check(errors.Is(err, httpcaller.ErrNotSent), qt.IsFalse)
	c.Check(time.Since(began) < s.work, qt.IsTrue)
}

// TestOtherNodeHoldsFewCalls guards against a node that is overloaded by the calls of others.
func TestOtherNodeHoldsFewCalls(t *testing.T) {
	c := qt.New(t)
	s := newTarget(t)
	helper := newNode(t, nil)
	const calls = 100
	raw, err := json.Marshal(map[string]any{"method": "POST", "url": s.URL + "/x", "timeout_ms": 2000})
	c.Assert(err, qt.IsNil)
	s.work = 500 * time.Millisecond
	answers := make(chan string, calls)
	for range calls {
		go func() {
			answer, _ := helper.ServeCall(context.Background(), raw)
			text, _ := json.Marshal(answer)
			answers <- string(text)
		}()
	}
	refused := 0
	for range calls {
		if strings.Contains(<-answers, delegator.ErrFull.Error()) {
			refused++
		}
	}
	c.Check(refused > 0, qt.IsTrue)
	c.Check(s.calls.Load(), qt.Equals, int64(calls-refused))
	c.Check(helper.Open(), qt.Equals, 0)
}
