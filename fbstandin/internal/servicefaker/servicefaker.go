// Package servicefaker implements a stand-in for a plain service, that is, one without model layers. It
// records every execution in a ledger, and can run a call without sending the response.
package servicefaker

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbstandin/internal/ledgerwriter"
)

// Execution is a line of the ledger that records the execution of one call.
type Execution struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	At      int64  `json:"at_unix_ms"`
}

// Fault is the body of POST /fault.
type Fault struct {
	// DropAnswers is how many of the next calls run and get no response.
	DropAnswers int `json:"drop_answers"`
	// DelayMillis delays the execution of each call.
	DelayMillis int `json:"delay_ms"`
}

// Service responds to every call with the call's key and a sequence number.
type Service struct {
	id     string
	delay  time.Duration
	ledger *ledgerwriter.Ledger

	mu    sync.Mutex
	fault Fault
	runs  map[string]int
	calls int
}

// NewService returns a service whose calls each take delay.
func NewService(id string, delay time.Duration, ledger *ledgerwriter.Ledger) *Service {
	return &Service{id: id, delay: delay, ledger: ledger, runs: map[string]int{}}
}

// Handle serves a call, or /fault, which sets a fault, or /ran, which reports whether the call with a given
// key has run.
func (s *Service) Handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/fault":
		s.setFault(c)
	case "/ran":
		s.handleRan(c)
	default:
		s.call(c)
	}
}

func (s *Service) setFault(c *fasthttp.RequestCtx) {
	var f Fault
	if err := responder.Decode(c, &f); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Service) handleRan(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	responder.JSON(c, fasthttp.StatusOK, map[string]bool{"ran": s.runs[string(c.QueryArgs().Peek("key"))] > 0})
}

func (s *Service) call(c *fasthttp.RequestCtx) {
	key := string(c.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	delay := s.delay + time.Duration(s.fault.DelayMillis)*time.Millisecond
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	s.calls++
	n := s.calls
	s.runs[key]++
	drop := s.fault.DropAnswers > 0
	if drop {
		s.fault.DropAnswers--
	}
	s.mu.Unlock()
	err := s.ledger.Write(Execution{s.id, key, string(c.Method()), string(c.Path()), time.Now().UnixMilli()})
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if drop {
		_ = c.Conn().Close()
		return
	}
	responder.JSON(c, fasthttp.StatusOK, map[string]any{"service": s.id, "key": key, "number": n})
}
