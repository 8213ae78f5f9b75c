package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/platform/answerfaker"
	"fuchsiabridge.example/platform/translator"
)

const (
	id          = "r1"
	deadline    = 2 * time.Second
	idleTimeout = 300 * time.Millisecond
)

// caller is a fake caller that records what is forwarded to it.
type caller struct {
	header     fasthttp.RequestHeader
	status     int
	body       string
	isBegun    bool
	isEnded    bool
	isComplete bool
	received   string
}

func (c *caller) Header() *fasthttp.RequestHeader { return &c.header }
func (c *caller) Body() []byte                    { return nil }

func (c *caller) Answer(h *fasthttp.ResponseHeader, body []byte) error {
	c.status, c.body, c.isComplete = h.StatusCode(), string(body), true
	return nil
}

func (c *caller) Begin(h *fasthttp.ResponseHeader) error {
	c.status, c.isBegun = h.StatusCode(), true
	return nil
}

func (c *caller) Events(complete []byte) error {
	c.received += string(complete)
	return nil
}

func (c *caller) Finish() error {
	c.isEnded = true
	return nil
}

// serve answers the requests of all connections with the given raw answers, in order. An answer that ends
// in "|" is followed by closing the connection, one that ends in "~" by no further bytes.
func serve(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answer(conn, next)
		}
	}()
	return l.Addr().String()
}

func answer(conn net.Conn, next <-chan string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		raw := <-next
		_, _ = conn.Write([]byte(strings.TrimRight(raw, "|~")))
		if strings.HasSuffix(raw, "|") {
			return
		}
	}
}

// serveLater answers one connection with raw bytes, and then with the bytes sent to the channel.
func serveLater(t *testing.T, first string) (string, chan<- string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	later := make(chan string, 1)
	t.Cleanup(func() {
		_ = l.Close()
		close(later)
	})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(first))
		for more := range later {
			_, _ = conn.Write([]byte(more))
		}
	}()
	return l.Addr().String(), later
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n) }

// fixture is one exchange with its dependencies.
type fixture struct {
	*qt.C
	caller      *caller
	exchange    *forwarder.Exchange
	idleTimeout time.Duration
	answers     []forwarder.AnswerHead
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, forwarder.NewLimiter(answerlimiter.NewDefault()))
}

func newFixtureWith(t *testing.T, answers *answerlimiter.Limiter) *fixture {
	t.Helper()
	c := &caller{}
	return newFixtureFor(t, c, c, answers)
}

// newFixtureFor returns an exchange for a caller that records what it gets in r.
func newFixtureFor(t *testing.T, c forwarder.Caller, r *caller, answers *answerlimiter.Limiter) *fixture {
	t.Helper()
	f := &fixture{C: qt.New(t), caller: r, idleTimeout: idleTimeout}
	f.caller.header.SetMethod(http.MethodGet)
	f.caller.header.SetRequestURI("/x")
	f.caller.header.SetHost("h")
	answerfaker.Mark(&f.caller.header, id)
	onAnswer := func(a forwarder.AnswerHead) { f.answers = append(f.answers, a) }
	f.exchange = forwarder.NewExchange(c, translator.Request{ID: id}, forwarder.Pools{Targets: connector.NewConnector(), Nodes: connector.NewConnector()}, forwarder.NewIdleTracker(), answers, onAnswer)
	t.Cleanup(f.exchange.Drop)
	return f
}

func (f *fixture) attempt(ctx context.Context, address string, isStream bool) dispatcher.AttemptReported {
	now := bootclock.Now()
	return f.exchange.Attempt(ctx, dispatcher.Send{
		Target: "i-1", Address: address, IsStream: isStream, Deadline: now.Add(deadline), IdleDeadline: now.Add(f.idleTimeout),
	})
}

