package server_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/entry/internal/server"
)

// TestClosedServerTakesNoDraftsAndCalls guards against requests that a node takes so late in a planned stop that they are cut at its end, and
// against a refusal that says of a request that it has not run although the same one may have come before.
func TestClosedServerTakesNoDraftsAndCalls(t *testing.T) {
	for _, row := range []struct {
		path, field, outcome string
		status               int
	}{
		{"/v1/chat/completions", "", "not_run", fasthttp.StatusServiceUnavailable},
		{"/v1/chat/completions", "X-Request-ID", "unknown", fasthttp.StatusGatewayTimeout},
		{"/services/ledger/payments", "", "not_run", fasthttp.StatusServiceUnavailable},
		{"/services/ledger/payments", "Idempotency-Key", "unknown", fasthttp.StatusGatewayTimeout},
	} {
		t.Run(row.path+row.field, func(t *testing.T) {
			c := qt.New(t)
			s := server.NewServer(nil, nil)
			s.Close()
			var r fasthttp.RequestCtx
			r.Request.Header.SetMethod(fasthttp.MethodPost)
			r.Request.SetRequestURI(row.path)
			if row.field != "" {
				r.Request.Header.Set(row.field, "quote-17")
			}
			s.Handle(&r)
			c.Check(r.Response.StatusCode(), qt.Equals, row.status)
			c.Check(string(r.Response.Header.Peek("X-Outcome")), qt.Equals, row.outcome)
			c.Check(string(r.Response.Header.Peek("Retry-After")), qt.Equals, "1")
		})
	}
}
