// Package servicefaker is the stand-in of a plain service: it writes every
// execution to a ledger, and can run a call and drop its answer.
package servicefaker

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/fbstandin/internal/ledgerwriter"
)

// Execution is one line of the ledger.
type Execution struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	At      int64  `json:"at_unix_ms"`
}

// Fault is the body of POST /fault.
type Fault struct {
	// DropAnswers counts the next calls that run and get no answer.
	DropAnswers int `json:"drop_answers"`
	// DelayMillis delays each call before it runs.
	DelayMillis int `json:"delay_ms"`
}

// Service answers any call with its key and a running number.
type Service struct {
	id     string
	delay  time.Duration
	ledger *ledgerwriter.Ledger

	mu    sync.Mutex
	fault Fault
	runs  map[string]int
	n     int
}

// NewService returns a service of which each call takes delay.
func NewService(id string, delay time.Duration, ledger *ledgerwriter.Ledger) *Service {
	return &Service{id: id, delay: delay, ledger: ledger, runs: map[string]int{}}
}

// Handle serves one call, or one of /fault and /ran.
func (s *Service) Handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/fault":
		s.setFault(c)
	case "/ran":
		s.ran(c)
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

func (s *Service) ran(c *fasthttp.RequestCtx) {
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
	s.n++
	n := s.n
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