// TestCompleteAnswers checks that only sealed, complete answers are delivered.
func TestCompleteAnswers(t *testing.T) {
	for name, row := range map[string]struct {
		raw  string
		want dispatcher.Outcome
	}{
		"whole":             {answerfaker.Plain(id, 200, "body"), dispatcher.Delivered},
		"client error":      {answerfaker.Plain(id, 404, "none"), dispatcher.Delivered},
		"failure":           {answerfaker.Plain(id, 500, "oops"), dispatcher.Failed},
		"other id":          {answerfaker.Plain("r0", 200, "body"), dispatcher.Broken},
		"cut off":           {strings.TrimSuffix(answerfaker.Plain(id, 200, "body"), "dy") + "|", dispatcher.Broken},
		"no answer":         {"nonsense\r\n\r\n|", dispatcher.Broken},
		"no seal":           {answerfaker.Unsealed(id, "x"), dispatcher.Broken},
		"not run":           {answerfaker.NotRun(), dispatcher.NotRun},
		"not run, by id":    {answerfaker.NotRunFor(id), dispatcher.NotRun},
		"refusal, other id": {answerfaker.NotRunFor("r0"), dispatcher.Broken},
		"other instance":    {answerfaker.OtherInstance(), dispatcher.NotRun},
		"ended by close":    {answerfaker.Unframed(id, "body") + "|", dispatcher.Delivered},
		"silence":           {"~", dispatcher.Stalled},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			got := f.attempt(context.Background(), serve(t, row.raw), false)
			f.Assert(got.Outcome, qt.Equals, row.want, qt.Commentf("%s", got.Reason))
			f.Assert(f.caller.isComplete, qt.Equals, row.want == dispatcher.Delivered)
		})
	}
}

// TestFieldsOfAnswersAreReadInAnySpelling guards against an answer whose id, seal, refusal, framing or request limit is not found as
// the target writes the names of fields otherwise.
func TestFieldsOfAnswersAreReadInAnySpelling(t *testing.T) {
	for _, spelling := range []func(string) string{strings.ToLower, strings.ToUpper} {
		for raw, want := range map[string]dispatcher.Outcome{
			answerfaker.WithLimit(answerfaker.Plain(id, 200, "body"), "3"):             dispatcher.Delivered,
			answerfaker.WithLimit(answerfaker.NotRunFor(id), "3"):                      dispatcher.NotRun,
			answerfaker.WithLimit(answerfaker.Stream(id, event(1)), "3") + "0\r\n\r\n": dispatcher.Delivered,
		} {
			f := newFixture(t)
			got := f.attempt(context.Background(), serve(t, answerfaker.Respell(raw, spelling)), want == dispatcher.Delivered && strings.Contains(raw, "chunked"))
			f.Assert(got.Outcome, qt.Equals, want, qt.Commentf("%s", got.Reason))
			f.Assert(f.answers, qt.HasLen, 1)
			f.Check(f.answers[0].Said.Limit.Rate, qt.Equals, describer.RequestRate(3))
		}
		f := newFixture(t)
		other := answerfaker.Respell(answerfaker.Plain("r0", 200, "body"), spelling)
		f.Check(f.attempt(context.Background(), serve(t, other), false).Outcome, qt.Equals, dispatcher.Broken)
	}
}

// TestRefusedConnectionIsNotSent checks the outcome when the target does not listen.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	address := l.Addr().String()
	f.Assert(l.Close(), qt.IsNil)
	f.Assert(f.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.NotSent)
}

// TestConnectionWithExtraBytesIsNotReused guards against taking bytes that follow an answer for the answer to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	f := newFixture(t)
	address := serve(t, answerfaker.Plain(id, 200, "first")+answerfaker.Plain("r0", 200, "late"), answerfaker.Plain(id, 200, "second"))
	f.Assert(f.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.Delivered)
	f.Assert(f.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.Delivered)
	f.Assert(f.caller.body, qt.Equals, "second")
}

// TestAnswerForTwoRequestsIsNoAnswer guards against an answer that names another request beside that of the caller, whichever comes first.
func TestAnswerForTwoRequestsIsNoAnswer(t *testing.T) {
	own, other := strings.Split(answerfaker.NotRunFor(id), "\r\n")[1]+"\r\n", strings.Split(answerfaker.NotRunFor("r0"), "\r\n")[1]+"\r\n"
	for fields, want := range map[string]dispatcher.Outcome{own: dispatcher.Delivered, own + other: dispatcher.Broken, other + own: dispatcher.Broken} {
		raw := strings.Replace(answerfaker.Plain(id, 200, "body"), own, fields, 1)
		f := newFixture(t)
		f.Check(f.attempt(t.Context(), serve(t, raw), false).Outcome, qt.Equals, want, qt.Commentf("%q", raw))
		f.Check(f.caller.isComplete, qt.Equals, want == dispatcher.Delivered)
	}
}

