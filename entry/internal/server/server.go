// Package server serves the HTTP API for callers and operators.
package server

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/responder"
	"fuchsiabridge.example/entry/internal/callerguard"
	"fuchsiabridge.example/entry/internal/counter"
	"fuchsiabridge.example/entry/internal/executor"
)

const (
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes = 1 << 20

	maxRequestIDLength = 128
	randomIDBytes      = 16
	unreadyRetryAfter  = 2 * time.Second
	stoppingRetryAfter = time.Second

	headerRequestID = "X-Request-ID"
	headerClass     = "X-Class"
	// headerDeadline is a time in milliseconds since the Unix epoch, by the caller's clock.
	headerDeadline = "X-Deadline-Unix-Ms"
	headerKey      = "Idempotency-Key"
	headerOutcome  = "X-Outcome"

	// ownPlace is the place of problems that concern this node itself.
	ownPlace = "entry"
)

// Node is the part of the node that the server uses.
type Node interface {
	Call(capacity int, event func(identifier.CallID) messenger.Event) (identifier.CallID, <-chan any)
	Submit(event messenger.Event)
	Close(id identifier.CallID)
	Settings() *configurer.Settings
	Ready() bool
	Open() int64
	Status() executor.Status
	Explain(subject string) []executor.Explanation
}

// Server passes requests to the node and writes its answers.
type Server struct {
	node Node
	// operators maps each team to the hex SHA-256 of a bearer key, from the node's settings.
	operators map[identifier.TeamID]string
	// isClosed says that no further drafts and calls are accepted.
	isClosed atomic.Bool
}

// Close makes the server accept no further drafts and calls, as the node is about to end. Those in progress go on.
func (s *Server) Close() { s.isClosed.Store(true) }

// NewServer returns a server for the node. The key hashes in operators are valid even without a configuration.
func NewServer(node Node, operators map[identifier.TeamID]string) *Server {
	return &Server{node: node, operators: operators}
}

// HandleError answers a request that could not be read, in the format of all error responses.
func HandleError(c *fasthttp.RequestCtx, err error) {
	status, code := fasthttp.StatusBadRequest, "bad_request"
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, code = fasthttp.StatusRequestEntityTooLarge, "body_too_large"
	case errors.As(err, &tooLarge):
		status, code = fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large"
	}
	responder.Refuse(c, status, responder.Refused, responder.Problem{Code: code, Message: err.Error(), Place: "request"}, 0)
}

// Handle serves one request.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	if !readBody(c) {
		return
	}
	callerguard.BeginServing(c.Conn())
	path := string(c.Path())
	isDraft, isCall := path == "/v1/chat/completions", strings.HasPrefix(path, "/services/")
	switch {
	case (isDraft || isCall) && s.isClosed.Load():
		s.refuseStopping(c)
	case isDraft:
		s.draft(c)
	case isCall:
		s.service(c)
	case strings.HasPrefix(path, "/operator/"):
		s.operator(c, path)
	case path == "/healthz":
		c.SetStatusCode(fasthttp.StatusNoContent)
	case path == "/readyz":
		s.ready(c)
	case path == "/debug/vars":
		expvarhandler.ExpvarHandler(c)
	default:
		s.refuse(c, fasthttp.StatusNotFound, "unknown_path", "no such path", "path")
	}
}

// refuseStopping refuses a request that comes too late for a node that stops. One with a name of its own may have come before, to any
// node, and may have run then.
func (s *Server) refuseStopping(c *fasthttp.RequestCtx) {
	h := &c.Request.Header
	key, id := string(h.Peek(headerKey)), string(h.Peek(headerRequestID))
	status, outcome := fasthttp.StatusServiceUnavailable, responder.NotRun
	if key != "" || id != "" {
		status, outcome = fasthttp.StatusGatewayTimeout, responder.Unknown
	}
	counter.Requests.Add("none/"+string(outcome), 1)
	p := responder.Problem{Code: "stopping", Message: "the node is stopping, another one takes the request", Place: ownPlace, RequestID: id, Key: key}
	responder.Refuse(c, status, outcome, p, stoppingRetryAfter)
}

