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

// The settings of the bounds, which both kinds of nodes have.
var (
	callerMemory      = optionparser.Option{Name: "caller-memory", Default: "0", Usage: "memory in MB that callers and other nodes may take, at least 6 times the largest body; 0 for a third of the machine's memory", Check: optionparser.IsNumber(0, maxCallerMegabytes)}
	answerMemory      = optionparser.Option{Name: "answer-memory", Default: "0", Usage: "memory in MB that the answers of the store or the platform, targets and other nodes may take, at least 6 times the largest; 0 for a sixth of the machine's memory, from 48 to 256", Check: optionparser.IsNumber(0, maxAnswerMegabytes)}
	callerConnections = optionparser.Option{Name: "caller-connections", Default: "0", Usage: "maximum number of callers' connections, and as many at the other ports; 0 for a third of the descriptors that the process may open", Check: optionparser.IsNumber(0, maxCallerConnections)}
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