// TestEarlierRefusalIsNotThatOfNextRequest guards against a caller who is told that its request has not run, or a request that runs at
// a second target, since the target has written an earlier refusal once more on a connection that was kept.
func TestEarlierRefusalIsNotThatOfNextRequest(t *testing.T) {
	for name, row := range map[string]struct {
		refusal     string
		fresh, kept dispatcher.Outcome
	}{
		"without an id":       {answerfaker.NotRun(), dispatcher.NotRun, dispatcher.Broken},
		"other instance":      {answerfaker.OtherInstance(), dispatcher.NotRun, dispatcher.Broken},
		"another request's":   {answerfaker.NotRunFor("r0"), dispatcher.Broken, dispatcher.Broken},
		"the request's own":   {answerfaker.NotRunFor(id), dispatcher.NotRun, dispatcher.NotRun},
		"no refusal, no seal": {"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", dispatcher.Broken, dispatcher.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.Check(f.attempt(context.Background(), serve(t, row.refusal), false).Outcome, qt.Equals, row.fresh)
			address := serve(t, answerfaker.Plain(id, 200, "first"), answerfaker.WithLimit(row.refusal, "1"))
			f.Assert(f.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.Delivered)
			f.answers = nil
			got := f.attempt(context.Background(), address, false)
			f.Assert(got.Outcome, qt.Equals, row.kept, qt.Commentf("%s", got.Reason))
			isKnown := row.kept == dispatcher.NotRun
			f.Check(len(f.answers) > 0, qt.Equals, isKnown, qt.Commentf("what the answer says of its target is taken for new"))
		})
	}
}

// TestStreamContinuesAtAnotherTarget checks that only complete events are forwarded, and that the next attempt continues after the last one.
func TestStreamContinuesAtAnotherTarget(t *testing.T) {
	f := newFixture(t)
	got := f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1), event(2), "id: 3\ndata:")+"|"), true)
	f.Assert(got.Outcome, qt.Equals, dispatcher.Broken)
	f.Assert(got.IsLeft, qt.IsFalse)
	f.Assert(got.Events, qt.Equals, 2)
	f.Assert(f.caller.received, qt.Equals, event(1)+event(2))
	got = f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(3), event(4))+"0\r\n\r\n"), true)
	f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered)
	f.Assert(f.caller.received, qt.Equals, event(1)+event(2)+event(3)+event(4))
	f.Assert(f.caller.isEnded, qt.IsTrue)
}

// TestStreamWithoutLengthIsCompleteOnlyAfterEvent guards against a stream without a length that ends with its connection inside an
// event, or before the first one, and is taken for complete; it goes on at another target.
func TestStreamWithoutLengthIsCompleteOnlyAfterEvent(t *testing.T) {
	whole := event(1) + event(2)
	for name, row := range map[string]struct {
		sent, forwarded string
		want            dispatcher.Outcome
	}{
		"after an event":            {whole, whole, dispatcher.Delivered},
		"before the first event":    {"", "", dispatcher.Broken},
		"in the first event":        {event(1)[:len(event(1))-1], "", dispatcher.Broken},
		"in the name of a field":    {whole + "i", whole, dispatcher.Broken},
		"between fields":            {whole + "id: 3\n", whole, dispatcher.Broken},
		"before the empty line":     {whole + "id: 3\ndata: t3\n", whole, dispatcher.Broken},
		"in an event after another": {event(1) + event(2)[:3], event(1), dispatcher.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			got := f.attempt(context.Background(), serve(t, answerfaker.Unframed(id, row.sent)+"|"), true)
			f.Assert(got.Outcome, qt.Equals, row.want, qt.Commentf("%s", got.Reason))
			f.Assert(f.caller.received, qt.Equals, row.forwarded)
			f.Assert(f.caller.isEnded, qt.Equals, row.want == dispatcher.Delivered)
			f.Assert(got.IsLeft, qt.IsFalse)
			if row.want == dispatcher.Delivered {
				return
			}
			rest := strings.TrimPrefix(whole+event(3), row.forwarded)
			got = f.attempt(context.Background(), serve(t, answerfaker.Unframed(id, rest)+"|"), true)
			f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
			f.Assert(f.caller.received, qt.Equals, whole+event(3))
			f.Assert(f.caller.isEnded, qt.IsTrue)
		})
	}
}

