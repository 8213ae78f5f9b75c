package commander

import (
	"net"

	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/optionparser"
	"fuchsiabridge.example/entry/internal/callerguard"
	"fuchsiabridge.example/entry/internal/server"
)

// maxHeaderBytes is more than the buffer that a header has to fit in.
const maxHeaderBytes = 64 << 10

// What connections are used for. A body is held twice while its pieces are joined. The product's interface copies it once more. The decoder
// of peers' messages doubles its buffer, so at worst it holds two buffers of one and two times the message, and the message itself.
var (
	callers      = callerguard.Use{Group: callerguard.Callers, Factor: 3, MaxRequestBytes: server.MaxBodyBytes + maxHeaderBytes, LimitsWrites: true}
	relayCallers = callerguard.Use{Group: callerguard.Callers, Factor: 2}
	delegates    = callerguard.Use{Group: callerguard.Nodes, Factor: 2}
	peerCalls    = callerguard.Use{Group: callerguard.Nodes, Factor: 4, LimitsWrites: true}
	operators    = callerguard.Use{Group: callerguard.Nodes, Factor: 3, LimitsWrites: true}
)

// newGuard returns the guard of all connections that the process accepts.
func newGuard(values optionparser.Values) *callerguard.Guard {
	return callerguard.NewGuard(callerguard.LimitsOf(values.Number("caller-memory"), values.Number("caller-connections")))
}

// newAnswerLimiter returns the limiter of all answers that the process reads, and publishes what they hold.
func newAnswerLimiter(values optionparser.Values) *answerlimiter.Limiter {
	l := answerlimiter.NewLimiter(answerlimiter.Bytes(values.Number("answer-memory")))
	server.Publish("fb_answer_bytes", func() any {
		held, _ := l.Held()
		return held
	})
	server.Publish("fb_answers_dropped", func() any {
		_, dropped := l.Held()
		return dropped
	})
	return l
}

// endRequest tells the guard that a request of the HTTP library's server has ended.
func endRequest(nc net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		callerguard.EndRequest(nc)
	}
}
