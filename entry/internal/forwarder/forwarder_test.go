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

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/connector"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/forwarder"
	"fuchsiabridge.example/platform/answerfaker"
	"fuchsiabridge.example/platform/translator"
)

const (
	id       = "r1"
	deadline = 2 * time.Second
	patience = 300 * time.Millisecond
)

// caller is a caller's side that keeps what it is handed.
type caller struct {
	header   fasthttp.RequestHeader
	status   int
	body     string
	isBegun  bool
	isEnded  bool
	isWhole  bool
	received string
}

func (c *caller) Header() *fasthttp.RequestHeader { return &c.header }
func (c *caller) Body() []byte                    { return nil }

func (c *caller) Answer(h *fasthttp.ResponseHeader, body []byte) error {
	c.status, c.body, c.isWhole = h.StatusCode(), string(body), true
	return nil
}

func (c *caller) Begin(h *fasthttp.ResponseHeader) error {
	c.status, c.isBegun = h.StatusCode(), true
	return nil
}

func (c *caller) Events(whole []byte) error {
	c.received += string(whole)
	return nil
}

func (c *caller) Finish() error {
	c.isEnded = true
	return nil
}

// serve answers each connection's requests with the given raw answers, in turn; an answer
// that ends in "|" is followed by the end of the connection, one in "~" by silence.
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

// serveLater answers one connection with raw bytes, and with what is sent to it later.
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

// desk is one exchange with what it needs.
type desk struct {
	*qt.C
	caller   *caller
	exchange *forwarder.Exchange
	patience time.Duration
}

func newDesk(t *testing.T) *desk {
	d := &desk{C: qt.New(t), caller: &caller{}, patience: patience}
	d.caller.header.SetMethod(http.MethodGet)
	d.caller.header.SetRequestURI("/x")
	d.caller.header.SetHost("h")
	answerfaker.Mark(&d.caller.header, id)
	d.exchange = forwarder.NewExchange(d.caller, translator.Request{ID: id}, connector.NewConnector(), forwarder.NewWitness())
	t.Cleanup(d.exchange.Drop)
	return d
}

func (d *desk) attempt(ctx context.Context, address string, isStream bool) dispatcher.Reported {
	now := bootclock.Now()
	return d.exchange.Attempt(ctx, dispatcher.Send{
		Target: "i-1", Address: address, IsStream: isStream, Deadline: now.Add(deadline), Patience: now.Add(d.patience),
	})
}

// TestPlainAnswers delivers what is sealed and whole, and nothing else.
func TestPlainAnswers(t *testing.T) {
	for name, row := range map[string]struct {
		raw  string
		want dispatcher.Outcome
	}{
		"whole":              {answerfaker.Plain(id, 200, "body"), dispatcher.Delivered},
		"caller's own fault": {answerfaker.Plain(id, 404, "none"), dispatcher.Delivered},
		"failure":            {answerfaker.Plain(id, 500, "oops"), dispatcher.Failed},
		"another's answer":   {answerfaker.Plain("r0", 200, "body"), dispatcher.Broken},
		"cut off":            {strings.TrimSuffix(answerfaker.Plain(id, 200, "body"), "dy") + "|", dispatcher.Broken},
		"no answer":          {"nonsense\r\n\r\n|", dispatcher.Broken},
		"no seal":            {answerfaker.Unsealed(id, "x"), dispatcher.Broken},
		"not run":            {answerfaker.NotRun(), dispatcher.NotRun},
		"not run, by id":     {answerfaker.NotRunFor(id), dispatcher.NotRun},
		"another's refusal":  {answerfaker.NotRunFor("r0"), dispatcher.Broken},
		"other instance":     {answerfaker.OtherInstance(), dispatcher.NotRun},
		"until the end":      {answerfaker.Unframed(id, "body") + "|", dispatcher.Delivered},
		"silence":            {"~", dispatcher.Silent},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t)
			got := d.attempt(context.Background(), serve(t, row.raw), false)
			d.Assert(got.Outcome, qt.Equals, row.want, qt.Commentf("%s", got.Reason))
			d.Assert(d.caller.isWhole, qt.Equals, row.want == dispatcher.Delivered)
		})
	}
}