// TestConnectionThatTargetEndsIsNotLeft guards against a crash that counts as that of a target which goes on, and is not checked at
// once, wherever in its answer the target ends.
func TestConnectionThatTargetEndsIsNotLeft(t *testing.T) {
	whole := answerfaker.Plain(id, 200, "body")
	for name, row := range map[string]struct {
		raw      string
		isStream bool
	}{
		"before the first byte": {raw: "|"},
		"in the status line":    {raw: whole[:9] + "|"},
		"in the head":           {raw: whole[:30] + "|"},
		"in the body":           {raw: strings.TrimSuffix(whole, "dy") + "|"},
		"in a chunk":            {raw: answerfaker.Stream(id) + "7\r\nid|", isStream: true},
		"between chunks":        {raw: answerfaker.Stream(id, event(1)) + "|", isStream: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			got := f.attempt(context.Background(), serve(t, row.raw), row.isStream)
			f.Assert(got.Outcome, qt.Equals, dispatcher.Broken, qt.Commentf("%s", got.Reason))
			f.Assert(got.IsLeft, qt.IsFalse, qt.Commentf("%s", got.Reason))
		})
	}
}

// TestOutOfOrderEventIsNotForwarded checks that an attempt fails if it continues with any event but the next one.
func TestOutOfOrderEventIsNotForwarded(t *testing.T) {
	for _, next := range []int{2, 4} {
		f := newFixture(t)
		f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1), event(2))+"|"), true)
		got := f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(next))+"0\r\n\r\n"), true)
		f.Assert(got.Outcome, qt.Equals, dispatcher.Broken)
		f.Assert(got.IsLeft, qt.IsTrue)
		f.Assert(f.caller.received, qt.Equals, event(1)+event(2))
	}
}

// TestErrorInBegunStreamIsNotForwarded guards against a caller that finds the error of the next target, or its whole head, in the middle
// of a stream that has begun and broke off, or takes that stream for complete. The stream goes on at a third target.
func TestErrorInBegunStreamIsNotForwarded(t *testing.T) {
	const text = "error: no capacity\n\n"
	head := answerfaker.Plain(id, 500, text)
	inJSON := strings.Replace(answerfaker.Plain(id, 200, event(3)), "X-Response", "Content-Type: application/json\r\nX-Response", 1)
	for name, row := range map[string]struct{ raw, forwarded string }{
		"failure":                       {raw: answerfaker.Plain(id, 500, text)},
		"failure without a length":      {raw: strings.Replace(answerfaker.Unframed(id, text), "200", "500", 1) + "|"},
		"refusal":                       {raw: answerfaker.NotRunFor(id)},
		"client error":                  {raw: answerfaker.Plain(id, 404, event(3))},
		"success with a text":           {raw: answerfaker.Plain(id, 200, text)},
		"success in another format":     {raw: inJSON},
		"success without content":       {raw: answerfaker.SealedHead(id, 204) + "\r\n"},
		"another success":               {raw: answerfaker.Plain(id, 206, event(3))},
		"success without a seal":        {raw: answerfaker.Unsealed(id, event(3))},
		"text in the first event":       {raw: answerfaker.Stream(id, text, event(3)) + "0\r\n\r\n"},
		"text after an event":           {raw: answerfaker.Stream(id, event(3)+text+event(4)) + "0\r\n\r\n", forwarded: event(3)},
		"text after an event, later":    {raw: answerfaker.Stream(id, event(3), text) + "0\r\n\r\n", forwarded: event(3)},
		"head in the stream":            {raw: answerfaker.Stream(id, strings.ReplaceAll(head, "\r", "")) + "0\r\n\r\n"},
		"head in the stream, as it is":  {raw: answerfaker.Stream(id, head) + "0\r\n\r\n"},
		"head between events, as it is": {raw: answerfaker.Stream(id, event(3), head) + "0\r\n\r\n", forwarded: event(3)},
		"head instead of a chunk":       {raw: answerfaker.Stream(id, event(3)) + head, forwarded: event(3)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.Assert(f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1), event(2))+"|"), true).Outcome, qt.Equals, dispatcher.Broken)
			got := f.attempt(context.Background(), serve(t, row.raw), true)
			f.Check(got.Outcome, qt.Not(qt.Equals), dispatcher.Delivered)
			f.Check(f.caller.received, qt.Equals, event(1)+event(2)+row.forwarded)
			f.Check(f.caller.isComplete || f.caller.isEnded, qt.IsFalse)

			rest := strings.TrimPrefix(event(3)+event(4), row.forwarded)
			got = f.attempt(context.Background(), serve(t, answerfaker.Stream(id, rest)+"0\r\n\r\n"), true)
			f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
			f.Check(f.caller.received, qt.Equals, event(1)+event(2)+event(3)+event(4))
			f.Check(f.caller.isEnded, qt.IsTrue)
		})
	}
}