func (s *Server) ready(c *fasthttp.RequestCtx) {
	if s.node.Ready() {
		c.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	responder.Refuse(c, fasthttp.StatusServiceUnavailable, responder.NotRun,
		responder.Problem{Code: "unready", Message: "the node has no configuration or target state yet, or is stopping"}, unreadyRetryAfter)
}

// request holds the properties that all callers' requests have.
type request struct {
	id       identifier.RequestID
	account  configurer.Account
	team     *configurer.Team
	class    identifier.Class
	priority int
	deadline time.Time
}

// authenticate reads the properties that all callers' requests have. On an error it answers the request and returns false.
func (s *Server) authenticate(c *fasthttp.RequestCtx) (request, bool) {
	settings := s.node.Settings()
	if settings == nil {
		responder.Refuse(c, fasthttp.StatusServiceUnavailable, responder.NotRun,
			responder.Problem{Code: "unready", Message: "the node has no configuration yet"}, unreadyRetryAfter)
		return request{}, false
	}
	hash, hasKey := keyHash(c)
	account, isKnown := settings.Accounts[hash]
	if !hasKey || !isKnown {
		s.refuse(c, fasthttp.StatusUnauthorized, "unauthorized", "no client account has this bearer key", "header Authorization")
		return request{}, false
	}
	r := request{account: account, team: settings.Teams[account.Team]}
	id, ok := s.requestID(c)
	if !ok {
		return request{}, false
	}
	r.id = id
	r.class = identifier.Class(c.Request.Header.Peek(headerClass))
	class := r.team.Class(r.class)
	r.priority = class.Priority
	r.deadline, ok = s.deadline(c, time.Now(), class)
	return r, ok
}

func (s *Server) requestID(c *fasthttp.RequestCtx) (identifier.RequestID, bool) {
	id := string(c.Request.Header.Peek(headerRequestID))
	if id == "" {
		id = randomID()
		c.Request.Header.Set(headerRequestID, id)
	}
	if len(id) > maxRequestIDLength {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_request_id", "at most 128 bytes", "header "+headerRequestID)
		return "", false
	}
	c.Response.Header.Set(headerRequestID, id)
	return identifier.RequestID(id), true
}

// deadline returns the request's deadline. The caller's deadline may only shorten that of the class.
func (s *Server) deadline(c *fasthttp.RequestCtx, now time.Time, class configurer.Class) (time.Time, bool) {
	deadline := now.Add(class.Deadline)
	text := string(c.Request.Header.Peek(headerDeadline))
	if text == "" {
		return deadline, true
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.refuse(c, fasthttp.StatusBadRequest, "bad_deadline", "must be milliseconds since the Unix epoch", "header "+headerDeadline)
		return time.Time{}, false
	}
	// Convert the caller's wall-clock time to this process's monotonic clock.
	left := time.UnixMilli(millis).Sub(now.Round(0))
	if left <= 0 {
		s.refuse(c, fasthttp.StatusBadRequest, "deadline_past", "the deadline has passed already", "header "+headerDeadline)
		return time.Time{}, false
	}
	return now.Add(min(left, class.Deadline)), true
}

func (s *Server) refuse(c *fasthttp.RequestCtx, status int, code, message, place string) {
	counter.Requests.Add("none/"+string(responder.Refused), 1)
	id := string(c.Request.Header.Peek(headerRequestID))
	responder.Refuse(c, status, responder.Refused, responder.Problem{Code: code, Message: message, Place: place, RequestID: id}, 0)
}

// count counts a request that has ended.
func count(class identifier.Class, outcome responder.Outcome, deadline time.Time) {
	counter.Requests.Add(string(class)+"/"+string(outcome), 1)
	if outcome == responder.Delivered && time.Now().After(deadline) {
		counter.Late.Add(string(class), 1)
	}
}

// keyHash returns the hex SHA-256 of the request's bearer key, and false if it has none: that is not the hash of an empty key.
func keyHash(c *fasthttp.RequestCtx) (string, bool) {
	key, hasKey := bytes.CutPrefix(c.Request.Header.Peek("Authorization"), []byte("Bearer "))
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:]), hasKey && len(key) > 0
}

func equalHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(strings.ToLower(a)), []byte(b)) == 1
}

func randomID() string {
	var raw [randomIDBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func fingerprint(fields ...string) string {
	sum := sha256.New()
	for _, p := range fields {
		_, _ = sum.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// Publish registers a value under /debug/vars.
func Publish(name string, value func() any) { expvar.Publish(name, expvar.Func(value)) }