// TestNothingListens tells that nothing was sent.
func TestNothingListens(t *testing.T) {
	d := newDesk(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	d.Assert(err, qt.IsNil)
	address := l.Addr().String()
	d.Assert(l.Close(), qt.IsNil)
	d.Assert(d.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.NotSent)
}

// TestBytesAfterAnAnswerBelongToNone does not use a connection again on which more came than the answer.
func TestBytesAfterAnAnswerBelongToNone(t *testing.T) {
	d := newDesk(t)
	address := serve(t, answerfaker.Plain(id, 200, "first")+answerfaker.Plain("r0", 200, "late"), answerfaker.Plain(id, 200, "second"))
	d.Assert(d.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.Delivered)
	d.Assert(d.attempt(context.Background(), address, false).Outcome, qt.Equals, dispatcher.Delivered)
	d.Assert(d.caller.body, qt.Equals, "second")
}

// TestStreamGoesOnElsewhere hands on whole events only, and goes on after the last of them.
func TestStreamGoesOnElsewhere(t *testing.T) {
	d := newDesk(t)
	got := d.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1), event(2), "id: 3\ndata:")+"|"), true)
	d.Assert(got.Outcome, qt.Equals, dispatcher.Broken)
	d.Assert(got.Events, qt.Equals, 2)
	d.Assert(d.caller.received, qt.Equals, event(1)+event(2))
	got = d.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(3), event(4))+"0\r\n\r\n"), true)
	d.Assert(got.Outcome, qt.Equals, dispatcher.Delivered)
	d.Assert(d.caller.received, qt.Equals, event(1)+event(2)+event(3)+event(4))
	d.Assert(d.caller.isEnded, qt.IsTrue)
}

// TestEventOutOfTurnIsNotHandedOn refuses a run that goes on at another event than the next.
func TestEventOutOfTurnIsNotHandedOn(t *testing.T) {
	for _, next := range []int{2, 4} {
		d := newDesk(t)
		d.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1), event(2))+"|"), true)
		got := d.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(next))+"0\r\n\r\n"), true)
		d.Assert(got.Outcome, qt.Equals, dispatcher.Broken)
		d.Assert(d.caller.received, qt.Equals, event(1)+event(2))
	}
}

// TestSilenceInsideAStream reports a pause and goes on when told to.
func TestSilenceInsideAStream(t *testing.T) {
	d := newDesk(t)
	got := d.attempt(context.Background(), serve(t, answerfaker.Stream(id, event(1))+"~"), true)
	d.Assert(got.Outcome, qt.Equals, dispatcher.Silent)
	d.Assert(got.Events, qt.Equals, 1)
	got = d.exchange.Await(context.Background(), bootclock.Now().Add(patience))
	d.Assert(got.Outcome, qt.Equals, dispatcher.Silent)
	d.Assert(d.caller.isEnded, qt.IsFalse)
}

// TestSilentAttemptIsGoneBackTo keeps a silent attempt, inside an event, beside one that is
// refused, and goes on with what comes of it after all.
func TestSilentAttemptIsGoneBackTo(t *testing.T) {
	d := newDesk(t)
	address, later := serveLater(t, answerfaker.Stream(id, event(1), "id: 2\nda"))
	got := d.attempt(context.Background(), address, true)
	d.Assert(got.Outcome, qt.Equals, dispatcher.Silent)
	now := bootclock.Now()
	got = d.exchange.Attempt(context.Background(), dispatcher.Send{
		Target: "i-2", Address: serve(t, answerfaker.NotRunFor(id)), IsStream: true, KeepsSilent: true,
		Deadline: now.Add(deadline), Patience: now.Add(patience),
	})
	d.Assert(got.Outcome, qt.Equals, dispatcher.NotRun)
	later <- answerfaker.Chunk("ta: t2\n\n") + answerfaker.Chunk(event(3)) + "0\r\n\r\n"
	got = d.exchange.GoBack(context.Background(), bootclock.Now().Add(patience))
	d.Assert(got.Outcome, qt.Equals, dispatcher.Delivered, qt.Commentf("%s", got.Reason))
	d.Assert(d.caller.received, qt.Equals, event(1)+event(2)+event(3))
}

// TestSilentAttemptEndsOnceAnotherShowsSomething closes the connection of the kept attempt
// with the first event of the next, not before.
func TestSilentAttemptEndsOnceAnotherShowsSomething(t *testing.T) {
	d := newDesk(t)
	address, later := serveLater(t, answerfaker.Stream(id, event(1)))
	d.Assert(d.attempt(context.Background(), address, true).Outcome, qt.Equals, dispatcher.Silent)
	now := bootclock.Now()
	got := d.exchange.Attempt(context.Background(), dispatcher.Send{
		Target: "i-2", Address: serve(t, answerfaker.Stream(id, event(2))+"~"), IsStream: true, KeepsSilent: true,
		Deadline: now.Add(deadline), Patience: now.Add(patience),
	})
	d.Assert(got.Outcome, qt.Equals, dispatcher.Silent)
	d.Assert(got.Events, qt.Equals, 2)
	later <- answerfaker.Chunk(event(2)) + "0\r\n\r\n"
	got = d.exchange.GoBack(context.Background(), bootclock.Now().Add(patience))
	d.Assert(got.Outcome, qt.Equals, dispatcher.Silent)
	d.Assert(d.caller.received, qt.Equals, event(1)+event(2))
}

// TestCallerLeaves ends an attempt at once when the caller has left.
func TestCallerLeaves(t *testing.T) {
	d := newDesk(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(patience/3, cancel)
	d.Assert(d.attempt(ctx, serve(t, "~"), false).Outcome, qt.Equals, dispatcher.CallerGone)
}
