package server_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/executor"
	"fuchsiabridge.example/entry/internal/server"
)

// node is a fake node that has a configuration and answers nothing.
type node struct{ settings *configurer.Settings }

func (n node) Call(int, func(identifier.CallID) messenger.Event) (identifier.CallID, <-chan any) {
	answers := make(chan any, 1)
	answers <- nil
	return 1, answers
}
func (n node) Submit(messenger.Event)                {}
func (n node) Close(identifier.CallID)               {}
func (n node) Settings() *configurer.Settings        { return n.settings }
func (n node) Ready() bool                           { return true }
func (n node) Open() int64                           { return 0 }
func (n node) Status() executor.Status               { return executor.Status{} }
func (n node) Explain(string) []executor.Explanation { return nil }

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TestRequestWithoutKeyIsNotOneWithEmptyKey guards against a request without a key that passes for the one of an account, or of an
// operator, whose stored hash is that of an empty key.
func TestRequestWithoutKeyIsNotOneWithEmptyKey(t *testing.T) {
	c := qt.New(t)
	empty := node{settings: &configurer.Settings{
		Accounts: map[string]configurer.Account{hashOf(""): {ID: "studio", Team: "dakar"}},
		Teams:    map[identifier.TeamID]*configurer.Team{"dakar": {Operators: map[string]string{"amina": hashOf("")}}},
	}}
	s := server.NewServer(empty, map[identifier.TeamID]string{"dakar": hashOf("")})
	for _, path := range []string{"/v1/chat/completions", "/services/ledger/1", "/operator/status", "/operator/changes"} {
		for _, field := range []string{"", "Bearer ", "Bearer", "Basic x"} {
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(fasthttp.MethodPost)
			ctx.Request.SetRequestURI(path)
			if field != "" {
				ctx.Request.Header.Set("Authorization", field)
			}
			s.Handle(&ctx)
			c.Check(ctx.Response.StatusCode(), qt.Equals, fasthttp.StatusUnauthorized, qt.Commentf("%s with %q", path, field))
		}
	}
}