// TestCommentKeepsStreamOpen checks that comments between events are forwarded and need no id.
func TestCommentKeepsStreamOpen(t *testing.T) {
	f := newFixture(t)
	whole := event(1) + ": still there\n\n" + event(2)
	got := f.attempt(context.Background(), serve(t, answerfaker.Stream(id, whole)+"0\r\n\r\n"), true)
	f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
	f.Assert(f.caller.received, qt.Equals, whole)
}

// TestStalledStreamCanBeAwaited checks that a stall is reported and that the attempt can be awaited again.
func TestStalledStreamCanBeAwaited(t *testing.T) {
	f := newFixture(t)
	got := f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1))+"~"), true)
	f.Assert(got.Outcome, qt.Equals, dispatcher.Stalled)
	f.Assert(got.Events, qt.Equals, 1)
	got = f.exchange.Await(context.Background(), bootclock.Now().Add(idleTimeout))
	f.Assert(got.Outcome, qt.Equals, dispatcher.Stalled)
	f.Assert(f.caller.isEnded, qt.IsFalse)
}

// TestStalledAttemptIsResumed keeps an attempt that stalled inside an event while another target refuses the
// request, and forwards the rest of the stalled attempt after it is resumed.
func TestStalledAttemptIsResumed(t *testing.T) {
	f := newFixture(t)
	address, later := serveLater(t, answerfaker.Stream(id, event(1), "id: 2\nda"))
	got := f.attempt(context.Background(), address, true)
	f.Assert(got.Outcome, qt.Equals, dispatcher.Stalled)
	now := bootclock.Now()
	got = f.exchange.Attempt(context.Background(), dispatcher.Send{
		Target: "i-2", Address: serve(t, answerfaker.NotRunFor(id)), IsStream: true, KeepsStalled: true,
		Deadline: now.Add(deadline), IdleDeadline: now.Add(idleTimeout),
	})
	f.Assert(got.Outcome, qt.Equals, dispatcher.NotRun)
	later <- answerfaker.Chunk("ta: t2\n\n") + answerfaker.Chunk(event(3)) + "0\r\n\r\n"
	got = f.exchange.Resume(context.Background(), bootclock.Now().Add(idleTimeout))
	f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
	f.Assert(f.caller.received, qt.Equals, event(1)+event(2)+event(3))
}

// TestStalledAttemptThatGoesOnIsReported guards against a stream that waits for its second attempt while the first one has an event for
// it, and against one that leaves its second attempt for a first one that has only ended.
func TestStalledAttemptThatGoesOnIsReported(t *testing.T) {
	for more, goesOn := range map[string]bool{answerfaker.Chunk(event(2)) + "0\r\n\r\n": true, "0\r\n\r\n": false, "HTTP/1.1 503 x\r\n\r\n": false} {
		f := newFixture(t)
		address, later := serveLater(t, answerfaker.Stream(id, event(1)))
		f.Assert(f.attempt(context.Background(), address, true).Outcome, qt.Equals, dispatcher.Stalled)
		now := bootclock.Now()
		silent, _ := serveLater(t, "")
		got := f.exchange.Attempt(context.Background(), dispatcher.Send{
			Target: "i-2", Address: silent, IsStream: true, KeepsStalled: true, Deadline: now.Add(deadline), IdleDeadline: now.Add(idleTimeout),
		})
		f.Assert(got.Outcome, qt.Equals, dispatcher.Stalled)
		f.Assert(got.IsStalledReadable, qt.IsFalse)
		later <- more
		got = f.exchange.Await(context.Background(), bootclock.Now().Add(idleTimeout))
		f.Assert(got.IsStalledReadable, qt.Equals, goesOn, qt.Commentf("%q", more))
		if goesOn {
			got = f.exchange.Resume(context.Background(), bootclock.Now().Add(idleTimeout))
			f.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
			f.Assert(f.caller.received, qt.Equals, event(1)+event(2))
		}
	}
}

// TestLongestGapOfTargetIsReported guards against streams that leave a target which is only slow: its longest gap is known to all streams
// of the node, but not one in which a stream has changed its target.
func TestLongestGapOfTargetIsReported(t *testing.T) {
	const gap = 60 * time.Millisecond
	f := newFixture(t)
	f.idleTimeout = 3 * gap
	address, later := serveLater(t, answerfaker.Stream(id, event(1)))
	time.AfterFunc(gap, func() { later <- answerfaker.Chunk(event(2)) })
	got := f.attempt(context.Background(), address, true)
	f.Assert(got.Events, qt.Equals, 2)
	f.Assert(got.ChainLongestGap >= gap/2 && got.ChainLongestGap < 3*gap, qt.IsTrue, qt.Commentf("%v", got.ChainLongestGap))
	got = f.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(3))+"~"), true)
	f.Assert(got.Events, qt.Equals, 3)
	f.Assert(got.ChainLongestGap, qt.Equals, time.Duration(0))
}

// TestStalledAttemptIsDroppedOnNextAttemptsFirstEvent checks that the stalled attempt's connection is closed with
// the first event of the next attempt, and not before.
func TestStalledAttemptIsDroppedOnNextAttemptsFirstEvent(t *testing.T) {
	f := newFixture(t)
	address, later := serveLater(t, answerfaker.Stream(id, event(1)))
	f.Assert(f.attempt(context.Background(), address, true).Outcome, qt.Equals, dispatcher.Stalled)
	now := bootclock.Now()
	got := f.exchange.Attempt(context.Background(), dispatcher.Send{
		Target: "i-2", Address: serve(t, answerfaker.Stream(id, event(2))+"~"), IsStream: true, KeepsStalled: true,
		Deadline: now.Add(deadline), IdleDeadline: now.Add(idleTimeout),
	})
	f.Assert(got.Outcome, qt.Equals, dispatcher.Stalled)
	f.Assert(got.Events, qt.Equals, 2)
	later <- answerfaker.Chunk(event(2)) + "0\r\n\r\n"
	got = f.exchange.Resume(context.Background(), bootclock.Now().Add(idleTimeout))
	f.Assert(got.Outcome, qt.Equals, dispatcher.Stalled)
	f.Assert(f.caller.received, qt.Equals, event(1)+event(2))
}

// TestAttemptEndsWhenCallerDisconnects checks that an attempt ends as soon as its caller has disconnected.
func TestAttemptEndsWhenCallerDisconnects(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(idleTimeout/3, cancel)
	f.Assert(f.attempt(ctx, serve(t, "~"), false).Outcome, qt.Equals, dispatcher.CallerGone)
}

// TestLimitIsReportedWithHead guards against a request limit that is noticed only when a stream ends, or not at all
// because a refusal names it.
func TestLimitIsReportedWithHead(t *testing.T) {
	limit := describer.NamedLimit{Kind: describer.Limited, Rate: 5.5}
	for name, row := range map[string]struct {
		raw  string
		want []limiter.AnswerKind
	}{
		"stream in progress": {answerfaker.Stream(id, event(1)) + "~", []limiter.AnswerKind{limiter.RequestAnswer}},
		"plain answer":       {answerfaker.Plain(id, 200, "body"), []limiter.AnswerKind{limiter.RequestAnswer}},
		"failure":            {answerfaker.Plain(id, 500, "oops"), []limiter.AnswerKind{limiter.RequestAnswer}},
		"refusal":            {answerfaker.NotRun(), []limiter.AnswerKind{limiter.RefusalAnswer}},
		"another request's":  {answerfaker.Plain("r0", 200, "body"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			address := serve(t, answerfaker.WithLimit(row.raw, "5.5"))
			f.attempt(context.Background(), address, name == "stream in progress")
			f.Assert(f.answers, qt.HasLen, len(row.want))
			for i, kind := range row.want {
				f.Check(f.answers[i].Kind, qt.Equals, kind)
				f.Check(f.answers[i].Said.Limit, qt.Equals, limit)
				f.Check(f.answers[i].Target, qt.Equals, identifier.TargetID("i-1"))
			}
		})
	}
}
